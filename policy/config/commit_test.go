package config

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"zinniafall/policy/chart"
	"zinniafall/policy/model"
)

// fakeStore keeps every head that was ever accepted, so that stale reads can
// return them.
type fakeStore struct {
	parts   map[string][]byte
	heads   []Head // in order of acceptance
	indexes []uint64
	index   uint64
	delayed []SwapHead // sent, not yet in effect
}

func newFakeStore() *fakeStore { return &fakeStore{parts: make(map[string][]byte)} }

// swap performs a SwapHead and reports whether the head was written.
func (s *fakeStore) swap(action SwapHead) bool {
	current := uint64(0)
	if len(s.indexes) > 0 {
		current = s.indexes[len(s.indexes)-1]
	}
	if current != action.Index {
		return false
	}
	head, err := DecodeHead(action.Value)
	if err != nil {
		panic(err)
	}
	s.index++
	s.heads = append(s.heads, *head)
	s.indexes = append(s.indexes, s.index)
	return true
}

// read returns the head as it was before the latest age changes of it.
func (s *fakeStore) read(age int) (Current, bool) {
	at := len(s.heads) - 1 - age
	if at < 0 {
		return Current{}, true
	}
	head := s.heads[at]
	doc, err := assemble(&head, func(p Part) []byte { return s.parts[p.Key()] })
	return Current{Head: &head, Index: s.indexes[at], Document: doc}, err == nil
}

// fault is a fault injected into one action.
type fault int

const (
	noFault fault = iota
	storeUnavailable
	replyLost     // the write takes effect, the reply is lost
	effectDelayed // the write takes effect at an unknown later time
	staleRead     // a read returns an old head
	faultKinds
)

// perform performs an action with a fault and returns the commit's next
// action.
func (s *fakeStore) perform(c *Commit, action CommitAction, f fault) CommitAction {
	if f == storeUnavailable {
		return c.Failed(action, FailedWithoutEffect)
	}
	switch a := action.(type) {
	case ReadHead:
		age := 0
		if f == staleRead {
			age = 1 + len(s.heads)/2
		}
		current, whole := s.read(age)
		if !whole {
			return c.Failed(action, FailedWithoutEffect)
		}
		return c.Read(current)
	case WriteParts:
		for i, put := range a.Puts {
			if f == effectDelayed && i > 0 {
				return c.Failed(action, FailedUnknown) // only the first part is written
			}
			s.parts[put.Key] = put.Value
		}
		for _, key := range a.Deletes {
			delete(s.parts, key)
		}
		if f == replyLost {
			return c.Failed(action, FailedUnknown)
		}
		return c.Written(a.Deletes)
	case SwapHead:
		if f == effectDelayed {
			s.delayed = append(s.delayed, a)
			return c.Failed(action, FailedUnknown)
		}
		swapped := s.swap(a)
		if f == replyLost {
			return c.Failed(action, FailedUnknown)
		}
		return c.Swapped(swapped)
	}
	panic("no such action")
}

// applyDelayed lets the delayed swaps take effect.
func (s *fakeStore) applyDelayed() {
	for _, a := range s.delayed {
		s.swap(a)
	}
	s.delayed = nil
}

// commit runs a whole commit with the faults by index of the action.
func (s *fakeStore) commit(change Change, floor model.Revision, faults map[int]fault) Outcome {
	s.index++ // other keys of the store change too
	c := NewCommit(CommitOptions{Change: change, Nonce: nonceOf(s.index), MinRevision: floor})
	action := c.Start()
	for i := 0; ; i++ {
		if done, ok := action.(Finished); ok {
			s.deleteUnused(done)
			return done.Outcome
		}
		action = s.perform(c, action, faults[i])
	}
}

func (s *fakeStore) deleteUnused(done Finished) {
	for _, key := range done.Deletes {
		delete(s.parts, key)
	}
}

func nonceOf(n uint64) Nonce { return Nonce{byte(n), byte(n >> 8), byte(n >> 16)} }

// storeWithSample returns a store with the sample as revision 1.
func storeWithSample() *fakeStore {
	s := newFakeStore()
	doc, _ := Parse([]byte(sample))
	s.commit(Change{ID: "first", Document: doc, Time: time.UnixMilli(1)}, 0, nil)
	return s
}

