package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"zinniafall/node/upstream"
	"zinniafall/policy/dispatch"
	"zinniafall/policy/statedlimit"
)

const (
	// maxLoadFigure bounds the figures of a load header, and maxMilliseconds a
	// stated time: a day, in milliseconds. Larger ones would overflow.
	maxLoadFigure   = 1e6
	maxMilliseconds = 24 * 60 * 60 * 1000
	// probeInterval is the time between health requests while calls are in
	// progress, idleProbeInterval while there are none, and discoveryInterval
	// while the target is unknown or down.
	probeInterval     = 250 * time.Millisecond
	idleProbeInterval = 500 * time.Millisecond
	discoveryInterval = 100 * time.Millisecond
	// paceProbeInterval is the time between health requests while calls wait
	// for the pace to improve.
	paceProbeInterval = 20 * time.Millisecond
	// maxPaceAge is the age up to which a pace reading is used for a call; a
	// pace lasts several times as long.
	maxPaceAge = 20 * time.Millisecond
	// paceRefreshTimeout bounds the wait of a call for a new pace reading.
	paceRefreshTimeout = 10 * time.Millisecond
	// probeTimeout bounds one health request.
	probeTimeout = 400 * time.Millisecond
	// maxUnanswered is the number of consecutive unanswered health requests
	// after which a target is down if it answers nothing else either.
	maxUnanswered = 3
	// defaultHealthPath is used until the configuration states another path.
	defaultHealthPath = "/health"
)

// watchHealth probes the target until the context ends.
func (t *target) watchHealth(ctx context.Context) {
	for ctx.Err() == nil {
		t.probe(ctx)
		timer := time.NewTimer(t.probeInterval())
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
		t.node.client.CloseExpired()
	}
}

// probeInterval returns the time until the next health request.
func (t *target) probeInterval() time.Duration {
	return t.node.owner.healthInterval(t.unlimitedProbeInterval())
}

// unlimitedProbeInterval is probeInterval for a target that states no limit.
func (t *target) unlimitedProbeInterval() time.Duration {
	switch {
	case t.node.owner.gateClosed(dispatch.GateAbsent | dispatch.GateDown):
		return discoveryInterval
	case t.node.owner.waitingForPace():
		return paceProbeInterval
	case t.node.owner.report().InFlight > 0:
		return probeInterval
	}
	return idleProbeInterval
}

