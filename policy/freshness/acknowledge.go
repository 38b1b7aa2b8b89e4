package freshness

import (
	"slices"
	"time"

	"zinniafall/policy/model"
)

// maxPreviousSets bounds the number of earlier sets of failure domains that are
// kept.
const maxPreviousSets = 8

// domainState holds what the beacons of one failure domain stated.
type domainState struct {
	beacons timeline
	// watchers holds, for each watcher of the domain, the highest revision
	// that it is known to have and when its last beacon arrived.
	watchers map[model.NodeAddr]watcherHead
}

type watcherHead struct {
	head model.Revision
	at   time.Time
}

// recordHead records the revision of a watcher. A watcher's revision never
// decreases.
func (d *domainState) recordHead(now time.Time, b Beacon) {
	known, ok := d.watchers[b.Watcher]
	if !ok && len(d.watchers) >= maxWatchers {
		d.removeOldestWatcher()
	}
	d.watchers[b.Watcher] = watcherHead{head: max(known.head, b.Head), at: now}
}

func (d *domainState) removeOldestWatcher() {
	var oldest model.NodeAddr
	for node, w := range d.watchers {
		if oldest == "" || w.at.Before(d.watchers[oldest].at) {
			oldest = node
		}
	}
	delete(d.watchers, oldest)
}

// acknowledged reports whether at least one watcher has the revision and no
// watcher heard from within the window lacks it.
func (d *domainState) acknowledged(now time.Time, revision model.Revision, window time.Duration) bool {
	known := false
	for _, w := range d.watchers {
		if w.head >= revision {
			known = true
			continue
		}
		if !isPast(w.at.Add(window), now) {
			return false
		}
	}
	return known
}

// SetDomains replaces the configured failure domains. Call it immediately
// before RecordApplied with the revision that configures them. The state of domains
// that stay is kept.
func (t *Tracker) SetDomains(now time.Time, names []model.Domain) {
	names = slices.Clone(names)
	slices.Sort(names)
	if slices.Equal(names, t.current) {
		return
	}
	t.dropPreviousSets(now)
	if len(t.current) > 0 && len(t.previous) < maxPreviousSets {
		t.previous = append(t.previous, t.current)
	}
	t.current = names
	t.currentSince = 0
	t.rebuildDomains()
}

// dropPreviousSets removes the previous sets once half of each set has
// acknowledged the revision that configures the current one: then no node that
// lags can be fresh under a previous set.
func (t *Tracker) dropPreviousSets(now time.Time) {
	if len(t.previous) == 0 || t.currentSince == 0 || !t.Acknowledged(now, t.currentSince) {
		return
	}
	t.previous = nil
	t.rebuildDomains()
}

// rebuildDomains keeps the state of exactly the domains in the current and
// previous sets.
func (t *Tracker) rebuildDomains() {
	kept := make(map[model.Domain]*domainState)
	for _, set := range append(slices.Clone(t.previous), t.current) {
		for _, name := range set {
			kept[name] = t.domains[name]
			if kept[name] == nil {
				kept[name] = &domainState{watchers: make(map[model.NodeAddr]watcherHead)}
			}
		}
	}
	t.domains = kept
}

// Acknowledged reports whether watchers in at least half of the failure domains
// have the revision, in the current set and in each previous one. In a domain
// with several watchers, all that were heard from lately must have it.
func (t *Tracker) Acknowledged(now time.Time, revision model.Revision) bool {
	for _, set := range t.previous {
		if !t.acknowledgedInSet(now, set, revision) {
			return false
		}
	}
	return len(t.current) > 0 && t.acknowledgedInSet(now, t.current, revision)
}

func (t *Tracker) acknowledgedInSet(now time.Time, set []model.Domain, revision model.Revision) bool {
	count := 0
	for _, name := range set {
		if t.domains[name].acknowledged(now, revision, quorumBounds*t.options.Bound) {
			count++
		}
	}
	return 2*count >= len(set)
}
