package roster

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
)

func domainOf(n int) ([]Record, []*WatchPolicy) {
	var records []Record
	var watchers []*WatchPolicy
	for i := range n {
		node := model.NodeAddr(fmt.Sprintf("10.0.0.%d:1", i))
		records = append(records, Record{Node: node, Domain: "a"})
		watchers = append(watchers, NewWatchPolicy(node, "a"))
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
			w.Refresh(start, "a")
			if w.ShouldWatch(start) {
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
		w.Refresh(start, "a")
		if w.IsWatcher() {
			continue
		}
		qt.Assert(t, w.ShouldWatch(start.Add(watcherSilence)), qt.IsFalse)
		w.Refresh(start.Add(watcherSilence), "b") // another domain's does not count
		qt.Assert(t, w.ShouldWatch(start.Add(watcherSilence+time.Millisecond)), qt.IsTrue)
		w.Refresh(start.Add(2*watcherSilence), "a")
		qt.Assert(t, w.ShouldWatch(start.Add(2*watcherSilence)), qt.IsFalse)
	}
}

func TestNodeFollowsTheStoreUntilItKnowsOthers(t *testing.T) {
	qt.Assert(t, NewWatchPolicy("x", "a").ShouldWatch(start), qt.IsTrue)
}

func TestNodeGivesTheWatchersTimeToSpeak(t *testing.T) {
	records, watchers := domainOf(22)
	following := 0
	for _, w := range watchers {
		w.SetMembers(start, records)
		if w.ShouldWatch(start.Add(watcherSilence)) {
			following++
		}
		qt.Assert(t, w.ShouldWatch(start.Add(watcherSilence+time.Millisecond)), qt.IsTrue)
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

func TestOfTwoThatStandInOneYields(t *testing.T) {
	_, watchers := domainOf(22)
	for i, a := range watchers {
		for _, b := range watchers[i+1:] {
			qt.Assert(t, a.YieldsTo(b.self, true) != b.YieldsTo(a.self, true), qt.IsTrue)
			qt.Assert(t, a.YieldsTo(b.self, false), qt.IsTrue) // one that does not reach the store
		}
	}
}

// Before, each of 22 nodes tried once a second for each of its watches.
func TestNodesShareTheTriesWhileTheStoreFails(t *testing.T) {
	const usual = time.Second
	for _, n := range []int{1, 2, 3, 6, 22, 220} {
		records, watchers := domainOf(n)
		tries := 0.0
		turns := map[time.Duration]int{}
		for i, w := range watchers {
			w.SetMembers(start, append(append([]Record(nil), records[:i]...), records[i+1:]...))
			w.MarkNodeAlive(start, "a")
			pause := w.MaxRetryDelay(start, usual)
			qt.Assert(t, pause >= usual, qt.IsTrue)
			tries += usual.Seconds() / pause.Seconds()
			if !w.IsWatcher() && w.FallbackDelay() < longestTurn {
				turns[w.FallbackDelay()]++
			}
			// A node that hears nobody tries on its own.
			qt.Assert(t, w.MaxRetryDelay(start.Add(watcherSilence+1), usual), qt.Equals, usual)
			w.MarkNodeAlive(start.Add(watcherSilence), "b")
			qt.Assert(t, w.MaxRetryDelay(start.Add(watcherSilence+1), usual), qt.Equals, usual)
		}
		qt.Assert(t, tries <= watchersPerDomain+standIns+0.01, qt.IsTrue, qt.Commentf("%d nodes: %g tries", n, tries))
		for turn, nodes := range turns {
			qt.Assert(t, nodes, qt.Equals, 1, qt.Commentf("%s", turn))
		}
	}
}

func TestNodeStandsInOnlyForWatchersThatItKnew(t *testing.T) {
	records, watchers := domainOf(22)
	for i, w := range watchers {
		qt.Assert(t, w.IsFallback(), qt.IsFalse)
		w.SetMembers(start, append(append([]Record(nil), records[:i]...), records[i+1:]...))
		qt.Assert(t, w.IsFallback(), qt.Equals, !w.IsWatcher())
	}
}
