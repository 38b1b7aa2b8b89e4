package retry

import (
	"time"

	"zinniafall/policy/chart"
)

// statePlaced is the state of a call whose only attempt is in flight.
const statePlaced chart.State = "placed"

// HedgeAfter returns how long to wait for an answer before hedging, given the
// 95th percentile of the service's recent latency, and whether the call may be
// hedged.
func (a *Attempts) HedgeAfter(now time.Time, p95 time.Duration) (time.Duration, bool) {
	if !a.mayHedge() || p95 <= 0 {
		return 0, false
	}
	return p95, a.hasTime(now, p95+a.budget.opts.MinRemaining)
}

// Hedge reports, once the wait is over, whether a second attempt starts
// concurrently with the first, and records its start. The node cancels the
// slower attempt when the other answers.
func (a *Attempts) Hedge(now time.Time) bool {
	if !a.mayHedge() || !a.hasTime(now, a.budget.opts.MinRemaining) || !a.budget.hedges.take(now) {
		return false
	}
	a.allowance--
	a.started++
	return a.apply("hedge") == nil
}

// mayHedge reports whether the call may have a second attempt in flight. A
// keyed call may not: its issuer would only make the second attempt wait.
func (a *Attempts) mayHedge() bool {
	return a.call.Idempotent && !a.call.Keyed && a.allowance > 0 &&
		a.started < a.budget.opts.MaxAttempts && a.state == statePlaced
}
