package storeera

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestEntriesAfterAReturnKeepToTheRateOfTheStore replays a return from a copy that lacks the
// entries of all nodes, which learn of it within greetTime: in no second does the store get
// more writes than it takes, and the last entry is back in time.
func TestEntriesAfterAReturnKeepToTheRateOfTheStore(t *testing.T) {
	const (
		greetTime     = 300 * time.Millisecond // two greetings of a tree, a call each way
		callTime      = 10 * time.Millisecond
		entryBound    = 2 * time.Second // the stated target
		writesOfEntry = 2               // a lease and the entry
	)
	for _, test := range []struct{ nodes, writesPerSecond int }{{14, 400}, {88, 1200}, {194, 1200}} {
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 0))
			var writes []time.Duration
			for range test.nodes {
				at := time.Duration(rng.Int64N(int64(greetTime))) + EntryDelay(test.nodes, rng.Float64())
				for i := range writesOfEntry {
					writes = append(writes, at+time.Duration(i)*callTime)
				}
			}
			slices.Sort(writes)
			qt.Assert(t, writes[len(writes)-1] <= entryBound, qt.IsTrue, qt.Commentf("%d nodes: %v", test.nodes, writes[len(writes)-1]))
			for i := test.writesPerSecond; i < len(writes); i++ {
				qt.Assert(t, writes[i]-writes[i-test.writesPerSecond] >= time.Second, qt.IsTrue)
			}
		}
	}
}
