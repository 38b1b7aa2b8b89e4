package front

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// readBody reads the whole body, or the first part of a body longer than
// maxBufferedBody and sets r.Rest. If it returns false, the request was
// rejected or, after any other read error, the requests in flight canceled.
func (c *conn) readBody(r *Request, limits Limits) bool {
	c.limited.N = unlimited
	c.setReadDeadline(time.Now().Add(c.server.opts.BodyTimeout))
	limited := http.MaxBytesReader(nil, r.Request.Body, limits.BodyBytes)
	var head bytes.Buffer
	if r.Length > 0 && r.Length <= maxBufferedBody {
		head.Grow(int(r.Length))
	}
	_, err := io.Copy(&head, io.LimitReader(limited, maxBufferedBody+1))
	var tooLong *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLong):
		c.respondAndClose(c.server.opts.Reject(http.StatusRequestEntityTooLarge, "the body is over the limit"))
		return false
	case errors.As(err, &timeout) && timeout.Timeout() && c.server.ended.Load():
		c.enqueueLast(c.server.opts.Refuse(), true)
		return false
	case errors.As(err, &timeout) && timeout.Timeout():
		c.respondAndClose(c.server.opts.Reject(http.StatusRequestTimeout, "the body did not arrive in time"))
		return false
	case err != nil:
		c.cancel()
		return false
	}
	r.Body = head.Bytes()
	if head.Len() > maxBufferedBody {
		r.Rest = c.newStreamedBody(limited)
	}
	return true
}

// errBodyStopped reports a body that is read after its request was answered.
var errBodyStopped = errors.New("the request was answered before its body was read")

// streamedBody is a body that is read while its request is served. It renews the read deadline
// before each read.
type streamedBody struct {
	conn    net.Conn
	timeout time.Duration
	reader  io.Reader
	stopped atomic.Bool
	// done is closed when nothing more can be read: at the end or after an error.
	done chan struct{}

	mu  sync.Mutex // held by the goroutine that reads
	err error
}

func (c *conn) newStreamedBody(reader io.Reader) *streamedBody {
	return &streamedBody{conn: c.net, timeout: c.server.opts.BodyTimeout, reader: reader, done: make(chan struct{})}
}

func (b *streamedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	_ = b.conn.SetReadDeadline(time.Now().Add(b.timeout))
	if b.stopped.Load() { // after the deadline was set, which stop would miss otherwise
		return 0, errBodyStopped
	}
	n, err := b.reader.Read(p)
	if err != nil {
		b.err = err
		close(b.done)
	}
	return n, err
}

// complete reports whether the body was read to its end.
func (b *streamedBody) complete() bool {
	select {
	case <-b.done:
		return b.err == io.EOF
	default:
		return false
	}
}

// stop ends a read in progress and all further ones.
func (b *streamedBody) stop() {
	b.stopped.Store(true)
	_ = b.conn.SetReadDeadline(time.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
}
