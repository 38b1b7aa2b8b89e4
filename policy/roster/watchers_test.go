package roster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
)

func domainOf(n int) ([]Record, []*Watchers) {
	var records []Record
	var watchers []*Watchers
	for i := range n {
		node := model.NodeAddr(fmt.Sprintf("10.0.0.%d:1", i))
		records = append(records, Record{Node: node, Domain: "a"})
		watchers = append(watchers, NewWatchers(node, "a"))
	}
	return append(records, Record{Node: "10.1.0.1:1", Domain: "b"}), watchers
}

func TestFewNodesOfADomainFollowTheStore(t *testing.T) {
	for _, n := range []int{1, 2, 3, 22, 300} {
		records, watchers := domainOf(n)
		following := 0
		for i, w := range watchers {
			others := append(append([]Record(nil), records[:i]...), records[i+1:]...)
			w.SetMembers(start, others)
			w.Heard(start, "a")
			if w.Follow(start) {
				following++
			}
		}
		qt.Assert(t, following, qt.Equals, min(n, watchersPerDomain))
	}
}

func TestNodeThatHearsNoWatcherFollowsTheStore(t *testing.T) {
	records, watchers := domainOf(22)
	for _, w := range watchers {
		w.SetMembers(start, records)
		w.Heard(start, "a")
		if w.Chosen() {
			continue
		}
		qt.Assert(t, w.Follow(start.Add(watcherSilence)), qt.IsFalse)
		w.Heard(start.Add(watcherSilence), "b") // another domain's does not count
		qt.Assert(t, w.Follow(start.Add(watcherSilence+time.Millisecond)), qt.IsTrue)
		w.Heard(start.Add(2*watcherSilence), "a")
		qt.Assert(t, w.Follow(start.Add(2*watcherSilence)), qt.IsFalse)
	}
}

func TestNodeFollowsTheStoreUntilItKnowsOthers(t *testing.T) {
	qt.Assert(t, NewWatchers("x", "a").Follow(start), qt.IsTrue)
}

func TestNodeGivesTheWatchersTimeToSpeak(t *testing.T) {
	records, watchers := domainOf(22)
	following := 0
	for _, w := range watchers {
		w.SetMembers(start, records)
		if w.Follow(start.Add(watcherSilence)) {
			following++
		}
		qt.Assert(t, w.Follow(start.Add(watcherSilence+time.Millisecond)), qt.IsTrue)
	}
	qt.Assert(t, following <= watchersPerDomain, qt.IsTrue)
}

func TestNewsReachesEachNodeOfTheDomainOnce(t *testing.T) {
	for _, n := range []int{1, 2, 5, 22, 75} {
		records, watchers := domainOf(n)
		told := map[model.NodeAddr]int{}
		for i, w := range watchers {
			w.SetMembers(start, append(append([]Record(nil), records[:i]...), records[i+1:]...))
			qt.Assert(t, len(w.Children()) <= fanOut, qt.IsTrue)
			for _, child := range w.Children() {
				told[child]++
			}
		}
		qt.Assert(t, told, qt.HasLen, n-1) // all but the top of the tree
		for node, times := range told {
			qt.Assert(t, times, qt.Equals, 1, qt.Commentf("%s", node))
		}
	}
}
