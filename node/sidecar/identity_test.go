package sidecar

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/dispatch"
	"zinniafall/policy/model"
)

// becomes makes the target answer under an ID from now on, as a new process at its address does.
func (x *testTarget) becomes(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.id = id
}

func (x *testTarget) setUnhealthy(unhealthy bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.unhealthy = unhealthy
}

// showsTarget waits until the health answers have shown a target.
func (n *testNode) showsTarget(id string) {
	eventually(n.t, "a health answer of "+id, func() bool {
		n.Node.target.mu.Lock()
		defer n.Node.target.mu.Unlock()
		return n.Node.target.shown.id == id
	})
}

// forgetHealth makes the last health answer count as old.
func (n *testNode) forgetHealth() {
	n.Node.target.mu.Lock()
	defer n.Node.target.mu.Unlock()
	n.Node.target.shown = healthAnswer{}
}

// Guards against review case 6: an announcement of another writer makes the target beside the
// node run the calls of another service.
func TestAnnouncementOfAnotherServiceIsRejected(t *testing.T) {
	entry, ownerA, ownerB := startEntryAndOwners(t)
	foreign := ownerA.announcement(time.Now().Add(time.Hour).UnixMilli(), 1000)
	foreign.ID, foreign.Service = "foreign", "front"
	qt.Assert(t, ownerA.Announce(foreign), qt.IsNotNil)
	_, service, _ := ownerA.Node.target.identity()
	qt.Assert(t, string(service), qt.Equals, "back")
	for range 5 {
		a := entry.call(http.MethodPost, "front", "/unsafe/x")
		qt.Check(t, a.body, qt.Equals, "from t0")
	}
	qt.Assert(t, ownerA.target.requests(), qt.HasLen, 0)
	qt.Assert(t, ownerB.target.requests(), qt.HasLen, 0)
}

// Guards against review case 7: a late announcement of the target that had the address before
// replaces the one that answers there.
func TestAnnouncementOfATargetThatHealthDoesNotShowWaits(t *testing.T) {
	entry, ownerA, ownerB := startEntryAndOwners(t)
	ownerA.showsTarget("t1")
	late := ownerA.announcement(time.Now().UnixMilli(), 7)
	late.ID = "before"
	qt.Assert(t, ownerA.Announce(late), qt.IsNil)
	id, _, _ := ownerA.Node.target.identity()
	qt.Assert(t, id, qt.Equals, "t1")
	// A target that starts at the address is used once a health answer shows it, with what it
	// has announced before that, whatever start it states.
	qt.Assert(t, ownerA.Announce(ownerA.announcement(200, 3)), qt.IsNil)
	ownerA.target.becomes("next")
	next := ownerA.announcement(100, 1)
	next.ID, next.Slots = "next", 5
	qt.Assert(t, ownerA.Announce(next), qt.IsNil)
	eventually(t, "the new target is in use as announced", func() bool {
		ownerA.Node.target.mu.Lock()
		defer ownerA.Node.target.mu.Unlock()
		return ownerA.Node.target.id == "next" && ownerA.Node.target.startedMs == 100
	})
	entry.call(http.MethodPost, "back", "/unsafe/x")
	qt.Assert(t, len(ownerA.target.requests())+len(ownerB.target.requests()), qt.Equals, 1)
}

// Guards against review case 10: the departure of a target whose start lies before that of its
// predecessor, which started while the clock was ahead, is acknowledged and ignored.
func TestDepartureOfATargetWithAnEarlierStartBinds(t *testing.T) {
	for _, test := range []struct {
		id       string
		withdraw bool
	}{{"next", false}, {"t1", false}, {"next", true}, {"t1", true}} {
		id := test.id
		t.Run(fmt.Sprintf("%s, withdraws: %v", id, test.withdraw), func(t *testing.T) {
			_, ownerA, _ := startEntryAndOwners(t)
			qt.Assert(t, ownerA.Announce(ownerA.announcement(2400, 9)), qt.IsNil)
			ownerA.target.becomes(id)
			ownerA.showsTarget(id)
			ready := ownerA.announcement(1000, 1)
			ready.ID = id
			qt.Assert(t, ownerA.Announce(ready), qt.IsNil)
			qt.Assert(t, ownerA.owner.gateClosed(dispatch.GateDraining), qt.IsFalse)
			ownerA.target.setUnhealthy(true)
			draining := ready
			draining.Sequence, draining.Draining = 2, true
			if test.withdraw {
				qt.Assert(t, ownerA.Withdraw(id, draining.Born), qt.IsNil)
			} else {
				qt.Assert(t, ownerA.Announce(draining), qt.IsNil)
			}
			eventually(t, "the target gets no calls", func() bool { return ownerA.owner.gateClosed(dispatch.GateDraining) })
		})
	}
}

// A late announcement says that an earlier process of the same ID drains; the health answers show
// that the present one does not.
func TestLateDepartureUnderTheSameIDDoesNotCloseAHealthyTarget(t *testing.T) {
	_, ownerA, _ := startEntryAndOwners(t)
	qt.Assert(t, ownerA.Announce(ownerA.announcement(2000, 1)), qt.IsNil)
	late := ownerA.announcement(1000, 30)
	late.Draining = true
	qt.Assert(t, ownerA.Announce(late), qt.IsNil)
	eventually(t, "a health answer contradicts it", func() bool {
		ownerA.Node.target.mu.Lock()
		defer ownerA.Node.target.mu.Unlock()
		return ownerA.Node.target.unconfirmed.ID == ""
	})
	qt.Assert(t, ownerA.owner.gateClosed(dispatch.GateDraining), qt.IsFalse)
}

// Guards against review case 12: an instance of another service that takes over the address gets
// calls of the old one, since the node has not read its settings again and health answers name
// no service.
func TestReplacedTargetGetsNoCallsOfTheFormerService(t *testing.T) {
	for _, test := range []struct {
		name      string
		lag       time.Duration // from the start of the instance to the change of the settings
		announces bool
	}{
		{"settings first", 0, false},
		{"settings first, announced", 0, true},
		{"settings later, announced", 500 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			store := newMemoryStore()
			store.configure(t, 1, "front", "back")
			var service atomic.Value
			service.Store(model.Service("back"))
			entry := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
			other := startNode(t, store, "a", "back", newTestTarget(t, "t2"))
			owner := startNodeWith(t, store, "a", "back", newTestTarget(t, "t1"), freeAddr(), func(o *Options) {
				settings := o.Settings
				o.ReadSettings = func() (Settings, error) {
					settings := settings
					settings.Service = service.Load().(model.Service)
					return settings, nil
				}
			})
			owner.waitForOwnTarget()
			other.waitForOwnTarget()
			entry.waitForTargets("back", 2)
			owner.target.becomes("next")
			time.AfterFunc(test.lag, func() { service.Store(model.Service("front")) })
			next := owner.announcement(time.Now().UnixMilli(), 1)
			next.ID, next.Service = "next", "front"
			eventually(t, "the instance is one of the new service", func() bool {
				a := entry.call(http.MethodPost, "back", "/unsafe/x")
				qt.Check(t, a.body != "from next", qt.IsTrue)
				if test.announces {
					_ = owner.Announce(next)
				}
				id, service, _ := owner.Node.target.identity()
				qt.Check(t, id != "next" || service == "front", qt.IsTrue, qt.Commentf("%s of %s", id, service))
				return id == "next" && service == "front"
			})
		})
	}
}
