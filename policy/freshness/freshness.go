// Package freshness decides whether a node may admit new work.
//
// A node that was paused or partitioned may not know that operators took its
// failure domain out of service; it must give its target no new calls. A node
// that only cannot reach the store must continue. Watchers, a few nodes in each
// failure domain, ask the store for the head revision and flood beacons. A node
// is fresh while it has evidence, at most Bound old, of either kind:
//
//   - a confirmation: the store was asked at that time and answered with a
//     head revision that the node applies;
//   - beacons of watchers in more than half of the configured failure domains,
//     each with no revision above the one that the node applies.
//
// A change counts as accepted only after watchers in at least half of the
// failure domains have acknowledged it in their beacons (Acknowledged). Any
// confirmation requested after the acceptance shows the change, and beacons
// made after it by more than half of the domains include one that acknowledges
// it. So no node that does not apply the change is fresh once Bound has passed
// since the acceptance. While the set of domains changes, half of each set must
// acknowledge.
//
// This needs no synchronized clocks. All times are of the node's own monotonic
// clock, and the age of a beacon is an upper bound that includes the pauses of
// its relays.
package freshness

import (
	"time"

	"zinniafall/policy/model"
)

const (
	// defaultBound is the greatest age of evidence by default.
	defaultBound = 2500 * time.Millisecond
	// quorumBounds is the number of bounds within which a domain counts as
	// heard from in MayCommit and a watcher in Acknowledged. It is above
	// one because domains rarely send beacons while the store is reachable.
	quorumBounds = 3
	// maxHeads is the number of head revisions that are distinguished in
	// evidence of one kind.
	maxHeads = 4
)

// Status is the freshness of this node.
type Status struct {
	// Fresh reports whether the node may admit new work.
	Fresh bool
	// CutOff is true when neither a confirmation nor beacons of more than
	// half of the failure domains, whatever their revision, arrived within
	// the bound.
	CutOff bool
	// Behind is true when a higher revision is known than the one applied.
	Behind bool
	// Until is when Fresh ends unless new evidence arrives. It is in the
	// past when the node is not fresh.
	Until time.Time
}

// Options configures a Tracker. The zero value of a field selects its default.
type Options struct {
	// Self is this node and Domain its failure domain.
	Self   model.NodeAddr
	Domain model.Domain
	// Domains are the configured failure domains.
	Domains []model.Domain
	// Bound is the greatest age of evidence.
	Bound time.Duration // default 2.5 s
	// Seed initializes the random delays of beacons.
	Seed uint64
}

// pendingRevision is a revision above the applied one and when it was first
// known.
type pendingRevision struct {
	head  model.Revision
	since time.Time
}

// Tracker evaluates the evidence that one node has received.
type Tracker struct {
	options Options
	applied model.Revision
	// head is the highest known revision.
	head model.Revision
	// pending lists the known revisions above applied, in ascending order.
	pending []pendingRevision
	// confirmed holds all confirmations, those of own requests and those that
	// beacons stated.
	confirmed timeline
	// beaconConfirmations holds the confirmations that beacons stated,
	// those of this node included.
	beaconConfirmations timeline
	// current holds the configured domains, previous the earlier sets under
	// which a node that lags may still be fresh, and domains the state of
	// the domains in all of them.
	current  []model.Domain
	previous [][]model.Domain
	// currentSince is the first revision that configures current, 0 until
	// it is known.
	currentSince model.Revision
	domains      map[model.Domain]*domainState
	schedule     beaconSchedule
}

// New returns a tracker without evidence, whose node is not fresh.
func New(options Options) *Tracker {
	if options.Bound == 0 {
		options.Bound = defaultBound
	}
	t := &Tracker{options: options, domains: make(map[model.Domain]*domainState)}
	t.schedule = newSchedule(options)
	t.SetDomains(time.Time{}, options.Domains)
	return t
}

