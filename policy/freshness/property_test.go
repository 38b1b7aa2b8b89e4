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

// The seed is fixed so that each run has the same result. The flags -rapid.seed
// and -rapid.checks on the command line override it.
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
	tracker *Tracker
	domain  int
	paused  time.Time
	// partition is the part of the network that the node is in.
	// reachesStore reports whether it reaches the store, and cannotFetch
	// whether it is unable to fetch revisions.
	partition    int
	reachesStore bool
	cannotFetch  bool
	// skippedTo is the last revision that the node applied without the one
	// before it. The node commits nothing until that revision is accepted.
	skippedTo model.Revision
}

// message is a beacon, or an answer of the store when asked is set.
type message struct {
	at      time.Time
	to      int
	beacon  Beacon
	created time.Time
	asked   time.Time
	head    model.Revision
}

// commit is a change that MayCommit allowed and that is written later.
type commit struct {
	node int
	at   time.Time
	// base is the head that the write expects.
	base model.Revision
}

// simulation runs trackers against a store, a network and random faults.
type simulation struct {
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
	// highestAccepted is the highest accepted revision.
	highestAccepted model.Revision
}

func newSimulation(domains int, seed uint64) *simulation {
	w := &simulation{
		random: rand.New(rand.NewPCG(seed, 0)), now: start, head: 1, written: map[model.Revision]int{},
		sets: map[model.Revision][]model.Domain{}, accepted: map[model.Revision]time.Time{},
	}
	names := make([]model.Domain, domains)
	for i := range names {
		names[i] = model.Domain(rune('a' + i))
	}
	w.sets[1] = names
	for i, name := range names {
		tracker := New(Options{Self: model.NodeAddr(name), Domain: name, Domains: names, Seed: seed})
		tracker.RecordApplied(start, 1)
		w.nodes = append(w.nodes, &modelNode{tracker: tracker, domain: i, reachesStore: true})
	}
	return w
}

func (w *simulation) chance(one int) bool { return w.random.IntN(one) == 0 }

func (w *simulation) delay() time.Duration {
	if w.chance(10) {
		return time.Duration(w.random.IntN(6000)) * time.Millisecond
	}
	return time.Duration(w.random.IntN(50)) * time.Millisecond
}

// injectFault changes pauses, the network and the store at random, and starts
// commits.
func (w *simulation) injectFault() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.random.IntN(12) {
	case 0:
		n.paused = w.now.Add(w.delay())
	case 1, 2:
		n.partition = w.random.IntN(2)
	case 3:
		for _, each := range w.nodes {
			each.partition = 0
		}
	case 4, 5:
		n.reachesStore = !n.reachesStore
	case 6:
		up := w.chance(2)
		for _, each := range w.nodes {
			each.reachesStore = up
		}
	case 7:
		n.cannotFetch = !n.cannotFetch
	case 8:
		if !n.paused.After(w.now) && n.tracker.MayCommit(w.now) && n.skippedTo <= w.highestAccepted {
			w.commits = append(w.commits, commit{node: n.domain, at: w.now.Add(w.delay()), base: n.tracker.applied})
		}
	}
}

func (w *simulation) step() {
	w.now = w.now.Add(modelStep)
	if w.chance(3) {
		w.injectFault()
	}
	w.applyWrites()
	w.deliver()
	for i, n := range w.nodes {
		if !n.paused.After(w.now) {
			w.runNode(i, n)
		}
	}
}

// applyWrites writes the commits that are due. Their node may be paused, since
// the request may already be in transit.
func (w *simulation) applyWrites() {
	left := w.commits[:0]
	for _, c := range w.commits {
		if c.at.After(w.now) {
			left = append(left, c)
			continue
		}
		if w.nodes[c.node].reachesStore && w.head == c.base {
			w.head++
			w.sets[w.head] = w.nextSet()
			w.written[w.head] = c.node
			w.messages = append(w.messages, message{at: w.now.Add(w.delay()), to: c.node, asked: w.now, head: w.head})
		}
	}
	w.commits = left
}

// nextSet returns the failure domains of a new revision: usually those of the
// previous one, sometimes only one of them or all again.
func (w *simulation) nextSet() []model.Domain {
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

func (w *simulation) deliver() {
	left := w.messages[:0]
	for _, m := range w.messages {
		n := w.nodes[m.to]
		if m.at.After(w.now) || n.paused.After(w.now) {
			left = append(left, m)
			continue
		}
		if m.asked.IsZero() {
			n.tracker.RecordBeacon(w.now, m.beacon, m.created)
			continue
		}
		n.tracker.RecordConfirmation(w.now, w.now.Sub(m.asked), m.head)
	}
	w.messages = left
}

// runNode lets one node ask the store, send a beacon, fetch a revision that it
// lacks and accept the changes that it committed.
func (w *simulation) runNode(i int, n *modelNode) {
	if n.reachesStore && w.chance(5) {
		w.messages = append(w.messages, message{at: w.now.Add(w.delay()), to: i, asked: w.now, head: w.head})
	}
	if b, due := n.tracker.Beacon(w.now); due {
		for to, other := range w.nodes {
			if to != i && other.partition == n.partition {
				w.messages = append(w.messages, message{at: w.now.Add(w.delay()), to: to, beacon: b, created: w.now})
			}
		}
	}
	if !n.cannotFetch && w.chance(4) && n.tracker.head > n.tracker.applied {
		if n.tracker.head > n.tracker.applied+1 {
			n.skippedTo = n.tracker.head
		}
		n.tracker.SetDomains(w.now, w.sets[n.tracker.head])
		n.tracker.RecordApplied(w.now, n.tracker.head)
	}
	for revision, node := range w.written {
		if _, done := w.accepted[revision]; !done && node == i && n.tracker.Acknowledged(w.now, revision) {
			w.accepted[revision] = w.now
			w.highestAccepted = max(w.highestAccepted, revision)
		}
	}
}

// staleFreshNode returns a node that is fresh more than the bound after the
// acceptance of a revision that it does not apply.
func (w *simulation) staleFreshNode() (*modelNode, model.Revision) {
	for _, n := range w.nodes {
		if !n.tracker.Status(w.now).Fresh {
			continue
		}
		for revision, at := range w.accepted {
			if n.tracker.applied < revision && w.now.Sub(at) > defaultBound {
				return n, revision
			}
		}
	}
	return nil, 0
}

// TestNoStaleNodeIsFresh guards against a fresh node that lacks an accepted
// revision, under random partitions, pauses, store outages, delayed messages
// and delayed writes.
func TestNoStaleNodeIsFresh(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.IntRange(1, 5).Draw(t, "domains"), rapid.Uint64().Draw(t, "seed"))
		for range modelSteps {
			w.step()
			if n, revision := w.staleFreshNode(); n != nil {
				t.Fatalf("domain %d is fresh with revision %d, %v after %d was accepted", n.domain, n.tracker.applied, w.now.Sub(w.accepted[revision]), revision)
			}
		}
		accepted += len(w.accepted)
	})
	if accepted < 100 {
		t.Fatalf("only %d changes were accepted, want at least 100 for a meaningful test", accepted)
	}
	t.Logf("%d changes accepted", accepted)
}
