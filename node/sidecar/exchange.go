package sidecar

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniafall/node/peer"
	"zinniafall/policy/model"
	"zinniafall/policy/roster"
)

// greeting is the state that two nodes exchange.
type greeting struct {
	From       roster.Record  `cbor:"1,keyasint"`
	Revision   model.Revision `cbor:"2,keyasint"`
	Evacuation evacuation     `cbor:"3,keyasint"`
	Digest     uint64         `cbor:"4,keyasint"`
	// Records holds all records that the sender has if Whole is set, otherwise
	// those that changed recently.
	Records []roster.Record `cbor:"5,keyasint,omitempty"`
	Whole   bool            `cbor:"9,keyasint,omitempty"`
	// Notices are encoded quarantine notices.
	Notices [][]byte `cbor:"6,keyasint,omitempty"`
	// Watching is true if the sender watches the store and can reach it.
	Watching bool `cbor:"7,keyasint,omitempty"`
	// Missing is true if the receiver's entry is missing in the store.
	Missing bool `cbor:"8,keyasint,omitempty"`
	// Era is the newest era of the store that the sender knows.
	Era uint64 `cbor:"10,keyasint,omitempty"`
	// Rollouts holds the encoded states of rollouts. It is decoded by itself, so that one
	// of another release that cannot be read does not spoil the greeting.
	Rollouts cbor.RawMessage `cbor:"11,keyasint,omitempty"`
	// StoreAge is how long ago the store answered the sender, if Watching is set. Earlier
	// releases do not state it.
	StoreAge time.Duration `cbor:"12,keyasint,omitempty"`
}

// maxStoreAge bounds the stated StoreAge, so that times computed from it do not overflow.
const maxStoreAge = time.Hour

// answeredAt returns when the store answered the sender, by the time at which the greeting
// arrived.
func (g *greeting) answeredAt(now time.Time) time.Time {
	return now.Add(-min(max(g.StoreAge, 0), maxStoreAge))
}

// contactVanished contacts a node whose entry vanished from the store, and
// reports to it that the entry is missing, so that it writes the entry again if it
// is still running.
func (f *fleet) contactVanished(node model.NodeAddr) {
	f.node.goBackground(func() {
		g := f.greeting()
		g.Missing = true
		f.exchange(node, g)
	})
}

// exchangeLoop periodically exchanges greetings with other nodes. A watcher, which
// follows the store for its failure domain (see roster.WatchPolicy), and a node
// that follows the store in place of one contact all nodes of the domain, which
// rely on it, and one node in another domain. Other nodes initiate exchanges only
// when they receive no greeting of a watcher, with one node in their own
// failure domain and one in another.
func (f *fleet) exchangeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		f.awaitNextExchange(ctx)
		f.greetPartners()
		f.dropExpired()
		f.updatePlacement()
	}
}

