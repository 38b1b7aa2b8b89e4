package config

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
)

// written is a head with its parts as they come from a store or a peer.
type written struct {
	raw      []byte
	contents [][]byte
}

// revisions commits changes after the sample and returns every head.
func revisions(t testing.TB, changes ...Change) []written {
	t.Helper()
	s := started()
	all := []written{s.written(t)}
	for _, change := range changes {
		qt.Assert(t, s.commit(change, 0, nil).Result, qt.Equals, ResultAccepted)
		all = append(all, s.written(t))
	}
	return all
}

func (s *fakeStore) written(t testing.TB) written {
	head := s.heads[len(s.heads)-1]
	raw, err := head.Encode()
	qt.Assert(t, err, qt.IsNil)
	w := written{raw: raw}
	for _, part := range head.Parts {
		w.contents = append(w.contents, s.parts[part.Key()])
	}
	return w
}

// forged is a head that no node of ours wrote, with a document that is invalid.
func forged(t testing.TB, revision model.Revision) written {
	doc := parsed(t, sample)
	doc.Services["permits"] = Service{Template: "gone"}
	next, err := prepare(Current{Head: &Head{Revision: revision - 1}}, doc, Change{ID: "forged"}, nil, Nonce{7})
	qt.Assert(t, err, qt.IsNil)
	raw, err := next.head.Encode()
	qt.Assert(t, err, qt.IsNil)
	w := written{raw: raw}
	for _, put := range next.puts {
		w.contents = append(w.contents, put.Value)
	}
	return w
}

func TestFollowerNeverGoesBack(t *testing.T) {
	all := revisions(t, out("x", 1, "ne-a", true), out("y", 2, "ne-a", false))
	f := NewFollower(nil)
	for _, at := range []int{1, 0, 1, 2, 0, 1} {
		before := f.Snapshot().Revision
		_, err := f.Apply(all[at].raw, all[at].contents)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, f.Snapshot().Revision >= before, qt.IsTrue)
	}
	qt.Assert(t, f.Snapshot().Revision, qt.Equals, model.Revision(3))
	step, _, err := f.Inspect(all[1].raw)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, step, qt.Equals, HeadStale)
	qt.Assert(t, f.ObserveRevision(3), qt.IsFalse)
	qt.Assert(t, f.Behind(), qt.IsFalse)
}

func TestRestartedFollowerHearsBeforeItReads(t *testing.T) {
	all := revisions(t, out("x", 1, "ne-a", true))
	f := NewFollower(nil)
	qt.Assert(t, f.ObserveRevision(2), qt.IsTrue)
	snapshot, err := f.Apply(all[0].raw, all[0].contents)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, snapshot, qt.IsNil)
	_, err = f.Apply(all[1].raw, all[1].contents)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, f.Snapshot().Revision, qt.Equals, model.Revision(2))
}

func TestFollowerRefusesWhole(t *testing.T) {
	all := revisions(t, out("x", 1, "ne-a", true))
	damaged := written{raw: all[1].raw, contents: append([][]byte{[]byte("{}")}, all[1].contents[:1]...)}
	bad := forged(t, 2)
	for _, test := range []struct {
		name    string
		given   written
		invalid bool
	}{
		{"half-written parts", written{raw: all[1].raw}, false},
		{"damaged part", damaged, false},
		{"random bytes", written{raw: []byte("x")}, false},
		{"invalid document", bad, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := NewFollower(nil)
			_, err := f.Apply(all[0].raw, all[0].contents)
			qt.Assert(t, err, qt.IsNil)
			_, err = f.Apply(test.given.raw, test.given.contents)
			var invalid *InvalidError
			var incomplete *IncompleteError
			qt.Assert(t, errors.As(err, &invalid), qt.Equals, test.invalid)
			qt.Assert(t, errors.As(err, &incomplete), qt.Equals, !test.invalid)
			qt.Assert(t, f.Snapshot().Revision, qt.Equals, model.Revision(1))
			qt.Assert(t, f.Snapshot().Domains["ne-a"].Out, qt.IsFalse)
			if test.invalid {
				qt.Assert(t, f.Behind(), qt.IsFalse)
				qt.Assert(t, f.ObserveRevision(2), qt.IsFalse)
			}
			_, err = f.Apply(all[1].raw, all[1].contents)
			qt.Assert(t, err, qt.IsNil)
			if !test.invalid {
				qt.Assert(t, f.Snapshot().Domains["ne-a"].Out, qt.IsTrue)
			}
		})
	}
}

