package hop

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"zinniafall/node/peer"
	"zinniafall/node/sockets"
)

// Handler serves requests of other nodes.
type Handler interface {
	// ServeRequest answers one request. The context ends when the other node
	// cancels the request.
	ServeRequest(ctx context.Context, from string, stream *Stream)
}

// Server serves exchanges that other nodes open.
type Server struct {
	handler Handler

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	closed  bool
	serving sync.WaitGroup
}

// NewServer returns a server.
func NewServer(handler Handler) *Server {
	return &Server{handler: handler, conns: make(map[net.Conn]struct{})}
}

// Serve accepts connections until the listener is closed, and serves each in
// its own goroutine. It returns the error of Accept, or net.ErrClosed if it
// accepts a connection after Close.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		if !s.track(conn) {
			_ = conn.Close()
			return net.ErrClosed
		}
		go func() {
			defer s.untrack(conn)
			s.serve(conn)
		}()
	}
}

// track registers the connection for Close. It returns false if the server is
// closed.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.serving.Add(1)
	return true
}

// untrack closes the connection and ends what track registered.
func (s *Server) untrack(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	s.serving.Done()
}

// Close closes all connections and waits until their exchanges have ended. It
// does not close the listener.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.serving.Wait()
}

// Stream is a request that was received from another node, and the way to
// answer it.
type Stream struct {
	// Request is the message that opened the exchange.
	Request peer.Request

	conn net.Conn
	// chunks passes the body of the request from the reading goroutine; chunk
	// is the unread rest of the last part.
	chunks chan []byte
	chunk  []byte
	// bodyErr is why the body ended before its end marker. It is set before
	// chunks is closed.
	bodyErr error
	ctx     context.Context
	failed  bool
	// complete is set with the final answer, or after its body if one follows.
	complete bool
	// inline is Request.Inline as it was received.
	inline bool
	// long reports whether the body of the answer was long; see writeChunks.
	long bool
}

// readSize is the maximum size of one read of a body, in bytes.
const readSize = 16 << 10

// errCanceled is the error for reading a body that its sender did not complete.
var errCanceled = errors.New("the entry closed the exchange")

// serve handles the exchanges of one connection one after the other. A
// separate goroutine always reads from the connection, so that a close by the
// other end cancels the exchange at once.
func (s *Server) serve(conn net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	streams := make(chan *Stream)
	go func() {
		defer cancel()
		defer close(streams)
		readStreams(ctx, conn, streams)
	}()
	from := conn.RemoteAddr().String()
	long := false
	for stream := range streams {
		if long {
			sockets.SetSilentPeerTimeout(conn, sockets.SilentPeerTimeout)
		}
		s.handler.ServeRequest(ctx, from, stream)
		long = stream.long
		if !stream.reusable() {
			_ = conn.Close()
			break
		}
	}
	_ = conn.Close()
	for range streams { // unblocks the reading goroutine
	}
}

// readStreams reads the requests of a connection. A body that is not
// inline is read after its request was passed on. It returns when a request or
// body cannot be read, or when the context ends.
func readStreams(ctx context.Context, conn net.Conn, streams chan<- *Stream) {
	reader := bufio.NewReader(conn)
	for {
		stream := &Stream{conn: conn, ctx: ctx, chunks: make(chan []byte, 1)}
		if err := peer.Decode(reader, &stream.Request); err != nil {
			return
		}
		stream.inline = stream.Request.Inline
		select {
		case streams <- stream:
		case <-ctx.Done():
			return
		}
		if !stream.inline && !readBody(ctx, reader, stream) {
			return
		}
	}
}

// readBody passes the body on to the stream. The sender marks the end of the
// body even if the request was refused and the body was not requested. It
// reports whether the end marker was read, so that another request can follow.
func readBody(ctx context.Context, reader io.Reader, stream *Stream) bool {
	defer close(stream.chunks)
	body := &chunkReader{reader: reader}
	for {
		chunk := make([]byte, readSize)
		n, err := body.Read(chunk)
		if n > 0 {
			select {
			case stream.chunks <- chunk[:n]:
			case <-ctx.Done():
				stream.bodyErr = errCanceled
				return false
			}
		}
		if err == io.EOF {
			return true
		}
		if err != nil {
			stream.bodyErr = errors.Join(errCanceled, err)
			return false
		}
	}
}

// Read reads the body of the request. It returns io.EOF only after the end marker.
// If the sender closed the connection before, the error wraps errCanceled.
func (s *Stream) Read(p []byte) (int, error) {
	for len(s.chunk) == 0 {
		select {
		case chunk, ok := <-s.chunks:
			if !ok && s.bodyErr != nil {
				return 0, s.bodyErr
			}
			if !ok {
				return 0, io.EOF
			}
			s.chunk = chunk
		case <-s.ctx.Done():
			return 0, errCanceled
		}
	}
	n := copy(p, s.chunk)
	s.chunk = s.chunk[n:]
	return n, nil
}

// Answer sends an interim answer, which has Admitted set and asks for the body
// of the request, or the final answer. SendBody must follow a final answer
// unless it is inline or a problem.
func (s *Stream) Answer(answer *peer.Answer) error {
	if !answer.Admitted {
		s.complete = answer.Inline || answer.Problem != nil
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return peer.Encode(s.conn, answer)
}

// SendBody sends the body of the answer.
func (s *Stream) SendBody(body io.Reader) error {
	long, err := writeChunks(s.conn, body)
	s.long, s.complete = long, err == nil
	return err
}

// Fail causes the connection to be closed, so that the other node detects
// that the answer is incomplete.
func (s *Stream) Fail() { s.failed = true }

// reusable discards the rest of the request body and reports whether the
// connection can serve another exchange. It waits for the end of that body.
func (s *Stream) reusable() bool {
	if s.failed || !s.complete {
		return false
	}
	if s.inline {
		return true
	}
	for {
		select {
		case _, ok := <-s.chunks:
			if !ok {
				return s.bodyErr == nil && s.ctx.Err() == nil
			}
		case <-s.ctx.Done():
			return false
		}
	}
}
