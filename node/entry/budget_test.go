package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/retry"
)

// retries counts the retries that the entry grants at once.
func (e *Entry) retries(service model.Service) int {
	now := time.Now()
	for n := 0; ; n++ {
		a := e.budget(service).Begin(now, retry.Call{Idempotent: true, Allowance: retry.NoAllowance})
		if a.Next(now, retry.Failure{Run: model.RunUnknown, Kind: problem.TargetFailed}).Verdict != retry.RetryNow {
			return n
		}
	}
}

func TestEntriesShareTheBudget(t *testing.T) {
	for _, c := range []struct{ entries, retries int }{{20, 10}, {100, 2}, {2200, 1}} {
		e := New(Options{})
		before := e.budget("permits")
		e.SetEntries(c.entries)
		qt.Assert(t, e.budget("permits"), qt.Equals, before)
		qt.Assert(t, e.retries("permits"), qt.Equals, c.retries)
		qt.Assert(t, e.retries("bookings"), qt.Equals, c.retries)
	}
}
