package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/strictcbor"
)

// Kind is the type of a request between nodes.
type Kind uint8

// The kinds of request.
const (
	// KindCall asks the owner of a target to run a call at it.
	KindCall Kind = 1
	// KindKeyed asks the issuer of a request key to forward a call.
	KindKeyed Kind = 2
	// KindProbe asks the owner of a target for its report.
	KindProbe Kind = 3
	// KindConfiguration asks for the configuration bundle.
	KindConfiguration Kind = 4
	// KindExchange synchronizes the membership views of two nodes.
	KindExchange Kind = 5
	// KindRollout passes the state of a rollout to an owner or another controller and
	// asks for the owner's report.
	KindRollout Kind = 6
	// KindProof asks a node for the proof that its configuration is current.
	KindProof Kind = 7
	// KindQuota asks for tokens of accounts' quotas, and for what granting them needs.
	KindQuota Kind = 8
)

const (
	// maxHeadBytes bounds the frame of a request or an answer in bytes,
	// including an inline body.
	maxHeadBytes = 256 << 10
	// maxHeadFields bounds the number of header fields of a call: as many of the shortest
	// as fit the longest header that a node accepts from callers.
	maxHeadFields = 16 << 10
	// maxPairs bounds the fields of a message.
	maxPairs = 256
	// lengthBytes is the size in bytes of the length prefix of a frame.
	lengthBytes = 4
)

// Field is one header field.
type Field struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Request is the first frame of a stream. A body that is not inline follows it
// and ends with the stream.
type Request struct {
	Kind Kind `cbor:"1,keyasint"`
	// Revision is the configuration in force at the sender.
	Revision   model.Revision `cbor:"2,keyasint"`
	Service    model.Service  `cbor:"3,keyasint,omitempty"`
	Account    model.Account  `cbor:"4,keyasint,omitempty"`
	Method     string         `cbor:"5,keyasint,omitempty"`
	URI        string         `cbor:"6,keyasint,omitempty"`
	Host       string         `cbor:"7,keyasint,omitempty"`
	Header     []Field        `cbor:"8,keyasint,omitempty"`
	Idempotent bool           `cbor:"9,keyasint,omitempty"`
	// Timeout is the time left until the call's deadline when the request was
	// sent.
	Timeout time.Duration `cbor:"10,keyasint,omitempty"`
	// Allowance bounds the attempts of the nested calls that the target makes.
	Allowance int `cbor:"11,keyasint,omitempty"`
	// Depth is the number of calls that this one is nested in.
	Depth int `cbor:"12,keyasint,omitempty"`
	// Isolated marks a request that is suspected of crashing its target.
	Isolated bool `cbor:"13,keyasint,omitempty"`
	// Key is the request key that the caller sent.
	Key string `cbor:"14,keyasint,omitempty"`
	// Body is the complete body when Inline is set.
	Body   []byte `cbor:"15,keyasint,omitempty"`
	Inline bool   `cbor:"16,keyasint,omitempty"`
	// Length is the size in bytes of a body that is not inline; -1 means
	// unknown.
	Length int64 `cbor:"17,keyasint,omitempty"`
	// Fingerprint is the same for equal requests; quarantine matches by it.
	Fingerprint [16]byte `cbor:"18,keyasint,omitempty"`
	// Notices are the encoded quarantine notices that concern the request.
	Notices [][]byte `cbor:"19,keyasint,omitempty"`
	// Trace is the sender's span in the format of a traceparent header.
	Trace string `cbor:"20,keyasint,omitempty"`
	// ID is the caller's own id of the request.
	ID string `cbor:"21,keyasint,omitempty"`
	// Class groups calls of similar service time.
	Class string `cbor:"29,keyasint,omitempty"`
	// Priority orders calls that compete for the target; 0 is the highest.
	Priority int `cbor:"22,keyasint,omitempty"`
	// Objective is the time left, when the request was sent, in which the answer
	// should arrive. A later answer is worth less.
	Objective time.Duration `cbor:"23,keyasint,omitempty"`
	// Elsewhere is set while the entry has another target for failover.
	Elsewhere bool `cbor:"24,keyasint,omitempty"`
	// Hold lets a call with Elsewhere set wait for a slot at this target.
	Hold bool `cbor:"28,keyasint,omitempty"`
	// Origin is the service on whose VM the call started.
	Origin model.Service `cbor:"26,keyasint,omitempty"`
	// From is the address of the entry, the node that the caller called.
	From model.NodeAddr `cbor:"27,keyasint,omitempty"`
	// Updates asks for the configuration as updates from the one whose content Base
	// identifies; 0 means none.
	Updates bool   `cbor:"30,keyasint,omitempty"`
	Base    uint64 `cbor:"31,keyasint,omitempty"`
	// Bulk marks a call with a large body and little urgency, such as an upload.
	Bulk bool `cbor:"32,keyasint,omitempty"`
}

