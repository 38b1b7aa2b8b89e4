package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniafall/node/peer"
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
	// renewRetry is the pause after a failed call of the store.
	renewRetry = 500 * time.Millisecond
	// exchangePause is the time between exchanges with another node.
	exchangePause = time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 800 * time.Millisecond
	// pullPause is the least time between fetches of another node's records.
	pullPause = 300 * time.Millisecond
	// fleetSettle is the pause after a change of the fleet before the watch
	// goes on: nodes come in groups.
	fleetSettle = 400 * time.Millisecond
)

// greeting is what two nodes compare.
type greeting struct {
	From       roster.Record   `cbor:"1,keyasint"`
	Revision   model.Revision  `cbor:"2,keyasint"`
	Evacuation evacuation      `cbor:"3,keyasint"`
	Digest     uint64          `cbor:"4,keyasint"`
	Records    []roster.Record `cbor:"5,keyasint,omitempty"`
	// Notices are about requests that crash targets.
	Notices [][]byte `cbor:"6,keyasint,omitempty"`
	// Watching is true when the sender follows the store and reaches it.
	Watching bool `cbor:"7,keyasint,omitempty"`
	// Missing is true when the store lacks the receiver's entry.
	Missing bool `cbor:"8,keyasint,omitempty"`
}

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
	// pulling is true while records are fetched from another node.
	pulling bool
	pulled  time.Time
}

func newFleet(n *Node) *fleet {
	f := &fleet{node: n, roster: roster.New(n.self), poke: make(chan struct{}, 1), watchers: roster.NewWatchers(n.self, n.settings.Domain)}
	f.self = roster.Record{Node: n.self, Process: n.process, Domain: n.settings.Domain, Region: n.settings.Region, Service: n.settings.Service, Sequence: 1}
	f.follower = &follower{
		store: n.store, log: n.log, name: "fleet", prefix: nodePrefix, settle: fleetSettle, wait: fleetWait,
		needed: f.follows, all: f.listed, change: f.watched,
	}
	f.render()
	return f
}

// render prepares the entry for the store. Its state is left to direct
// contact, so that only a new target changes the entry.
func (f *fleet) render() {
	entry := f.self
	entry.State = model.TargetAbsent
	text, err := json.Marshal(entry)
	if err != nil {
		f.node.log.Error("node entry not encoded", "part", "fleet", "error", err.Error())
		return
	}
	f.stored = text
	poke(f.poke)
}

// follows reports whether this node follows the store itself.
func (f *fleet) follows() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watchers.Follow(time.Now())
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
	f.mu.Unlock()
	if !own {
		poke(f.poke)
	}
	f.place()
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

// ownEntry writes this node's entry again when it vanished or is not the
// newest, which a late write can bring about.
func (f *fleet) ownEntry(item Item) {
	f.mu.Lock()
	lost := item.Removed || !bytes.Equal(item.Value, f.stored)
	f.mu.Unlock()
	if lost {
		poke(f.poke)
	}
}

// check asks a node directly whose entry vanished, and tells it so.
func (f *fleet) check(node model.NodeAddr) {
	f.node.goDuty(func() {
		g := f.greeting()
		g.Missing = true
		f.exchange(node, g)
	})
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

func (f *fleet) key() string { return nodePrefix + string(f.node.self) }

// register keeps this node's entry in the store.
func (f *fleet) register(ctx context.Context) {
	var lease Lease
	written := []byte(nil)
	f.awaitTarget(ctx)
	for ctx.Err() == nil {
		f.mu.Lock()
		want := f.stored
		f.mu.Unlock()
		pause := renewPause
		var err error
		if lease == 0 {
			lease, err = f.node.store.Grant(ctx, leaseTime)
			written = nil
		}
		switch {
		case err != nil:
		case !bytes.Equal(written, want):
			var held bool
			if held, err = f.node.store.Write(ctx, f.key(), want, lease); err == nil && held {
				written = want
			} else if err == nil {
				lease, pause = 0, 0
			}
		default:
			var held bool
			if held, err = f.node.store.Renew(ctx, lease); err == nil && !held {
				f.node.log.Info("lease lapsed", "part", "fleet", "lease", uint64(lease))
				lease, pause = 0, 0
			}
		}
		if err != nil {
			pause = renewRetry
		}
		if f.pause(ctx, pause) && !f.verify(ctx, written) {
			written = nil
		}
	}
	if lease != 0 {
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), exchangeTimeout)
		defer cancel()
		if err := f.node.store.End(end, lease); err != nil {
			f.node.log.Info("lease not ended", "part", "fleet", "error", err.Error())
		}
	}
}

// verify reads the own entry, of which there was word that it is missing or
// old, and reports whether it is as written. The word may be from before the
// write, and a read costs less than a change that wakes all watchers.
func (f *fleet) verify(ctx context.Context, written []byte) bool {
	sleep(ctx, verifyPause)
	select {
	case <-f.poke: // answered by this look, too
	default:
	}
	items, _, err := f.node.store.List(ctx, f.key())
	if err != nil {
		return false
	}
	for _, item := range items {
		if item.Key == f.key() {
			return bytes.Equal(item.Value, written)
		}
	}
	return false
}

