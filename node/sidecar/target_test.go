package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/dispatch"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/routing"
)

func (n *testNode) announcement(startedMs, sequence int64) Announcement {
	return Announcement{
		ID: n.target.id, Address: n.target.addr(), Service: n.settings.Service, Slots: 8, Born: startedMs, Sequence: sequence,
	}
}

func TestDrainingTargetGetsNoCalls(t *testing.T) {
	entry, ownerA, ownerB := startEntryAndOwners(t)
	a := ownerA.announcement(1, 1)
	a.Draining = true
	qt.Assert(t, ownerA.Announce(a), qt.IsNil)
	for range 5 {
		qt.Assert(t, entry.call(http.MethodPost, "back", "/unsafe/x").body, qt.Equals, "from t2")
	}
	qt.Assert(t, ownerA.target.requests(), qt.HasLen, 0)
	qt.Assert(t, ownerB.target.requests(), qt.HasLen, 5)
}

func TestWithdrawnTargetGetsNoCalls(t *testing.T) {
	entry, ownerA, _ := startEntryAndOwners(t)
	ownerA.Withdraw("another", 0)
	qt.Assert(t, entry.call(http.MethodPost, "back", "/unsafe/x").body, qt.Equals, "from t1")
	ownerA.Withdraw(ownerA.target.id, 0)
	qt.Assert(t, entry.call(http.MethodPost, "back", "/unsafe/x").body, qt.Equals, "from t2")
}

func TestStaleAnnouncementsAreIgnored(t *testing.T) {
	_, ownerA, _ := startEntryAndOwners(t)
	qt.Assert(t, ownerA.Announce(ownerA.announcement(100, 5)), qt.IsNil)
	late := ownerA.announcement(100, 4)
	late.Draining = true
	qt.Assert(t, ownerA.Announce(late), qt.IsNil)
	earlier := ownerA.announcement(50, 9)
	earlier.ID, earlier.Draining = "earlier", true
	qt.Assert(t, ownerA.Announce(earlier), qt.IsNil)
	qt.Assert(t, ownerA.owner.gateClosed(dispatch.GateDraining), qt.IsFalse)
	id, _, _ := ownerA.Node.target.identity()
	qt.Assert(t, id, qt.Equals, ownerA.target.id)
	// The same ID with a later start is a new process, whose sequence starts
	// again.
	restarted := ownerA.announcement(200, 1)
	restarted.Draining = true
	qt.Assert(t, ownerA.Announce(restarted), qt.IsNil)
	qt.Assert(t, ownerA.owner.gateClosed(dispatch.GateDraining), qt.IsTrue)
}

func TestLateAnnouncementDoesNotReplaceATargetFoundByItsHealth(t *testing.T) {
	_, ownerA, _ := startEntryAndOwners(t)
	qt.Assert(t, ownerA.Announce(ownerA.announcement(100, 5)), qt.IsNil)
	ownerA.target.mu.Lock()
	ownerA.target.id = "t9"
	ownerA.target.mu.Unlock()
	eventually(t, "the new target is found", func() bool {
		id, _, _ := ownerA.Node.target.identity()
		return id == "t9"
	})
	late := ownerA.announcement(100, 6)
	late.ID = "t1"
	qt.Assert(t, ownerA.Announce(late), qt.IsNil)
	id, _, _ := ownerA.Node.target.identity()
	qt.Assert(t, id, qt.Equals, "t9")
}

func TestInvalidAnnouncementsAreRejected(t *testing.T) {
	_, ownerA, _ := startEntryAndOwners(t)
	for name, corrupt := range map[string]func(*Announcement){
		"service": func(a *Announcement) { a.Service = "unconfigured" },
		"address": func(a *Announcement) { a.Address = "10.9.9.9:80" },
		"no port": func(a *Announcement) { a.Address = "127.0.0.1" },
		"id":      func(a *Announcement) { a.ID = "" },
		"slots":   func(a *Announcement) { a.Slots = -1 },
	} {
		a := ownerA.announcement(500, 1)
		a.Draining = true
		corrupt(&a)
		qt.Assert(t, ownerA.Announce(a), qt.IsNotNil, qt.Commentf("%s", name))
	}
	qt.Assert(t, ownerA.owner.gateClosed(dispatch.GateDraining), qt.IsFalse)
}

