package quarantine

import (
	"testing"

	"pgregory.net/rapid"

	"zinniafall/policy/model"
)

const nodes = 5

// node is a node and the target beside it.
type node struct {
	process  model.ProcessID
	epoch    uint64
	list     *List
	gate     SuspectSlot
	inFlight []flight
	inbox    []Notice
}

// flight is a call at a target.
type flight struct {
	f     Fingerprint
	entry int
	gated bool
}

// fleet sends poison and innocent requests through random nodes.
type fleet struct {
	t     *rapid.T
	nodes [nodes]*node
	// sent and lost count the copies in flight and the targets lost of each
	// poison request.
	sent, lost map[Fingerprint]int
	// crashes are those that a request saw and was not cleared of.
	crashes map[Fingerprint]map[CrashID]bool
	started byte
	// copies is how many copies of one poison request may be in flight.
	copies int
	// pairs keeps each request to its first two owners.
	pairs bool
}

var poisons = []Fingerprint{poison, named("/poison/2")}

var innocents = []Fingerprint{innocent, named("/innocent/2"), named("/innocent/3")}

func isPoison(f Fingerprint) bool { return f == poisons[0] || f == poisons[1] }

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, sent: make(map[Fingerprint]int), lost: make(map[Fingerprint]int), crashes: make(map[Fingerprint]map[CrashID]bool), copies: 1}
	for _, r := range append(poisons, innocents...) {
		f.crashes[r] = make(map[CrashID]bool)
	}
	for n := range f.nodes {
		f.nodes[n] = f.boot()
	}
	return f
}

func (f *fleet) boot() *node {
	f.started++
	return &node{process: model.ProcessID{f.started}, list: New(Options{})}
}

func (f *fleet) any(name string) int { return rapid.IntRange(0, nodes-1).Draw(f.t, name) }

// flood puts a notice into the inbox of all nodes but its maker.
func (f *fleet) flood(from int, n Notice) {
	for to, other := range f.nodes {
		if to != from {
			other.inbox = append(other.inbox, n)
		}
	}
}

// deliver applies what waits in an inbox, from its end, and some of it twice.
func (f *fleet) deliver(n *node) {
	for k := len(n.inbox) - 1; k >= 0; k-- {
		n.list.Apply(start, n.inbox[k])
		if rapid.Bool().Draw(f.t, "twice") {
			n.list.Apply(start, n.inbox[k])
		}
	}
	n.inbox = nil
}

// send passes a request through a random entry that has heard the notices.
func (f *fleet) send(r Fingerprint) {
	if isPoison(r) && f.sent[r] >= f.copies {
		f.t.Skip("in flight")
	}
	entry := f.any("entry")
	if f.copies == 1 {
		f.deliver(f.nodes[entry])
	}
	owner, standing := f.any("owner"), f.nodes[entry].list.Check(start, r)
	ranked := f.ranked(r)
	switch {
	case standing == Quarantined:
		return
	case standing == Suspect:
		owner = ranked[0]
	case f.pairs:
		owner = ranked[owner%2]
	}
	for _, n := range f.nodes[entry].list.NoticesFor(start, r) {
		f.nodes[owner].list.Apply(start, n)
	}
	f.admit(r, entry, f.nodes[owner], standing)
}

func (f *fleet) admit(r Fingerprint, entry int, o *node, standing Status) {
	standing = max(standing, o.list.Check(start, r))
	if standing == Quarantined || standing == Suspect && !o.gate.TryAcquire(r) {
		return
	}
	o.inFlight = append(o.inFlight, flight{f: r, entry: entry, gated: standing == Suspect})
	f.sent[r]++
}

func (f *fleet) ranked(r Fingerprint) []int {
	index := make(map[model.ProcessID]int)
	var processes []model.ProcessID
	for n, x := range f.nodes {
		index[x.process] = n
		processes = append(processes, x.process)
	}
	var ranked []int
	for _, p := range RankOwners(r, processes) {
		ranked = append(ranked, index[p])
	}
	return ranked
}

