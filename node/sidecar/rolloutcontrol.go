package sidecar

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"zinniafall/policy/model"
	"zinniafall/policy/rollout"
)

const (
	// pollInterval is the time between polls of the owners, and pollTimeout limits one.
	pollInterval = 300 * time.Millisecond
	pollTimeout  = 250 * time.Millisecond
	// takeoverTime is the silence after which another controller acts, and takeoverStep how
	// much longer it waits for each one that is ranked before it and can be reached.
	takeoverTime = time.Second
	takeoverStep = 700 * time.Millisecond
	// storeRetryTime is how long a controller whose call of the store failed counts as one
	// that does not reach it.
	storeRetryTime = time.Second
	// finalPollTime is how long owners are polled after the end of a rollout, so that all
	// learn of it.
	finalPollTime = 10 * time.Second
	// maxWriteAttempts bounds the writes of one state before it is decided again.
	maxWriteAttempts = 3
)

// rolloutController decides the rollouts of one service while this node is its controller.
// Only its run goroutine accesses it, except for wake.
type rolloutController struct {
	node    *Node
	service model.Service
	wake    chan struct{}

	control *rollout.Controller
	acting  bool
	// actsSince is when this node began to act, in Unix nanoseconds, or 0.
	actsSince atomic.Int64
	// writing is set while a write runs; its result arrives in written.
	writing bool
	written chan writeResult
	// storeFailedAt is when a call of the store last failed, or zero after a success.
	storeFailedAt time.Time
	// stored is the state that the store was last found to hold, in an era of the store.
	stored rollout.State
	era    uint64
	// candidateSince is when this node became one of the controllers, or zero.
	candidateSince time.Time
}

// writeResult is the result of a write of a state.
type writeResult struct {
	next rollout.State
	// swapped is set if the store holds next. Otherwise it holds stored, if that has a
	// phase.
	swapped bool
	stored  rollout.State
	err     error
}

func newRolloutController(n *Node, service model.Service) *rolloutController {
	era, _ := n.store.Era()
	return &rolloutController{node: n, service: service, wake: make(chan struct{}, 1), written: make(chan writeResult, 1), era: era}
}

// run acts as controller when it is this node's turn, until the context ends.
func (c *rolloutController) run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		again := c.step(ctx)
		if again {
			continue
		}
		timer := time.NewTimer(pollInterval - min(time.Since(began), pollInterval))
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				waiting = false
			case <-timer.C:
				waiting = false
			case <-c.wake:
				waiting = false
			case result := <-c.written: // applyWritten wakes if the next poll is due at once
				c.applyWritten(result)
			}
		}
		timer.Stop()
	}
}

// view is what a controller knows at the begin of a step.
type view struct {
	order     *rollout.Order
	known     rollout.State
	whole     rollout.State
	wholeAt   time.Time
	finalAt   time.Time
	startedAt time.Time
	seenAt    time.Time
	polledAt  time.Time
	polledBy  model.NodeAddr
}

func (c *rolloutController) view() view {
	r := c.node.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[c.service]
	return view{s.order, s.known, s.whole, s.wholeAt, s.finalAt, s.startedAt, s.orderSeenAt, s.polledAt, s.polledBy}
}

// step polls the owners, decides and begins to write the decision, if it is this node's turn.
// It returns true if the next step follows at once.
func (c *rolloutController) step(ctx context.Context) (again bool) {
	select {
	case result := <-c.written:
		c.applyWritten(result)
	default:
	}
	v := c.view()
	now := time.Now()
	reaches := c.reachesStore(now)
	if !c.shouldAct(ctx, now, v, reaches) {
		c.acting = false
		c.actsSince.Store(0)
		return false
	}
	if !c.acting {
		if !c.begin(ctx, now) && reaches {
			return false // the store failed: others have the turn first
		}
		v = c.view()
	}
	if v.whole.Phase != "" {
		c.control.Adopt(v.wholeAt, v.whole)
	}
	c.compareWithStore(ctx, reaches)
	elapsed := now.Sub(v.startedAt)
	evidence, unreachable := c.poll(ctx, elapsed, reaches)
	if v = c.view(); v.whole.Phase != "" {
		c.control.Adopt(v.wholeAt, v.whole) // an owner or a controller may have had a newer one
	}
	now = time.Now()
	next, write := c.control.Decide(now, *v.order, now.Sub(v.startedAt), evidence, unreachable)
	if !write {
		return false
	}
	if next.Phase == rollout.RolledBack && rollout.Newer(next, v.known) {
		// Owners may be told before it is written.
		if v.known.Phase != rollout.RolledBack || v.known.Version != next.Version { // not the repeat of an order
			c.logVerdict(next)
		}
		c.node.rollouts.learn(next, now, stateComplete)
		again = true
	}
	c.write(ctx, c.control.State(), next)
	return again
}

