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

// fakeStore keeps every head that was ever accepted, so that it can be read
// from the past.
type fakeStore struct {
	parts   map[string][]byte
	heads   []Head // in order of acceptance
	indexes []uint64
	index   uint64
	delayed []SwapHead // sent, with their effect yet to come
}

func newFakeStore() *fakeStore { return &fakeStore{parts: make(map[string][]byte)} }

// swap has the effect of a SwapHead.
func (s *fakeStore) swap(action SwapHead) bool {
	now := uint64(0)
	if len(s.indexes) > 0 {
		now = s.indexes[len(s.indexes)-1]
	}
	if now != action.Index {
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

// read returns the head that was accepted age heads ago.
func (s *fakeStore) read(age int) (Current, bool) {
	at := len(s.heads) - 1 - age
	if at < 0 {
		return Current{}, true
	}
	head := s.heads[at]
	doc, err := assemble(&head, func(p Part) []byte { return s.parts[p.Key()] })
	return Current{Head: &head, Index: s.indexes[at], Document: doc}, err == nil
}

// fault is what befalls one action.
type fault int

const (
	fine fault = iota
	unavailable
	answerLost // the write takes effect, the answer is lost
	delayed    // the write takes effect at an unknown later time
	stale      // a read answers from the past
	faultKinds
)

// do performs an action under a fault and returns the commit's next one.
func (s *fakeStore) do(c *Commit, action CommitAction, f fault) CommitAction {
	if f == unavailable {
		return c.Failed(action, FailedWithoutEffect)
	}
	switch a := action.(type) {
	case ReadHead:
		age := 0
		if f == stale {
			age = 1 + len(s.heads)/2
		}
		now, whole := s.read(age)
		if !whole {
			return c.Failed(action, FailedWithoutEffect)
		}
		return c.Read(now)
	case WriteParts:
		for i, put := range a.Puts {
			if f == delayed && i > 0 {
				return c.Failed(action, FailedUnknown) // half of the parts are written
			}
			s.parts[put.Key] = put.Value
		}
		for _, key := range a.Deletes {
			delete(s.parts, key)
		}
		if f == answerLost {
			return c.Failed(action, FailedUnknown)
		}
		return c.Written(a.Deletes)
	case SwapHead:
		if f == delayed {
			s.delayed = append(s.delayed, a)
			return c.Failed(action, FailedUnknown)
		}
		swapped := s.swap(a)
		if f == answerLost {
			return c.Failed(action, FailedUnknown)
		}
		return c.Swapped(swapped)
	}
	panic("no such action")
}

// arrive lets delayed swaps take effect.
func (s *fakeStore) arrive() {
	for _, a := range s.delayed {
		s.swap(a)
	}
	s.delayed = nil
}

// commit runs a whole commit with faults by the number of the action.
func (s *fakeStore) commit(change Change, floor model.Revision, faults map[int]fault) Outcome {
	s.index++ // other keys of the store change too
	c := NewCommit(CommitOptions{Change: change, Nonce: nonceOf(s.index), MinRevision: floor})
	action := c.Start()
	for i := 0; ; i++ {
		if done, ok := action.(Finished); ok {
			s.clean(done)
			return done.Outcome
		}
		action = s.do(c, action, faults[i])
	}
}

func (s *fakeStore) clean(done Finished) {
	for _, key := range done.Deletes {
		delete(s.parts, key)
	}
}

func nonceOf(n uint64) Nonce { return Nonce{byte(n), byte(n >> 8), byte(n >> 16)} }

// started is a store with the sample as revision 1.
func started() *fakeStore {
	s := newFakeStore()
	doc, _ := Parse([]byte(sample))
	s.commit(Change{ID: "first", Document: doc, Time: time.UnixMilli(1)}, 0, nil)
	return s
}

// out is a change that takes a failure domain out or brings it back.
func out(id string, base model.Revision, domain model.Domain, isOut bool) Change {
	return Change{ID: id, Base: base, DomainsOut: map[model.Domain]bool{domain: isOut}}
}

// times counts the heads that a change made.
func (s *fakeStore) times(id string) int {
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
		for f := fine; f < faultKinds; f++ {
			t.Run(fmt.Sprintf("step %d fault %d", step, f), func(t *testing.T) {
				s := started()
				outcome := s.commit(out("x", 1, "ne-a", true), 1, map[int]fault{step: f})
				s.arrive()
				qt.Assert(t, outcome.Result, qt.Equals, ResultAccepted)
				qt.Assert(t, outcome.Repeated, qt.IsFalse)
				qt.Assert(t, s.times("x"), qt.Equals, 1)
				now, whole := s.read(0)
				qt.Assert(t, whole, qt.IsTrue)
				qt.Assert(t, now.Revision(), qt.Equals, model.Revision(2))
				qt.Assert(t, now.Document.Domains["ne-a"].Out, qt.IsTrue)
				qt.Assert(t, len(s.parts), qt.Equals, len(now.Head.Parts)+len(now.Head.Retired))
			})
		}
	}
}

func TestRepeatedCommandAppliesOnce(t *testing.T) {
	s := started()
	change := out("x", 1, "ne-a", true)
	qt.Assert(t, s.commit(change, 1, nil).Result, qt.Equals, ResultAccepted)
	qt.Assert(t, s.commit(out("y", 2, "ne-a", false), 1, nil).Result, qt.Equals, ResultAccepted)
	again := s.commit(change, 1, nil)
	qt.Assert(t, again.Result, qt.Equals, ResultAccepted)
	qt.Assert(t, again.Repeated, qt.IsTrue)
	qt.Assert(t, again.Revision, qt.Equals, model.Revision(2))
	now, _ := s.read(0)
	qt.Assert(t, now.Document.Domains["ne-a"].Out, qt.IsFalse)
}

func TestRacingOperators(t *testing.T) {
	other := Change{ID: "b", Base: 1, Remove: []Item{{KindAccount, "stow"}}}
	whole := Change{ID: "w", Base: 1, Document: parsed(t, sample)}
	whole.Document.Domains["ne-a"] = Domain{Template: "zone", Parameters: map[string]any{"region": "new-england"}, Out: true}
	for _, test := range []struct {
		name          string
		first, second Change
		want          Result
	}{
		{"the same domain", out("a", 1, "ne-a", true), out("b", 1, "ne-a", true), ResultConflict},
		{"the same domain, other order", out("b", 1, "ne-a", true), out("a", 1, "ne-a", true), ResultConflict},
		{"different items", out("a", 1, "ne-a", true), other, ResultAccepted},
		{"different items, other order", other, out("a", 1, "ne-a", true), ResultAccepted},
		{"a whole document second", other, whole, ResultConflict},
		{"a whole document first", whole, out("a", 1, "ne-a", true), ResultConflict},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := started()
			// The second has read the head when the first commits.
			late := NewCommit(CommitOptions{Change: test.second, Nonce: Nonce{9}})
			action := s.do(late, late.Start(), fine)
			qt.Assert(t, s.commit(test.first, 1, nil).Result, qt.Equals, ResultAccepted)
			for {
				done, ok := action.(Finished)
				if !ok {
					action = s.do(late, action, fine)
					continue
				}
				s.clean(done)
				qt.Assert(t, done.Result, qt.Equals, test.want)
				if test.want == ResultConflict {
					qt.Assert(t, done.Theirs[0].ChangeID, qt.Equals, test.first.ID)
					qt.Assert(t, s.times(test.second.ID), qt.Equals, 0)
				}
				break
			}
			now, _ := s.read(0)
			qt.Assert(t, len(s.parts), qt.Equals, len(now.Head.Parts)+len(now.Head.Retired))
		})
	}
}

