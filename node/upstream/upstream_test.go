package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// testBuffers is the memory for long bodies, in bytes: enough for two.
const testBuffers = 2 * maxBufferedBody

var testFields = Fields{RequestID: "X-Id", Mark: "X-Mark"}

// startTarget starts a target that handles each connection with serve, and
// returns a pool for it and its connection count; n numbers connections from 1.
func startTarget(t *testing.T, serve func(n int, conn net.Conn, r *bufio.Reader)) (*Pool, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	var conns atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			n := int(conns.Add(1))
			go func() {
				defer func() { _ = conn.Close() }()
				serve(n, conn, bufio.NewReader(conn))
			}()
		}
	}()
	p := NewPool(l.Addr().String(), testFields, 0, NewBuffers(testBuffers))
	t.Cleanup(func() {
		p.Close()
		_ = l.Close()
	})
	return p, &conns
}

func readRequest(r *bufio.Reader) (id string, ok bool) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get("X-Id"), true
}

func writeResponse(w io.Writer, id, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Mark: m\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newRequest(id string) *Request {
	return &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"X-Id": {id}}, ID: id}
}

func TestConnectionIsReused(t *testing.T) {
	p, conns := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			id, ok := readRequest(r)
			if !ok {
				return
			}
			writeResponse(conn, id, "body of "+id)
		}
	})
	for i := range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		id := fmt.Sprint(i)
		result := p.Do(ctx, newRequest(id))
		qt.Assert(t, result.Err, qt.IsNil)
		qt.Assert(t, string(result.Response.Body), qt.Equals, "body of "+id)
		cancel()
	}
	qt.Assert(t, conns.Load(), qt.Equals, int64(1))
}

func TestLateResponseIsSkipped(t *testing.T) {
	p, _ := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		first, _ := readRequest(r)
		writeResponse(conn, first, "one")
		second, ok := readRequest(r)
		if !ok {
			return
		}
		writeResponse(conn, first, "one")
		writeResponse(conn, second, "two")
		_, _ = readRequest(r)
	})
	qt.Assert(t, p.Do(t.Context(), newRequest("1")).Err, qt.IsNil)
	result := p.Do(t.Context(), newRequest("2"))
	qt.Assert(t, result.Err, qt.IsNil)
	qt.Assert(t, string(result.Response.Body), qt.Equals, "two")
}

func TestTrailingBytesCloseTheConnection(t *testing.T) {
	p, conns := startTarget(t, func(n int, conn net.Conn, r *bufio.Reader) {
		id, _ := readRequest(r)
		var out strings.Builder
		writeResponse(&out, id, "whole")
		if n == 1 {
			writeResponse(&out, id, "copy")
		}
		_, _ = io.WriteString(conn, out.String())
		_, _ = readRequest(r)
	})
	for _, id := range []string{"1", "2"} {
		result := p.Do(t.Context(), newRequest(id))
		qt.Assert(t, result.Err, qt.IsNil)
		qt.Assert(t, string(result.Response.Body), qt.Equals, "whole")
	}
	qt.Assert(t, conns.Load(), qt.Equals, int64(2))
}

func TestInvalidResponses(t *testing.T) {
	for name, response := range map[string]string{
		"truncated body":   "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Mark: m\r\nContent-Length: 10\r\n\r\nhalf",
		"not HTTP":         "garbage\r\n\r\n",
		"missing mark":     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok",
		"content encoding": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Mark: m\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"truncated chunk":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Mark: m\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no response":      "",
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				_, _ = readRequest(r)
				_, _ = io.WriteString(conn, response)
			})
			result := p.Do(t.Context(), newRequest("1"))
			qt.Assert(t, result.Err, qt.IsNotNil)
			qt.Assert(t, result.Sent, qt.IsTrue)
			qt.Assert(t, result.Response, qt.IsNil)
		})
	}
}

func TestResponseDelimitedByConnectionClose(t *testing.T) {
	p, _ := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Mark: m\r\n\r\nall of it")
	})
	result := p.Do(t.Context(), newRequest("1"))
	qt.Assert(t, result.Err, qt.IsNil)
	qt.Assert(t, string(result.Response.Body), qt.Equals, "all of it")
}

