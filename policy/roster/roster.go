// Package roster keeps what a node knows about the other nodes: their addresses,
// their targets and whether they are alive.
//
// It combines three sources. The platform's store lists the nodes under leases
// and is how nodes find each other. Other nodes relay the records they know,
// which keeps a node up to date that cannot reach the store. A message from a
// node itself proves that it is alive. A lease is weaker evidence than direct
// contact: a key may disappear while its owner is alive, and stay for a while
// after its owner died. A node is therefore dropped only when it is missing from
// the store and no message has arrived from it for a while; the time is longer
// while the store cannot be read.
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
	// unlistedTimeout is the silence after which a node is dropped that the store
	// does not list. A live node sends a message about once a second, and its entry
	// returns about two seconds after the store does.
	unlistedTimeout = 5 * time.Second
	// outageTimeout is the silence after which any node is dropped while the store
	// cannot be read.
	outageTimeout = 60 * time.Second
	// droppedTTL is how long records relayed by other nodes do not bring back a
	// dropped process.
	droppedTTL = 30 * time.Second
	// suspectSilence is the silence after which a node whose entry was gone is not
	// used when the entry comes back with a copy of the store.
	suspectSilence = 2 * time.Second
)

// Record is what a node publishes about itself.
type Record struct {
	// Node is the address at which other nodes reach it.
	Node model.NodeAddr `cbor:"1,keyasint" json:"node"`
	// Process is generated at each start.
	Process model.ProcessID `cbor:"2,keyasint" json:"process"`
	// Sequence increases with each change within one process.
	Sequence uint64        `cbor:"3,keyasint" json:"sequence"`
	Domain   model.Domain  `cbor:"4,keyasint" json:"domain"`
	Region   model.Region  `cbor:"5,keyasint" json:"region"`
	Service  model.Service `cbor:"6,keyasint" json:"service"`
	// Slots is the number of calls that the node's target runs at once.
	Slots int `cbor:"7,keyasint" json:"slots"`
	// State is the state of the node's target.
	State model.TargetState `cbor:"8,keyasint" json:"state"`
	// LinkMbps is the capacity of the node's link in Mbit/s, or 0 if it is not known.
	LinkMbps int `cbor:"9,keyasint,omitempty" json:"link_mbps,omitempty"`
	// Version is the version that the node's target states, if rollouts are in use.
	Version string `cbor:"10,keyasint,omitempty" json:"version,omitempty"`
}

const (
	// maxRecordSlots, maxLinkMbps and maxNameBytes bound what a record may state.
	maxRecordSlots = 10_000
	maxLinkMbps    = 1_000_000
	maxNameBytes   = 256
)

// Valid reports whether the record can be one of a node: the store may hold entries of other
// writers, and one without bounds would attract all calls or take the place of a watcher.
func (r Record) Valid() bool {
	return r.Node.Valid() && r.Slots >= 0 && r.Slots <= maxRecordSlots && r.LinkMbps >= 0 && r.LinkMbps <= maxLinkMbps &&
		max(len(r.Node), len(r.Domain), len(r.Region), len(r.Service), len(r.Version)) <= maxNameBytes
}

// member is a Record with the evidence that its node is alive.
type member struct {
	Record
	stored bool
	// suspect is set while an entry from a copy of the store is the only evidence that the
	// node is alive.
	suspect bool
	// lastContact is the time of the last direct contact, or when the node became
	// known.
	lastContact time.Time
	// changed is when the record last changed.
	changed time.Time
}

// Roster holds the records of the other nodes. It is not safe for concurrent use.
type Roster struct {
	self    model.NodeAddr
	members map[model.NodeAddr]*member
	dropped map[model.ProcessID]time.Time
	changed bool
}

// New returns an empty roster for the node with the address self.
func New(self model.NodeAddr) *Roster {
	return &Roster{self: self, members: make(map[model.NodeAddr]*member), dropped: make(map[model.ProcessID]time.Time)}
}

// PutStored applies one entry of the store.
func (r *Roster) PutStored(now time.Time, record Record) {
	if record.Node == r.self {
		return
	}
	m := r.members[record.Node]
	if m == nil || m.Process != record.Process || m.Sequence < record.Sequence {
		m = r.put(now, record)
	}
	m.stored = true
	r.trust(m)
}

// trust uses a member again.
func (r *Roster) trust(m *member) {
	r.changed = r.changed || m.suspect
	m.suspect = false
}

// ReplaceStored applies a complete listing of the store: members that it does not
// contain no longer count as stored.
func (r *Roster) ReplaceStored(now time.Time, records []Record) {
	listed := make(map[model.NodeAddr]bool, len(records))
	for _, record := range records {
		listed[record.Node] = true
		if m := r.members[record.Node]; m != nil && m.suspect && m.Record == record {
			continue // still the entry of the copy
		}
		r.PutStored(now, record)
	}
	for node, m := range r.members {
		m.stored = m.stored && listed[node]
	}
}

