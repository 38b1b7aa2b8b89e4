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
	// bucketCount is the number of buckets that a digest compares.
	bucketCount = 256
	// bucketBytes is the length of one bucket's hash in a digest.
	bucketBytes = 4
	digestSize  = bucketCount * bucketBytes
)

// record is a Member with what the table keeps beside it.
type record struct {
	Member
	key uint64
	// sum is the hash of what identifies this state of the record.
	sum uint32
	// changed is when this state arrived here.
	changed time.Time
	// lost is set when the own node alone finds the member silent; it hides
	// the member here and is told to nobody.
	lost bool
}

func (r *record) bucket() byte { return byte(r.key >> 56) }

// present reports whether the member takes part in the rings and snapshots.
func (r *record) present() bool { return r.Status != Gone && !r.lost }

// summarize returns 0 for gone members, because nodes forget them at
// different times and digests should not differ by that.
func (r *record) summarize() uint32 {
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

func (r *record) entry() entry {
	return entry{Key: r.key, Incarnation: r.Incarnation, Version: r.Version, Status: r.Status}
}

// older reports whether the record is older than what the entry sums up.
func (r *record) older(e entry) bool {
	if r.Incarnation != e.Incarnation {
		return r.Incarnation < e.Incarnation
	}
	if r.Version != e.Version {
		return r.Version < e.Version
	}
	return r.Status < e.Status
}

// table holds the records by address, by key and by bucket, with the rings
// and the digest kept up to date.
type table struct {
	records map[model.NodeAddr]*record
	byKey   map[uint64]*record
	buckets [bucketCount][]*record
	sums    [bucketCount]uint32
	rings   rings
	sorted  []*record
	// gone counts the members with status Gone, dead those among them that
	// observers found dead.
	gone int
	dead int
	// revision rises with each change of what a snapshot shows.
	revision uint64
	// ringRevision rises with each change of the rings.
	ringRevision uint64
}

func newTable() *table {
	return &table{records: make(map[model.NodeAddr]*record), byKey: make(map[uint64]*record)}
}

// apply merges a record and reports whether it changed anything.
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
			r.lost = false
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
	r.sum = r.summarize()
	t.sums[r.bucket()] ^= r.sum
	t.count(r, 1)
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

func (t *table) count(r *record, by int) {
	if r.Status == Gone {
		t.gone += by
	}
	if r.foundDead() {
		t.dead += by
	}
}

// change runs a change of one record and keeps all that depends on it.
func (t *table) change(r *record, apply func()) {
	wasPresent := r.present()
	t.count(r, -1)
	t.sums[r.bucket()] ^= r.sum
	apply()
	r.sum = r.summarize()
	t.sums[r.bucket()] ^= r.sum
	t.count(r, 1)
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

// setLost hides a member in this view only, or shows it again.
func (t *table) setLost(r *record, lost bool) {
	if r.lost != lost {
		t.change(r, func() { r.lost = lost })
	}
}

// remove forgets a record that is gone.
func (t *table) remove(r *record) {
	t.count(r, -1)
	t.sums[r.bucket()] ^= r.sum
	delete(t.records, r.Node)
	delete(t.byKey, r.key)
	bucket := &t.buckets[r.bucket()]
	*bucket = slices.DeleteFunc(*bucket, func(other *record) bool { return other == r })
	if at, found := t.find(r.Node); found {
		t.sorted = slices.Delete(t.sorted, at, at+1)
	}
}

// expire forgets members that have been gone since before the deadline and
// returns them.
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
	for _, sum := range t.sums {
		out = binary.LittleEndian.AppendUint32(out, sum)
	}
	return out
}

// differing returns the buckets whose hashes differ from a digest.
func (t *table) differing(digest []byte) []byte {
	var out []byte
	for i, sum := range t.sums {
		if binary.LittleEndian.Uint32(digest[i*bucketBytes:]) != sum {
			out = append(out, byte(i))
		}
	}
	return out
}
