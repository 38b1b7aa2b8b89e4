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
	slot     SuspectSlot
	inFlight []flight
	inbox    []Notice
}

// flight is a call in flight at a target.
type flight struct {
	f        Fingerprint
	entry    int
	isolated bool
}

// fleet simulates nodes that carry poison and harmless requests.
type fleet struct {
	t     *rapid.T
	nodes [nodes]*node
	// sent and lost count, for each poison request, its copies in flight and
	// the targets that it crashed.
	sent, lost map[Fingerprint]int
	// crashes holds the crashes at which each request was in flight and of
	// which it was not cleared.
	crashes map[Fingerprint]map[CrashID]bool
	started byte
	// copies limits the copies of one poison request in flight.
	copies int
	// firstTwoOwners restricts each request to its first two owners.
	firstTwoOwners bool
}

var poisonRequests = []Fingerprint{poison, testFingerprint("/poison/2")}

var harmlessRequests = []Fingerprint{harmless, testFingerprint("/innocent/2"), testFingerprint("/innocent/3")}

func isPoison(f Fingerprint) bool { return f == poisonRequests[0] || f == poisonRequests[1] }

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, sent: make(map[Fingerprint]int), lost: make(map[Fingerprint]int), crashes: make(map[Fingerprint]map[CrashID]bool), copies: 1}
	for _, r := range append(poisonRequests, harmlessRequests...) {
		f.crashes[r] = make(map[CrashID]bool)
	}
	for n := range f.nodes {
		f.nodes[n] = f.startNode()
	}
	return f
}

func (f *fleet) startNode() *node {
	f.started++
	return &node{process: model.ProcessID{f.started}, list: New(Options{})}
}

func (f *fleet) drawNode(name string) int { return rapid.IntRange(0, nodes-1).Draw(f.t, name) }

// flood puts a notice into the inbox of every node except the sender.
func (f *fleet) flood(from int, n Notice) {
	for to, other := range f.nodes {
		if to != from {
			other.inbox = append(other.inbox, n)
		}
	}
}

// deliver applies the notices in an inbox, the latest first and some of them
// twice.
func (f *fleet) deliver(n *node) {
	for k := len(n.inbox) - 1; k >= 0; k-- {
		n.list.Apply(start, n.inbox[k])
		if rapid.Bool().Draw(f.t, "twice") {
			n.list.Apply(start, n.inbox[k])
		}
	}
	n.inbox = nil
}

// send sends a request through a random entry. If only one copy of a poison
// request may be in flight, the entry has received all notices before.
func (f *fleet) send(r Fingerprint) {
	if isPoison(r) && f.sent[r] >= f.copies {
		f.t.Skip("in flight")
	}
	entry := f.drawNode("entry")
	if f.copies == 1 {
		f.deliver(f.nodes[entry])
	}
	owner, status := f.drawNode("owner"), f.nodes[entry].list.Check(start, r)
	ranked := f.ranked(r)
	switch {
	case status == Quarantined:
		return
	case status == Suspect:
		owner = ranked[0]
	case f.firstTwoOwners:
		owner = ranked[owner%2]
	}
	for _, n := range f.nodes[entry].list.NoticesFor(start, r) {
		f.nodes[owner].list.Apply(start, n)
	}
	f.admit(r, entry, f.nodes[owner], status)
}

// admit starts a request at the owner's target unless the request is
// quarantined or must wait for another suspect.
func (f *fleet) admit(r Fingerprint, entry int, o *node, status Status) {
	status = max(status, o.list.Check(start, r))
	if status == Quarantined || status == Suspect && !o.slot.TryAcquire(r) {
		return
	}
	o.inFlight = append(o.inFlight, flight{f: r, entry: entry, isolated: status == Suspect})
	f.sent[r]++
}

// ranked returns the indexes of the nodes in the order of RankOwners.
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

