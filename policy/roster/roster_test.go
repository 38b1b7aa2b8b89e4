package roster

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
)

var start = time.Unix(1_000_000, 0)

func record(node string, process byte, sequence uint64) Record {
	return Record{Node: model.NodeAddr(node), Process: model.ProcessID{process}, Sequence: sequence, Service: "s"}
}

func TestLiveNodeIsKeptWithoutStoreEntry(t *testing.T) {
	r := New("self")
	r.PutStored(start, record("a", 1, 1))
	r.DeleteStored("a")
	now := start
	for range 10 {
		now = now.Add(unlistedTimeout - time.Second)
		r.MarkAlive(now, "a")
		qt.Assert(t, r.Expire(now, true), qt.HasLen, 0)
	}
	gone := r.Expire(now.Add(unlistedTimeout), true)
	qt.Assert(t, gone, qt.HasLen, 1)
}

func TestStoreEntryKeepsSilentNode(t *testing.T) {
	r := New("self")
	r.PutStored(start, record("a", 1, 1))
	qt.Assert(t, r.Expire(start.Add(time.Hour), true), qt.HasLen, 0)
	r.ReplaceStored(start, nil)
	qt.Assert(t, r.Expire(start.Add(time.Hour), true), qt.HasLen, 1)
}

func TestMembersSurviveStoreOutage(t *testing.T) {
	r := New("self")
	r.PutStored(start, record("a", 1, 1))
	qt.Assert(t, r.Expire(start.Add(outageTimeout-time.Second), false), qt.HasLen, 0)
	qt.Assert(t, r.Expire(start.Add(outageTimeout), false), qt.HasLen, 1)
}

func TestIndirectRecordDoesNotRestoreDroppedProcess(t *testing.T) {
	r := New("self")
	r.Refresh(start, record("a", 1, 1))
	now := start.Add(unlistedTimeout)
	qt.Assert(t, r.Expire(now, true), qt.HasLen, 1)
	r.PutIndirect(now, []Record{record("a", 1, 1)})
	qt.Assert(t, r.Records(), qt.HasLen, 0)
	r.PutIndirect(now, []Record{record("a", 2, 1)})
	qt.Assert(t, r.Records(), qt.HasLen, 1)
	r.Refresh(now, record("a", 1, 2))
	qt.Assert(t, r.Records()[0].Process, qt.Equals, model.ProcessID{1})
}

func TestIndirectRecordDoesNotReplaceProcess(t *testing.T) {
	r := New("self")
	r.Refresh(start, record("a", 2, 1))
	r.PutIndirect(start, []Record{record("a", 1, 9), record("self", 1, 1)})
	qt.Assert(t, r.Records(), qt.HasLen, 1)
	qt.Assert(t, r.Records()[0].Process, qt.Equals, model.ProcessID{2})
}

func TestDigestsOfTwoNodesAgree(t *testing.T) {
	a, b := record("a", 1, 1), record("b", 2, 1)
	qt.Assert(t, Digest([]Record{b}, a), qt.Equals, Digest([]Record{a}, b))
	b.Sequence++
	qt.Assert(t, Digest([]Record{b}, a), qt.Not(qt.Equals), Digest([]Record{record("a", 1, 1)}, record("b", 2, 1)))
}

func TestChangedSinceReturnsOnlyChangedRecords(t *testing.T) {
	r := New("self")
	r.Refresh(start, record("a", 1, 1))
	r.Refresh(start, record("b", 2, 1))
	later := start.Add(time.Second)
	r.Refresh(later, record("a", 1, 1)) // direct contact, no change
	r.Refresh(later, record("b", 2, 2))
	recent := r.ChangedSince(start, 10)
	qt.Assert(t, recent, qt.DeepEquals, []Record{record("b", 2, 2)})
	qt.Assert(t, r.ChangedSince(start.Add(-time.Second), 1), qt.HasLen, 1)
}

func TestEntryOfACopyAloneDoesNotBringNodeBack(t *testing.T) {
	r := New("self")
	r.PutStored(start, record("gone", 1, 1))
	r.PutStored(start, record("leaving", 2, 1))
	r.PutStored(start, record("restarted", 3, 1))
	r.PutStored(start, record("live", 4, 1))
	copied := []Record{record("gone", 1, 1), record("leaving", 2, 1), record("restarted", 3, 1), record("live", 4, 1)}
	r.DeleteStored("gone")
	now := start.Add(unlistedTimeout)
	qt.Assert(t, r.Expire(now, true), qt.HasLen, 1)
	r.DeleteStored("leaving")
	r.Refresh(now, record("restarted", 5, 1))
	nodes := func() (out []model.NodeAddr) {
		for _, rec := range r.Records() {
			out = append(out, rec.Node)
		}
		return out
	}
	suspects := r.ReplaceRestored(now, copied)
	qt.Assert(t, suspects, qt.DeepEquals, []model.NodeAddr{"gone", "leaving"})
	qt.Assert(t, nodes(), qt.DeepEquals, []model.NodeAddr{"live", "restarted"})
	qt.Assert(t, r.Records()[1].Process, qt.Equals, model.ProcessID{5})
	r.ReplaceStored(now, append(copied[:2:2], record("restarted", 5, 1), copied[3]))
	qt.Assert(t, nodes(), qt.DeepEquals, []model.NodeAddr{"live", "restarted"})
	r.Refresh(now, record("leaving", 2, 1))
	qt.Assert(t, nodes(), qt.DeepEquals, []model.NodeAddr{"leaving", "live", "restarted"})
	r.PutStored(now, record("gone", 1, 1)) // written in the new era
	qt.Assert(t, nodes(), qt.DeepEquals, []model.NodeAddr{"gone", "leaving", "live", "restarted"})
}

// A node of another failure domain may not have been heard from for long.
func TestNodeThatACopyLacksStaysUntilItMayHaveWritten(t *testing.T) {
	r := New("self")
	r.PutStored(start, record("a", 1, 1))
	now := start.Add(time.Hour)
	qt.Assert(t, r.ReplaceRestored(now, nil), qt.HasLen, 0)
	qt.Assert(t, r.Unlisted(), qt.DeepEquals, []model.NodeAddr{"a"})
	qt.Assert(t, r.Expire(now.Add(unlistedTimeout-1), true), qt.HasLen, 0)
	qt.Assert(t, r.Expire(now.Add(unlistedTimeout), true), qt.HasLen, 1)
}
