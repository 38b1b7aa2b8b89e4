package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

var start = time.Date(2030, 5, 1, 8, 0, 0, 0, time.UTC)

var (
	refusedCall = Failure{Run: model.RunNo, Kind: problem.Overloaded, RetryAfter: 3 * time.Second}
	unreachable = Failure{Run: model.RunNo, Kind: problem.OwnerUnreachable}
	lostCall    = Failure{Run: model.RunUnknown, Kind: problem.OwnerUnreachable}
	cutOff      = Failure{Run: model.RunYes, Kind: problem.AnswerCutOff}
	quarantined = Failure{Run: model.RunNo, Kind: problem.Quarantined}
	canceled    = Failure{Run: model.RunUnknown, Kind: problem.Canceled}

	lookup  = Call{Idempotent: true, Allowance: NoAllowance}
	payment = Call{Allowance: NoAllowance}
	keyed   = Call{Keyed: true, Allowance: NoAllowance}
)

// nested returns a lookup that is nested in three calls.
func nested(allowance int) Call { return Call{Idempotent: true, Allowance: allowance, NestingDepth: 3} }

// within returns a lookup whose deadline is the given time after start.
func within(left time.Duration) Call {
	return Call{Idempotent: true, Allowance: NoAllowance, Deadline: start.Add(left)}
}

// times returns n copies of a failure.
func times(n int, f Failure) []Failure {
	failures := make([]Failure, n)
	for k := range failures {
		failures[k] = f
	}
	return failures
}

func TestNext(t *testing.T) {
	gaveUp := func(reason Reason, run model.Run) Step { return Step{Verdict: GiveUp, Reason: reason, Run: run} }
	tests := []struct {
		name     string
		call     Call
		failures []Failure
		want     Step
	}{
		{"payment refused", payment, times(1, refusedCall), Step{Verdict: RetryNow}},
		{"payment lost", payment, times(1, lostCall), gaveUp(MayHaveRun, model.RunUnknown)},
		{"payment refused, then lost", payment, []Failure{refusedCall, lostCall}, gaveUp(MayHaveRun, model.RunUnknown)},
		{"payment cut off", payment, times(1, cutOff), gaveUp(MayHaveRun, model.RunYes)},
		{"payment refused by all", payment, times(4, refusedCall), gaveUp(AttemptsExhausted, model.RunNo)},
		{"lookup lost", lookup, times(1, lostCall), Step{Verdict: RetryNow}},
		{"lookup cut off", lookup, times(1, cutOff), Step{Verdict: RetryNow}},
		{"lookup lost twice", lookup, times(2, lostCall), gaveUp(AllowanceExhausted, model.RunUnknown)},
		{"lookup lost, then refused", lookup, []Failure{lostCall, refusedCall}, Step{Verdict: RetryNow}},
		{"lookup lost, then refused by all", lookup, append(times(1, lostCall), times(3, refusedCall)...), gaveUp(AttemptsExhausted, model.RunUnknown)},
		{"lookup cut off, then lost", lookup, []Failure{cutOff, lostCall}, gaveUp(AllowanceExhausted, model.RunYes)},
		{"nested without allowance", nested(NoAllowance), times(1, lostCall), gaveUp(AllowanceExhausted, model.RunUnknown)},
		{"nested, refused", nested(0), times(1, refusedCall), Step{Verdict: RetryNow}},
		{"caller claims a large allowance", nested(1000), times(2, lostCall), gaveUp(AllowanceExhausted, model.RunUnknown)},
		{"keyed, answers lost", keyed, times(4, lostCall), gaveUp(AttemptsExhausted, model.RunUnknown)},
		{"keyed, nested, answers lost", Call{Keyed: true, NestingDepth: 3}, times(3, lostCall), Step{Verdict: RetryNow}},
		{"keyed, issuer not reached", keyed, times(1, unreachable), Step{Verdict: RetryNow}},
		{"keyed, refused by the issuer", keyed, times(1, refusedCall), gaveUp(NotRetryable, model.RunNo)},
		{"quarantined", lookup, times(1, quarantined), gaveUp(NotRetryable, model.RunNo)},
		{"canceled", lookup, times(1, canceled), gaveUp(NotRetryable, model.RunUnknown)},
		{"time left", within(time.Second), times(1, refusedCall), Step{Verdict: RetryNow}},
		{"no time left", within(time.Millisecond), times(1, refusedCall), gaveUp(DeadlineNear, model.RunNo)},
		{"deadline passed", within(-time.Second), times(1, lostCall), gaveUp(DeadlineNear, model.RunUnknown)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := NewBudget(Options{}).Begin(start, tt.call)
			var got Step
			for _, f := range tt.failures {
				got = a.Next(start, f)
			}
			qt.Assert(t, got.RetryAfter > 0, qt.Equals, got.Verdict == GiveUp)
			got.RetryAfter = 0
			qt.Assert(t, got, qt.Equals, tt.want)
		})
	}
}

