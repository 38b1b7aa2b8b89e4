package front

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// readBody reads the whole body, or the first part of a body longer than
// maxBufferedBody and sets r.Rest. If it returns false, the request was
// rejected or, after any other read error, the requests in flight canceled.
func (c *conn) readBody(r *Request, limits Limits) bool {
	c.limited.N = unlimited
	c.setReadDeadline(time.Now().Add(bodyTimeout))
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
		r.Rest = &deadlineReader{conn: c.net, reader: limited}
	}
	return true
}

// deadlineReader renews the read deadline before each read of a streamed
// body.
type deadlineReader struct {
	conn   net.Conn
	reader io.Reader
}

func (r *deadlineReader) Read(b []byte) (int, error) {
	_ = r.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	return r.reader.Read(b)
}
