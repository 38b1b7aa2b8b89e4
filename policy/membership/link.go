package membership

import (
	"slices"
	"time"

	"zinniafall/policy/model"
)

// link is the state kept for a node with which packets are exchanged.
type link struct {
	node     model.NodeAddr
	neighbor bool
	// lastReceived is when the last packet arrived, or when the node became a
	// neighbor.
	lastReceived time.Time
	nextPing     time.Time
	incarnation  model.Incarnation
	clock        peerClock
	// remoteSent is the Sent field of the last packet, which arrived at receivedAt
	// by the local clock.
	remoteSent uint64
	receivedAt uint64
	outbox     outbox
}

// outbox queues records to be sent to one node, each at most once.
type outbox struct {
	queue  []model.NodeAddr
	queued map[model.NodeAddr]struct{}
}

func (o *outbox) push(node model.NodeAddr) {
	if o.queued == nil {
		o.queued = make(map[model.NodeAddr]struct{})
	}
	if _, queued := o.queued[node]; queued {
		return
	}
	o.queued[node] = struct{}{}
	o.queue = append(o.queue, node)
}

// remove drops a record that the other node already has.
func (o *outbox) remove(node model.NodeAddr) { delete(o.queued, node) }

// pop removes the next node from the queue and returns it; its record is to be
// sent. It skips nodes that remove has dropped, and returns false if none is
// left.
func (o *outbox) pop() (model.NodeAddr, bool) {
	for len(o.queue) > 0 {
		node := o.queue[0]
		o.queue = o.queue[1:]
		if _, queued := o.queued[node]; queued {
			delete(o.queued, node)
			return node, true
		}
	}
	o.queue = nil
	return "", false
}

// link returns the state for a node, creating it if needed, or nil when there
// are maxLinks already.
func (v *View) link(now time.Time, node model.NodeAddr) *link {
	if l := v.links[node]; l != nil {
		return l
	}
	if len(v.links) >= maxLinks {
		return nil
	}
	l := &link{node: node, lastReceived: now}
	v.links[node] = l
	return l
}

// refreshNeighbors recomputes the neighbors after the rings changed.
func (v *View) refreshNeighbors(now time.Time) {
	if v.ringRevision == v.table.ringRevision {
		return
	}
	v.ringRevision = v.table.ringRevision
	before := v.neighbors
	v.neighbors = v.table.rings.neighbors(v.self.Node)
	for _, node := range before {
		if l := v.links[node]; l != nil && !slices.Contains(v.neighbors, node) {
			l.neighbor = false
			l.outbox = outbox{}
			delete(v.suspicions, node)
		}
	}
	for _, node := range v.neighbors {
		l := v.links[node]
		if l == nil {
			l = &link{node: node}
			v.links[node] = l
		}
		if !l.neighbor {
			l.neighbor = true
			l.lastReceived = now
			l.nextPing = now
		}
	}
}

// heartbeat pings the neighbors whose next heartbeat is due.
func (v *View) heartbeat(now time.Time) {
	for _, node := range v.neighbors {
		l := v.links[node]
		if now.Before(l.nextPing) {
			continue
		}
		l.nextPing = now.Add(jitter(v.random, v.options.Heartbeat))
		v.ping(now, node)
	}
}

// ping sends a heartbeat. It asks for a reply until the peer's clock is known.
func (v *View) ping(now time.Time, node model.NodeAddr) {
	l := v.links[node]
	ask := l == nil || !l.clock.known()
	p := &packet{NeedReply: ask}
	v.echo(now, l, p)
	v.send(now, node, p)
}

// echo adds the timestamps from which the peer can measure this node's clock.
func (v *View) echo(now time.Time, l *link, p *packet) {
	if l != nil && l.remoteSent != 0 {
		p.Echo = l.remoteSent
		p.EchoDelay = v.clock.micros(now) - l.receivedAt
	}
}

// send queues one packet for the transport and charges its size to the pacer.
func (v *View) send(now time.Time, to model.NodeAddr, p *packet) {
	p.Incarnation = v.self.Incarnation
	p.Version = v.self.Version
	p.Sent = v.clock.micros(now)
	payload := p.encode()
	v.pacer.charge(len(payload))
	v.stats.PacketsOut++
	v.stats.BytesOut += uint64(len(payload) + packetOverhead)
	v.out = append(v.out, Outgoing{To: to, Payload: payload})
}

// enqueue queues a record for all neighbors except one.
func (v *View) enqueue(now time.Time, node, except model.NodeAddr) {
	v.refreshNeighbors(now)
	for _, n := range v.neighbors {
		if n != except && n != node {
			v.links[n].outbox.push(node)
		}
	}
}

// flushRecords sends queued records while the pacer allows it, one packet per
// node in turn, to nodes that are not silent.
func (v *View) flushRecords(now time.Time) {
	waiting := v.linksToFlush(now)
	for len(waiting) > 0 {
		next := waiting[:0]
		for _, l := range waiting {
			if !v.pacer.allowsBulk() {
				return
			}
			if v.flushLink(now, l) {
				next = append(next, l)
			}
		}
		waiting = next
	}
}

// linksToFlush returns the links to nodes that are not silent and that have
// queued records. Their order is random but determined by the seed.
func (v *View) linksToFlush(now time.Time) []*link {
	var out []*link
	for _, l := range v.links {
		if len(l.outbox.queue) > 0 && now.Sub(l.lastReceived) < v.options.SuspectAfter {
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b *link) int { return compareAddr(a.node, b.node) })
	v.random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func compareAddr(a, b model.NodeAddr) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// packetBudget is the number of bytes in one packet available for records or
// floods.
const packetBudget = MaxPacket - 80

// flushLink sends one packet of records and reports whether more are queued.
func (v *View) flushLink(now time.Time, l *link) bool {
	var updates []Member
	space := packetBudget
	for space > 0 {
		node, ok := l.outbox.pop()
		if !ok {
			break
		}
		r := v.table.records[node]
		if r == nil || v.heal.withholds(now, r) {
			continue
		}
		if size := r.wireSize(); size > space {
			l.outbox.push(node)
			break
		}
		space -= r.wireSize()
		updates = append(updates, r.Member)
	}
	if len(updates) > 0 {
		v.send(now, l.node, &packet{Updates: updates})
	}
	return len(l.outbox.queue) > 0
}
