package sidecar

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"zinniafall/policy/distribution"
	"zinniafall/policy/model"
	"zinniafall/policy/placement"
	"zinniafall/policy/roster"
)

const (
	// nodePrefix is the prefix of the nodes' entries in the store.
	nodePrefix = "zinniafall/nodes/"
	// leaseTTL is how long an entry outlives its node.
	leaseTTL = 9 * time.Second
	// renewInterval is the time between lease renewals: two may be lost before
	// the lease expires.
	renewInterval = 3 * time.Second
	// verifyDelay is the minimum time between reads of this node's own entry.
	verifyDelay = 300 * time.Millisecond
	// maxTargetWait bounds how long a new node waits for its target before it
	// writes its entry, so that it writes the entry once only.
	maxTargetWait = 2 * time.Second
	// minRenewBackoff is the first delay after a failed call of the store. It
	// doubles up to renewInterval: nodes that reach each other directly do not
	// need the entry.
	minRenewBackoff = 500 * time.Millisecond
	// exchangeInterval is the time between exchanges with other nodes.
	exchangeInterval = time.Second
	// changeGreetingDelay is the time from a change of the configuration to the next
	// exchange of a watcher. Most nodes have the configuration by then.
	changeGreetingDelay = 300 * time.Millisecond
	// exchangeTimeout bounds one exchange. The list of 2,200 nodes takes 155 KB, an
	// eighth of a second of a link of 10 Mbit/s that calls share. A node that cannot be
	// reached is noticed sooner, when no connection can be opened.
	exchangeTimeout = 3 * time.Second
	// leaseEndTimeout bounds the end of the lease when a node stops, within stopMargin.
	leaseEndTimeout = 300 * time.Millisecond
	// minPullInterval is the minimum time between requests for all records of
	// another node: recent changes come with each greeting.
	minPullInterval = 2500 * time.Millisecond
	// maxGreetedAtStart bounds the nodes that a starting node asks for what is newer
	// than in the store.
	maxGreetedAtStart = 8
	// recentAge is the age up to which a changed record is included in a
	// greeting, and maxRecent bounds the number of such records.
	recentAge = 2500 * time.Millisecond
	maxRecent = 64
	// maxUnreadable bounds the entries that are remembered as unreadable.
	maxUnreadable = 64
	// fleetWatchDelay is the pause after a change of the fleet before the watch
	// continues: nodes start and stop in groups.
	fleetWatchDelay = 800 * time.Millisecond
)

// fleet tracks the other nodes.
type fleet struct {
	node *Node

	mu     sync.Mutex
	roster *roster.Roster
	self   roster.Record
	// ownEntry is the encoded entry of this node that the store should have.
	ownEntry    []byte
	entryNotice chan struct{}
	// wholeKnown is set once another node has sent all records that it has.
	wholeKnown bool

	follower *follower
	watchers *roster.WatchPolicy
	// listedEra is the era of the last list, if there was one. Only the follower accesses
	// it.
	listedEra uint64
	// registrationFailing is true while the registration cannot reach the
	// store. Only the register goroutine accesses it.
	registrationFailing bool
	// pulling is true while records are requested from another node.
	pulling  bool
	pulledAt time.Time
	// unreadable holds the revisions of the entries that are not those of nodes, by key.
	unreadable map[string]uint64
	// changed signals exchangeLoop that a configuration was put in force.
	changed chan struct{}
	// answered signals exchangeLoop that the store has shown no change.
	answered chan struct{}
}

func newFleet(n *Node) *fleet {
	f := &fleet{node: n, roster: roster.New(n.self), entryNotice: make(chan struct{}, 1), unreadable: make(map[string]uint64), changed: make(chan struct{}, 1), answered: make(chan struct{}, 1), watchers: roster.NewWatchPolicy(n.self, n.settings.Domain, int(n.settings.LinkMbps))}
	f.self = roster.Record{Node: n.self, Process: n.process, Domain: n.settings.Domain, Region: n.settings.Region, Service: n.settings.Service, Sequence: 1, LinkMbps: int(n.settings.LinkMbps)}
	f.follower = &follower{
		store: n.store, log: n.log, name: "fleet", prefix: nodePrefix, watchDelay: fleetWatchDelay, watchTimeout: fleetWatchTimeout,
		needed: f.followsStore, standInDelay: f.standInDelay, retryDelayLimit: f.retryDelayLimit, firstWatchDelay: f.firstWatchDelay, listed: make(chan struct{}), onList: f.listed, onChange: f.applyChanges,
	}
	f.renderEntry()
	return f
}