func TestBaseOlderThanHistoryIsAConflict(t *testing.T) {
	s := started()
	for i := range HistoryLength + 1 {
		rev := model.Revision(i + 1)
		qt.Assert(t, s.commit(out(fmt.Sprint(i), rev, "ne-a", i%2 == 0), rev, nil).Result, qt.Equals, ResultAccepted)
	}
	qt.Assert(t, s.commit(Change{ID: "old", Base: 1, Remove: []Item{{KindAccount, "stow"}}}, 1, nil).Result, qt.Equals, ResultConflict)
	now, _ := s.read(0)
	qt.Assert(t, now.Head.Recent, qt.HasLen, HistoryLength)
	qt.Assert(t, len(s.parts), qt.Equals, len(now.Head.Parts)+len(now.Head.Retired))
	qt.Assert(t, len(now.Head.Retired) <= retiredFor+1, qt.IsTrue)
	// A node that reads a head which was replaced meanwhile finds its parts.
	for age := range retiredFor {
		_, whole := s.read(age)
		qt.Assert(t, whole, qt.IsTrue)
	}
}

func TestUnchangedIsProvedCurrent(t *testing.T) {
	s := started()
	qt.Assert(t, s.commit(out("x", 1, "ne-a", true), 1, nil).Result, qt.Equals, ResultAccepted)
	qt.Assert(t, s.commit(out("y", 2, "ne-a", false), 2, nil).Result, qt.Equals, ResultAccepted)
	// The read returns revision 2, when ne-a was out.
	late := NewCommit(CommitOptions{Change: out("z", 2, "ne-a", true), Nonce: Nonce{9}})
	late.Start()
	past, _ := s.read(1)
	swap := late.Read(past)
	qt.Assert(t, s.do(late, swap, fine), qt.Equals, CommitAction(ReadHead{Attempt: 1}))
	qt.Assert(t, s.commit(out("z2", 3, "ne-a", false), 3, nil).Result, qt.Equals, ResultUnchanged)
}

