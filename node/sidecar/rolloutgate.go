package sidecar

import (
	"slices"
	"time"

	"zinniafall/policy/dispatch"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/rollout"
)

const (
	// unknownVersionTime is how long an owner stays closed whose target has not stated
	// its version while an order for the service is known, or that has not read the
	// orders. Targets announce themselves every 1.5 s.
	unknownVersionTime = 2 * time.Second
	// abandonedTime is how long the target's own count of running calls is taken into
	// account after a call was given up that the target may still run.
	abandonedTime = time.Second
	// maxRunningAge is the age up to which that count is used.
	maxRunningAge = 700 * time.Millisecond
)

// rolloutGate is what an owner keeps about the rollout of its target's service. It is
// protected by owner.mu.
type rolloutGate struct {
	node    *Node
	enabled bool

	targetID string
	service  model.Service
	version  string
	// knownSince is when the present target became known, and unknownSince when it did so
	// without a version.
	knownSince, unknownSince time.Time
	// ordersKnown is set once this node has read the orders.
	ordersKnown bool
	gate        *rollout.Gate
	// order is the newest order for the service that this node saw.
	order *rollout.Order
	// pending are the calls that hold a slot and were not sent to the target yet. Each
	// has one of the starts reserved, so that a call whose body was already asked for is
	// not refused because other calls used up the grant.
	pending map[dispatch.Ticket]struct{}
	starts  uint64
	// abandonedAt is when the last call was given up that the target may still run.
	abandonedAt time.Time
}

func newRolloutGate(n *Node) rolloutGate {
	return rolloutGate{node: n, enabled: n.settings.Rollouts, service: n.settings.Service, gate: rollout.NewGate(), pending: make(map[dispatch.Ticket]struct{})}
}

// setTarget records the target beside the node. Another service, or another version of the
// same process of the node, begins with a new gate, since a report is about one version.
func (g *rolloutGate) setTarget(now time.Time, id string, service model.Service, version string) {
	if !g.enabled {
		return
	}
	state := g.gate.State()
	if service != g.service || g.version != "" && version != "" && version != g.version {
		g.gate, g.starts = rollout.NewGate(), 0
		clear(g.pending)
	}
	if service != g.service {
		g.order, state = nil, rollout.State{}
	}
	if id != g.targetID {
		g.knownSince = now
	}
	if id != g.targetID || version != "" {
		g.unknownSince = time.Time{}
	}
	if version == "" && g.unknownSince.IsZero() {
		g.unknownSince = now
	}
	g.targetID, g.service, g.version = id, service, version
	if state.Phase != "" {
		g.gate.Apply(now, state, g.node.self, g.node.process, version)
	}
}

// admitted records that a call got a slot and one of the starts.
func (g *rolloutGate) admitted(t dispatch.Ticket) {
	if g.enabled {
		g.pending[t] = struct{}{}
	}
}

// apply applies a state of the service.
func (g *rolloutGate) apply(now time.Time, state rollout.State) {
	if state.Service == g.service {
		g.gate.Apply(now, state, g.node.self, g.node.process, g.version)
	}
}

// awaitsVersion reports whether the owner is closed until the target states its version.
func (g *rolloutGate) awaitsVersion(now time.Time) bool {
	return g.enabled && g.version == "" && (g.order != nil || g.gate.State().Phase != "") && now.Sub(g.unknownSince) < unknownVersionTime
}

// awaitsOrders reports whether the owner is closed until this node has read the orders: its
// target may be of a version that may get no calls yet. The configuration may arrive earlier,
// from other nodes. They know of a rollout once it has a state.
func (g *rolloutGate) awaitsOrders(now time.Time) bool {
	return g.enabled && !g.ordersKnown && g.gate.State().Phase == "" && now.Sub(g.knownSince) < unknownVersionTime
}

// closedByOrder reports whether an order that no state answers yet closes the owner. The
// state of an earlier order decides about the versions that it names.
func (g *rolloutGate) closedByOrder() bool {
	state := g.gate.State()
	if g.order == nil || g.version != g.order.Version || state.Phase != "" && !state.Position().Before(g.order.At) {
		return false
	}
	return state.Phase == "" || state.Version != g.version && !slices.Contains(state.Stable, g.version)
}

// problem returns why no further call may start, or nil.
func (g *rolloutGate) problem(now time.Time) *problem.Error {
	switch {
	case g.awaitsVersion(now):
		return problem.New(problem.Draining, model.RunNo, "the target has not stated its version yet")
	case g.awaitsOrders(now):
		return problem.New(problem.Draining, model.RunNo, "the node has not read the orders of rollouts yet")
	case g.closedByOrder():
		return problem.New(problem.Draining, model.RunNo, "the rollout of the target's version has not begun yet")
	}
	if ok, p := g.gate.Open(now); !ok {
		return p
	}
	return nil
}