// A bundle brings a node that is any number of revisions behind up to date.
func TestBundle(t *testing.T) {
	all := revisions(t, out("x", 1, "ne-a", true), Change{ID: "y", Base: 2, Remove: []Item{{KindAccount, "stow"}}}, out("z", 3, "ne-b", false))
	source := NewFollower(nil)
	for _, w := range all {
		_, err := source.Apply(w.raw, w.contents)
		qt.Assert(t, err, qt.IsNil)
	}
	for behind := range len(all) {
		f := NewFollower(nil)
		if behind > 0 {
			_, err := f.Apply(all[behind-1].raw, all[behind-1].contents)
			qt.Assert(t, err, qt.IsNil)
		}
		raw, err := source.Bundle(f.Snapshot().Revision)
		qt.Assert(t, err, qt.IsNil)
		bundle, err := DecodeBundle(raw)
		qt.Assert(t, err, qt.IsNil)
		_, err = f.Apply(bundle.Head, bundle.Parts)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, f.Snapshot(), qt.DeepEquals, source.Snapshot())
	}
	none, err := source.Bundle(4)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, none, qt.IsNil)
}

// What is compiled part by part is what compiling the whole gives.
func TestIncrementalCompilationIsTheWhole(t *testing.T) {
	template := Change{ID: "t", Base: 2, Set: &Document{Templates: parsed(t, sample).Templates}}
	town := template.Set.Templates["town"]
	town.Body = map[string]any{"weight": 7.0}
	template.Set.Templates["town"] = town
	f := NewFollower(nil)
	for _, w := range revisions(t, out("x", 1, "ne-a", true), template, out("y", 3, "ne-a", false)) {
		_, err := f.Apply(w.raw, w.contents)
		qt.Assert(t, err, qt.IsNil)
		now, err := f.Current()
		qt.Assert(t, err, qt.IsNil)
		whole, problems := Compile(now.Revision(), now.Document)
		qt.Assert(t, problems, qt.HasLen, 0)
		qt.Assert(t, f.Snapshot(), qt.DeepEquals, whole)
	}
	qt.Assert(t, f.Snapshot().Accounts["stow"].Weight, qt.Equals, 7)
}

func TestSplitStaysUnderTheValueSizeAndBuckets(t *testing.T) {
	doc := grown(3000)
	fragments, buckets, err := split(doc, Buckets{})
	qt.Assert(t, err, qt.IsNil)
	for _, f := range fragments {
		qt.Assert(t, len(f.data) < 2*maxPartSize, qt.IsTrue)
	}
	doc.Accounts["one-more"] = Account{Template: "town"}
	_, again, err := split(doc, buckets)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, again, qt.Equals, buckets)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte(`{"templates":{"a":{"kind":"account","body":{"weight":{"parameter":"w"}}}},"accounts":{"x":{"template":"a"}}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		doc, problems := Parse(raw)
		if doc != nil && len(problems) == 0 {
			if _, found := Compile(1, doc); len(found) > 0 {
				t.Fatalf("no problem on parsing, then %v", found)
			}
		}
		_, _ = ParseChange(raw)
	})
}

func FuzzBundle(f *testing.F) {
	w := revisions(f)[0]
	source := NewFollower(nil)
	_, _ = source.Apply(w.raw, w.contents)
	raw, _ := source.Bundle(0)
	f.Add(raw)
	f.Add(w.raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		follower := NewFollower(nil)
		bundle, err := DecodeBundle(raw)
		if err == nil {
			_, _ = follower.Apply(bundle.Head, bundle.Parts)
		}
		_, _, _ = follower.Inspect(raw)
	})
}
