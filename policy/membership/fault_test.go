package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
)

func TestOldIncarnationIsRejected(t *testing.T) {
	c := qt.New(t)
	n := convergedFleet(1, 14)
	n.run(3*time.Second, nil)
	old := n.nodes[address(3)]
	n.start(3, 2, address(1))
	n.run(5*time.Second, nil)
	c.Assert(n.converged(), qt.IsTrue)
	out := old.view.UpdateSelf(n.now, func(m *Member) { m.Slots = 99 })
	out = append(out, old.view.Tick(n.now)...)
	n.send(address(3), out)
	n.run(10*time.Second, nil)
	c.Assert(n.converged(), qt.IsTrue)
	c.Assert(n.stats(func(s Stats) uint64 { return s.StalePackets }) > 0, qt.IsTrue)
	c.Assert(n.nodes[address(1)].view.table.records[address(3)].Slots, qt.Equals, uint16(12))
	stale, err := n.nodes[address(1)].view.Receive(n.now, address(3), out[0].Payload)
	c.Assert(err, qt.IsNil)
	_, err = old.view.Receive(n.now, address(1), stale[0].Payload)
	c.Assert(err, qt.IsNil)
	c.Assert(old.view.Superseded(), qt.IsTrue)
}

func TestNewProcessWithClockBehindRaisesIncarnation(t *testing.T) {
	c := qt.New(t)
	n := convergedFleet(1, 14)
	n.run(3*time.Second, nil)
	for i := range 14 {
		n.nodes[address(i)].view.table.apply(n.now, member(3, 9))
	}
	f := n.start(3, 4, address(1))
	n.run(10*time.Second, nil)
	c.Assert(f.view.Self().Incarnation > 9, qt.IsTrue)
	c.Assert(f.view.Superseded(), qt.IsFalse)
	c.Assert(n.converged(), qt.IsTrue)
}

func TestLeaveAndDepart(t *testing.T) {
	c := qt.New(t)
	n := convergedFleet(1, 14)
	n.run(3*time.Second, nil)
	f := n.nodes[address(3)]
	n.send(address(3), f.view.Leave(n.now))
	n.run(2*time.Second, nil)
	s := n.nodes[address(1)].view.Snapshot()
	c.Assert(s.Members, qt.HasLen, 14)
	c.Assert(s.ByService["service-3"], qt.HasLen, 0)
	n.send(address(3), f.view.Depart(n.now))
	f.dead = true
	took := n.run(time.Minute, n.converged)
	c.Assert(took < 2*time.Second, qt.IsTrue)
	c.Assert(n.stats(deadDeclared), qt.Equals, uint64(0))
}

// TestIsolatedNodeDeclaresNoMemberDead cuts one node off for a minute. The node
// hides members from its own view but declares none dead, and no other node
// declares a member dead after it reconnects.
func TestIsolatedNodeDeclaresNoMemberDead(t *testing.T) {
	forEachSize(t, func(c *qt.C, size int) {
		n := convergedFleet(1, size)
		isolated := address(3)
		n.cut = func(from, to model.NodeAddr) bool { return from == isolated || to == isolated }
		n.run(time.Minute, nil)
		view := n.nodes[isolated].view
		c.Assert(len(view.Snapshot().Members) < size, qt.IsTrue)
		c.Assert(view.Stats().DeadDeclared, qt.Equals, uint64(0))
		before := n.stats(deadDeclared)
		n.cut = nil
		took := n.run(3*time.Minute, n.converged)
		c.Logf("%d nodes: converged %v after the isolated node reconnected", size, took)
		c.Assert(took < time.Minute, qt.IsTrue)
		c.Assert(n.stats(deadDeclared), qt.Equals, before)
		c.Assert(n.stats(func(s Stats) uint64 { return s.Heals }), qt.Equals, uint64(0))
	})
}

func TestRollingReplacement(t *testing.T) {
	c := qt.New(t)
	n := convergedFleet(1, 14)
	for i := range 14 {
		n.send(address(i), n.nodes[address(i)].view.Leave(n.now))
		n.run(time.Second, nil)
		n.send(address(i), n.nodes[address(i)].view.Depart(n.now))
		n.start(i, 2, address((i+1)%14), address((i+2)%14))
		n.run(2*time.Second, nil)
	}
	c.Assert(n.run(10*time.Second, n.converged) < 10*time.Second, qt.IsTrue)
	c.Assert(n.stats(deadDeclared), qt.Equals, uint64(0))
}

func TestTombstonesExpire(t *testing.T) {
	c := qt.New(t)
	n := convergedFleet(1, 14)
	for _, f := range n.live() {
		f.view.options.TombstoneTTL = 5 * time.Minute
	}
	n.nodes[address(3)].dead = true
	n.run(time.Minute, nil)
	v := n.nodes[address(1)].view
	c.Assert(v.table.dead, qt.Equals, 1)
	tombstone := v.table.records[address(3)].Member
	other := n.nodes[address(2)].view
	c.Assert(other.table.expire(n.now), qt.HasLen, 1)
	c.Assert(other.table.differing(v.table.digest()), qt.HasLen, 0)
	other.receiveUpdate(n.now, address(1), tombstone)
	c.Assert(other.table.records[address(3)], qt.IsNil)
	n.run(6*time.Minute, nil)
	c.Assert(v.table.records[address(3)], qt.IsNil)
	c.Assert(n.converged(), qt.IsTrue)
}

