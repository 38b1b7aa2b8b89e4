package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"zinniafall/node/upstream"
	"zinniafall/policy/dispatch"
	"zinniafall/policy/model"
)

const (
	// probePause is the time between health requests while calls are under
	// way, idleProbePause while none are, and seekPause while the target is
	// unknown or down.
	probePause     = 250 * time.Millisecond
	idleProbePause = 500 * time.Millisecond
	seekPause      = 100 * time.Millisecond
	// heldProbePause is the same while calls wait for a better pace.
	heldProbePause = 20 * time.Millisecond
	// freshPace is the age up to which a reading of the pace decides on a
	// call; paces last for several times as long.
	freshPace = 20 * time.Millisecond
	// freshenTimeout bounds the wait for a reading before a call.
	freshenTimeout = 10 * time.Millisecond
	// probeTimeout bounds one health request.
	probeTimeout = 400 * time.Millisecond
	// mutesToDown is the number of health requests in a row without an answer
	// after which a target that answers nothing else either is down.
	mutesToDown = 3
	// defaultHealthPath is asked until the configuration names another.
	defaultHealthPath = "/health"
	// spareConnections is what a target's limit leaves for other callers.
	spareConnections = 4
	// defaultColdRate is assumed for a cold target of a service that the
	// configuration does not describe, in requests a second.
	defaultColdRate = 5.0
	// illnessAge is the age up to which a health answer casts doubt on an
	// announcement, and doubtTime how long the doubt lasts: announcements come
	// every second or two, and late ones together.
	illnessAge = time.Second
	doubtTime  = time.Second
	// maxWithdrawn bounds the withdrawals that are remembered.
	maxWithdrawn = 64
	// maxSlots bounds what a target may state.
	maxSlots = 10_000
)

// Announcement is what a target says of itself.
type Announcement struct {
	ID      string
	Address string
	Service model.Service
	Slots   int
	// Draining is true when the target is about to leave.
	Draining bool
	// ColdLeft is how long the target stays cold.
	ColdLeft time.Duration
	// Sequence rises with each announcement of one process.
	Sequence int64
	// Born is the start of the target's process, in Unix milliseconds.
	Born int64
}

// withdrawal is the word of a target that it leaves at once.
type withdrawal struct {
	// born is the start of its process, or the latest that it can be when it
	// was not stated, in Unix milliseconds.
	born int64
}

// illness is the last health answer of a target that says it is not ready.
type illness struct {
	id string
	at time.Time
}

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
	doubted  time.Time
	ill      illness
	addr     string
	pool     *upstream.Pool
	health   *upstream.Pool
	mutes    int
	answered time.Time // last answer of any kind
	wake     chan struct{}
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

// announce takes an announcement. It returns why it was not taken.
func (t *target) announce(a Announcement) error {
	if err := t.check(a); err != nil {
		t.node.log.Warn("announcement rejected", "part", "target", "target", a.ID, "error", err.Error())
		return err
	}
	t.mu.Lock()
	if t.old(a) {
		born, sequence := t.born, t.sequence
		t.mu.Unlock()
		t.node.log.Info("old announcement ignored", "part", "target", "target", a.ID, "born", a.Born, "sequence", a.Sequence,
			"newest_born", born, "newest_sequence", sequence)
		return nil
	}
	fresh := a.ID != t.id || a.Born != t.born
	a.Draining = a.Draining || t.leaves(a, fresh)
	known := t.id == a.ID && t.found
	restarted := t.id != "" && fresh && !known
	wasLeaving := t.left
	t.found = false
	t.id, t.born, t.sequence = a.ID, a.Born, a.Sequence
	t.service, t.slots = a.Service, a.Slots
	t.left = a.Draining
	if t.addr != a.Address {
		t.addr = a.Address
		t.connect()
	} else if restarted {
		t.connect()
	}
	t.mu.Unlock()
	if fresh || wasLeaving != a.Draining {
		t.node.log.Info("target announced", "part", "target", "target", a.ID, "service", a.Service, "slots", a.Slots,
			"draining", a.Draining, "cold_left_ms", a.ColdLeft.Milliseconds(), "born", a.Born, "sequence", a.Sequence, "known_before", known)
	}
	t.follow(a.ColdLeft, a.Draining)
	return nil
}

