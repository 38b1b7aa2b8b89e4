// Package front is an HTTP/1.1 server for callers that pipeline. It reads the
// next request of a connection while earlier ones are carried, hands them to
// the handler side by side, and returns the answers in the order in which the
// requests came. Because it always reads ahead, it notices at once when a
// caller closes its connection, and cancels what was under way for it.
package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPipelined bounds the requests of one connection that are carried at
	// once; a deeper pipeline waits in the kernel's buffer.
	maxPipelined = 32
	// wholeBody is the length in bytes up to which a body is read before the
	// request is handed on. Longer ones stream.
	wholeBody = 256 << 10
	// bodyTimeout bounds a pause in a body.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds the time in which a caller takes a piece of answer.
	writeTimeout = 10 * time.Second
	// lingerTime bounds the wait for a caller to take the last answer.
	lingerTime = 500 * time.Millisecond
	// readSlack is what the buffer may read beyond the header, in bytes.
	readSlack = 4 << 10
	// unlimited lets a body be read; its own limit binds.
	unlimited = int64(1) << 62
)

// Request is one request of a caller.
type Request struct {
	*http.Request
	// Body is the whole body when Rest is nil, otherwise its first part.
	Body []byte
	// Rest is the remainder of a long body.
	Rest io.Reader
	// Length of the body; -1 when the caller did not state it.
	Length int64
	// Received is when the header was complete.
	Received time.Time
}

// Path returns the path as the caller wrote it, without the query.
func (r *Request) Path() string {
	if strings.HasPrefix(r.RequestURI, "/") {
		path, _, _ := strings.Cut(r.RequestURI, "?")
		return path
	}
	return r.URL.EscapedPath()
}

// Response is the answer to one request.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body when Stream is nil.
	Body []byte
	// Stream is a body that is passed on as it comes; only io.EOF ends it well.
	Stream io.ReadCloser
	// Length of Stream; -1 when unknown.
	Length int64
	// Abort closes the connection without an answer.
	Abort bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Options configure a Server.
type Options struct {
	// Handle carries one request. The context ends when the caller leaves.
	Handle func(context.Context, *Request) *Response
	// Reject answers what is not a proper request, with the status.
	Reject func(status int, detail string) *Response
	// Limits returns the limits in force.
	Limits func() Limits
	// MaxConnections bounds the callers' connections.
	MaxConnections int
}

// Server serves callers.
type Server struct {
	opts Options
	// stopping is true when answers ask callers to close, ending when no further
	// request may begin.
	stopping atomic.Bool
	ending   atomic.Bool
	open     atomic.Int64
	refused  atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a server.
func New(opts Options) *Server {
	return &Server{opts: opts, conns: make(map[*conn]struct{})}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() {
				time.Sleep(5 * time.Millisecond)
				continue
			}
			return err
		}
		if s.open.Add(1) > int64(s.opts.MaxConnections) {
			s.open.Add(-1)
			s.refused.Add(1)
			_ = c.Close()
			continue
		}
		go s.serve(c)
	}
}

// RefusedConnections returns the number of connections closed at the limit.
func (s *Server) RefusedConnections() int64 { return s.refused.Load() }

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int64 { return s.open.Load() }

// DisableKeepAlives asks callers, from now on, to close their connection after the next
// answer.
func (s *Server) DisableKeepAlives() { s.stopping.Store(true) }

// Busy reports whether a request is under way or arriving.
func (s *Server) Busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.busy() {
			return true
		}
	}
	return false
}

// CloseIdle closes the connections on which nothing is under way, and lets no
// further request begin on the others.
func (s *Server) CloseIdle() {
	s.ending.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
	}
}

// conn is one caller's connection.
type conn struct {
	server  *Server
	net     net.Conn
	limit   *io.LimitedReader
	reader  *bufio.Reader
	ctx     context.Context
	cancel  context.CancelFunc
	answers chan *slot

	mu      sync.Mutex
	pending int
	reading bool // a request has begun to arrive
	closed  bool
}

// slot holds the place of one answer.
type slot struct {
	ready    chan *Response
	method   string
	last     bool // the connection ends after this answer
	http10   bool
	interim  bool // a 100 Continue, not an answer
	bodyDone chan struct{}
}

func (s *Server) serve(nc net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{server: s, net: nc, ctx: ctx, cancel: cancel, answers: make(chan *slot, maxPipelined)}
	c.limit = &io.LimitedReader{R: nc}
	c.reader = bufio.NewReader(c.limit)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	c.read()
	close(c.answers)
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		c.watch()
	}()
	<-written
	c.linger(gone)
	cancel()
	_ = nc.Close()
	<-gone
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.open.Add(-1)
}

// watch cancels what is under way when the caller closes a connection that
// takes no further request.
func (c *conn) watch() {
	c.limit.N = unlimited
	_ = c.net.SetReadDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, c.reader)
	c.cancel()
}

// linger gives the caller time to read the last answer: closing a connection
// with unread bytes would reset it and could destroy the answer on its way.
func (c *conn) linger(gone <-chan struct{}) {
	half, ok := c.net.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	timer := time.NewTimer(lingerTime)
	defer timer.Stop()
	select {
	case <-gone:
	case <-timer.C:
	}
}

// closeIdle closes the connection unless a request is under way or arriving.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 || c.reading || c.closed {
		return
	}
	c.closed = true
	_ = c.net.Close()
}

// begin notes that a request arrives; false when the connection takes none.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = !c.closed && !c.server.ending.Load()
	return c.reading
}

