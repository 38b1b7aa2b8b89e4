package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
)

// newDomain redelays the records of n nodes of failure domain a and one of domain
// b, and the policies of the nodes of domain a.
func newDomain(n int) ([]Record, []*WatchPolicy) {
	var records []Record
	var watchers []*WatchPolicy
	for i := range n {
		node := model.NodeAddr(fmt.Sprintf("10.0.0.%d:1", i))
		records = append(records, Record{Node: node, Domain: "a"})
		watchers = append(watchers, NewWatchPolicy(node, "a", 0))
	}
	return append(records, Record{Node: "10.1.0.1:1", Domain: "b"}), watchers
}

func TestWatchersPerDomain(t *testing.T) {
	for _, n := range []int{1, 2, 3, 22, 300} {
		records, watchers := newDomain(n)
		watching := 0
		for i, w := range watchers {
			others := append(append([]Record(nil), records[:i]...), records[i+1:]...)
			w.SetMembers(start, others)
			w.Refresh(start, "a")
			if w.ShouldWatch(start) {
				watching++
			}
		}
		qt.Assert(t, watching, qt.Equals, min(n, watchersPerDomain))
	}
}

func TestNodeWatchesStoreWhenWatchersAreSilent(t *testing.T) {
	records, watchers := newDomain(22)
	for _, w := range watchers {
		w.SetMembers(start, records)
		w.Refresh(start, "a")
		if w.IsWatcher() {
			continue
		}
		qt.Assert(t, w.ShouldWatch(start.Add(watcherTimeout)), qt.IsFalse)
		w.Refresh(start.Add(watcherTimeout), "b") // a watcher of another domain does not count
		qt.Assert(t, w.ShouldWatch(start.Add(watcherTimeout+time.Millisecond)), qt.IsTrue)
		w.Refresh(start.Add(2*watcherTimeout), "a")
		qt.Assert(t, w.ShouldWatch(start.Add(2*watcherTimeout)), qt.IsFalse)
	}
}

func TestNewNodeWatchesStore(t *testing.T) {
	qt.Assert(t, NewWatchPolicy("x", "a", 0).ShouldWatch(start), qt.IsTrue)
}

func TestNodeWaitsForWatchersBeforeWatching(t *testing.T) {
	records, watchers := newDomain(22)
	watching := 0
	for _, w := range watchers {
		w.SetMembers(start, records)
		if w.ShouldWatch(start.Add(watcherTimeout)) {
			watching++
		}
		qt.Assert(t, w.ShouldWatch(start.Add(watcherTimeout+time.Millisecond)), qt.IsTrue)
	}
	qt.Assert(t, watching <= watchersPerDomain, qt.IsTrue)
}

func TestDistributionTreeReachesEachNodeOnce(t *testing.T) {
	for _, n := range []int{1, 2, 5, 22, 75} {
		records, watchers := newDomain(n)
		received := map[model.NodeAddr]int{}
		for i, w := range watchers {
			w.SetMembers(start, append(append([]Record(nil), records[:i]...), records[i+1:]...))
			qt.Assert(t, len(w.Children()) <= treeFanOut, qt.IsTrue)
			for _, child := range w.Children() {
				received[child]++
			}
		}
		qt.Assert(t, received, qt.HasLen, n-1) // all but the root of the tree
		for node, times := range received {
			qt.Assert(t, times, qt.Equals, 1, qt.Commentf("%s", node))
		}
	}
}

func TestOneOfTwoWatchersYields(t *testing.T) {
	_, watchers := newDomain(22)
	for i, a := range watchers {
		for _, b := range watchers[i+1:] {
			qt.Assert(t, a.YieldsTo(b.self.node, true) != b.YieldsTo(a.self.node, true), qt.IsTrue)
			qt.Assert(t, a.YieldsTo(b.self.node, false), qt.IsTrue) // a does not reach the store
		}
	}
}