func TestEarlyResponseClosesTheConnection(t *testing.T) {
	p, conns := startTarget(t, func(n int, conn net.Conn, r *bufio.Reader) {
		head, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		writeResponse(conn, head.Header.Get("X-Id"), "early")
		_, _ = readRequest(r)
	})
	long := newRequest("1")
	never, stop := io.Pipe()
	defer func() { _ = stop.Close() }()
	long.Method, long.RemainingBody, long.Length = http.MethodPost, never, -1
	result := p.Do(t.Context(), long)
	qt.Assert(t, result.Err, qt.IsNil)
	qt.Assert(t, string(result.Response.Body), qt.Equals, "early")
	qt.Assert(t, p.Do(t.Context(), newRequest("2")).Err, qt.IsNil)
	qt.Assert(t, conns.Load(), qt.Equals, int64(2))
}

func TestCancelClosesTheConnection(t *testing.T) {
	reached, closed := make(chan struct{}), make(chan struct{})
	p, _ := startTarget(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		close(reached)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-reached
		cancel()
	}()
	result := p.Do(ctx, newRequest("1"))
	qt.Assert(t, errors.Is(result.Err, context.Canceled), qt.IsTrue)
	qt.Assert(t, result.Sent, qt.IsTrue)
	<-closed
}

func TestClosedPortIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	_ = l.Close()
	result := NewPool(l.Addr().String(), testFields, 0, NewBuffers(testBuffers)).Do(t.Context(), newRequest("1"))
	qt.Assert(t, result.Sent, qt.IsFalse)
	qt.Assert(t, result.Refused, qt.IsTrue)
}

// Stray bytes arrive on an idle connection just as a request acquires it. The
// request must not start on that connection, which is about to close.
func TestRequestIsNotStartedOnAClosedConnection(t *testing.T) {
	p, conns := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			id, ok := readRequest(r)
			if !ok {
				return
			}
			writeResponse(conn, id, "whole")
		}
	})
	qt.Assert(t, p.Do(t.Context(), newRequest("1")).Err, qt.IsNil)
	p.mu.Lock()
	idle := p.idle[0]
	p.mu.Unlock()
	qt.Assert(t, idle.pendingExchange(), qt.IsNil) // as the read loop does after stray bytes
	qt.Assert(t, idle.startExchange(&exchange{}), qt.IsFalse)
	result := p.Do(t.Context(), newRequest("2"))
	qt.Assert(t, result.Err, qt.IsNil)
	qt.Assert(t, conns.Load(), qt.Equals, int64(2))
}

// Guards against a part of a body that reaches the target as a whole one, and against bytes
// beyond the stated length, which it would take for another request.
func TestBodyThatDiffersFromItsLengthIsNoWholeRequest(t *testing.T) {
	body := strings.Repeat("x", 2*maxInlineWrite)
	second := "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, test := range []struct {
		name, body string
		length     int64
		end        error
		whole      bool
	}{
		{"short", body, int64(len(body)) + 1, io.EOF, false},
		{"long", body + second, int64(len(body)), io.EOF, true},
		{"broken off at its length", body, int64(len(body)), io.ErrUnexpectedEOF, true},
		{"broken off in chunks", body, -1, io.ErrUnexpectedEOF, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			requests := make(chan bool, 4) // whether each one was whole
			p, _ := startTarget(t, func(_ int, _ net.Conn, r *bufio.Reader) {
				defer close(requests)
				for {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, err = io.Copy(io.Discard, request.Body)
					requests <- err == nil
				}
			})
			r := newRequest("1")
			r.Method, r.Length = http.MethodPost, test.length
			r.RemainingBody = io.MultiReader(strings.NewReader(test.body), iotest.ErrReader(test.end))
			qt.Check(t, p.Do(t.Context(), r).Err, qt.IsNotNil)
			qt.Check(t, <-requests, qt.Equals, test.whole)
			_, more := <-requests
			qt.Check(t, more, qt.IsFalse)
		})
	}
}
