package membership

import (
	"time"

	"zinniafall/policy/model"
)

const (
	// maxEntries is the number of record summaries in one packet.
	maxEntries = 30
	// maxExchange is the number of buckets listed in answer to one digest.
	maxExchange = 48
	// nearlyEqual is the number of differing buckets up to which a view
	// counts as caught up: changes are always on their way.
	nearlyEqual = 4
	// fastSync is the time between digest exchanges while views differ.
	fastSync = time.Second
	// joinContacts is the number of contacts asked at once.
	joinContacts = 4
	// joinRetry is the time between two tries to join after a contact has
	// answered, firstRetry before.
	joinRetry  = 3 * time.Second
	firstRetry = 300 * time.Millisecond
)

// Join starts joining through contacts, which come from the settings or from
// a list in the store. They are remembered and probed again when the node is
// cut off from them. With no contacts the node is the first of its fleet.
func (v *View) Join(now time.Time, contacts []model.NodeAddr) []Outgoing {
	v.begin(now)
	v.contacts = v.contacts[:0]
	for _, c := range contacts {
		if c != v.self.Node {
			v.contacts = append(v.contacts, c)
		}
	}
	v.joinStarted = now
	if len(v.contacts) == 0 {
		v.joined, v.caughtUp = true, true
		return v.finish()
	}
	v.nextJoin = now
	v.retryJoin(now)
	return v.finish()
}

// retryJoin asks up to joinContacts contacts, each for a part of the records.
func (v *View) retryJoin(now time.Time) {
	if v.joined || len(v.contacts) == 0 || now.Before(v.nextJoin) {
		return
	}
	if now.Sub(v.joinStarted) >= aloneAfter && len(v.links) == 0 {
		v.joined = true
		return
	}
	v.nextJoin = now.Add(joinRetry)
	if len(v.links) == 0 {
		v.nextJoin = now.Add(firstRetry)
	}
	asked := min(joinContacts, len(v.contacts))
	first := v.random.IntN(len(v.contacts))
	for i := range asked {
		contact := v.contacts[(first+i)%len(v.contacts)]
		part := &joinPart{Index: uint8(i), Of: uint8(asked)}
		v.send(now, contact, &packet{Ask: true, NeedRecord: true, Updates: []Member{v.self}, Join: part})
	}
	v.nextSync = now.Add(fastSync)
}

// syncIfDue sends a digest to one neighbor, soon again while views differ.
func (v *View) syncIfDue(now time.Time) {
	if now.Before(v.nextSync) {
		return
	}
	v.nextSync = now.Add(v.syncDelay(now))
	if len(v.neighbors) == 0 {
		v.caughtUp = v.joined
		return
	}
	partner := v.neighbors[v.random.IntN(len(v.neighbors))]
	v.send(now, partner, &packet{Digest: v.table.digest()})
}

func (v *View) syncDelay(now time.Time) time.Duration {
	if !v.caughtUp || v.heal.active(now) {
		return jitter(v.random, fastSync)
	}
	return jitter(v.random, v.options.SyncInterval)
}

// receiveSync takes in the parts of a packet that compare views.
func (v *View) receiveSync(now time.Time, from model.NodeAddr, p *packet, reply *packet) {
	l := v.links[from]
	if l == nil {
		return
	}
	if p.Join != nil {
		v.pushPart(l, *p.Join)
	}
	if len(p.Digest) != 0 {
		v.answerDigest(now, from, p, reply)
	}
	if p.Compared != 0 {
		v.onCompared(now, p)
	}
	if len(p.Entries) != 0 || len(p.Buckets) != 0 {
		v.onEntries(now, l, p)
	}
	for _, wanted := range p.Wants {
		if r := v.table.byKey[wanted]; r != nil {
			l.outbox.push(r.Node)
		}
	}
}

func (v *View) pushPart(l *link, part joinPart) {
	for b := int(part.Index); b < bucketCount; b += int(part.Of) {
		for _, r := range v.table.buckets[b] {
			if r.Status != Gone && r.Node != l.node {
				l.outbox.push(r.Node)
			}
		}
	}
}

// answerDigest tells how much differs and lists the records of some of the
// differing buckets, beginning at a random one.
func (v *View) answerDigest(now time.Time, from model.NodeAddr, p *packet, reply *packet) {
	differing := v.table.differing(p.Digest)
	reply.Compared = p.Sent
	reply.Differing = len(differing)
	if len(differing) == 0 {
		return
	}
	first := v.random.IntN(len(differing))
	listed := &packet{}
	for i := range min(len(differing), maxExchange) {
		b := differing[(first+i)%len(differing)]
		if len(listed.Entries)+len(v.table.buckets[b]) > maxEntries && len(listed.Buckets) > 0 {
			v.send(now, from, listed)
			listed = &packet{}
		}
		if !v.pacer.bulk() {
			return
		}
		v.list(listed, b)
	}
	v.send(now, from, listed)
}

// list adds a bucket. One with more records than fit is not marked complete.
func (v *View) list(p *packet, b byte) {
	records := v.table.buckets[b]
	if len(records) <= maxEntries {
		p.Buckets = append(p.Buckets, b)
	}
	for _, r := range records[:min(len(records), maxEntries)] {
		p.Entries = append(p.Entries, r.entry())
	}
}

// onCompared notes how far the own view was from another.
func (v *View) onCompared(now time.Time, p *packet) {
	if p.Compared < v.caughtUpSince {
		return
	}
	if p.Differing <= nearlyEqual {
		v.caughtUp, v.joined = true, true
	}
	if p.Differing > 0 {
		soon := now.Add(jitter(v.random, fastSync))
		if v.nextSync.After(soon) {
			v.nextSync = soon
		}
	}
}

// onEntries queues what the other lacks and asks for what is newer there.
func (v *View) onEntries(now time.Time, l *link, p *packet) {
	theirs := make(map[uint64]struct{}, len(p.Entries))
	var wants []uint64
	for _, e := range p.Entries {
		theirs[e.Key] = struct{}{}
		r := v.table.byKey[e.Key]
		switch {
		case r == nil:
			if e.Status != Gone {
				wants = append(wants, e.Key)
			}
		case r.older(e):
			wants = append(wants, e.Key)
		case r.entry() != e:
			l.outbox.push(r.Node)
		}
	}
	for _, b := range p.Buckets {
		for _, r := range v.table.buckets[b] {
			if _, known := theirs[r.key]; !known && r.Status != Gone {
				l.outbox.push(r.Node)
			}
		}
	}
	if len(wants) > 0 && v.pacer.urgent() {
		v.send(now, l.node, &packet{Wants: wants})
	}
}

// probeIfDue looks for a member that was called gone, and for a contact that
// is not a member, because a partition may have ended.
func (v *View) probeIfDue(now time.Time) {
	if now.Before(v.nextProbe) {
		return
	}
	v.nextProbe = now.Add(jitter(v.random, v.options.ProbeInterval))
	if r := v.randomLost(); r != nil {
		v.ping(now, r.Node)
	}
	if len(v.contacts) == 0 {
		return
	}
	contact := v.contacts[v.random.IntN(len(v.contacts))]
	if r := v.table.records[contact]; r == nil || !r.present() {
		v.ping(now, contact)
	}
}

// randomLost picks one of the members found dead or lost.
func (v *View) randomLost() *record {
	if len(v.table.sorted) == 0 {
		return nil
	}
	first := v.random.IntN(len(v.table.sorted))
	for i := range v.table.sorted {
		r := v.table.sorted[(first+i)%len(v.table.sorted)]
		if r.foundDead() || r.lost {
			return r
		}
	}
	return nil
}
