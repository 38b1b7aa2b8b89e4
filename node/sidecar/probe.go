package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"zinniafall/node/upstream"
	"zinniafall/policy/dispatch"
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
	// unansweredToDown is the number of health requests in a row without an answer
	// after which a target that answers nothing else either is down.
	unansweredToDown = 3
	// defaultHealthPath is asked until the configuration names another.
	defaultHealthPath = "/health"
)

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
		Method: http.MethodGet, URI: t.healthPath(), Host: addr, Header: http.Header{}, Retryable: true,
	})
	if result.Response == nil {
		t.noAnswer(result)
		return
	}
	if result.Response.Stream != nil {
		_ = result.Response.Stream.Close()
	}
	t.reading(result.Response)
}

// noAnswer takes a health request without an answer.
func (t *target) noAnswer(result upstream.Result) {
	t.mu.Lock()
	t.unanswered++
	down := result.Refused || t.unanswered >= unansweredToDown && time.Since(t.answered) > unansweredToDown*probeTimeout
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
	t.answered, t.unanswered = time.Now(), 0
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
		t.unhealthy = unhealthyReport{id: id, at: time.Now()}
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
	t.node.owner.do(func(d *dispatch.Owner, now time.Time) []dispatch.Decision {
		if stated {
			d.SetCold(now, cold)
		}
		if loaded {
			return d.RecordLoad(now, load)
		}
		return nil
	})
}

// loadOf takes the load that rides on an answer.
func (t *target) loadOf(header http.Header) {
	if load, ok := parseLoad(header.Get(t.node.dialect.Load)); ok {
		t.node.owner.do(func(d *dispatch.Owner, now time.Time) []dispatch.Decision { return d.RecordPace(now, load) })
	}
}

// parseLoad reads "running,waiting,slots[,percent]".
func parseLoad(text string) (dispatch.LoadReading, bool) {
	parts := strings.Split(text, ",")
	if len(parts) < 3 {
		return dispatch.LoadReading{}, false
	}
	figures := make([]float64, len(parts))
	for i, p := range parts {
		f, err := strconv.ParseFloat(strings.TrimSpace(p), 64)
		if err != nil || f < 0 {
			return dispatch.LoadReading{}, false
		}
		figures[i] = f
	}
	r := dispatch.LoadReading{Running: int(figures[0]), Slots: min(int(figures[2]), maxSlots)}
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
