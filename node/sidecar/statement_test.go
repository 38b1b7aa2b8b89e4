package sidecar

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/upstream"
	"zinniafall/policy/dispatch"
	"zinniafall/policy/statedlimit"
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
	eventually(t, "the limit ends", func() bool { return ownerA.owner.statedLimit() == statedlimit.Unlimited })
	eventually(t, "the end is logged", func() bool { return ownerA.logged("target states no limit any more") })
}

func TestNewTargetProcessStartsWithoutTheLimitOfItsPredecessor(t *testing.T) {
	_, ownerA, _ := startEntryAndOwners(t)
	qt.Assert(t, ownerA.Announce(ownerA.announcement(100, 1)), qt.IsNil)
	ownerA.target.stateLimit("3")
	eventually(t, "the limit is known", func() bool { return ownerA.owner.statedLimit() == 3 })
	ownerA.target.stateLimit("")
	qt.Assert(t, ownerA.Announce(ownerA.announcement(200, 1)), qt.IsNil)
	eventually(t, "the new process has no limit", func() bool { return ownerA.owner.statedLimit() == statedlimit.Unlimited })
}

// A late answer of a process that has been replaced says nothing about its successor, also if
// that has its ID: it must not open the gate of a process that has not answered, nor make a
// cold one count as warm.
func TestLateAnswerOfAFormerProcessStatesNothing(t *testing.T) {
	_, ownerA, _ := startEntryAndOwners(t)
	ownerA.target.stopHealth(t)
	_, _, former := ownerA.Node.target.identity()
	qt.Assert(t, ownerA.Announce(ownerA.announcement(100, 1)), qt.IsNil)
	qt.Assert(t, ownerA.Announce(ownerA.announcement(200, 1)), qt.IsNil)
	qt.Assert(t, ownerA.Node.target.isCurrent(former), qt.IsFalse)
	_, _, current := ownerA.Node.target.identity()
	qt.Assert(t, ownerA.Node.target.isCurrent(current), qt.IsTrue)
	late := &upstream.Response{Status: http.StatusOK, Header: http.Header{"X-Target": {ownerA.target.id}, "X-Load": {"0,0,8"}, "X-Cold": {"60000"}, "X-Leaving": {"1"}, "X-Limit": {"3"}}}
	ownerA.Node.target.recordHealth(late, time.Now(), former)
	ownerA.Node.target.openHeard(former, true)
	qt.Check(t, ownerA.owner.gateClosed(dispatch.GateUnheard), qt.IsTrue)
	qt.Check(t, ownerA.owner.gateClosed(dispatch.GateDraining), qt.IsFalse)
	qt.Check(t, ownerA.owner.statedLimit(), qt.Equals, statedlimit.Unlimited)
	qt.Check(t, ownerA.owner.decisionInputs().cold < time.Minute/2, qt.IsTrue)
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

// sayLeaving makes the target say in its answers that it leaves.
func (x *testTarget) sayLeaving(unhealthy bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.leaving, x.unhealthy = true, unhealthy
}

func TestTargetThatSaysInAnAnswerThatItLeavesGetsNoCalls(t *testing.T) {
	entry, ownerA, ownerB := startEntryAndOwners(t)
	qt.Assert(t, ownerA.Announce(ownerA.announcement(100, 1)), qt.IsNil)
	ownerA.target.onRequest(func(w http.ResponseWriter, _ *http.Request) {
		ownerA.target.sayLeaving(false)
		w.Header().Set("X-Leaving", "1")
	})
	eventually(t, "the first call has reached the target", func() bool {
		entry.call(http.MethodPost, "back", "/unsafe/x")
		return len(ownerA.target.requests()) == 1
	})
	// A heartbeat that was on its way does not reopen it.
	qt.Assert(t, ownerA.Announce(ownerA.announcement(100, 2)), qt.IsNil)
	for range 5 {
		qt.Assert(t, entry.call(http.MethodPost, "back", "/unsafe/x").body, qt.Equals, "from t2")
	}
	qt.Assert(t, ownerA.target.requests(), qt.HasLen, 1)
	qt.Assert(t, len(ownerB.target.requests()) >= 5, qt.IsTrue)
	// A new process at the same address is free.
	ownerA.target.mu.Lock()
	ownerA.target.leaving = false
	ownerA.target.mu.Unlock()
	qt.Assert(t, ownerA.Announce(ownerA.announcement(200, 1)), qt.IsNil)
	eventually(t, "the new process gets calls", func() bool { return entry.call(http.MethodPost, "back", "/unsafe/x").body == "" })
}

// A node that starts beside a target that leaves learns it from the first health
// answer, before an announcement that was on its way can open the target.
func TestRestartedNodeDoesNotUseATargetThatSaidItLeaves(t *testing.T) {
	for _, unhealthy := range []bool{false, true} {
		store := newMemoryStore()
		store.configure(t, 1, "front", "back")
		target := newTestTarget(t, "t1")
		target.sayLeaving(unhealthy)
		owner := startNode(t, store, "a", "back", target)
		eventually(t, "the node has its configuration", func() bool { return owner.configuration.current() != nil })
		for sequence := range int64(20) {
			qt.Assert(t, owner.Announce(owner.announcement(100, sequence+1)), qt.IsNil)
			a, err := owner.tryCall(t.Context(), http.MethodPost, "back", "/unsafe/x")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, a.status, qt.Equals, http.StatusServiceUnavailable)
		}
		qt.Assert(t, target.requests(), qt.HasLen, 0, qt.Commentf("unhealthy: %v", unhealthy))
	}
}

