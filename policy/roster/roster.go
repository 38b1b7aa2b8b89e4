// Package roster keeps what a node knows of the others: their addresses, their
// targets and whether they live.
//
// Three sources feed it. The platform's store lists the nodes under leases; it
// is the way to meet. Other nodes pass on what they know, which brings a node
// up to date that cannot reach the store. And a message from a node itself
// proves that it lives. A lease is weaker than direct contact: keys may vanish
// while their owner lives, and stay for a while after it died. So a node is
// dropped only when it is missing from the store and was not heard from for a
// while, and longer when the store cannot be read.
package roster

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniafall/policy/model"
)

const (
	// missingAfter is the silence after which a node is dropped that the store
	// does not list; a live node is heard from about once a second, and its
	// entry is back about two seconds after the store is.
	missingAfter = 5 * time.Second
	// silentAfter is the same while the store cannot be read.
	silentAfter = 60 * time.Second
	// dropMemory is how long the word of third parties does not bring a dropped
	// process back.
	dropMemory = 30 * time.Second
)

// Record is what a node tells of itself.
type Record struct {
	// Node is the address at which other nodes reach it.
	Node model.NodeAddr `cbor:"1,keyasint" json:"node"`
	// Process is drawn anew at each start.
	Process model.ProcessID `cbor:"2,keyasint" json:"process"`
	// Sequence rises with each change of one process.
	Sequence uint64        `cbor:"3,keyasint" json:"sequence"`
	Domain   model.Domain  `cbor:"4,keyasint" json:"domain"`
	Region   model.Region  `cbor:"5,keyasint" json:"region"`
	Service  model.Service `cbor:"6,keyasint" json:"service"`
	// Slots is the number of calls that its target runs at once.
	Slots int `cbor:"7,keyasint" json:"slots"`
	// State of its target.
	State model.TargetState `cbor:"8,keyasint" json:"state"`
}

type member struct {
	Record
	stored bool
	// heard is the time of the last direct contact, or of the first word.
	heard time.Time
	// changed is when the record last changed.
	changed time.Time
}

// Roster is not safe for concurrent use.
type Roster struct {
	self    model.NodeAddr
	members map[model.NodeAddr]*member
	dropped map[model.ProcessID]time.Time
	changed bool
}

// New returns a roster without members.
func New(self model.NodeAddr) *Roster {
	return &Roster{self: self, members: make(map[model.NodeAddr]*member), dropped: make(map[model.ProcessID]time.Time)}
}

// PutStored takes one entry of the store.
func (r *Roster) PutStored(now time.Time, record Record) {
	if record.Node == r.self {
		return
	}
	m := r.members[record.Node]
	if m == nil || m.Process != record.Process || m.Sequence < record.Sequence {
		m = r.put(now, record)
	}
	m.stored = true
}

// ReplaceStored takes a whole reading of the store; members that it does not list
// are no longer stored.
func (r *Roster) ReplaceStored(now time.Time, records []Record) {
	listed := make(map[model.NodeAddr]bool, len(records))
	for _, record := range records {
		listed[record.Node] = true
		r.PutStored(now, record)
	}
	for node, m := range r.members {
		m.stored = m.stored && listed[node]
	}
}

// DeleteStored takes the removal of an entry from the store.
func (r *Roster) DeleteStored(node model.NodeAddr) {
	if m := r.members[node]; m != nil {
		m.stored = false
	}
}

// Refresh takes a record from the node itself. A process that was replaced at
// the same address is forgotten.
func (r *Roster) Refresh(now time.Time, record Record) {
	if record.Node == r.self || record.Node == "" {
		return
	}
	m := r.members[record.Node]
	if m == nil || m.Process != record.Process || m.Sequence <= record.Sequence {
		// At the same sequence the node itself tells more than its entry.
		m = r.put(now, record)
	}
	m.heard = now
}

// MarkAlive takes a sign of life without a record.
func (r *Roster) MarkAlive(now time.Time, node model.NodeAddr) {
	if m := r.members[node]; m != nil {
		m.heard = now
	}
}

// PutIndirect takes the word of another node. It adds nodes that are not known and
// newer records of the same process; it proves no life.
func (r *Roster) PutIndirect(now time.Time, records []Record) {
	for _, record := range records {
		if record.Node == r.self || record.Node == "" {
			continue
		}
		if at, ok := r.dropped[record.Process]; ok && now.Sub(at) < dropMemory {
			continue
		}
		m := r.members[record.Node]
		if m == nil || m.Process == record.Process && m.Sequence < record.Sequence {
			r.put(now, record)
		}
	}
}

// put replaces a record and keeps what is known of the member's life.
func (r *Roster) put(now time.Time, record Record) *member {
	m := r.members[record.Node]
	if m == nil {
		m = &member{heard: now}
		r.members[record.Node] = m
	}
	if m.Record != record {
		r.changed = true
		m.changed = now
	}
	m.Record = record
	return m
}

// Expire drops the members that are gone and returns them. Readable says
// whether the store's list is up to date.
func (r *Roster) Expire(now time.Time, readable bool) []Record {
	limit := silentAfter
	if readable {
		limit = missingAfter
	}
	var gone []Record
	for node, m := range r.members {
		if m.stored && readable || now.Sub(m.heard) < limit {
			continue
		}
		gone = append(gone, m.Record)
		r.dropped[m.Process] = now
		delete(r.members, node)
		r.changed = true
	}
	for process, at := range r.dropped {
		if now.Sub(at) >= dropMemory {
			delete(r.dropped, process)
		}
	}
	return gone
}

// TakeChanged reports whether a record changed since the last call.
func (r *Roster) TakeChanged() bool {
	changed := r.changed
	r.changed = false
	return changed
}

// Records returns all members in the order of their addresses.
func (r *Roster) Records() []Record {
	out := make([]Record, 0, len(r.members))
	for _, m := range r.members {
		out = append(out, m.Record)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// ChangedSince returns up to most records that changed since a time, for nodes that
// are nearly up to date.
func (r *Roster) ChangedSince(since time.Time, most int) []Record {
	var out []Record
	for _, m := range r.members {
		if m.changed.After(since) && len(out) < most {
			out = append(out, m.Record)
		}
	}
	return out
}

// Digest is equal on two nodes that hold the same records, each other's own
// included.
func Digest(records []Record, self Record) uint64 {
	all := slices.Concat(records, []Record{self})
	slices.SortFunc(all, func(a, b Record) int { return cmp.Compare(a.Node, b.Node) })
	h := xxhash.New()
	for _, rec := range all {
		_, _ = h.WriteString(string(rec.Node))
		_, _ = h.Write(rec.Process[:])
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, rec.Sequence))
	}
	return h.Sum64()
}
