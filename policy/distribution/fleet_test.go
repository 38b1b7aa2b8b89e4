package distribution

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/roster"
)

const (
	thinLink    = 10e6 / 8  // bytes a second
	wideLink    = 200e6 / 8 // bytes a second
	stuckRate   = 500       // bytes a second
	roundTrip   = 2 * time.Millisecond
	greetPeriod = time.Second
	// changeGreetingDelay is when a watcher greets its failure domain after a change.
	changeGreetingDelay = 300 * time.Millisecond
	// callPeriod is the mean time between two calls that reach a node from another
	// one, each of which carries the sender's revision.
	callPeriod = 100 * time.Millisecond
	// decodePerByte is the time in which a node of 0.16 core decodes a byte of a
	// configuration: 87 ms for 323 KB, measured on the users' bench.
	decodePerByte = 270 * time.Nanosecond
	// applyBound is the users' bound on the time from the acknowledgement of a
	// configuration until it is in force everywhere.
	applyBound = 2500 * time.Millisecond
	// applyBoundAtFullSize is the same for 2,200 nodes.
	applyBoundAtFullSize = 7 * time.Second
)

// document returns a configuration with the given number of routes in the platform's
// format, of some 225 bytes a route. The names of the routes do not repeat, and weight
// is the only figure that differs between documents of the same number of routes.
func document(routes, weight int) []byte {
	rng := rand.New(rand.NewPCG(1, 1))
	word := func() string {
		var b strings.Builder
		for range 8 {
			b.WriteByte("abcdefghijklmnopqrstuvwxyz0123456789"[rng.IntN(36)])
		}
		return b.String()
	}
	var b bytes.Buffer
	b.WriteString(`{"resources":[`)
	for range routes {
		fmt.Fprintf(&b, `{"resource_type":"routes","metadata":{"name":"r-%s"},"spec":{"host":"hulo84.example","prefix":"/%s/",`+
			`"route_type":"unsafe","timeout_ms":1500,"target_latency_ms":500,"priority":1,"service":"wuno96b","max_attempts":2}},`, word(), word())
	}
	fmt.Fprintf(&b, `{"weight":%d}]}`, weight)
	return b.Bytes()
}

// change is a configuration that operators write at a time.
type change struct {
	at       time.Duration
	revision model.Revision
	document []byte
}

// fleet simulates in virtual time how changes spread over nodes whose links are
// limited: the transfers at a link share it equally.
type fleet struct {
	rng       *rand.Rand
	now       time.Duration
	events    events
	sequence  int
	nodes     []*simNode
	byAddr    map[model.NodeAddr]*simNode
	transfers map[*transfer]bool
	// bytes counts what nodes sent to each other.
	bytes float64
	// stored is what the store holds, and storeReads counts the reads of nodes that do not
	// watch it.
	stored     change
	storeReads int
	// transferred counts the transfers between nodes, and damaged is set if none is usable.
	transferred int
	damaged     bool
	// isolated is set if calls and greetings stay within failure domains.
	isolated bool
	// unusable caches the errors of Apply by base and target.
	unusable map[[2]Sum]error
}

type simNode struct {
	fleet   *fleet
	addr    model.NodeAddr
	domain  model.Domain
	link    float64
	watcher *roster.WatchPolicy
	puller  *Puller
	archive Archive
	sender  Sender
	change  change
	// inForce is when each revision, or a later one, came into force.
	inForce map[model.Revision]time.Duration
	loads   int // transfers at its link
	// stuck is set if what the node sends hardly proceeds.
	stuck bool
	// unanswered is set if the store does not answer the node.
	unanswered bool
	// following is set while the node watches the store, and answeredAt is when the store
	// last answered it; see follow.
	following  bool
	answeredAt time.Duration
}

// transfer moves bytes from one node to another, or from the store if from is nil.
type transfer struct {
	from, to  *simNode
	remaining float64
	done      func()
}

