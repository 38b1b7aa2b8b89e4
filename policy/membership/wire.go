package membership

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"zinniafall/policy/model"
	"zinniafall/policy/strictcbor"
)

// ErrMalformed reports a packet that no View sends. The sender runs another
// version of the program, or the bytes were damaged.
var ErrMalformed = errors.New("malformed membership packet; check that all nodes run compatible versions")

// ErrOversized reports a packet above MaxPacket.
var ErrOversized = errors.New("membership packet is too long; check that all nodes run compatible versions")

// packet is what two views exchange. Times are in microseconds of the
// sender's clock, which starts with its View.
type packet struct {
	// Incarnation and Version are those of the sender's own record.
	Incarnation model.Incarnation `cbor:"1,keyasint"`
	Version     uint32            `cbor:"2,keyasint"`
	// Sent is when the packet was made.
	Sent uint64 `cbor:"3,keyasint"`
	// Echo is the Sent of the last packet received from the other side, which
	// arrived Hold before this packet was made.
	Echo uint64 `cbor:"4,keyasint,omitempty"`
	Hold uint64 `cbor:"5,keyasint,omitempty"`
	// Ask wants an answer at once.
	Ask bool `cbor:"6,keyasint,omitempty"`
	// NeedRecord wants the receiver's own record.
	NeedRecord bool `cbor:"7,keyasint,omitempty"`
	// Updates are records that the receiver may lack.
	Updates []Member `cbor:"8,keyasint,omitempty"`
	Floods  []flood  `cbor:"9,keyasint,omitempty"`
	Votes   []vote   `cbor:"10,keyasint,omitempty"`
	// Join wants all records of a part of the buckets.
	Join *joinPart `cbor:"11,keyasint,omitempty"`
	// Digest has one hash for each bucket.
	Digest []byte `cbor:"12,keyasint,omitempty"`
	// Compared answers the digest that was sent at this time of the
	// receiver's clock; Differing is the number of buckets that differed.
	Compared  uint64 `cbor:"13,keyasint,omitempty"`
	Differing int    `cbor:"14,keyasint,omitempty"`
	// Buckets lists the buckets whose records are all in Entries.
	Buckets []byte  `cbor:"15,keyasint,omitempty"`
	Entries []entry `cbor:"16,keyasint,omitempty"`
	// Wants lists the keys of records to send.
	Wants []uint64 `cbor:"17,keyasint,omitempty"`
	// Answers go to the node that asked a survey.
	Answers []answer `cbor:"18,keyasint,omitempty"`
}

// flood is a message for every node.
type flood struct {
	Origin      model.NodeAddr    `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64            `cbor:"3,keyasint"`
	Topic       Topic             `cbor:"4,keyasint"`
	Urgent      bool              `cbor:"5,keyasint,omitempty"`
	// Age is the age in microseconds when the packet was made, plus one; 0
	// when it is unknown.
	Age     uint64 `cbor:"6,keyasint,omitempty"`
	Payload []byte `cbor:"7,keyasint"`
}

// vote says what an observer thinks of a member.
type vote struct {
	Node        model.NodeAddr    `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	// Heard is true when the observer still hears the member.
	Heard bool `cbor:"3,keyasint,omitempty"`
}

// joinPart selects the buckets whose number modulo Of is Index.
type joinPart struct {
	Index uint8 `cbor:"1,keyasint"`
	Of    uint8 `cbor:"2,keyasint"`
}

// entry sums up one record.
type entry struct {
	Key         uint64            `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	Version     uint32            `cbor:"3,keyasint"`
	Status      Status            `cbor:"4,keyasint,omitempty"`
}

// answer lists nodes on which a surveyed revision is in force.
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
	if p.Join != nil && (p.Join.Of == 0 || p.Join.Index >= p.Join.Of) {
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

// encode never fails: a packet holds only types that cbor can write.
func (p *packet) encode() []byte {
	payload, err := cbor.Marshal(p)
	if err != nil {
		panic(err)
	}
	return payload
}
