package freshness

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/membership"
	"zinniafall/policy/model"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	four  = []model.Domain{"ne-a", "ne-b", "ne-c", "ne-d"}
	three = []model.Domain{"perth-north", "perth-south", "perth-east"}
	one   = []model.Domain{"only"}
	ten   = []model.Domain{"d0", "d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8", "d9"}
)

func after(d time.Duration) time.Time { return start.Add(d) }

// heardBeacon describes a beacon that the node receives at the start.
type heardBeacon struct {
	domain    model.Domain
	head      model.Revision
	confirmed bool
	age       time.Duration
	unknown   bool
}

func TestStatus(t *testing.T) {
	beaconOf := func(d model.Domain) heardBeacon { return heardBeacon{domain: d, head: 5} }
	cases := []struct {
		name    string
		domains []model.Domain
		heard   []heardBeacon
		at      time.Duration
		want    Status
	}{
		{"nothing heard", four, nil, 0, Status{CutOff: true}},
		{"store confirmed by one of four", four, []heardBeacon{{"ne-c", 5, true, time.Second, false}}, time.Second, Status{Fresh: true}},
		{"confirmation too old", four, []heardBeacon{{"ne-c", 5, true, time.Second, false}}, 1600 * time.Millisecond, Status{CutOff: true}},
		{"store down, three of four heard", four, []heardBeacon{beaconOf("ne-a"), beaconOf("ne-b"), beaconOf("ne-c")}, 2 * time.Second, Status{Fresh: true}},
		{"store down, half of four heard", four, []heardBeacon{beaconOf("ne-a"), beaconOf("ne-b")}, 0, Status{CutOff: true}},
		{"one of four domains heard repeatedly", four, []heardBeacon{beaconOf("ne-a"), beaconOf("ne-a"), beaconOf("ne-a")}, 0, Status{CutOff: true}},
		{"store down, two of three heard", three, []heardBeacon{beaconOf("perth-north"), beaconOf("perth-east")}, 0, Status{Fresh: true}},
		{"store down, one of three heard", three, []heardBeacon{beaconOf("perth-north")}, 0, Status{CutOff: true}},
		{"domains that are not configured", three, []heardBeacon{beaconOf("u"), beaconOf("x"), beaconOf("y"), beaconOf("z")}, 0, Status{CutOff: true}},
		{"only domain heard", one, []heardBeacon{beaconOf("only")}, 0, Status{Fresh: true}},
		{"beacon of unknown age", one, []heardBeacon{{"only", 5, true, 0, true}}, 0, Status{CutOff: true}},
		{"revision ahead in the only domain", one, []heardBeacon{{"only", 6, true, 0, false}}, 0, Status{Behind: true}},
		{"revision ahead in one of three domains within the bound", three, []heardBeacon{beaconOf("perth-north"), beaconOf("perth-east"), {"perth-south", 6, true, 0, false}}, time.Second, Status{Fresh: true, Behind: true}},
		{"first start with the configuration of a peer, store down", three, []heardBeacon{{"perth-north", 3, false, 0, false}, beaconOf("perth-south")}, 0, Status{Fresh: true}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			tracker := New(Options{Domains: test.domains})
			tracker.RecordApplied(start, 5)
			for _, s := range test.heard {
				created := start
				if s.unknown {
					created = time.Time{}
				}
				tracker.RecordBeacon(start, Beacon{Domain: s.domain, Watcher: "w", Head: s.head, Confirmed: s.confirmed, Age: s.age}, created)
			}
			got := tracker.Status(after(test.at))
			got.Until = time.Time{}
			qt.New(t).Assert(got, qt.Equals, test.want)
		})
	}
}

func TestNodeBehindKnownRevisionStopsBeingFreshAfterBound(t *testing.T) {
	c := qt.New(t)
	tracker := New(Options{Domains: three})
	tracker.RecordApplied(start, 5)
	tracker.RecordBeacon(start, Beacon{Domain: three[0], Head: 6}, time.Time{})
	receive := func(now time.Time) {
		tracker.RecordBeacon(now, Beacon{Domain: three[1], Head: 5}, now)
		tracker.RecordBeacon(now, Beacon{Domain: three[2], Head: 5}, now)
	}
	receive(after(2 * time.Second))
	c.Assert(tracker.Status(after(2*time.Second)).Fresh, qt.IsTrue)
	receive(after(3 * time.Second))
	c.Assert(tracker.Status(after(3*time.Second)).Fresh, qt.IsFalse)
	tracker.RecordApplied(after(3*time.Second), 6)
	c.Assert(tracker.Status(after(3*time.Second)).Fresh, qt.IsTrue)
}

