package sidecar

import (
	"sync"
	"time"

	"zinniafall/node/upstream"
	"zinniafall/policy/dispatch"
	"zinniafall/policy/model"
)

const (
	// spareConnections is what a target's limit leaves for other callers.
	spareConnections = 4
	// defaultColdRate is assumed for a cold target of a service that the
	// configuration does not describe, in requests a second.
	defaultColdRate = 5.0
)

// target is the target beside this node.
type target struct {
	node *Node

	mu       sync.Mutex
	id       string
	service  model.Service
	slots    int
	born     int64
	sequence int64
	// found is true while the target is known by its health only; its start is
	// then later than born.
	found bool
	left  bool // said that it leaves
	// withdrawn holds the targets that withdrew, whatever is known of them: an
	// announcement may arrive after the withdrawal that it precedes.
	withdrawn map[string]withdrawal
	// doubted is when a target was first announced as ready whose health says
	// otherwise; zero when there is no doubt.
	doubted    time.Time
	unhealthy  unhealthyReport
	addr       string
	pool       *upstream.Pool
	health     *upstream.Pool
	unanswered int
	answered   time.Time // last answer of any kind
	wake       chan struct{}
	// asked is closed at the end of the health request that calls wait for.
	asked chan struct{}
}

func newTarget(n *Node) *target {
	t := &target{node: n, service: n.settings.Service, addr: n.settings.Target, wake: make(chan struct{}, 1), withdrawn: make(map[string]withdrawal)}
	t.connect()
	return t
}

// connect makes new pools for the address.
func (t *target) connect() {
	if t.pool != nil {
		t.pool.Close()
		t.health.Close()
	}
	fields := upstream.Fields{RequestID: t.node.dialect.RequestID, Mark: t.node.dialect.Mark}
	t.pool = upstream.NewPool(t.addr, fields, t.maxConnections())
	t.health = upstream.NewPool(t.addr, fields, 2)
}

func (t *target) maxConnections() int {
	if table := t.node.configuration.current(); table != nil {
		if s, ok := table.Services[t.service]; ok && s.MaxConnections > spareConnections {
			return s.MaxConnections - spareConnections
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

// identity returns what a call needs to know of the target.
func (t *target) identity() (id string, service model.Service, pool *upstream.Pool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.id, t.service, t.pool
}

// follow makes the owner and the fleet follow the target's state.
func (t *target) follow(coldLeft time.Duration, draining bool) {
	t.mu.Lock()
	slots, service := t.slots, t.service
	t.mu.Unlock()
	t.node.owner.do(func(d *dispatch.Owner, now time.Time) []dispatch.Decision {
		// An announcement may be late, so it never shortens the time.
		d.SetColdRate(t.coldRate(service))
		d.SetCold(now, max(coldLeft, d.ColdLeft(now)))
		releases := d.SetSlots(now, slots)
		releases = append(releases, d.SetGate(now, dispatch.GateDraining, draining)...)
		return append(releases, d.SetGate(now, dispatch.GateAbsent, false)...)
	})
	t.tell()
}

func (t *target) coldRate(service model.Service) float64 {
	if table := t.node.configuration.current(); table != nil {
		if s, ok := table.Services[service]; ok && s.ColdRate > 0 {
			return s.ColdRate
		}
	}
	return defaultColdRate
}

// tell lets the fleet know of the target's state.
func (t *target) tell() {
	t.mu.Lock()
	service, slots := t.service, t.slots
	t.mu.Unlock()
	t.node.fleet.setSelf(service, slots, t.node.owner.report().State)
}

// configurationChanged takes what the configuration says of the service.
func (t *target) configurationChanged() {
	t.mu.Lock()
	service := t.service
	t.mu.Unlock()
	rate := t.coldRate(service)
	t.node.owner.do(func(d *dispatch.Owner, now time.Time) []dispatch.Decision {
		d.SetColdRate(rate)
		return nil
	})
}
