package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// conn is one connection to the target.
type conn struct {
	pool   *Pool
	net    net.Conn
	reader *bufio.Reader
	once   sync.Once

	mu        sync.Mutex
	exchange  *exchange
	dead      bool
	skipped   int
	idleSince time.Time
	keepAlive time.Duration
}

// exchange is the request whose answer a connection waits for.
type exchange struct {
	request *Request
	result  chan Result
	written bool // the whole request is out
}

func newConn(p *Pool, nc net.Conn) *conn {
	c := &conn{pool: p, net: nc, reader: bufio.NewReader(nc), keepAlive: maxIdle}
	go c.read()
	return c
}

func (c *conn) close() {
	c.once.Do(func() {
		c.mu.Lock()
		c.dead = true
		c.mu.Unlock()
		_ = c.net.Close()
		c.pool.release()
	})
}

// usable reports whether an idle connection may carry another request.
func (c *conn) usable(now time.Time, repeatable bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.keepAlive
	if !repeatable {
		limit = min(limit, freshIdle)
	}
	return !c.dead && now.Sub(c.idleSince) < limit
}

// do sends the request and waits for the answer's head.
func (c *conn) do(ctx context.Context, r *Request) Result {
	x := &exchange{request: r, result: make(chan Result, 1)}
	if !c.begin(x) {
		return Result{Err: errEnded}
	}
	stop := context.AfterFunc(ctx, c.close)
	if r.RemainingBody == nil && len(r.Body) <= inlineWrite {
		if sent, err := c.write(r, x); err != nil {
			stop()
			c.close()
			return Result{Err: err, Sent: sent}
		}
	} else {
		go func() {
			if _, err := c.write(r, x); err != nil {
				c.close()
			}
		}()
	}
	result := <-x.result
	if result.Response == nil || result.Response.Stream == nil {
		stop()
	} else {
		result.Response.Stream = &stoppedAtEnd{ReadCloser: result.Response.Stream, stop: stop}
	}
	if result.Err != nil && ctx.Err() != nil {
		result.Err = context.Cause(ctx)
	}
	return result
}

// errEnded reports a kept connection that ended before the request was sent.
var errEnded = errors.New("the kept connection had ended")

// begin makes the connection wait for an answer, unless it has ended.
func (c *conn) begin(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return false
	}
	c.exchange = x
	return true
}

// stoppedAtEnd ends the watch on the request's context with the body.
type stoppedAtEnd struct {
	io.ReadCloser
	stop func() bool
}

func (s *stoppedAtEnd) Close() error {
	s.stop()
	return s.ReadCloser.Close()
}

// write sends the request. It reports whether any byte may have left.
func (c *conn) write(r *Request, x *exchange) (bool, error) {
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
		// The answer may be read before the write returns. A write that fails
		// ends the connection anyway.
		c.finishWrite(x)
		n, err := c.net.Write(head.Bytes())
		return n > 0, err
	}
	if _, err := c.net.Write(head.Bytes()); err != nil {
		return true, err
	}
	if err := c.writeLong(r, chunked); err != nil {
		return true, err
	}
	c.finishWrite(x)
	return true, nil
}

func (c *conn) finishWrite(x *exchange) {
	c.mu.Lock()
	x.written = true
	c.mu.Unlock()
}