// followsStore reports whether this node follows the store itself.
func (f *fleet) followsStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watchers.ShouldWatch(time.Now())
}

// isWatcher reports whether this node watches the store for its failure domain.
func (f *fleet) isWatcher() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watchers.IsWatcher()
}

// maxWatch returns the longest watch of the operators' keys.
func (f *fleet) maxWatch(short, long time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watchers.MaxWatch(time.Now(), short, long)
}

// firstWatchDelay returns how long a node that starts leaves watching the store to
// others.
func (f *fleet) firstWatchDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watchers.FirstWatchDelay()
}

// standInDelay returns how long this node leaves the store to other nodes that
// stand in for the watchers.
func (f *fleet) standInDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.watchers.IsFallback() {
		return 0
	}
	return f.watchers.FallbackDelay()
}

// retryDelayLimit returns the longest delay after a failed call of the store.
func (f *fleet) retryDelayLimit() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watchers.MaxRetryDelay(time.Now(), maxRetryDelay)
}

// notify sends a notification unless one is pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// setOwnTarget updates the record of this node's own target.
func (f *fleet) setOwnTarget(service model.Service, slots int, state model.TargetState, version string) {
	f.mu.Lock()
	entryChanged := f.self.Service != service || f.self.Slots != slots
	// A version alone is not worth a write: nodes learn it from greetings.
	changed := entryChanged || f.self.State != state || f.self.Version != version
	if changed {
		f.self.Sequence++
		f.self.Service, f.self.Slots, f.self.State, f.self.Version = service, slots, state, version
	}
	if entryChanged {
		f.renderEntry()
	}
	f.mu.Unlock()
	if changed {
		f.updatePlacement()
	}
}

// listed applies a list of all nodes' entries. It contacts the nodes whose entries came
// back from a copy and those of which the store lacks them.
func (f *fleet) listed(_ time.Time, items []Item, at Position) {
	items = f.node.proofs.readMark(f.applyDepartures(items), at, true)
	var records []roster.Record
	hasOwn := false
	for _, item := range items {
		hasOwn = hasOwn || item.Key == f.entryKey()
		if record, ok := f.decodeEntry(item); ok {
			records = append(records, record)
		}
	}
	var suspects []model.NodeAddr
	f.mu.Lock()
	if f.isListed() && f.listedEra != at.Era {
		suspects = f.roster.ReplaceRestored(time.Now(), records)
	} else {
		f.roster.ReplaceStored(time.Now(), records)
	}
	greets := f.watchers.IsFallback() || len(f.roster.Unlisted()) > 0
	f.mu.Unlock()
	f.listedEra = at.Era
	for _, node := range suspects {
		f.contactVanished(node)
	}
	if !hasOwn {
		notify(f.entryNotice)
	}
	f.updatePlacement()
	if !f.isListed() {
		f.greetWatchers()
	}
	if greets {
		// The greeting states that this node reads the store, and whose entries it lacks.
		f.greetPartners()
	}
}

// isOfPredecessor reports whether a key of the store is the entry of an earlier process of this
// node.
func (f *fleet) isOfPredecessor(item Item) bool {
	var record roster.Record
	return item.Key == f.entryKey() && json.Unmarshal(item.Value, &record) == nil && record.Process != f.node.process
}

// greetWatchers exchanges greetings with the watchers of this failure domain, if they are
// other nodes: they learn of this node before its entry is written, and it learns that they
// follow the store.
func (f *fleet) greetWatchers() {
	f.mu.Lock()
	var watchers []model.NodeAddr
	if !f.watchers.IsWatcher() {
		watchers = f.watchers.Watchers()
	}
	f.mu.Unlock()
	g := f.greeting()
	for _, node := range watchers {
		f.node.goBackground(func() { f.exchange(node, g) })
	}
}

// applyChanges applies changes of the nodes' entries. It contacts each node whose
// entry was removed, because the node may still be running.
func (f *fleet) applyChanges(_ time.Time, items []Item, at Position) {
	items = f.node.proofs.readMark(f.applyDepartures(items), at, false)
	now := time.Now()
	f.mu.Lock()
	alone := len(f.roster.Records()) == 0
	f.mu.Unlock()
	for _, item := range items {
		if item.Key == f.entryKey() {
			f.checkOwnEntry(item)
			continue
		}
		record, ok := f.decodeEntry(item)
		f.mu.Lock()
		switch {
		case item.Removed && len(item.Key) > len(nodePrefix):
			f.roster.DeleteStored(model.NodeAddr(item.Key[len(nodePrefix):]))
		case ok:
			f.roster.PutStored(now, record)
		}
		f.mu.Unlock()
		if item.Removed {
			f.contactVanished(model.NodeAddr(item.Key[len(nodePrefix):]))
		}
	}
	f.updatePlacement()
	if alone {
		f.greetPartners() // so that nodes that start with it need not follow the store
	}
}

