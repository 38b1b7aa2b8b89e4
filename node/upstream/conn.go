package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"zinniafall/node/sockets"
	"zinniafall/node/strictconn"
)

// conn is one connection to the target. Its readLoop reads at all times, so that
// a close and unexpected bytes are also detected while the connection is idle.
type conn struct {
	pool   *Pool
	net    net.Conn
	strict *strictconn.Conn
	reader *bufio.Reader // of strict
	once   sync.Once

	mu               sync.Mutex
	exchange         *exchange
	closed           bool
	skippedResponses int
	// answered is set once a response was delivered: later bytes may be a copy of it.
	answered  bool
	idleSince time.Time
	keepAlive time.Duration // longest idle time before reuse
}

// exchange is a request and its pending response.
type exchange struct {
	request *Request
	result  chan Result
	written bool // the whole request has been written
	// stop ends the effect of the request's context on the connection.
	stop func() bool
}

func newConn(p *Pool, nc net.Conn) *conn {
	strict := strictconn.New(nc, "target", strictconn.Limits{Bytes: maxHeadBytes, Lines: maxHeadLines})
	c := &conn{pool: p, net: nc, strict: strict, reader: bufio.NewReader(strict), keepAlive: maxIdle}
	go c.readLoop()
	return c
}

func (c *conn) close() {
	c.once.Do(func() {
		c.mu.Lock()
		c.closed = true
		c.mu.Unlock()
		_ = c.net.Close()
		c.pool.releaseSlot()
	})
}

// usable reports whether an idle connection is open and has not been idle for
// too long to send another request.
func (c *conn) usable(now time.Time, retryable bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.keepAlive
	if !retryable {
		limit = min(limit, maxIdleNotRetryable)
	}
	return !c.closed && now.Sub(c.idleSince) < limit
}

// do sends the request and waits for the response header. Canceling the context
// closes the connection until the response has been read to its end.
func (c *conn) do(ctx context.Context, r *Request) Result {
	x := &exchange{request: r, result: make(chan Result, 1), stop: context.AfterFunc(ctx, c.close)}
	if !c.startExchange(x) {
		x.stop()
		return Result{Err: errConnClosed}
	}
	if r.RemainingBody == nil && len(r.Body) <= maxInlineWrite {
		if sent, err := c.writeRequest(r, x); err != nil {
			x.stop()
			c.close()
			return Result{Err: err, Sent: sent}
		}
	} else {
		go func() {
			if _, err := c.writeRequest(r, x); err != nil {
				c.close()
			}
		}()
	}
	result := <-x.result
	if result.Response == nil {
		x.stop()
	}
	if result.Err != nil && ctx.Err() != nil {
		result.Err = context.Cause(ctx)
	}
	return result
}

// errConnClosed reports an idle connection that closed before the request was
// sent.
var errConnClosed = errors.New("idle connection closed before the request was sent")

// startExchange makes x the pending exchange. It reports false when the
// connection is closed.
func (c *conn) startExchange(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.exchange = x
	c.strict.Expect(x.request.Method)
	return true
}

// writeRequest sends the request and reports whether any byte of it may have
// been sent.
func (c *conn) writeRequest(r *Request, x *exchange) (bool, error) {
	var head bytes.Buffer
	head.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.WriteSubset(&head, map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true})
	chunked := r.Length < 0
	switch {
	case chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Length > 0 || needsLength(r.Method):
		head.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	}
	head.WriteString("\r\n")
	if r.RemainingBody == nil {
		if chunked {
			writeChunk(&head, r.Body)
			head.WriteString("0\r\n\r\n")
		} else {
			head.Write(r.Body)
		}
		// The response may be read before Write returns, so the request is marked
		// as written first. A failed write closes the connection anyway.
		c.markWritten(x)
		n, err := c.net.Write(head.Bytes())
		return n > 0, err
	}
	if _, err := c.net.Write(head.Bytes()); err != nil {
		return true, err
	}
	// The target may pause while it reads a long body. The timeout stays, since the
	// last bytes may wait in the socket's buffer; markIdle does not let the
	// connection be reused.
	sockets.SetSilentPeerTimeout(c.net, bodyTimeout)
	if err := c.writeStream(r, chunked); err != nil {
		return true, err
	}
	c.markWritten(x)
	return true, nil
}

