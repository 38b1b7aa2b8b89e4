// Package freshness decides whether a node may admit new work.
//
// A node that was paused or cut off may not know that operators took its
// failure domain out, and must then give its target nothing new. A node that
// merely cannot reach the store must go on. Watchers, a few nodes in each
// failure domain, ask the store for the head revision and flood beacons. A
// node is fresh while it has evidence, at most Bound old, of either kind:
//
//   - a confirmation: the store was asked at that time and answered with a
//     head revision that the node applies;
//   - voices of watchers in more than half of the configured failure domains,
//     each knowing no revision above the one that the node applies.
//
// A change counts as accepted only after watchers in at least half of the
// failure domains have acknowledged it in their beacons (Acknowledged). Any
// confirmation asked after the acceptance shows the change, and the voices of
// more than half of the domains made after it contain an acknowledged one, so
// Bound after the acceptance no node that does not apply the change is fresh.
// While the set of domains changes, half of each set must acknowledge. This needs no
// synchronized clocks: all times are the own monotonic clock, and the age of
// a beacon is an upper bound that includes the pauses of its relays.
package freshness

import (
	"time"

	"zinniafall/policy/model"
)

const (
	// defaultBound is the longest age of evidence.
	defaultBound = 2500 * time.Millisecond
	// commitWindows is the number of bounds within which MayCommit counts a
	// domain as heard, because domains speak seldom while the store is up.
	commitWindows = 3
	// maxEvidence is the number of head revisions told apart in evidence of
	// one kind.
	maxEvidence = 4
)

// Standing is the judgment about the own node.
type Standing struct {
	// Fresh nodes admit new work.
	Fresh bool
	// CutOff is true when neither a confirmation nor voices of more than half
	// of the failure domains, whatever their revision, came within the bound.
	CutOff bool
	// Behind is true when a higher revision is known than the one applied.
	Behind bool
	// Until is when Fresh ends unless new evidence comes; it lies in the past
	// when the node is not fresh.
	Until time.Time
}

// Options of a Judge; a zero value means the default.
type Options struct {
	// Self is the own node and Domain its failure domain.
	Self   model.NodeAddr
	Domain model.Domain
	// Domains are the configured failure domains.
	Domains []model.Domain
	// Bound is the longest age of evidence.
	Bound time.Duration // default 2.5 s
	// Seed of the random delays of beacons.
	Seed uint64
}

// news is a revision above the applied one and when it was first heard of.
type news struct {
	head  model.Revision
	since time.Time
}

// Judge keeps the evidence of one node.
type Judge struct {
	options Options
	applied model.Revision
	// head is the highest revision known.
	head model.Revision
	// ahead lists known revisions above applied, the lowest first.
	ahead     []news
	confirmed timeline
	// told holds the confirmations that beacons told.
	told timeline
	// current are the configured domains; former are earlier sets under which
	// a node that lags may still be fresh. The domains of all are in domains.
	current []model.Domain
	former  [][]model.Domain
	// currentSince is the revision from which on current is configured, 0
	// until it is known.
	currentSince model.Revision
	domains      map[model.Domain]*domain
	beacons      schedule
}

// New returns a judge without evidence: its node is not fresh.
func New(options Options) *Judge {
	if options.Bound == 0 {
		options.Bound = defaultBound
	}
	j := &Judge{options: options, domains: make(map[model.Domain]*domain)}
	j.beacons = newSchedule(options)
	j.SetDomains(time.Time{}, options.Domains)
	return j
}

// Applied notes the revision that the node applies; it never falls.
func (j *Judge) Applied(now time.Time, revision model.Revision) {
	if revision <= j.applied {
		return
	}
	j.applied = revision
	if j.currentSince == 0 {
		j.currentSince = revision
	}
	j.learn(now, revision)
	for len(j.ahead) > 0 && j.ahead[0].head <= revision {
		j.ahead = j.ahead[1:]
	}
}

// learn notes that a revision exists.
func (j *Judge) learn(now time.Time, revision model.Revision) {
	if revision <= j.head {
		return
	}
	j.head = revision
	if revision <= j.applied {
		return
	}
	if len(j.ahead) == maxEvidence {
		j.ahead[maxEvidence-1].head = revision
		return
	}
	j.ahead = append(j.ahead, news{head: revision, since: now})
}

// Confirmed notes that the store answered the node's own request with this
// head revision; age is the time since the request was sent. It reports false
// for an answer from the past, which is no evidence.
func (j *Judge) Confirmed(now time.Time, age time.Duration, revision model.Revision) bool {
	if revision < j.head {
		return false
	}
	j.learn(now, revision)
	e := evidence{head: revision, at: now.Add(-age)}
	j.confirmed.add(e)
	j.beacons.confirmed(e)
	return true
}

// Heard takes a beacon in. Born is the Delivered.Born of its flood; a beacon
// of unknown age still tells the revision that its watcher knows.
func (j *Judge) Heard(now time.Time, b Beacon, born time.Time) {
	j.learn(now, b.Head)
	d := j.domains[b.Domain]
	if d != nil {
		d.note(now, b)
		j.settleDomains(now)
	}
	if born.IsZero() {
		return
	}
	if d != nil {
		d.voices.add(evidence{head: b.Head, at: born})
	}
	if b.Confirmed {
		e := evidence{head: b.Head, at: born.Add(-b.Age)}
		j.confirmed.add(e)
		j.told.add(e)
	}
}

// Standing judges the own node.
func (j *Judge) Standing(now time.Time) Standing {
	until := j.freshUntil(j.applied)
	if len(j.ahead) > 0 {
		until = earlier(until, j.ahead[0].since.Add(j.options.Bound))
	}
	anything := j.freshUntil(j.head)
	return Standing{
		Fresh:  !passed(until, now),
		CutOff: passed(anything, now),
		Behind: j.head > j.applied,
		Until:  until,
	}
}

// freshUntil returns when the evidence for a node that applies the revision
// becomes too old.
func (j *Judge) freshUntil(revision model.Revision) time.Time {
	voices := heardSince(j.voices(revision), len(j.current)/2+1)
	until := later(j.confirmed.latest(revision), voices)
	if until.IsZero() {
		return until
	}
	return until.Add(j.options.Bound)
}

// voices returns when each configured domain spoke last without knowing more
// than the revision.
func (j *Judge) voices(revision model.Revision) []time.Time {
	times := make([]time.Time, 0, len(j.current))
	for _, name := range j.current {
		times = append(times, j.domains[name].voices.latest(revision))
	}
	return times
}

// MayCommit reports whether at least half of the failure domains were heard
// lately. Before that a change could not be acknowledged, so it is better not
// written.
func (j *Judge) MayCommit(now time.Time) bool {
	heard := heardSince(j.voices(j.head), (len(j.current)+1)/2)
	return !heard.IsZero() && !passed(heard.Add(commitWindows*j.options.Bound), now)
}

// NextChange returns when Standing changes unless an event comes before; zero
// when only an event can change it.
func (j *Judge) NextChange(now time.Time) time.Time {
	if s := j.Standing(now); s.Fresh {
		return s.Until
	}
	return time.Time{}
}