// An announcement opens a target only once the present process has answered, since the
// answer may state that it leaves, or a limit. A process that answers no health requests
// is tried with one call at a time.
func TestAnnouncedTargetGetsNoCallBeforeItsFirstAnswer(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front", "back")
	target := newTestTarget(t, "t1")
	target.mu.Lock()
	target.mute = true
	target.mu.Unlock()
	owner := startNode(t, store, "a", "back", target)
	eventually(t, "the node has its configuration", func() bool { return owner.configuration.current() != nil })
	unanswered, limit := make(chan int, 1), make(chan uint16, 1)
	target.onRequest(func(w http.ResponseWriter, _ *http.Request) {
		owner.Node.target.mu.Lock()
		unanswered <- owner.Node.target.unanswered
		owner.Node.target.mu.Unlock()
		limit <- owner.owner.report().Limit
	})
	qt.Assert(t, owner.Announce(owner.announcement(100, 1)), qt.IsNil)
	eventually(t, "the target is tried", func() bool { return owner.call(http.MethodPost, "back", "/unsafe/x").status == http.StatusOK })
	qt.Assert(t, <-unanswered >= unansweredBeforeTrial, qt.IsTrue)
	qt.Assert(t, <-limit, qt.Equals, uint16(1))
	qt.Assert(t, owner.owner.report().Limit > 1, qt.IsTrue)
}

// A health answer without the ID of its target opens an announced process, too.
func TestHealthAnswerWithoutAnIDIsAnAnswer(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front", "back")
	target := newTestTarget(t, "t1")
	target.mu.Lock()
	target.anonymous, target.unhealthy = true, true
	target.mu.Unlock()
	owner := startNode(t, store, "a", "back", target)
	eventually(t, "the node has its configuration", func() bool { return owner.configuration.current() != nil })
	qt.Assert(t, owner.Announce(owner.announcement(100, 1)), qt.IsNil)
	eventually(t, "the target gets calls", func() bool { return owner.call(http.MethodPost, "back", "/unsafe/x").status == http.StatusOK })
	target.sayLeaving(true)
	eventually(t, "the target is closed", func() bool { return owner.owner.gateClosed(dispatch.GateDraining) })
}

