package distribution

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"zinniafall/policy/model"
)

// TestUpdatesLeadToTheConfigurationInForce passes random sequences of configurations on
// along a chain of nodes, each of which misses some, and requires that each has the
// document of the one before it.
func TestUpdatesLeadToTheConfigurationInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		must := func(err error) {
			if err != nil {
				t.Fatal(err)
			}
		}
		type node struct {
			archive  Archive
			document []byte
		}
		nodes := make([]node, 4)
		for revision := model.Revision(1); revision <= 6; revision++ {
			doc := document(rapid.IntRange(0, 30).Draw(t, "routes"), int(revision))
			if rapid.IntRange(0, 9).Draw(t, "small") == 0 {
				doc = []byte{byte(revision)}
			}
			nodes[0].document = doc
			must(nodes[0].archive.Put(revision, doc, nil))
			for i := 1; i < len(nodes); i++ {
				if rapid.IntRange(0, 2).Draw(t, "missed") == 0 {
					continue
				}
				from, to := &nodes[i-1], &nodes[i]
				updates, err := from.archive.UpdatesFrom(to.archive.Sum())
				must(err)
				got, reached := to.document, from.archive.Revision()
				if len(updates) > 0 {
					got, reached, err = Apply(to.document, updates)
					must(err)
				}
				if !bytes.Equal(got, from.document) || reached != from.archive.Revision() {
					t.Fatalf("node %d: revision %d instead of %d, %d bytes instead of %d", i, reached, from.archive.Revision(), len(got), len(from.document))
				}
				if len(updates) > 0 {
					must(to.archive.Put(reached, got, updates))
					to.document = got
				}
			}
		}
	})
}

func TestSmallChangeOfALargeConfigurationIsSmall(t *testing.T) {
	for _, routes := range []int{1400, 4200} {
		before, after := document(routes, 90), document(routes, 80)
		var a Archive
		qt.Assert(t, a.Put(1, before, nil), qt.IsNil)
		qt.Assert(t, a.Put(2, after, nil), qt.IsNil)
		updates, err := a.UpdatesFrom(SumOf(before))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, size(updates) < 1000, qt.IsTrue, qt.Commentf("%d", size(updates)))
		whole, err := a.UpdatesFrom(0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, size(whole) < len(after)/8, qt.IsTrue, qt.Commentf("%d of %d", size(whole), len(after)))
	}
}

// TestSmallChangeOfAConfigurationThatRepeatsLittleIsSmall is the same with routes most of
// whose text is random: long host names, paths and names of services.
func TestSmallChangeOfAConfigurationThatRepeatsLittleIsSmall(t *testing.T) {
	for _, routes := range []int{1400, 4200} {
		rng := rand.New(rand.NewPCG(2, 2))
		var b bytes.Buffer
		for range routes {
			for _, field := range []string{"name", "host", "prefix", "service"} {
				fmt.Fprintf(&b, "%q:\"%016x%016x\",", field, rng.Uint64(), rng.Uint64())
			}
			b.WriteByte('\n')
		}
		before, after := b.Bytes(), bytes.Clone(b.Bytes())
		after[len(after)/2] = '!'
		var a Archive
		qt.Assert(t, a.Put(1, before, nil), qt.IsNil)
		qt.Assert(t, a.Put(2, after, nil), qt.IsNil)
		updates, err := a.UpdatesFrom(SumOf(before))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, size(updates) < 1000, qt.IsTrue, qt.Commentf("%d bytes for a document of %d", size(updates), len(after)))
	}
}

func TestDamagedUpdateIsRejected(t *testing.T) {
	before, after := document(20, 90), document(21, 90)
	var a Archive
	qt.Assert(t, a.Put(1, before, nil), qt.IsNil)
	qt.Assert(t, a.Put(2, after, nil), qt.IsNil)
	updates, err := a.UpdatesFrom(SumOf(before))
	qt.Assert(t, err, qt.IsNil)

	_, _, err = Apply(after, updates)
	qt.Check(t, err, qt.ErrorIs, ErrUpdateInvalid)
	for name, damage := range map[string]func(*Update){
		"cut off":     func(u *Update) { u.Data = u.Data[:len(u.Data)-3] },
		"changed":     func(u *Update) { u.Data = bytes.Repeat([]byte{7}, 100) },
		"other sum":   func(u *Update) { u.Sum++ },
		"no base":     func(u *Update) { u.Base = 0 },
		"empty":       func(u *Update) { u.Data = nil },
		"too large":   func(u *Update) { *u, _ = newUpdate(nil, 2, make([]byte, MaxDocumentBytes+1)) },
		"much larger": func(u *Update) { *u, _ = newUpdate(nil, 2, make([]byte, 64<<20)) },
	} {
		damaged := updates[0]
		damage(&damaged)
		_, _, err := Apply(before, []Update{damaged})
		qt.Check(t, err, qt.ErrorIs, ErrUpdateInvalid, qt.Commentf("%s", name))
	}
}

// TestArchiveBoundsItsMemory requires that an archive keeps only a few steps.
func TestArchiveBoundsItsMemory(t *testing.T) {
	var a Archive
	for revision := range model.Revision(30) {
		qt.Assert(t, a.Put(revision+1, document(20, int(revision)), nil), qt.IsNil)
		qt.Assert(t, len(a.steps) <= maxSteps && size(a.steps) <= maxStepBytes, qt.IsTrue)
	}
}

// TestLongSequenceOfUpdatesIsRejected requires that a transfer of ordinary size cannot make
// its receiver decode any number of documents: an archive sends a few updates at most.
func TestLongSequenceOfUpdatesIsRejected(t *testing.T) {
	var updates []Update
	large := make([]byte, MaxDocumentBytes)
	for i := range 10 * maxSteps {
		large[0] = byte(i)
		update, err := newUpdate(nil, model.Revision(i+1), large)
		qt.Assert(t, err, qt.IsNil)
		updates = append(updates, update)
	}
	_, _, err := Apply(nil, updates)
	qt.Assert(t, err, qt.ErrorIs, ErrUpdateInvalid, qt.Commentf("%d documents of 1 MB from %d bytes", len(updates), size(updates)))
}

// TestUpdateToALargeDocumentIsUsable guards against limits that hold for updates but not for
// what the store holds.
func TestUpdateToALargeDocumentIsUsable(t *testing.T) {
	small, large, next := document(3142, 90), document(4672, 90), document(4672, 80)
	var sender Archive
	for i, doc := range [][]byte{small, large, next} {
		qt.Assert(t, sender.Put(model.Revision(i+1), doc, nil), qt.IsNil)
	}
	for name, base := range map[string][]byte{"none": nil, "small": small, "large": large} {
		updates, err := sender.UpdatesFrom(SumOf(base))
		qt.Assert(t, err, qt.IsNil)
		got, revision, err := Apply(base, updates)
		qt.Check(t, err, qt.IsNil, qt.Commentf("from %s", name))
		qt.Check(t, revision == 3 && bytes.Equal(got, next), qt.IsTrue, qt.Commentf("from %s", name))
	}
}
