package sidecar

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/dispatch"
)

// TestAcknowledgedDepartureHoldsAfterARestart guards against a target that has left and is used
// again, because its node was killed and an announcement from before is late.
func TestAcknowledgedDepartureHoldsAfterARestart(t *testing.T) {
	for _, test := range []struct {
		name   string
		depart func(n *testNode)
	}{
		{"withdrawn", func(n *testNode) { qt.Assert(t, n.Withdraw(n.target.id, 100), qt.IsNil) }},
		{"withdrawn without a start", func(n *testNode) { qt.Assert(t, n.Withdraw(n.target.id, 0), qt.IsNil) }},
		{"draining", func(n *testNode) {
			a := n.announcement(100, 2)
			a.Draining = true
			qt.Assert(t, n.Announce(a), qt.IsNil)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := newMemoryStore()
			store.configure(t, 1, "front")
			target := newTestTarget(t, "t1")
			n := startNode(t, store, "a", "front", target)
			n.waitForOwnTarget()
			qt.Assert(t, n.Announce(n.announcement(100, 1)), qt.IsNil)
			test.depart(n)
			n.Kill()

			n = startNodeAt(t, store, "a", "front", target, string(n.self))
			late := n.announcement(100, 1)
			eventually(t, "the late announcement is taken", func() bool { return n.Announce(late) == nil && n.configuration.current() != nil })
			time.Sleep(2 * suspectPeriod)
			late.Sequence++
			qt.Assert(t, n.Announce(late), qt.IsNil)
			qt.Assert(t, n.owner.gateClosed(dispatch.GateDraining), qt.IsTrue)
			qt.Assert(t, n.call(http.MethodGet, "front", "/safe/x").status, qt.Equals, http.StatusServiceUnavailable)

			successor := n.announcement(time.Now().Add(time.Minute).UnixMilli(), 1)
			qt.Assert(t, n.Announce(successor), qt.IsNil)
			n.waitForOwnTarget()
			qt.Assert(t, n.call(http.MethodGet, "front", "/safe/x").status, qt.Equals, 200)
		})
	}
}

// TestDepartureIsNotAcknowledgedBeforeItIsStored guards against a departure that a node
// acknowledges while the store is away, and that is lost when the node is killed.
func TestDepartureIsNotAcknowledgedBeforeItIsStored(t *testing.T) {
	for name, depart := range map[string]func(n *testNode) error{
		"withdrawn": func(n *testNode) error { return n.Withdraw(n.target.id, 100) },
		"draining": func(n *testNode) error { // with the same sequence number at each attempt
			a := n.announcement(100, 2)
			a.Draining = true
			return n.Announce(a)
		},
		"draining without a start": func(n *testNode) error {
			a := n.announcement(0, 2)
			a.Draining = true
			return n.Announce(a)
		},
	} {
		t.Run(name, func(t *testing.T) {
			store := newMemoryStore()
			store.configure(t, 1, "front")
			target := newTestTarget(t, "t1")
			n := startNode(t, store, "a", "front", target)
			n.waitForOwnTarget()
			store.setDown(true)
			for range 2 {
				qt.Assert(t, depart(n), qt.ErrorIs, ErrDepartureNotStored)
				qt.Assert(t, n.owner.gateClosed(dispatch.GateDraining), qt.IsTrue)
			}
			store.setDown(false)
			eventually(t, "the departure is acknowledged", func() bool { return depart(n) == nil })
			n.Kill()

			n = startNodeAt(t, store, "a", "front", target, string(n.self))
			eventually(t, "the configuration", func() bool { return n.configuration.current() != nil && n.fleet.isListed() })
			late := n.announcement(100, 1)
			if name == "draining without a start" {
				late.Born = 0
			}
			qt.Assert(t, n.Announce(late), qt.IsNil)
			qt.Assert(t, n.owner.gateClosed(dispatch.GateDraining), qt.IsTrue)
		})
	}
}

// TestUnhealthyTargetWaitsForDepartures guards against a target that has left and is used
// because its node was killed and the store is away when it starts again.
func TestUnhealthyTargetWaitsForDepartures(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	peer := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	target := newTestTarget(t, "t1")
	n := startNode(t, store, "a", "front", target)
	peer.waitForTargets("front", 2)
	qt.Assert(t, n.Announce(n.announcement(100, 1)), qt.IsNil)
	target.mu.Lock()
	target.unhealthy = true
	target.mu.Unlock()
	qt.Assert(t, n.Withdraw("t1", 100), qt.IsNil)
	n.Kill()
	store.setDown(true)
	n = startNodeAt(t, store, "a", "front", target, string(n.self))
	for sequence := int64(2); sequence < 6; sequence++ {
		time.Sleep(suspectPeriod / 2)
		qt.Assert(t, n.Announce(n.announcement(100, sequence)), qt.IsNil)
		eventually(t, "the target is not used", func() bool { return n.owner.gateClosed(dispatch.GateDraining) })
	}
	store.setDown(false)
	eventually(t, "the departures are known", func() bool {
		n.Node.target.mu.Lock()
		defer n.Node.target.mu.Unlock()
		return n.Node.target.departuresKnown
	})
	qt.Assert(t, n.Announce(n.announcement(100, 6)), qt.IsNil)
	qt.Assert(t, n.owner.gateClosed(dispatch.GateDraining), qt.IsTrue)
}

