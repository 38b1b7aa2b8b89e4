package front

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against the rest of a body that is served as a request: a caller that is cut off pauses
// amid an upload for longer than the body's timeout, and then sends on. The handler reads the
// body to its end, or not at all.
func TestRestOfAPausedBodyIsNoRequest(t *testing.T) {
	const size, first = maxBufferedBody + 3000, maxBufferedBody + 1000
	const smuggled = "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	for _, framing := range []string{"length", "chunks"} {
		for _, reads := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, handler reads: %v", framing, reads), func(t *testing.T) {
				var inner atomic.Int64
				_, addr := startServerWith(t, testLimits, func(_ context.Context, r *Request) *Response {
					if r.Path() == "/inner" {
						inner.Add(1)
					}
					if r.Rest != nil && reads {
						if _, err := io.Copy(io.Discard, r.Rest); err != nil {
							return &Response{Status: http.StatusServiceUnavailable}
						}
					}
					return &Response{Status: http.StatusOK}
				}, 30*time.Millisecond)
				c := dial(t, addr)
				if framing == "length" {
					c.send(fmt.Sprintf("POST /up HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", first)))
				} else {
					c.send(fmt.Sprintf("POST /up HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", size, strings.Repeat("x", first)))
				}
				status, _, header := c.receive()
				qt.Check(t, status == http.StatusServiceUnavailable, qt.Equals, reads)
				qt.Check(t, header.Get("Connection"), qt.Equals, "close")
				_, _ = io.WriteString(c.conn, smuggled+strings.Repeat("x", size-first-len(smuggled)))
				_, err := c.r.ReadByte()
				qt.Check(t, err, qt.IsNotNil)
				qt.Check(t, inner.Load(), qt.Equals, int64(0))
			})
		}
	}
}

// Guards against a byte of an upload that the server takes from a handler which still reads the
// body while its response is sent, and against two readers of a connection.
func TestBodyIsReadOnWhileTheResponseIsSent(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 40<<10) // 640 KB
	got := make(chan string, 1)
	_, addr := startServer(t, testLimits, func(_ context.Context, r *Request) *Response {
		reader, writer := io.Pipe()
		go func() {
			rest, err := io.ReadAll(r.Rest)
			got <- string(r.Body) + string(rest)
			_ = writer.CloseWithError(err)
		}()
		return &Response{Status: http.StatusOK, Stream: reader, Length: -1}
	})
	for range 20 {
		c := dial(t, addr)
		half := len(body)/2 + maxBufferedBody/4
		c.send(fmt.Sprintf("POST /up HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(body), body[:half]))
		time.Sleep(time.Millisecond) // the handler has begun, usually
		c.send(body[half:] + "\r\n0\r\n\r\n")
		response, err := http.ReadResponse(c.r, nil)
		qt.Assert(t, err, qt.IsNil)
		_, err = io.ReadAll(response.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.Close, qt.IsTrue)
		received := <-got
		qt.Assert(t, received == body, qt.IsTrue, qt.Commentf("%d of %d bytes", len(received), len(body)))
	}
}