// RecordApplied records the revision that the node applies. It never decreases.
func (t *Tracker) RecordApplied(now time.Time, revision model.Revision) {
	if revision <= t.applied {
		return
	}
	t.applied = revision
	if t.currentSince == 0 {
		t.currentSince = revision
	}
	t.recordRevision(now, revision)
	for len(t.pending) > 0 && t.pending[0].head <= revision {
		t.pending = t.pending[1:]
	}
}

// recordRevision records that a revision exists.
func (t *Tracker) recordRevision(now time.Time, revision model.Revision) {
	if revision <= t.head {
		return
	}
	t.head = revision
	if revision <= t.applied {
		return
	}
	if len(t.pending) == maxHeads {
		t.pending[maxHeads-1].head = revision
		return
	}
	t.pending = append(t.pending, pendingRevision{head: revision, since: now})
}

// RecordConfirmation records that the store answered a request of this node with the
// head revision; age is the time since the request was sent. It returns false
// for a revision below the known head: such an answer is out of date and no
// evidence.
func (t *Tracker) RecordConfirmation(now time.Time, age time.Duration, revision model.Revision) bool {
	if revision < t.head {
		return false
	}
	t.recordRevision(now, revision)
	e := evidence{head: revision, at: now.Add(-age)}
	t.confirmed.add(e)
	t.schedule.confirmed(e)
	return true
}

// RecordBeacon records a beacon. Born is the creation time that the overlay determined
// for its flood. A beacon of unknown age still states the revision that its
// watcher knows.
func (t *Tracker) RecordBeacon(now time.Time, b Beacon, born time.Time) {
	t.recordRevision(now, b.Head)
	d := t.domains[b.Domain]
	if d != nil {
		d.recordHead(now, b)
		t.dropPreviousSets(now)
	}
	if born.IsZero() {
		return
	}
	if d != nil {
		d.beacons.add(evidence{head: b.Head, at: born})
	}
	if b.Confirmed {
		e := evidence{head: b.Head, at: born.Add(-b.Age)}
		t.confirmed.add(e)
		t.beaconConfirmations.add(e)
	}
}

// Status returns the freshness of this node. The node is fresh until the
// evidence for the applied revision expires or, if earlier, until a higher
// revision has been known for Bound without being applied.
func (t *Tracker) Status(now time.Time) Status {
	until := t.freshUntil(t.applied)
	if len(t.pending) > 0 {
		until = earlier(until, t.pending[0].since.Add(t.options.Bound))
	}
	headFreshUntil := t.freshUntil(t.head)
	return Status{
		Fresh:  !isPast(until, now),
		CutOff: isPast(headFreshUntil, now),
		Behind: t.head > t.applied,
		Until:  until,
	}
}

// freshUntil returns when the evidence for a node that applies the revision
// expires.
func (t *Tracker) freshUntil(revision model.Revision) time.Time {
	quorumAt := nthLatest(t.lastBeacons(revision), len(t.current)/2+1)
	until := later(t.confirmed.latest(revision), quorumAt)
	if until.IsZero() {
		return until
	}
	return until.Add(t.options.Bound)
}

// lastBeacons returns, for each configured domain, the time of its last beacon
// with a head of at most the revision.
func (t *Tracker) lastBeacons(revision model.Revision) []time.Time {
	times := make([]time.Time, 0, len(t.current))
	for _, name := range t.current {
		times = append(times, t.domains[name].beacons.latest(revision))
	}
	return times
}

// MayCommit reports whether at least half of the failure domains were heard
// from lately. Otherwise a change could not be acknowledged, so it must not be
// written.
func (t *Tracker) MayCommit(now time.Time) bool {
	heard := nthLatest(t.lastBeacons(t.head), (len(t.current)+1)/2)
	return !heard.IsZero() && !isPast(heard.Add(quorumBounds*t.options.Bound), now)
}

// NextChange returns when Status changes unless an event occurs first, or the
// zero time when only an event can change it.
func (t *Tracker) NextChange(now time.Time) time.Time {
	if s := t.Status(now); s.Fresh {
		return s.Until
	}
	return time.Time{}
}