// leaves reports whether a target that announces itself as ready has said
// otherwise. A node that has just started does not know what its predecessor
// was told, and the announcement may be late: when the target's own health says
// that it is not ready, only a later announcement is believed.
func (t *target) leaves(a Announcement, fresh bool) bool {
	if w, ok := t.withdrawn[a.ID]; ok && a.Born <= w.born {
		return true
	}
	now := time.Now()
	switch {
	case fresh && t.ill.id == a.ID && now.Sub(t.ill.at) < illnessAge:
		t.doubted = now
	case fresh:
		t.doubted = time.Time{}
	}
	if t.doubted.IsZero() {
		return false
	}
	if now.Sub(t.doubted) < doubtTime {
		return true
	}
	t.doubted = time.Time{}
	return false
}

// old reports an announcement that was overtaken by a later one or by a later
// target at the address.
func (t *target) old(a Announcement) bool {
	switch {
	case a.ID == t.id && t.found:
		return a.Born < t.born
	case a.Born == t.born && a.ID == t.id:
		return a.Sequence <= t.sequence
	case t.found:
		return a.Born <= t.born
	}
	return a.Born < t.born
}

func (t *target) check(a Announcement) error {
	own, err := netip.ParseAddrPort(t.node.settings.Target)
	if err != nil {
		return err
	}
	addr, err := netip.ParseAddrPort(a.Address)
	switch {
	case err != nil:
		return fmt.Errorf("address %q is not ip:port", a.Address)
	case addr.Addr() != own.Addr():
		return fmt.Errorf("address %s is not on this VM", a.Address)
	case a.ID == "":
		return fmt.Errorf("the target's id is missing")
	case a.Slots < 1 || a.Slots > maxSlots:
		return fmt.Errorf("%d slots are stated; state 1 to %d", a.Slots, maxSlots)
	}
	if table := t.node.configuration.current(); table != nil {
		if _, ok := table.Services[a.Service]; !ok {
			return fmt.Errorf("service %q is not configured", a.Service)
		}
	}
	return nil
}

// withdraw takes the word of a target that it is gone or about to go.
func (t *target) withdraw(id string, born int64) {
	t.mu.Lock()
	mine := id == t.id && (born == 0 || t.born == 0 || born == t.born)
	if mine {
		t.left = true
	}
	until := born
	if until == 0 && mine {
		until = t.born
	}
	if until == 0 {
		until = time.Now().UnixMilli()
	}
	if len(t.withdrawn) >= maxWithdrawn {
		clear(t.withdrawn)
	}
	t.withdrawn[id] = withdrawal{born: until}
	t.mu.Unlock()
	t.node.log.Info("target withdrew", "part", "target", "target", id, "born", born, "current", mine)
	if mine {
		t.node.owner.gate(dispatch.GateDraining, true)
		t.tell()
	}
}

