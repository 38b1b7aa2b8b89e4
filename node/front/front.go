// Package front is an HTTP/1.1 server that supports pipelining. It reads the
// next requests of a connection while earlier ones are in flight, runs their
// handlers concurrently, and returns the responses in the order of the
// requests. Because it always reads ahead, it detects at once when a caller
// closes its connection, and cancels the requests in flight.
package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPipelined limits the requests in flight per connection. Further
	// requests wait in the socket buffer.
	maxPipelined = 32
	// maxBufferedBody is the length in bytes up to which a body is read before
	// the handler is called. Longer bodies are streamed.
	maxBufferedBody = 256 << 10
	// defaultBodyTimeout limits the time between reads of a body.
	defaultBodyTimeout = 10 * time.Second
	// WriteTimeout limits the time for a caller to accept one part of a response.
	WriteTimeout = 10 * time.Second
	// lingerTimeout limits the wait for a caller to read the last response.
	lingerTimeout = 500 * time.Millisecond
	// readSlack is how many bytes may be buffered beyond the header limit.
	readSlack = 4 << 10
	// unlimited removes the read limit for bodies, which have their own limit.
	unlimited = int64(1) << 62
)

// Request is one request of a caller.
type Request struct {
	*http.Request
	// Body is the whole body if Rest is nil, otherwise its first part.
	Body []byte
	// Rest is the remainder of a streamed body.
	Rest io.Reader
	// Length is the length of the body, or -1 if the caller did not state it.
	Length int64
	// Received is the time at which the header was complete.
	Received time.Time
}

// Path returns the path as the caller sent it, without the query.
func (r *Request) Path() string {
	if strings.HasPrefix(r.RequestURI, "/") {
		path, _, _ := strings.Cut(r.RequestURI, "?")
		return path
	}
	return r.URL.EscapedPath()
}

// Response is the response to one request.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body if Stream is nil.
	Body []byte
	// Stream is a streamed body. Any error other than io.EOF means that the
	// body is incomplete.
	Stream io.ReadCloser
	// Length is the length of Stream, or -1 if unknown.
	Length int64
	// Abort closes the connection without a response.
	Abort bool
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Options configures a Server.
type Options struct {
	// Handle serves one request. The context ends when the caller closes the
	// connection.
	Handle func(context.Context, *Request) *Response
	// Reject returns the response to a request that is malformed or exceeds a
	// limit.
	Reject func(status int, detail string) *Response
	// Refuse returns the response to a request that begins after CloseIdle.
	Refuse func() *Response
	// Limits returns the current limits.
	Limits func() Limits
	// Panicked is told of a panic of Handle; it must not be nil. The connection is closed without a
	// response, since the request may have run; the others go on.
	Panicked func(value any, stack []byte)
	// MaxConnections limits the open connections.
	MaxConnections int
	// BodyTimeout limits the time between reads of a body; 0 means 10 s.
	BodyTimeout time.Duration
}

// Server serves the connections of callers.
type Server struct {
	opts Options
	// keepAlivesDisabled is set when responses ask callers to close the
	// connection.
	keepAlivesDisabled atomic.Bool
	// refusing is set when no further request may start; each one is refused. ended is set
	// when those that are being read are refused, too.
	refusing, ended atomic.Bool
	openConns       atomic.Int64
	refusedConns    atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New returns a server.
func New(opts Options) *Server {
	if opts.BodyTimeout == 0 {
		opts.BodyTimeout = defaultBodyTimeout
	}
	return &Server{opts: opts, conns: make(map[*conn]struct{})}
}

// Serve accepts connections until the listener is closed, and serves each in
// its own goroutine. It then returns the error of Accept.
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
		if s.openConns.Load() >= int64(s.opts.MaxConnections) {
			s.refusedConns.Add(1)
			_ = c.Close()
			continue
		}
		go s.serve(s.open(c))
	}
}

// RefusedConnections returns the number of connections that were closed at
// the limit of MaxConnections.
func (s *Server) RefusedConnections() int64 { return s.refusedConns.Load() }

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int64 { return s.openConns.Load() }

// conn is one caller's connection.
type conn struct {
	server    *Server
	net       net.Conn
	limited   *io.LimitedReader
	reader    *bufio.Reader
	ctx       context.Context
	cancel    context.CancelFunc
	responses chan *pendingResponse
	// single is true if the connection was opened for one request, since DisableKeepAlives.
	single bool
	// writeEnded is set once no further response is written.
	writeEnded atomic.Bool

	mu      sync.Mutex
	pending int  // responses that have not been written yet
	reading bool // a request is being read
	refused bool // the last request is refused
	// refusals is the number of refusals that have been in pending: 0 or 1.
	refusals int
	closed   bool // no further request may start
}

