package retry

import (
	"time"

	"zinniafall/policy/chart"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// NoAllowance says that a call arrived without an allowance.
const NoAllowance = -1

// Call is what the decisions need to know of a call.
type Call struct {
	// Idempotent calls may run more than once.
	Idempotent bool
	// Keyed calls go to the issuer of their request key, which runs them at
	// most once; they may be sent to it again, and to nobody else.
	Keyed bool
	// Deadline after which no attempt starts. Zero means none.
	Deadline time.Time
	// Allowance that arrived with the call; NoAllowance when none did.
	Allowance int
	// Depth is the number of calls above this one; 0 for a first caller's call.
	Depth int
}

// Failure is how one attempt ended without an answer for the caller.
type Failure struct {
	// Run says whether the attempt reached a target.
	Run model.Run
	// Kind of the problem.
	Kind problem.Kind
	// RetryAfter is the owner's advice; 0 gives none.
	RetryAfter time.Duration
}

// Verdict is the decision after a failure.
type Verdict uint8

// The verdicts after a failure.
const (
	// RetryNow sends the call again at once.
	RetryNow Verdict = iota + 1
	// GiveUp answers the caller at once.
	GiveUp
	// Pending means that there is nothing to do: another attempt is in flight,
	// or the call has its answer already.
	Pending
)

// Reason says why a call was given up.
type Reason uint8

// The reasons to give up.
const (
	// NotRetryable means that another attempt cannot help.
	NotRetryable Reason = iota + 1
	// MayHaveRun means that the call is not idempotent and may have run.
	MayHaveRun
	// DeadlineNear means that no time is left for another attempt.
	DeadlineNear
	// AttemptsExhausted means that the limit of tries at this level is reached.
	AttemptsExhausted
	// AllowanceExhausted means that the path has no further attempts left.
	AllowanceExhausted
	// BudgetExhausted means that the entry's budget is empty.
	BudgetExhausted
)

// Step is the decision after a failure.
type Step struct {
	Verdict Verdict
	// Reason is set on GiveUp.
	Reason Reason
	// Run is what the caller is told on GiveUp. It covers all attempts.
	Run model.Run
	// RetryAfter is what the caller is told on GiveUp.
	RetryAfter time.Duration
}

// Attempts follows one call through its attempts.
type Attempts struct {
	budget    *Budget
	call      Call
	state     chart.State
	allowance int
	tries     int
	ran       bool
}

var callChart = chart.LoadTable(chart.Call)

// The states of the call chart that decisions depend on.
const (
	stateNotRun     chart.State = "not_run"
	stateMayHaveRun chart.State = "may_have_run"
)

// Begin records the first attempt of a call.
func (b *Budget) Begin(now time.Time, call Call) *Attempts {
	b.elsewhere.fill(now)
	b.elsewhere.add(b.opts.FailoverFraction)
	a := &Attempts{
		budget:    b,
		call:      call,
		state:     callChart.Initial(),
		allowance: b.allowance(call),
	}
	a.place()
	return a
}

// allowance is what the call may add. A caller cannot raise it; a nested call
// that lost it on the way has none.
func (b *Budget) allowance(call Call) int {
	switch {
	case call.Allowance >= 0:
		return min(call.Allowance, b.opts.Allowance)
	case call.Depth > 0:
		return 0
	}
	return b.opts.Allowance
}

// Allowance returns what the latest attempt passes down.
func (a *Attempts) Allowance() int { return a.allowance }

// State returns the state of the call in its chart.
func (a *Attempts) State() chart.State { return a.state }

// send applies an event of the call chart.
func (a *Attempts) send(e chart.Event) error {
	to, err := callChart.Next(a.state, e)
	a.state = to
	return err
}

// RecordAnswer records that an answer began to arrive, which ends the choice
// between attempts and pays for further attempts of other calls.
func (a *Attempts) RecordAnswer(now time.Time) error {
	a.budget.RecordSuccess(now)
	return a.send("answer")
}

// RecordEnd records whether the answer arrived whole.
func (a *Attempts) RecordEnd(whole bool) error {
	if whole {
		return a.send("complete")
	}
	return a.send("cut_off")
}

// Abandon records that the caller left or the deadline passed, and returns
// what is known of the run.
func (a *Attempts) Abandon() model.Run {
	run := a.known()
	_ = a.send("give_up")
	return run
}

// Next decides after one attempt has failed.
func (a *Attempts) Next(now time.Time, f Failure) Step {
	if err := a.failed(f); err != nil {
		return Step{Verdict: Pending}
	}
	switch a.state {
	case stateNotRun, stateMayHaveRun:
	default:
		return Step{Verdict: Pending}
	}
	if reason := a.forbidden(now, f); reason != 0 {
		return a.giveUp(reason, f.RetryAfter)
	}
	if f.Run == model.RunNo {
		return a.elsewhere(now, f)
	}
	return a.retry(now, f)
}

// failed moves the chart.
func (a *Attempts) failed(f Failure) error {
	a.ran = a.ran || f.Run == model.RunYes
	if f.Run == model.RunNo {
		return a.send("refuse")
	}
	return a.send("lose")
}

// forbidden returns why another attempt is out of the question, or 0.
func (a *Attempts) forbidden(now time.Time, f Failure) Reason {
	mayHaveRun := f.Run != model.RunNo || a.state == stateMayHaveRun
	switch {
	case final[f.Kind]:
		return NotRetryable
	case mayHaveRun && !a.call.Idempotent && !a.call.Keyed:
		return MayHaveRun
	case a.call.Keyed && f.Run == model.RunNo && f.Kind != problem.OwnerUnreachable:
		return NotRetryable
	case !a.hasTime(now, a.budget.opts.MinRemaining):
		return DeadlineNear
	case a.tries >= a.budget.opts.MaxAttempts:
		return AttemptsExhausted
	}
	return 0
}

// final are the kinds that another attempt cannot mend.
var final = map[problem.Kind]bool{
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

// elsewhere sends a call that certainly did not run to another owner.
func (a *Attempts) elsewhere(now time.Time, f Failure) Step {
	if !a.budget.elsewhere.take(now) {
		return a.giveUp(BudgetExhausted, max(f.RetryAfter, a.budget.elsewhere.wait()))
	}
	a.place()
	return Step{Verdict: RetryNow}
}

// retry sends a call again that may have run. A keyed call takes nothing from
// the allowance, since its issuer starts no second run with nested calls.
func (a *Attempts) retry(now time.Time, f Failure) Step {
	if !a.call.Keyed && a.allowance == 0 {
		return a.giveUp(AllowanceExhausted, f.RetryAfter)
	}
	if !a.budget.retries.take(now) {
		return a.giveUp(BudgetExhausted, max(f.RetryAfter, a.budget.retries.wait()))
	}
	if !a.call.Keyed {
		a.allowance--
	}
	a.place()
	return Step{Verdict: RetryNow}
}

func (a *Attempts) place() {
	a.tries++
	_ = a.send("place")
}

func (a *Attempts) giveUp(reason Reason, wait time.Duration) Step {
	return Step{
		Verdict:    GiveUp,
		Reason:     reason,
		RetryAfter: a.budget.retryAfter(wait),
		Run:        a.Abandon(),
	}
}

// known is what may be said of the run of all attempts together.
func (a *Attempts) known() model.Run {
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