func TestFloodIsDeliveredOnceWithCorrectAge(t *testing.T) {
	forEachSize(t, func(c *qt.C, size int) {
		n := convergedFleet(1, size)
		n.duplicate = true
		n.loss = 0.01
		n.run(5*time.Second, nil)
		for range 20 {
			for _, urgent := range []bool{true, false} {
				n.send(address(0), n.nodes[address(0)].view.Flood(n.now, TopicBeacon, []byte("beacon"), urgent))
			}
			n.run(100*time.Millisecond, nil)
		}
		origin := n.now
		n.send(address(0), n.nodes[address(0)].view.Flood(n.now, TopicConfiguration, []byte("last"), true))
		n.run(10*time.Second, nil)
		for _, f := range n.live()[1:] {
			c.Assert(f.floods, qt.HasLen, 41)
			seen := map[uint64]bool{}
			for _, d := range f.floods {
				c.Assert(seen[d.Sequence], qt.IsFalse)
				seen[d.Sequence] = true
				c.Assert(d.CreatedAt.IsZero(), qt.IsFalse)
				if d.Topic == TopicConfiguration {
					offset := d.CreatedAt.Sub(origin)
					c.Assert(offset <= time.Millisecond && offset > -200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", offset))
				}
			}
		}
	})
}

// TestPausedRelayDoesNotReduceFloodAge floods a message to a node whose neighbors
// are all paused and forward it only after 30 seconds. The receiver must not
// take it for newer than it is.
func TestPausedRelayDoesNotReduceFloodAge(t *testing.T) {
	c := qt.New(t)
	n := convergedFleet(1, 14)
	n.run(5*time.Second, nil)
	origin := n.now
	last := n.nodes[address(9)]
	for _, neighbor := range last.view.Neighbors() {
		n.nodes[neighbor].pausedUntil = n.now.Add(30 * time.Second)
	}
	n.cut = func(from, to model.NodeAddr) bool { return from == address(0) && to == address(9) }
	n.send(address(0), n.nodes[address(0)].view.Flood(n.now, TopicBeacon, nil, true))
	n.run(40*time.Second, nil)
	c.Assert(last.floods, qt.HasLen, 1)
	createdAt := last.floods[0].CreatedAt
	c.Assert(createdAt.IsZero() || !createdAt.After(origin.Add(time.Millisecond)), qt.IsTrue)
}

func TestSurvey(t *testing.T) {
	forEachSize(t, func(c *qt.C, size int) {
		n := convergedFleet(1, size)
		n.run(5*time.Second, nil)
		v := n.nodes[address(0)].view
		for i := range size {
			if i != 5 {
				n.nodes[address(i)].view.SetRevision(n.now, 8)
			}
		}
		n.cut = func(from, to model.NodeAddr) bool { return from == address(7) || to == address(7) }
		id, out := v.Survey(n.now, 8)
		n.send(address(0), out)
		n.run(2500*time.Millisecond, nil)
		result, ok := v.SurveyResult(id)
		c.Assert(ok, qt.IsTrue)
		c.Assert(result.Silent, qt.Contains, address(5))
		c.Assert(result.Silent, qt.Contains, address(7))
		c.Assert(len(result.InForce) > size/2, qt.IsTrue)
		n.nodes[address(5)].view.SetRevision(n.now, 9)
		n.cut = nil
		took := n.run(20*time.Second, func() bool {
			result, _ = v.SurveyResult(id)
			return len(result.InForce) == size
		})
		c.Logf("%d nodes answered within another %v", size, took)
		c.Assert(result.Silent, qt.HasLen, 0)
	})
}

// TestPeerClockAgeBound checks that the computed age of a packet is never less
// than its real age.
func TestPeerClockAgeBound(t *testing.T) {
	c := qt.New(t)
	var p peerClock
	now := time.Unix(1000, 0)
	c.Assert(p.age(5000, 10), qt.Equals, unknownAge)
	// The peer's clock is 900 behind the local one. It received at 200 what was sent
	// at 1000, so the transit took 100.
	p.addSample(now, 1000, 200)
	c.Assert(p.age(1400, 400), qt.Equals, 200*time.Microsecond)
	p.addSample(now, 2000, 1110)
	c.Assert(p.age(1400, 400), qt.Equals, 110*time.Microsecond)
	// The local clock lost a second, so the packet appears to come from the future.
	c.Assert(p.age(1_000_000, 1_100_000), qt.Equals, unknownAge)
	c.Assert(p.known(), qt.IsFalse)
}

// TestStormOfJoinsIsRateLimited has 220 joining nodes ask one node for all of its
// 2,200 records and then ping it continuously.
func TestStormOfJoinsIsRateLimited(t *testing.T) {
	c := qt.New(t)
	const limit = 13_000
	now := time.Unix(1000, 0)
	v := largeView(now)
	start := v.Stats().BytesOut
	for tick := range 100 {
		now = now.Add(tickInterval)
		for i := range 220 {
			p := &packet{Incarnation: 2, Sent: uint64(tick + 1), NeedReply: true, NeedRecord: true, Join: &joinPart{Parts: 1}}
			if tick > 0 {
				p.Join = nil
			}
			_, err := v.Receive(now, address(i*10+3), p.encode())
			c.Assert(err, qt.IsNil)
		}
		v.Tick(now)
	}
	sent := v.Stats().BytesOut - start
	c.Logf("%d bytes sent in 10 s", sent)
	c.Assert(sent < 10*limit, qt.IsTrue)
	c.Assert(sent > 5*limit, qt.IsTrue)
}