// pendingResponse is the position of one response in the order of its
// connection.
type pendingResponse struct {
	ready   chan *Response // receives the response of the handler
	method  string
	last    bool // the connection is closed after this response
	http10  bool
	refusal bool // it refuses a request that began after CloseIdle
	interim bool // a 100 Continue instead of a final response
	// written is closed when the response to a streamed body was written or discarded.
	written chan struct{}
}

// open registers a new connection.
func (s *Server) open(nc net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{server: s, net: nc, ctx: ctx, cancel: cancel, responses: make(chan *pendingResponse, maxPipelined), single: s.keepAlivesDisabled.Load()}
	c.limited = &io.LimitedReader{R: nc}
	c.reader = bufio.NewReader(c.limited)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	s.openConns.Add(1)
	return c
}

// serve serves one connection. It reads requests in its own goroutine and
// writes the responses in a second one; it returns when all responses are
// written or dropped and the connection is closed.
func (s *Server) serve(c *conn) {
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		c.writeResponses()
	}()
	c.readRequests()
	close(c.responses)
	readerDone := make(chan struct{})
	go func() {
		defer close(readerDone)
		c.watchForClose()
	}()
	<-writerDone
	c.linger(readerDone)
	c.cancel()
	_ = c.net.Close()
	<-readerDone
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	s.openConns.Add(-1)
}

// watchForClose cancels the requests in flight when the caller closes a
// connection that accepts no further requests.
func (c *conn) watchForClose() {
	c.limited.N = unlimited
	_ = c.net.SetReadDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, c.reader)
	c.cancel()
}

// linger gives the caller time to read the last response. Closing a
// connection with unread bytes resets it, which can destroy a response in
// transit.
func (c *conn) linger(readerDone <-chan struct{}) {
	halfCloser, ok := c.net.(interface{ CloseWrite() error })
	if !ok || halfCloser.CloseWrite() != nil {
		return
	}
	timer := time.NewTimer(lingerTimeout)
	defer timer.Stop()
	select {
	case <-readerDone:
	case <-timer.C:
	}
}

// beginRequest records that a request is being read. It returns false if the
// connection accepts no further requests.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = !c.closed && c.server.refusing.Load()
	c.reading = !c.closed && !c.refused
	return !c.closed
}

// readRequests reads the requests of the connection and starts their handlers
// without waiting for earlier responses, except that it waits until the handler
// of a streamed body is done. It returns when the connection accepts no further
// requests: it was closed, failed or idled too long, a request was rejected or
// asked for the connection to be closed, a streamed body was not read to its
// end, or the server stops.
func (c *conn) readRequests() {
	for {
		limits := c.server.opts.Limits()
		c.limited.N = int64(limits.HeaderBytes) + readSlack
		if !c.awaitRequest(limits.IdleTimeout) {
			return
		}
		deadline := time.Now().Add(limits.HeaderTimeout)
		c.setReadDeadline(deadline)
		parsed, err := http.ReadRequest(c.reader)
		if err != nil {
			c.reject(err, !time.Now().Before(deadline))
			return
		}
		if c.isRefused() {
			c.enqueueLast(c.server.opts.Refuse(), true)
			return
		}
		if !c.handleRequest(parsed, limits) {
			return
		}
	}
}

// awaitRequest waits for the first byte of the next request. The idle timeout
// applies only while no request is in flight. It returns false if no further
// request is read; unless that is due to a timeout or a stop, it also cancels
// the requests in flight.
func (c *conn) awaitRequest(idle time.Duration) bool {
	for {
		_ = c.net.SetReadDeadline(time.Now().Add(idle))
		if c.writeEnded.Load() {
			return false
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return c.beginRequest()
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && c.busy() && !c.writeEnded.Load() {
			continue
		}
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			c.cancel()
		}
		return false
	}
}

// setReadDeadline sets the deadline for reading a request, which has passed after EndReading.
func (c *conn) setReadDeadline(deadline time.Time) {
	_ = c.net.SetReadDeadline(deadline)
	if c.server.ended.Load() {
		_ = c.net.SetReadDeadline(time.Now())
	}
}