// decodeEntry decodes a node's entry. It reports false if the entry was removed
// or is invalid.
func (f *fleet) decodeEntry(item Item) (roster.Record, bool) {
	var record roster.Record
	if item.Removed {
		return record, false
	}
	err := json.Unmarshal(item.Value, &record)
	if err != nil || !record.Valid() || string(record.Node) != item.Key[len(nodePrefix):] {
		f.logUnreadable(item)
		return record, false
	}
	return record, true
}

// logUnreadable logs an entry that is not one of a node, once for each time it is written.
func (f *fleet) logUnreadable(item Item) {
	f.mu.Lock()
	logged := f.unreadable[item.Key] == item.Revision
	if len(f.unreadable) >= maxUnreadable {
		clear(f.unreadable)
	}
	f.unreadable[item.Key] = item.Revision
	f.mu.Unlock()
	if !logged {
		f.node.log.Warn("node entry unreadable", "part", "fleet", "key", item.Key, "store_revision", item.Revision)
	}
}

// dropExpired drops the nodes that are gone.
func (f *fleet) dropExpired() {
	f.mu.Lock()
	now := time.Now()
	readable := f.follower.readable.Load() || !f.watchers.ShouldWatch(now)
	gone := f.roster.Expire(now, readable)
	f.mu.Unlock()
	for _, record := range gone {
		f.node.log.Info("node dropped", "part", "fleet", "peer", record.Node, "service", record.Service, "store_readable", readable)
		f.node.client.CloseIdleTo(record.Node)
	}
}

// isKnown reports whether this node has had a list of all nodes since its start, from the
// store or another node.
func (f *fleet) isKnown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wholeKnown || f.isListed()
}

// peersUnknown reports whether the node has not discovered yet which other
// nodes exist.
func (f *fleet) peersUnknown() bool { return f.size() == 1 && !f.follower.readable.Load() }

// targetCount returns the number of nodes with a target of the service.
func (f *fleet) targetCount(service model.Service) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	if f.self.Service == service {
		count++
	}
	for _, r := range f.roster.Records() {
		if r.Service == service {
			count++
		}
	}
	return count
}

// inOwnDomain reports whether a node is known to be in this node's failure domain.
func (f *fleet) inOwnDomain(node model.NodeAddr) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	domain, ok := f.roster.DomainOf(node)
	return ok && domain == f.self.Domain
}

// domainSize returns the number of nodes in this node's failure domain, and whether this node
// watches the store for them.
func (f *fleet) domainSize() (nodes int, watches bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watchers.DomainSize(), f.watchers.ShouldWatch(time.Now())
}

// recordSpread records that a new configuration has begun to spread. Watchers greet later than
// usual then: they decode it first.
func (f *fleet) recordSpread(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchers.Refresh(now.Add(-distribution.MaxReportDelay), f.self.Domain)
}

// recordAlive records direct contact with a node.
func (f *fleet) recordAlive(node model.NodeAddr) {
	f.mu.Lock()
	f.roster.MarkAlive(time.Now(), node)
	f.mu.Unlock()
}

// size returns the number of nodes, including this one.
func (f *fleet) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.roster.Records()) + 1
}

// updatePlacement gives the entry the targets on which calls may be placed.
func (f *fleet) updatePlacement() {
	f.mu.Lock()
	changed := f.roster.TakeChanged()
	others := f.roster.Records()
	f.watchers.SetMembers(time.Now(), others)
	records := append(others, f.self)
	f.mu.Unlock()
	evac := f.node.configuration.currentEvacuation()
	f.node.entry.setTargets(records, evac, f.node.rollouts.takePlacementChanged() || changed)
	if changed {
		f.node.quotas.membersChanged.Store(true)
	}
	f.node.quotas.begin()
}

// placementTarget converts a record to a placement target.
func placementTarget(r roster.Record) placement.Target {
	state := r.State
	if state == model.TargetAbsent {
		// The entry in the store does not contain the state; the owner reports
		// it.
		state = model.TargetWarm
	}
	return placement.Target{Node: r.Node, Domain: r.Domain, Region: r.Region, Slots: max(r.Slots, 1), State: state}
}

// jitter varies a delay by a quarter in both directions so that nodes do not
// act at the same time.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d*3/4 + rand.N(d/2)
}
