package roster

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniafall/policy/model"
)

const (
	// watchersPerDomain is the number of nodes of a failure domain that watch the
	// store for the others. More than one, because one may be cut off or die.
	watchersPerDomain = 2
	// treeFanOut is the number of nodes to which one node forwards changes.
	treeFanOut = 4
	// watcherTimeout is the time without an answer of the store to the watchers after
	// which a node watches the store itself. Watchers send a message after each answer.
	watcherTimeout = 1600 * time.Millisecond
	// fallbackDelayStep is how much longer a fallback watcher waits than the one
	// ranked before it: a listing of the store takes some 10 ms. maxFallbackDelay
	// limits the delay, because operators' changes have to be known within 2 s.
	fallbackDelayStep = 15 * time.Millisecond
	maxFallbackDelay  = 300 * time.Millisecond
	// minFirstWatchDelay and maxFirstWatchDelay bound how long a node that starts and
	// knows no other leaves the first watch to those that start with it: they write
	// their entries within some 300 ms, and a watch ends with the first of these.
	minFirstWatchDelay = 300 * time.Millisecond
	maxFirstWatchDelay = 1500 * time.Millisecond
	// wideLinkMbps is the capacity of a link that halves the part that varies.
	wideLinkMbps = 50
	// maxFallbackRetriers is the number of nodes of a failure domain, besides the
	// watchers, that retry the store at the usual rate while none reaches it.
	maxFallbackRetriers = 4
)

// WatchPolicy decides whether a node watches the store itself. A few nodes of
// each failure domain, the watchers, do so for the others and forward changes to
// them, so that the number of store calls grows with the failure domains and not
// with the nodes. A node that receives no message from a watcher with an
// up-to-date view watches the store itself, as a fallback watcher: an isolated
// node costs store calls, but its data does not become stale. During an outage
// of the store the nodes of a failure domain share the retries, because the
// first that succeeds tells the others.
//
// The nodes with the widest links come first: a watcher receives each configuration
// whole from the store and sends the most, on a link that it shares with calls.
type WatchPolicy struct {
	self    candidate
	domain  model.Domain
	watcher bool
	// candidates are the nodes of the failure domain that are known.
	candidates map[model.NodeAddr]candidate
	// rank is this node's position in the order in which nodes become watchers,
	// domainSize the number of nodes in the failure domain.
	rank, domainSize int
	// watchers are the other nodes of the failure domain that are ranked first.
	watchers []model.NodeAddr
	// children are the nodes to which this node forwards changes.
	children []model.NodeAddr
	// lastWatcherContact is the latest time at which the store is known to have answered
	// a watcher.
	lastWatcherContact time.Time
	// lastNodeContact is when any node of the failure domain was last heard from.
	lastNodeContact time.Time
}

// candidate is a node as a possible watcher.
type candidate struct {
	node     model.NodeAddr
	linkMbps int
}

// compare orders the candidates of a failure domain. Nodes with equal links are ordered
// by a hash, so that neighboring addresses are not watchers together.
func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(other.linkMbps, c.linkMbps), cmp.Compare(xxhash.Sum64String(string(c.node)), xxhash.Sum64String(string(other.node))))
}

// NewWatchPolicy returns the policy of a node that knows no other nodes yet and
// watches the store itself. linkMbps is as in its Record.
func NewWatchPolicy(self model.NodeAddr, domain model.Domain, linkMbps int) *WatchPolicy {
	return &WatchPolicy{self: candidate{self, linkMbps}, domain: domain, watcher: true}
}

// SetMembers sets the other nodes. A node that was a watcher and now is none
// gives the watchers watcherTimeout to send a message.
func (w *WatchPolicy) SetMembers(now time.Time, records []Record) {
	own := []candidate{w.self}
	w.candidates = make(map[model.NodeAddr]candidate)
	for _, r := range records {
		if r.Domain == w.domain {
			c := candidate{r.Node, r.LinkMbps}
			own = append(own, c)
			w.candidates[r.Node] = c
		}
	}
	slices.SortFunc(own, candidate.compare)
	watcher := slices.Contains(own[:min(len(own), watchersPerDomain)], w.self)
	if w.watcher && !watcher {
		w.lastWatcherContact = now
	}
	w.watcher = watcher
	at := slices.Index(own, w.self)
	w.rank, w.domainSize = at, len(own)
	w.watchers = nil
	for _, c := range own[:min(len(own), watchersPerDomain)] {
		if c != w.self {
			w.watchers = append(w.watchers, c.node)
		}
	}
	w.children = nil
	for _, child := range own[min(treeFanOut*at+1, len(own)):min(treeFanOut*(at+1)+1, len(own))] {
		w.children = append(w.children, child.node)
	}
}

// Refresh records contact with a node that watches the store. Only the time at which the
// store answered that node counts: a watcher that is cut off from the store does not know
// for seconds that it is, and what it greets with becomes stale meanwhile.
func (w *WatchPolicy) Refresh(answeredAt time.Time, domain model.Domain) {
	if domain == w.domain && answeredAt.After(w.lastWatcherContact) {
		w.lastWatcherContact = answeredAt
	}
}