// complete ends an innocent call well.
func (f *fleet) complete() {
	n := f.any("owner")
	o := f.nodes[n]
	if len(o.inFlight) == 0 || isPoison(o.inFlight[0].f) {
		f.t.Skip("none")
	}
	done := o.inFlight[0]
	o.inFlight = o.inFlight[1:]
	if done.gated {
		o.gate.Release(done.f)
	}
	f.sent[done.f]--
	if notice, news := o.list.RecordSuccess(start, done.f); news {
		for _, c := range notice.ClearedCrashes {
			delete(f.crashes[done.f], c)
		}
		f.flood(n, notice)
	}
}

// crash ends a target with all that is in flight there. The owner reports it,
// or, if the owner is gone too, each entry reports what it had sent there.
func (f *fleet) crash(n int, withOwner bool) {
	o := f.nodes[n]
	id := NewCrashID(o.process, o.epoch)
	var all []Fingerprint
	byEntry := make(map[int][]Fingerprint)
	for _, x := range o.inFlight {
		all = append(all, x.f)
		byEntry[x.entry] = append(byEntry[x.entry], x.f)
	}
	if withOwner && len(byEntry[n]) > 0 {
		f.t.Skip("what a node sent to its own target dies with it unseen")
	}
	for _, r := range all {
		f.sent[r]--
		if isPoison(r) && !f.crashes[r][id] {
			f.lost[r]++
		}
		if f.lost[r] > 2 {
			f.t.Fatalf("%v cost %d targets", r, f.lost[r])
		}
		f.crashes[r][id] = true
	}
	o.epoch, o.inFlight, o.gate = o.epoch+1, nil, SuspectSlot{}
	if !withOwner {
		f.flood(n, o.list.RecordCrash(start, id, all))
		return
	}
	f.nodes[n] = f.boot()
	f.nodes[n].inbox = append(f.nodes[(n+1)%nodes].list.Notices(start), f.nodes[(n+1)%nodes].inbox...)
	for entry := range nodes {
		if sent := byEntry[entry]; len(sent) > 0 {
			f.flood(entry, f.nodes[entry].list.RecordCrash(start, id, sent))
		}
	}
}

// runPoison crashes a target that a poison request is in flight at.
func (f *fleet) runPoison() {
	n := f.any("owner")
	for _, x := range f.nodes[n].inFlight {
		if isPoison(x.f) {
			f.crash(n, rapid.Bool().Draw(f.t, "with its owner"))
			return
		}
	}
	f.t.Skip("no poison")
}

// converge delivers everything: all nodes agree, and no innocent request is
// refused that was not in flight at two crashes.
func (f *fleet) converge() {
	for _, n := range f.nodes {
		f.deliver(n)
	}
	for _, r := range append(poisons, innocents...) {
		standing := f.nodes[0].list.Check(start, r)
		for _, n := range f.nodes {
			if got := n.list.Check(start, r); got != standing {
				f.t.Fatalf("%v is %v at one node and %v at another", r, standing, got)
			}
		}
		if standing == Quarantined && len(f.crashes[r]) < 2 {
			f.t.Fatalf("%v is quarantined after %d crashes", r, len(f.crashes[r]))
		}
	}
}

func (f *fleet) actions() map[string]func(*rapid.T) {
	send := func(t *rapid.T) { f.send(rapid.SampledFrom(append(poisons, innocents...)).Draw(t, "request")) }
	return map[string]func(*rapid.T){
		"send":               send,
		"send more":          send,
		"send still more":    send,
		"complete":           func(*rapid.T) { f.complete() },
		"run poison":         func(*rapid.T) { f.runPoison() },
		"target crashes":     func(t *rapid.T) { f.crash(f.any("owner"), rapid.Bool().Draw(t, "with its owner")) },
		"notices arrive":     func(*rapid.T) { f.deliver(f.nodes[f.any("node")]) },
		"all notices arrive": func(*rapid.T) { f.converge() },
	}
}

// Notices reach the next entry before the resend: two targets at most.
func TestTwoTargetsAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newFleet(t).actions()) })
}

// Copies in flight at once, and no notice arrives at all: two targets at most
// if each request keeps to its first two owners and targets stay the same.
func TestConcurrentCopiesOnTwoOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		f.copies, f.pairs = 100, true
		for range 30 {
			f.send(poison)
		}
		for n, o := range f.nodes {
			if len(o.inFlight) > 0 {
				f.crash(n, false)
			}
		}
	})
}
