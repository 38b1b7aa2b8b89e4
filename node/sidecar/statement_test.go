package sidecar

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/dispatch"
)

// stateLimit makes the target name a limit in each answer, or none if it is empty.
func (x *testTarget) stateLimit(limit string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.limit = limit
}

// logged reports whether the log has a line of the target with the message.
func (n *testNode) logged(message string) bool {
	for _, line := range n.log.lines("target") {
		if line["msg"] == message {
			return true
		}
	}
	return false
}

func TestStatedLimitIsLoggedAsItStartsChangesAndEnds(t *testing.T) {
	_, ownerA, _ := startEntryAndOwners(t)
	ownerA.target.stateLimit("12.5")
	eventually(t, "the limit is known", func() bool { return ownerA.owner.statedLimit() == 12.5 })
	eventually(t, "the start is logged", func() bool { return ownerA.logged("target states a limit") })
	ownerA.target.stateLimit("nonsense")
	eventually(t, "the unreadable limit is logged", func() bool { return ownerA.logged("stated limit not readable") })
	qt.Assert(t, ownerA.owner.statedLimit(), qt.Equals, 12.5)
	ownerA.target.stateLimit("")
	eventually(t, "the limit ends", func() bool { return ownerA.owner.statedLimit() == dispatch.Unlimited })
	eventually(t, "the end is logged", func() bool { return ownerA.logged("target states no limit any more") })
}

func TestNewTargetProcessStartsWithoutTheLimitOfItsPredecessor(t *testing.T) {
	_, ownerA, _ := startEntryAndOwners(t)
	qt.Assert(t, ownerA.Announce(ownerA.announcement(100, 1)), qt.IsNil)
	ownerA.target.stateLimit("3")
	eventually(t, "the limit is known", func() bool { return ownerA.owner.statedLimit() == 3 })
	ownerA.target.stateLimit("")
	qt.Assert(t, ownerA.Announce(ownerA.announcement(200, 1)), qt.IsNil)
	eventually(t, "the new process has no limit", func() bool { return ownerA.owner.statedLimit() == dispatch.Unlimited })
}

// A late answer of a process that has been replaced says nothing about its successor.
func TestLateAnswerOfAFormerProcessStatesNothing(t *testing.T) {
	_, ownerA, _ := startEntryAndOwners(t)
	_, _, former := ownerA.Node.target.identity()
	qt.Assert(t, ownerA.Announce(ownerA.announcement(100, 1)), qt.IsNil)
	qt.Assert(t, ownerA.Announce(ownerA.announcement(200, 1)), qt.IsNil)
	qt.Assert(t, ownerA.Node.target.isCurrent(former), qt.IsFalse)
	_, _, current := ownerA.Node.target.identity()
	qt.Assert(t, ownerA.Node.target.isCurrent(current), qt.IsTrue)
}

// Guards against the incident LIMIT: owners ignored the limit that a target stated.
func TestTargetThatStatesALimitGetsNoMore(t *testing.T) {
	entry, ownerA, ownerB := startEntryAndOwners(t)
	ownerA.target.stateLimit("0.01")
	eventually(t, "the limit is known", func() bool { return ownerA.owner.statedLimit() == 0.01 })
	for range 20 {
		qt.Assert(t, entry.call(http.MethodGet, "back", "/safe/x").status, qt.Equals, http.StatusOK)
		qt.Assert(t, entry.call(http.MethodPost, "back", "/unsafe/x").status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, len(ownerA.target.requests()) <= 1, qt.IsTrue, qt.Commentf("%d requests to a target that takes one in 100 s", len(ownerA.target.requests())))
	qt.Assert(t, len(ownerA.target.requests())+len(ownerB.target.requests()), qt.Equals, 40)
}