type event struct {
	at       time.Duration
	sequence int
	do       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newFleet returns a fleet with the given number of nodes in each failure domain. The
// first two nodes of each have a wide link if wide is set.
func newFleet(seed uint64, wide bool, domains ...int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 0)), byAddr: make(map[model.NodeAddr]*simNode), transfers: make(map[*transfer]bool), unusable: make(map[[2]Sum]error)}
	var records []roster.Record
	for d, size := range domains {
		for i := range size {
			n := &simNode{fleet: f, addr: model.NodeAddr(fmt.Sprintf("10.%d.0.%d:1", d, i)), domain: model.Domain(fmt.Sprint(d)), link: thinLink, puller: NewPuller(seed + uint64(len(f.nodes))), inForce: map[model.Revision]time.Duration{}}
			if wide && i < 2 {
				n.link = wideLink
			}
			mbps := int(n.link * 8 / 1e6)
			n.watcher = roster.NewWatchPolicy(n.addr, n.domain, mbps)
			f.nodes, f.byAddr[n.addr] = append(f.nodes, n), n
			records = append(records, roster.Record{Node: n.addr, Domain: n.domain, LinkMbps: mbps})
		}
	}
	for i, n := range f.nodes {
		n.watcher.SetMembers(time.Time{}, append(append([]roster.Record(nil), records[:i]...), records[i+1:]...))
		f.after(time.Duration(f.rng.Float64()*float64(greetPeriod)), n.greet)
		f.after(time.Duration(f.rng.ExpFloat64()*float64(callPeriod)), n.receiveCall)
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.events, event{f.now + d, f.sequence, do})
}

// rate returns the bytes a second at which a transfer proceeds.
func (t *transfer) rate() float64 {
	rate := t.to.link / float64(t.to.loads)
	if t.from != nil {
		rate = min(rate, t.from.link/float64(t.from.loads))
		if t.from.stuck {
			rate = min(rate, stuckRate)
		}
	}
	return rate
}

// run runs until the given time.
func (f *fleet) run(until time.Duration) {
	for f.now < until {
		next := until
		if len(f.events) > 0 {
			next = min(next, f.events[0].at)
		}
		var first *transfer
		for t := range f.transfers {
			if end := f.now + time.Duration(t.remaining/t.rate()*float64(time.Second)) + 1; end < next || end == next && first == nil {
				next, first = end, t
			}
		}
		for t := range f.transfers {
			moved := min(t.rate()*(next-f.now).Seconds(), t.remaining)
			t.remaining -= moved
			if t.from != nil {
				f.bytes += moved
			}
		}
		f.now = next
		switch {
		case first != nil:
			f.stop(first)
			first.done()
		case len(f.events) > 0 && f.events[0].at <= f.now:
			heap.Pop(&f.events).(event).do()
		}
	}
}

func (f *fleet) start(t *transfer) *transfer {
	f.transfers[t] = true
	t.to.loads++
	if t.from != nil {
		t.from.loads++
	}
	return t
}

// stop ends a transfer and reports whether it was in progress.
func (f *fleet) stop(t *transfer) bool {
	if !f.transfers[t] {
		return false
	}
	delete(f.transfers, t)
	t.to.loads--
	if t.from != nil {
		t.from.loads--
	}
	return true
}

// write gives the store a configuration. Watchers receive it in base64.
func (f *fleet) write(c change) {
	f.stored = c
	for _, n := range f.nodes {
		if (n.watcher.IsWatcher() || n.following) && !n.unanswered {
			f.after(roundTrip, func() {
				f.read(n, c, func() {})
			})
		}
	}
}

// read transfers a configuration from the store to a node.
func (f *fleet) read(n *simNode, c change, done func()) {
	f.start(&transfer{to: n, remaining: float64(len(c.document)) * 4 / 3, done: func() { n.apply(c, nil, done) }})
}

// apply decodes a configuration, puts it in force if it is newer, and calls done.
func (n *simNode) apply(c change, updates []Update, done func()) {
	if c.revision <= n.change.revision {
		done()
		return
	}
	n.fleet.after(time.Duration(len(c.document))*decodePerByte, func() {
		defer done()
		if c.revision <= n.change.revision {
			return
		}
		for revision := n.change.revision + 1; revision <= c.revision; revision++ {
			n.inForce[revision] = n.fleet.now
		}
		n.change = c
		if err := n.archive.Put(c.revision, c.document, updates); err != nil {
			panic(err)
		}
		for _, child := range n.watcher.Children() {
			n.tell(n.fleet.byAddr[child])
		}
		if n.watcher.IsWatcher() {
			n.fleet.after(changeGreetingDelay, n.greetOwnDomain)
		}
	})
}

// tell reports this node's revision to another node and learns its revision.
func (n *simNode) tell(other *simNode) {
	n.fleet.after(roundTrip, func() {
		other.report(n)
		n.report(other)
		other.hear(n)
	})
}