// ReplaceRestored applies the first listing of the store after it returned from a copy. An
// entry of a node that was gone before brings it back only after a message of the node:
// those are returned, to be contacted. Nodes that the copy lacks have unlistedTimeout to
// write their entries.
func (r *Roster) ReplaceRestored(now time.Time, records []Record) (suspects []model.NodeAddr) {
	listed := make(map[model.NodeAddr]bool, len(records))
	for _, record := range records {
		m := r.members[record.Node]
		droppedAt, dropped := r.dropped[record.Process]
		dropped = dropped && now.Sub(droppedAt) < droppedTTL
		switch {
		case m != nil && m.Process != record.Process && (dropped || now.Sub(m.lastContact) < unlistedTimeout):
			continue // the process in the copy was replaced
		case dropped || m != nil && m.Process == record.Process && !m.stored && now.Sub(m.lastContact) >= suspectSilence:
			if m == nil {
				m = r.put(now, record)
			}
			r.changed = true
			m.stored, m.suspect = true, true
			suspects = append(suspects, record.Node)
		default:
			r.PutStored(now, record)
		}
		listed[record.Node] = true
	}
	for node, m := range r.members {
		if m.stored && !listed[node] {
			m.stored, m.lastContact = false, now
		}
	}
	return suspects
}

// Unlisted returns the members whose entries the store lacks.
func (r *Roster) Unlisted() []model.NodeAddr {
	var out []model.NodeAddr
	for node, m := range r.members {
		if !m.stored {
			out = append(out, node)
		}
	}
	return out
}

// DeleteStored applies the deletion of an entry from the store.
func (r *Roster) DeleteStored(node model.NodeAddr) {
	if m := r.members[node]; m != nil {
		m.stored = false
	}
}

// Refresh applies a record received from the node itself, which proves that it
// is alive. It replaces the record of another process at the same address.
func (r *Roster) Refresh(now time.Time, record Record) {
	if record.Node == r.self || record.Node == "" {
		return
	}
	m := r.members[record.Node]
	if m == nil || m.Process != record.Process || m.Sequence <= record.Sequence {
		// At the same sequence the node's message has more recent values than
		// its store entry.
		m = r.put(now, record)
	}
	m.lastContact = now
	r.trust(m)
}

// MarkAlive records direct contact with a member that sent no record.
func (r *Roster) MarkAlive(now time.Time, node model.NodeAddr) {
	if m := r.members[node]; m != nil {
		m.lastContact = now
		r.trust(m)
	}
}

// PutIndirect applies records relayed by another node. It adds unknown nodes and
// newer records of known processes; it does not prove that they are alive.
func (r *Roster) PutIndirect(now time.Time, records []Record) {
	for _, record := range records {
		if record.Node == r.self || record.Node == "" {
			continue
		}
		if at, ok := r.dropped[record.Process]; ok && now.Sub(at) < droppedTTL {
			continue
		}
		m := r.members[record.Node]
		if m == nil || m.Process == record.Process && m.Sequence < record.Sequence {
			r.put(now, record)
		}
	}
}

// put replaces a record and keeps the evidence that the member is alive.
func (r *Roster) put(now time.Time, record Record) *member {
	m := r.members[record.Node]
	if m == nil {
		m = &member{lastContact: now}
		r.members[record.Node] = m
	}
	if m.Record != record {
		r.changed = true
		m.changed = now
	}
	m.Record = record
	return m
}

// Expire drops the members that are gone and returns their records. Readable
// reports whether the store's list is up to date.
func (r *Roster) Expire(now time.Time, readable bool) []Record {
	limit := outageTimeout
	if readable {
		limit = unlistedTimeout
	}
	var gone []Record
	for node, m := range r.members {
		if m.stored && readable || now.Sub(m.lastContact) < limit {
			continue
		}
		gone = append(gone, m.Record)
		r.dropped[m.Process] = now
		delete(r.members, node)
		r.changed = true
	}
	for process, at := range r.dropped {
		if now.Sub(at) >= droppedTTL {
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

// DomainOf returns the failure domain of a member.
func (r *Roster) DomainOf(node model.NodeAddr) (model.Domain, bool) {
	m := r.members[node]
	if m == nil {
		return "", false
	}
	return m.Domain, true
}

// Records returns the records of the members that may be used, sorted by address.
func (r *Roster) Records() []Record {
	out := make([]Record, 0, len(r.members))
	for _, m := range r.members {
		if !m.suspect {
			out = append(out, m.Record)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// ChangedSince returns up to limit records that changed after the given time, for
// nodes that are nearly up to date.
func (r *Roster) ChangedSince(since time.Time, limit int) []Record {
	var out []Record
	for _, m := range r.members {
		if m.changed.After(since) && !m.suspect && len(out) < limit {
			out = append(out, m.Record)
		}
	}
	return out
}

// Digest returns a hash of the records and the node's own one. It is equal on
// two nodes that hold the same records.
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
