package membership

import (
	"time"

	"zinniafall/policy/model"
)

// Receive takes in a packet that the transport proved to come from a node. An
// error is ErrMalformed or ErrOversized; the packet then changed nothing.
func (v *View) Receive(now time.Time, from model.NodeAddr, payload []byte) ([]Outgoing, error) {
	v.begin(now)
	p, err := decode(payload)
	if err != nil {
		return nil, err
	}
	if from == v.self.Node {
		return nil, nil
	}
	v.pacer.refill(now)
	reply := &packet{}
	if !v.receiveFrom(now, from, p, reply) {
		return v.finish(), nil
	}
	v.reply(now, from, p, reply)
	return v.finish(), nil
}

// receiveFrom takes the parts of a packet in and reports whether its sender
// is the latest process at its address.
func (v *View) receiveFrom(now time.Time, from model.NodeAddr, p *packet, reply *packet) bool {
	r := v.table.records[from]
	if r != nil && p.Incarnation < r.Incarnation {
		v.stats.StalePackets++
		if v.pacer.bulk() {
			v.send(now, from, &packet{Updates: []Member{r.Member}})
		}
		return false
	}
	age := v.heardFrom(now, from, p)
	v.receiveUpdates(now, from, p.Updates)
	v.checkSender(now, from, p, reply)
	v.receiveFloods(now, from, p.Floods, age)
	v.receiveVotes(now, from, p, reply)
	v.receiveSync(now, from, p, reply)
	v.receiveAnswers(now, from, p.Answers)
	return true
}

// heardFrom keeps the link's heartbeat and clock, and returns the age of the
// packet.
func (v *View) heardFrom(now time.Time, from model.NodeAddr, p *packet) time.Duration {
	l := v.link(now, from)
	if l == nil {
		return unknownAge
	}
	if l.incarnation != p.Incarnation {
		l.incarnation = p.Incarnation
		l.clock.reset()
	}
	local := v.clock.micros(now)
	l.heard = now
	l.remoteSent, l.remoteAt = p.Sent, local
	if p.Echo != 0 && p.Echo <= local && p.Hold <= p.Sent {
		l.clock.measure(now, p.Echo, p.Sent-p.Hold)
	}
	return l.clock.age(local, p.Sent)
}

func (v *View) receiveUpdates(now time.Time, from model.NodeAddr, updates []Member) {
	for _, m := range updates {
		if m.Node == v.self.Node {
			v.onSelf(now, m)
			continue
		}
		v.receiveUpdate(now, from, m)
	}
}

// receiveUpdate merges one record and passes it on when it was news. A member
// that is gone and was never known, or is forgotten, is not taken in again.
func (v *View) receiveUpdate(now time.Time, from model.NodeAddr, m Member) {
	if m.Status == Gone && v.table.records[m.Node] == nil {
		return
	}
	if v.table.apply(now, m) {
		v.enqueue(now, m.Node, from)
	}
	l, r := v.links[from], v.table.records[m.Node]
	if l != nil && r != nil && compare(&m, &r.Member) == 0 {
		l.outbox.skip(m.Node)
	}
}

// checkSender compares the sender with its record: it may be unknown here,
// lost, or alive although it was called gone.
func (v *View) checkSender(now time.Time, from model.NodeAddr, p *packet, reply *packet) {
	r := v.table.records[from]
	if r == nil || r.Incarnation < p.Incarnation || r.Version < p.Version {
		reply.NeedRecord = true
		return
	}
	if r.lost {
		v.endIsolation(now)
	}
	if r.foundDead() && r.Incarnation == p.Incarnation {
		reply.Updates = append(reply.Updates, r.Member)
		v.startHealIfMany(now)
	}
}

// reply answers a packet when it asked for something. When too much was sent
// already, only neighbors get an answer; the others ask again.
func (v *View) reply(now time.Time, from model.NodeAddr, p *packet, reply *packet) {
	if p.NeedRecord {
		reply.Updates = append(reply.Updates, v.self)
	}
	wanted := reply.NeedRecord || len(reply.Updates) > 0 || len(reply.Votes) > 0 || reply.Compared != 0
	if !p.Ask && !wanted {
		return
	}
	l := v.links[from]
	if (l == nil || !l.neighbor) && !v.pacer.urgent() {
		return
	}
	v.echo(now, l, reply)
	v.send(now, from, reply)
}