func TestEndedStoreGivesUp(t *testing.T) {
	s := started()
	always := func(f fault, from int) map[int]fault {
		faults := make(map[int]fault)
		for i := from; i < 100; i++ {
			faults[i] = f
		}
		return faults
	}
	qt.Assert(t, s.commit(out("a", 1, "ne-a", true), 1, always(unavailable, 0)).Result, qt.Equals, ResultUnavailable)
	qt.Assert(t, s.times("a"), qt.Equals, 0)
	lost := always(unavailable, 3)
	lost[2] = answerLost
	qt.Assert(t, s.commit(out("b", 1, "ne-a", true), 1, lost).Result, qt.Equals, ResultUnknown)
	qt.Assert(t, s.times("b"), qt.Equals, 1)
	again := s.commit(out("b", 1, "ne-a", true), 1, nil)
	qt.Assert(t, again.Repeated, qt.IsTrue)
	// A store that lost the configuration, or answers from before it.
	qt.Assert(t, newFakeStore().commit(out("c", 1, "ne-a", true), 2, nil).Result, qt.Equals, ResultUnavailable)
}

// Several commits interleave under random faults, two and more at a time, and
// a follower reads in between.
func TestCommitsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := started()
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
			f := fault(rapid.SampledFrom([]fault{fine, fine, fine, unavailable, answerLost, delayed, stale}).Draw(t, "fault"))
			r.action = s.do(r.commit, r.action, f)
			if done, ok := r.action.(Finished); ok {
				s.clean(done)
				ended[r.id] = done.Outcome
				open = slices.Delete(open, at, at+1)
			}
			if rapid.IntRange(0, 4).Draw(t, "arrive") == 0 {
				s.arrive()
			}
			follow(t, follower, s, rapid.IntRange(0, 2).Draw(t, "age"))
			if now := follower.Snapshot().Revision; now < applied {
				t.Fatalf("revision %d after %d", now, applied)
			} else {
				applied = now
			}
		}
		s.arrive()
		for id, outcome := range ended {
			times := s.times(id)
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
			t.Fatal("the head's parts are not all there")
		}
	})
}

// randomChange draws a change on a base that may be old.
func randomChange(t *rapid.T, s *fakeStore, id string) Change {
	base := s.heads[len(s.heads)-1].Revision - model.Revision(rapid.IntRange(0, 1).Draw(t, "old base"))
	if rapid.Bool().Draw(t, "domain") {
		domain := rapid.SampledFrom([]model.Domain{"ne-a", "ne-b"}).Draw(t, "name")
		return out(id, base, domain, rapid.Bool().Draw(t, "out"))
	}
	name := rapid.SampledFrom([]model.Account{"lenox", "stow", "otis"}).Draw(t, "account")
	return Change{ID: id, Base: base, Set: &Document{Accounts: map[model.Account]Account{
		name: {Template: "town", Parameters: map[string]any{"weight": rapid.IntRange(1, 10).Draw(t, "weight")}},
	}}}
}

// follow lets a follower read the head and its parts at an age.
func follow(t *rapid.T, f *Follower, s *fakeStore, age int) {
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