func (c *conn) writeLong(r *Request, chunked bool) error {
	body := io.MultiReader(bytes.NewReader(r.Body), r.RemainingBody)
	if !chunked {
		n, err := io.Copy(c.net, body)
		if err == nil && n != r.Length {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	piece := make([]byte, inlineWrite)
	for {
		n, err := body.Read(piece)
		var frame bytes.Buffer
		writeChunk(&frame, piece[:n])
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

func writeChunk(w *bytes.Buffer, piece []byte) {
	if len(piece) == 0 {
		return
	}
	w.WriteString(strconv.FormatInt(int64(len(piece)), 16) + "\r\n")
	w.Write(piece)
	w.WriteString("\r\n")
}

// needsLength reports methods whose empty body is stated.
func needsLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// read takes answers until the connection ends.
func (c *conn) read() {
	defer c.close()
	for {
		_, err := c.reader.Peek(1)
		x := c.awaited()
		if x == nil {
			c.pool.forget(c)
			if err == nil {
				strayBytes.Inc()
			}
			return
		}
		if err != nil {
			x.result <- Result{Err: err, Sent: true}
			return
		}
		if !c.answer(x) {
			return
		}
	}
}

// awaited returns the request that waits for an answer. When there is none the
// connection has ended, and from then on no request begins on it: one that did
// would be closed right after it was sent.
func (c *conn) awaited() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange == nil {
		c.dead = true
	}
	return c.exchange
}

// answer reads one answer and reports whether the connection goes on.
func (c *conn) answer(x *exchange) bool {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: x.request.Method})
	if err != nil {
		x.result <- Result{Err: err, Sent: true}
		return false
	}
	if response.StatusCode < http.StatusOK && response.StatusCode >= 100 {
		return true
	}
	if c.belongsToAnother(x, response) {
		lateAnswers.Inc()
		c.skipped++
		_, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxWhole))
		if err != nil || c.skipped > maxSkipped || response.Close {
			x.result <- Result{Err: errors.Join(ErrStray, err), Sent: true}
			return false
		}
		return true
	}
	if x.request.ID != "" && response.StatusCode < http.StatusMultipleChoices && !c.proven(response) {
		x.result <- Result{Err: ErrUnverified, Sent: true}
		return false
	}
	return c.deliver(x, response)
}

// belongsToAnother reports an answer that names another request.
func (c *conn) belongsToAnother(x *exchange, response *http.Response) bool {
	if x.request.ID == "" {
		return false
	}
	named := response.Header.Get(c.pool.fields.RequestID)
	return named != "" && named != x.request.ID
}

// proven reports whether a success is the target's own, unchanged answer.
func (c *conn) proven(response *http.Response) bool {
	return response.Header.Get(c.pool.fields.Mark) != "" && response.Header.Get("Content-Encoding") == ""
}

// deliver hands the answer over and reports whether the connection goes on.
func (c *conn) deliver(x *exchange, response *http.Response) bool {
	out := &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	whole, err := io.ReadAll(io.LimitReader(response.Body, maxWhole))
	if err != nil {
		x.result <- Result{Err: errors.Join(ErrCutOff, err), Sent: true}
		return false
	}
	if len(whole) < maxWhole {
		out.Body = whole
		reusable := c.idleAfter(x, response)
		if reusable {
			c.pool.give(c)
		} else {
			c.close()
		}
		x.result <- Result{Response: out, Sent: true}
		return reusable
	}
	end := make(chan bool, 1)
	out.Stream = &longBody{reader: io.MultiReader(bytes.NewReader(whole), response.Body), conn: c, end: end}
	x.result <- Result{Response: out, Sent: true}
	if !<-end || !c.idleAfter(x, response) {
		return false
	}
	c.pool.give(c)
	return true
}

// ErrCutOff reports an answer that ended before it was whole.
var ErrCutOff = errors.New("the target broke off its answer")

// idleAfter makes the connection idle, and reports whether it may be used again.
func (c *conn) idleAfter(x *exchange, response *http.Response) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange = nil
	c.idleSince = time.Now()
	c.keepAlive = keepAliveOf(response.Header)
	stray := c.reader.Buffered() > 0
	if stray {
		strayBytes.Inc()
	}
	return x.written && !response.Close && !stray && c.skipped == 0 && c.keepAlive > 0 && !c.dead
}

// longBody passes a long answer on.
type longBody struct {
	reader io.Reader
	conn   *conn
	end    chan bool
	once   sync.Once
}

func (b *longBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err == io.EOF {
		b.once.Do(func() { b.end <- true })
	}
	return n, err
}

// Close ends the connection unless the body was read to its end.
func (b *longBody) Close() error {
	b.once.Do(func() {
		b.end <- false
		b.conn.close()
	})
	return nil
}
