package membership

import (
	"time"

	"zinniafall/policy/model"
)

const (
	// maxSummaries limits the record summaries in one packet.
	maxSummaries = 30
	// maxListedBuckets limits the buckets listed in reply to one digest.
	maxListedBuckets = 48
	// caughtUpThreshold is the number of differing buckets up to which a view
	// counts as caught up. It is not 0 because changes are always in transit.
	caughtUpThreshold = 4
	// fastSyncInterval is the time between digest exchanges while views differ.
	fastSyncInterval = time.Second
	// joinContacts is the number of contacts asked at once.
	joinContacts = 4
	// joinRetryInterval is the time between two attempts to join once a node has
	// answered, firstRetryInterval before that.
	joinRetryInterval  = 3 * time.Second
	firstRetryInterval = 300 * time.Millisecond
)

// Join starts to join the fleet through contacts, which come from the settings
// or from a list in the store. The contacts are kept, and probed again when they
// are not members. Without contacts the node is the first of its fleet.
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
	if now.Sub(v.joinStarted) >= joinTimeout && len(v.links) == 0 {
		v.joined = true
		return
	}
	v.nextJoin = now.Add(joinRetryInterval)
	if len(v.links) == 0 {
		v.nextJoin = now.Add(firstRetryInterval)
	}
	asked := min(joinContacts, len(v.contacts))
	first := v.random.IntN(len(v.contacts))
	for i := range asked {
		contact := v.contacts[(first+i)%len(v.contacts)]
		part := &joinPart{Index: uint8(i), Parts: uint8(asked)}
		v.send(now, contact, &packet{NeedReply: true, NeedRecord: true, Updates: []Member{v.self}, Join: part})
	}
	v.nextSync = now.Add(fastSyncInterval)
}

// syncIfDue sends a digest to a random neighbor. The next one follows sooner
// while views differ.
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
		return jitter(v.random, fastSyncInterval)
	}
	return jitter(v.random, v.options.SyncInterval)
}

// receiveSync processes the parts of a packet that synchronize the views.
func (v *View) receiveSync(now time.Time, from model.NodeAddr, p *packet, reply *packet) {
	l := v.links[from]
	if l == nil {
		return
	}
	if p.Join != nil {
		v.queueJoinPart(l, *p.Join)
	}
	if len(p.Digest) != 0 {
		v.answerDigest(now, from, p, reply)
	}
	if p.DigestSent != 0 {
		v.handleComparison(now, p)
	}
	if len(p.Summaries) != 0 || len(p.CompleteBuckets) != 0 {
		v.handleSummaries(now, l, p)
	}
	for _, wanted := range p.WantedKeys {
		if r := v.table.byKey[wanted]; r != nil {
			l.outbox.push(r.Node)
		}
	}
}

func (v *View) queueJoinPart(l *link, part joinPart) {
	for b := int(part.Index); b < bucketCount; b += int(part.Parts) {
		for _, r := range v.table.buckets[b] {
			if r.Status != Gone && r.Node != l.node {
				l.outbox.push(r.Node)
			}
		}
	}
}

// answerDigest replies with the number of differing buckets and lists the records
// of some of them, starting at a random one.
func (v *View) answerDigest(now time.Time, from model.NodeAddr, p *packet, reply *packet) {
	differing := v.table.differing(p.Digest)
	reply.DigestSent = p.Sent
	reply.DifferingBuckets = len(differing)
	if len(differing) == 0 {
		return
	}
	first := v.random.IntN(len(differing))
	listed := &packet{}
	for i := range min(len(differing), maxListedBuckets) {
		b := differing[(first+i)%len(differing)]
		if len(listed.Summaries)+len(v.table.buckets[b]) > maxSummaries && len(listed.CompleteBuckets) > 0 {
			v.send(now, from, listed)
			listed = &packet{}
		}
		if !v.pacer.allowsBulk() {
			return
		}
		v.addBucket(listed, b)
	}
	v.send(now, from, listed)
}

// addBucket adds the summaries of a bucket's records. A bucket with more than
// maxSummaries records is not marked as complete.
func (v *View) addBucket(p *packet, b byte) {
	records := v.table.buckets[b]
	if len(records) <= maxSummaries {
		p.CompleteBuckets = append(p.CompleteBuckets, b)
	}
	for _, r := range records[:min(len(records), maxSummaries)] {
		p.Summaries = append(p.Summaries, r.summary())
	}
}

// handleComparison processes the reply to this node's digest.
func (v *View) handleComparison(now time.Time, p *packet) {
	if p.DigestSent < v.caughtUpSince {
		return
	}
	if p.DifferingBuckets <= caughtUpThreshold {
		v.caughtUp, v.joined = true, true
	}
	if p.DifferingBuckets > 0 {
		soon := now.Add(jitter(v.random, fastSyncInterval))
		if v.nextSync.After(soon) {
			v.nextSync = soon
		}
	}
}

// handleSummaries queues the records that the other node lacks and requests those
// that are newer there.
func (v *View) handleSummaries(now time.Time, l *link, p *packet) {
	theirs := make(map[uint64]struct{}, len(p.Summaries))
	var wants []uint64
	for _, e := range p.Summaries {
		theirs[e.Key] = struct{}{}
		r := v.table.byKey[e.Key]
		switch {
		case r == nil:
			if e.Status != Gone {
				wants = append(wants, e.Key)
			}
		case r.olderThan(e):
			wants = append(wants, e.Key)
		case r.summary() != e:
			l.outbox.push(r.Node)
		}
	}
	for _, b := range p.CompleteBuckets {
		for _, r := range v.table.buckets[b] {
			if _, known := theirs[r.key]; !known && r.Status != Gone {
				l.outbox.push(r.Node)
			}
		}
	}
	if len(wants) > 0 && v.pacer.allowsUrgent() {
		v.send(now, l.node, &packet{WantedKeys: wants})
	}
}

// probeIfDue pings a member that is declared dead or hidden, and a contact that
// is not a member, because a network partition may have ended.
func (v *View) probeIfDue(now time.Time) {
	if now.Before(v.nextProbe) {
		return
	}
	v.nextProbe = now.Add(jitter(v.random, v.options.ProbeInterval))
	if r := v.randomUnreachable(); r != nil {
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

// randomUnreachable returns a member that is declared dead or hidden, or nil.
func (v *View) randomUnreachable() *record {
	if len(v.table.sorted) == 0 {
		return nil
	}
	first := v.random.IntN(len(v.table.sorted))
	for i := range v.table.sorted {
		r := v.table.sorted[(first+i)%len(v.table.sorted)]
		if r.declaredDead() || r.hidden {
			return r
		}
	}
	return nil
}