func TestStoreAnswerWithOldRevisionIsNoEvidence(t *testing.T) {
	c := qt.New(t)
	tracker := New(Options{Domains: one})
	tracker.RecordApplied(start, 6)
	c.Assert(tracker.RecordConfirmation(start, 0, 5), qt.IsFalse)
	c.Assert(tracker.Status(start).Fresh, qt.IsFalse)
	c.Assert(tracker.RecordConfirmation(start, 0, 6), qt.IsTrue)
	c.Assert(tracker.Status(start).Fresh, qt.IsTrue)
}

func TestAcknowledged(t *testing.T) {
	c := qt.New(t)
	tracker := New(Options{Domains: three})
	receive := func(d model.Domain, w model.NodeAddr, head model.Revision) {
		tracker.RecordBeacon(start, Beacon{Domain: d, Watcher: w, Head: head}, start)
	}
	receive(three[0], "a", 6)
	c.Assert(tracker.Acknowledged(start, 6), qt.IsFalse)
	receive(three[1], "b", 5)
	receive(three[1], "c", 6)
	c.Assert(tracker.Acknowledged(start, 6), qt.IsFalse, qt.Commentf("b of the same domain still has revision 5"))
	receive(three[1], "b", 6)
	c.Assert(tracker.Acknowledged(start, 6), qt.IsTrue)
	c.Assert(tracker.MayCommit(start), qt.IsTrue)
	c.Assert(tracker.MayCommit(after(time.Minute)), qt.IsFalse)
}

// TestOutageLeavesNoGap guards against nodes that stop being fresh while the
// store is lost or returns, and against too many beacons meanwhile.
func TestOutageLeavesNoGap(t *testing.T) {
	for _, domains := range [][]model.Domain{one, three, four, ten} {
		t.Run(string(domains[0]), func(t *testing.T) {
			c := qt.New(t)
			const step = 20 * time.Millisecond
			var trackers []*Tracker
			for i, d := range domains {
				for w := range 2 {
					tracker := New(Options{Self: model.NodeAddr(string(d) + string(rune('0'+w))), Domain: d, Domains: domains, Seed: uint64(i)})
					tracker.RecordApplied(start, 7)
					trackers = append(trackers, tracker)
				}
			}
			beacons := map[bool]int{}
			for at := time.Duration(0); at < 30*time.Second; at += step {
				now := after(at)
				down := at >= 10*time.Second && at < 20*time.Second
				for i, tracker := range trackers {
					if !down && (at/step+time.Duration(7*i))%40 == 0 {
						tracker.RecordConfirmation(now, 10*time.Millisecond, 7)
					}
					if b, due := tracker.Beacon(now); due {
						beacons[down]++
						for _, other := range trackers {
							if other != tracker {
								other.RecordBeacon(now, b, now)
							}
						}
					}
				}
				for _, tracker := range trackers {
					if at > 2*time.Second {
						c.Assert(tracker.Status(now).Fresh, qt.IsTrue, qt.Commentf("after %v", at))
						c.Assert(tracker.MayCommit(now), qt.IsTrue)
					}
				}
			}
			c.Logf("%d domains: %.1f beacons per second with the store up, %.1f with it down", len(domains), float64(beacons[false])/20, float64(beacons[true])/10)
			c.Assert(beacons[true] <= 10*(2*len(domains)), qt.IsTrue)
			c.Assert(beacons[false] <= 20*(2+len(domains)), qt.IsTrue)
		})
	}
}

func TestWatchers(t *testing.T) {
	c := qt.New(t)
	var members []membership.Member
	for i := range 20 {
		members = append(members, membership.Member{Node: model.NodeAddr(rune('a' + i)), Domain: four[i%2]})
	}
	chosen := Watchers(members, four[0], 3)
	c.Assert(chosen, qt.HasLen, 3)
	for i := range members {
		if members[i].Node == chosen[0] {
			members[i].Status = membership.Leaving
		}
	}
	next := Watchers(members, four[0], 3)
	c.Assert(next[:2], qt.DeepEquals, chosen[1:])
	c.Assert(Watchers(members, "ne-d", 3), qt.HasLen, 0)
}