// setDomainOut returns a change that takes a failure domain out of service or
// back in.
func setDomainOut(id string, base model.Revision, domain model.Domain, isOut bool) Change {
	return Change{ID: id, Base: base, DomainsOut: map[model.Domain]bool{domain: isOut}}
}

// timesApplied counts the revisions that a change made.
func (s *fakeStore) timesApplied(id string) int {
	count := 0
	last := model.Revision(0)
	for _, head := range s.heads {
		if head.Revision != last && head.Recent[0].ChangeID == id {
			count++
		}
		last = head.Revision
	}
	return count
}

func TestCommitUnderEachFaultAtEachStep(t *testing.T) {
	for step := range 3 {
		for f := noFault; f < faultKinds; f++ {
			t.Run(fmt.Sprintf("step %d fault %d", step, f), func(t *testing.T) {
				s := storeWithSample()
				outcome := s.commit(setDomainOut("x", 1, "ne-a", true), 1, map[int]fault{step: f})
				s.applyDelayed()
				qt.Assert(t, outcome.Result, qt.Equals, ResultAccepted)
				qt.Assert(t, outcome.Repeated, qt.IsFalse)
				qt.Assert(t, s.timesApplied("x"), qt.Equals, 1)
				current, whole := s.read(0)
				qt.Assert(t, whole, qt.IsTrue)
				qt.Assert(t, current.Revision(), qt.Equals, model.Revision(2))
				qt.Assert(t, current.Document.Domains["ne-a"].Out, qt.IsTrue)
				qt.Assert(t, len(s.parts), qt.Equals, len(current.Head.Parts)+len(current.Head.Retired))
			})
		}
	}
}

func TestRepeatedCommandAppliesOnce(t *testing.T) {
	s := storeWithSample()
	change := setDomainOut("x", 1, "ne-a", true)
	qt.Assert(t, s.commit(change, 1, nil).Result, qt.Equals, ResultAccepted)
	qt.Assert(t, s.commit(setDomainOut("y", 2, "ne-a", false), 1, nil).Result, qt.Equals, ResultAccepted)
	again := s.commit(change, 1, nil)
	qt.Assert(t, again.Result, qt.Equals, ResultAccepted)
	qt.Assert(t, again.Repeated, qt.IsTrue)
	qt.Assert(t, again.Revision, qt.Equals, model.Revision(2))
	current, _ := s.read(0)
	qt.Assert(t, current.Document.Domains["ne-a"].Out, qt.IsFalse)
}

func TestConcurrentCommits(t *testing.T) {
	other := Change{ID: "b", Base: 1, Remove: []Item{{KindAccount, "stow"}}}
	whole := Change{ID: "w", Base: 1, Document: mustParse(t, sample)}
	whole.Document.Domains["ne-a"] = Domain{Template: "zone", Parameters: map[string]any{"region": "new-england"}, Out: true}
	for _, test := range []struct {
		name          string
		first, second Change
		want          Result
	}{
		{"the same domain", setDomainOut("a", 1, "ne-a", true), setDomainOut("b", 1, "ne-a", true), ResultConflict},
		{"the same domain, other order", setDomainOut("b", 1, "ne-a", true), setDomainOut("a", 1, "ne-a", true), ResultConflict},
		{"different items", setDomainOut("a", 1, "ne-a", true), other, ResultAccepted},
		{"different items, other order", other, setDomainOut("a", 1, "ne-a", true), ResultAccepted},
		{"a whole document second", other, whole, ResultConflict},
		{"a whole document first", whole, setDomainOut("a", 1, "ne-a", true), ResultConflict},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := storeWithSample()
			// The second commit reads the head before the first one commits.
			late := NewCommit(CommitOptions{Change: test.second, Nonce: Nonce{9}})
			action := s.perform(late, late.Start(), noFault)
			qt.Assert(t, s.commit(test.first, 1, nil).Result, qt.Equals, ResultAccepted)
			for {
				done, ok := action.(Finished)
				if !ok {
					action = s.perform(late, action, noFault)
					continue
				}
				s.deleteUnused(done)
				qt.Assert(t, done.Result, qt.Equals, test.want)
				if test.want == ResultConflict {
					qt.Assert(t, done.Theirs[0].ChangeID, qt.Equals, test.first.ID)
					qt.Assert(t, s.timesApplied(test.second.ID), qt.Equals, 0)
				}
				break
			}
			current, _ := s.read(0)
			qt.Assert(t, len(s.parts), qt.Equals, len(current.Head.Parts)+len(current.Head.Retired))
		})
	}
}

