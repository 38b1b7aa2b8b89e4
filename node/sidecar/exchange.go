package sidecar

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniafall/node/peer"
	"zinniafall/policy/model"
	"zinniafall/policy/roster"
)

// greeting is what two nodes compare.
type greeting struct {
	From       roster.Record  `cbor:"1,keyasint"`
	Revision   model.Revision `cbor:"2,keyasint"`
	Evacuation evacuation     `cbor:"3,keyasint"`
	Digest     uint64         `cbor:"4,keyasint"`
	// Records are all that the sender knows when Whole is set, otherwise those
	// that changed lately.
	Records []roster.Record `cbor:"5,keyasint,omitempty"`
	Whole   bool            `cbor:"9,keyasint,omitempty"`
	// Notices are about requests that crash targets.
	Notices [][]byte `cbor:"6,keyasint,omitempty"`
	// Watching is true when the sender follows the store and reaches it.
	Watching bool `cbor:"7,keyasint,omitempty"`
	// Missing is true when the store lacks the receiver's entry.
	Missing bool `cbor:"8,keyasint,omitempty"`
}

// check asks a node directly whose entry vanished, and tells it so.
func (f *fleet) check(node model.NodeAddr) {
	f.node.goDuty(func() {
		g := f.greeting()
		g.Missing = true
		f.exchange(node, g)
	})
}

// converse keeps in touch with other nodes. A watcher, and a node that follows
// the store in place of one, speaks to all nodes of its failure domain, which
// rely on it, and to one in another; the others speak only when they hear no
// watcher.
func (f *fleet) converse(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, jitter(exchangePause))
		f.greet()
		f.expire()
		f.place()
	}
}

// greet speaks to the partners now.
func (f *fleet) greet() {
	g := f.greeting()
	for _, node := range f.partners() {
		f.node.goDuty(func() { f.exchange(node, g) })
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
	case f.watchers.IsWatcher(), f.watchers.IsFallback() && f.follower.readable.Load():
	case !f.watchers.ShouldWatch(time.Now()):
		return nil
	case len(near) > 0:
		near = []model.NodeAddr{near[rand.IntN(len(near))]}
	}
	if len(far) > 0 {
		near = append(near, far[rand.IntN(len(far))])
	}
	return near
}

// spread tells the nodes below this one in the failure domain's tree at once
// what is new. The watchers' next greeting reaches those that it misses.
func (f *fleet) spread() {
	f.mu.Lock()
	children := f.watchers.Children()
	f.mu.Unlock()
	g := f.greeting()
	for _, node := range children {
		f.node.goDuty(func() { f.exchange(node, g) })
	}
}

func (f *fleet) greeting() greeting {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var recent []roster.Record
	if f.follower.readable.Load() {
		recent = f.roster.ChangedSince(now.Add(-recentTime), maxRecent)
	}
	return greeting{
		Records: recent,
		From:    f.self, Revision: f.node.configuration.revision(), Evacuation: f.node.configuration.evacuated(),
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
		return // the same; a node that lives is asked again within seconds
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
	f.roster.Refresh(now, g.From)
	f.watchers.MarkNodeAlive(now, g.From.Domain)
	if g.Watching && f.watchers.YieldsTo(g.From.Node, f.follower.readable.Load()) {
		f.watchers.Refresh(now, g.From.Domain)
	}
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
		reply.Records, reply.Whole = f.roster.Records(), true
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