// startsLeft returns how many more calls may get a slot.
func (g *rolloutGate) startsLeft(now time.Time) uint64 {
	if g.problem(now) != nil {
		return 0
	}
	state := g.gate.State()
	if g.version != state.Version || state.Proven || state.Phase != rollout.Canary && state.Phase != rollout.Expand {
		return dispatch.UnlimitedStarts
	}
	for _, grant := range state.Grants {
		switch {
		case grant.Node != g.node.self || grant.Process != g.node.process:
		case grant.Starts == rollout.Unlimited:
			return dispatch.UnlimitedStarts
		default:
			return grant.Starts - min(grant.Starts, g.starts+uint64(len(g.pending)))
		}
	}
	return 0
}

// beginProblem returns why a call that holds a slot must not be sent to the target, or nil.
// While the old version drains, such a call is counted as in flight, so it may still run.
func (g *rolloutGate) beginProblem(now time.Time) *problem.Error {
	state := g.gate.State()
	if state.Phase == rollout.Drain && g.version != state.Version && !g.awaitsVersion(now) {
		return nil
	}
	return g.problem(now)
}

// begunCall is what an owner keeps about a call that was sent to the target.
type begunCall struct {
	at time.Time
	// pace is the target's pace when the call began.
	pace  float64
	start rollout.Start
}

// beginCall records that a call goes to the target, or returns why it must not.
func (o *owner) beginCall(t dispatch.Ticket, route string) (begunCall, *problem.Error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	b := begunCall{at: now, pace: o.dispatch.Pace(now)}
	g := &o.rollout
	if !g.enabled {
		return b, nil
	}
	if p := g.beginProblem(now); p != nil {
		return b, p
	}
	delete(g.pending, t)
	g.starts++
	inFlight, _, _ := o.dispatch.Occupancy(now, maxRunningAge)
	b.start = rollout.Start{Route: route, Running: inFlight, Cold: o.dispatch.Cold(now)}
	g.gate.Started(now, b.start)
	return b, nil
}

// endCall records the answer to a call that was sent to the target.
func (o *owner) endCall(b begunCall, took time.Duration, pace float64, failed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := &o.rollout
	if !g.enabled {
		return
	}
	// A machine that slows down or recovers while a call runs states both paces; the slower
	// one explains the longer time.
	usual := time.Duration(float64(took) / max(b.pace, pace, 1))
	g.gate.Ended(time.Now(), b.start, usual, failed)
	if failed && g.gate.State().Phase != "" {
		countBadAnswer(g.service, g.version)
	}
	o.applyLocked(noEvent)
}

// recordAbandoned records that a call was given up that the target may still run.
func (o *owner) recordAbandoned() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rollout.abandonedAt = time.Now()
}

func noEvent(*dispatch.Owner, time.Time) []dispatch.Decision { return nil }

// applyRollout applies the state of a rollout, an order for the service or the end of a
// wait for the version.
func (o *owner) applyRollout(change func(g *rolloutGate, now time.Time)) {
	o.apply(func(_ *dispatch.Owner, now time.Time) []dispatch.Decision {
		change(&o.rollout, now)
		return nil
	})
}

// updateStartsLeft passes the starts that the rollout leaves to the dispatcher. The caller
// must hold o.mu.
func (o *owner) updateStartsLeft(now time.Time) []dispatch.Decision {
	if !o.rollout.enabled {
		return nil
	}
	left := o.rollout.startsLeft(now)
	if left == o.dispatch.StartsLeft() && left > 0 {
		return nil
	}
	return o.dispatch.SetStartsLeft(now, left)
}

// publishedState returns the target's state for the nodes' records. A target that waits for
// its version or for the orders is published as draining, so that entries send it nothing.
func (o *owner) publishedState() model.TargetState {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	state := o.dispatch.State(now)
	if (o.rollout.awaitsVersion(now) || o.rollout.awaitsOrders(now)) && (state == model.TargetCold || state == model.TargetWarm) {
		return model.TargetDraining
	}
	return state
}

// evidence returns the owner's report on its target, and the state that it applies. ok is
// false if its target is of another service.
func (o *owner) evidence(service model.Service) (e rollout.Evidence, state rollout.State, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := &o.rollout
	if !g.enabled || g.service != service {
		return e, state, false
	}
	now := time.Now()
	e = g.gate.Evidence()
	e.Node, e.Process, e.Domain, e.Version = g.node.self, g.node.process, g.node.settings.Domain, g.version
	e.State, e.Starts = o.dispatch.State(now), g.starts
	if g.awaitsVersion(now) {
		e.State = model.TargetAbsent // not a target without a version, of which the old ones may be
	}
	runningAge := time.Duration(0)
	if now.Sub(g.abandonedAt) < abandonedTime {
		runningAge = maxRunningAge
	}
	e.InFlight, e.Queued, e.Slots = o.dispatch.Occupancy(now, runningAge)
	return e, g.gate.State(), true
}
