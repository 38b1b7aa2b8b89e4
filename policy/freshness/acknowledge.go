package freshness

import (
	"slices"
	"time"

	"zinniafall/policy/model"
)

// maxFormer bounds the earlier sets of domains that are remembered.
const maxFormer = 8

// domain is what was heard from one failure domain.
type domain struct {
	voices timeline
	// heads holds the highest revision that each of its watchers is known to
	// know, and when the watcher was heard.
	heads map[model.NodeAddr]watcherHead
}

type watcherHead struct {
	head model.Revision
	at   time.Time
}

// note keeps the highest revision of a watcher.
func (d *domain) note(now time.Time, b Beacon) {
	known, ok := d.heads[b.Watcher]
	if !ok && len(d.heads) >= maxWatchers {
		d.forgetOldest()
	}
	d.heads[b.Watcher] = watcherHead{head: max(known.head, b.Head), at: now}
}

func (d *domain) forgetOldest() {
	var oldest model.NodeAddr
	for node, w := range d.heads {
		if oldest == "" || w.at.Before(d.heads[oldest].at) {
			oldest = node
		}
	}
	delete(d.heads, oldest)
}

// acknowledged reports whether a watcher knows the revision and none that was
// heard within the window does not.
func (d *domain) acknowledged(now time.Time, revision model.Revision, window time.Duration) bool {
	knows := false
	for _, w := range d.heads {
		if w.head >= revision {
			knows = true
			continue
		}
		if !passed(w.at.Add(window), now) {
			return false
		}
	}
	return knows
}

// SetDomains replaces the configured failure domains; call it right before
// Applied with the revision that configures them. What was heard from domains
// that stay is kept.
func (j *Judge) SetDomains(now time.Time, names []model.Domain) {
	names = slices.Clone(names)
	slices.Sort(names)
	if slices.Equal(names, j.current) {
		return
	}
	j.settleDomains(now)
	if len(j.current) > 0 && len(j.former) < maxFormer {
		j.former = append(j.former, j.current)
	}
	j.current = names
	j.currentSince = 0
	j.keepDomains()
}

// settleDomains forgets former sets once the present one was acknowledged by
// half of each: then no node that lags is fresh under a former one.
func (j *Judge) settleDomains(now time.Time) {
	if len(j.former) == 0 || j.currentSince == 0 || !j.Acknowledged(now, j.currentSince) {
		return
	}
	j.former = nil
	j.keepDomains()
}

// keepDomains keeps exactly the domains of the present and former sets.
func (j *Judge) keepDomains() {
	kept := make(map[model.Domain]*domain)
	for _, set := range append(slices.Clone(j.former), j.current) {
		for _, name := range set {
			kept[name] = j.domains[name]
			if kept[name] == nil {
				kept[name] = &domain{heads: make(map[model.NodeAddr]watcherHead)}
			}
		}
	}
	j.domains = kept
}

// Acknowledged reports whether watchers in at least half of the failure
// domains know the revision, by the present set and by each former one. In a
// domain of several watchers all that were heard lately must know it.
func (j *Judge) Acknowledged(now time.Time, revision model.Revision) bool {
	for _, set := range j.former {
		if !j.acknowledgedBy(now, set, revision) {
			return false
		}
	}
	return len(j.current) > 0 && j.acknowledgedBy(now, j.current, revision)
}

func (j *Judge) acknowledgedBy(now time.Time, set []model.Domain, revision model.Revision) bool {
	count := 0
	for _, name := range set {
		if j.domains[name].acknowledged(now, revision, commitWindows*j.options.Bound) {
			count++
		}
	}
	return 2*count >= len(set)
}