// TestNodesShareRetriesDuringStoreOutage guards against a failure domain that
// overloads a failing store: each of 22 nodes used to retry once a second for
// each of its watches.
func TestNodesShareRetriesDuringStoreOutage(t *testing.T) {
	const usual = time.Second
	for _, n := range []int{1, 2, 3, 6, 22, 220} {
		records, watchers := newDomain(n)
		retries := 0.0
		delays := map[time.Duration]int{}
		for i, w := range watchers {
			w.SetMembers(start, append(append([]Record(nil), records[:i]...), records[i+1:]...))
			w.MarkNodeAlive(start, "a")
			pause := w.MaxRetryDelay(start, usual)
			qt.Assert(t, pause >= usual, qt.IsTrue)
			retries += usual.Seconds() / pause.Seconds()
			if !w.IsWatcher() && w.FallbackDelay() < maxFallbackDelay {
				delays[w.FallbackDelay()]++
			}
			// A node without contact to others of its domain retries at the usual rate.
			qt.Assert(t, w.MaxRetryDelay(start.Add(watcherTimeout+1), usual), qt.Equals, usual)
			w.MarkNodeAlive(start.Add(watcherTimeout), "b")
			qt.Assert(t, w.MaxRetryDelay(start.Add(watcherTimeout+1), usual), qt.Equals, usual)
		}
		qt.Assert(t, retries <= watchersPerDomain+maxFallbackRetriers+0.01, qt.IsTrue, qt.Commentf("%d nodes: %g retries", n, retries))
		for delay, nodes := range delays {
			qt.Assert(t, nodes, qt.Equals, 1, qt.Commentf("%s", delay))
		}
	}
}

func TestFallbackRequiresKnownWatchers(t *testing.T) {
	records, watchers := newDomain(22)
	for i, w := range watchers {
		qt.Assert(t, w.IsFallback(), qt.IsFalse)
		w.SetMembers(start, append(append([]Record(nil), records[:i]...), records[i+1:]...))
		qt.Assert(t, w.IsFallback(), qt.Equals, !w.IsWatcher())
	}
}

// TestNodesWithTheWidestLinksWatch guards against watchers whose links a large
// configuration from the store fills for a second.
func TestNodesWithTheWidestLinksWatch(t *testing.T) {
	records, _ := newDomain(22)
	policies := make(map[model.NodeAddr]*WatchPolicy)
	for i := range records[:22] {
		records[i].LinkMbps = 10
		if i == 5 || i == 17 {
			records[i].LinkMbps = 200
		}
		policies[records[i].Node] = NewWatchPolicy(records[i].Node, "a", records[i].LinkMbps)
	}
	for i, r := range records[:22] {
		policies[r.Node].SetMembers(start, append(append([]Record(nil), records[:i]...), records[i+1:]...))
	}
	for _, r := range records[:22] {
		qt.Assert(t, policies[r.Node].IsWatcher(), qt.Equals, r.LinkMbps == 200)
		for _, other := range records[:22] {
			if r.Node != other.Node {
				qt.Assert(t, policies[r.Node].YieldsTo(other.Node, true), qt.Not(qt.Equals), policies[other.Node].YieldsTo(r.Node, true))
			}
			if other.LinkMbps > r.LinkMbps {
				qt.Assert(t, policies[r.Node].YieldsTo(other.Node, true), qt.IsTrue)
			}
		}
	}
}

// TestLikelyWatchersWatchFirst requires that of nodes that start together and know nobody
// the later watchers begin first, and that a node that knows others does not wait.
func TestLikelyWatchersWatchFirst(t *testing.T) {
	records, watchers := newDomain(22)
	delays := map[model.NodeAddr]time.Duration{}
	for _, w := range watchers {
		delays[w.self.node] = w.FirstWatchDelay()
		qt.Assert(t, delays[w.self.node] >= minFirstWatchDelay && delays[w.self.node] <= maxFirstWatchDelay, qt.IsTrue)
	}
	for i, w := range watchers {
		w.SetMembers(start, append(append([]Record(nil), records[:i]...), records[i+1:]...))
		qt.Assert(t, w.FirstWatchDelay(), qt.Equals, time.Duration(0))
		qt.Assert(t, w.Watchers(), qt.HasLen, watchersPerDomain-map[bool]int{true: 1}[w.IsWatcher()])
		for _, node := range w.Watchers() {
			j := slices.IndexFunc(watchers, func(other *WatchPolicy) bool { return other.self.node == node })
			qt.Assert(t, j != i, qt.IsTrue)
		}
	}
	for _, w := range watchers {
		for _, node := range w.Watchers() {
			j := slices.IndexFunc(watchers, func(other *WatchPolicy) bool { return other.self.node == node })
			qt.Assert(t, watchers[j].IsWatcher(), qt.IsTrue)
		}
	}
	for _, w := range watchers {
		for _, other := range watchers {
			if w.IsWatcher() && !other.IsWatcher() {
				qt.Assert(t, delays[w.self.node] < delays[other.self.node], qt.IsTrue)
			}
		}
	}
	qt.Assert(t, NewWatchPolicy("x", "a", 200).FirstWatchDelay() < NewWatchPolicy("x", "a", 10).FirstWatchDelay(), qt.IsTrue)
}
