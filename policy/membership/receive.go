package membership

import (
	"time"

	"zinniafall/policy/model"
)

// Receive processes a packet from a node that the transport has authenticated.
// The error is ErrMalformed or ErrOversized; the packet then had no effect.
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

// receiveFrom processes the parts of a packet. It reports false, without
// processing them, when a later process runs at the sender's address.
func (v *View) receiveFrom(now time.Time, from model.NodeAddr, p *packet, reply *packet) bool {
	r := v.table.records[from]
	if r != nil && p.Incarnation < r.Incarnation {
		v.stats.StalePackets++
		if v.pacer.allowsBulk() {
			v.send(now, from, &packet{Updates: []Member{r.Member}})
		}
		return false
	}
	age := v.updateLink(now, from, p)
	v.receiveUpdates(now, from, p.Updates)
	v.checkSender(now, from, p, reply)
	v.receiveFloods(now, from, p.Floods, age)
	v.receiveVotes(now, from, p, reply)
	v.receiveSync(now, from, p, reply)
	v.receiveAnswers(now, from, p.Answers)
	return true
}

// updateLink records the arrival of a packet and its clock sample, and returns
// the age of the packet.
func (v *View) updateLink(now time.Time, from model.NodeAddr, p *packet) time.Duration {
	l := v.link(now, from)
	if l == nil {
		return unknownAge
	}
	if l.incarnation != p.Incarnation {
		l.incarnation = p.Incarnation
		l.clock.reset()
	}
	local := v.clock.micros(now)
	l.lastReceived = now
	l.remoteSent, l.receivedAt = p.Sent, local
	if p.Echo != 0 && p.Echo <= local && p.EchoDelay <= p.Sent {
		l.clock.addSample(now, p.Echo, p.Sent-p.EchoDelay)
	}
	return l.clock.age(local, p.Sent)
}

func (v *View) receiveUpdates(now time.Time, from model.NodeAddr, updates []Member) {
	for _, m := range updates {
		if m.Node == v.self.Node {
			v.handleOwnRecord(now, m)
			continue
		}
		v.receiveUpdate(now, from, m)
	}
}

// receiveUpdate merges one record and forwards it if it was new. A tombstone of
// an unknown or already forgotten member is ignored.
func (v *View) receiveUpdate(now time.Time, from model.NodeAddr, m Member) {
	if m.Status == Gone && v.table.records[m.Node] == nil {
		return
	}
	if v.table.apply(now, m) {
		v.enqueue(now, m.Node, from)
	}
	l, r := v.links[from], v.table.records[m.Node]
	if l != nil && r != nil && compare(&m, &r.Member) == 0 {
		l.outbox.remove(m.Node)
	}
}

// checkSender compares the sender with its record. It requests the record when
// it is missing or old, shows a hidden sender again, and tells a sender that was
// declared dead so that it can refute that.
func (v *View) checkSender(now time.Time, from model.NodeAddr, p *packet, reply *packet) {
	r := v.table.records[from]
	if r == nil || r.Incarnation < p.Incarnation || r.Version < p.Version {
		reply.NeedRecord = true
		return
	}
	if r.hidden {
		v.showHidden(now)
	}
	if r.declaredDead() && r.Incarnation == p.Incarnation {
		reply.Updates = append(reply.Updates, r.Member)
		v.detectHeal(now)
	}
}

// reply answers a packet that requested something. While the byte rate is
// exceeded only neighbors get a reply; other nodes ask again.
func (v *View) reply(now time.Time, from model.NodeAddr, p *packet, reply *packet) {
	if p.NeedRecord {
		reply.Updates = append(reply.Updates, v.self)
	}
	wanted := reply.NeedRecord || len(reply.Updates) > 0 || len(reply.Votes) > 0 || reply.DigestSent != 0
	if !p.NeedReply && !wanted {
		return
	}
	l := v.links[from]
	if (l == nil || !l.neighbor) && !v.pacer.allowsUrgent() {
		return
	}
	v.echo(now, l, reply)
	v.send(now, from, reply)
}