// reachesStore reports whether this node can read and write the store, as far as it knows.
func (c *rolloutController) reachesStore(now time.Time) bool {
	failing := !c.storeFailedAt.IsZero() && now.Sub(c.storeFailedAt) < storeRetryTime
	return !failing && c.node.rollouts.operators.readable.Load()
}

// shouldAct reports whether it is this node's turn to act as controller.
func (c *rolloutController) shouldAct(ctx context.Context, now time.Time, v view, reaches bool) bool {
	ranked := c.node.rollouts.controllers(c.service)
	rank := slices.Index(ranked, c.node.self)
	// A node that has just started knows few others and would rank itself first.
	if v.order == nil || rank < 0 || now.Sub(c.node.configuration.startedAt) < takeoverTime {
		c.candidateSince = time.Time{}
		return false
	}
	if c.candidateSince.IsZero() {
		c.candidateSince = now
	}
	era, _ := c.node.store.Era()
	ended := v.whole.Phase.Final() && v.whole.Position() == v.order.At
	if ended && now.Sub(v.finalAt) > finalPollTime && !c.writing && !(c.acting && c.isUnwritten(v.whole)) && era == c.era {
		return false
	}
	silence := now.Sub(v.polledAt)
	byBetter := slices.Index(ranked, v.polledBy)
	byBetterRank := byBetter >= 0 && byBetter < rank
	if c.acting && v.polledAt.UnixNano() < c.actsSince.Load() {
		byBetterRank = false // the controller that this node took over from
	}
	limit := takeoverTime + takeoverStep*time.Duration(rank)
	waited := now.Sub(latest(v.polledAt, v.seenAt, c.candidateSince))
	if !c.acting && waited > takeoverTime && waited <= limit {
		limit = takeoverTime + takeoverStep*time.Duration(c.reachable(ctx, ranked[:rank]))
	}
	switch {
	case silence < limit && (byBetterRank || !reaches):
		return false
	case c.acting:
		return true
	case rank == 0 && reaches:
		return true
	case rank == 0:
		return silence > takeoverTime+takeoverStep
	}
	return waited > limit
}

// reachable returns how many of the controllers answer. Several may die together, for
// instance when the instances of another version end, and the rest of a rollout may be
// too short to wait for each of them in turn.
func (c *rolloutController) reachable(ctx context.Context, controllers []model.NodeAddr) int {
	p := pollRound{c: c, ctx: ctx}
	var answered atomic.Int32
	var asked sync.WaitGroup
	for _, node := range controllers {
		asked.Go(func() {
			if _, _, err := p.exchange(node); err == nil || err == errNoReport {
				answered.Add(1)
			}
		})
	}
	asked.Wait()
	return int(answered.Load())
}

func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

