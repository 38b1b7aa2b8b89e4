package distribution

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLargeConfigurationIsInForceInTime replays the incident of 2026-12-04: operators
// add 1,400 routes and change one weight soon after, three times, in fleets whose nodes
// have links of 10 Mbit/s. Nodes dropped transfers that did not end within 1 s, began
// them anew from the same node, and answered 404 for seconds.
func TestLargeConfigurationIsInForceInTime(t *testing.T) {
	changes := []change{
		{at: 0, revision: 1, document: document(21, 90)},
		{at: 5 * time.Second, revision: 2, document: document(1421, 90)},
		{at: 6350 * time.Millisecond, revision: 3, document: document(1421, 80)},
		{at: 33 * time.Second, revision: 4, document: document(2821, 80)},
		{at: 35 * time.Second, revision: 5, document: document(2821, 70)},
		{at: 61 * time.Second, revision: 6, document: document(4221, 70)},
		{at: 64 * time.Second, revision: 7, document: document(4221, 60)},
	}
	for _, test := range []struct {
		name    string
		wide    bool
		domains []int
		changes []change
		bound   time.Duration
	}{
		{"67 nodes, wide links at two nodes of each domain", true, []int{22, 19, 14, 12}, changes, applyBound},
		{"67 nodes, thin links only", false, []int{22, 19, 14, 12}, changes, applyBound},
		{"88 nodes", true, []int{22, 22, 22, 22}, changes, applyBound},
		{"194 nodes", true, []int{33, 33, 32, 32, 32, 32}, changes, applyBound},
		{"2,200 nodes", true, []int{220, 220, 220, 220, 220, 220, 220, 220, 220, 220}, changes[:3], applyBoundAtFullSize},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(7, test.wide, test.domains...)
			for _, c := range test.changes {
				f.after(c.at, func() { f.write(c) })
			}
			f.run(test.changes[len(test.changes)-1].at + 10*time.Second)
			for _, c := range test.changes {
				last, missing := f.slowest(c)
				t.Logf("revision %d, %d bytes: in force after %.2f s, missing at %d nodes", c.revision, len(c.document), last.Seconds(), missing)
				qt.Check(t, missing == 0 && last <= test.bound, qt.IsTrue)
			}
			t.Logf("%.1f MB between nodes", f.bytes/1e6)
		})
	}
}

// TestSlowHolderDoesNotDelayAConfiguration requires that the nodes that fetch from one whose
// link has become slow get the configuration in time from the others, which have it, too.
func TestSlowHolderDoesNotDelayAConfiguration(t *testing.T) {
	const slowLink = 10_000 // bytes a second
	f := newFleet(7, true, 22, 19, 14, 12)
	c := change{at: 5 * time.Second, revision: 2, document: document(1421, 90)}
	f.after(0, func() { f.write(change{revision: 1, document: document(21, 90)}) })
	f.after(c.at, func() { f.write(c) })
	var slow *simNode
	var degrade func()
	degrade = func() {
		f.after(time.Millisecond, degrade)
		for _, n := range f.nodes {
			if slow == nil && n.inForce[2] != 0 {
				slow, n.link = n, slowLink
			}
		}
	}
	f.after(c.at, degrade)
	f.run(c.at + 15*time.Second)
	for _, n := range f.nodes {
		if n != slow {
			at, ok := n.inForce[2]
			qt.Check(t, ok && at-c.at <= applyBound, qt.IsTrue, qt.Commentf("%s: in force after %v", n.addr, at-c.at))
		}
	}
}

// TestCallsOfNewRoutesWaitForTheirConfiguration replays the calls of the incident: callers
// use the new routes at every node from the moment the operators' change is acknowledged,
// and wait for 1 s. Nodes that did not have the change yet answered 404, which is final.
func TestCallsOfNewRoutesWaitForTheirConfiguration(t *testing.T) {
	const (
		meanGap    = 50 * time.Millisecond // between calls at one node
		callerTime = time.Second
	)
	f := newFleet(7, true, 22, 19, 14, 12)
	c := change{at: 5 * time.Second, revision: 2, document: document(1421, 90)}
	f.after(0, func() { f.write(change{revision: 1, document: document(21, 90)}) })
	f.after(c.at, func() { f.write(c) })
	var served, waited, refused, notFound int
	var lastNotServed time.Duration
	var arrive func(n *simNode)
	arrive = func(n *simNode) {
		f.after(time.Duration(f.rng.ExpFloat64()*float64(meanGap)), func() { arrive(n) })
		switch {
		case n.change.revision >= c.revision:
			served++
		case !n.puller.Behind(f.clock(), n.change.revision):
			notFound++
			lastNotServed = f.now - c.at
		default:
			f.after(CallWait(callerTime), func() {
				if n.change.revision >= c.revision {
					waited++
					return
				}
				refused++
				lastNotServed = f.now - c.at
			})
		}
	}
	for _, n := range f.nodes {
		f.after(c.at, func() { arrive(n) })
	}
	f.run(c.at + 5*time.Second)
	t.Logf("%d served at once, %d after a wait, %d refused, %d not found, the last %v after the change", served, waited, refused, notFound, lastNotServed)
	qt.Check(t, waited > 0 && refused <= waited, qt.IsTrue)
	qt.Check(t, lastNotServed <= applyBound, qt.IsTrue)
}

func TestWaitLeavesTheCallerTimeToComeBack(t *testing.T) {
	for left, want := range map[time.Duration]time.Duration{-time.Second: 0, 0: 0, 300 * time.Millisecond: 100 * time.Millisecond, time.Minute: MaxCallWait} {
		qt.Check(t, CallWait(left), qt.Equals, want)
	}
}
