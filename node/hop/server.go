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
)

// Handler serves what other nodes ask.
type Handler interface {
	// ServeRequest answers one request; the context ends when the other node
	// cancels it.
	ServeRequest(ctx context.Context, from string, stream *Stream)
}

// Server takes exchanges that other nodes open.
type Server struct {
	handler Handler

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	duties sync.WaitGroup
}

// NewServer returns a server.
func NewServer(handler Handler) *Server {
	return &Server{handler: handler, conns: make(map[net.Conn]struct{})}
}

// Serve accepts connections until the listener is closed.
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

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.duties.Add(1)
	return true
}

func (s *Server) untrack(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	s.duties.Done()
}

// Close ends all connections and waits for their exchanges.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.duties.Wait()
}

// Stream is a request that another node sent.
type Stream struct {
	// Request is the message that opened the exchange.
	Request peer.Request

	conn   net.Conn
	body   chan []byte
	piece  []byte
	ctx    context.Context
	failed bool
	final  bool
	inline bool
}

// readSize bounds one read of a body, in bytes.
const readSize = 16 << 10

// errCanceled ends a body whose sender went away.
var errCanceled = errors.New("the entry closed the exchange")

// serve takes the exchanges of one connection, one after the other. A reader
// goroutine always waits for the other end, so that its close cancels the
// exchange at once.
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
	for stream := range streams {
		s.handler.ServeRequest(ctx, from, stream)
		if !stream.end() {
			_ = conn.Close()
			break
		}
	}
	_ = conn.Close()
	for range streams { // lets the reader end
	}
}

func readStreams(ctx context.Context, conn net.Conn, streams chan<- *Stream) {
	reader := bufio.NewReader(conn)
	for {
		stream := &Stream{conn: conn, ctx: ctx, body: make(chan []byte, 1)}
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

// readBody hands the pieces of a body on. The sender ends the body also when
// the request was refused and nobody asked for it.
func readBody(ctx context.Context, reader io.Reader, stream *Stream) bool {
	defer close(stream.body)
	body := &pieces{reader: reader}
	for {
		piece := make([]byte, readSize)
		n, err := body.Read(piece)
		if n > 0 {
			select {
			case stream.body <- piece[:n]:
			case <-ctx.Done():
				return false
			}
		}
		if err != nil {
			return err == io.EOF
		}
	}
}

// Read reads the body.
func (s *Stream) Read(p []byte) (int, error) {
	for len(s.piece) == 0 {
		select {
		case piece, ok := <-s.body:
			if !ok && s.ctx.Err() != nil {
				return 0, errCanceled
			}
			if !ok {
				return 0, io.EOF
			}
			s.piece = piece
		case <-s.ctx.Done():
			return 0, errCanceled
		}
	}
	n := copy(p, s.piece)
	s.piece = s.piece[n:]
	return n, nil
}

// Answer sends an answer. Unless it is inline or a problem, a body follows.
func (s *Stream) Answer(answer *peer.Answer) error {
	if !answer.Admitted {
		s.final = answer.Inline || answer.Problem != nil
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return peer.Encode(s.conn, answer)
}

// SendBody sends the body of the answer.
func (s *Stream) SendBody(body io.Reader) error {
	err := writePieces(s.conn, body)
	s.final = err == nil
	return err
}

// Fail closes the connection, so that the other node sees that the answer is
// not whole.
func (s *Stream) Fail() { s.failed = true }

// end reports whether the connection can carry another exchange.
func (s *Stream) end() bool {
	if s.failed || !s.final {
		return false
	}
	if s.inline {
		return true
	}
	for {
		select {
		case _, ok := <-s.body:
			if !ok {
				return s.ctx.Err() == nil
			}
		case <-s.ctx.Done():
			return false
		}
	}
}
