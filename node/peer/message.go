package peer

import (
	"bytes"
	"encoding/binary"
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

// Kind tells what a stream asks of the node at its other end.
type Kind uint8

// The kinds of request between nodes.
const (
	// KindCall asks the owner to run a call at its target.
	KindCall Kind = 1
	// KindKeyed asks the issuer of a request key to carry the call.
	KindKeyed Kind = 2
	// KindProbe asks the owner for its report.
	KindProbe Kind = 3
	// KindConfiguration asks for the configuration bundle.
	KindConfiguration Kind = 4
	// KindExchange compares what two nodes know of the fleet.
	KindExchange Kind = 5
)

const (
	// maxHeadBytes bounds the head of a request or answer, inline body included.
	maxHeadBytes = 256 << 10
	// maxHeadFields bounds the header fields of a call.
	maxHeadFields = 256
	// lengthBytes is the size of the length that precedes a frame.
	lengthBytes = 4
)

// Field is one header field.
type Field struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Request opens a stream. What follows it on the stream is the part of the
// body that is not inline, ended by the end of the stream.
type Request struct {
	Kind Kind `cbor:"1,keyasint"`
	// Revision is the configuration that the sender applies.
	Revision   model.Revision `cbor:"2,keyasint"`
	Service    model.Service  `cbor:"3,keyasint,omitempty"`
	Account    model.Account  `cbor:"4,keyasint,omitempty"`
	Method     string         `cbor:"5,keyasint,omitempty"`
	URI        string         `cbor:"6,keyasint,omitempty"`
	Host       string         `cbor:"7,keyasint,omitempty"`
	Header     []Field        `cbor:"8,keyasint,omitempty"`
	Idempotent bool           `cbor:"9,keyasint,omitempty"`
	// Timeout is what remains of the call's deadline when it was sent.
	Timeout time.Duration `cbor:"10,keyasint,omitempty"`
	// Allowance bounds the attempts of calls that the target makes in turn.
	Allowance int `cbor:"11,keyasint,omitempty"`
	// Depth counts the nested calls above this one.
	Depth int `cbor:"12,keyasint,omitempty"`
	// Isolated is set for a request suspected of crashing its target.
	Isolated bool `cbor:"13,keyasint,omitempty"`
	// Key is the request key that the caller sent.
	Key string `cbor:"14,keyasint,omitempty"`
	// Body is the whole body when Inline is set.
	Body   []byte `cbor:"15,keyasint,omitempty"`
	Inline bool   `cbor:"16,keyasint,omitempty"`
	// Length of a body that is not inline; -1 when unknown.
	Length int64 `cbor:"17,keyasint,omitempty"`
	// Fingerprint identifies equal requests for quarantine.
	Fingerprint [16]byte `cbor:"18,keyasint,omitempty"`
	// Notices are the encoded quarantine notices that concern the request.
	Notices [][]byte `cbor:"19,keyasint,omitempty"`
	// Trace is the sender's span as the text of a traceparent header.
	Trace string `cbor:"20,keyasint,omitempty"`
	// ID is the caller's own id of the request.
	ID string `cbor:"21,keyasint,omitempty"`
	// Class groups calls that take similarly long.
	Class string `cbor:"29,keyasint,omitempty"`
	// Priority orders calls that compete for the target; 0 is the highest.
	Priority int `cbor:"22,keyasint,omitempty"`
	// Objective is what remains of the time in which an answer is worth most.
	Objective time.Duration `cbor:"23,keyasint,omitempty"`
	// Elsewhere is true while the entry has another target to try.
	Elsewhere bool `cbor:"24,keyasint,omitempty"`
	// Hold lets a call that could go elsewhere wait for its slot.
	Hold bool `cbor:"28,keyasint,omitempty"`
	// Origin is the service on whose VM the call began.
	Origin model.Service `cbor:"26,keyasint,omitempty"`
	// From is the address of the entry.
	From model.NodeAddr `cbor:"27,keyasint,omitempty"`
}

// Answer opens the way back. An interim answer, Admitted, tells the sender to
// send a body that is not inline; the final answer's body follows it.
type Answer struct {
	Admitted bool           `cbor:"1,keyasint,omitempty"`
	Run      model.Run      `cbor:"2,keyasint,omitempty"`
	Problem  *problem.Error `cbor:"3,keyasint,omitempty"`
	Status   int            `cbor:"4,keyasint,omitempty"`
	Header   []Field        `cbor:"5,keyasint,omitempty"`
	// Length of the body; -1 when unknown.
	Length int64         `cbor:"6,keyasint,omitempty"`
	Report *model.Report `cbor:"7,keyasint,omitempty"`
	// Crash is the encoded notice of the crash in which the target died while
	// it ran the call.
	Crash []byte `cbor:"8,keyasint,omitempty"`
	// Body is the whole body when Inline is set.
	Body   []byte `cbor:"9,keyasint,omitempty"`
	Inline bool   `cbor:"10,keyasint,omitempty"`
	// Reached is true when the target was given the request, also when it
	// answered that it did not run it.
	Reached bool `cbor:"11,keyasint,omitempty"`
}

var (
	encodeMode = mustEncMode()
	decodeMode = strictcbor.Decoder(strictcbor.Limits{Elements: maxHeadFields, Pairs: maxHeadFields})

	// frames holds the buffers of messages that are being written or read.
	frames = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

// maxPooledFrame is the size in bytes above which a buffer is not kept.
const maxPooledFrame = 64 << 10

func getFrame() *bytes.Buffer {
	frame := frames.Get().(*bytes.Buffer)
	frame.Reset()
	return frame
}

func putFrame(frame *bytes.Buffer) {
	if frame.Cap() <= maxPooledFrame {
		frames.Put(frame)
	}
}

func mustEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// writeFrame writes one length-prefixed message in a single write.
func writeFrame(w io.Writer, message any) error {
	frame := getFrame()
	defer putFrame(frame)
	var length [lengthBytes]byte
	_, _ = frame.Write(length[:])
	if err := encodeMode.MarshalToBuffer(message, frame); err != nil {
		return oops.In("peer").Wrap(err)
	}
	size := frame.Len() - lengthBytes
	if size > maxHeadBytes {
		return oops.In("peer").Hint("Lower limits.header_bytes in the settings.").
			Errorf("a message of %d bytes is over the limit of %d", size, maxHeadBytes)
	}
	binary.BigEndian.PutUint32(frame.Bytes(), uint32(size))
	_, err := w.Write(frame.Bytes())
	return err
}

// readFrame reads one length-prefixed message. The decoder copies what the
// message keeps, so that the frame's buffer can serve the next one.
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

// Encode writes a message in the form in which nodes exchange it.
func Encode(w io.Writer, message any) error { return writeFrame(w, message) }

// Decode reads a message that Encode wrote.
func Decode(r io.Reader, message any) error { return readFrame(r, message) }

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

// readRaw reads the bytes of one length-prefixed message.
func readRaw(r io.Reader) ([]byte, error) {
	size, err := readLength(r)
	if err != nil {
		return nil, err
	}
	raw := make([]byte, size)
	_, err = io.ReadFull(r, raw)
	return raw, err
}

// FieldsOf lists the fields of an HTTP header, leaving out those that belong
// to one connection only.
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

// AddFields adds the fields to an HTTP header.
func AddFields(header http.Header, fields []Field) {
	for _, f := range fields {
		header[f.Name] = append(header[f.Name], f.Value)
	}
}

// perConnection reports whether RFC 9110 confines the field to one connection.
func perConnection(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}