// awaitTarget waits a short time for the target to be known.
func (f *fleet) awaitTarget(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil && time.Since(began) < firstEntryPause {
		f.mu.Lock()
		known := f.self.Slots > 0
		f.mu.Unlock()
		if known {
			return
		}
		sleep(ctx, idlePause)
	}
}

// pause waits and reports whether the entry has to be written again.
func (f *fleet) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(jitter(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.poke:
		return true
	}
	return false
}

// converse keeps in touch with other nodes. A node that follows the store
// speaks to all nodes of its failure domain, which rely on it, and to one in
// another; the others speak only when they hear no watcher.
func (f *fleet) converse(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, jitter(exchangePause))
		g := f.greeting()
		for _, node := range f.partners() {
			f.node.goDuty(func() { f.exchange(node, g) })
		}
		f.expire()
		f.place()
	}
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
		f.node.client.Forget(record.Node)
	}
}

// partners returns the nodes to speak to now.
func (f *fleet) partners() []model.NodeAddr {
	f.mu.Lock()
	defer f.mu.Unlock()
	var near, far []model.NodeAddr
	for _, r := range f.roster.Records() {
		if r.Domain == f.self.Domain {
			near = append(near, r.Node)
		} else {
			far = append(far, r.Node)
		}
	}
	switch {
	case f.watchers.Chosen():
	case !f.watchers.Follow(time.Now()):
		return nil
	case len(near) > 0:
		near = []model.NodeAddr{near[rand.IntN(len(near))]}
	}
	if len(far) > 0 {
		near = append(near, far[rand.IntN(len(far))])
	}
	return near
}

// spread tells the nodes of the own failure domain at once what is new, if
// they rely on this one.
func (f *fleet) spread() {
	f.mu.Lock()
	chosen := f.watchers.Chosen()
	f.mu.Unlock()
	if !chosen {
		return
	}
	g := f.greeting()
	for _, node := range f.partners() {
		f.node.goDuty(func() { f.exchange(node, g) })
	}
}

func (f *fleet) greeting() greeting {
	f.mu.Lock()
	defer f.mu.Unlock()
	return greeting{
		From: f.self, Revision: f.node.configuration.revision(), Evacuation: f.node.configuration.evacuated(),
		Digest: roster.Digest(f.roster.Records(), f.self), Notices: f.node.quarantine.notices(),
		Watching: f.follower.readable.Load(),
	}
}

// exchange compares notes with one node.
func (f *fleet) exchange(node model.NodeAddr, g greeting) {
	ctx, cancel := context.WithTimeout(f.node.ctx, exchangeTimeout)
	defer cancel()
	payload, err := cbor.Marshal(g)
	if err != nil {
		f.node.log.Error("greeting not encoded", "part", "fleet", "error", err.Error())
		return
	}
	x, err := f.node.client.Open(ctx, node, &peer.Request{Kind: peer.KindExchange, Inline: true, Body: payload, From: f.node.self})
	if err != nil {
		return // expected of a node that is gone; the roster drops it
	}
	defer x.Close()
	answer, err := x.Receive()
	if err != nil {
		return
	}
	f.greeted(answer.Body)
}

// greeted takes another node's greeting.
func (f *fleet) greeted(payload []byte) (g greeting, ok bool) {
	if err := cbor.Unmarshal(payload, &g); err != nil {
		f.node.log.Warn("greeting unreadable", "part", "fleet", "error", err.Error())
		return g, false
	}
	now := time.Now()
	f.mu.Lock()
	f.roster.Heard(now, g.From)
	if g.Watching {
		f.watchers.Heard(now, g.From.Domain)
	}
	if g.Watching && len(g.Records) > 0 && !f.follower.readable.Load() {
		f.roster.StoredAll(now, append(g.Records, g.From))
	} else {
		f.roster.Told(now, g.Records)
	}
	f.mu.Unlock()
	if g.Missing {
		poke(f.poke)
	}
	f.node.quarantine.heard(g.Notices)
	f.node.configuration.setEvacuation(g.Evacuation, string(g.From.Node))
	f.node.configuration.heard(g.Revision, g.From.Node)
	f.place()
	return g, true
}

// serve answers a greeting.
func (f *fleet) serve(stream streamWriter, payload []byte) {
	theirs, ok := f.greeted(payload)
	reply := f.greeting()
	if ok && theirs.Digest != reply.Digest && (reply.Watching || !theirs.Watching) {
		f.mu.Lock()
		reply.Records = f.roster.Records()
		f.mu.Unlock()
	}
	if ok && theirs.Watching && theirs.Digest != reply.Digest {
		f.pull(theirs.From.Node)
	}
	body, err := cbor.Marshal(reply)
	if err != nil || stream.Answer(&peer.Answer{Run: model.RunNo, Status: 200, Inline: true, Body: body}) != nil {
		stream.Fail()
	}
}

// pull fetches the records of a watcher, one at a time.
func (f *fleet) pull(from model.NodeAddr) {
	f.mu.Lock()
	busy := f.pulling || time.Since(f.pulled) < pullPause
	if !busy {
		f.pulling, f.pulled = true, time.Now()
	}
	f.mu.Unlock()
	if busy {
		return
	}
	f.node.goDuty(func() {
		f.exchange(from, f.greeting())
		f.mu.Lock()
		f.pulling = false
		f.mu.Unlock()
	})
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
	f.watchers.SetMembers(others)
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