// lastWhenStopping reports whether the answer at hand is the last of a stopping
// server's connection. What the caller sent in a row is answered before, and
// nothing begins after.
func (c *conn) lastWhenStopping() bool {
	if !c.server.stopping.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 1 || c.reading {
		return false
	}
	c.closed = true
	return true
}

// read takes requests until the caller or an error ends the connection.
func (c *conn) read() {
	for {
		limits := c.server.opts.Limits()
		c.limit.N = int64(limits.HeaderBytes) + readSlack
		if !c.awaitFirst(limits.IdleTimeout) {
			return
		}
		deadline := time.Now().Add(limits.HeaderTimeout)
		_ = c.net.SetReadDeadline(deadline)
		parsed, err := http.ReadRequest(c.reader)
		if err != nil {
			c.reject(err, !time.Now().Before(deadline))
			return
		}
		if !c.take(parsed, limits) {
			return
		}
	}
}

// awaitFirst waits for the next request. The idle time counts only while
// nothing is under way.
func (c *conn) awaitFirst(idle time.Duration) bool {
	for {
		_ = c.net.SetReadDeadline(time.Now().Add(idle))
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.begin()
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && c.busy() {
			continue
		}
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			c.cancel()
		}
		return false
	}
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0 || c.reading
}

// reject answers a request that could not be read, after those before it. The
// parser takes what a time-out or the limit left of a line for the whole line,
// so its error does not tell these cases.
func (c *conn) reject(err error, overdue bool) {
	switch {
	case c.limit.N <= 0:
		c.answerLast(c.server.opts.Reject(http.StatusRequestHeaderFieldsTooLarge, "the header is over the limit"))
	case overdue:
		c.answerLast(c.server.opts.Reject(http.StatusRequestTimeout, "the header did not arrive in time"))
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		c.cancel()
	default:
		var op *net.OpError
		if errors.As(err, &op) {
			c.cancel()
			return
		}
		c.answerLast(c.server.opts.Reject(http.StatusBadRequest, "the request is malformed"))
	}
}

func (c *conn) answerLast(response *Response) {
	s := &slot{ready: make(chan *Response, 1), last: true}
	s.ready <- response
	c.put(s)
}

func (c *conn) put(s *slot) {
	c.mu.Lock()
	c.pending++
	c.reading = false
	c.mu.Unlock()
	c.answers <- s
}

// take reads the body and starts the handler. It reports whether further
// requests may follow.
func (c *conn) take(parsed *http.Request, limits Limits) bool {
	if headerBytes(parsed) > limits.HeaderBytes {
		c.answerLast(c.server.opts.Reject(http.StatusRequestHeaderFieldsTooLarge, "the header is over the limit"))
		return false
	}
	if parsed.ContentLength > limits.BodyBytes {
		c.answerLast(c.server.opts.Reject(http.StatusRequestEntityTooLarge, "the body is over the limit"))
		return false
	}
	r := &Request{Request: parsed, Length: parsed.ContentLength, Received: time.Now()}
	s := &slot{
		ready: make(chan *Response, 1), method: parsed.Method,
		last: parsed.Close, http10: !parsed.ProtoAtLeast(1, 1),
	}
	if strings.EqualFold(parsed.Header.Get("Expect"), "100-continue") {
		c.put(&slot{interim: true})
		parsed.Header.Del("Expect")
	}
	if !c.readBody(r, limits) {
		return false
	}
	if r.Rest != nil {
		s.bodyDone = make(chan struct{})
	}
	c.put(s)
	go func() {
		s.ready <- c.server.opts.Handle(c.ctx, r)
		if s.bodyDone != nil {
			close(s.bodyDone)
		}
	}()
	if s.bodyDone == nil {
		return !s.last
	}
	return c.afterLongBody(r, s)
}

// afterLongBody waits for a streamed body. A connection whose body was not
// taken to its end cannot carry another request.
func (c *conn) afterLongBody(r *Request, s *slot) bool {
	<-s.bodyDone
	n, _ := r.Request.Body.Read(make([]byte, 1))
	return n == 0 && !s.last
}

func (c *conn) readBody(r *Request, limits Limits) bool {
	c.limit.N = unlimited
	_ = c.net.SetReadDeadline(time.Now().Add(bodyTimeout))
	limited := http.MaxBytesReader(nil, r.Request.Body, limits.BodyBytes)
	var head bytes.Buffer
	if r.Length > 0 && r.Length <= wholeBody {
		head.Grow(int(r.Length))
	}
	_, err := io.Copy(&head, io.LimitReader(limited, wholeBody+1))
	var over *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &over):
		c.answerLast(c.server.opts.Reject(http.StatusRequestEntityTooLarge, "the body is over the limit"))
		return false
	case errors.As(err, &timeout) && timeout.Timeout():
		c.answerLast(c.server.opts.Reject(http.StatusRequestTimeout, "the body did not arrive in time"))
		return false
	case err != nil:
		c.cancel()
		return false
	}
	r.Body = head.Bytes()
	if head.Len() > wholeBody {
		r.Rest = &pausingReader{conn: c.net, reader: limited}
	}
	return true
}

// pausingReader bounds each pause in a streamed body.
type pausingReader struct {
	conn   net.Conn
	reader io.Reader
}

func (p *pausingReader) Read(b []byte) (int, error) {
	_ = p.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	return p.reader.Read(b)
}

// headerBytes is the size of a request's header on the wire, about.
func headerBytes(r *http.Request) int {
	const perField = 4 // colon, space, line end
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + perField
		}
	}
	return n
}
