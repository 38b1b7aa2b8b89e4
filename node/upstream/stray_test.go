package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// refusal returns a response that says that the request did not run. It names no request if
// id is empty.
func refusal(id string) string {
	if id != "" {
		id = "X-Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + id + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

// TestRepeatedRefusalIsNotTheAnswerToTheNextRequest guards against a target that writes a
// refusal once more on a kept connection: a request that it runs would be reported as not run.
func TestRepeatedRefusalIsNotTheAnswerToTheNextRequest(t *testing.T) {
	for _, test := range []struct {
		name, repeated string
		answered       bool
	}{
		{"names the refused request", refusal("1"), true},
		{"names no request", refusal(""), false},
		{"closes the connection", "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nX-Not-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, conns := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				first, _ := readRequest(r)
				_, _ = io.WriteString(conn, refusal(first))
				second, ok := readRequest(r)
				if !ok {
					return
				}
				_, _ = io.WriteString(conn, test.repeated)
				writeResponse(conn, second, "ran")
				_, _ = readRequest(r)
			})
			refused := p.Do(t.Context(), newRequest("1"))
			qt.Assert(t, refused.Err, qt.IsNil)
			qt.Assert(t, refused.Response.Status, qt.Equals, 503)
			result := p.Do(t.Context(), newRequest("2"))
			qt.Assert(t, conns.Load(), qt.Equals, int64(1))
			if test.answered {
				qt.Assert(t, result.Err, qt.IsNil)
				qt.Assert(t, string(result.Response.Body), qt.Equals, "ran")
				return
			}
			qt.Assert(t, errors.Is(result.Err, ErrStray), qt.IsTrue, qt.Commentf("%+v", result.Response))
			qt.Assert(t, result.Sent, qt.IsTrue)
		})
	}
}

// A target may not have read the request's ID when it refuses it. On a new connection
// nothing else can be meant.
func TestFirstResponseNeedsNoID(t *testing.T) {
	p, _ := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(conn, refusal(""))
	})
	result := p.Do(t.Context(), newRequest("1"))
	qt.Assert(t, result.Err, qt.IsNil)
	qt.Assert(t, result.Response.Status, qt.Equals, 503)
}

// TestResponseCutInItsHeadIsNone guards against a target that closes the connection in the
// middle of its response's head: callers would get a success with an empty or short body.
func TestResponseCutInItsHeadIsNone(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Mark: m\r\nContent-Length: 12\r\n\r\n"
	for _, prefix := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n"} {
		for kept := range 2 {
			whole := prefix + fmt.Sprintf(head, fmt.Sprint(kept))
			for cut := range len(whole) + len("hello, world") {
				p, _ := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
					for range kept {
						id, _ := readRequest(r)
						writeResponse(conn, id, "whole")
					}
					_, _ = readRequest(r)
					_, _ = io.WriteString(conn, (whole + "hello, world")[:cut])
				})
				for range kept {
					qt.Assert(t, p.Do(t.Context(), newRequest("first")).Err, qt.IsNil)
				}
				result := p.Do(t.Context(), newRequest(fmt.Sprint(kept)))
				qt.Assert(t, result.Response, qt.IsNil, qt.Commentf("cut after %d bytes", cut))
				qt.Assert(t, result.Err, qt.IsNotNil)
				qt.Assert(t, result.Sent, qt.IsTrue)
			}
		}
	}
}