// The withdrawal of a former process under the same ID does not hide that its successor,
// whose first announcement contradicts its health answer, says that it leaves. Guards
// against soak seed 30200.
func TestSuccessorUnderTheSameIDThatLeavesIsNotOpened(t *testing.T) {
	_, ownerA, _ := startEntryAndOwners(t)
	qt.Assert(t, ownerA.Announce(ownerA.announcement(100, 1)), qt.IsNil)
	ownerA.Withdraw(ownerA.target.id, 100)
	ownerA.target.sayLeaving(true)
	eventually(t, "the health answer is known", func() bool {
		ownerA.Node.target.mu.Lock()
		defer ownerA.Node.target.mu.Unlock()
		return ownerA.Node.target.lastUnhealthy.id != ""
	})
	qt.Assert(t, ownerA.Announce(ownerA.announcement(200, 1)), qt.IsNil)
	eventually(t, "the successor has answered", func() bool { return !ownerA.owner.gateClosed(dispatch.GateUnheard) })
	ownerA.Node.target.mu.Lock()
	ownerA.Node.target.suspectSince = time.Now().Add(-2 * suspectPeriod)
	ownerA.Node.target.mu.Unlock()
	qt.Assert(t, ownerA.Announce(ownerA.announcement(200, 2)), qt.IsNil)
	qt.Assert(t, ownerA.owner.gateClosed(dispatch.GateDraining), qt.IsTrue)
}

// A withdrawal without a start time, of a target known by its health answers only,
// also holds for its first announcement.
func TestWithdrawalOfATargetFoundByItsHealthHolds(t *testing.T) {
	_, ownerA, _ := startEntryAndOwners(t)
	qt.Assert(t, ownerA.Announce(ownerA.announcement(100, 1)), qt.IsNil)
	ownerA.target.mu.Lock()
	ownerA.target.id = "t9"
	ownerA.target.mu.Unlock()
	eventually(t, "the new target is found", func() bool {
		id, _, _ := ownerA.Node.target.identity()
		return id == "t9"
	})
	ownerA.Withdraw("t9", 0)
	late := ownerA.announcement(200, 1)
	late.ID = "t9"
	qt.Assert(t, ownerA.Announce(late), qt.IsNil)
	qt.Assert(t, ownerA.owner.gateClosed(dispatch.GateDraining), qt.IsTrue)
}

// An announcement that is applied while a withdrawal arrives does not undo it.
func TestAnnouncementInProgressDoesNotUndoAWithdrawal(t *testing.T) {
	_, ownerA, _ := startEntryAndOwners(t)
	qt.Assert(t, ownerA.Announce(ownerA.announcement(100, 1)), qt.IsNil)
	ownerA.Withdraw(ownerA.target.id, 100)
	ownerA.Node.target.applyState(0)
	qt.Assert(t, ownerA.owner.gateClosed(dispatch.GateDraining), qt.IsTrue)
}

// A head without end ends the attempt, not the node: an idempotent call goes on to
// another target, any other is told that it may have run.
func TestAnswerHeadWithoutEnd(t *testing.T) {
	entry, ownerA, _ := startEntryAndOwners(t)
	ownerA.target.onRequest(func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		block := []byte("HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 64<<10))
		for range 1024 {
			if _, err := conn.Write(block); err != nil {
				return
			}
			block = block[len("HTTP/1.1 200 OK\r\nX-Long: "):]
			block = append(block, "xxxxxxxxxxxxxxxxxxxxxxxxxxxx"...)[:64<<10]
		}
	})
	qt.Assert(t, entry.call(http.MethodGet, "back", "/safe/x").body, qt.Equals, "from t2")
	eventually(t, "the line is logged", func() bool { return ownerA.logged("answer given up") })
	for len(ownerA.target.requests()) < 2 {
		a := entry.call(http.MethodPost, "back", "/unsafe/x")
		if len(ownerA.target.requests()) == 2 {
			qt.Assert(t, a.status, qt.Equals, http.StatusBadGateway)
		}
	}
}

// A request to the announcements' listener cannot take more memory than its limits.
func TestAnnouncementHeaderIsBounded(t *testing.T) {
	_, ownerA, _ := startEntryAndOwners(t)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+ownerA.settings.Announcements, nil)
	qt.Assert(t, err, qt.IsNil)
	r.Header.Set("X-Long", strings.Repeat("x", 200<<10))
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return // the connection was reset while the header was being sent
	}
	defer func() { _ = response.Body.Close() }()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
}
