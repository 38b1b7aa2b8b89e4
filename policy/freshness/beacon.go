package freshness

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniafall/policy/membership"
	"zinniafall/policy/model"
)

const (
	// beaconInterval is the least time between beacons of one domain while
	// the store is unreachable, and between beacons that confirm the head in
	// the whole fleet while it is reachable.
	beaconInterval = 700 * time.Millisecond
	// beaconJitter is added to intervals so that watchers do not speak at
	// once.
	beaconJitter = 500 * time.Millisecond
	// quietInterval is the least time between beacons of one domain while
	// the store is reachable.
	quietInterval = 4 * time.Second
	// outageAfter is the age of the latest confirmation from which on each
	// domain speaks at the short interval.
	outageAfter = 1500 * time.Millisecond
	// maxWatchers bounds the watchers remembered for one domain.
	maxWatchers = 8
)

// Beacon is what a watcher floods about the store.
type Beacon struct {
	// Domain of the watcher.
	Domain model.Domain `cbor:"1,keyasint"`
	// Watcher is the node that made the beacon.
	Watcher model.NodeAddr `cbor:"2,keyasint"`
	// Head is the highest revision that the watcher knows of.
	Head model.Revision `cbor:"3,keyasint"`
	// Confirmed is true when the store confirmed Head at most the bound ago.
	Confirmed bool `cbor:"4,keyasint,omitempty"`
	// Age is the time between the request that the store answered and the
	// beacon.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
}

// schedule decides when the own node, if it is a watcher, speaks.
type schedule struct {
	random *rand.Rand
	// own is the latest confirmation of the node's own requests.
	own evidence
	// last is the last beacon, made at lastAt.
	last   Beacon
	lastAt time.Time
	delay  time.Duration
}

func newSchedule(options Options) schedule {
	s := schedule{random: rand.New(rand.NewPCG(options.Seed, xxhash.Sum64String(string(options.Self))))}
	s.draw()
	return s
}

func (s *schedule) draw() { s.delay = time.Duration(s.random.Int64N(int64(beaconJitter))) }

func (s *schedule) confirmed(e evidence) { s.own = e }

// Beacon returns the beacon to flood now, if one is due at a watcher; nodes
// that are no watchers do not call it. Flood it with the same time as Born.
// A watcher that knows no revision says nothing.
func (j *Judge) Beacon(now time.Time) (Beacon, bool) {
	if j.head == 0 || !j.beaconDue(now) {
		return Beacon{}, false
	}
	b := j.beacon(now)
	j.beacons.last = b
	j.beacons.lastAt = now
	j.beacons.draw()
	j.Heard(now, b, now)
	return b, true
}

func (j *Judge) beacon(now time.Time) Beacon {
	b := Beacon{Domain: j.options.Domain, Watcher: j.options.Self, Head: j.head}
	own := j.beacons.own
	if own.head == j.head && !passed(own.at.Add(j.options.Bound), now) {
		b.Confirmed = true
		b.Age = max(now.Sub(own.at), now.Round(0).Sub(own.at.Round(0)))
	}
	return b
}

// beaconDue reports whether the head changed, or others have not said lately
// what the own node can say.
func (j *Judge) beaconDue(now time.Time) bool {
	s := &j.beacons
	if j.head != s.last.Head {
		return true
	}
	if !passed(s.lastAt.Add(beaconInterval), now) {
		return false
	}
	told := j.told.latest(j.head)
	canConfirm := s.own.head == j.head && s.own.at.After(told)
	if canConfirm && passed(told.Add(beaconInterval+s.delay), now) {
		return true
	}
	interval := quietInterval
	if passed(told.Add(outageAfter), now) {
		interval = beaconInterval
	}
	return passed(j.voiced().Add(interval+s.delay), now)
}

// voiced returns when a watcher of the own domain spoke last.
func (j *Judge) voiced() time.Time {
	if d := j.domains[j.options.Domain]; d != nil {
		return d.voices.latest(j.head)
	}
	return j.beacons.lastAt
}

// Watchers returns the n nodes of a domain that watch the store: the alive
// members with the highest rendezvous hashes. All nodes with the same view
// choose the same, and a watcher that is gone is replaced by the next.
func Watchers(members []membership.Member, domain model.Domain, n int) []model.NodeAddr {
	type candidate struct {
		hash uint64
		node model.NodeAddr
	}
	var candidates []candidate
	for i := range members {
		m := &members[i]
		if m.Domain == domain && m.Status == membership.Alive {
			candidates = append(candidates, candidate{xxhash.Sum64String(string(m.Node)), m.Node})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.node, b.node))
	})
	nodes := make([]model.NodeAddr, 0, n)
	for _, c := range candidates[:min(n, len(candidates))] {
		nodes = append(nodes, c.node)
	}
	return nodes
}
