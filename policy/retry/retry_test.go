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
)

var (
	lookup  = Call{Idempotent: true, Allowance: NoAllowance}
	payment = Call{Allowance: NoAllowance}
	keyed   = Call{Keyed: true, Allowance: NoAllowance}
)

func TestNext(t *testing.T) {
	withDeadline := func(c Call, left time.Duration) Call {
		c.Deadline = start.Add(left)
		return c
	}
	nested := func(allowance int) Call { return Call{Idempotent: true, Allowance: allowance, Hop: 3} }
	again := Step{Verdict: Again}
	gaveUp := func(reason Reason, run model.Run) Step { return Step{Verdict: GiveUp, Reason: reason, Run: run} }
	tests := []struct {
		name     string
		call     Call
		options  Options
		failures []Failure
		want     Step
	}{
		{name: "payment refused", call: payment, failures: []Failure{refusedCall}, want: again},
		{name: "payment lost", call: payment, failures: []Failure{lostCall}, want: gaveUp(MayHaveRun, model.RunUnknown)},
		{name: "payment refused, then lost", call: payment, failures: []Failure{refusedCall, lostCall}, want: gaveUp(MayHaveRun, model.RunUnknown)},
		{name: "payment cut off", call: payment, failures: []Failure{cutOff}, want: gaveUp(MayHaveRun, model.RunYes)},
		{name: "payment refused by all", call: payment, failures: []Failure{refusedCall, refusedCall, refusedCall, refusedCall}, want: gaveUp(TriesSpent, model.RunNo)},
		{name: "lookup lost", call: lookup, failures: []Failure{lostCall}, want: again},
		{name: "lookup cut off", call: lookup, failures: []Failure{cutOff}, want: again},
		{name: "lookup lost twice", call: lookup, failures: []Failure{lostCall, lostCall}, want: gaveUp(AllowanceSpent, model.RunUnknown)},
		{name: "lookup lost, then refused", call: lookup, failures: []Failure{lostCall, refusedCall}, want: again},
		{name: "lookup lost, then refused by all", call: lookup, failures: []Failure{lostCall, refusedCall, refusedCall, refusedCall}, want: gaveUp(TriesSpent, model.RunUnknown)},
		{name: "lookup cut off, then lost", call: lookup, failures: []Failure{cutOff, lostCall}, want: gaveUp(AllowanceSpent, model.RunYes)},
		{name: "nested without allowance", call: nested(NoAllowance), failures: []Failure{lostCall}, want: gaveUp(AllowanceSpent, model.RunUnknown)},
		{name: "nested, allowance spent", call: nested(0), failures: []Failure{lostCall}, want: gaveUp(AllowanceSpent, model.RunUnknown)},
		{name: "nested, refused", call: nested(0), failures: []Failure{refusedCall}, want: again},
		{name: "caller claims a large allowance", call: nested(1000), failures: []Failure{lostCall, lostCall}, want: gaveUp(AllowanceSpent, model.RunUnknown)},
		{name: "retries switched off", call: lookup, options: Options{Allowance: -1}, failures: []Failure{lostCall}, want: gaveUp(AllowanceSpent, model.RunUnknown)},
		{name: "keyed, issuer's answer lost", call: keyed, failures: []Failure{lostCall}, want: again},
		{name: "keyed, nested, answers lost", call: Call{Keyed: true, Hop: 3}, failures: []Failure{lostCall, lostCall, lostCall}, want: again},
		{name: "keyed, answers lost", call: keyed, failures: []Failure{lostCall, lostCall, lostCall, lostCall}, want: gaveUp(TriesSpent, model.RunUnknown)},
		{name: "keyed, issuer not reached", call: keyed, failures: []Failure{unreachable}, want: again},
		{name: "keyed, refused by the issuer", call: keyed, failures: []Failure{refusedCall}, want: gaveUp(NotRetryable, model.RunNo)},
		{name: "quarantined", call: lookup, failures: []Failure{{Run: model.RunNo, Kind: problem.Quarantined}}, want: gaveUp(NotRetryable, model.RunNo)},
		{name: "canceled", call: lookup, failures: []Failure{{Run: model.RunUnknown, Kind: problem.Canceled}}, want: gaveUp(NotRetryable, model.RunUnknown)},
		{name: "time left", call: withDeadline(lookup, time.Second), failures: []Failure{refusedCall}, want: again},
		{name: "no time left", call: withDeadline(lookup, time.Millisecond), failures: []Failure{refusedCall}, want: gaveUp(DeadlineNear, model.RunNo)},
		{name: "deadline passed", call: withDeadline(lookup, -time.Second), failures: []Failure{lostCall}, want: gaveUp(DeadlineNear, model.RunUnknown)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := NewBudget(tt.options).Begin(start, tt.call)
			var got Step
			for _, f := range tt.failures {
				got = a.Next(start, f)
			}
			if got.Verdict == GiveUp {
				qt.Assert(t, got.RetryAfter > 0, qt.IsTrue)
				got.RetryAfter = 0
			}
			qt.Assert(t, got, qt.Equals, tt.want)
		})
	}
}