// TestUnhealthyTargetIsUsedOnceDeparturesAreKnown guards against a target whose health answers
// are wrong and that stays unused after the store has shown that it has not left.
func TestUnhealthyTargetIsUsedOnceDeparturesAreKnown(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	target := newTestTarget(t, "t1")
	target.unhealthy = true
	n := startNode(t, store, "a", "front", target)
	sequence := int64(0)
	eventually(t, "the target is used", func() bool {
		sequence++
		return n.Announce(n.announcement(100, sequence)) == nil && n.targetsReady("front")
	})
}

// TestDeparturesDoNotReplaceEachOther guards against a node that loses the departures of its
// predecessor because it stores one of its own before it has read them.
func TestDeparturesDoNotReplaceEachOther(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	target := newTestTarget(t, "t1")
	n := startNode(t, store, "a", "front", target)
	n.waitForOwnTarget()
	qt.Assert(t, n.Withdraw("t1", 100), qt.IsNil)
	n.Node.target.mu.Lock()
	clear(n.Node.target.withdrawals) // as in a process that has not read them yet
	n.Node.target.mu.Unlock()
	qt.Assert(t, n.Withdraw("t2", 100), qt.IsNil)
	n.Kill()
	n = startNodeAt(t, store, "a", "front", target, string(n.self))
	eventually(t, "both departures are known", func() bool {
		n.Node.target.mu.Lock()
		defer n.Node.target.mu.Unlock()
		return n.Node.target.withdrawn("t1", 100) && n.Node.target.withdrawn("t2", 100)
	})
}

// TestManyWithdrawalsDoNotDropTheLatest guards against a late announcement of a target that is
// believed because many others have withdrawn since.
func TestManyWithdrawalsDoNotDropTheLatest(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	n := startNode(t, store, "a", "front", newTestTarget(t, "t1"))
	n.waitForOwnTarget()
	qt.Assert(t, n.Announce(n.announcement(100, 1)), qt.IsNil)
	qt.Assert(t, n.Withdraw("t1", 100), qt.IsNil)
	n.Node.target.mu.Lock()
	for i := range 2 * maxWithdrawals {
		n.Node.target.keepWithdrawal(fmt.Sprint("other-", i), 100)
	}
	qt.Check(t, n.Node.target.withdrawals, qt.HasLen, maxWithdrawals)
	qt.Check(t, n.Node.target.withdrawn(fmt.Sprint("other-", maxWithdrawals+2), 100), qt.IsTrue)
	n.Node.target.mu.Unlock()
	qt.Assert(t, n.Announce(n.announcement(100, 2)), qt.IsNil)
	qt.Assert(t, n.owner.gateClosed(dispatch.GateDraining), qt.IsTrue)
}

// TestTargetIsUsedWithoutTheStore guards against a node that waits for the departures of its
// predecessor while the store is down.
func TestTargetIsUsedWithoutTheStore(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	peer := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	target := newTestTarget(t, "t1")
	n := startNode(t, store, "a", "front", target)
	peer.waitForTargets("front", 2)
	n.Kill()
	store.setDown(true)
	n = startNodeAt(t, store, "a", "front", target, string(n.self))
	n.waitForOwnTarget()
}

// TestPublishedStateIsTheLastOne guards against a state of the target that is published after
// a later one, so that other nodes do not use it for good.
func TestPublishedStateIsTheLastOne(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	n := startNode(t, store, "a", "front", newTestTarget(t, "t1"))
	n.waitForOwnTarget()
	for range 2000 {
		var done sync.WaitGroup
		for _, closed := range []bool{true, false, true, false, true, false} {
			done.Go(func() {
				n.owner.setGate(dispatch.GateDomainOut, closed)
				n.Node.target.publishState()
			})
		}
		done.Wait()
		n.fleet.mu.Lock()
		published := n.fleet.self.State
		n.fleet.mu.Unlock()
		qt.Assert(t, published, qt.Equals, n.owner.publishedState())
	}
}