// awaitNextExchange waits until the next exchange is due.
func (f *fleet) awaitNextExchange(ctx context.Context) {
	timer := time.NewTimer(jitter(exchangeInterval))
	defer timer.Stop()
	select {
	case <-f.changed:
		sleep(ctx, changeGreetingDelay)
	case <-f.answered:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// greetAfterChange brings the next exchange forward if this node is a watcher. A change passes
// from node to node along with the configuration; where its transfers fail, the nodes behind
// would not hear of it.
func (f *fleet) greetAfterChange() {
	f.mu.Lock()
	watches := f.watchers.IsWatcher()
	f.mu.Unlock()
	if watches {
		notify(f.changed)
	}
}

// greetAfterAnswer brings the next exchange forward after the store has shown this node that
// nothing has changed: other nodes count its greeting from that answer on.
func (f *fleet) greetAfterAnswer() { notify(f.answered) }

// greetPartners sends a greeting to the nodes that exchangePartners returns. If this node
// follows the store, it tells them whether their entries are missing there.
func (f *fleet) greetPartners() {
	g := f.greeting()
	var unlisted []model.NodeAddr
	if g.Watching {
		f.mu.Lock()
		unlisted = f.roster.Unlisted()
		f.mu.Unlock()
	}
	for _, node := range f.exchangePartners() {
		g := g
		g.Missing = slices.Contains(unlisted, node)
		f.node.goBackground(func() { f.exchange(node, g) })
	}
}

// greetSome exchanges greetings with up to maxGreetedAtStart nodes, as soon as the fleet was
// listed, and waits for their answers until the context ends.
func (f *fleet) greetSome(ctx context.Context) {
	select {
	case <-f.follower.listed:
	case <-ctx.Done():
	}
	f.mu.Lock()
	records := f.roster.Records()
	f.mu.Unlock()
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	records = records[:min(len(records), maxGreetedAtStart)]
	answered := make(chan struct{}, len(records))
	g := f.greeting()
	for _, r := range records {
		f.node.goBackground(func() {
			f.exchange(r.Node, g)
			answered <- struct{}{}
		})
	}
	for range records {
		select {
		case <-answered:
		case <-ctx.Done():
			return
		}
	}
}

// exchangePartners returns the nodes to exchange greetings with now.
func (f *fleet) exchangePartners() []model.NodeAddr {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ownDomain, otherDomains []model.NodeAddr
	for _, r := range f.roster.Records() {
		if r.Domain == f.self.Domain {
			ownDomain = append(ownDomain, r.Node)
		} else {
			otherDomains = append(otherDomains, r.Node)
		}
	}
	switch {
	case f.watchers.IsWatcher(), f.watchers.IsFallback() && f.follower.readable.Load():
	case !f.watchers.ShouldWatch(time.Now()):
		return nil
	case len(ownDomain) > 0:
		ownDomain = []model.NodeAddr{ownDomain[rand.IntN(len(ownDomain))]}
	}
	if len(otherDomains) > 0 {
		ownDomain = append(ownDomain, otherDomains[rand.IntN(len(otherDomains))])
	}
	return ownDomain
}

// pushToChildren sends changes at once to this node's children in the tree of
// its failure domain. Nodes that this misses get them with the next greeting of
// a watcher.
func (f *fleet) pushToChildren() {
	f.mu.Lock()
	children := f.watchers.Children()
	f.mu.Unlock()
	g := f.greeting()
	for _, node := range children {
		f.node.goBackground(func() { f.exchange(node, g) })
	}
}

// greeting returns the state to send to another node.
func (f *fleet) greeting() greeting {
	era, _ := f.node.store.Era()
	rollouts := f.node.rollouts.greeted()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var recent []roster.Record
	if f.follower.readable.Load() {
		recent = f.roster.ChangedSince(now.Add(-recentAge), maxRecent)
	}
	return greeting{
		Records: recent,
		From:    f.self, Revision: f.node.configuration.revision(), Evacuation: f.node.configuration.currentEvacuation(),
		Digest: roster.Digest(f.roster.Records(), f.self), Notices: f.node.crashes.notices(),
		Watching: f.follower.readable.Load(), Era: era, Rollouts: rollouts, StoreAge: f.node.configuration.storeAge(now),
	}
}

// exchange sends a greeting to a node and applies the greeting that it answers
// with.
func (f *fleet) exchange(node model.NodeAddr, g greeting) {
	ctx, cancel := context.WithTimeout(f.node.ctx, exchangeTimeout)
	defer cancel()
	payload, err := cbor.Marshal(g)
	if err != nil {
		f.node.log.Error("greeting not encoded", "part", "fleet", "error", err.Error())
		return
	}
	hopExchange, err := f.node.client.Open(ctx, node, &peer.Request{Kind: peer.KindExchange, Inline: true, Body: payload, From: f.node.self})
	if err != nil {
		return // expected if the node is gone; the roster drops it
	}
	defer hopExchange.Close()
	answer, err := hopExchange.Receive()
	if err != nil {
		return // likewise; a live node is contacted again within seconds
	}
	f.applyGreeting(answer.Body)
}

// applyGreeting decodes and applies another node's greeting. ok is false if the
// greeting cannot be decoded.
func (f *fleet) applyGreeting(payload []byte) (g greeting, ok bool) {
	if err := cbor.Unmarshal(payload, &g); err != nil {
		f.node.log.Warn("greeting unreadable", "part", "fleet", "error", err.Error())
		return g, false
	}
	if !g.From.Valid() {
		f.node.log.Warn("greeting of a node without a valid record", "part", "fleet", "peer", g.From.Node)
		return g, false
	}
	g.Records = slices.DeleteFunc(g.Records, func(r roster.Record) bool { return !r.Valid() })
	f.node.store.LearnEra(g.Era)
	now := time.Now()
	f.mu.Lock()
	f.roster.Refresh(now, g.From)
	f.watchers.MarkNodeAlive(now, g.From.Domain)
	if g.Watching && f.watchers.YieldsTo(g.From.Node, f.follower.readable.Load()) {
		f.watchers.Refresh(g.answeredAt(now), g.From.Domain)
	}
	f.wholeKnown = f.wholeKnown || g.Whole
	switch following := f.follower.readable.Load(); {
	case g.Watching && g.Whole && !following:
		f.roster.ReplaceStored(now, append(g.Records, g.From))
	case g.Watching && !following:
		for _, record := range g.Records {
			f.roster.PutStored(now, record)
		}
	default:
		f.roster.PutIndirect(now, g.Records)
	}
	f.mu.Unlock()
	if g.Missing {
		notify(f.entryNotice)
	}
	f.node.crashes.recordReported(g.Notices)
	f.node.configuration.applyEvacuationOf(g.Evacuation, string(g.From.Node))
	f.node.configuration.recordReported(g.Revision, g.From.Node)
	if g.Watching {
		f.node.configuration.recordConfirmed(g.answeredAt(now), g.Revision)
	}
	f.node.rollouts.applyGreeted(g.Rollouts)
	f.updatePlacement()
	return g, true
}

// serve answers a greeting. If the digests differ, the answer holds all records,
// unless only the sender watches the store; those of a sender that watches it are
// pulled.
func (f *fleet) serve(stream streamWriter, payload []byte) {
	received, ok := f.applyGreeting(payload)
	reply := f.greeting()
	if ok && received.Digest != reply.Digest && (reply.Watching || !received.Watching) {
		f.mu.Lock()
		reply.Records, reply.Whole = f.roster.Records(), true
		f.mu.Unlock()
	}
	if ok && received.Watching && received.Digest != reply.Digest {
		f.pullRecords(received.From.Node)
	}
	body, err := cbor.Marshal(reply)
	if err != nil || stream.Answer(&peer.Answer{Run: model.RunNo, Status: 200, Inline: true, Body: body}) != nil {
		stream.Fail()
	}
}

// pullRecords requests all records of a watcher in the background. It does nothing
// while such a request runs or within minPullInterval of the last one's start.
func (f *fleet) pullRecords(from model.NodeAddr) {
	f.mu.Lock()
	skip := f.pulling || time.Since(f.pulledAt) < minPullInterval
	if !skip {
		f.pulling, f.pulledAt = true, time.Now()
	}
	f.mu.Unlock()
	if skip {
		return
	}
	f.node.goBackground(func() {
		f.exchange(from, f.greeting())
		f.mu.Lock()
		f.pulling = false
		f.mu.Unlock()
	})
}
