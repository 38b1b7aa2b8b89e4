package membership

import (
	"slices"
	"time"

	"zinniafall/policy/model"
)

// link is what a node keeps about another that it exchanges packets with.
type link struct {
	node     model.NodeAddr
	neighbor bool
	// heard is when the last packet arrived, or when the node became a
	// neighbor.
	heard       time.Time
	nextPing    time.Time
	incarnation model.Incarnation
	clock       peerClock
	// remoteSent is the Sent of the last packet, which arrived at remoteAt of
	// the own clock.
	remoteSent uint64
	remoteAt   uint64
	outbox     outbox
}

// outbox queues records for one node. A record is in it at most once.
type outbox struct {
	queue []model.NodeAddr
	in    map[model.NodeAddr]struct{}
}

func (o *outbox) push(node model.NodeAddr) {
	if o.in == nil {
		o.in = make(map[model.NodeAddr]struct{})
	}
	if _, queued := o.in[node]; queued {
		return
	}
	o.in[node] = struct{}{}
	o.queue = append(o.queue, node)
}

// skip forgets a record that the other node turned out to have.
func (o *outbox) skip(node model.NodeAddr) { delete(o.in, node) }

// pop returns the next record to send.
func (o *outbox) pop() (model.NodeAddr, bool) {
	for len(o.queue) > 0 {
		node := o.queue[0]
		o.queue = o.queue[1:]
		if _, queued := o.in[node]; queued {
			delete(o.in, node)
			return node, true
		}
	}
	o.queue = nil
	return "", false
}

// link returns the state for a node, or nil when there are too many.
func (v *View) link(now time.Time, node model.NodeAddr) *link {
	if l := v.links[node]; l != nil {
		return l
	}
	if len(v.links) >= maxLinks {
		return nil
	}
	l := &link{node: node, heard: now}
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
			delete(v.votes, node)
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
			l.heard = now
			l.nextPing = now
		}
	}
}

// heartbeat pings the neighbors that are due.
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

// ping sends a heartbeat; it asks for an answer while the peer's clock is not
// known.
func (v *View) ping(now time.Time, node model.NodeAddr) {
	l := v.links[node]
	ask := l == nil || !l.clock.known()
	p := &packet{Ask: ask}
	v.echo(now, l, p)
	v.send(now, node, p)
}

// echo adds what lets the peer measure the own clock.
func (v *View) echo(now time.Time, l *link, p *packet) {
	if l != nil && l.remoteSent != 0 {
		p.Echo = l.remoteSent
		p.Hold = v.clock.micros(now) - l.remoteAt
	}
}

// send queues one packet for the transport and charges its bytes.
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

// flushRecords sends queued records while there are tokens, one packet a node
// in turn, to nodes that were heard.
func (v *View) flushRecords(now time.Time) {
	waiting := v.waiting(now)
	for len(waiting) > 0 {
		next := waiting[:0]
		for _, l := range waiting {
			if !v.pacer.bulk() {
				return
			}
			if v.flushLink(now, l) {
				next = append(next, l)
			}
		}
		waiting = next
	}
}

// waiting returns the links with queued records in a random order that the
// seed fixes.
func (v *View) waiting(now time.Time) []*link {
	var out []*link
	for _, l := range v.links {
		if len(l.outbox.queue) > 0 && now.Sub(l.heard) < v.options.SuspectAfter {
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

// recordSpace is the space for records in one packet, in bytes.
const recordSpace = MaxPacket - 80

// flushLink sends one packet of records and reports whether more wait.
func (v *View) flushLink(now time.Time, l *link) bool {
	var updates []Member
	space := recordSpace
	for space > 0 {
		node, ok := l.outbox.pop()
		if !ok {
			break
		}
		r := v.table.records[node]
		if r == nil || v.heal.holds(now, r) {
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