// busy reports whether a request is in flight or being read.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0 || c.reading || c.refused
}

// reject responds to a request that could not be read, after the responses to
// earlier requests. When a timeout or the limit cuts a line short, the parser
// treats the rest as the whole line, so its error does not identify these
// cases. overdue is true if the header's deadline has passed. If the connection
// was lost, there is no response and the requests in flight are canceled.
func (c *conn) reject(err error, overdue bool) {
	switch {
	case c.limited.N <= 0:
		c.respondAndClose(c.server.opts.Reject(http.StatusRequestHeaderFieldsTooLarge, "the header is over the limit"))
	case c.server.ended.Load():
		c.enqueueLast(c.server.opts.Refuse(), true)
	case overdue:
		c.respondAndClose(c.server.opts.Reject(http.StatusRequestTimeout, "the header did not arrive in time"))
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		c.cancel()
	default:
		var op *net.OpError
		if errors.As(err, &op) {
			c.cancel()
			return
		}
		c.respondAndClose(c.server.opts.Reject(http.StatusBadRequest, "the request is malformed"))
	}
}

// respondAndClose enqueues the response as the last one of the connection.
func (c *conn) respondAndClose(response *Response) { c.enqueueLast(response, false) }

// enqueueLast is respondAndClose for a response that may be a refusal since CloseIdle.
func (c *conn) enqueueLast(response *Response, refusal bool) {
	p := &pendingResponse{ready: make(chan *Response, 1), last: true, refusal: refusal}
	p.ready <- response
	c.enqueue(p)
}

// enqueue adds a response to the order of the connection and ends the reading
// of its request. It blocks while maxPipelined responses are queued.
func (c *conn) enqueue(p *pendingResponse) {
	c.mu.Lock()
	c.pending++
	c.reading = false
	if p.refusal {
		c.refusals++
	}
	c.mu.Unlock()
	c.responses <- p
}

// handleRequest reads the body and starts the handler in its own goroutine. It
// reports whether the connection accepts further requests. With a streamed
// body, it returns only when the handler is done.
func (c *conn) handleRequest(parsed *http.Request, limits Limits) bool {
	if headerBytes(parsed) > limits.HeaderBytes {
		c.respondAndClose(c.server.opts.Reject(http.StatusRequestHeaderFieldsTooLarge, "the header is over the limit"))
		return false
	}
	if parsed.ContentLength > limits.BodyBytes {
		c.respondAndClose(c.server.opts.Reject(http.StatusRequestEntityTooLarge, "the body is over the limit"))
		return false
	}
	r := &Request{Request: parsed, Length: parsed.ContentLength, Received: time.Now()}
	p := &pendingResponse{
		ready: make(chan *Response, 1), method: parsed.Method,
		last: parsed.Close, http10: !parsed.ProtoAtLeast(1, 1),
	}
	if strings.EqualFold(parsed.Header.Get("Expect"), "100-continue") {
		c.enqueue(&pendingResponse{interim: true})
		parsed.Header.Del("Expect")
	}
	if !c.readBody(r, limits) {
		return false
	}
	if body, streamed := r.Rest.(*streamedBody); streamed {
		p.written = make(chan struct{})
		c.enqueue(p)
		return c.handleStreamed(r, p, body)
	}
	c.enqueue(p)
	go func() { p.ready <- c.handle(r) }()
	return !p.last
}

// handle runs the handler. A panic ends the connection only.
func (c *conn) handle(r *Request) (response *Response) {
	defer func() {
		if value := recover(); value != nil {
			c.server.opts.Panicked(value, debug.Stack())
			response = &Response{Abort: true}
		}
	}()
	return c.server.opts.Handle(c.ctx, r)
}

// handleStreamed runs the handler of a request with a streamed body. A connection whose body
// was not read to its end cannot serve another request: what follows may be the rest of the
// body, also after an error such as a timeout. Nothing else reads from the connection until
// the handler, and what it has left to read the body, is done with it or the response is
// written. It reports whether the connection accepts further requests.
func (c *conn) handleStreamed(r *Request, p *pendingResponse, body *streamedBody) bool {
	response := c.handle(r)
	p.last = p.last || !body.complete()
	p.ready <- response
	if !p.last {
		return true
	}
	select {
	case <-body.done:
	case <-p.written:
	}
	body.stop()
	return false
}

// headerBytes returns the approximate size of a request's header on the wire.
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
