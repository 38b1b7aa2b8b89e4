package front

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"time"
)

// writeResponses writes the responses in the order of the requests, until
// c.responses is closed. After the last response or a failed write, it cancels
// the requests in flight and discards their responses.
func (c *conn) writeResponses() {
	w := bufio.NewWriter(c.net)
	ended := false
	for p := range c.responses {
		if p.interim {
			if !ended {
				_ = c.net.SetWriteDeadline(time.Now().Add(WriteTimeout))
				_, _ = w.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
				_ = w.Flush()
			}
			c.responseDone()
			continue
		}
		if ended {
			// The connection is closed or closing: the requests in flight were
			// canceled, and nobody reads their responses.
			go discard(p)
			c.responseDone()
			p.recordWritten()
			continue
		}
		response := <-p.ready
		written := c.writeResponse(w, p, response)
		p.recordWritten()
		if !written {
			ended = true
			c.cancel()
			// Unblocks the reading goroutine, also if it is about to set a deadline of its own.
			c.writeEnded.Store(true)
			_ = c.net.SetReadDeadline(time.Now())
		}
		c.responseDone()
	}
}

// recordWritten tells the goroutine that serves a streamed body that the response is done with.
func (p *pendingResponse) recordWritten() {
	if p.written != nil {
		close(p.written)
	}
}

// discard waits for the response of the handler and closes its stream.
func discard(p *pendingResponse) {
	if r := <-p.ready; r != nil && r.Stream != nil {
		_ = r.Stream.Close()
	}
}

// responseDone records that a response was written or discarded.
func (c *conn) responseDone() {
	c.mu.Lock()
	c.pending--
	c.mu.Unlock()
}

// writeResponse writes one response and reports whether the connection stays
// open. A nil response counts as one with Abort set; otherwise it closes the
// stream.
func (c *conn) writeResponse(w *bufio.Writer, p *pendingResponse, r *Response) bool {
	if r == nil || r.Abort {
		return false
	}
	if r.Stream != nil {
		defer func() { _ = r.Stream.Close() }()
	}
	last := p.last || p.http10 || c.closeAfterResponse()
	bodiless := p.method == http.MethodHead || r.Status == http.StatusNoContent || r.Status == http.StatusNotModified
	chunked := r.Stream != nil && r.Length < 0 && !p.http10
	_ = c.net.SetWriteDeadline(time.Now().Add(WriteTimeout))
	writeHead(w, r, last, bodiless, chunked)
	if !bodiless && !c.writeBody(w, r, chunked) {
		if unframed := r.Stream != nil && r.Length < 0 && !chunked; unframed {
			c.reset()
		}
		return false
	}
	return w.Flush() == nil && !last
}

// reset closes the connection with a reset, since a regular end would also end the body.
func (c *conn) reset() {
	if tcp, ok := c.net.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.net.Close()
}

// writeHead writes the status line and the header. It replaces the handler's
// message framing and connection fields by those that apply to this connection.
// A response without a body keeps the handler's Content-Length: the answer to
// HEAD states the length that the body would have. A stream of unknown length
// to an HTTP/1.0 caller has no framing; the end of the connection ends it.
func writeHead(w *bufio.Writer, r *Response, last, bodiless, chunked bool) {
	_, _ = w.WriteString("HTTP/1.1 ")
	_, _ = w.WriteString(strconv.Itoa(r.Status))
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(http.StatusText(r.Status))
	_, _ = w.WriteString("\r\n")
	skip := map[string]bool{"Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Keep-Alive": true}
	if bodiless && r.Status != http.StatusNoContent { // which must not state a length
		delete(skip, "Content-Length")
	}
	_ = r.Header.WriteSubset(w, skip)
	switch {
	case bodiless:
	case chunked:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Stream != nil && r.Length >= 0:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(r.Length, 10) + "\r\n")
	case r.Stream == nil:
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if last {
		_, _ = w.WriteString("Connection: close\r\n")
	}
	_, _ = w.WriteString("\r\n")
}

// writeBody writes the body and reports whether it was written whole: a stream
// must end with io.EOF and have the length stated for it, if any.
func (c *conn) writeBody(w *bufio.Writer, r *Response, chunked bool) bool {
	if r.Stream == nil {
		_, err := w.Write(r.Body)
		return err == nil
	}
	out := io.Writer(&deadlineWriter{conn: c, w: w})
	if !chunked {
		n, err := io.Copy(out, r.Stream)
		return err == nil && (r.Length < 0 || n == r.Length)
	}
	chunks := &chunkWriter{w: out}
	if _, err := io.Copy(chunks, r.Stream); err != nil {
		return false
	}
	_, err := io.WriteString(out, "0\r\n\r\n")
	return err == nil
}

// deadlineWriter renews the write deadline before each write.
type deadlineWriter struct {
	conn *conn
	w    *bufio.Writer
}

func (d *deadlineWriter) Write(b []byte) (int, error) {
	_ = d.conn.net.SetWriteDeadline(time.Now().Add(WriteTimeout))
	n, err := d.w.Write(b)
	if err == nil {
		err = d.w.Flush()
	}
	return n, err
}

// chunkWriter writes each part as one chunk of the chunked transfer coding.
type chunkWriter struct {
	w     io.Writer
	frame []byte // reused, since a long body has many parts
}

func (c *chunkWriter) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	c.frame = strconv.AppendInt(c.frame[:0], int64(len(b)), 16)
	c.frame = append(c.frame, "\r\n"...)
	c.frame = append(c.frame, b...)
	c.frame = append(c.frame, "\r\n"...)
	if _, err := c.w.Write(c.frame); err != nil {
		return 0, err
	}
	return len(b), nil
}