func TestHedge(t *testing.T) {
	p95 := 20 * time.Millisecond
	tests := []struct {
		name     string
		call     Call
		hedged   bool
		failures []Failure
		want     Verdict
	}{
		{"one refused", lookup, true, times(1, refusedCall), Pending},
		{"both refused", lookup, true, times(2, refusedCall), RetryNow},
		{"one lost, one refused", lookup, true, []Failure{lostCall, refusedCall}, RetryNow},
		{"both lost", lookup, true, times(2, lostCall), GiveUp},
		{"payment", payment, false, nil, 0},
		{"keyed", keyed, false, nil, 0},
		{"nested without allowance", nested(NoAllowance), false, nil, 0},
		{"no time for a hedge", within(p95), false, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := NewBudget(Options{}).Begin(start, tt.call)
			_, ok := a.HedgeAfter(start, p95)
			qt.Assert(t, ok, qt.Equals, tt.hedged)
			qt.Assert(t, a.Hedge(start.Add(p95)), qt.Equals, tt.hedged)
			qt.Assert(t, a.Hedge(start.Add(p95)), qt.IsFalse, qt.Commentf("a second hedge"))
			var got Verdict
			for _, f := range tt.failures {
				got = a.Next(start, f).Verdict
			}
			qt.Assert(t, got, qt.Equals, tt.want)
		})
	}
}

// Retries are limited to the minimum refill rate when nothing succeeds, and to
// a fraction of the successes otherwise. Each bound leaves room for the burst
// and for the tokens of the minimum refill rate.
func TestBudgetFractions(t *testing.T) {
	tests := []struct {
		name    string
		succeed bool
		fail    Failure
		least   int
	}{
		{"retries, all lost", false, lostCall, 100},
		{"retries, others succeed", true, lostCall, 1000},
		{"failovers, all refused", false, refusedCall, 5000},
	}
	for _, tt := range tests {
		b, again := NewBudget(Options{}), 0
		for n := range 10_000 {
			now := start.Add(time.Duration(n) * 10 * time.Millisecond)
			if tt.succeed {
				b.RecordSuccess(now)
			}
			if b.Begin(now, lookup).Next(now, tt.fail).Verdict == RetryNow {
				again++
			}
		}
		qt.Assert(t, again >= tt.least && again <= tt.least+120, qt.IsTrue, qt.Commentf("%s: %d", tt.name, again))
	}
}

// When nothing succeeds, the retries of all entries together stay within the
// shared minimum refill rate, apart from one initial retry per entry.
func TestMinRefillIsSharedByEntries(t *testing.T) {
	const entries, seconds = 500, 60
	again := 0
	for range entries {
		b := NewBudget(Options{})
		b.SetEntries(start, entries)
		for n := range seconds {
			now := start.Add(time.Duration(n) * time.Second)
			if b.Begin(now, lookup).Next(now, lostCall).Verdict == RetryNow {
				again++
			}
		}
	}
	qt.Assert(t, again >= entries && again <= entries+defaultMinRefillPerSecond*seconds, qt.IsTrue, qt.Commentf("%d", again))
}

