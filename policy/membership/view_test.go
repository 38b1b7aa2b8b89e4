package membership

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
)

func verdicts(s Stats) uint64 { return s.DeadDeclared }

// sizes are those of today and the size that tests bear; benchmarks run 2,200.
var sizes = []int{14, 100}

func eachSize(t *testing.T, test func(c *qt.C, size int)) {
	for _, size := range sizes {
		t.Run(string(address(size)), func(t *testing.T) { test(qt.New(t), size) })
	}
}

func TestJoinThroughContacts(t *testing.T) {
	eachSize(t, func(c *qt.C, size int) {
		n := newNetwork(1)
		n.start(0, 1)
		for i := 1; i < size; i++ {
			n.start(i, 1, address(0), address(i/2))
			n.run(50*time.Millisecond, nil)
		}
		took := n.run(time.Minute, n.agreed)
		c.Logf("%d nodes agree %v after the last start", size, took)
		c.Assert(took < 20*time.Second, qt.IsTrue)
		n.run(10*time.Second, nil)
		for _, f := range n.live() {
			c.Assert(f.view.Joined() && f.view.CaughtUp(), qt.IsTrue)
			c.Assert(len(f.view.Neighbors()) <= 2*ringCount, qt.IsTrue)
		}
		c.Assert(n.stats(verdicts), qt.Equals, uint64(0))
	})
}

func TestCrashIsFoundOnAll(t *testing.T) {
	eachSize(t, func(c *qt.C, size int) {
		n := fleet(1, size)
		n.run(5*time.Second, nil)
		n.nodes[address(3)].dead = true
		took := n.run(time.Minute, n.agreed)
		c.Logf("%d nodes: gone on all after %v", size, took)
		c.Assert(took < 8*time.Second, qt.IsTrue)
	})
}

func TestDomainLostAtOnce(t *testing.T) {
	eachSize(t, func(c *qt.C, size int) {
		n := fleet(1, size)
		n.run(5*time.Second, nil)
		for i := 0; i < size; i += 10 {
			n.nodes[address(i)].dead = true
		}
		took := n.run(time.Minute, n.agreed)
		c.Logf("%d nodes: a tenth gone on all after %v", size, took)
		c.Assert(took < 20*time.Second, qt.IsTrue)
	})
}

func TestNobodyIsCalledGone(t *testing.T) {
	faults := map[string]func(n *network){
		"one bad link": func(n *network) {
			a := address(0)
			b := n.nodes[a].view.table.rings.neighbors(a)[0]
			n.cut = func(from, to model.NodeAddr) bool { return from == a && to == b || from == b && to == a }
		},
		"two bad links of one node": func(n *network) {
			a := address(0)
			bad := n.nodes[a].view.table.rings.neighbors(a)[:2]
			n.cut = func(from, to model.NodeAddr) bool {
				return from == a && slices.Contains(bad, to) || to == a && slices.Contains(bad, from)
			}
		},
		"packet loss": func(n *network) { n.loss = 0.05 },
		"duplicates and reordering": func(n *network) {
			n.twice = true
			n.delay = 200 * time.Millisecond
		},
		"straggler": func(n *network) {
			n.cut = func(from, to model.NodeAddr) bool {
				return (from == address(1) || to == address(1)) && n.random.Float64() < 0.3
			}
		},
		"short pause": func(n *network) { n.nodes[address(2)].pausedUntil = n.now.Add(2500 * time.Millisecond) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			eachSize(t, func(c *qt.C, size int) {
				n := fleet(1, size)
				n.run(3*time.Second, nil)
				fault(n)
				n.run(20*time.Second, nil)
				c.Assert(n.stats(verdicts), qt.Equals, uint64(0))
				c.Assert(n.agreed(), qt.IsTrue)
			})
		})
	}
}

func TestPausedNodeWakes(t *testing.T) {
	eachSize(t, func(c *qt.C, size int) {
		n := fleet(1, size)
		n.run(5*time.Second, nil)
		f := n.nodes[address(3)]
		f.pausedUntil = n.now.Add(10 * time.Second)
		n.run(9*time.Second, nil)
		c.Assert(n.nodes[address(1)].view.table.records[address(3)].Status, qt.Equals, Gone)
		n.run(1001500*time.Microsecond, nil)
		c.Assert(f.view.TakePause() > 9*time.Second, qt.IsTrue)
		c.Assert(f.view.CaughtUp(), qt.IsFalse)
		c.Assert(f.view.votes, qt.HasLen, 0, qt.Commentf("it must not blame others for its own pause"))
		took := n.run(time.Minute, n.agreed)
		c.Logf("%d nodes: agreed %v after waking", size, took)
		c.Assert(took < time.Second, qt.IsTrue)
		n.run(3*time.Second, nil)
		c.Assert(f.view.CaughtUp(), qt.IsTrue)
		c.Assert(n.stats(func(s Stats) uint64 { return s.Heals }), qt.Equals, uint64(0))
	})
}

// hidden counts, over all nodes, the members of the node's own side of a
// partition that its snapshot lacks.
func (n *network) hidden(side func(model.NodeAddr) bool) int {
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
	eachSize(t, func(c *qt.C, size int) {
		n := fleet(1, size)
		n.run(5*time.Second, nil)
		side := func(a model.NodeAddr) bool { return key(a)%3 == 0 }
		n.cut = func(from, to model.NodeAddr) bool { return side(from) != side(to) }
		n.run(time.Minute, nil)
		found := n.nodes[address(0)].view.table.dead
		c.Assert(found > 0, qt.IsTrue)
		n.cut = nil
		hidden := 0
		took := n.run(3*time.Minute, func() bool {
			hidden += n.hidden(side)
			return n.agreed()
		})
		c.Logf("%d nodes: %d called gone, agreed %v after the heal, %d hidden", size, found, took, hidden)
		c.Assert(took < 90*time.Second, qt.IsTrue)
		c.Assert(hidden, qt.Equals, 0)
		n.run(time.Minute, nil)
		c.Assert(n.agreed(), qt.IsTrue)
	})
}