// controllers returns the nodes that may be the controller of a service, in the order in which
// they act.
func (r *rollouts) controllers(service model.Service) []model.NodeAddr {
	ranked := r.node.fleet.allWatchers()
	weight := func(node model.NodeAddr) uint64 { return xxhash.Sum64String(string(service) + "|" + string(node)) }
	slices.SortFunc(ranked, func(a, b model.NodeAddr) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return ranked
}

// begin reads the state before this node acts. It returns false if the store failed.
func (c *rolloutController) begin(ctx context.Context, now time.Time) bool {
	c.control = rollout.NewController(rollout.Options{
		ExposureRatio: c.node.settings.ExposureRatio, ExposureSlack: int(c.node.settings.ExposureSlack),
		RollbackTime: c.node.settings.RollbackTime, Seed: rand.Uint64(),
	})
	readContext, cancel := context.WithTimeout(ctx, takeoverTime)
	stored, _, err := c.read(readContext)
	cancel()
	c.recordStore(err)
	c.acting = true
	c.actsSince.Store(now.UnixNano())
	c.node.log.Info("rollout controlled by this node", "part", "rollout", "service", c.service, "store_readable", err == nil,
		"phase", stored.Phase, "step", stored.Step)
	if err != nil {
		return false
	}
	if stored.Phase != "" {
		c.node.rollouts.learn(stored, now, stateComplete)
	}
	c.stored = stored
	return true
}

// read returns the state in the store, with an empty phase if there is none that can be read,
// and the revision of the key.
func (c *rolloutController) read(ctx context.Context) (rollout.State, uint64, error) {
	item, found, err := c.node.store.Get(ctx, rolloutPrefix+string(c.service))
	if err != nil || !found {
		return rollout.State{}, 0, err
	}
	state, err := rollout.DecodeState(item.Value)
	if err != nil || state.Service != c.service {
		c.node.log.Warn("rollout state in the store not readable; it will be replaced", "part", "rollout", "service", c.service, "store_revision", item.Revision)
		return rollout.State{}, item.Revision, nil
	}
	return state, item.Revision, nil
}

// recordStore records the result of a call of the store.
func (c *rolloutController) recordStore(err error) {
	if err != nil && c.node.ctx.Err() == nil {
		c.storeFailedAt = time.Now()
		return
	}
	c.storeFailedAt = time.Time{}
}

// isUnwritten reports whether the store was last found to hold an older state.
func (c *rolloutController) isUnwritten(state rollout.State) bool {
	return state.Phase != "" && (c.stored.Phase == "" || rollout.Newer(state, c.stored))
}

// compareWithStore writes the state in force if the store may lack it: another controller died
// after it had told the owners of a rollback, or the store returned from an older copy.
func (c *rolloutController) compareWithStore(ctx context.Context, reaches bool) {
	era, _ := c.node.store.Era()
	state := c.control.State()
	if era == c.era && !c.isUnwritten(state) || !reaches || c.writing {
		return
	}
	if state.Phase == "" {
		c.era = era
		return
	}
	c.write(ctx, state, state)
}

// write begins to write a state that was decided from another, unless a write runs.
func (c *rolloutController) write(ctx context.Context, base, next rollout.State) {
	if c.writing {
		return
	}
	c.writing = true
	c.node.goBackground(func() {
		result := c.persist(ctx, base, next)
		c.written <- result
	})
}

// persist writes the state and the status in one transaction, on the condition that the store
// still has the state that it was decided from or an older one. It reads the state first, so
// that a write whose answer was lost is neither repeated nor contradicted.
func (c *rolloutController) persist(ctx context.Context, base, next rollout.State) writeResult {
	result := writeResult{next: next}
	value, err := next.Encode()
	if err != nil {
		result.err = err
		return result
	}
	statusKey, status := c.node.operatorKeys.RolloutStatus(next)
	key := rolloutPrefix + string(c.service)
	for range maxWriteAttempts {
		stored, revision, err := c.read(ctx)
		switch {
		case err != nil:
			result.err = err
			return result
		case stored.Phase != "" && sameState(stored, next):
			result.swapped = true
			return result
		case stored.Phase == "", !rollout.Newer(stored, base):
		case next.Phase.Final() && rollout.Newer(next, stored) && stored.Position() == base.Position():
		default:
			result.stored = stored
			return result
		}
		swapped, err := c.node.store.Swap(ctx, []Expectation{{key, revision}}, []KeyValue{{key, value}, {statusKey, status}})
		if err != nil {
			result.err = err
			return result
		}
		if swapped {
			result.swapped = true
			return result
		}
	}
	return result
}

// applyWritten applies the result of a write.
func (c *rolloutController) applyWritten(result writeResult) {
	c.writing = false
	failedBefore := !c.storeFailedAt.IsZero()
	c.recordStore(result.err)
	now := time.Now()
	switch {
	case result.err != nil && failedBefore: // logged once
	case result.err != nil:
		c.node.log.Warn("rollout state not written", "part", "rollout", "service", c.service, "step", result.next.Step, "error", result.err.Error())
	case result.swapped:
		c.era, _ = c.node.store.Era()
		if c.isUnwritten(result.next) {
			c.logStep(c.stored, result.next)
		}
		c.stored = result.next
		c.control.Adopt(now, result.next)
		c.node.rollouts.learn(result.next, now, stateComplete)
		notify(c.wake)
	case result.stored.Phase != "":
		c.era, _ = c.node.store.Era()
		c.stored = result.stored
		c.control.Adopt(now, result.stored)
		c.node.rollouts.learn(result.stored, now, stateComplete)
		notify(c.wake)
	}
}

// The metrics of rollouts. Controllers count what they wrote, owners the bad answers.
var rolloutStartsGranted = metrics.NewCounter(`zinniafall_rollout_granted_total`)

// countBadAnswer counts a failed answer of a target whose service has a rollout.
func countBadAnswer(service model.Service, version string) {
	metrics.GetOrCreateCounter(rolloutMetric("zinniafall_rollout_bad_answers_total", service, version)).Inc()
}

// rolloutPhases are the values of zinniafall_rollout_phase.
var rolloutPhases = []rollout.Phase{"", rollout.Canary, rollout.Expand, rollout.Drain, rollout.Completed, rollout.RolledBack}

// registerRolloutGauges registers the gauges of a service.
func (n *Node) registerRolloutGauges(service model.Service) {
	state := func() rollout.State {
		known, _ := n.rollouts.state(service)
		return known
	}
	n.metrics.NewGauge(rolloutMetric("zinniafall_rollout_phase", service, ""), func() float64 {
		return float64(slices.Index(rolloutPhases, state().Phase))
	})
	n.metrics.NewGauge(rolloutMetric("zinniafall_rollout_step", service, ""), func() float64 { return float64(state().Step) })
}

// logVerdict logs why a version is rolled back.
func (c *rolloutController) logVerdict(next rollout.State) {
	v := c.control.Verdict()
	c.node.log.Warn("rollout verdict", "part", "rollout", "service", c.service, "version", next.Version, "reason", next.Reason,
		"route", v.Route, "running", v.Running, "bad_answers", v.Bad, "new_answers", v.NewAnswers, "new_bad", v.NewBad, "old_answers", v.OldAnswers,
		"old_bad_share", v.OldBad, "old_median_ms", v.OldMedian.Milliseconds(), "slow_ms", v.Slow.Milliseconds(),
		"bad_owners", v.BadOwners, "tried_owners", v.TriedOwners, "elapsed_ms", next.ElapsedMs)
}

// rolloutMetric returns the name of a metric with its labels. The version is left out if it is
// empty.
func rolloutMetric(name string, service model.Service, version string) string {
	if version == "" {
		return fmt.Sprintf("%s{service=%q}", name, service)
	}
	return fmt.Sprintf("%s{service=%q,version=%q}", name, service, version)
}

// logStep logs and counts a state that this node wrote.
func (c *rolloutController) logStep(before, after rollout.State) {
	if after.Granted > before.Granted && after.Position() == before.Position() {
		rolloutStartsGranted.Add(int(after.Granted - before.Granted))
	} else if after.Position() != before.Position() {
		rolloutStartsGranted.Add(int(min(after.Granted, 1<<30)))
	}
	if after.Phase.Final() && (before.Phase != after.Phase || before.Version != after.Version) {
		metrics.GetOrCreateCounter(`zinniafall_rollouts_total{outcome="` + string(after.Phase) + `"}`).Inc()
	}
	c.node.log.Info("rollout step", "part", "rollout", "service", c.service, "version", after.Version, "stable", after.Stable,
		"phase", after.Phase, "step", after.Step, "elapsed_ms", after.ElapsedMs, "duration_ms", after.DurationMs,
		"owners_granted", len(after.Grants), "starts_granted", after.Granted, "reason", after.Reason)
}