// complete completes a harmless call successfully.
func (f *fleet) complete() {
	n := f.drawNode("owner")
	o := f.nodes[n]
	if len(o.inFlight) == 0 || isPoison(o.inFlight[0].f) {
		f.t.Skip("none")
	}
	done := o.inFlight[0]
	o.inFlight = o.inFlight[1:]
	if done.isolated {
		o.slot.Release(done.f)
	}
	f.sent[done.f]--
	if notice, cleared := o.list.RecordSuccess(start, done.f); cleared {
		for _, c := range notice.ClearedCrashes {
			delete(f.crashes[done.f], c)
		}
		f.flood(n, notice)
	}
}

// crash crashes a target with all requests in flight there. The owner reports
// the crash. If the owner crashes too, each entry reports the requests that it
// had sent there.
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
		f.t.Skip("no other node knows the requests that the crashed node sent to its own target")
	}
	for _, r := range all {
		f.sent[r]--
		if isPoison(r) && !f.crashes[r][id] {
			f.lost[r]++
		}
		if f.lost[r] > 2 {
			f.t.Fatalf("%v crashed %d targets", r, f.lost[r])
		}
		f.crashes[r][id] = true
	}
	o.epoch, o.inFlight, o.slot = o.epoch+1, nil, SuspectSlot{}
	if !withOwner {
		f.flood(n, o.list.RecordCrash(start, id, all))
		return
	}
	f.nodes[n] = f.startNode()
	f.nodes[n].inbox = append(f.nodes[(n+1)%nodes].list.Notices(start), f.nodes[(n+1)%nodes].inbox...)
	for entry := range nodes {
		if sent := byEntry[entry]; len(sent) > 0 {
			f.flood(entry, f.nodes[entry].list.RecordCrash(start, id, sent))
		}
	}
}

// executePoison crashes a target at which a poison request is in flight.
func (f *fleet) executePoison() {
	n := f.drawNode("owner")
	for _, x := range f.nodes[n].inFlight {
		if isPoison(x.f) {
			f.crash(n, rapid.Bool().Draw(f.t, "with its owner"))
			return
		}
	}
	f.t.Skip("no poison")
}

// converge delivers all notices and checks that all nodes agree and that no
// request is quarantined without having been in flight at two crashes.
func (f *fleet) converge() {
	for _, n := range f.nodes {
		f.deliver(n)
	}
	for _, r := range append(poisonRequests, harmlessRequests...) {
		status := f.nodes[0].list.Check(start, r)
		for _, n := range f.nodes {
			if got := n.list.Check(start, r); got != status {
				f.t.Fatalf("%v is %v at one node and %v at another", r, status, got)
			}
		}
		if status == Quarantined && len(f.crashes[r]) < 2 {
			f.t.Fatalf("%v is quarantined after %d crashes", r, len(f.crashes[r]))
		}
	}
}

func (f *fleet) actions() map[string]func(*rapid.T) {
	send := func(t *rapid.T) {
		f.send(rapid.SampledFrom(append(poisonRequests, harmlessRequests...)).Draw(t, "request"))
	}
	return map[string]func(*rapid.T){
		"send":               send,
		"send more":          send,
		"send still more":    send,
		"complete":           func(*rapid.T) { f.complete() },
		"run poison":         func(*rapid.T) { f.executePoison() },
		"target crashes":     func(t *rapid.T) { f.crash(f.drawNode("owner"), rapid.Bool().Draw(t, "with its owner")) },
		"notices arrive":     func(*rapid.T) { f.deliver(f.nodes[f.drawNode("node")]) },
		"all notices arrive": func(*rapid.T) { f.converge() },
	}
}

// A poison request crashes at most two targets if every notice reaches the next
// entry before the request is sent again.
func TestPoisonRequestCrashesAtMostTwoTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newFleet(t).actions()) })
}

// Concurrent copies of a poison request crash at most two targets, even if no
// notice arrives, provided that each request goes only to its first two owners
// and the targets stay the same.
func TestConcurrentCopiesCrashAtMostTwoTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		f.copies, f.firstTwoOwners = 100, true
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