// YieldsTo reports whether this node leaves watching the store to the given
// node, which reaches it. Reaches reports whether this node reaches the store
// too; of two nodes that both do, the one ranked later yields.
func (w *WatchPolicy) YieldsTo(node model.NodeAddr, reaches bool) bool {
	other, ok := w.candidates[node]
	if !ok {
		other = candidate{node: node}
	}
	return !reaches || other.compare(w.self) < 0
}

// MarkNodeAlive records contact with any node.
func (w *WatchPolicy) MarkNodeAlive(now time.Time, domain model.Domain) {
	if domain == w.domain {
		w.lastNodeContact = now
	}
}

// IsFallback reports whether the node, when it watches the store, does so as a
// fallback for watchers that it has heard from before.
func (w *WatchPolicy) IsFallback() bool { return !w.watcher && !w.lastWatcherContact.IsZero() }

// FallbackDelay returns how long a fallback watcher waits for those ranked before
// it.
func (w *WatchPolicy) FallbackDelay() time.Duration {
	return min(time.Duration(max(w.rank-watchersPerDomain, 0))*fallbackDelayStep, maxFallbackDelay)
}

// FirstWatchDelay returns how long a node that has just listed the store leaves the first
// watch to others. When a whole fleet starts, nobody is in the store yet, and each node
// would watch until it knows the watchers; the nodes that are likely to be the watchers
// begin first and greet the others.
func (w *WatchPolicy) FirstWatchDelay() time.Duration {
	if len(w.candidates) > 0 {
		return 0
	}
	fraction := float64(xxhash.Sum64String(string(w.self.node))) / math.MaxUint64 / (1 + float64(w.self.linkMbps)/wideLinkMbps)
	return minFirstWatchDelay + time.Duration(fraction*float64(maxFirstWatchDelay-minFirstWatchDelay))
}

// MaxRetryDelay returns the upper bound of the delay between retries of a failed
// store call. usual is the bound for a node on its own; nodes in contact with
// others of their failure domain share the retries and get a longer one.
func (w *WatchPolicy) MaxRetryDelay(now time.Time, usual time.Duration) time.Duration {
	if w.watcher || now.Sub(w.lastNodeContact) > watcherTimeout {
		return usual
	}
	return max(usual*time.Duration(w.domainSize-watchersPerDomain)/maxFallbackRetriers, usual)
}

// Watchers returns the nodes among the records that are the watchers of their failure
// domains.
func Watchers(records []Record) []model.NodeAddr {
	domains := make(map[model.Domain][]candidate)
	for _, r := range records {
		domains[r.Domain] = append(domains[r.Domain], candidate{r.Node, r.LinkMbps})
	}
	var out []model.NodeAddr
	for _, nodes := range domains {
		slices.SortFunc(nodes, candidate.compare)
		for _, c := range nodes[:min(len(nodes), watchersPerDomain)] {
			out = append(out, c.node)
		}
	}
	return out
}

// IsWatcher reports whether the node is one of its failure domain's watchers.
func (w *WatchPolicy) IsWatcher() bool { return w.watcher }

// Watchers returns the failure domain's watchers other than this node.
func (w *WatchPolicy) Watchers() []model.NodeAddr { return w.watchers }

// WatchersElsewhere returns the watchers of all failure domains but one.
func WatchersElsewhere(records []Record, except model.Domain) []model.NodeAddr {
	byDomain := make(map[model.Domain][]candidate)
	for _, r := range records {
		if r.Domain != except {
			byDomain[r.Domain] = append(byDomain[r.Domain], candidate{r.Node, r.LinkMbps})
		}
	}
	var watchers []model.NodeAddr
	for _, candidates := range byDomain {
		slices.SortFunc(candidates, candidate.compare)
		for _, c := range candidates[:min(len(candidates), watchersPerDomain)] {
			watchers = append(watchers, c.node)
		}
	}
	return watchers
}

// MaxWatch returns the longest watch of the store: short for a node on whose answers the
// failure domain relies, and long for one that hears from a watcher ranked before it.
func (w *WatchPolicy) MaxWatch(now time.Time, short, long time.Duration) time.Duration {
	if w.rank > 0 && now.Sub(w.lastWatcherContact) < short {
		return long
	}
	return short
}

// DomainSize returns the number of nodes in the failure domain.
func (w *WatchPolicy) DomainSize() int { return w.domainSize }

// Children returns the nodes of the failure domain to which this node forwards
// changes at once. They form a tree with a watcher at its root, which limits how
// often any link carries a large configuration to a few times.
func (w *WatchPolicy) Children() []model.NodeAddr { return w.children }

// ShouldWatch reports whether the node watches the store now.
func (w *WatchPolicy) ShouldWatch(now time.Time) bool {
	return w.watcher || now.Sub(w.lastWatcherContact) > watcherTimeout
}
