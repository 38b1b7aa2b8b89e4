package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func TestNodeIsBehindWhileOthersReportANewerRevision(t *testing.T) {
	p := NewPuller(1)
	qt.Assert(t, p.Behind(start, 1), qt.IsFalse)
	p.Report(start, "a", true, 2, 1)
	qt.Assert(t, p.Behind(start, 1), qt.IsTrue)
	qt.Assert(t, p.RetryAfter(start), qt.Equals, minRetryAfter)
	qt.Assert(t, p.RetryAfter(start.Add(2*time.Second)), qt.Equals, time.Second)
	// A report of an older revision does not extend the time.
	p.Report(start.Add(reportTTL/2), "b", true, 1, 0)
	qt.Assert(t, p.Behind(start.Add(reportTTL-1), 1), qt.IsTrue)
	qt.Assert(t, p.Behind(start.Add(reportTTL), 1), qt.IsFalse)
	p.Report(start.Add(reportTTL), "b", true, 2, 1)
	qt.Assert(t, p.Behind(start.Add(2*reportTTL-1), 1), qt.IsTrue)
	qt.Assert(t, p.Behind(start.Add(reportTTL), 2), qt.IsFalse)
}

func TestNodeOfTheOwnDomainIsPreferred(t *testing.T) {
	p := NewPuller(1)
	p.Report(start, "far", false, 3, 1)
	p.Report(start, "near", true, 2, 1)
	from, _ := p.Next(start, 1)
	qt.Assert(t, from, qt.Equals, model.NodeAddr("near"))
	from, wait := p.Next(start, 1) // one transfer at a time, unless it is slow
	qt.Assert(t, from, qt.Equals, model.NodeAddr(""))
	qt.Assert(t, wait, qt.Equals, slowTransfer)
	// The near node fails: it is asked again later, the other one after a while.
	p.Finished(start, "near", Failed, nil, 1)
	from, wait = p.Next(start, 1)
	qt.Assert(t, from, qt.Equals, model.NodeAddr(""))
	qt.Assert(t, wait > 0 && wait <= minFailureDelay*5/4, qt.IsTrue)
	p.Report(start.Add(otherDomainDelay), "near", true, 2, 1)
	p.holders[1].notBefore = start.Add(time.Hour)
	from, _ = p.Next(start.Add(otherDomainDelay), 1)
	qt.Assert(t, from, qt.Equals, model.NodeAddr("far"))
}

// TestFailedTransferGoesToAnotherNode guards against the repeated transfer from the node
// at which the last one failed.
func TestFailedTransferGoesToAnotherNode(t *testing.T) {
	p := NewPuller(1)
	p.Report(start, "a", true, 2, 1)
	p.Report(start, "b", true, 2, 1)
	first, _ := p.Next(start, 1)
	p.Finished(start, first, Failed, nil, 1)
	second, _ := p.Next(start, 1)
	qt.Assert(t, second != first && second != "", qt.IsTrue)
}

func TestBusyNodeNamesAlternatives(t *testing.T) {
	var s Sender
	qt.Assert(t, s.Begin(100<<10), qt.IsTrue)
	qt.Assert(t, s.Begin(100<<10), qt.IsFalse)
	qt.Assert(t, s.Begin(1<<10), qt.IsTrue)
	s.Finished(100<<10, 2, "b", true)
	s.Finished(1<<10, 2, "c", false)
	qt.Assert(t, s.Begin(1<<20), qt.IsTrue) // alone
	qt.Assert(t, s.Begin(1), qt.IsFalse)
	qt.Assert(t, s.Alternatives(2), qt.DeepEquals, []model.NodeAddr{"b"})
	qt.Assert(t, s.Alternatives(3), qt.HasLen, 0)

	p := NewPuller(1)
	p.Report(start, "a", true, 2, 1)
	from, _ := p.Next(start, 1)
	p.Finished(start, from, Busy, s.Alternatives(2), 1)
	from, _ = p.Next(start, 1)
	qt.Assert(t, from, qt.Equals, model.NodeAddr("b"))
}

func TestKnownHoldersAreBounded(t *testing.T) {
	p := NewPuller(1)
	for i := range 3 * maxHolders {
		p.Report(start.Add(time.Duration(i)), model.NodeAddr([]byte{byte('a' + i)}), i%2 == 0, 2, 1)
	}
	qt.Assert(t, p.holders, qt.HasLen, maxHolders)
	for _, h := range p.holders {
		qt.Assert(t, h.near, qt.IsTrue)
	}
	p.Report(start, "x", true, 3, 2) // drops the holders of what is in force
	qt.Assert(t, p.holders, qt.HasLen, 1)
}