func TestBaseOlderThanHistoryConflicts(t *testing.T) {
	s := storeWithSample()
	for i := range HistoryLength + 1 {
		rev := model.Revision(i + 1)
		qt.Assert(t, s.commit(setDomainOut(fmt.Sprint(i), rev, "ne-a", i%2 == 0), rev, nil).Result, qt.Equals, ResultAccepted)
	}
	qt.Assert(t, s.commit(Change{ID: "old", Base: 1, Remove: []Item{{KindAccount, "stow"}}}, 1, nil).Result, qt.Equals, ResultConflict)
	current, _ := s.read(0)
	qt.Assert(t, current.Head.Recent, qt.HasLen, HistoryLength)
	qt.Assert(t, len(s.parts), qt.Equals, len(current.Head.Parts)+len(current.Head.Retired))
	qt.Assert(t, len(current.Head.Retired) <= retentionRevisions+1, qt.IsTrue)
	// The parts of recently replaced heads are still in the store for nodes
	// that read them.
	for age := range retentionRevisions {
		_, whole := s.read(age)
		qt.Assert(t, whole, qt.IsTrue)
	}
}

func TestUnchangedRequiresCurrentHead(t *testing.T) {
	s := storeWithSample()
	qt.Assert(t, s.commit(setDomainOut("x", 1, "ne-a", true), 1, nil).Result, qt.Equals, ResultAccepted)
	qt.Assert(t, s.commit(setDomainOut("y", 2, "ne-a", false), 2, nil).Result, qt.Equals, ResultAccepted)
	// The stale read returns revision 2, in which ne-a is out of service.
	late := NewCommit(CommitOptions{Change: setDomainOut("z", 2, "ne-a", true), Nonce: Nonce{9}})
	late.Start()
	past, _ := s.read(1)
	swap := late.Read(past)
	qt.Assert(t, s.perform(late, swap, noFault), qt.Equals, CommitAction(ReadHead{Attempt: 1}))
	qt.Assert(t, s.commit(setDomainOut("z2", 3, "ne-a", false), 3, nil).Result, qt.Equals, ResultUnchanged)
}

func TestCommitGivesUpWhenStoreFails(t *testing.T) {
	s := storeWithSample()
	always := func(f fault, from int) map[int]fault {
		faults := make(map[int]fault)
		for i := from; i < 100; i++ {
			faults[i] = f
		}
		return faults
	}
	qt.Assert(t, s.commit(setDomainOut("a", 1, "ne-a", true), 1, always(storeUnavailable, 0)).Result, qt.Equals, ResultUnavailable)
	qt.Assert(t, s.timesApplied("a"), qt.Equals, 0)
	lost := always(storeUnavailable, 3)
	lost[2] = replyLost
	qt.Assert(t, s.commit(setDomainOut("b", 1, "ne-a", true), 1, lost).Result, qt.Equals, ResultUnknown)
	qt.Assert(t, s.timesApplied("b"), qt.Equals, 1)
	again := s.commit(setDomainOut("b", 1, "ne-a", true), 1, nil)
	qt.Assert(t, again.Repeated, qt.IsTrue)
	// The store lost the configuration or returns a state from before it.
	qt.Assert(t, newFakeStore().commit(setDomainOut("c", 1, "ne-a", true), 2, nil).Result, qt.Equals, ResultUnavailable)
}

