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
	knows := false
	for _, w := range d.watchers {
		if w.head >= revision {
			knows = true
			continue
		}
		if !isPast(w.at.Add(window), now) {
			return false
		}
	}
	return knows
}

// SetDomains replaces the configured failure domains. Call it immediately
// before RecordApplied with the revision that configures them. The state of domains
// that stay is kept.
func (j *Tracker) SetDomains(now time.Time, names []model.Domain) {
	names = slices.Clone(names)
	slices.Sort(names)
	if slices.Equal(names, j.current) {
		return
	}
	j.dropPreviousSets(now)
	if len(j.current) > 0 && len(j.previous) < maxPreviousSets {
		j.previous = append(j.previous, j.current)
	}
	j.current = names
	j.currentSince = 0
	j.rebuildDomains()
}

// dropPreviousSets removes the previous sets once half of each set has
// acknowledged the revision that configures the current one: then no node that
// lags can be fresh under a previous set.
func (j *Tracker) dropPreviousSets(now time.Time) {
	if len(j.previous) == 0 || j.currentSince == 0 || !j.Acknowledged(now, j.currentSince) {
		return
	}
	j.previous = nil
	j.rebuildDomains()
}

// rebuildDomains keeps the state of exactly the domains in the current and
// previous sets.
func (j *Tracker) rebuildDomains() {
	kept := make(map[model.Domain]*domainState)
	for _, set := range append(slices.Clone(j.previous), j.current) {
		for _, name := range set {
			kept[name] = j.domains[name]
			if kept[name] == nil {
				kept[name] = &domainState{watchers: make(map[model.NodeAddr]watcherHead)}
			}
		}
	}
	j.domains = kept
}

// Acknowledged reports whether watchers in at least half of the failure domains
// have the revision, in the current set and in each previous one. In a domain
// with several watchers, all that were heard from lately must have it.
func (j *Tracker) Acknowledged(now time.Time, revision model.Revision) bool {
	for _, set := range j.previous {
		if !j.acknowledgedInSet(now, set, revision) {
			return false
		}
	}
	return len(j.current) > 0 && j.acknowledgedInSet(now, j.current, revision)
}

func (j *Tracker) acknowledgedInSet(now time.Time, set []model.Domain, revision model.Revision) bool {
	count := 0
	for _, name := range set {
		if j.domains[name].acknowledged(now, revision, quorumBounds*j.options.Bound) {
			count++
		}
	}
	return 2*count >= len(set)
}
