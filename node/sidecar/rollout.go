package sidecar

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"zinniafall/policy/model"
	"zinniafall/policy/rollout"
	"zinniafall/policy/roster"
)

const (
	// rolloutPrefix is the prefix of the keys that hold the states of rollouts.
	rolloutPrefix = "zinniafall/rollouts/"
	// maxGreetedRollouts bounds the states in a greeting, and maxGreetedGrants the grants
	// of each: entries need to know the few canaries, and a list of hundreds of owners
	// would burden the links.
	maxGreetedRollouts = 64
	maxGreetedGrants   = 64
	// finalStateTime is how long a node that does not follow the operators' keys passes on
	// a final state that no other node sends any more.
	finalStateTime = 30 * time.Second
	// maxEarlierOrders bounds the replaced orders of a service that a node keeps.
	maxEarlierOrders = 8
	// maxOrders bounds the services with orders that a node keeps.
	maxOrders = 1024
	// minStateRetry and maxStateRetry bound the delay between reads of a state that an
	// owner needs.
	minStateRetry = 200 * time.Millisecond
	maxStateRetry = 3 * time.Second
)

// rolloutOrdersUnreadable counts the orders that could not be read.
var rolloutOrdersUnreadable = metrics.NewCounter(`zinniafall_rollout_orders_unreadable_total`)

// rollouts holds what the node knows about the rollouts of all services.
type rollouts struct {
	node    *Node
	enabled bool
	// operators follows the operators' keys.
	operators *follower
	// ordersKnown is set once this node has read the orders.
	ordersKnown atomic.Bool

	mu       sync.Mutex
	services map[model.Service]*serviceRollout
	// unreadable holds the positions of the orders that were logged as not readable.
	unreadable map[string]Position
	// placementChanged is set when the owners that get calls changed.
	placementChanged bool
}

// serviceRollout is the knowledge about the rollout of one service.
type serviceRollout struct {
	// order is the newest order that the store showed; nil if this node saw none. It stays
	// when the operators remove it, which removed states.
	order       *rollout.Order
	removed     bool
	orderSeenAt time.Time
	// earlier are the orders before it, which a copy of the store may show again.
	earlier []rollout.Order
	// known is the newest state. It may lack grants, which a controller must not take over.
	known   rollout.State
	knownAt time.Time
	// finalAt is when the newest state with a final phase became known.
	finalAt time.Time
	// whole is the newest state that is complete, received at wholeAt.
	whole   rollout.State
	wholeAt time.Time
	// startedAt is the latest time at which the order can have been written.
	startedAt time.Time
	// polledAt and polledBy are those of the last poll of another controller.
	polledAt time.Time
	polledBy model.NodeAddr

	controller *rolloutController
}

func newRollouts(n *Node) *rollouts {
	return &rollouts{node: n, enabled: n.settings.Rollouts, services: make(map[model.Service]*serviceRollout), unreadable: make(map[string]Position)}
}

// service returns the entry of a service, which it adds. The caller must hold r.mu.
func (r *rollouts) service(name model.Service) *serviceRollout {
	s := r.services[name]
	if s == nil {
		s = &serviceRollout{}
		r.services[name] = s
		r.node.registerRolloutGauges(name)
	}
	return s
}

// listed applies a list of all operators' keys.
func (r *rollouts) listed(_ time.Time, items []Item, at Position) {
	if !r.enabled {
		return
	}
	present := make(map[model.Service]bool)
	for _, item := range items {
		if service, ok := r.applyOrder(item, at); ok {
			present[service] = true
		}
	}
	r.mu.Lock()
	var removed []model.Service
	for name, s := range r.services {
		if s.order != nil && !present[name] {
			removed = append(removed, name)
		}
	}
	r.mu.Unlock()
	for _, name := range removed {
		r.removeOrder(name)
	}
	if !r.ordersKnown.Swap(true) {
		r.node.owner.applyRollout(func(g *rolloutGate, _ time.Time) { g.ordersKnown = true })
		r.node.target.publishState()
	}
}

// haveOrders reports whether this node has read the orders since its start.
func (r *rollouts) haveOrders() bool { return r.ordersKnown.Load() }

// changed applies changes of the operators' keys.
func (r *rollouts) changed(_ time.Time, items []Item, at Position) {
	if !r.enabled {
		return
	}
	for _, item := range items {
		r.applyOrder(item, at)
	}
}

