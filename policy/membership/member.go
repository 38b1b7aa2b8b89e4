package membership

import (
	"bytes"
	"cmp"

	"github.com/cespare/xxhash/v2"

	"zinniafall/policy/model"
)

// Status is what the fleet knows of a member.
type Status uint8

// The statuses in the order in which they override each other within one
// version of a record.
const (
	// Alive members carry calls.
	Alive Status = iota
	// Leaving members finish what they run and get nothing new.
	Leaving
	// Gone members have left or were found dead by several observers.
	Gone
)

// String returns the status in lower case.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	default:
		return "gone"
	}
}

// Member is the record that a node keeps about itself and that all others
// copy. Only the node itself changes it, except that observers may set Status
// to Gone.
type Member struct {
	// Node is the peer address and the key of the record.
	Node model.NodeAddr `cbor:"1,keyasint"`
	// Operators is the address of the node's operator API.
	Operators string `cbor:"2,keyasint,omitempty"`
	// Process identifies the running process.
	Process model.ProcessID `cbor:"3,keyasint"`
	// Incarnation orders the processes at this address.
	Incarnation model.Incarnation `cbor:"4,keyasint"`
	// Version rises each time the node changes its own record.
	Version uint32 `cbor:"5,keyasint"`
	// Status of the member.
	Status Status `cbor:"6,keyasint,omitempty"`
	// Domain is the failure domain of the node.
	Domain model.Domain `cbor:"7,keyasint,omitempty"`
	// Region is the region of the failure domain.
	Region model.Region `cbor:"8,keyasint,omitempty"`
	// Service of the target beside the node; empty while there is none.
	Service model.Service `cbor:"9,keyasint,omitempty"`
	// Slots of the target.
	Slots uint16 `cbor:"10,keyasint,omitempty"`
	// Target is the state of the target.
	Target model.TargetState `cbor:"11,keyasint,omitempty"`
	// Left is true when the member itself announced that it is gone.
	Left bool `cbor:"12,keyasint,omitempty"`
}

// compare orders two records of one node: the higher incarnation wins, then
// the higher version, then the later status. The remaining fields only break
// ties between records that a faulty node made with the same version, so that
// all nodes keep the same one.
func compare(a, b *Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		bytes.Compare(a.Process[:], b.Process[:]),
		cmp.Compare(a.Version, b.Version),
		cmp.Compare(a.Status, b.Status),
		cmp.Compare(a.Target, b.Target),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Slots, b.Slots),
		cmp.Compare(a.Domain, b.Domain),
		cmp.Compare(a.Region, b.Region),
		cmp.Compare(a.Operators, b.Operators),
	)
}

// merge returns the record that overrides the other.
func merge(a, b Member) Member {
	if compare(&a, &b) >= 0 {
		return a
	}
	return b
}

// maxField bounds each text of a record, in bytes.
const maxField = 128

// valid reports whether the record may be kept.
func (m *Member) valid() bool {
	longest := max(len(m.Node), len(m.Operators), len(m.Domain), len(m.Region), len(m.Service))
	return m.Node != "" && m.Status <= Gone && longest <= maxField
}

// wireSize estimates the encoded length in bytes from above.
func (m *Member) wireSize() int {
	const fixed = 72
	return fixed + len(m.Node) + len(m.Operators) + len(m.Domain) + len(m.Region) + len(m.Service)
}

// foundDead reports whether observers called the member gone.
func (m *Member) foundDead() bool { return m.Status == Gone && !m.Left }

// key hashes the address of a node.
func key(node model.NodeAddr) uint64 { return xxhash.Sum64String(string(node)) }