// follow makes the owner and the fleet follow the target's state.
func (t *target) follow(coldLeft time.Duration, draining bool) {
	t.mu.Lock()
	slots, service := t.slots, t.service
	t.mu.Unlock()
	t.node.owner.do(func(d *dispatch.Owner, now time.Time) []dispatch.Release {
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
	t.node.owner.do(func(d *dispatch.Owner, now time.Time) []dispatch.Release {
		d.SetColdRate(rate)
		return nil
	})
}

// watch asks the target for its health until the context ends.
func (t *target) watch(ctx context.Context) {
	for ctx.Err() == nil {
		t.probe(ctx)
		timer := time.NewTimer(t.probePause())
		select {
		case <-ctx.Done():
		case <-t.wake:
		case <-timer.C:
		}
		timer.Stop()
		now := time.Now()
		t.mu.Lock()
		pool := t.pool
		t.mu.Unlock()
		pool.CloseStale(now)
		t.node.client.CloseIdle()
	}
}

func (t *target) probePause() time.Duration {
	switch {
	case t.node.owner.closed(dispatch.GateAbsent | dispatch.GateDown):
		return seekPause
	case t.node.owner.held():
		return heldProbePause
	case t.node.owner.report().InFlight > 0:
		return probePause
	}
	return idleProbePause
}

// freshen asks for the load before a call whose start depends on it. Calls that
// come together share one question.
func (t *target) freshen(ctx context.Context) {
	age, stated := t.node.owner.paceAge()
	if !stated || age < freshPace || t.node.owner.closed(dispatch.GateAbsent|dispatch.GateDown) {
		return
	}
	t.mu.Lock()
	asked := t.asked
	if asked == nil {
		asked = make(chan struct{})
		t.asked = asked
		t.node.goDuty(func() {
			t.probe(t.node.ctx)
			t.mu.Lock()
			t.asked = nil
			t.mu.Unlock()
			close(asked)
		})
	}
	t.mu.Unlock()
	timer := time.NewTimer(freshenTimeout)
	defer timer.Stop()
	select {
	case <-asked:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// look asks for the health at once.
func (t *target) look() { poke(t.wake) }

func (t *target) healthPath() string {
	t.mu.Lock()
	service := t.service
	t.mu.Unlock()
	if table := t.node.configuration.current(); table != nil {
		if s, ok := table.Services[service]; ok && s.HealthPath != "" {
			return s.HealthPath
		}
	}
	return defaultHealthPath
}

func (t *target) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	t.mu.Lock()
	pool, addr := t.health, t.addr
	t.mu.Unlock()
	probes.Inc()
	result := pool.Do(ctx, &upstream.Request{
		Method: http.MethodGet, URI: t.healthPath(), Host: addr, Header: http.Header{}, Repeatable: true,
	})
	if result.Response == nil {
		t.mute(result)
		return
	}
	if result.Response.Stream != nil {
		_ = result.Response.Stream.Close()
	}
	t.reading(result.Response)
}

// mute takes a health request without an answer.
func (t *target) mute(result upstream.Result) {
	t.mu.Lock()
	t.mutes++
	down := result.Refused || t.mutes >= mutesToDown && time.Since(t.answered) > mutesToDown*probeTimeout
	id := t.id
	t.mu.Unlock()
	if down {
		t.down(id, result.Err)
	}
}

// down closes the gate of a target that takes no connections.
func (t *target) down(id string, err error) {
	if t.node.owner.closed(dispatch.GateDown) {
		return
	}
	t.node.log.Warn("dependency lost", "part", "target", "target", id, "error", err.Error())
	t.node.owner.gate(dispatch.GateDown, true)
	t.node.quarantine.crashed()
	t.tell()
}

// alive notes an answer of the target.
func (t *target) alive() {
	t.mu.Lock()
	t.answered, t.mutes = time.Now(), 0
	id := t.id
	t.mu.Unlock()
	if t.node.owner.closed(dispatch.GateDown) {
		t.node.log.Info("dependency regained", "part", "target", "target", id)
		t.node.owner.gate(dispatch.GateDown, false)
		t.tell()
	}
}

// reading takes the answer to a health request.
func (t *target) reading(r *upstream.Response) {
	id := r.Header.Get(t.node.dialect.TargetID)
	if id == "" {
		return
	}
	load, loaded := parseLoad(r.Header.Get(t.node.dialect.Load))
	cold, stated := milliseconds(r.Header.Get(t.node.dialect.ColdLeft))
	t.mu.Lock()
	fresh := id != t.id
	if r.Status != http.StatusOK {
		t.ill = illness{id: id, at: time.Now()}
	}
	adopt := fresh && r.Status == http.StatusOK && (loaded && load.Slots > 0)
	if adopt {
		t.id, t.slots, t.sequence, t.left, t.found = id, load.Slots, 0, false, true
		t.connect()
	}
	t.mu.Unlock()
	if fresh && !adopt {
		return // its announcement tells the rest
	}
	if adopt {
		t.node.log.Info("target found by its health", "part", "target", "target", id, "slots", load.Slots, "cold_left_ms", cold.Milliseconds())
		t.follow(cold, false)
	}
	t.alive()
	t.node.owner.do(func(d *dispatch.Owner, now time.Time) []dispatch.Release {
		if stated {
			d.SetCold(now, cold)
		}
		if loaded {
			return d.Read(now, load)
		}
		return nil
	})
}

// loadOf takes the load that rides on an answer.
func (t *target) loadOf(header http.Header) {
	if load, ok := parseLoad(header.Get(t.node.dialect.Load)); ok {
		t.node.owner.do(func(d *dispatch.Owner, now time.Time) []dispatch.Release { return d.ReadPace(now, load) })
	}
}

// parseLoad reads "running,waiting,slots[,percent]".
func parseLoad(text string) (dispatch.Reading, bool) {
	parts := strings.Split(text, ",")
	if len(parts) < 3 {
		return dispatch.Reading{}, false
	}
	figures := make([]float64, len(parts))
	for i, p := range parts {
		f, err := strconv.ParseFloat(strings.TrimSpace(p), 64)
		if err != nil || f < 0 {
			return dispatch.Reading{}, false
		}
		figures[i] = f
	}
	r := dispatch.Reading{Running: int(figures[0]), Slots: min(int(figures[2]), maxSlots)}
	if len(parts) > 3 {
		const usual = 100
		r.Pace = figures[3] / usual
	}
	return r, true
}

func milliseconds(text string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}
