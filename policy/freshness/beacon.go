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
	// shortBeaconInterval is the least time between beacons of one domain
	// while the store is unreachable, and between beacons that confirm the
	// head in the whole fleet while it is reachable.
	shortBeaconInterval = 700 * time.Millisecond
	// beaconJitter bounds the random delay added to intervals, so that
	// watchers do not send at the same time.
	beaconJitter = 500 * time.Millisecond
	// longBeaconInterval is the least time between beacons of one domain
	// while the store is reachable.
	longBeaconInterval = 4 * time.Second
	// outageAfter is the age of the latest confirmation from which on each
	// domain sends at the short interval.
	outageAfter = 1500 * time.Millisecond
	// maxWatchers bounds the number of watchers recorded for one domain.
	maxWatchers = 8
)

// Beacon is the message that a watcher floods about the state of the store.
type Beacon struct {
	// Domain is the failure domain of the watcher.
	Domain model.Domain `cbor:"1,keyasint"`
	// Watcher is the node that made the beacon.
	Watcher model.NodeAddr `cbor:"2,keyasint"`
	// Head is the highest revision known to the watcher.
	Head model.Revision `cbor:"3,keyasint"`
	// Confirmed reports whether the store confirmed Head within the bound.
	Confirmed bool `cbor:"4,keyasint,omitempty"`
	// Age is the time from the request that the store answered to the
	// beacon.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
}

// beaconSchedule determines when this node, if it is a watcher, sends a beacon.
type beaconSchedule struct {
	random *rand.Rand
	// ownConfirmation is the latest confirmation by a request of this node.
	ownConfirmation evidence
	// lastBeacon is the last beacon, made at lastBeaconAt.
	lastBeacon   Beacon
	lastBeaconAt time.Time
	delay        time.Duration
}

func newSchedule(options Options) beaconSchedule {
	s := beaconSchedule{random: rand.New(rand.NewPCG(options.Seed, xxhash.Sum64String(string(options.Self))))}
	s.drawDelay()
	return s
}

func (s *beaconSchedule) drawDelay() { s.delay = time.Duration(s.random.Int64N(int64(beaconJitter))) }

func (s *beaconSchedule) confirmed(e evidence) { s.ownConfirmation = e }

// Beacon returns the beacon to flood now, if one is due. Only watchers call it.
// Flood it with now as its creation time. No beacon is due while this node knows
// no revision.
func (t *Tracker) Beacon(now time.Time) (Beacon, bool) {
	if t.head == 0 || !t.beaconDue(now) {
		return Beacon{}, false
	}
	b := t.newBeacon(now)
	t.schedule.lastBeacon = b
	t.schedule.lastBeaconAt = now
	t.schedule.drawDelay()
	t.RecordBeacon(now, b, now)
	return b, true
}

func (t *Tracker) newBeacon(now time.Time) Beacon {
	b := Beacon{Domain: t.options.Domain, Watcher: t.options.Self, Head: t.head}
	own := t.schedule.ownConfirmation
	if own.head == t.head && !isPast(own.at.Add(t.options.Bound), now) {
		b.Confirmed = true
		b.Age = max(now.Sub(own.at), now.Round(0).Sub(own.at.Round(0)))
	}
	return b
}

// beaconDue reports whether the head changed, or other watchers have not
// recently sent what this node can send.
func (t *Tracker) beaconDue(now time.Time) bool {
	s := &t.schedule
	if t.head != s.lastBeacon.Head {
		return true
	}
	if !isPast(s.lastBeaconAt.Add(shortBeaconInterval), now) {
		return false
	}
	lastConfirmation := t.beaconConfirmations.latest(t.head)
	canConfirm := s.ownConfirmation.head == t.head && s.ownConfirmation.at.After(lastConfirmation)
	if canConfirm && isPast(lastConfirmation.Add(shortBeaconInterval+s.delay), now) {
		return true
	}
	interval := longBeaconInterval
	if isPast(lastConfirmation.Add(outageAfter), now) {
		interval = shortBeaconInterval
	}
	return isPast(t.lastDomainBeacon().Add(interval+s.delay), now)
}

// lastDomainBeacon returns the time of the last beacon of a watcher in this
// node's domain.
func (t *Tracker) lastDomainBeacon() time.Time {
	if d := t.domains[t.options.Domain]; d != nil {
		return d.beacons.latest(t.head)
	}
	return t.schedule.lastBeaconAt
}

// Watchers returns the n nodes of a domain that watch the store: the alive
// members with the highest rendezvous hashes. All nodes with the same
// membership choose the same watchers, and a watcher that leaves is replaced by
// the next node.
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
