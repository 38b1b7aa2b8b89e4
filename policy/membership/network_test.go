package membership

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"zinniafall/policy/model"
)

// tickInterval is the time between two ticks of a simulated node.
const tickInterval = 100 * time.Millisecond

// event is a tick (payload nil) or the arrival of a packet in virtual time.
type event struct {
	at      time.Time
	order   int
	to      *fakeNode
	from    model.NodeAddr
	payload []byte
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type fakeNode struct {
	view        *View
	dead        bool
	pausedUntil time.Time
	floods      []Message
}

// network simulates packet delivery between views in virtual time.
type network struct {
	now    time.Time
	random *rand.Rand
	queue  events
	order  int
	nodes  map[model.NodeAddr]*fakeNode
	addrs  []model.NodeAddr
	// delay and loss apply to all links; cut reports which links are down.
	delay time.Duration
	loss  float64
	cut   func(from, to model.NodeAddr) bool
	// duplicate delivers each packet a second time, 3 seconds later.
	duplicate bool
	delivered int
}

func newNetwork(seed uint64) *network {
	return &network{
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random: rand.New(rand.NewPCG(seed, 1)),
		nodes:  make(map[model.NodeAddr]*fakeNode),
		delay:  2 * time.Millisecond,
	}
}

func address(i int) model.NodeAddr {
	return model.NodeAddr(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
}

func member(i int, incarnation model.Incarnation) Member {
	m := Member{
		Node: address(i), Operators: string(address(i)), Incarnation: incarnation,
		Domain: model.Domain(fmt.Sprintf("domain-%d", i%10)), Region: "region",
		Service: model.Service(fmt.Sprintf("service-%d", i%260)), Slots: 12, Target: model.TargetWarm,
	}
	m.Process[0], m.Process[1], m.Process[2] = byte(i), byte(i>>8), byte(incarnation)
	return m
}

// start starts a node's process; it replaces an earlier process at its address.
func (n *network) start(i int, incarnation model.Incarnation, contacts ...model.NodeAddr) *fakeNode {
	f := &fakeNode{view: New(member(i, incarnation), Options{Seed: 7})}
	if old := n.nodes[address(i)]; old != nil {
		old.dead = true
	} else {
		n.addrs = append(n.addrs, address(i))
	}
	n.nodes[address(i)] = f
	n.send(address(i), f.view.Join(n.now, contacts))
	phase := time.Duration(n.random.Int64N(int64(tickInterval)))
	n.push(event{at: n.now.Add(phase), to: f})
	return f
}

// convergedFleet starts nodes that already know each other.
func convergedFleet(seed uint64, size int) *network {
	n := newNetwork(seed)
	for i := range size {
		f := n.start(i, 1)
		for j := range size {
			f.view.table.apply(n.now, member(j, 1))
		}
	}
	return n
}

func (n *network) push(e event) {
	n.order++
	e.order = n.order
	heap.Push(&n.queue, e)
}

func (n *network) send(from model.NodeAddr, packets []Outgoing) {
	for _, p := range packets {
		to := n.nodes[p.To]
		if to == nil || to.dead || n.cut != nil && n.cut(from, p.To) || n.random.Float64() < n.loss {
			continue
		}
		delay := n.delay + time.Duration(n.random.Int64N(int64(n.delay)))
		n.push(event{at: n.now.Add(delay), to: to, from: from, payload: p.Payload})
		if n.duplicate {
			n.push(event{at: n.now.Add(delay + 3*time.Second), to: to, from: from, payload: p.Payload})
		}
	}
}

// run advances virtual time by d, or until done, which may be nil, returns true;
// done is called once per tick interval. It returns the time that passed.
func (n *network) run(d time.Duration, done func() bool) time.Duration {
	start, asked := n.now, n.now
	for len(n.queue) > 0 && !n.queue[0].at.After(start.Add(d)) {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		n.handle(e)
		if done != nil && n.now.Sub(asked) >= tickInterval {
			if asked = n.now; done() {
				return n.now.Sub(start)
			}
		}
	}
	n.now = start.Add(d)
	return d
}

func (n *network) handle(e event) {
	f := e.to
	if f.dead {
		return
	}
	if f.pausedUntil.After(n.now) {
		e.at = f.pausedUntil.Add(time.Millisecond)
		n.push(e)
		return
	}
	self := f.view.Self().Node
	if e.payload == nil {
		n.send(self, f.view.Tick(n.now))
		n.push(event{at: n.now.Add(tickInterval), to: f})
	} else {
		n.delivered++
		out, err := f.view.Receive(n.now, e.from, e.payload)
		if err != nil {
			panic(err)
		}
		n.send(self, out)
	}
	f.floods = append(f.floods, f.view.TakeFloods()...)
}

// live returns the running nodes in the order of their first start.
func (n *network) live() []*fakeNode {
	var out []*fakeNode
	for _, a := range n.addrs {
		if f := n.nodes[a]; !f.dead {
			out = append(out, f)
		}
	}
	return out
}

// converged reports whether the view of each live node contains exactly the live
// nodes.
func (n *network) converged() bool {
	live := n.live()
	for _, f := range live {
		if len(f.view.Snapshot().Members) != len(live) {
			return false
		}
	}
	for _, f := range live {
		for _, m := range f.view.Snapshot().Members {
			if n.nodes[m.Node].dead || n.nodes[m.Node].view.Self().Incarnation != m.Incarnation {
				return false
			}
		}
	}
	return true
}

// stats sums a counter over the live nodes.
func (n *network) stats(of func(Stats) uint64) uint64 {
	var sum uint64
	for _, f := range n.live() {
		sum += of(f.view.Stats())
	}
	return sum
}
