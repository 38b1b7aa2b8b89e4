package membership

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
)

func deadDeclared(s Stats) uint64 { return s.DeadDeclared }

// sizes are the size of today's fleet and the largest that is practical in tests;
// the benchmarks go up to 2,200.
var sizes = []int{14, 100}

func forEachSize(t *testing.T, test func(c *qt.C, size int)) {
	for _, size := range sizes {
		t.Run(string(address(size)), func(t *testing.T) { test(qt.New(t), size) })
	}
}

func TestJoinThroughContacts(t *testing.T) {
	forEachSize(t, func(c *qt.C, size int) {
		n := newNetwork(1)
		n.start(0, 1)
		for i := 1; i < size; i++ {
			n.start(i, 1, address(0), address(i/2))
			n.run(50*time.Millisecond, nil)
		}
		took := n.run(time.Minute, n.converged)
		c.Logf("%d nodes: converged %v after the last start", size, took)
		c.Assert(took < 20*time.Second, qt.IsTrue)
		n.run(10*time.Second, nil)
		for _, f := range n.live() {
			c.Assert(f.view.Joined() && f.view.CaughtUp(), qt.IsTrue)
			c.Assert(len(f.view.Neighbors()) <= 2*ringCount, qt.IsTrue)
		}
		c.Assert(n.stats(deadDeclared), qt.Equals, uint64(0))
	})
}

func TestCrashIsDetectedByAllNodes(t *testing.T) {
	forEachSize(t, func(c *qt.C, size int) {
		n := convergedFleet(1, size)
		n.run(5*time.Second, nil)
		n.nodes[address(3)].dead = true
		took := n.run(time.Minute, n.converged)
		c.Logf("%d nodes: all nodes detected the crash after %v", size, took)
		c.Assert(took < 8*time.Second, qt.IsTrue)
	})
}

func TestDomainFailureIsDetectedByAllNodes(t *testing.T) {
	forEachSize(t, func(c *qt.C, size int) {
		n := convergedFleet(1, size)
		n.run(5*time.Second, nil)
		for i := 0; i < size; i += 10 {
			n.nodes[address(i)].dead = true
		}
		took := n.run(time.Minute, n.converged)
		c.Logf("%d nodes: all nodes detected the failure of a tenth after %v", size, took)
		c.Assert(took < 20*time.Second, qt.IsTrue)
	})
}

func TestFaultsCauseNoDeadDeclarations(t *testing.T) {
	faults := map[string]func(n *network){
		"one link down": func(n *network) {
			a := address(0)
			b := n.nodes[a].view.table.rings.neighbors(a)[0]
			n.cut = func(from, to model.NodeAddr) bool { return from == a && to == b || from == b && to == a }
		},
		"two links of one node down": func(n *network) {
			a := address(0)
			down := n.nodes[a].view.table.rings.neighbors(a)[:2]
			n.cut = func(from, to model.NodeAddr) bool {
				return from == a && slices.Contains(down, to) || to == a && slices.Contains(down, from)
			}
		},
		"packet loss": func(n *network) { n.loss = 0.05 },
		"duplicates and reordering": func(n *network) {
			n.duplicate = true
			n.delay = 200 * time.Millisecond
		},
		"lossy links of one node": func(n *network) {
			n.cut = func(from, to model.NodeAddr) bool {
				return (from == address(1) || to == address(1)) && n.random.Float64() < 0.3
			}
		},
		"short pause": func(n *network) { n.nodes[address(2)].pausedUntil = n.now.Add(2500 * time.Millisecond) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			forEachSize(t, func(c *qt.C, size int) {
				n := convergedFleet(1, size)
				n.run(3*time.Second, nil)
				fault(n)
				n.run(20*time.Second, nil)
				c.Assert(n.stats(deadDeclared), qt.Equals, uint64(0))
				c.Assert(n.converged(), qt.IsTrue)
			})
		})
	}
}

func TestPausedNodeResumes(t *testing.T) {
	forEachSize(t, func(c *qt.C, size int) {
		n := convergedFleet(1, size)
		n.run(5*time.Second, nil)
		f := n.nodes[address(3)]
		f.pausedUntil = n.now.Add(10 * time.Second)
		n.run(9*time.Second, nil)
		c.Assert(n.nodes[address(1)].view.table.records[address(3)].Status, qt.Equals, Gone)
		n.run(1001500*time.Microsecond, nil)
		c.Assert(f.view.TakePause() > 9*time.Second, qt.IsTrue)
		c.Assert(f.view.CaughtUp(), qt.IsFalse)
		c.Assert(f.view.suspicions, qt.HasLen, 0, qt.Commentf("a node must not suspect others because of its own pause"))
		took := n.run(time.Minute, n.converged)
		c.Logf("%d nodes: converged %v after the pause", size, took)
		c.Assert(took < time.Second, qt.IsTrue)
		n.run(3*time.Second, nil)
		c.Assert(f.view.CaughtUp(), qt.IsTrue)
		c.Assert(n.stats(func(s Stats) uint64 { return s.Heals }), qt.Equals, uint64(0))
	})
}

// missingMembers counts, over all nodes, the members on the node's own side of a
// partition that are missing from its snapshot.
func (n *network) missingMembers(side func(model.NodeAddr) bool) int {
	missing := 0
	for _, f := range n.live() {
		own := side(f.view.Self().Node)
		for _, a := range n.addrs {
			if r := f.view.table.records[a]; side(a) == own && !r.present() {
				missing++
			}
		}
	}
	return missing
}

func TestPartitionHeals(t *testing.T) {
	forEachSize(t, func(c *qt.C, size int) {
		n := convergedFleet(1, size)
		n.run(5*time.Second, nil)
		side := func(a model.NodeAddr) bool { return key(a)%3 == 0 }
		n.cut = func(from, to model.NodeAddr) bool { return side(from) != side(to) }
		n.run(time.Minute, nil)
		declared := n.nodes[address(0)].view.table.dead
		c.Assert(declared > 0, qt.IsTrue)
		n.cut = nil
		missing := 0
		took := n.run(3*time.Minute, func() bool {
			missing += n.missingMembers(side)
			return n.converged()
		})
		c.Logf("%d nodes: %d declared dead, converged %v after the heal, %d missing", size, declared, took, missing)
		c.Assert(took < 90*time.Second, qt.IsTrue)
		c.Assert(missing, qt.Equals, 0)
		n.run(time.Minute, nil)
		c.Assert(n.converged(), qt.IsTrue)
	})
}
