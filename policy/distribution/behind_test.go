package distribution

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
)

// TestConfigurationOverOneMebibyteIsInForceInTime guards against a size that only the nodes
// that read the store accept: the others kept an older configuration for good.
func TestConfigurationOverOneMebibyteIsInForceInTime(t *testing.T) {
	f := newFleet(7, true, 28, 27, 24)
	changes := []change{
		{at: 0, revision: 1, document: document(3142, 90)},
		{at: 5 * time.Second, revision: 2, document: document(4672, 90)},
		{at: 10 * time.Second, revision: 3, document: document(4672, 80)},
	}
	for _, c := range changes {
		f.after(c.at, func() { f.write(c) })
	}
	f.run(15 * time.Second)
	for _, c := range changes {
		last, missing := f.slowest(c)
		t.Logf("revision %d, %d bytes: in force after %.2f s, missing at %d nodes", c.revision, len(c.document), last.Seconds(), missing)
		qt.Check(t, missing == 0 && last <= applyBound, qt.IsTrue)
	}
}

// TestStoreIsReadIfNodesSendNothingUsable replays the incident of ridgeback-mesh-grown for
// whatever reason transfers between nodes are unusable: 76 nodes asked six others 5,909 times
// and none read the store.
func TestStoreIsReadIfNodesSendNothingUsable(t *testing.T) {
	f := newFleet(7, true, 28, 27, 24)
	f.after(0, func() { f.write(change{revision: 1, document: document(21, 90)}) })
	c := change{at: 5 * time.Second, revision: 2, document: document(4672, 90)}
	f.after(c.at, func() { f.damaged, f.transferred = true, 0; f.write(c) })
	f.run(c.at + 15*time.Second)
	last, missing := f.slowest(c)
	t.Logf("in force after %.2f s, missing at %d nodes, %d transfers between nodes, %d reads of the store", last.Seconds(), missing, f.transferred, f.storeReads)
	qt.Check(t, missing, qt.Equals, 0)
	qt.Check(t, f.transferred <= maxUnusable*len(f.nodes), qt.IsTrue)
	qt.Check(t, f.storeReads <= len(f.nodes), qt.IsTrue)
}

// TestNoCallIsServedByAnOverdueConfiguration plays changes in quick succession to fleets in
// which all nodes that have the first one get stuck, with calls at all nodes: a call that is
// served by a configuration that was replaced longer ago than the bound may use a route that
// operators have withdrawn.
func TestNoCallIsServedByAnOverdueConfiguration(t *testing.T) {
	served, refused, storeReads := 0, 0, 0
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(seed, true, 8+rng.IntN(20), 8+rng.IntN(20), 8+rng.IntN(20))
		f.after(0, func() { f.write(change{revision: 1, document: document(100+rng.IntN(1400), 90)}) })
		var changes []change
		at := 5 * time.Second
		for revision := range model.Revision(1 + rng.IntN(3)) {
			c := change{at: at, revision: revision + 2, document: document(500+rng.IntN(2500), int(revision))}
			changes = append(changes, c)
			f.after(at, func() { f.write(c) })
			at += time.Duration(rng.Int64N(int64(1500 * time.Millisecond)))
		}
		var stick func()
		stick = func() {
			f.after(time.Millisecond, stick)
			for _, n := range f.nodes {
				n.stuck = n.stuck || n.inForce[2] != 0 && rng.IntN(4) > 0
			}
		}
		f.after(5*time.Second, stick)
		var arrive func(n *simNode)
		arrive = func(n *simNode) {
			f.after(time.Duration(f.rng.ExpFloat64()*float64(50*time.Millisecond)), func() { arrive(n) })
			if n.puller.Overdue(f.clock(), n.change.revision, applyBound) {
				refused++
				return
			}
			served++
			for _, c := range changes {
				if n.change.revision < c.revision && f.now > c.at+applyBound {
					t.Fatalf("seed %d: a call is served by revision %d, %v after revision %d", seed, n.change.revision, f.now-c.at, c.revision)
				}
			}
		}
		for _, n := range f.nodes {
			f.after(5*time.Second, func() { arrive(n) })
		}
		f.run(at + 20*time.Second)
		_, missing := f.slowest(changes[len(changes)-1])
		qt.Check(t, missing, qt.Equals, 0, qt.Commentf("seed %d", seed))
		storeReads += f.storeReads
	}
	t.Logf("%d calls served, %d refused, %d reads of the store", served, refused, storeReads)
	qt.Check(t, refused > 0 && storeReads > 0, qt.IsTrue)
}
