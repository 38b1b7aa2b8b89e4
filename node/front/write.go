package front

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"time"
)

// write returns the answers in order.
func (c *conn) write() {
	w := bufio.NewWriter(c.net)
	ended := false
	for s := range c.answers {
		if s.interim {
			if !ended {
				_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
				_, _ = w.WriteString("HTTP/1.1 100 Continue\r\n\r\n")
				_ = w.Flush()
			}
			c.done()
			continue
		}
		if ended {
			// The caller is gone or was told to go: what is still under way
			// has been canceled, and nobody reads its answer.
			go discard(s)
			c.done()
			continue
		}
		response := <-s.ready
		if !c.answer(w, s, response) {
			ended = true
			c.cancel()
			// Ends the reader, too.
			_ = c.net.SetReadDeadline(time.Now())
		}
		c.done()
	}
}

func discard(s *slot) {
	if r := <-s.ready; r != nil && r.Stream != nil {
		_ = r.Stream.Close()
	}
}

func (c *conn) done() {
	c.mu.Lock()
	c.pending--
	c.mu.Unlock()
}

// answer writes one answer and reports whether the connection goes on.
func (c *conn) answer(w *bufio.Writer, s *slot, r *Response) bool {
	if r == nil || r.Abort {
		return false
	}
	if r.Stream != nil {
		defer func() { _ = r.Stream.Close() }()
	}
	last := s.last || s.http10 || c.lastWhenStopping()
	bodiless := s.method == http.MethodHead || r.Status == http.StatusNoContent || r.Status == http.StatusNotModified
	chunked := r.Stream != nil && r.Length < 0 && !s.http10
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	writeHead(w, r, last, bodiless, chunked)
	if !bodiless && !c.writeBody(w, r, chunked) {
		return false
	}
	return w.Flush() == nil && !last
}

func writeHead(w *bufio.Writer, r *Response, last, bodiless, chunked bool) {
	_, _ = w.WriteString("HTTP/1.1 ")
	_, _ = w.WriteString(strconv.Itoa(r.Status))
	_ = w.WriteByte(' ')
	_, _ = w.WriteString(http.StatusText(r.Status))
	_, _ = w.WriteString("\r\n")
	skip := map[string]bool{"Content-Length": true, "Transfer-Encoding": true, "Connection": true, "Keep-Alive": true}
	if bodiless {
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

func (c *conn) writeBody(w *bufio.Writer, r *Response, chunked bool) bool {
	if r.Stream == nil {
		_, err := w.Write(r.Body)
		return err == nil
	}
	sink := io.Writer(&pacedWriter{conn: c, w: w})
	if !chunked {
		n, err := io.Copy(sink, r.Stream)
		return err == nil && (r.Length < 0 || n == r.Length)
	}
	pieces := &chunkWriter{w: sink}
	if _, err := io.Copy(pieces, r.Stream); err != nil {
		return false
	}
	_, err := io.WriteString(sink, "0\r\n\r\n")
	return err == nil
}

// pacedWriter renews the write deadline for each piece.
type pacedWriter struct {
	conn *conn
	w    *bufio.Writer
}

func (p *pacedWriter) Write(b []byte) (int, error) {
	_ = p.conn.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := p.w.Write(b)
	if err == nil {
		err = p.w.Flush()
	}
	return n, err
}

// chunkWriter frames each piece as a chunk.
type chunkWriter struct{ w io.Writer }

func (c *chunkWriter) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	frame := strconv.AppendInt(make([]byte, 0, len(b)+12), int64(len(b)), 16)
	frame = append(frame, "\r\n"...)
	frame = append(frame, b...)
	frame = append(frame, "\r\n"...)
	if _, err := c.w.Write(frame); err != nil {
		return 0, err
	}
	return len(b), nil
}
