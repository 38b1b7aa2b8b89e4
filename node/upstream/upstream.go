// Package upstream sends requests to one target over pooled HTTP/1.1
// connections and reports for each failure whether the target can have received
// the request. Each request is sent exactly once.
//
// A response counts only if it is one by the grammar of HTTP/1.1, which package strictconn
// checks. Every connection is read at all times. It is closed when the target closes it
// or sends bytes while no request is pending. A response that names another
// request is a late duplicate and is skipped. One that names none is not used on a
// connection that has had a response, since it may be a copy of that: the request may
// have run. A connection is not reused when
// its response arrived before the whole request body was written, or when
// further bytes followed the response.
package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"zinniafall/node/sockets"
)

var (
	connectionsOpened = metrics.NewCounter(`zinniafall_target_connections_opened_total`)
	strayBytes        = metrics.NewCounter(`zinniafall_target_stray_bytes_total`)
	lateResponses     = metrics.NewCounter(`zinniafall_target_late_answers_total`)
	// unattributedResponses counts the responses on kept connections without an ID.
	unattributedResponses = metrics.NewCounter(`zinniafall_target_unattributed_answers_total`)
)

// ErrStray reports responses that name other requests: too many of them, or one
// after which the connection closes. It also reports a response that names no request
// on a connection that has had one before.
var ErrStray = errors.New("the target sent bytes that belong to no request")

// ErrUnverified reports a success response without the mark that the target puts
// on its responses, or with a content encoding.
var ErrUnverified = errors.New("the success does not carry the target's mark")

const (
	// dialTimeout bounds dialing; the target is on the same VM.
	dialTimeout = 500 * time.Millisecond
	// bodyTimeout bounds how long the target may pause while it reads a long body.
	bodyTimeout = 15 * time.Second
	// keepAliveMargin is subtracted from the keep-alive timeout that the target
	// states, which is in whole seconds.
	keepAliveMargin = 1500 * time.Millisecond
	// maxIdle bounds the idle time of a connection when the target states no
	// keep-alive timeout.
	maxIdle = 5 * time.Second
	// maxIdleNotRetryable is the longest idle time of a connection that a request
	// which is not retryable uses: the target may have closed an older one.
	maxIdleNotRetryable = time.Second
	// maxInlineWrite is the longest request body, in bytes, that is written before
	// waiting for the response; longer ones are written in the background.
	maxInlineWrite = 32 << 10
	// maxSkippedResponses bounds the late duplicates skipped on one connection.
	maxSkippedResponses = 4
)

// Fields holds the names of the header fields that match responses to requests.
type Fields struct {
	// RequestID carries the request ID, which the target echoes.
	RequestID string
	// Mark is set on each success response that the target itself produced.
	Mark string
}

// Request is one request to send.
type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// RemainingBody, when not nil, is sent after Body.
	RemainingBody io.Reader
	// Length of the whole body in bytes; -1 when unknown.
	Length int64
	// ID that the response must echo; empty when responses are not matched.
	ID string
	// Retryable requests may use connections that have been idle for longer.
	Retryable bool
}

// Response is the target's response.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body if Stream is nil.
	Body []byte
	// Stream reads a body longer than MaxSmallBody. It returns io.EOF only at the
	// end of a complete body. It must be closed.
	Stream io.ReadCloser
	// Complete reports whether the target has sent the whole body: Stream then
	// reads it from memory.
	Complete bool
	Length   int64
}

// Result is the response to one request, or the reason why there is none.
type Result struct {
	Response *Response
	Err      error
	// Sent is false when no byte can have reached the target.
	Sent bool
	// Refused is true when the target refused the connection.
	Refused bool
}

// Pool manages the connections to one target.
type Pool struct {
	addr   string
	fields Fields
	// buffers is the memory for long response bodies.
	buffers *Buffers

	mu     sync.Mutex
	max    int
	idle   []*conn
	open   int
	closed bool
}

// NewPool returns a pool of at most max connections; 0 means no limit. Long
// response bodies are held in buffers.
func NewPool(addr string, fields Fields, max int, buffers *Buffers) *Pool {
	return &Pool{addr: addr, fields: fields, max: max, buffers: buffers}
}

// SetLimit changes the number of connections that may be open; 0 means no limit.
// Those that are open beyond it stay open until they are idle for too long.
func (p *Pool) SetLimit(max int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.max = max
}

// Limit returns the number of connections that may be open; 0 means no limit.
func (p *Pool) Limit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.max
}

// Addr returns the target's address.
func (p *Pool) Addr() string { return p.addr }

// Close closes the idle connections; those in use close when their request ends.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// Do sends the request and waits for the response header.
func (p *Pool) Do(ctx context.Context, r *Request) Result {
	for {
		c, err := p.acquire(ctx, r.Retryable)
		if err != nil {
			return Result{Err: err, Refused: sockets.Refused(err)}
		}
		result := c.do(ctx, r)
		if !errors.Is(result.Err, errConnClosed) {
			return result
		}
	}
}

// acquire returns an idle connection that is still usable, or dials a new one.
func (p *Pool) acquire(ctx context.Context, retryable bool) (*conn, error) {
	now := time.Now()
	for {
		c := p.popIdle()
		if c == nil {
			break
		}
		if c.usable(now, retryable) {
			return c, nil
		}
		c.close()
	}
	p.mu.Lock()
	if p.max > 0 && p.open >= p.max {
		p.mu.Unlock()
		return nil, errors.New("all connections that the target allows are in use")
	}
	p.open++
	p.mu.Unlock()
	connectionsOpened.Inc()
	nc, err := sockets.Dial(ctx, p.addr, dialTimeout)
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	return newConn(p, nc), nil
}

func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

func (p *Pool) releaseSlot() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// putIdle returns a connection to the pool, or closes it if the pool is closed.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.close()
}

// removeIdle removes an idle connection that has closed.
func (p *Pool) removeIdle(c *conn) {
	p.mu.Lock()
	p.idle = slices.DeleteFunc(p.idle, func(i *conn) bool { return i == c })
	p.mu.Unlock()
}

// CloseStale closes the connections that have been idle for too long. Call it
// about once a second.
func (p *Pool) CloseStale(now time.Time) {
	p.mu.Lock()
	var stale []*conn
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if c.usable(now, true) {
			return false
		}
		stale = append(stale, c)
		return true
	})
	p.mu.Unlock()
	for _, c := range stale {
		c.close()
	}
}

// keepAliveOf returns how long the connection may stay idle after a response with
// the header.
func keepAliveOf(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
		}
	}
	return maxIdle
}