// Answer is a frame sent back on a request's stream. An interim answer, with
// Admitted set, asks the sender for a body that is not inline. The final
// answer is followed by its own body unless that is inline.
type Answer struct {
	Admitted bool           `cbor:"1,keyasint,omitempty"`
	Run      model.Run      `cbor:"2,keyasint,omitempty"`
	Problem  *problem.Error `cbor:"3,keyasint,omitempty"`
	Status   int            `cbor:"4,keyasint,omitempty"`
	Header   []Field        `cbor:"5,keyasint,omitempty"`
	// Length is the size of the body in bytes; -1 means unknown.
	Length int64         `cbor:"6,keyasint,omitempty"`
	Report *model.Report `cbor:"7,keyasint,omitempty"`
	// Crash is the encoded notice of a crash of the target while it ran the
	// call.
	Crash []byte `cbor:"8,keyasint,omitempty"`
	// Body is the complete body when Inline is set.
	Body   []byte `cbor:"9,keyasint,omitempty"`
	Inline bool   `cbor:"10,keyasint,omitempty"`
	// Reached is set when the request was sent to the target, even if the
	// target answered that it did not run it.
	Reached bool `cbor:"11,keyasint,omitempty"`
	// Updates is set if the body holds updates of the configuration.
	Updates bool `cbor:"12,keyasint,omitempty"`
	// Alternatives are nodes that have the configuration that this one is too busy to
	// send.
	Alternatives []model.NodeAddr `cbor:"13,keyasint,omitempty"`
}

// CheckResponse returns an error if a final answer without a problem holds no response that a
// caller can get. A node of an earlier release passes on any status of its target.
func (a *Answer) CheckResponse() error {
	if a.Problem == nil && (a.Status < http.StatusOK || a.Status > maxStatus) {
		return errMalformedResponse
	}
	return nil
}

// maxStatus is the greatest status code of RFC 9110.
const maxStatus = 599

var errMalformedResponse = errors.New("the other node's answer has no status from 200 to 599")

var (
	encodeMode = mustEncodeMode()
	decodeMode = strictcbor.Decoder(strictcbor.Limits{Elements: maxHeadFields, Pairs: maxPairs, AnyBytes: true})

	// framePool holds buffers for messages being written or read.
	framePool = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

// maxPooledFrameBytes is the capacity above which a buffer is not returned to
// framePool.
const maxPooledFrameBytes = 64 << 10

func getFrame() *bytes.Buffer {
	frame := framePool.Get().(*bytes.Buffer)
	frame.Reset()
	return frame
}

func putFrame(frame *bytes.Buffer) {
	if frame.Cap() <= maxPooledFrameBytes {
		framePool.Put(frame)
	}
}

func mustEncodeMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// errFrameRefused reports a message of which no byte was written.
var errFrameRefused = errors.New("the message cannot be encoded")

// writeFrame writes one length-prefixed message in a single write. A message over
// maxHeadBytes is an error and nothing of it is written.
func writeFrame(w io.Writer, message any) error {
	frame := getFrame()
	defer putFrame(frame)
	var length [lengthBytes]byte
	_, _ = frame.Write(length[:])
	if err := encodeMode.MarshalToBuffer(message, frame); err != nil {
		return oops.In("peer").Wrap(errors.Join(errFrameRefused, err))
	}
	size := frame.Len() - lengthBytes
	if size > maxHeadBytes {
		return oops.In("peer").Hint("Lower limits.header_bytes in the settings.").
			Wrapf(errFrameRefused, "a message of %d bytes is over the limit of %d", size, maxHeadBytes)
	}
	binary.BigEndian.PutUint32(frame.Bytes(), uint32(size))
	_, err := w.Write(frame.Bytes())
	return err
}

// readFrame reads one length-prefixed message. The decoder copies the bytes
// that the message keeps, so the buffer can be reused.
func readFrame(r io.Reader, message any) error {
	size, err := readLength(r)
	if err != nil {
		return err
	}
	frame := getFrame()
	defer putFrame(frame)
	if _, err := io.CopyN(frame, r, int64(size)); err != nil {
		return err
	}
	return decodeMode.Unmarshal(frame.Bytes(), message)
}

// Encode writes a message in the wire format between nodes.
func Encode(w io.Writer, message any) error { return writeFrame(w, message) }

// Decode reads a message written by Encode.
func Decode(r io.Reader, message any) error { return readFrame(r, message) }

// readLength reads the length prefix of a frame. A length over maxHeadBytes is an
// oops error, by which readControl detects it; read errors are returned unchanged.
func readLength(r io.Reader) (uint32, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return 0, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxHeadBytes {
		return 0, oops.In("peer").Hint("Check that all nodes run the same release.").
			Errorf("a message of %d bytes is over the limit of %d", size, maxHeadBytes)
	}
	return size, nil
}

// readRaw reads one length-prefixed message without decoding it.
func readRaw(r io.Reader) ([]byte, error) {
	size, err := readLength(r)
	if err != nil {
		return nil, err
	}
	raw := make([]byte, size)
	_, err = io.ReadFull(r, raw)
	return raw, err
}

// FieldsOf returns the fields of an HTTP header without the hop-by-hop ones.
func FieldsOf(header http.Header) []Field {
	fields := make([]Field, 0, len(header))
	for name, values := range header {
		if perConnection(name) {
			continue
		}
		for _, value := range values {
			fields = append(fields, Field{Name: name, Value: value})
		}
	}
	return fields
}

// AddFields adds fields to an HTTP header.
func AddFields(header http.Header, fields []Field) {
	for _, f := range fields {
		header[f.Name] = append(header[f.Name], f.Value)
	}
}

// perConnection reports whether a field applies to a single connection by RFC 9110.
func perConnection(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}
