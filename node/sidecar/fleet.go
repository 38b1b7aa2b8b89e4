package sidecar

import (
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/placement"
	"zinniafall/policy/roster"
)

const (
	// nodePrefix is where nodes enter themselves in the store.
	nodePrefix = "zinniafall/nodes/"
	// leaseTime is the life of an entry whose node is gone.
	leaseTime = 9 * time.Second
	// renewPause is the time between renewals: two may be lost.
	renewPause = 3 * time.Second
	// verifyPause is the least time between looks at the own entry.
	verifyPause = 300 * time.Millisecond
	// firstEntryPause is how long a new node waits for its target before it
	// enters itself, so that it does so once.
	firstEntryPause = 2 * time.Second
	// renewRetry is the first pause after a failed call of the store. It doubles
	// up to renewPause: nodes that keep in touch don't need the entry.
	renewRetry = 500 * time.Millisecond
	// exchangePause is the time between exchanges with another node.
	exchangePause = time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 800 * time.Millisecond
	// pullPause is the least time between fetches of all records of another
	// node: what changed lately comes with each greeting.
	pullPause = 2500 * time.Millisecond
	// recentTime is the age up to which a changed record comes with a greeting,
	// and maxRecent the number of such records.
	recentTime = 2500 * time.Millisecond
	maxRecent  = 64
	// fleetSettle is the pause after a change of the fleet before the watch
	// goes on: nodes come in groups.
	fleetSettle = 800 * time.Millisecond
)

// fleet knows the other nodes.
type fleet struct {
	node *Node

	mu     sync.Mutex
	roster *roster.Roster
	self   roster.Record
	// stored is the text of this node's entry as it should be in the store.
	stored []byte
	poke   chan struct{}

	follower *follower
	watchers *roster.Watchers
	// unregistered is true while the registration cannot reach the store; only
	// its own duty reads it.
	unregistered bool
	// pulling is true while records are fetched from another node.
	pulling bool
	pulled  time.Time
}

func newFleet(n *Node) *fleet {
	f := &fleet{node: n, roster: roster.New(n.self), poke: make(chan struct{}, 1), watchers: roster.NewWatchers(n.self, n.settings.Domain)}
	f.self = roster.Record{Node: n.self, Process: n.process, Domain: n.settings.Domain, Region: n.settings.Region, Service: n.settings.Service, Sequence: 1}
	f.follower = &follower{
		store: n.store, log: n.log, name: "fleet", prefix: nodePrefix, settle: fleetSettle, wait: fleetWait,
		needed: f.follows, turn: f.turn, retryPause: f.retryPause, listed: make(chan struct{}), all: f.listed, change: f.watched,
	}
	f.render()
	return f
}

// follows reports whether this node follows the store itself.
func (f *fleet) follows() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watchers.Follow(time.Now())
}

// turn is how long this node leaves the store to others that stand in.
func (f *fleet) turn() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.watchers.StandsIn() {
		return 0
	}
	return f.watchers.Turn()
}

// retryPause is the longest wait after a failed call of the store.
func (f *fleet) retryPause() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watchers.RetryPause(time.Now(), longestPause)
}

// poke wakes a duty, unless it is awake.
func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// setSelf records a change of the own target.
func (f *fleet) setSelf(service model.Service, slots int, state model.TargetState) {
	f.mu.Lock()
	moved := f.self.Service != service || f.self.Slots != slots
	changed := moved || f.self.State != state
	if changed {
		f.self.Sequence++
		f.self.Service, f.self.Slots, f.self.State = service, slots, state
	}
	if moved {
		f.render()
	}
	f.mu.Unlock()
	if changed {
		f.place()
	}
}

func (f *fleet) listed(items []Item, _ uint64) {
	var records []roster.Record
	own := false
	for _, item := range items {
		own = own || item.Key == f.key()
		if record, ok := f.decode(item); ok {
			records = append(records, record)
		}
	}
	f.mu.Lock()
	f.roster.StoredAll(time.Now(), records)
	standsIn := f.watchers.StandsIn()
	f.mu.Unlock()
	if !own {
		poke(f.poke)
	}
	f.place()
	if standsIn {
		f.greet() // spares the others the same
	}
}

func (f *fleet) watched(items []Item, _ uint64) {
	now := time.Now()
	for _, item := range items {
		if item.Key == f.key() {
			f.ownEntry(item)
			continue
		}
		record, ok := f.decode(item)
		f.mu.Lock()
		switch {
		case item.Removed && len(item.Key) > len(nodePrefix):
			f.roster.Unstored(model.NodeAddr(item.Key[len(nodePrefix):]))
		case ok:
			f.roster.Stored(now, record)
		}
		f.mu.Unlock()
		if item.Removed {
			f.check(model.NodeAddr(item.Key[len(nodePrefix):]))
		}
	}
	f.place()
}

func (f *fleet) decode(item Item) (roster.Record, bool) {
	var record roster.Record
	if item.Removed {
		return record, false
	}
	err := json.Unmarshal(item.Value, &record)
	if err != nil || record.Node == "" || string(record.Node) != item.Key[len(nodePrefix):] {
		f.node.log.Warn("node entry unreadable", "part", "fleet", "key", item.Key, "store_revision", item.Revision)
		return record, false
	}
	return record, true
}

// expire drops the members that are gone.
func (f *fleet) expire() {
	f.mu.Lock()
	now := time.Now()
	readable := f.follower.readable.Load() || !f.watchers.Follow(now)
	gone := f.roster.Expire(now, readable)
	f.mu.Unlock()
	for _, record := range gone {
		f.node.log.Info("node dropped", "part", "fleet", "peer", record.Node, "service", record.Service, "store_readable", readable)
		f.node.client.CloseIdleTo(record.Node)
	}
}

// alone reports whether the node has not learned yet who else there is.
func (f *fleet) alone() bool { return f.size() == 1 && !f.follower.readable.Load() }

// targets returns the number of nodes with a target of the service.
func (f *fleet) targets(service model.Service) int {
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

// alive takes a sign of life of a node.
func (f *fleet) alive(node model.NodeAddr) {
	f.mu.Lock()
	f.roster.Alive(time.Now(), node)
	f.mu.Unlock()
}

// size returns the number of nodes, this one included.
func (f *fleet) size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.roster.Records()) + 1
}

// place gives the entry the targets that may get work.
func (f *fleet) place() {
	f.mu.Lock()
	changed := f.roster.Changed()
	others := f.roster.Records()
	f.watchers.SetMembers(time.Now(), others)
	records := append(others, f.self)
	f.mu.Unlock()
	evac := f.node.configuration.evacuated()
	f.node.entry.setTargets(records, evac, changed)
}

// targetOf describes a record to placement.
func targetOf(r roster.Record) placement.Target {
	state := r.State
	if state == model.TargetAbsent {
		// The store's entry does not tell the state; the owner does.
		state = model.TargetWarm
	}
	return placement.Target{Node: r.Node, Domain: r.Domain, Region: r.Region, Slots: max(r.Slots, 1), State: state}
}

// jitter spreads a pause so that nodes do not act together.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d*3/4 + rand.N(d/2)
}