func TestHedge(t *testing.T) {
	p95 := 20 * time.Millisecond
	tests := []struct {
		name string
		call Call
		want bool
	}{
		{"lookup", lookup, true},
		{"payment", payment, false},
		{"keyed", keyed, false},
		{"nested without allowance", Call{Idempotent: true, Hop: 1, Allowance: NoAllowance}, false},
		{"no time for it", Call{Idempotent: true, Allowance: 1, Deadline: start.Add(p95)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := NewBudget(Options{}).Begin(start, tt.call)
			wait, ok := a.HedgeAfter(start, p95)
			qt.Assert(t, ok, qt.Equals, tt.want)
			qt.Assert(t, ok && wait != p95, qt.IsFalse)
			qt.Assert(t, a.Hedge(start.Add(p95)), qt.Equals, tt.want)
			qt.Assert(t, a.Hedge(start.Add(p95)), qt.IsFalse, qt.Commentf("a second hedge"))
		})
	}
}

func TestHedgedAttempts(t *testing.T) {
	tests := []struct {
		name     string
		failures []Failure
		want     []Verdict
		run      model.Run
	}{
		{"one refused", []Failure{refusedCall}, []Verdict{Pending}, model.RunUnknown},
		{"both refused", []Failure{refusedCall, refusedCall}, []Verdict{Pending, Again}, model.RunUnknown},
		{"one lost, one refused", []Failure{lostCall, refusedCall}, []Verdict{Pending, Again}, model.RunUnknown},
		{"both lost", []Failure{lostCall, lostCall}, []Verdict{Pending, GiveUp}, model.RunUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := NewBudget(Options{}).Begin(start, lookup)
			qt.Assert(t, a.Hedge(start), qt.IsTrue)
			qt.Assert(t, a.Allowance(), qt.Equals, 0)
			for n, f := range tt.failures {
				qt.Assert(t, a.Next(start, f).Verdict, qt.Equals, tt.want[n])
			}
			qt.Assert(t, a.Abandon(), qt.Equals, tt.run)
		})
	}
}

// Retries and hedges fade when nothing succeeds, and are a fraction of the
// successes otherwise.
func TestBudgetFractions(t *testing.T) {
	tests := []struct {
		name      string
		succeed   bool
		fail      Failure
		min, most int
	}{
		{"retries, all lost", false, lostCall, 100, 120},
		{"retries, others succeed", true, lostCall, 1000, 1120},
		{"elsewhere", false, refusedCall, 5000, 5120},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := NewBudget(Options{})
			again := 0
			for n := range 10_000 {
				now := start.Add(time.Duration(n) * 10 * time.Millisecond)
				if tt.succeed {
					b.Succeeded(now)
				}
				if b.Begin(now, lookup).Next(now, tt.fail).Verdict == Again {
					again++
				}
			}
			qt.Assert(t, again >= tt.min && again <= tt.most, qt.IsTrue, qt.Commentf("%d", again))
		})
	}
}

