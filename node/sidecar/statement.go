package sidecar

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"zinniafall/node/strictconn"
	"zinniafall/node/upstream"
	"zinniafall/policy/dispatch"
	"zinniafall/policy/statedlimit"
)

// statementsUnreadable is shared with package execute, which is part of the same
// program.
var statementsUnreadable = metrics.GetOrCreateCounter(`zinniafall_target_statements_unreadable_total`)

// leavingValue is the value with which a target states that it leaves.
const leavingValue = "1"

// unansweredBeforeTrial is the number of health requests that a process leaves
// unanswered before it is tried with a call.
const unansweredBeforeTrial = 2

// maxLoggedValue is the length in bytes up to which a header value is logged.
const maxLoggedValue = 64

// isCurrent reports whether the pool belongs to the present process of the target.
// Answers to requests sent by a former pool are those of a former process.
func (t *target) isCurrent(pool *upstream.Pool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isCurrentLocked(pool)
}

// isCurrentLocked is isCurrent for a caller that holds t.mu.
func (t *target) isCurrentLocked(pool *upstream.Pool) bool { return pool == t.pool || pool == t.health }

// applyAnswer applies what an answer to a request of the pool says to the owner, unless
// another process has taken the place of the one that answered.
func (t *target) applyAnswer(pool *upstream.Pool, event func(d *dispatch.Owner, now time.Time) []dispatch.Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isCurrentLocked(pool) {
		t.node.owner.apply(event)
	}
}

// recordStatement applies what an answer to a request of the pool states about the
// target. sentAt is when the request was sent.
func (t *target) recordStatement(pool *upstream.Pool, header http.Header, sentAt time.Time) {
	values := header.Values(t.node.dialect.StatedLimit)
	limit, ok := statedlimit.Parse(values)
	if !ok {
		t.reportUnreadable(values)
		return
	}
	var before float64
	var changed bool
	t.applyAnswer(pool, func(d *dispatch.Owner, now time.Time) []dispatch.Decision {
		before = d.StatedLimit()
		var decisions []dispatch.Decision
		changed, decisions = d.RecordStatement(now, statedlimit.Statement{Limit: limit, SentAt: sentAt})
		return decisions
	})
	if changed {
		t.logLimit(before, limit)
	}
}

// statesLeaving reports whether an answer states that its target leaves.
func (t *target) statesLeaving(header http.Header) bool {
	return strings.TrimSpace(header.Get(t.node.dialect.Leaving)) == leavingValue
}

// recordLeaving records that an answer of a target to a request of the pool stated that it
// leaves. Later announcements of the same process do not open it again.
func (t *target) recordLeaving(pool *upstream.Pool, id string) {
	t.mu.Lock()
	if id == t.id && !t.isCurrentLocked(pool) {
		t.mu.Unlock()
		return // the present process has the ID of a former one
	}
	known := t.saidLeaving
	if id == t.id {
		t.saidLeaving = true
	} else {
		// A process that was not announced yet: the one that answers now and any
		// that started before.
		var w withdrawal
		if w, known = t.withdrawals[id]; known {
			w.startedMs = time.Now().UnixMilli()
			t.withdrawals[id] = w
		}
	}
	t.mu.Unlock()
	if !known {
		t.recordWithdrawal(id, 0)
	}
}

// openHeard opens the gate of the process of a pool that has answered. A process that does not
// answer health requests may answer calls: it is tried with one call at a time.
func (t *target) openHeard(pool *upstream.Pool, answered bool) {
	wasClosed := false
	t.applyAnswer(pool, func(d *dispatch.Owner, now time.Time) []dispatch.Decision {
		wasClosed = d.Closed(dispatch.GateUnheard)
		if !wasClosed && !(answered && d.Unproven()) {
			return nil
		}
		return append(d.SetUnproven(now, !answered), d.SetGate(now, dispatch.GateUnheard, false)...)
	})
	if wasClosed {
		t.publishState()
	}
}

// reportRefused logs that bytes of the target were not taken for an answer: they do not follow
// the grammar, exceed its limits, or were cut off by a reset.
func (t *target) reportRefused(request string, err error) {
	var malformed *strictconn.MalformedError
	if !errors.Is(err, upstream.ErrOversizedHead) && !errors.Is(err, strictconn.ErrReset) && !errors.As(err, &malformed) {
		return
	}
	id, _, _ := t.identity()
	t.node.log.Warn("answer given up", "part", "target", "target", id, "request", request, "error", err.Error())
}

// logLimit logs that the target starts, changes or ends the limit that it states.
func (t *target) logLimit(before, limit float64) {
	id, _, _ := t.identity()
	report := t.node.owner.report()
	attrs := []any{"part", "target", "target", id, "in_flight", report.InFlight, "queued", report.Queued}
	if before != statedlimit.Unlimited {
		attrs = append(attrs, "before_per_s", before)
	}
	if limit == statedlimit.Unlimited {
		t.node.log.Info("target states no limit any more", attrs...)
		return
	}
	t.node.log.Info("target states a limit", append(attrs, "limit_per_s", limit)...)
}

// reportUnreadable counts a stated limit that cannot be read, and logs the first one
// of a process. What the target stated before stays in force.
func (t *target) reportUnreadable(values []string) {
	statementsUnreadable.Inc()
	t.mu.Lock()
	logged, id := t.unreadableLogged, t.id
	t.unreadableLogged = true
	t.mu.Unlock()
	if !logged {
		value := values[0]
		t.node.log.Warn("stated limit not readable", "part", "target", "target", id, "values", len(values), "first", value[:min(len(value), maxLoggedValue)])
	}
}