// markWritten records that the whole request of the exchange has been written.
// Until then the connection must not be reused.
func (c *conn) markWritten(x *exchange) {
	c.mu.Lock()
	x.written = true
	c.mu.Unlock()
}

func (c *conn) writeStream(r *Request, chunked bool) error {
	body := io.MultiReader(bytes.NewReader(r.Body), r.RemainingBody)
	if !chunked {
		return writeExactly(c.net, body, r.Length)
	}
	chunk := make([]byte, maxInlineWrite)
	for {
		n, err := body.Read(chunk)
		var frame bytes.Buffer
		writeChunk(&frame, chunk[:n])
		if err == io.EOF {
			frame.WriteString("0\r\n\r\n")
		}
		if _, werr := c.net.Write(frame.Bytes()); werr != nil {
			return werr
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writeExactly copies a body of the length. Of one that is longer it writes no more, since the
// target would take that for another request.
func writeExactly(w io.Writer, body io.Reader, length int64) error {
	n, err := io.Copy(w, io.LimitReader(body, length))
	switch {
	case err != nil:
		return err
	case n != length:
		return io.ErrUnexpectedEOF
	}
	if n, err := io.ReadFull(body, make([]byte, 1)); n > 0 || err != io.EOF {
		return errors.Join(errBodyEnd, err)
	}
	return nil
}

// errBodyEnd reports a body that goes on, or breaks off, after its stated length.
var errBodyEnd = errors.New("the body of the request does not end after its stated length")

func writeChunk(w *bytes.Buffer, chunk []byte) {
	if len(chunk) == 0 {
		return
	}
	w.WriteString(strconv.FormatInt(int64(len(chunk)), 16) + "\r\n")
	w.Write(chunk)
	w.WriteString("\r\n")
}

// needsLength reports whether a request of the method states the length of an
// empty body.
func needsLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// readLoop reads the responses to the pending exchanges and closes the
// connection when it returns. It returns on a read error, on bytes that arrive
// while no exchange is pending, and after a response that rules out reuse. A
// read error is reported with Sent set, since the target may have received the
// request.
func (c *conn) readLoop() {
	defer c.close()
	for {
		_, err := c.reader.Peek(1)
		x := c.pendingExchange()
		if x == nil {
			c.pool.removeIdle(c)
			if err == nil || errors.Is(err, strictconn.ErrUnasked) {
				strayBytes.Inc()
			}
			return
		}
		if err != nil {
			c.fail(x, err)
			return
		}
		if !c.readResponse(x) {
			return
		}
	}
}

// pendingExchange returns the exchange that waits for a response. When there is
// none it marks the connection as closed, so that no exchange can start on it:
// the connection would be closed right after the request was sent.
func (c *conn) pendingExchange() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange == nil {
		c.closed = true
	}
	return c.exchange
}

// readResponse reads one response and reports whether to keep reading from the
// connection.
func (c *conn) readResponse(x *exchange) bool {
	response, err := c.readHead(x)
	if err != nil {
		c.fail(x, err)
		return false
	}
	if c.belongsToOtherRequest(x, response) {
		lateResponses.Inc()
		c.skippedResponses++
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedBody+1))
		if err != nil || n > maxBufferedBody || c.skippedResponses > maxSkippedResponses || response.Close {
			x.result <- Result{Err: errors.Join(ErrStray, err), Sent: true}
			return false
		}
		c.strict.Expect(x.request.Method)
		return true
	}
	if c.answered && x.request.ID != "" && response.Header.Get(c.pool.fields.RequestID) == "" {
		unattributedResponses.Inc()
		x.result <- Result{Err: fmt.Errorf("%w: the answer on a kept connection names no request", ErrStray), Sent: true}
		return false
	}
	if x.request.ID != "" && response.StatusCode < http.StatusMultipleChoices && !c.verified(response) {
		x.result <- Result{Err: ErrUnverified, Sent: true}
		return false
	}
	return c.deliver(x, response)
}

// fail ends the exchange without a response.
func (c *conn) fail(x *exchange, err error) {
	if errors.Is(err, strictconn.ErrTooLong) {
		err = errors.Join(ErrOversizedHead, err)
	}
	if errors.Is(err, ErrOversizedHead) {
		oversizedHeads.Inc()
	}
	x.result <- Result{Err: err, Sent: true}
}

