package freshness

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniafall/policy/model"
)

// The seed is fixed so that each run gives the same verdict; the flags
// -rapid.seed and -rapid.checks on the command line override it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const (
	modelStep  = 100 * time.Millisecond
	modelSteps = 300
)

type modelNode struct {
	judge  *Judge
	domain int
	paused time.Time
	// side is the part of the network that the node is in; store tells
	// whether it reaches the store, deaf whether it can fetch revisions.
	side  int
	store bool
	deaf  bool
	// jumped is the last revision that the node applied without the one
	// before it; such a node commits nothing until it is accepted.
	jumped model.Revision
}

// message is a beacon, or a store's answer when asked is set.
type message struct {
	at     time.Time
	to     int
	beacon Beacon
	born   time.Time
	asked  time.Time
	head   model.Revision
}

// commit is a change that passed MayCommit and is written later.
type commit struct {
	node int
	at   time.Time
	// base is the head that the write expects.
	base model.Revision
}

type world struct {
	random   *rand.Rand
	now      time.Time
	nodes    []*modelNode
	head     model.Revision
	messages []message
	commits  []commit
	written  map[model.Revision]int
	// sets holds the failure domains that each revision configures.
	sets     map[model.Revision][]model.Domain
	accepted map[model.Revision]time.Time
	// settled is the highest accepted revision.
	settled model.Revision
}

func newWorld(domains int, seed uint64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 0)), now: start, head: 1, written: map[model.Revision]int{},
		sets: map[model.Revision][]model.Domain{}, accepted: map[model.Revision]time.Time{},
	}
	names := make([]model.Domain, domains)
	for i := range names {
		names[i] = model.Domain(rune('a' + i))
	}
	w.sets[1] = names
	for i, name := range names {
		j := New(Options{Self: model.NodeAddr(name), Domain: name, Domains: names, Seed: seed})
		j.Applied(start, 1)
		w.nodes = append(w.nodes, &modelNode{judge: j, domain: i, store: true})
	}
	return w
}

func (w *world) chance(one int) bool { return w.random.IntN(one) == 0 }

func (w *world) delay() time.Duration {
	if w.chance(10) {
		return time.Duration(w.random.IntN(6000)) * time.Millisecond
	}
	return time.Duration(w.random.IntN(50)) * time.Millisecond
}

// disturb changes pauses, the network and the store.
func (w *world) disturb() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.random.IntN(12) {
	case 0:
		n.paused = w.now.Add(w.delay())
	case 1, 2:
		n.side = w.random.IntN(2)
	case 3:
		for _, each := range w.nodes {
			each.side = 0
		}
	case 4, 5:
		n.store = !n.store
	case 6:
		up := w.chance(2)
		for _, each := range w.nodes {
			each.store = up
		}
	case 7:
		n.deaf = !n.deaf
	case 8:
		if !n.paused.After(w.now) && n.judge.MayCommit(w.now) && n.jumped <= w.settled {
			w.commits = append(w.commits, commit{node: n.domain, at: w.now.Add(w.delay()), base: n.judge.applied})
		}
	}
}

func (w *world) step() {
	w.now = w.now.Add(modelStep)
	if w.chance(3) {
		w.disturb()
	}
	w.write()
	w.deliver()
	for i, n := range w.nodes {
		if !n.paused.After(w.now) {
			w.act(i, n)
		}
	}
}

// write lands the commits whose time has come; their node may be paused, since
// the request can be on its way.
func (w *world) write() {
	left := w.commits[:0]
	for _, c := range w.commits {
		if c.at.After(w.now) {
			left = append(left, c)
			continue
		}
		if w.nodes[c.node].store && w.head == c.base {
			w.head++
			w.sets[w.head] = w.nextSet()
			w.written[w.head] = c.node
			w.messages = append(w.messages, message{at: w.now.Add(w.delay()), to: c.node, asked: w.now, head: w.head})
		}
	}
	w.commits = left
}

// nextSet returns the failure domains of a new revision: mostly those of the
// one before, sometimes only one of them or all again.
func (w *world) nextSet() []model.Domain {
	last := w.sets[w.head-1]
	switch {
	case w.chance(2):
		return last
	case len(last) > 1:
		kept := w.random.IntN(len(last))
		return slices.Clone(last[kept : kept+1])
	}
	return w.sets[1]
}

func (w *world) deliver() {
	left := w.messages[:0]
	for _, m := range w.messages {
		n := w.nodes[m.to]
		if m.at.After(w.now) || n.paused.After(w.now) {
			left = append(left, m)
			continue
		}
		if m.asked.IsZero() {
			n.judge.Heard(w.now, m.beacon, m.born)
			continue
		}
		n.judge.Confirmed(w.now, w.now.Sub(m.asked), m.head)
	}
	w.messages = left
}

// act lets one node ask the store, speak, fetch what it lacks and accept what
// it committed.
func (w *world) act(i int, n *modelNode) {
	if n.store && w.chance(5) {
		w.messages = append(w.messages, message{at: w.now.Add(w.delay()), to: i, asked: w.now, head: w.head})
	}
	if b, due := n.judge.Beacon(w.now); due {
		for to, other := range w.nodes {
			if to != i && other.side == n.side {
				w.messages = append(w.messages, message{at: w.now.Add(w.delay()), to: to, beacon: b, born: w.now})
			}
		}
	}
	if !n.deaf && w.chance(4) && n.judge.head > n.judge.applied {
		if n.judge.head > n.judge.applied+1 {
			n.jumped = n.judge.head
		}
		n.judge.SetDomains(w.now, w.sets[n.judge.head])
		n.judge.Applied(w.now, n.judge.head)
	}
	for revision, node := range w.written {
		if _, done := w.accepted[revision]; !done && node == i && n.judge.Acknowledged(w.now, revision) {
			w.accepted[revision] = w.now
			w.settled = max(w.settled, revision)
		}
	}
}

// stale returns a node that is fresh without an accepted revision.
func (w *world) stale() (*modelNode, model.Revision) {
	for _, n := range w.nodes {
		if !n.judge.Standing(w.now).Fresh {
			continue
		}
		for revision, at := range w.accepted {
			if n.judge.applied < revision && w.now.Sub(at) > defaultBound {
				return n, revision
			}
		}
	}
	return nil, 0
}

// TestNoStaleNodeIsFresh drives committers and serving nodes through random
// cuts, pauses, outages, slow messages and writes that land late.
func TestNoStaleNodeIsFresh(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(1, 5).Draw(t, "domains"), rapid.Uint64().Draw(t, "seed"))
		for range modelSteps {
			w.step()
			if n, revision := w.stale(); n != nil {
				t.Fatalf("domain %d is fresh with revision %d, %v after %d was accepted", n.domain, n.judge.applied, w.now.Sub(w.accepted[revision]), revision)
			}
		}
		accepted += len(w.accepted)
	})
	if accepted < 100 {
		t.Fatalf("only %d changes were accepted: the model tests too little", accepted)
	}
	t.Logf("%d changes accepted", accepted)
}
