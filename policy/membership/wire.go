package membership

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"zinniafall/policy/model"
	"zinniafall/policy/strictcbor"
)

// ErrMalformed is returned for a packet that no View sends: the sender runs an
// incompatible version, or the bytes were corrupted.
var ErrMalformed = errors.New("malformed membership packet; check that all nodes run compatible versions")

// ErrOversized is returned for a packet longer than MaxPacket.
var ErrOversized = errors.New("membership packet is too long; check that all nodes run compatible versions")

// packet is the unit exchanged between two views. Times are in microseconds of
// the sender's clock, which starts with its View.
type packet struct {
	// Incarnation and Version are those of the sender's own record.
	Incarnation model.Incarnation `cbor:"1,keyasint"`
	Version     uint32            `cbor:"2,keyasint"`
	// Sent is when the packet was created.
	Sent uint64 `cbor:"3,keyasint"`
	// Echo is the Sent field of the last packet received from the other side, which
	// arrived EchoDelay before this packet was created.
	Echo      uint64 `cbor:"4,keyasint,omitempty"`
	EchoDelay uint64 `cbor:"5,keyasint,omitempty"`
	// NeedReply requests an immediate reply.
	NeedReply bool `cbor:"6,keyasint,omitempty"`
	// NeedRecord requests the receiver's own record.
	NeedRecord bool `cbor:"7,keyasint,omitempty"`
	// Updates are records that the receiver may lack.
	Updates []Member `cbor:"8,keyasint,omitempty"`
	Floods  []flood  `cbor:"9,keyasint,omitempty"`
	Votes   []vote   `cbor:"10,keyasint,omitempty"`
	// Join requests all records in a part of the buckets.
	Join *joinPart `cbor:"11,keyasint,omitempty"`
	// Digest has one hash for each bucket.
	Digest []byte `cbor:"12,keyasint,omitempty"`
	// DigestSent marks a reply to the digest that the receiver sent at this time of
	// its own clock; DifferingBuckets is the number of buckets that differed.
	DigestSent       uint64 `cbor:"13,keyasint,omitempty"`
	DifferingBuckets int    `cbor:"14,keyasint,omitempty"`
	// CompleteBuckets lists the buckets whose records are all in Summaries.
	CompleteBuckets []byte    `cbor:"15,keyasint,omitempty"`
	Summaries       []summary `cbor:"16,keyasint,omitempty"`
	// WantedKeys requests the records with these keys.
	WantedKeys []uint64 `cbor:"17,keyasint,omitempty"`
	// Answers travel to the origin of a survey.
	Answers []answer `cbor:"18,keyasint,omitempty"`
}

// flood is a message sent to every node.
type flood struct {
	Origin      model.NodeAddr    `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64            `cbor:"3,keyasint"`
	Topic       Topic             `cbor:"4,keyasint"`
	Urgent      bool              `cbor:"5,keyasint,omitempty"`
	// Age is the age in microseconds when the packet was created, plus one; 0 when
	// it is unknown.
	Age     uint64 `cbor:"6,keyasint,omitempty"`
	Payload []byte `cbor:"7,keyasint"`
}

// vote is an observer's vote about a member.
type vote struct {
	Node        model.NodeAddr    `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	// Reachable is true when the observer still receives packets from the member.
	Reachable bool `cbor:"3,keyasint,omitempty"`
}

// joinPart selects the buckets whose number modulo Parts is Index.
type joinPart struct {
	Index uint8 `cbor:"1,keyasint"`
	Parts uint8 `cbor:"2,keyasint"`
}

// summary identifies one version of a record.
type summary struct {
	Key         uint64            `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	Version     uint32            `cbor:"3,keyasint"`
	Status      Status            `cbor:"4,keyasint,omitempty"`
}

// answer lists nodes that apply the revision a survey asked for.
type answer struct {
	Origin model.NodeAddr `cbor:"1,keyasint"`
	Survey uint64         `cbor:"2,keyasint"`
	Nodes  []uint32       `cbor:"3,keyasint"`
}

var decoder = strictcbor.Decoder(strictcbor.Limits{Elements: MaxPacket, Pairs: 32})

func decode(payload []byte) (*packet, error) {
	if len(payload) > MaxPacket {
		return nil, fmt.Errorf("%w: %d bytes", ErrOversized, len(payload))
	}
	p := new(packet)
	if err := decoder.Unmarshal(payload, p); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	if !p.valid() {
		return nil, fmt.Errorf("%w: a field is out of range", ErrMalformed)
	}
	return p, nil
}

func (p *packet) valid() bool {
	if len(p.Digest) != 0 && len(p.Digest) != digestSize {
		return false
	}
	if p.Join != nil && (p.Join.Parts == 0 || p.Join.Index >= p.Join.Parts) {
		return false
	}
	for i := range p.Updates {
		if !p.Updates[i].valid() {
			return false
		}
	}
	for i := range p.Floods {
		if p.Floods[i].Origin == "" || len(p.Floods[i].Payload) > MaxFlood {
			return false
		}
	}
	return true
}

// encode panics on failure, which cannot happen: a packet contains only types
// that cbor can encode.
func (p *packet) encode() []byte {
	payload, err := cbor.Marshal(p)
	if err != nil {
		panic(err)
	}
	return payload
}