// applyOrder applies the key of an order. ok is false for other keys.
func (r *rollouts) applyOrder(item Item, at Position) (model.Service, bool) {
	service, order, ok, err := r.node.operatorKeys.Rollout(item.Key, item.Value)
	switch {
	case !ok:
		return "", false
	case item.Removed:
		r.removeOrder(service)
		return service, true
	case err != nil:
		r.reportUnreadable(item, at, err)
		return service, true
	}
	order.At = Position{Era: at.Era, Revision: item.Revision}
	now := time.Now()
	r.mu.Lock()
	if r.services[service] == nil && len(r.services) >= maxOrders {
		r.mu.Unlock()
		return service, true
	}
	s := r.service(service)
	if s.order != nil && *s.order == order && !s.removed {
		r.mu.Unlock()
		return service, true
	}
	if s.order != nil && order.At.Era > s.order.At.Era {
		if isSameWrite(*s.order, order) {
			s.removed = false
			r.mu.Unlock()
			return service, true
		}
		if slices.ContainsFunc(s.earlier, func(e rollout.Order) bool { return isSameWrite(e, order) }) {
			r.mu.Unlock() // the operators are about to repeat the later one
			return service, true
		}
	}
	if s.order != nil {
		s.earlier = append(s.earlier, *s.order)
		s.earlier = s.earlier[max(len(s.earlier)-maxEarlierOrders, 0):]
	}
	// A repeated order while its rollout runs changes the duration only.
	continues := s.order != nil && s.order.Version == order.Version && !s.whole.Phase.Final()
	if !continues {
		s.orderSeenAt, s.startedAt = now, now
		if s.answers(&order) {
			s.startedAt = s.wholeAt.Add(-time.Duration(s.whole.ElapsedMs) * time.Millisecond)
		}
	}
	s.order, s.removed = &order, false
	if s.controller == nil {
		s.controller = newRolloutController(r.node, service)
		r.node.goBackground(func() { s.controller.run(r.node.ctx) })
	}
	controller, known := s.controller, s.known
	r.mu.Unlock()
	r.node.log.Info("rollout ordered", "part", "rollout", "service", service, "version", order.Version,
		"duration_ms", order.Duration.Milliseconds(), "store_era", order.At.Era, "store_revision", order.At.Revision)
	r.orderChanged(service, &order)
	if known.Phase == "" && service == r.node.owner.rolloutService() {
		r.node.goBackground(func() { r.readState(r.node.ctx, service) })
	}
	notify(controller.wake)
	return service, true
}

// isSameWrite reports whether two orders of different eras are one write, which a copy of the
// store has kept. The operators' repeat has a revision of its own.
func isSameWrite(a, b rollout.Order) bool {
	return a.Version == b.Version && a.Duration == b.Duration && a.At.Revision == b.At.Revision
}

// answers reports whether the complete state is that of a running rollout of the order, or
// answers the order itself.
func (s *serviceRollout) answers(order *rollout.Order) bool {
	return s.whole.Phase != "" && s.whole.Version == order.Version && (!s.whole.Phase.Final() || s.whole.Position() == order.At)
}

// removeOrder records that the operators' key of a service is gone. A running rollout goes
// on.
func (r *rollouts) removeOrder(service model.Service) {
	r.mu.Lock()
	s := r.services[service]
	known := s != nil && s.order != nil && !s.removed
	if known {
		s.removed = true
		if s.known.Phase == "" {
			s.order = nil
		}
	}
	r.mu.Unlock()
	if known {
		r.orderChanged(service, nil)
	}
}

// orderChanged passes the order of a service to the owner, and closes the gate or opens it
// again.
func (r *rollouts) orderChanged(service model.Service, order *rollout.Order) {
	isOwn := false
	r.node.owner.applyRollout(func(g *rolloutGate, _ time.Time) {
		if isOwn = g.service == service; isOwn {
			g.order = order
		}
	})
	if isOwn {
		r.node.target.publishState()
		time.AfterFunc(unknownVersionTime, r.recheckVersion)
	}
}

// recheckVersion opens the gate of an owner whose target states no version, or whose node
// cannot read the orders.
func (r *rollouts) recheckVersion() {
	if r.node.ctx.Err() != nil {
		return
	}
	r.node.owner.applyRollout(func(*rolloutGate, time.Time) {})
	r.node.target.publishState()
}

// reportUnreadable logs and counts an order once.
func (r *rollouts) reportUnreadable(item Item, at Position, err error) {
	position := Position{Era: at.Era, Revision: item.Revision}
	r.mu.Lock()
	logged := r.unreadable[item.Key] == position
	if len(r.unreadable) >= maxOrders {
		clear(r.unreadable)
	}
	r.unreadable[item.Key] = position
	r.mu.Unlock()
	if !logged {
		rolloutOrdersUnreadable.Inc()
		r.node.log.Warn("rollout order not readable", "part", "rollout", "key", item.Key, "error", err.Error())
	}
}

// readState reads the state of this target's service from the store, until a state is known or the
// store has answered.
func (r *rollouts) readState(ctx context.Context, service model.Service) {
	for delay := minStateRetry; ctx.Err() == nil; delay = min(2*delay, maxStateRetry) {
		if known, _ := r.state(service); known.Phase != "" {
			return
		}
		item, found, err := r.node.store.Get(ctx, rolloutPrefix+string(service))
		if err == nil {
			if state, err := rollout.DecodeState(item.Value); found && err == nil {
				r.learn(state, time.Now(), stateComplete)
			}
			return
		}
		sleep(ctx, jitter(delay))
	}
}

// state returns the newest state of a service, and the newest complete one.
func (r *rollouts) state(service model.Service) (known, whole rollout.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[service]; s != nil {
		return s.known, s.whole
	}
	return known, whole
}