func TestAnnouncementNeverShortensTheColdPeriod(t *testing.T) {
	_, ownerA, _ := startEntryAndOwners(t)
	cold := ownerA.announcement(100, 1)
	cold.ColdLeft = time.Hour
	qt.Assert(t, ownerA.Announce(cold), qt.IsNil)
	qt.Assert(t, ownerA.Announce(ownerA.announcement(100, 2)), qt.IsNil)
	qt.Assert(t, ownerA.owner.report().State, qt.Equals, model.TargetCold)
}

func TestTargetWhosePortIsClosedIsDown(t *testing.T) {
	entry, ownerA, _ := startEntryAndOwners(t)
	ownerA.target.server.Close()
	eventually(t, "the target is down", func() bool { return ownerA.owner.gateClosed(dispatch.GateDown) })
	qt.Assert(t, entry.call(http.MethodPost, "back", "/unsafe/x").body, qt.Equals, "from t2")
}

func TestParseLoad(t *testing.T) {
	for text, want := range map[string]dispatch.LoadReading{
		"3,0,8":      {Running: 3, Slots: 8},
		"1, 2, 6,50": {Running: 1, Slots: 6, Pace: 0.5},
		"0,0,12,500": {Slots: 12, Pace: 5},
	} {
		got, ok := parseLoad(text)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, got, qt.Equals, want)
	}
	for _, text := range []string{"", "1,2", "a,b,c", "1,-2,3", "NaN,0,8", "0,0,nan", "0,0,8,NaN", "0,0,8,Inf", "+Inf,0,8", "1e300,0,8"} {
		_, ok := parseLoad(text)
		qt.Assert(t, ok, qt.IsFalse, qt.Commentf("%q", text))
	}
}

func TestMilliseconds(t *testing.T) {
	for text, want := range map[string]time.Duration{"0": 0, " 1500 ": 1500 * time.Millisecond, "9223372036854775807": 24 * time.Hour} {
		got, ok := milliseconds(text)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, got, qt.Equals, want)
	}
	for _, text := range []string{"", "-1", "1.5", "soon"} {
		_, ok := milliseconds(text)
		qt.Assert(t, ok, qt.IsFalse, qt.Commentf("%q", text))
	}
}

// The log and the callers must tell a call whose time was over from one whose caller
// left.
func TestWaitingCallEndsWithTheProblemOfItsContext(t *testing.T) {
	s := newMemoryStore()
	s.configure(t, 1, "s")
	target := newTestTarget(t, "t")
	target.slots = 1
	n := startNode(t, s, "d", "s", target)
	n.waitForOwnTarget()
	call := dispatch.Call{Class: "c", Deadline: time.Now().Add(time.Minute), Objective: time.Now().Add(time.Minute)}
	_, p := n.owner.admit(t.Context(), call)
	qt.Assert(t, p == nil, qt.IsTrue, qt.Commentf("%v", p))
	expired, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, p = n.owner.admit(expired, call)
	qt.Assert(t, p.Kind, qt.Equals, problem.DeadlineExceeded)
	left, cancel := context.WithCancel(t.Context())
	cancel()
	_, p = n.owner.admit(left, call)
	qt.Assert(t, p.Kind, qt.Equals, problem.Canceled)
}

// A limit that is not above the reserve must not mean no limit, and a changed limit
// applies to the pool in use.
func TestConnectionLimitOfTheServiceApplies(t *testing.T) {
	s := newMemoryStore()
	configure := func(revision model.Revision, limit int) {
		raw, err := json.Marshal(testDocument{
			Revision: revision, Services: map[model.Service]routing.Service{"s": {HealthPath: "/health", ColdRate: 100, MaxConnections: limit}},
			Routes: []routing.Route{{Name: "all", Host: "s", Prefix: "/", Backends: []routing.Backend{{Service: "s", Weight: 1}}, MaxAttempts: 1}},
		})
		qt.Assert(t, err, qt.IsNil)
		s.put("ops/config", raw, false)
	}
	configure(1, 0)
	n := startNode(t, s, "d", "s", newTestTarget(t, "t"))
	n.waitForOwnTarget()
	for i, test := range []struct{ limit, want int }{{1, 1}, {4, 1}, {5, 1}, {260, 256}, {0, 0}, {2, 1}} {
		configure(model.Revision(i+2), test.limit)
		eventually(t, "the revision is in force", func() bool { return n.configuration.revision() == model.Revision(i+2) })
		eventually(t, fmt.Sprintf("a limit of %d allows %d connections", test.limit, test.want), func() bool {
			_, _, pool := n.Node.target.identity()
			return pool.Limit() == test.want
		})
	}
}

