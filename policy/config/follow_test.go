package config

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
)

// encodedHead is a head with its parts as a store or peer returns them.
type encodedHead struct {
	raw      []byte
	contents [][]byte
}

// commitAll commits changes to the sample and returns all heads, that of the
// sample first.
func commitAll(t testing.TB, changes ...Change) []encodedHead {
	t.Helper()
	s := storeWithSample()
	all := []encodedHead{s.encodedHead(t)}
	for _, change := range changes {
		qt.Assert(t, s.commit(change, 0, nil).Result, qt.Equals, ResultAccepted)
		all = append(all, s.encodedHead(t))
	}
	return all
}

func (s *fakeStore) encodedHead(t testing.TB) encodedHead {
	head := s.heads[len(s.heads)-1]
	raw, err := head.Encode()
	qt.Assert(t, err, qt.IsNil)
	w := encodedHead{raw: raw}
	for _, part := range head.Parts {
		w.contents = append(w.contents, s.parts[part.Key()])
	}
	return w
}

// invalidHead returns a well-formed head with an invalid document. Nodes do
// not write such heads, since they validate a change before they commit it.
func invalidHead(t testing.TB, revision model.Revision) encodedHead {
	doc := mustParse(t, sample)
	doc.Services["permits"] = Service{Template: "gone"}
	next, err := prepareHead(Current{Head: &Head{Revision: revision - 1}}, doc, Change{ID: "forged"}, nil, Nonce{7})
	qt.Assert(t, err, qt.IsNil)
	raw, err := next.head.Encode()
	qt.Assert(t, err, qt.IsNil)
	w := encodedHead{raw: raw}
	for _, put := range next.puts {
		w.contents = append(w.contents, put.Value)
	}
	return w
}

func TestFollowerIgnoresOlderRevisions(t *testing.T) {
	all := commitAll(t, setDomainOut("x", 1, "ne-a", true), setDomainOut("y", 2, "ne-a", false))
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

func TestRestartedFollowerIgnoresHeadOlderThanReported(t *testing.T) {
	all := commitAll(t, setDomainOut("x", 1, "ne-a", true))
	f := NewFollower(nil)
	qt.Assert(t, f.ObserveRevision(2), qt.IsTrue)
	snapshot, err := f.Apply(all[0].raw, all[0].contents)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, snapshot, qt.IsNil)
	_, err = f.Apply(all[1].raw, all[1].contents)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, f.Snapshot().Revision, qt.Equals, model.Revision(2))
}

func TestFollowerKeepsConfigurationOnInvalidHead(t *testing.T) {
	all := commitAll(t, setDomainOut("x", 1, "ne-a", true))
	damaged := encodedHead{raw: all[1].raw, contents: append([][]byte{[]byte("{}")}, all[1].contents[:1]...)}
	bad := invalidHead(t, 2)
	for _, test := range []struct {
		name    string
		given   encodedHead
		invalid bool
	}{
		{"missing parts", encodedHead{raw: all[1].raw}, false},
		{"damaged part", damaged, false},
		{"random bytes", encodedHead{raw: []byte("x")}, false},
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

// A bundle must bring a node up to date however many revisions it is behind.
func TestBundle(t *testing.T) {
	all := commitAll(t, setDomainOut("x", 1, "ne-a", true), Change{ID: "y", Base: 2, Remove: []Item{{KindAccount, "stow"}}}, setDomainOut("z", 3, "ne-b", false))
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

// Compiling part by part must give the same snapshot as compiling the whole
// document.
func TestIncrementalCompilationMatchesFullCompilation(t *testing.T) {
	template := Change{ID: "t", Base: 2, Set: &Document{Templates: mustParse(t, sample).Templates}}
	town := template.Set.Templates["town"]
	town.Body = map[string]any{"weight": 7.0}
	template.Set.Templates["town"] = town
	f := NewFollower(nil)
	for _, w := range commitAll(t, setDomainOut("x", 1, "ne-a", true), template, setDomainOut("y", 3, "ne-a", false)) {
		_, err := f.Apply(w.raw, w.contents)
		qt.Assert(t, err, qt.IsNil)
		current, err := f.Current()
		qt.Assert(t, err, qt.IsNil)
		whole, problems := Compile(current.Revision(), current.Document)
		qt.Assert(t, problems, qt.HasLen, 0)
		qt.Assert(t, f.Snapshot(), qt.DeepEquals, whole)
	}
	qt.Assert(t, f.Snapshot().Accounts["stow"].Weight, qt.Equals, 7)
}

func TestSplitKeepsValueSizeAndBuckets(t *testing.T) {
	doc := largeDocument(3000)
	contents, buckets, err := splitDocument(doc, Buckets{})
	qt.Assert(t, err, qt.IsNil)
	for _, f := range contents {
		qt.Assert(t, len(f.data) < 2*maxPartSize, qt.IsTrue)
	}
	doc.Accounts["one-more"] = Account{Template: "town"}
	_, again, err := splitDocument(doc, buckets)
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
				t.Fatalf("Parse reported no problem, but Compile reported %v", found)
			}
		}
		_, _ = ParseChange(raw)
	})
}

func FuzzBundle(f *testing.F) {
	w := commitAll(f)[0]
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

// TestChangeAboveTheSizeOfABundleIsRejected guards against a configuration that changes, each
// of an allowed size, lead to and that only the nodes that read the store would accept.
func TestChangeAboveTheSizeOfABundleIsRejected(t *testing.T) {
	const nameBytes = 64 << 10
	doc := &Document{Domains: map[model.Domain]Domain{}}
	for size := 0; size <= MaxDocumentBytes; size += nameBytes {
		doc.Domains[model.Domain(fmt.Sprintf("%0*d", nameBytes, size))] = Domain{}
	}
	_, _, err := splitDocument(doc, Buckets{})
	qt.Assert(t, err, qt.ErrorMatches, ".* the limit is 33554432; .*")
}
