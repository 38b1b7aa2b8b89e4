package sidecar

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/dispatch"
	"zinniafall/policy/model"
)

func (n *testNode) announcement(born, sequence int64) Announcement {
	return Announcement{
		ID: n.target.id, Address: n.target.addr(), Service: n.settings.Service, Slots: 8, Born: born, Sequence: sequence,
	}
}

func TestDrainingTargetGetsNothingMore(t *testing.T) {
	entry, one, two := pair(t)
	a := one.announcement(1, 1)
	a.Draining = true
	qt.Assert(t, one.Announce(a), qt.IsNil)
	for range 5 {
		qt.Assert(t, entry.call(http.MethodPost, "back", "/unsafe/x").body, qt.Equals, "from t2")
	}
	qt.Assert(t, one.target.requests(), qt.HasLen, 0)
	qt.Assert(t, two.target.requests(), qt.HasLen, 5)
}

func TestWithdrawnTargetGetsNothingMore(t *testing.T) {
	entry, one, _ := pair(t)
	one.Withdraw("another", 0)
	qt.Assert(t, entry.call(http.MethodPost, "back", "/unsafe/x").body, qt.Equals, "from t1")
	one.Withdraw(one.target.id, 0)
	qt.Assert(t, entry.call(http.MethodPost, "back", "/unsafe/x").body, qt.Equals, "from t2")
}

func TestOldAnnouncementsChangeNothing(t *testing.T) {
	_, one, _ := pair(t)
	qt.Assert(t, one.Announce(one.announcement(100, 5)), qt.IsNil)
	late := one.announcement(100, 4)
	late.Draining = true
	qt.Assert(t, one.Announce(late), qt.IsNil)
	earlier := one.announcement(50, 9)
	earlier.ID, earlier.Draining = "earlier", true
	qt.Assert(t, one.Announce(earlier), qt.IsNil)
	qt.Assert(t, one.owner.closed(dispatch.GateDraining), qt.IsFalse)
	id, _, _ := one.Node.target.identity()
	qt.Assert(t, id, qt.Equals, one.target.id)
	// The same id with a later start is a new process, whose count starts anew.
	again := one.announcement(200, 1)
	again.Draining = true
	qt.Assert(t, one.Announce(again), qt.IsNil)
	qt.Assert(t, one.owner.closed(dispatch.GateDraining), qt.IsTrue)
}

func TestLateWordOfAnEarlierTargetDoesNotReplaceOneFoundByItsHealth(t *testing.T) {
	_, one, _ := pair(t)
	qt.Assert(t, one.Announce(one.announcement(100, 5)), qt.IsNil)
	one.target.mu.Lock()
	one.target.id = "t9"
	one.target.mu.Unlock()
	until(t, "the new target is found", func() bool {
		id, _, _ := one.Node.target.identity()
		return id == "t9"
	})
	late := one.announcement(100, 6)
	late.ID = "t1"
	qt.Assert(t, one.Announce(late), qt.IsNil)
	id, _, _ := one.Node.target.identity()
	qt.Assert(t, id, qt.Equals, "t9")
}

func TestForgedAnnouncementsAreRejected(t *testing.T) {
	_, one, _ := pair(t)
	for name, spoil := range map[string]func(*Announcement){
		"service": func(a *Announcement) { a.Service = "nobody" },
		"address": func(a *Announcement) { a.Address = "10.9.9.9:80" },
		"no port": func(a *Announcement) { a.Address = "127.0.0.1" },
		"id":      func(a *Announcement) { a.ID = "" },
		"slots":   func(a *Announcement) { a.Slots = -1 },
	} {
		a := one.announcement(500, 1)
		a.Draining = true
		spoil(&a)
		qt.Assert(t, one.Announce(a), qt.IsNotNil, qt.Commentf("%s", name))
	}
	qt.Assert(t, one.owner.closed(dispatch.GateDraining), qt.IsFalse)
}

func TestAnnouncementNeverShortensAColdTime(t *testing.T) {
	_, one, _ := pair(t)
	cold := one.announcement(100, 1)
	cold.ColdLeft = time.Hour
	qt.Assert(t, one.Announce(cold), qt.IsNil)
	qt.Assert(t, one.Announce(one.announcement(100, 2)), qt.IsNil)
	qt.Assert(t, one.owner.report().State, qt.Equals, model.TargetCold)
}

func TestTargetWhosePortIsClosedIsDown(t *testing.T) {
	entry, one, _ := pair(t)
	one.target.server.Close()
	until(t, "the target is down", func() bool { return one.owner.closed(dispatch.GateDown) })
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
	for _, text := range []string{"", "1,2", "a,b,c", "1,-2,3"} {
		_, ok := parseLoad(text)
		qt.Assert(t, ok, qt.IsFalse, qt.Commentf("%q", text))
	}
}

// Replays hunt-1fc9-15 on trla-perth: a node that had just started was told by
// its target, which it did not know yet, that it leaves; an announcement from
// before came late and made the target ready again.
func TestLateAnnouncementDoesNotUndoAWithdrawal(t *testing.T) {
	_, one, _ := pair(t)
	one.Withdraw("t9", 0)
	late := one.announcement(time.Now().Add(-time.Minute).UnixMilli(), 21)
	late.ID = "t9"
	qt.Assert(t, one.Announce(late), qt.IsNil)
	qt.Assert(t, one.owner.closed(dispatch.GateDraining), qt.IsTrue)
	// A later start under the same id is a new target.
	again := late
	again.Born, again.Sequence = time.Now().Add(time.Minute).UnixMilli(), 1
	qt.Assert(t, one.Announce(again), qt.IsNil)
	qt.Assert(t, one.owner.closed(dispatch.GateDraining), qt.IsFalse)
}

func TestAnnouncementAgainstTheTargetsHealthIsDoubted(t *testing.T) {
	_, one, _ := pair(t)
	target := one.Node.target
	ready := one.announcement(100, 5)
	ready.ID = "t9"
	target.mu.Lock()
	target.unhealthy = unhealthyReport{id: "t9", at: time.Now()}
	target.mu.Unlock()
	qt.Assert(t, one.Announce(ready), qt.IsNil)
	qt.Assert(t, one.owner.closed(dispatch.GateDraining), qt.IsTrue)
	target.mu.Lock()
	target.doubted = target.doubted.Add(-doubtTime)
	target.mu.Unlock()
	ready.Sequence++
	qt.Assert(t, one.Announce(ready), qt.IsNil)
	qt.Assert(t, one.owner.closed(dispatch.GateDraining), qt.IsFalse)
}