// Replays hunt-1fc9-15 on trla-perth: a node that had just started got the
// withdrawal of a target that it did not know yet. An announcement sent before
// the withdrawal arrived after it and made the target ready again.
func TestLateAnnouncementDoesNotUndoAWithdrawal(t *testing.T) {
	_, ownerA, _ := startEntryAndOwners(t)
	ownerA.target.stopHealth(t) // its ID is not the one that is announced here
	ownerA.forgetHealth()
	ownerA.Withdraw("t9", 0)
	late := ownerA.announcement(time.Now().Add(-time.Minute).UnixMilli(), 21)
	late.ID = "t9"
	qt.Assert(t, ownerA.Announce(late), qt.IsNil)
	qt.Assert(t, ownerA.owner.gateClosed(dispatch.GateDraining), qt.IsTrue)
	// A later start under the same ID is a new process.
	restarted := late
	restarted.Born, restarted.Sequence = time.Now().Add(time.Minute).UnixMilli(), 1
	qt.Assert(t, ownerA.Announce(restarted), qt.IsNil)
	qt.Assert(t, ownerA.owner.gateClosed(dispatch.GateDraining), qt.IsFalse)
}

func TestAnnouncementThatContradictsHealthIsSuspect(t *testing.T) {
	_, ownerA, _ := startEntryAndOwners(t)
	ownerA.target.stopHealth(t) // its ID is not the one that is announced here
	ownerA.forgetHealth()
	target := ownerA.Node.target
	ready := ownerA.announcement(100, 5)
	ready.ID = "t9"
	target.mu.Lock()
	target.lastUnhealthy = healthAnswer{id: "t9", at: time.Now()}
	target.mu.Unlock()
	qt.Assert(t, ownerA.Announce(ready), qt.IsNil)
	qt.Assert(t, ownerA.owner.gateClosed(dispatch.GateDraining), qt.IsTrue)
	target.mu.Lock()
	target.suspectSince = target.suspectSince.Add(-suspectPeriod)
	target.mu.Unlock()
	ready.Sequence++
	qt.Assert(t, ownerA.Announce(ready), qt.IsNil)
	qt.Assert(t, ownerA.owner.gateClosed(dispatch.GateDraining), qt.IsFalse)
}

// TestWithdrawalOfASuccessorHolds guards against a withdrawal that has no effect since the
// process started after the one that was announced last.
func TestWithdrawalOfASuccessorHolds(t *testing.T) {
	for _, sameID := range []bool{false, true} {
		_, ownerA, _ := startEntryAndOwners(t)
		qt.Assert(t, ownerA.Announce(ownerA.announcement(100, 1)), qt.IsNil)
		id := ownerA.target.id
		if !sameID {
			id = "t9"
			ownerA.target.mu.Lock()
			ownerA.target.id = id
			ownerA.target.mu.Unlock()
			eventually(t, "the new target is found", func() bool {
				found, _, _ := ownerA.Node.target.identity()
				return found == id
			})
		}
		// That of a former process, unless the target has stated no start: then a start before
		// that of its predecessor may be its own, by a clock that has jumped.
		ownerA.Withdraw(id, 50)
		qt.Assert(t, ownerA.owner.gateClosed(dispatch.GateDraining), qt.Equals, !sameID)
		ownerA.Withdraw(id, 200)
		qt.Assert(t, ownerA.owner.gateClosed(dispatch.GateDraining), qt.IsTrue)
		late := ownerA.announcement(200, 1)
		late.ID = id
		qt.Assert(t, ownerA.Announce(late), qt.IsNil)
		qt.Assert(t, ownerA.owner.gateClosed(dispatch.GateDraining), qt.IsTrue)
	}
}
