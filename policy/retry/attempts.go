package retry

import (
	"time"

	"zinniafall/policy/chart"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// NoAllowance is the Call.Allowance of a call that arrived without one.
const NoAllowance = -1

// Call holds the properties of a call that retry decisions depend on.
type Call struct {
	// Idempotent calls may run more than once.
	Idempotent bool
	// Keyed calls go to the issuer of their request key, which runs them at
	// most once. They may be retried there and at no other node.
	Keyed bool
	// Deadline is the time after which no attempt starts. Zero means none.
	Deadline time.Time
	// Allowance is the number of further attempts that arrived with the call,
	// or NoAllowance.
	Allowance int
	// NestingDepth is the number of calls that this one is nested in, 0 for the
	// first caller's call.
	NestingDepth int
}

// Failure describes an attempt that ended without an answer for the caller.
type Failure struct {
	// Run states whether the attempt ran at a target.
	Run model.Run
	// Kind is the kind of the problem.
	Kind problem.Kind
	// RetryAfter is the wait that the owner asks for; 0 means none.
	RetryAfter time.Duration
}

// Verdict is the action that a Step asks for.
type Verdict uint8

// The verdicts after a failure.
const (
	// RetryNow sends the call again immediately.
	RetryNow Verdict = iota + 1
	// GiveUp answers the caller immediately.
	GiveUp
	// Pending means that there is nothing to do: another attempt is in flight,
	// or the call has its answer already.
	Pending
)

// Reason is the reason for which a call was given up.
type Reason uint8

// The reasons to give up.
const (
	// NotRetryable means that another attempt cannot help.
	NotRetryable Reason = iota + 1
	// MayHaveRun means that the call is not idempotent and may have run.
	MayHaveRun
	// DeadlineNear means that too little time is left for another attempt.
	DeadlineNear
	// AttemptsExhausted means that the call has reached Options.MaxAttempts.
	AttemptsExhausted
	// AllowanceExhausted means that the allowance of the call's path is used
	// up.
	AllowanceExhausted
	// BudgetExhausted means that the entry's token bucket is empty.
	BudgetExhausted
)

// Step is the decision after a failure.
type Step struct {
	Verdict Verdict
	// Reason is set on GiveUp.
	Reason Reason
	// Run is set on GiveUp and states for all attempts together whether the
	// call ran.
	Run model.Run
	// RetryAfter is set on GiveUp and is the wait to report to the caller.
	RetryAfter time.Duration
}

// Attempts tracks the attempts of one call.
type Attempts struct {
	budget    *Budget
	call      Call
	state     chart.State
	allowance int
	started   int
	ran       bool
}

var callChart = chart.LoadTable(chart.Call)

// The states of the call chart in which a further attempt may start.
const (
	stateNotRun     chart.State = "not_run"
	stateMayHaveRun chart.State = "may_have_run"
)

// Begin records the first attempt of a call.
func (b *Budget) Begin(now time.Time, call Call) *Attempts {
	b.failovers.refill(now)
	b.failovers.add(b.opts.FailoverFraction)
	a := &Attempts{
		budget:    b,
		call:      call,
		state:     callChart.Initial(),
		allowance: b.allowance(call),
	}
	a.startAttempt()
	return a
}

// allowance returns the number of further attempts that the call may make. A
// caller cannot raise it above the configured one, and a nested call that
// arrives without an allowance has none.
func (b *Budget) allowance(call Call) int {
	switch {
	case call.Allowance >= 0:
		return min(call.Allowance, b.opts.Allowance)
	case call.NestingDepth > 0:
		return 0
	}
	return b.opts.Allowance
}

// Allowance returns the allowance to pass on with the latest attempt.
func (a *Attempts) Allowance() int { return a.allowance }

// State returns the call's state in the call chart.
func (a *Attempts) State() chart.State { return a.state }

// apply applies an event to the call chart.
func (a *Attempts) apply(e chart.Event) error {
	to, err := callChart.Next(a.state, e)
	a.state = to
	return err
}

// RecordAnswer records that an answer began to arrive. No further attempt of
// the call starts, and the success adds retry and hedge tokens to the budget.
func (a *Attempts) RecordAnswer(now time.Time) error {
	a.budget.RecordSuccess(now)
	return a.apply("answer")
}

// RecordEnd records whether the answer arrived completely.
func (a *Attempts) RecordEnd(whole bool) error {
	if whole {
		return a.apply("complete")
	}
	return a.apply("cut_off")
}

// Abandon records that the caller disconnected or the deadline passed, and
// returns whether the call ran, as far as known.
func (a *Attempts) Abandon() model.Run {
	run := a.combinedRun()
	_ = a.apply("give_up")
	return run
}

// Next returns the decision after an attempt has failed.
func (a *Attempts) Next(now time.Time, f Failure) Step {
	if err := a.recordFailure(f); err != nil {
		return Step{Verdict: Pending}
	}
	switch a.state {
	case stateNotRun, stateMayHaveRun:
	default:
		return Step{Verdict: Pending}
	}
	if reason := a.reasonToStop(now, f); reason != 0 {
		return a.giveUp(reason, f.RetryAfter)
	}
	if f.Run == model.RunNo {
		return a.failover(now, f)
	}
	return a.retry(now, f)
}

// recordFailure applies the failure to the call chart.
func (a *Attempts) recordFailure(f Failure) error {
	a.ran = a.ran || f.Run == model.RunYes
	if f.Run == model.RunNo {
		return a.apply("refuse")
	}
	return a.apply("lose")
}

// reasonToStop returns the reason that rules out another attempt, or 0.
func (a *Attempts) reasonToStop(now time.Time, f Failure) Reason {
	mayHaveRun := f.Run != model.RunNo || a.state == stateMayHaveRun
	switch {
	case notRetryable[f.Kind]:
		return NotRetryable
	case mayHaveRun && !a.call.Idempotent && !a.call.Keyed:
		return MayHaveRun
	case a.call.Keyed && f.Run == model.RunNo && f.Kind != problem.OwnerUnreachable:
		return NotRetryable
	case !a.hasTime(now, a.budget.opts.MinRemaining):
		return DeadlineNear
	case a.started >= a.budget.opts.MaxAttempts:
		return AttemptsExhausted
	}
	return 0
}

// notRetryable holds the kinds of problem that another attempt cannot resolve.
var notRetryable = map[problem.Kind]bool{
	problem.Unauthenticated:   true,
	problem.UnknownService:    true,
	problem.BadRequest:        true,
	problem.BodyTooLarge:      true,
	problem.DeadlineExceeded:  true,
	problem.AccountLimit:      true,
	problem.Quarantined:       true,
	problem.KeyInvalid:        true,
	problem.KeyExpired:        true,
	problem.KeyIssuerGone:     true,
	problem.KeyMismatch:       true,
	problem.KeyTableFull:      true,
	problem.StoreUnavailable:  true,
	problem.ClaimBudgetSpent:  true,
	problem.AnswerNotRetained: true,
	problem.Canceled:          true,
}

// failover decides on sending a call that is known not to have run to another
// owner.
func (a *Attempts) failover(now time.Time, f Failure) Step {
	if !a.budget.failovers.take(now) {
		return a.giveUp(BudgetExhausted, max(f.RetryAfter, a.budget.failovers.timeToToken()))
	}
	a.startAttempt()
	return Step{Verdict: RetryNow}
}

// retry decides on sending a call again that may have run. A keyed call takes
// nothing from the allowance, since its issuer never starts a second run that
// could make nested calls.
func (a *Attempts) retry(now time.Time, f Failure) Step {
	if !a.call.Keyed && a.allowance == 0 {
		return a.giveUp(AllowanceExhausted, f.RetryAfter)
	}
	if !a.budget.retries.take(now) {
		return a.giveUp(BudgetExhausted, max(f.RetryAfter, a.budget.retries.timeToToken()))
	}
	if !a.call.Keyed {
		a.allowance--
	}
	a.startAttempt()
	return Step{Verdict: RetryNow}
}

// startAttempt counts an attempt and applies its start to the call chart.
func (a *Attempts) startAttempt() {
	a.started++
	_ = a.apply("place")
}

// giveUp ends the call and returns the step that answers the caller.
func (a *Attempts) giveUp(reason Reason, wait time.Duration) Step {
	return Step{
		Verdict:    GiveUp,
		Reason:     reason,
		RetryAfter: a.budget.retryAfter(wait),
		Run:        a.Abandon(),
	}
}

// combinedRun returns whether any attempt ran, as far as known.
func (a *Attempts) combinedRun() model.Run {
	switch {
	case a.ran:
		return model.RunYes
	case a.state == stateNotRun:
		return model.RunNo
	}
	return model.RunUnknown
}

// hasTime reports whether more than the given time is left.
func (a *Attempts) hasTime(now time.Time, need time.Duration) bool {
	return a.call.Deadline.IsZero() || a.call.Deadline.Sub(now) > need
}
