package roster

import (
	"cmp"
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
	// turnStep is the lead that a node gives to each node that comes before it
	// when both stand in for the watchers: a list of the store takes some 10 ms.
	// longestTurn bounds it, since what operators change has to be known in 2 s.
	turnStep    = 15 * time.Millisecond
	longestTurn = 300 * time.Millisecond
	// standIns is the number of nodes of a failure domain that try to reach the
	// store at a time, beside the watchers, while none of them does.
	standIns = 4
)

// WatchPolicy decides whether a node follows the store itself. A few nodes of
// each failure domain do so for the others and tell them what changes, so that
// the calls of the store grow with the failure domains and not with the nodes.
// A node that hears no watcher whose view is up to date follows the store
// itself: isolation costs calls and not freshness. When the store fails for all,
// the nodes of a failure domain share the tries, since one that gets through
// tells the others.
type WatchPolicy struct {
	self   model.NodeAddr
	domain model.Domain
	chosen bool
	// place of this node in the order in which nodes stand in, and size of the
	// failure domain.
	place, size int
	// children are the nodes that this one tells of news.
	children []model.NodeAddr
	heard    time.Time
	// spoke is when a node of the failure domain was heard last, whether it
	// reaches the store or not.
	spoke time.Time
}

// NewWatchPolicy returns the decision of a node that has heard nothing yet.
func NewWatchPolicy(self model.NodeAddr, domain model.Domain) *WatchPolicy {
	return &WatchPolicy{self: self, domain: domain, chosen: true}
}

// SetMembers takes the other nodes. A node that learns that others follow the
// store gives them the time to speak.
func (w *WatchPolicy) SetMembers(now time.Time, records []Record) {
	own := []model.NodeAddr{w.self}
	for _, r := range records {
		if r.Domain == w.domain {
			own = append(own, r.Node)
		}
	}
	slices.SortFunc(own, func(a, b model.NodeAddr) int { return cmp.Compare(order(a), order(b)) })
	chosen := slices.Contains(own[:min(len(own), watchersPerDomain)], w.self)
	if w.chosen && !chosen {
		w.heard = now
	}
	w.chosen = chosen
	at := slices.Index(own, w.self)
	w.place, w.size = at, len(own)
	w.children = slices.Clone(own[min(fanOut*at+1, len(own)):min(fanOut*(at+1)+1, len(own))])
}

// Refresh takes a sign of a node that follows the store and reaches it.
func (w *WatchPolicy) Refresh(now time.Time, domain model.Domain) {
	if domain == w.domain {
		w.heard = now
	}
}

// order is the place of a node among the watchers and those that stand in.
func order(node model.NodeAddr) uint64 { return xxhash.Sum64String(string(node)) }

// YieldsTo reports whether this node leaves the store to another that reaches
// it. Of two that both do, the later in the order yields.
func (w *WatchPolicy) YieldsTo(node model.NodeAddr, reaches bool) bool {
	return !reaches || order(node) < order(w.self)
}

// MarkNodeAlive takes any sign of a node.
func (w *WatchPolicy) MarkNodeAlive(now time.Time, domain model.Domain) {
	if domain == w.domain {
		w.spoke = now
	}
}

// IsFallback reports whether the node, when it follows the store, does so in place
// of watchers that it once heard.
func (w *WatchPolicy) IsFallback() bool { return !w.chosen && !w.heard.IsZero() }

// FallbackDelay is how long a node that stands in waits for those before it.
func (w *WatchPolicy) FallbackDelay() time.Duration {
	return min(time.Duration(max(w.place-watchersPerDomain, 0))*turnStep, longestTurn)
}

// MaxRetryDelay is the longest wait between failed calls of the store, where usual
// is that of a node alone. Nodes that hear others of their failure domain share
// the tries.
func (w *WatchPolicy) MaxRetryDelay(now time.Time, usual time.Duration) time.Duration {
	if w.chosen || now.Sub(w.spoke) > watcherSilence {
		return usual
	}
	return max(usual*time.Duration(w.size-watchersPerDomain)/standIns, usual)
}

// IsWatcher reports whether the node follows the store for its failure domain.
func (w *WatchPolicy) IsWatcher() bool { return w.chosen }

// Children returns the nodes of the failure domain that this one tells of news
// at once. Together they form a tree with the watchers at its top, so that no
// link carries a large configuration more than a few times.
func (w *WatchPolicy) Children() []model.NodeAddr { return w.children }

// ShouldWatch reports whether the node follows the store now.
func (w *WatchPolicy) ShouldWatch(now time.Time) bool {
	return w.chosen || now.Sub(w.heard) > watcherSilence
}