// greet sends greetings to the nodes of a watcher's failure domain and to one node
// of another.
func (n *simNode) greet() {
	n.fleet.after(time.Duration((0.75+n.fleet.rng.Float64()/2)*float64(greetPeriod)), n.greet)
	if !n.watcher.IsWatcher() && !n.following {
		return
	}
	n.greetOwnDomain()
	if n.fleet.isolated {
		return
	}
	var others []*simNode
	for _, other := range n.fleet.nodes {
		if other.domain != n.domain {
			others = append(others, other)
		}
	}
	if len(others) > 0 {
		n.tell(others[n.fleet.rng.IntN(len(others))])
	}
}

// greetOwnDomain sends greetings to the nodes of the failure domain.
func (n *simNode) greetOwnDomain() {
	for _, other := range n.fleet.nodes {
		if other.domain == n.domain && other != n {
			n.tell(other)
		}
	}
}

// receiveCall receives a call of a random node.
func (n *simNode) receiveCall() {
	n.fleet.after(time.Duration(n.fleet.rng.ExpFloat64()*float64(callPeriod)), n.receiveCall)
	if from := n.fleet.nodes[n.fleet.rng.IntN(len(n.fleet.nodes))]; !n.fleet.isolated || from.domain == n.domain {
		from.tell(n)
	}
}

func (n *simNode) report(from *simNode) {
	if n.puller.Report(n.fleet.clock(), from.addr, from.domain == n.domain, from.change.revision, n.change.revision) {
		n.watcher.Refresh(n.fleet.clock().Add(-MaxReportDelay), n.domain)
	}
	n.pull()
}

func (f *fleet) clock() time.Time { return start.Add(f.now) }

// pull makes the fetch that is due, if any.
func (n *simNode) pull() {
	f := n.fleet
	from, wait := n.puller.Next(f.clock(), n.change.revision)
	readStore, storeWait := n.puller.TakeStore(f.clock(), n.change.revision, n.watcher.DomainSize(), n.watcher.IsWatcher())
	if readStore {
		f.storeReads++
		f.after(roundTrip, func() {
			f.read(n, f.stored, func() {
				n.puller.FinishedStore(f.clock(), n.change.revision)
				n.pull()
			})
		})
	}
	if from != "" {
		f.after(roundTrip, func() { n.fetch(f.byAddr[from]) })
		return
	}
	for _, d := range []time.Duration{wait, storeWait} {
		if d > 0 {
			f.after(d, n.pull)
		}
	}
}

// fetch transfers the configuration of another node.
func (n *simNode) fetch(from *simNode) {
	f, sent := n.fleet, from.change
	finish := func(outcome Outcome, alternatives []model.NodeAddr) {
		n.puller.Finished(f.clock(), from.addr, outcome, alternatives, n.change.revision)
		n.pull()
	}
	base := n.archive.Document()
	updates, err := from.archive.UpdatesFrom(n.archive.Sum())
	if err != nil {
		panic(err)
	}
	bytes := size(updates)
	if !from.sender.Begin(bytes) {
		finish(Busy, from.sender.Alternatives(sent.revision))
		return
	}
	t := f.start(&transfer{from: from, to: n, remaining: float64(bytes), done: func() {
		from.sender.Finished(bytes, sent.revision, n.addr, true)
		f.transferred++
		if f.check(base, updates) != nil {
			finish(Unusable, nil)
			return
		}
		n.apply(sent, updates, func() { finish(Received, nil) })
	}})
	f.after(MaxTransferTime, func() {
		if f.stop(t) {
			from.sender.Finished(bytes, sent.revision, n.addr, false)
			finish(Failed, nil)
		}
	})
}

// check returns the error with which a node that has base rejects updates.
func (f *fleet) check(base []byte, updates []Update) error {
	if f.damaged {
		return ErrUpdateInvalid
	}
	if len(updates) == 0 {
		return nil
	}
	key := [2]Sum{SumOf(base), updates[len(updates)-1].Sum}
	err, known := f.unusable[key]
	if !known {
		_, _, err = Apply(base, updates)
		f.unusable[key] = err
	}
	return err
}

// slowest returns how long after its change each revision was in force at the last
// node, or the time that has passed if it is not in force everywhere.
func (f *fleet) slowest(c change) (last time.Duration, missing int) {
	for _, n := range f.nodes {
		at, ok := n.inForce[c.revision]
		if !ok {
			at, missing = f.now, missing+1
		}
		last = max(last, at-c.at)
	}
	return last, missing
}
