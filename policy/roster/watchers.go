package roster

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniafall/policy/model"
)

const (
	// watchersPerDomain is the number of nodes of a failure domain that follow
	// the store for it: one may be cut off or die.
	watchersPerDomain = 2
	// fanOut is the number of nodes that one node tells of news.
	fanOut = 4
	// watcherSilence is the silence of the watchers after which a node follows the
	// store itself. They speak once a second.
	watcherSilence = 1600 * time.Millisecond
)

// Watchers decides whether a node follows the store itself. A few nodes of
// each failure domain do so for the others and tell them what changes, so that
// the calls of the store grow with the failure domains and not with the nodes.
// A node that hears no watcher whose view is up to date follows the store
// itself: isolation costs calls and not freshness.
type Watchers struct {
	self   model.NodeAddr
	domain model.Domain
	chosen bool
	// children are the nodes that this one tells of news.
	children []model.NodeAddr
	heard    time.Time
}

// NewWatchers returns the decision of a node that has heard nothing yet.
func NewWatchers(self model.NodeAddr, domain model.Domain) *Watchers {
	return &Watchers{self: self, domain: domain, chosen: true}
}

// SetMembers takes the other nodes. A node that learns that others follow the
// store gives them the time to speak.
func (w *Watchers) SetMembers(now time.Time, records []Record) {
	own := []model.NodeAddr{w.self}
	for _, r := range records {
		if r.Domain == w.domain {
			own = append(own, r.Node)
		}
	}
	slices.SortFunc(own, func(a, b model.NodeAddr) int {
		ha, hb := xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))
		switch {
		case ha < hb:
			return -1
		case ha > hb:
			return 1
		}
		return 0
	})
	chosen := slices.Contains(own[:min(len(own), watchersPerDomain)], w.self)
	if w.chosen && !chosen {
		w.heard = now
	}
	w.chosen = chosen
	at := slices.Index(own, w.self)
	w.children = slices.Clone(own[min(fanOut*at+1, len(own)):min(fanOut*(at+1)+1, len(own))])
}

// Heard takes a sign of a node that follows the store and reaches it.
func (w *Watchers) Heard(now time.Time, domain model.Domain) {
	if domain == w.domain {
		w.heard = now
	}
}

// Chosen reports whether the node follows the store for its failure domain.
func (w *Watchers) Chosen() bool { return w.chosen }

// Children returns the nodes of the failure domain that this one tells of news
// at once. Together they form a tree with the watchers at its top, so that no
// link carries a large configuration more than a few times.
func (w *Watchers) Children() []model.NodeAddr { return w.children }

// Follow reports whether the node follows the store now.
func (w *Watchers) Follow(now time.Time) bool {
	return w.chosen || now.Sub(w.heard) > watcherSilence
}