// readHead reads the head of the next final response.
func (c *conn) readHead(x *exchange) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: x.request.Method})
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
	return nil, fmt.Errorf("%w: over %d interim responses", ErrOversizedHead, maxInterimResponses)
}

// belongsToOtherRequest reports whether the response names another request.
func (c *conn) belongsToOtherRequest(x *exchange, response *http.Response) bool {
	if x.request.ID == "" {
		return false
	}
	echoed := response.Header.Get(c.pool.fields.RequestID)
	return echoed != "" && echoed != x.request.ID
}

// verified reports whether a success response carries the target's mark and has
// no content encoding, and so is the target's own, unchanged response.
func (c *conn) verified(response *http.Response) bool {
	return response.Header.Get(c.pool.fields.Mark) != "" && response.Header.Get("Content-Encoding") == ""
}

// deliver passes the response to the waiting caller of do and reports whether to
// keep reading from the connection.
func (c *conn) deliver(x *exchange, response *http.Response) bool {
	out := &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	length := response.ContentLength
	if response.Body == http.NoBody {
		length = 0 // the answer to HEAD states the length of the body that it omits
	}
	head, whole, err := readSmall(response.Body, length)
	var read *chunks
	if err == nil && !whole {
		read, whole, err = c.pool.buffers.readLarge(head, response.Body, length)
	}
	if err != nil {
		x.result <- Result{Err: errors.Join(ErrCutOff, err), Sent: true}
		return false
	}
	if !whole {
		return c.deliverStream(x, response, out, read)
	}
	switch {
	case read == nil:
		out.Body = head
	case read.size() <= MaxSmallBody:
		out.Body = read.join()
	default:
		out.Stream, out.Complete = &bufferedBody{read}, true
	}
	reusable := c.markIdle(x, response)
	if reusable {
		c.pool.putIdle(c)
	} else {
		c.close()
	}
	x.result <- Result{Response: out, Sent: true}
	return reusable
}

// deliverStream passes on a response whose body is read from the connection, after
// the part that was read already. It returns when the body is closed.
func (c *conn) deliverStream(x *exchange, response *http.Response, out *Response, read *chunks) bool {
	end := make(chan bool, 1)
	out.Stream = &streamedBody{read: read, rest: response.Body, conn: c, stop: x.stop, end: end}
	x.result <- Result{Response: out, Sent: true}
	if !<-end || !c.markIdle(x, response) {
		return false
	}
	c.pool.putIdle(c)
	return true
}

// ErrCutOff reports a response that ended before it was complete.
var ErrCutOff = errors.New("the target broke off its answer")

// markIdle ends the exchange and reports whether the connection can be reused. From
// then on the context of its request must not close it: it may serve another one.
func (c *conn) markIdle(x *exchange, response *http.Response) bool {
	current := x.stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange, c.answered = nil, true
	c.idleSince = time.Now()
	c.keepAlive = keepAliveOf(response.Header)
	stray := c.strict.Buffered() > 0
	if stray {
		strayBytes.Inc()
	}
	return current && x.written && x.request.RemainingBody == nil && !response.Close && !stray && c.skippedResponses == 0 && c.keepAlive > 0 && !c.closed
}

// bufferedBody is a whole response body in memory.
type bufferedBody struct{ *chunks }

// Close frees the memory of what was not read.
func (b *bufferedBody) Close() error {
	b.close()
	return nil
}

// streamedBody is a response body that is read from the connection. It sends on end
// whether the body was read to its end.
type streamedBody struct {
	read *chunks
	rest io.Reader
	conn *conn
	stop func() bool
	end  chan bool
	once sync.Once
}

func (b *streamedBody) Read(p []byte) (int, error) {
	if n, err := b.read.Read(p); err == nil {
		return n, nil
	}
	n, err := b.rest.Read(p)
	if err == io.EOF {
		b.once.Do(func() { b.end <- true })
	}
	return n, err
}

// Close closes the connection unless the body was read to its end.
func (b *streamedBody) Close() error {
	b.read.close()
	b.stop()
	b.once.Do(func() {
		b.end <- false
		b.conn.close()
	})
	return nil
}
