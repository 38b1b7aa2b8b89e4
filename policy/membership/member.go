package membership

import (
	"bytes"
	"cmp"

	"github.com/cespare/xxhash/v2"

	"zinniafall/policy/model"
)

// Status is the state of a member as known to the fleet.
type Status uint8

// The statuses. Within one version of a record a later one overrides an earlier
// one.
const (
	// Alive members take calls.
	Alive Status = iota
	// Leaving members finish their running calls and get no new ones.
	Leaving
	// Gone members have left or were declared dead by several observers.
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

// Member is the record of one node, replicated to all others. Only the node
// itself changes it, except that its observers may set Status to Gone.
type Member struct {
	// Node is the peer address and the key of the record.
	Node model.NodeAddr `cbor:"1,keyasint"`
	// Operators is the address of the node's operator API.
	Operators string `cbor:"2,keyasint,omitempty"`
	// Process identifies the running process.
	Process model.ProcessID `cbor:"3,keyasint"`
	// Incarnation orders the processes at this address.
	Incarnation model.Incarnation `cbor:"4,keyasint"`
	// Version increases with each change of the record by the node itself.
	Version uint32 `cbor:"5,keyasint"`
	Status  Status `cbor:"6,keyasint,omitempty"`
	// Domain is the failure domain of the node.
	Domain model.Domain `cbor:"7,keyasint,omitempty"`
	// Region is the region of the failure domain.
	Region model.Region `cbor:"8,keyasint,omitempty"`
	// Service is the service of the target beside the node; empty without a target.
	Service model.Service `cbor:"9,keyasint,omitempty"`
	// Slots is the number of calls that the target runs at once.
	Slots uint16 `cbor:"10,keyasint,omitempty"`
	// Target is the state of the target.
	Target model.TargetState `cbor:"11,keyasint,omitempty"`
	// Left is true when the member itself announced its end.
	Left bool `cbor:"12,keyasint,omitempty"`
}

// compare orders two records of one node: the higher incarnation wins, then the
// higher process ID, then the higher version, then the later status. The
// remaining fields only break ties between records that a faulty node made with
// the same version, so that all nodes keep the same one.
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

// maxFieldLength limits each text field of a record, in bytes.
const maxFieldLength = 128

// valid reports whether the record's fields are within their limits.
func (m *Member) valid() bool {
	longest := max(len(m.Node), len(m.Operators), len(m.Domain), len(m.Region), len(m.Service))
	return m.Node != "" && m.Status <= Gone && longest <= maxFieldLength
}

// wireSize returns an upper bound of the encoded length in bytes.
func (m *Member) wireSize() int {
	const fixed = 72
	return fixed + len(m.Node) + len(m.Operators) + len(m.Domain) + len(m.Region) + len(m.Service)
}

// declaredDead reports whether the member's observers declared it dead.
func (m *Member) declaredDead() bool { return m.Status == Gone && !m.Left }

// key returns the hash of a node's address that identifies it in digests.
func key(node model.NodeAddr) uint64 { return xxhash.Sum64String(string(node)) }
