package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func TestNodeIsBehindWhileOthersReportANewerRevision(t *testing.T) {
	p := NewPuller()
	qt.Assert(t, p.Behind(start, 1), qt.IsFalse)
	p.Report(start, "a", 2, 1)
	qt.Assert(t, p.Behind(start, 1), qt.IsTrue)
	qt.Assert(t, p.RetryAfter(start), qt.Equals, minRetryAfter)
	qt.Assert(t, p.RetryAfter(start.Add(2*time.Second)), qt.Equals, time.Second)
	// A report of an older revision does not extend the time.
	p.Report(start.Add(reportTTL/2), "b", 1, 0)
	qt.Assert(t, p.Behind(start.Add(reportTTL-1), 1), qt.IsTrue)
	qt.Assert(t, p.Behind(start.Add(reportTTL), 1), qt.IsFalse)
	p.Report(start.Add(reportTTL), "b", 2, 1)
	qt.Assert(t, p.Behind(start.Add(2*reportTTL-1), 1), qt.IsTrue)
	qt.Assert(t, p.Behind(start.Add(reportTTL), 2), qt.IsFalse)
}