// TestReceivedConfigurationThatIsNotInForceIsNotFetchedAtOnce requires a pause after a
// transfer that did not bring a newer configuration into force: nodes that have it report
// it with each call and greeting, and what they send is not usable here.
func TestReceivedConfigurationThatIsNotInForceIsNotFetchedAtOnce(t *testing.T) {
	p := NewPuller(1)
	const calls = 50
	fetched, now := 0, start
	for range calls {
		p.Report(now, "a", true, 2, 1)
		if from, _ := p.Next(now, 1); from != "" {
			fetched++
			p.Finished(now, from, Received, nil, 1)
		}
		now = now.Add(10 * time.Millisecond)
	}
	// After the delays of failed transfers (200 ms, 400 ms) there are at most three.
	qt.Assert(t, fetched <= 3, qt.IsTrue, qt.Commentf("%d transfers in half a second", fetched))
}

// TestNodeIsBehindWhileAnyNewerRevisionIsReported guards against the answer 404 of a node
// to which all others report a newer configuration, while a still newer one was reported
// once, by a node that is gone.
func TestNodeIsBehindWhileAnyNewerRevisionIsReported(t *testing.T) {
	p := NewPuller(1)
	p.Report(start, "gone", false, 3, 1)
	for now := start; now.Before(start.Add(3 * reportTTL)); now = now.Add(time.Second) {
		p.Report(now, "a", true, 2, 1)
		qt.Assert(t, p.Behind(now, 1), qt.IsTrue, qt.Commentf("%v after the start", now.Sub(start)))
	}
}

// TestOverdueConfiguration requires that the time counts from the first report of the earliest
// revision that is missing, and only while other nodes have it and it is valid here.
func TestOverdueConfiguration(t *testing.T) {
	const applyTime = 2500 * time.Millisecond
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	p := NewPuller(1)
	p.Report(start, "a", true, 2, 1)
	p.Report(at(1000), "a", true, 3, 1)
	for _, c := range []struct {
		ms   int
		have model.Revision
		want bool
	}{{1499, 1, false}, {1500, 1, true}, {1500, 2, false}, {2500, 2, true}, {2500, 3, false}, {6000, 1, false}} {
		qt.Check(t, p.Overdue(at(c.ms), c.have, applyTime), qt.Equals, c.want, qt.Commentf("%+v", c))
	}
	qt.Check(t, p.Overdue(at(2500), 1, 0), qt.IsFalse)
	p.Reject(2)
	qt.Check(t, p.Overdue(at(1500), 1, applyTime), qt.IsFalse)
	qt.Check(t, p.Overdue(at(2500), 1, applyTime), qt.IsTrue)
	p.Reject(3)
	qt.Check(t, p.Overdue(at(2500), 1, applyTime), qt.IsFalse)
	from, _ := p.Next(at(2500), 1)
	qt.Check(t, from, qt.Equals, model.NodeAddr(""))
}

// TestStoreIsLeftToItsWatchers requires that a node reads the store neither before others had
// the time to send the configuration, nor beside a transfer, nor often.
func TestStoreIsLeftToItsWatchers(t *testing.T) {
	p := NewPuller(1)
	p.Report(start, "a", true, 2, 1)
	take := func(at time.Duration, watches bool) bool {
		p.Report(start.Add(at), "a", true, 2, 1)
		taken, _ := p.TakeStore(start.Add(at), 1, 1, watches)
		return taken
	}
	qt.Check(t, take(storeDelay-1, false), qt.IsFalse)
	qt.Check(t, take(storeDelay+storeGap, true), qt.IsFalse)
	from, _ := p.Next(start.Add(storeDelay), 1)
	qt.Check(t, take(storeDelay+storeGap, false), qt.IsFalse)
	p.Finished(start.Add(storeDelay+storeGap), from, Failed, nil, 1)
	qt.Check(t, take(storeDelay+storeGap, false), qt.IsTrue)
	qt.Check(t, take(storeDelay+2*storeGap, false), qt.IsFalse) // it is being read
	p.FinishedStore(start.Add(2*time.Second), 1)
	qt.Check(t, take(2*time.Second+minStorePause*3/4-1, false), qt.IsFalse)
	qt.Check(t, take(2*time.Second+minStorePause*5/4, false), qt.IsTrue)
}