// Up to three commits run interleaved under random faults while a follower
// reads. Each change must be applied as often as its outcome says, and the
// follower must never go back.
func TestCommitsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := storeWithSample()
		follower := NewFollower(func(err *chart.ForbiddenError) { t.Fatal(err) })
		type running struct {
			commit *Commit
			action CommitAction
			id     string
		}
		var open []*running
		ended := make(map[string]Outcome)
		applied := model.Revision(0)
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			if len(open) < 3 {
				change := randomChange(t, s, fmt.Sprintf("c%d", i))
				c := NewCommit(CommitOptions{Change: change, Nonce: nonceOf(uint64(i + 1000))})
				open = append(open, &running{commit: c, action: c.Start(), id: change.ID})
			}
			at := rapid.IntRange(0, len(open)-1).Draw(t, "which")
			r := open[at]
			f := fault(rapid.SampledFrom([]fault{noFault, noFault, noFault, storeUnavailable, replyLost, effectDelayed, staleRead}).Draw(t, "fault"))
			r.action = s.perform(r.commit, r.action, f)
			if done, ok := r.action.(Finished); ok {
				s.deleteUnused(done)
				ended[r.id] = done.Outcome
				open = slices.Delete(open, at, at+1)
			}
			if rapid.IntRange(0, 4).Draw(t, "arrive") == 0 {
				s.applyDelayed()
			}
			applyHead(t, follower, s, rapid.IntRange(0, 2).Draw(t, "age"))
			if current := follower.Snapshot().Revision; current < applied {
				t.Fatalf("revision %d was applied after %d", current, applied)
			} else {
				applied = current
			}
		}
		s.applyDelayed()
		for id, outcome := range ended {
			times := s.timesApplied(id)
			switch outcome.Result {
			case ResultAccepted:
				if times != 1 {
					t.Fatalf("%s was accepted and applied %d times", id, times)
				}
			case ResultUnknown:
				if times > 1 {
					t.Fatalf("%s was applied %d times", id, times)
				}
			default:
				if times != 0 {
					t.Fatalf("%s ended %s and was applied", id, outcome.Result)
				}
			}
		}
		if _, whole := s.read(0); !whole {
			t.Fatal("parts of the head are missing")
		}
	})
}

// randomChange returns a random change whose base may be outdated.
func randomChange(t *rapid.T, s *fakeStore, id string) Change {
	base := s.heads[len(s.heads)-1].Revision - model.Revision(rapid.IntRange(0, 1).Draw(t, "old base"))
	if rapid.Bool().Draw(t, "domain") {
		domain := rapid.SampledFrom([]model.Domain{"ne-a", "ne-b"}).Draw(t, "name")
		return setDomainOut(id, base, domain, rapid.Bool().Draw(t, "out"))
	}
	name := rapid.SampledFrom([]model.Account{"lenox", "stow", "otis"}).Draw(t, "account")
	return Change{ID: id, Base: base, Set: &Document{Accounts: map[model.Account]Account{
		name: {Template: "town", Parameters: map[string]any{"weight": rapid.IntRange(1, 10).Draw(t, "weight")}},
	}}}
}

// applyHead applies the head of the given age and its parts to a follower.
func applyHead(t *rapid.T, f *Follower, s *fakeStore, age int) {
	at := max(0, len(s.heads)-1-age)
	raw, err := s.heads[at].Encode()
	if err != nil {
		t.Fatal(err)
	}
	step, missing, err := f.Inspect(raw)
	if err != nil {
		t.Fatal(err)
	}
	if step != HeadNewer {
		return
	}
	var contents [][]byte
	for _, part := range missing {
		contents = append(contents, s.parts[part.Key()])
	}
	_, err = f.Apply(raw, contents)
	if err != nil && age <= 0 {
		t.Fatal(err)
	}
}

// Parts beyond the limit were forgotten without being deleted.
func TestRetiredPartsBeyondTheLimitAreDeleted(t *testing.T) {
	old := &Head{Revision: 10}
	for i := range maxRetiredParts - 1 {
		old.Retired = append(old.Retired, Retired{Nonce: Nonce{byte(i), byte(i >> 8)}, At: 10})
	}
	const replaced = 100
	for i := range replaced {
		old.Parts = append(old.Parts, Part{Nonce: Nonce{1, 2, 3, byte(i)}})
	}
	p := &preparedHead{head: &Head{Revision: 11}}
	p.retireParts(old)
	qt.Assert(t, p.deletes, qt.HasLen, replaced-1)
	all := len(p.head.Retired)
	p.removeDeleted(p.deletes)
	qt.Assert(t, p.head.Retired, qt.HasLen, maxRetiredParts)
	qt.Assert(t, len(p.head.Retired)+len(p.deletes), qt.Equals, all)
}