// A spent budget answers at once and says when a token is there again.
func TestRetryAfter(t *testing.T) {
	b := NewBudget(Options{FloorPerSecond: 0.1, Burst: 1, Seed: 1})
	qt.Assert(t, b.Begin(start, lookup).Next(start, lostCall).Verdict, qt.Equals, Again)
	step := b.Begin(start, lookup).Next(start, lostCall)
	qt.Assert(t, step.Reason, qt.Equals, BudgetSpent)
	qt.Assert(t, step.RetryAfter >= 10*time.Second && step.RetryAfter <= 12500*time.Millisecond, qt.IsTrue)
	step = b.Begin(start, payment).Next(start, Failure{Run: model.RunUnknown, RetryAfter: time.Hour})
	qt.Assert(t, step.RetryAfter >= 30*time.Second && step.RetryAfter <= 37500*time.Millisecond, qt.IsTrue)
}

func TestAnswerEndsTheChoice(t *testing.T) {
	a := NewBudget(Options{}).Begin(start, lookup)
	qt.Assert(t, a.Answered(start), qt.IsNil)
	qt.Assert(t, a.Hedge(start), qt.IsFalse)
	qt.Assert(t, a.Next(start, lostCall).Verdict, qt.Equals, GiveUp)
	b := NewBudget(Options{}).Begin(start, lookup)
	qt.Assert(t, b.Answered(start), qt.IsNil)
	qt.Assert(t, b.Ended(true), qt.IsNil)
	qt.Assert(t, b.Ended(false), qt.Not(qt.IsNil))
}

// chain makes every attempt of every level fail after its nested call, and
// returns the number of attempts.
func chain(b *Budget, levels, hop, allowance int) int {
	if levels == 0 {
		return 0
	}
	a := b.Begin(start, Call{Idempotent: true, Allowance: allowance, Hop: hop})
	attempts := 0
	for {
		attempts += 1 + chain(b, levels-1, hop+1, a.Allowance())
		if a.Next(start, lostCall).Verdict != Again {
			return attempts
		}
	}
}

// bound is C(levels+allowance+1, allowance+1) - 1.
func bound(levels, allowance int) int {
	c := 1
	for k := 1; k <= allowance+1; k++ {
		c = c * (levels + k) / k
	}
	return c - 1
}

// No choice of failures on a chain makes more attempts than the bound.
func TestChainBound(t *testing.T) {
	tests := []struct{ levels, allowance, want int }{
		{24, 0, 24}, {24, 1, 324}, {24, 2, 2924}, {1, 1, 2}, {10, 3, 1000},
	}
	for _, tt := range tests {
		none := -1
		opts := Options{Allowance: tt.allowance, Burst: 1e6, MaxTries: 10}
		if tt.allowance == 0 {
			opts.Allowance = none
		}
		b := NewBudget(opts)
		qt.Assert(t, chain(b, tt.levels, 0, NoAllowance), qt.Equals, tt.want)
		qt.Assert(t, bound(tt.levels, tt.allowance), qt.Equals, tt.want)
	}
}

// With the default budgets the first chain may use the burst; in a steady
// state the successes pay for few further attempts.
func TestChainWithinBudgets(t *testing.T) {
	b := NewBudget(Options{})
	qt.Assert(t, chain(b, 24, 0, NoAllowance) <= 24+10*24, qt.IsTrue)
	qt.Assert(t, chain(b, 24, 0, NoAllowance), qt.Equals, 24)
}

// Random failures: a call that may not run twice has at most one attempt that
// may have run, and "not run" is only said when none may have.
func TestAttemptsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		call := Call{
			Idempotent: rapid.Bool().Draw(t, "idempotent"),
			Allowance:  rapid.IntRange(NoAllowance, 3).Draw(t, "allowance"),
			Deadline:   start.Add(time.Second),
		}
		a := NewBudget(Options{Allowance: 3, MaxTries: 6}).Begin(start, call)
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
			case step.Verdict == Again && !now.Before(call.Deadline):
				t.Fatalf("an attempt started after the deadline")
			case step.Verdict == Again:
				inFlight++
			case step.Verdict == GiveUp && (step.Run == model.RunNo) != (mayHaveRun == 0):
				t.Fatalf("said run %q, %d may have run", step.Run, mayHaveRun)
			case step.Verdict == Pending && inFlight == 0:
				t.Fatalf("waits for nothing")
			}
		}
		if !call.Idempotent && mayHaveRun > 1 {
			t.Fatalf("%d attempts may have run", mayHaveRun)
		}
	})
}