// stateSource tells which grants a state has.
type stateSource uint8

const (
	// stateComplete: all grants.
	stateComplete stateSource = iota
	// stateGreeted: none, since they are many.
	stateGreeted
	// stateOfPoll: only that of this node.
	stateOfPoll
)

// learn applies a state that was written, read from the store or received.
func (r *rollouts) learn(state rollout.State, receivedAt time.Time, source stateSource) {
	if !r.enabled || state.Validate() != nil {
		return
	}
	// The other phases have no limited grants.
	complete := source == stateComplete || state.Phase.Final() || state.Phase == rollout.Drain
	r.mu.Lock()
	if r.services[state.Service] == nil && len(r.services) >= maxOrders {
		r.mu.Unlock()
		return
	}
	s := r.service(state.Service)
	before := s.known
	newer := before.Phase == "" || rollout.Newer(state, before)
	switch {
	case newer && (complete || source == stateGreeted):
		s.known, s.knownAt = state, receivedAt
		if state.Phase.Final() {
			s.finalAt = receivedAt
		}
	case state.Position() == before.Position() && state.Step == before.Step:
		s.knownAt = receivedAt
	}
	moved := redirects(before, s.known)
	r.placementChanged = r.placementChanged || moved
	var controller *rolloutController
	if complete && (s.whole.Phase == "" || rollout.Newer(state, s.whole)) {
		s.whole, s.wholeAt = state, receivedAt
		controller = s.controller
		s.beganBefore(receivedAt, state.ElapsedMs)
	}
	r.mu.Unlock()
	// A greeting that omits the grants must not close an owner that has one.
	if source != stateGreeted {
		r.node.owner.applyRollout(func(g *rolloutGate, now time.Time) { g.apply(now, state) })
	}
	if moved {
		r.node.log.Info("rollout state learned", "part", "rollout", "service", state.Service, "version", state.Version,
			"phase", state.Phase, "step", state.Step, "grants", len(state.Grants))
		r.node.fleet.updatePlacement()
		r.node.fleet.pushToChildren()
	}
	if controller != nil {
		notify(controller.wake)
	}
}

// redirects reports whether entries choose among other owners after a change of the state.
func redirects(before, after rollout.State) bool {
	if before.Phase != after.Phase || before.Version != after.Version || before.Position() != after.Position() {
		return true
	}
	sameOwner := func(a, b rollout.Grant) bool { return a.Node == b.Node && a.Process == b.Process }
	return !slices.EqualFunc(before.Grants, after.Grants, sameOwner)
}

// takePlacementChanged reports whether the owners that get calls changed since the last call.
func (r *rollouts) takePlacementChanged() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.placementChanged
	r.placementChanged = false
	return changed
}

// closes reports whether a rollout gives the target of a node no calls, as far as this node
// knows. The owner decides; this saves entries the attempt.
func (r *rollouts) closes(record roster.Record) bool {
	if !r.enabled || record.Version == "" {
		return false
	}
	state, _ := r.state(record.Service)
	return state.Closes(record.Node, record.Process, record.Version)
}

// runs reports whether a rollout of the service runs or has just ended, as far as this node
// knows.
func (r *rollouts) runs(service model.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	return s != nil && s.known.Phase != "" && (!s.known.Phase.Final() || time.Since(s.finalAt) < finalStateTime)
}

// sameVersion returns the other nodes whose targets have the version of a node's target, if
// a rollout of that version runs. An idempotent call that failed at one of them is better
// repeated at the version that served before.
func (r *rollouts) sameVersion(service model.Service, node model.NodeAddr) []model.NodeAddr {
	if !r.enabled {
		return nil
	}
	state, _ := r.state(service)
	if state.Phase != rollout.Canary && state.Phase != rollout.Expand {
		return nil
	}
	var of []model.NodeAddr
	found := false
	for _, record := range r.node.fleet.ownersOf(service) {
		if record.Version != state.Version {
			continue
		}
		if record.Node == node {
			found = true
			continue
		}
		of = append(of, record.Node)
	}
	if !found {
		return nil
	}
	return of
}

// sameState reports whether two states are equal.
func sameState(a, b rollout.State) bool {
	rawA, errA := a.Encode()
	rawB, errB := b.Encode()
	return errA == nil && errB == nil && bytes.Equal(rawA, rawB)
}

// rolloutService returns the service whose gate the owner keeps.
func (o *owner) rolloutService() model.Service {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rollout.service
}

// ownersOf returns the records of the nodes whose targets are of a service, with this one.
func (f *fleet) ownersOf(service model.Service) []roster.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []roster.Record
	for _, r := range append(f.roster.Records(), f.self) {
		if r.Service == service {
			out = append(out, r)
		}
	}
	return out
}

// allWatchers returns the watchers of all failure domains.
func (f *fleet) allWatchers() []model.NodeAddr {
	f.mu.Lock()
	defer f.mu.Unlock()
	return roster.Watchers(append(f.roster.Records(), f.self))
}
