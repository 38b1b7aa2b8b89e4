package membership

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniafall/policy/model"
)

const (
	// bucketCount is the number of buckets that a digest covers.
	bucketCount = 256
	// bucketHashSize is the length of one bucket's hash in a digest, in bytes.
	bucketHashSize = 4
	digestSize     = bucketCount * bucketHashSize
)

// record is a Member with the local state that the table keeps for it.
type record struct {
	Member
	key uint64
	// stateHash is the record's part of its bucket's hash.
	stateHash uint32
	// changed is when the Member last changed in this view.
	changed time.Time
	// hidden is true while this node alone finds the member silent. The member is
	// then missing from this node's view; no other node is told.
	hidden bool
}

func (r *record) bucket() byte { return byte(r.key >> 56) }

// present reports whether the member is part of the rings and snapshots.
func (r *record) present() bool { return r.Status != Gone && !r.hidden }

// hashState returns the record's part of its bucket's hash. It is 0 for gone
// members, because nodes forget them at different times and their digests
// should not differ for that reason.
func (r *record) hashState() uint32 {
	if r.Status == Gone {
		return 0
	}
	var state [29]byte
	binary.LittleEndian.PutUint64(state[0:], r.key)
	binary.LittleEndian.PutUint64(state[8:], uint64(r.Incarnation))
	binary.LittleEndian.PutUint32(state[16:], r.Version)
	state[20] = byte(r.Status)
	copy(state[21:], r.Process[:8])
	return uint32(xxhash.Sum64(state[:]))
}

func (r *record) summary() summary {
	return summary{Key: r.key, Incarnation: r.Incarnation, Version: r.Version, Status: r.Status}
}

// olderThan reports whether the record is older than the summarized one.
func (r *record) olderThan(e summary) bool {
	if r.Incarnation != e.Incarnation {
		return r.Incarnation < e.Incarnation
	}
	if r.Version != e.Version {
		return r.Version < e.Version
	}
	return r.Status < e.Status
}

// table holds the records, indexed by address, key and bucket, and keeps the
// rings and the digest up to date.
type table struct {
	records      map[model.NodeAddr]*record
	byKey        map[uint64]*record
	buckets      [bucketCount][]*record
	bucketHashes [bucketCount]uint32
	rings        rings
	sorted       []*record
	// gone counts the members with status Gone, dead those of them that were
	// declared dead.
	gone int
	dead int
	// revision increases with each change of what a snapshot shows.
	revision uint64
	// ringRevision increases with each change of the rings.
	ringRevision uint64
}

func newTable() *table {
	return &table{records: make(map[model.NodeAddr]*record), byKey: make(map[uint64]*record)}
}

// apply merges a record if it is newer, and reports whether the table changed. A
// new incarnation is another process, so the member is no longer hidden.
func (t *table) apply(now time.Time, m Member) bool {
	r := t.records[m.Node]
	if r == nil {
		return t.insert(now, m)
	}
	if compare(&m, &r.Member) <= 0 {
		return false
	}
	t.change(r, func() {
		if m.Incarnation != r.Incarnation {
			r.hidden = false
		}
		r.Member = m
		r.changed = now
	})
	return true
}

func (t *table) insert(now time.Time, m Member) bool {
	if len(t.records) >= MaxMembers {
		return false
	}
	r := &record{Member: m, key: key(m.Node), changed: now}
	if t.byKey[r.key] != nil {
		return false
	}
	t.records[m.Node] = r
	t.byKey[r.key] = r
	t.buckets[r.bucket()] = append(t.buckets[r.bucket()], r)
	at, _ := t.find(m.Node)
	t.sorted = slices.Insert(t.sorted, at, r)
	r.stateHash = r.hashState()
	t.bucketHashes[r.bucket()] ^= r.stateHash
	t.addCounts(r, 1)
	if r.present() {
		t.rings.add(m.Node)
		t.ringRevision++
	}
	t.revision++
	return true
}

func (t *table) find(node model.NodeAddr) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, node, func(r *record, n model.NodeAddr) int {
		return strings.Compare(string(r.Node), string(n))
	})
}

func (t *table) addCounts(r *record, by int) {
	if r.Status == Gone {
		t.gone += by
	}
	if r.declaredDead() {
		t.dead += by
	}
}

// change applies a change to one record and updates everything derived from it.
func (t *table) change(r *record, apply func()) {
	wasPresent := r.present()
	t.addCounts(r, -1)
	t.bucketHashes[r.bucket()] ^= r.stateHash
	apply()
	r.stateHash = r.hashState()
	t.bucketHashes[r.bucket()] ^= r.stateHash
	t.addCounts(r, 1)
	t.revision++
	if wasPresent == r.present() {
		return
	}
	t.ringRevision++
	if wasPresent {
		t.rings.remove(r.Node)
		return
	}
	t.rings.add(r.Node)
}

// setHidden hides a member from this view or shows it again.
func (t *table) setHidden(r *record, lost bool) {
	if r.hidden != lost {
		t.change(r, func() { r.hidden = lost })
	}
}

// remove deletes the record of a gone member.
func (t *table) remove(r *record) {
	t.addCounts(r, -1)
	t.bucketHashes[r.bucket()] ^= r.stateHash
	delete(t.records, r.Node)
	delete(t.byKey, r.key)
	bucket := &t.buckets[r.bucket()]
	*bucket = slices.DeleteFunc(*bucket, func(other *record) bool { return other == r })
	if at, found := t.find(r.Node); found {
		t.sorted = slices.Delete(t.sorted, at, at+1)
	}
}

// expire deletes and returns the members that have been gone since before the
// deadline.
func (t *table) expire(deadline time.Time) []*record {
	var expired []*record
	for _, r := range t.sorted {
		if r.Status == Gone && r.changed.Before(deadline) {
			expired = append(expired, r)
		}
	}
	for _, r := range expired {
		t.remove(r)
	}
	return expired
}

// digest returns the hashes of all buckets.
func (t *table) digest() []byte {
	out := make([]byte, 0, digestSize)
	for _, sum := range t.bucketHashes {
		out = binary.LittleEndian.AppendUint32(out, sum)
	}
	return out
}

// differing returns the buckets whose hashes differ from those of a digest.
func (t *table) differing(digest []byte) []byte {
	var out []byte
	for i, sum := range t.bucketHashes {
		if binary.LittleEndian.Uint32(digest[i*bucketHashSize:]) != sum {
			out = append(out, byte(i))
		}
	}
	return out
}
