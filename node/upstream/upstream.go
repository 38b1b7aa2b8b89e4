// Package upstream sends requests to one target over kept HTTP/1.1
// connections and tells for each failure whether the target can have seen the
// request. Each request is sent exactly once.
//
// A connection is read all the time: bytes that come while no request waits
// end it, and so does a close. An answer that names another request is a late
// copy and is skipped. A connection whose answer came before the request's
// body was out, or was followed by further bytes, is not used again.
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
	opened      = metrics.NewCounter(`zinniafall_target_connections_opened_total`)
	strayBytes  = metrics.NewCounter(`zinniafall_target_stray_bytes_total`)
	lateAnswers = metrics.NewCounter(`zinniafall_target_late_answers_total`)
)

// ErrStray reports bytes that came while no request waited.
var ErrStray = errors.New("the target sent bytes that belong to no request")

// ErrUnverified reports a success without the mark that the target puts on its
// answers.
var ErrUnverified = errors.New("the success does not carry the target's mark")

const (
	// dialTimeout bounds the opening of a connection on the same VM.
	dialTimeout = 500 * time.Millisecond
	// keepAliveMargin is how long before the target's stated time an idle
	// connection is no longer used; the target states whole seconds.
	keepAliveMargin = 1500 * time.Millisecond
	// maxIdle bounds the idle time of a connection when the target states none.
	maxIdle = 5 * time.Second
	// freshIdle is the idle time up to which a request that must not be lost
	// uses a kept connection: the target may have dropped an older one.
	freshIdle = time.Second
	// inlineWrite is the length in bytes of a request that is written at once.
	inlineWrite = 32 << 10
	// maxSkipped bounds the late copies skipped on one connection.
	maxSkipped = 4
	// maxWhole is the length in bytes up to which an answer is read whole.
	maxWhole = 1 << 20
)

// Fields names the header fields that tie answers to requests.
type Fields struct {
	// RequestID is echoed by the target.
	RequestID string
	// Mark is on each success that the target made.
	Mark string
}

// Request is one request to send.
type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// RemainingBody follows Body when it is not nil.
	RemainingBody io.Reader
	// Length of the body; -1 when unknown.
	Length int64
	// ID that the answer must name; empty when answers are not matched.
	ID string
	// Retryable requests may use a connection that was idle for longer.
	Retryable bool
}

// Response is the target's answer.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body when Stream is nil.
	Body []byte
	// Stream is a long body. io.EOF means that it is whole.
	Stream io.ReadCloser
	Length int64
}

// Result is the end of one request.
type Result struct {
	Response *Response
	Err      error
	// Sent is false when no byte can have reached the target.
	Sent bool
	// Refused is true when the target's port is closed.
	Refused bool
}

// Pool holds the connections to one target.
type Pool struct {
	addr   string
	fields Fields
	max    int

	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool
}

// NewPool returns a pool of at most max connections.
func NewPool(addr string, fields Fields, max int) *Pool {
	return &Pool{addr: addr, fields: fields, max: max}
}

// Addr returns the target's address.
func (p *Pool) Addr() string { return p.addr }

// Close closes the idle connections and those in use when they end.
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

// Do sends the request and waits for the head of the answer.
func (p *Pool) Do(ctx context.Context, r *Request) Result {
	for {
		c, err := p.take(ctx, r.Retryable)
		if err != nil {
			return Result{Err: err, Refused: sockets.Refused(err)}
		}
		result := c.do(ctx, r)
		if !errors.Is(result.Err, errEnded) {
			return result
		}
	}
}

// take returns a kept connection that is young enough, or a new one.
func (p *Pool) take(ctx context.Context, repeatable bool) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop()
		if c == nil {
			break
		}
		if c.usable(now, repeatable) {
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
	opened.Inc()
	nc, err := sockets.Dial(ctx, p.addr, dialTimeout)
	if err != nil {
		p.release()
		return nil, err
	}
	return newConn(p, nc), nil
}

func (p *Pool) pop() *conn {
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

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// give puts a connection back; it is closed when the pool is.
func (p *Pool) give(c *conn) {
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.close()
}

// forget removes an idle connection that ended.
func (p *Pool) forget(c *conn) {
	p.mu.Lock()
	p.idle = slices.DeleteFunc(p.idle, func(i *conn) bool { return i == c })
	p.mu.Unlock()
}

// CloseStale closes the idle connections that are too old to be used. Call it
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

// keepAliveOf returns how long the connection may idle after the answer.
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
