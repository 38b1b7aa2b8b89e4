package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"

	"github.com/quic-go/quic-go"
	"github.com/samber/oops"

	"zinniafall/policy/model"
)

// ErrNotSent reports that no node has received the whole message that opens the
// request, so that it did not run.
var ErrNotSent = errors.New("the request was not sent")

// ErrOutcomeUnknown reports that the request was sent and no complete answer
// arrived: it may have run.
var ErrOutcomeUnknown = errors.New("the connection was lost before the answer")

// dial opens a QUIC connection to a node within the time of ctx. It does not use
// the links of the transport.
func (t *Transport) dial(ctx context.Context, node model.NodeAddr) (*quic.Conn, error) {
	addr, err := net.ResolveUDPAddr("udp", string(node))
	if err != nil {
		return nil, oops.In("peer").Wrap(err)
	}
	return t.quic.Dial(ctx, addr, t.opts.Identity.ClientConfig(), quicConfig())
}

// Exchange is a request in flight together with its answer.
type Exchange struct {
	link   *link
	stream *quic.Stream
	// stop removes the cancellation of the exchange at the end of its context.
	stop func() bool
	once sync.Once
}

// Open sends the frame of a request and returns the exchange. After an error
// that wraps ErrNotSent the other node has received nothing. The end of ctx
// cancels the whole exchange. A request that has no body to follow also ends the
// sending direction here; otherwise SendBody does. The caller must call Close.
func (t *Transport) Open(ctx context.Context, to model.NodeAddr, request *Request) (*Exchange, error) {
	l, stream, err := t.openStream(ctx, to)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	l.active.Add(1)
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(codeCanceled)
		stream.CancelWrite(codeCanceled)
	})
	x := &Exchange{link: l, stream: stream, stop: stop}
	if err := writeFrame(stream, request); err != nil {
		x.Close()
		if errors.Is(err, errFrameRefused) {
			return nil, errors.Join(ErrNotSent, err)
		}
		return nil, errors.Join(ErrOutcomeUnknown, err)
	}
	if request.Inline || request.Kind == KindProbe || request.Kind == KindConfiguration {
		_ = stream.Close()
	}
	return x, nil
}

// openStream waits until the link to a node is open and then opens a stream on
// it. ctx ends the wait but not the dial, which other calls may also wait for.
func (t *Transport) openStream(ctx context.Context, to model.NodeAddr) (*link, *quic.Stream, error) {
	l, err := t.link(to)
	if err != nil {
		return nil, nil, err
	}
	select {
	case <-l.ready:
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
	if l.err != nil {
		return nil, nil, l.err
	}
	stream, err := l.conn.OpenStreamSync(ctx)
	return l, stream, err
}

// SendBody sends a body that is not inline. An error of the reader resets the
// stream, so that the receiver never takes a partial body for a complete one.
func (x *Exchange) SendBody(body io.Reader) error {
	if _, err := io.Copy(x.stream, body); err != nil {
		x.stream.CancelWrite(codeFailed)
		return err
	}
	return x.stream.Close()
}

// Receive reads the next answer frame. Every error wraps ErrOutcomeUnknown.
func (x *Exchange) Receive() (*Answer, error) {
	answer := new(Answer)
	if err := readFrame(x.stream, answer); err != nil {
		return nil, errors.Join(ErrOutcomeUnknown, err)
	}
	return answer, nil
}

// Read reads the body of the final answer. It returns io.EOF only after the
// complete body; a stream that was reset returns another error.
func (x *Exchange) Read(p []byte) (int, error) { return x.stream.Read(p) }

// Close ends the exchange and cancels reads and writes in progress. Further calls
// have no effect.
func (x *Exchange) Close() {
	x.once.Do(func() {
		x.stop()
		x.stream.CancelRead(codeCanceled)
		x.stream.CancelWrite(codeCanceled)
		x.link.active.Add(-1)
	})
}

// Stream is a request received from another node.
type Stream struct {
	// Request is the frame that opened the stream.
	Request Request

	stream *quic.Stream
	failed bool
}

// Read reads the body of a request that is not inline.
func (s *Stream) Read(p []byte) (int, error) { return s.stream.Read(p) }

// Answer writes an answer frame.
func (s *Stream) Answer(answer *Answer) error { return writeFrame(s.stream, answer) }

// Write writes a part of the answer's body.
func (s *Stream) Write(p []byte) (int, error) { return s.stream.Write(p) }

// Fail resets the stream, so that the other node detects an incomplete answer.
func (s *Stream) Fail() {
	s.failed = true
	s.stream.CancelWrite(codeFailed)
}

// finish closes both directions of the stream after ServeRequest has returned.
func (s *Stream) finish() {
	s.stream.CancelRead(codeClosedStream)
	if !s.failed {
		_ = s.stream.Close()
	}
}

// codeClosedStream cancels the unread rest of a request that was answered.
const codeClosedStream quic.StreamErrorCode = 0

// writeRaw writes an encoded message with its length in a single write.
func writeRaw(w io.Writer, payload []byte) error {
	frame := make([]byte, lengthBytes, lengthBytes+len(payload))
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	_, err := w.Write(append(frame, payload...))
	return err
}