// An exhausted budget gives up immediately and reports the time until the next
// token, with jitter and within the bounds.
func TestRetryAfter(t *testing.T) {
	b := NewBudget(Options{MinRefillPerSecond: 0.1, Burst: 1, Entries: 1, Seed: 1})
	qt.Assert(t, b.Begin(start, lookup).Next(start, lostCall).Verdict, qt.Equals, RetryNow)
	step := b.Begin(start, lookup).Next(start, lostCall)
	qt.Assert(t, step.Reason, qt.Equals, BudgetExhausted)
	qt.Assert(t, step.RetryAfter >= 10*time.Second && step.RetryAfter <= 12500*time.Millisecond, qt.IsTrue)
	step = b.Begin(start, payment).Next(start, Failure{Run: model.RunUnknown, RetryAfter: time.Hour})
	qt.Assert(t, step.RetryAfter >= 30*time.Second && step.RetryAfter <= 37500*time.Millisecond, qt.IsTrue)
}

func TestNoFurtherAttemptAfterAnswer(t *testing.T) {
	a := NewBudget(Options{}).Begin(start, lookup)
	qt.Assert(t, a.RecordAnswer(start), qt.IsNil)
	qt.Assert(t, a.Hedge(start), qt.IsFalse)
	qt.Assert(t, a.Next(start, lostCall).Verdict, qt.Equals, Pending)
	qt.Assert(t, a.RecordEnd(true), qt.IsNil)
	qt.Assert(t, a.RecordEnd(false), qt.Not(qt.IsNil))
}

// chain returns the number of attempts on a chain of nested calls in which
// every attempt fails after its nested call.
func chain(b *Budget, levels, hop, allowance int) int {
	if levels == 0 {
		return 0
	}
	a := b.Begin(start, Call{Idempotent: true, Allowance: allowance, NestingDepth: hop})
	attempts := 1 + chain(b, levels-1, hop+1, a.Allowance())
	for a.Next(start, lostCall).Verdict == RetryNow {
		attempts += 1 + chain(b, levels-1, hop+1, a.Allowance())
	}
	return attempts
}

// A chain in which everything fails makes C(levels+allowance+1, allowance+1)-1
// attempts when the budget does not limit it. With the default budget the
// first chain may use the burst, and the next one makes no further attempts.
func TestNestedAttemptsAreBounded(t *testing.T) {
	tests := []struct{ levels, allowance, want int }{
		{24, -1, 24}, {24, 1, 324}, {24, 2, 2924}, {1, 1, 2}, {10, 3, 1000},
	}
	for _, tt := range tests {
		b := NewBudget(Options{Allowance: tt.allowance, Burst: 1e6, MaxAttempts: 10})
		qt.Assert(t, chain(b, tt.levels, 0, NoAllowance), qt.Equals, tt.want)
	}
	b := NewBudget(Options{})
	qt.Assert(t, chain(b, 24, 0, NoAllowance) <= 24+10*24, qt.IsTrue)
	qt.Assert(t, chain(b, 24, 0, NoAllowance), qt.Equals, 24)
}

// Under random failures, a call that is not idempotent has at most one attempt
// that may have run, "not run" is reported only if no attempt may have run,
// and no attempt starts after the deadline.
func TestAttemptsUnderRandomFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		call := within(time.Second)
		call.Idempotent = rapid.Bool().Draw(t, "idempotent")
		call.Allowance = rapid.IntRange(NoAllowance, 3).Draw(t, "allowance")
		a := NewBudget(Options{Allowance: 3, MaxAttempts: 6}).Begin(start, call)
		now, inFlight, mayHaveRun := start, 1, 0
		for inFlight > 0 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "hedge") && a.Hedge(now) {
				inFlight++
			}
			f := rapid.SampledFrom([]Failure{refusedCall, unreachable, lostCall, cutOff}).Draw(t, "failure")
			if f.Run != model.RunNo {
				mayHaveRun++
			}
			inFlight--
			step := a.Next(now, f)
			switch {
			case step.Verdict == RetryNow && !now.Before(call.Deadline):
				t.Fatalf("an attempt started after the deadline")
			case step.Verdict == RetryNow:
				inFlight++
			case step.Verdict == GiveUp && (step.Run == model.RunNo) != (mayHaveRun == 0):
				t.Fatalf("reported run %q, but %d attempts may have run", step.Run, mayHaveRun)
			case step.Verdict == Pending && inFlight == 0:
				t.Fatalf("pending with no attempt in flight")
			}
		}
		if !call.Idempotent && mayHaveRun > 1 {
			t.Fatalf("%d attempts may have run", mayHaveRun)
		}
	})
}
