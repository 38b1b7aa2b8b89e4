package rollout

import (
	"slices"
	"time"

	"zinniafall/policy/model"
)

const (
	// rollbackAnswers is the number of bad answers from which RollbackTime counts.
	rollbackAnswers = 50
)

// The reasons for a rollback.
const (
	reasonTooLate  = "too late"
	reasonBad      = "bad answers"
	reasonReported = "rolled back by another controller"
)

// Options configures a Controller.
type Options struct {
	// ExposureRatio and ExposureSlack limit the requests that may reach a bad version, and
	// RollbackTime when the last may start after the 50th bad answer. The controller keeps
	// to half of each.
	ExposureRatio float64
	ExposureSlack int
	RollbackTime  time.Duration
	// Seed varies the choice of canaries.
	Seed uint64
}

// Controller decides the rollouts of one service. It is not safe for concurrent use.
type Controller struct {
	options Options
	state   State
	// decided is the last state that Decide returned to be written.
	decided State
	// adoptedAt is when the state in force was adopted, steppedAt when its phase or the
	// number of owners without limit last changed.
	adoptedAt, steppedAt time.Time
	// step is the highest step that was decided or adopted.
	step uint64
	seen *observations
	// verdict is the last one.
	verdict Verdict
}

// NewController returns a controller without a state.
func NewController(options Options) *Controller { return &Controller{options: options} }

// State returns the state that was adopted last; its Phase is "" if there is none.
func (c *Controller) State() State { return c.state }

// Verdict returns the evidence at the last decision.
func (c *Controller) Verdict() Verdict { return c.verdict }

// Adopt takes over a state that was written, read from the store or received from another
// node, unless the one in force is newer. The caller also passes what Decide returned, once
// it is written.
func (c *Controller) Adopt(now time.Time, state State) {
	if state.Validate() != nil {
		return
	}
	c.step = max(c.step, state.Step)
	if state.Draft {
		// Decide returns it to be written.
		if !c.decided.Phase.Final() && !state.Position().Before(c.state.Position()) {
			c.decided = state
			c.decided.Draft = false
		}
		return
	}
	if c.state.Phase != "" && !Newer(state, c.state) {
		return
	}
	if c.state.Phase != state.Phase || unlimited(c.state) != unlimited(state) || c.state.Version != state.Version {
		c.steppedAt = now
	}
	c.state, c.adoptedAt = state, now
}

// unlimited returns the number of grants without limit.
func unlimited(s State) int {
	n := 0
	for _, g := range s.Grants {
		if g.Starts == Unlimited {
			n++
		}
	}
	return n
}

// Decide returns the state that follows. If write is false, it is the one in force, for owners
// to apply. Otherwise the caller writes it and passes it to Adopt when that has succeeded;
// owners may be told of it only then, except of the phase RolledBack, of which they are told
// at once (State.AsDraft). Decide returns such a state again with write set until it is
// adopted.
//
// Owners are the reports received since the last call; unreachable are the nodes with targets
// of the service that did not answer.
func (c *Controller) Decide(now time.Time, order Order, elapsed time.Duration, owners []Evidence,
	unreachable []model.NodeAddr) (next State, write bool) {
	next, ok := c.follow(order)
	if !ok {
		return c.state, false
	}
	if c.state.Phase != "" && c.state.Position() == next.Position() && !c.adoptedAt.IsZero() {
		elapsed = max(elapsed, time.Duration(c.state.ElapsedMs)*time.Millisecond+now.Sub(c.adoptedAt))
	}
	if !next.Phase.Final() {
		c.observe(now, next, owners, unreachable)
		d := decision{c, &next, c.seen, now, elapsed, time.Duration(next.DurationMs) * time.Millisecond}
		d.decide()
	}
	if same(next, c.state) {
		return c.state, false
	}
	next.Requests, next.ElapsedMs = c.state.Requests, elapsed.Milliseconds()
	if c.seen != nil {
		next.Requests, next.Limits = c.seen.requests, c.seen.limits()
	}
	next.Step = c.decided.Step
	if !same(next, c.decided) || next.Step <= c.state.Step {
		c.step++
		next.Step = c.step
	}
	c.decided = next
	return next, true
}

// same reports whether two states differ at most in what changes with every decision.
func same(a, b State) bool {
	return a.Phase == b.Phase && a.Position() == b.Position() && a.Version == b.Version &&
		a.DurationMs == b.DurationMs && a.Reason == b.Reason && a.Granted == b.Granted && a.Proven == b.Proven &&
		slices.Equal(a.Stable, b.Stable) && slices.Equal(a.Grants, b.Grants) && slices.Equal(a.Replaced, b.Replaced)
}

// follow returns the state from which an order's rollout continues or begins. It returns
// false if the order can't be followed or is older than the state.
func (c *Controller) follow(order Order) (State, bool) {
	s := c.state
	at, duration := s.Position(), order.Duration.Milliseconds()
	first := State{
		Service: order.Service, Version: order.Version, Era: order.At.Era, Revision: order.At.Revision,
		Phase: Canary, DurationMs: duration,
	}
	if first.Validate() != nil || s.Phase != "" && order.At.Before(at) {
		return s, false
	}
	if c.decided.Phase == RolledBack && c.decided.Version == order.Version && !s.Phase.Final() &&
		!c.decided.Position().Before(at) {
		// The rollback was decided but could not be written yet. A completion in that state
		// is decided again, since an old owner may have come back.
		s = c.decided
		if order.At.Compare(s.Position()) <= 0 {
			return s, true
		}
		s.Era, s.Revision = order.At.Era, order.At.Revision
		return s, true
	}
	switch {
	case s.Phase == "":
		return first, true
	case order.At == at:
		return s, true
	case s.Version == order.Version && (!s.Phase.Final() || order.At.Era > s.Era && duration == s.DurationMs):
		// The same order again, or, after the end, the repeat of one that the store lost.
		s.Era, s.Revision, s.DurationMs = order.At.Era, order.At.Revision, duration
		return s, true
	}
	c.seen = nil
	first.Stable = slices.Clone(s.Stable)
	first.Replaced = slices.Clone(s.Replaced)
	switch {
	case s.Phase == Completed:
		first.Stable, first.Replaced = []string{s.Version}, nil
	case s.Phase == RolledBack:
		first.Replaced = nil
	default:
		first.Replaced = append(first.Replaced, Replaced{s.Version, s.Granted})
		first.Replaced = first.Replaced[max(len(first.Replaced)-maxVersions, 0):]
	}
	first.Proven = slices.Contains(first.Stable, first.Version)
	first.Stable = slices.DeleteFunc(first.Stable, func(v string) bool { return v == first.Version })
	first.Replaced = slices.DeleteFunc(first.Replaced, func(r Replaced) bool {
		if r.Version == first.Version {
			first.Granted = r.Granted
		}
		return r.Version == first.Version
	})
	return first, true
}

// observe adds the reports of one poll.
func (c *Controller) observe(now time.Time, s State, owners []Evidence, unreachable []model.NodeAddr) {
	if c.seen == nil || c.seen.version != s.Version {
		c.seen = newObservations(s, c.options.Seed)
	}
	c.seen.add(now, owners, unreachable, func(e Evidence) bool {
		return e.Version == s.Version && !s.Proven && (e.Starts <= s.Granted || s.Phase != Canary)
	})
}
