package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/retry"
)

// immediateRetries counts the retries that the budget grants without a delay.
func (e *Entry) immediateRetries(service model.Service) int {
	now := time.Now()
	for n := 0; ; n++ {
		a := e.budget(service).Begin(now, retry.Call{Idempotent: true, Allowance: retry.NoAllowance})
		if a.Next(now, retry.Failure{Run: model.RunUnknown, Kind: problem.TargetFailed}).Verdict != retry.RetryNow {
			return n
		}
	}
}

func TestEntriesShareRetryBudget(t *testing.T) {
	for _, c := range []struct{ entries, immediateRetries int }{{20, 10}, {100, 2}, {2200, 1}} {
		e := New(Options{})
		existing := e.budget("permits")
		e.SetEntries(c.entries)
		qt.Assert(t, e.budget("permits"), qt.Equals, existing)
		qt.Assert(t, e.immediateRetries("permits"), qt.Equals, c.immediateRetries)
		qt.Assert(t, e.immediateRetries("bookings"), qt.Equals, c.immediateRetries)
	}
}