// refreshPace reads the load before a call whose start depends on it, or on whether the target
// has turned cold: only health answers state that.
// Concurrent calls share one health request. It returns after paceRefreshTimeout
// at the latest, even without a new reading.
func (t *target) refreshPace(ctx context.Context) {
	age, known := t.node.owner.paceAge()
	needed := known && age >= maxPaceAge || t.node.owner.warmthUnsure()
	if !needed || t.node.owner.statedLimit() != statedlimit.Unlimited || t.node.owner.gateClosed(dispatch.GateAbsent|dispatch.GateDown) {
		return
	}
	t.mu.Lock()
	refresh := t.paceRefresh
	if refresh == nil {
		refresh = make(chan struct{})
		t.paceRefresh = refresh
		t.node.goBackground(func() {
			t.probe(t.node.ctx)
			t.mu.Lock()
			t.paceRefresh = nil
			t.mu.Unlock()
			close(refresh)
		})
	}
	t.mu.Unlock()
	timer := time.NewTimer(paceRefreshTimeout)
	defer timer.Stop()
	select {
	case <-refresh:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// probeNow triggers a health request at once.
func (t *target) probeNow() { notify(t.wake) }

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

// probe sends one health request and records its result.
func (t *target) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	t.mu.Lock()
	pool, addr := t.health, t.addr
	t.mu.Unlock()
	t.node.healthRequests.Inc()
	sentAt := time.Now()
	result := pool.Do(ctx, &upstream.Request{
		Method: http.MethodGet, URI: t.healthPath(), Host: addr, Header: http.Header{}, Retryable: true,
	})
	if result.Response == nil {
		t.recordNoAnswer(result, pool)
		return
	}
	if result.Response.Stream != nil {
		_ = result.Response.Stream.Close()
	}
	t.recordHealth(result.Response, sentAt, pool)
}

// recordNoAnswer records an unanswered health request.
func (t *target) recordNoAnswer(result upstream.Result, pool *upstream.Pool) {
	t.reportRefused("health", result.Err)
	t.mu.Lock()
	if !t.isCurrentLocked(pool) {
		t.mu.Unlock()
		return
	}
	t.unanswered++
	tried := t.unanswered >= unansweredBeforeTrial && t.id != ""
	down := result.Refused || t.unanswered >= maxUnanswered && time.Since(t.answeredAt) > maxUnanswered*probeTimeout
	id := t.id
	t.mu.Unlock()
	switch {
	case down:
		t.markDown(id, result.Err)
	case tried:
		t.openHeard(pool, false)
	}
}

// markDown closes the gate of a target that accepts no connections.
func (t *target) markDown(id string, err error) {
	if t.node.owner.gateClosed(dispatch.GateDown) {
		return
	}
	t.node.log.Warn("dependency lost", "part", "target", "target", id, "error", err.Error())
	t.node.owner.setGate(dispatch.GateDown, true)
	t.node.crashes.recordCrash()
	t.publishState()
}

// recordAnswer records that the target answered a request of the pool.
func (t *target) recordAnswer(pool *upstream.Pool) {
	t.mu.Lock()
	if !t.isCurrentLocked(pool) {
		t.mu.Unlock()
		return
	}
	t.answeredAt, t.unanswered = time.Now(), 0
	id := t.id
	t.mu.Unlock()
	if t.node.owner.gateClosed(dispatch.GateDown) {
		t.node.log.Info("dependency regained", "part", "target", "target", id)
		t.node.owner.setGate(dispatch.GateDown, false)
		t.publishState()
	}
}

// recordAnonymousHealth applies what a health answer without a target ID states: it is
// that of the process that the pool is connected to.
func (t *target) recordAnonymousHealth(r *upstream.Response, sentAt time.Time, pool *upstream.Pool) {
	id, _, _ := t.identity()
	if id == "" || !t.isCurrent(pool) {
		return
	}
	t.recordStatement(pool, r.Header, sentAt)
	if t.statesLeaving(r.Header) {
		t.recordLeaving(pool, id)
	}
	t.openHeard(pool, true)
}

// mayAdopt reports whether a target that is not the present one is used without an announcement.
// Its health answers do not name its service. The first target that a node finds is one of the
// service in the settings; one that replaces another may be of another service, which its
// announcement names, and the settings may be about to change. The caller must hold t.mu.
func (t *target) mayAdopt(id string) bool {
	if t.id == "" {
		return true
	}
	if t.newcomer.id != id {
		t.newcomer = healthAnswer{id: id, at: time.Now()}
	}
	return time.Since(t.newcomer.at) >= announcementWait
}

// refreshService makes sure that the settings name the service of a target that is about to be
// adopted. It returns false if they cannot be read.
func (t *target) refreshService(id string) bool {
	t.mu.Lock()
	adopts := id != t.id && t.mayAdopt(id)
	t.mu.Unlock()
	return !adopts || t.node.RefreshSettings() == nil
}

// recordHealth applies the answer to a health request. Of an answer without a target
// ID only the statements count. A new target is adopted only if it is ready and states slots.
func (t *target) recordHealth(r *upstream.Response, sentAt time.Time, pool *upstream.Pool) {
	id := r.Header.Get(t.node.dialect.TargetID)
	if id == "" {
		t.recordAnonymousHealth(r, sentAt, pool)
		return
	}
	load, hasLoad := parseLoad(r.Header.Get(t.node.dialect.Load))
	cold, hasCold := milliseconds(r.Header.Get(t.node.dialect.ColdLeft))
	leaving := t.statesLeaving(r.Header)
	usable := r.Status == http.StatusOK && hasLoad && load.Slots > 0
	if usable && !t.refreshService(id) {
		return
	}
	t.mu.Lock()
	if !t.isCurrentLocked(pool) {
		t.mu.Unlock()
		return // the present process has been asked meanwhile
	}
	isNew := id != t.id
	healthy := r.Status == http.StatusOK || r.Header.Get(t.node.dialect.NotRun) != "" // a full target rejects it
	if !healthy {
		t.lastUnhealthy = healthAnswer{id: id, at: time.Now()}
	}
	t.shown = healthAnswer{id: id, at: time.Now()}
	announcement, confirmed, departs := t.confirm(id, healthy)
	closed := t.closeIfMayHaveLeft()
	adopt := isNew && usable && t.mayAdopt(id)
	if adopt {
		t.id, t.service, t.slots, t.startedMs, t.sequence, t.foundByHealth = id, t.ownService(), load.Slots, 0, 0, true
		t.leaving = leaving || t.hasLeft()
		t.version = "" // the announcement states it
		t.replacePools()
		pool = t.health // the answer is that of the adopted process
	}
	t.mu.Unlock()
	if closed {
		t.node.log.Info("unhealthy target not used until the store answers", "part", "target", "target", id)
		t.publishState()
	}
	if departs {
		t.node.log.Info("departure confirmed by a health answer", "part", "target", "target", id, "born", announcement.Born)
		t.publishState()
	}
	if confirmed {
		defer t.applyAnnouncement(announcement)
	}
	if isNew && !adopt {
		if leaving {
			t.recordLeaving(pool, id)
		}
		return // the target's announcement states the rest
	}
	if adopt {
		t.node.log.Info("target found by its health", "part", "target", "target", id, "slots", load.Slots, "cold_left_ms", cold.Milliseconds())
		t.applyState(cold)
	}
	t.recordStatement(pool, r.Header, sentAt)
	if leaving {
		t.recordLeaving(pool, id)
	}
	t.openHeard(pool, true)
	t.recordAnswer(pool)
	t.applyAnswer(pool, func(d *dispatch.Owner, now time.Time) []dispatch.Decision {
		if cold == 0 {
			d.ConfirmWarm(sentAt)
		}
		if hasCold {
			d.SetCold(now, cold)
		}
		if hasLoad {
			return d.RecordLoad(now, load)
		}
		return nil
	})
}

// recordLoad applies the load stated in an answer to a request of the pool.
func (t *target) recordLoad(pool *upstream.Pool, header http.Header) {
	if load, ok := parseLoad(header.Get(t.node.dialect.Load)); ok {
		t.applyAnswer(pool, func(d *dispatch.Owner, now time.Time) []dispatch.Decision { return d.RecordPace(now, load) })
	}
}

// parseLoad parses "running,waiting,slots[,percent]". Each must be a number from 0
// to maxLoadFigure.
func parseLoad(text string) (dispatch.LoadReading, bool) {
	parts := strings.Split(text, ",")
	if len(parts) < 3 {
		return dispatch.LoadReading{}, false
	}
	values := make([]float64, len(parts))
	for i, p := range parts {
		f, err := strconv.ParseFloat(strings.TrimSpace(p), 64)
		if err != nil || !(f >= 0 && f <= maxLoadFigure) { // also false for NaN
			return dispatch.LoadReading{}, false
		}
		values[i] = f
	}
	r := dispatch.LoadReading{Running: int(values[0]), Slots: min(int(values[2]), maxSlots)}
	if len(parts) > 3 {
		const usual = 100
		r.Pace = values[3] / usual
	}
	return r, true
}

// milliseconds parses a number of milliseconds, of which it returns at most
// maxMilliseconds.
func milliseconds(text string) (time.Duration, bool) {
	ms, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || ms < 0 {
		return 0, false
	}
	return time.Duration(min(ms, maxMilliseconds)) * time.Millisecond, true
}
