package sidecar

import (
	"sync"
	"time"

	"zinniafall/node/upstream"
	"zinniafall/policy/dispatch"
	"zinniafall/policy/model"
)

const (
	// reservedConnections is the part of a target's connection limit that is
	// left for other callers.
	reservedConnections = 4
	// defaultColdRate applies to a cold target of a service that is not in the
	// configuration, in requests per second.
	defaultColdRate = 5.0
)

// target tracks the target beside this node.
type target struct {
	node *Node

	// publishing is held while the state is read and published, so that no state is
	// published after a later one. It is taken before mu.
	publishing sync.Mutex

	mu      sync.Mutex
	id      string
	service model.Service
	version string
	slots   int
	// startedMs is the start that the target stated, or 0 while foundByHealth is set.
	startedMs int64
	sequence  int64
	// newestStartMs is the start that was stated in the announcement that was applied last.
	newestStartMs int64
	// foundByHealth is true while the target is known by its health answers
	// only. Its process is another one than that which stated newestStartMs.
	foundByHealth bool
	// shown is the last health answer that named a target, whatever its status.
	shown healthAnswer
	// newcomer is the first health answer of a target that is to replace the present one.
	newcomer healthAnswer
	// unconfirmed is the last announcement that was not applied since the health answers
	// show another target, or none of them that it drains. Its ID is empty if there is none.
	unconfirmed Announcement
	leaving     bool // the target announced that it leaves
	// saidLeaving is true once an answer of the present process stated that it
	// leaves.
	saidLeaving bool
	// withdrawals holds the last withdrawal of each target ID, also of targets
	// that were not known: an announcement sent before a withdrawal may arrive
	// after it.
	withdrawals map[string]withdrawal
	// departureNotice signals storeDepartures that there is a withdrawal to store, and
	// departureStored is closed and replaced when the store has one.
	departureNotice, departureStored chan struct{}
	// departuresAwaited is set until the target may be used, and departuresKnown once the
	// departures that a predecessor of this process has acknowledged are known.
	departuresAwaited, departuresKnown bool
	// suspectSince is the time of the first ready announcement that a health
	// answer contradicts; zero if there is no contradiction.
	suspectSince  time.Time
	lastUnhealthy healthAnswer
	addr          string
	pool          *upstream.Pool
	health        *upstream.Pool
	// buffers is the memory for long answers of the target.
	buffers    *upstream.Buffers
	unanswered int
	answeredAt time.Time // time of the last answer to any request
	wake       chan struct{}
	// paceRefresh is closed when the health request that calls wait for has
	// ended.
	paceRefresh chan struct{}
	// unreadableLogged reports whether an unreadable statement of this process
	// was logged.
	unreadableLogged bool
}

func newTarget(n *Node) *target {
	t := &target{node: n, service: n.settings.Service, addr: n.settings.Target, wake: make(chan struct{}, 1), withdrawals: make(map[string]withdrawal), departureNotice: make(chan struct{}, 1), departureStored: make(chan struct{}), departuresAwaited: true, buffers: upstream.NewBuffers(answerBuffers)}
	t.replacePools()
	return t
}

// replacePools replaces the connection pools when the address changes or another
// target process serves it, drops what the former process has stated, and closes
// GateUnheard. The caller holds the lock.
func (t *target) replacePools() {
	if t.pool != nil {
		t.pool.Close()
		t.health.Close()
	}
	fields := upstream.Fields{RequestID: t.node.dialect.RequestID, Mark: t.node.dialect.Mark}
	t.pool = upstream.NewPool(t.addr, fields, t.maxConnections(t.service), t.buffers)
	// watchHealth and refreshPace send one health request at a time each.
	t.health = upstream.NewPool(t.addr, fields, 2, t.buffers)
	t.unreadableLogged, t.saidLeaving, t.unanswered = false, false, 0
	t.node.owner.apply(func(d *dispatch.Owner, now time.Time) []dispatch.Decision {
		d.ForgetStatements()
		return append(d.SetUnproven(now, false), d.SetGate(now, dispatch.GateUnheard, true)...)
	})
	t.probeNow()
}

// maxConnections returns the limit of the connections for calls to a target of the
// service: the service's limit without reservedConnections, and at least 1. It
// returns 0, which means no limit, if the service's limit is unknown or unset.
func (t *target) maxConnections(service model.Service) int {
	if table := t.node.configuration.current(); table != nil {
		if s, ok := table.Services[service]; ok && s.MaxConnections > 0 {
			return max(s.MaxConnections-reservedConnections, 1)
		}
	}
	return 0
}

func (t *target) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pool.Close()
	t.health.Close()
}

// ownService returns the service of the targets of this VM.
func (t *target) ownService() model.Service { return t.node.live.Load().Service }

// identity returns the properties of the target that a call needs.
func (t *target) identity() (id string, service model.Service, pool *upstream.Pool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.id, t.service, t.pool
}

// applyState passes the state of the target to the owner and the fleet, and opens
// GateAbsent. The caller must not hold t.mu. The lock is held until the owner has the
// state, so that a withdrawal that arrives meanwhile is applied after it.
func (t *target) applyState(coldLeft time.Duration) {
	t.mu.Lock()
	t.node.owner.apply(func(d *dispatch.Owner, now time.Time) []dispatch.Decision {
		// An announcement may be delayed, so it never shortens the cold period.
		d.SetColdRate(t.coldRate(t.service))
		d.SetCold(now, max(coldLeft, d.ColdLeft(now)))
		releases := d.SetSlots(now, t.slots)
		releases = append(releases, d.SetGate(now, dispatch.GateDraining, t.leaving || t.departuresAwaited)...)
		t.node.owner.rollout.setTarget(now, t.id, t.service, t.version)
		return append(releases, d.SetGate(now, dispatch.GateAbsent, false)...)
	})
	recheck := t.node.rollouts.enabled && (t.version == "" || !t.node.rollouts.haveOrders())
	t.mu.Unlock()
	t.publishState()
	if recheck {
		time.AfterFunc(unknownVersionTime, t.node.rollouts.recheckVersion)
	}
}

func (t *target) coldRate(service model.Service) float64 {
	if table := t.node.configuration.current(); table != nil {
		if s, ok := table.Services[service]; ok && s.ColdRate > 0 {
			return s.ColdRate
		}
	}
	return defaultColdRate
}

// publishState passes the target's state to the fleet.
func (t *target) publishState() {
	t.publishing.Lock()
	defer t.publishing.Unlock()
	t.mu.Lock()
	service, slots, version := t.service, t.slots, t.version
	t.mu.Unlock()
	if !t.node.rollouts.enabled {
		version = ""
	}
	t.node.fleet.setOwnTarget(service, slots, t.node.owner.publishedState(), version)
}

// configurationChanged applies the configured cold rate and connection limit of the
// service.
func (t *target) configurationChanged() {
	t.mu.Lock()
	service := t.service
	t.pool.SetLimit(t.maxConnections(service))
	t.mu.Unlock()
	rate := t.coldRate(service)
	t.node.owner.apply(func(d *dispatch.Owner, now time.Time) []dispatch.Decision {
		d.SetColdRate(rate)
		return nil
	})
}
