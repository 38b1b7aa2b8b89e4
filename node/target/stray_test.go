package target

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// startRaw starts a target that handles each connection with serve, and returns a runner
// for it.
func startRaw(t *testing.T, serve func(conn net.Conn, r *bufio.Reader)) *Runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	runner := NewRunner(l.Addr().String(), 10)
	t.Cleanup(func() {
		_ = l.Close()
		runner.Close()
	})
	return runner
}

// readExchange reads a request and returns the field that its answer echoes, as a header line.
func readExchange(r *bufio.Reader) (echo string, ok bool) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return ExchangeHeader + ": " + request.Header.Get(ExchangeHeader) + "\r\n", true
}

const refusal = "HTTP/1.1 503 Service Unavailable\r\n%sRetry-After: 1\r\nContent-Length: 0\r\n\r\n"

// TestRepeatedRefusalIsNotTheAnswerToTheNextRequest guards against a target that writes a
// refusal once more on a kept connection: the caller of the next request would get it.
func TestRepeatedRefusalIsNotTheAnswerToTheNextRequest(t *testing.T) {
	for _, names := range []bool{true, false} {
		t.Run(fmt.Sprintf("names the exchange: %v", names), func(t *testing.T) {
			runner := startRaw(t, func(conn net.Conn, r *bufio.Reader) {
				first, ok := readExchange(r)
				if !ok {
					return
				}
				_, _ = fmt.Fprintf(conn, refusal, first)
				second, ok := readExchange(r)
				if !ok {
					return
				}
				if !names {
					first = ""
				}
				_, _ = fmt.Fprintf(conn, refusal+"HTTP/1.1 200 OK\r\n%sContent-Length: 3\r\n\r\nran", first, second)
				_, _ = readExchange(r)
			})
			first := runner.Run(t.Context(), newRequest(http.MethodPost, "x", nil))
			qt.Assert(t, first.Err, qt.IsNil)
			qt.Assert(t, first.Response.StatusCode, qt.Equals, 503)
			qt.Assert(t, first.Response.Header.Get(ExchangeHeader), qt.Equals, "")
			second := runner.Run(t.Context(), newRequest(http.MethodPost, "x", nil))
			qt.Assert(t, errors.Is(second.Err, ErrStray), qt.IsTrue, qt.Commentf("%v", second.Err))
			qt.Assert(t, second.Sent, qt.IsTrue)
			third := runner.Run(t.Context(), newRequest(http.MethodPost, "x", nil)) // on another connection
			qt.Assert(t, third.Err, qt.IsNil)
		})
	}
}

// TestTargetThatNamesNoExchangeIsAnswered guards against a target that does not know the field.
func TestTargetThatNamesNoExchangeIsAnswered(t *testing.T) {
	runner := startRaw(t, func(conn net.Conn, r *bufio.Reader) {
		for _, ok := readExchange(r); ok; _, ok = readExchange(r) {
			_, _ = fmt.Fprintf(conn, refusal, "")
		}
	})
	for range 3 {
		qt.Assert(t, runner.Run(t.Context(), newRequest(http.MethodPost, "x", nil)).Err, qt.IsNil)
	}
}

// TestResponseCutInItsHeadIsNone guards against a target that closes the connection in the
// middle of its response's head: callers would get a success with an empty or short body.
func TestResponseCutInItsHeadIsNone(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		for cut := range len(head) {
			runner := startRaw(t, func(conn net.Conn, r *bufio.Reader) {
				if _, ok := readExchange(r); ok {
					_, _ = io.WriteString(conn, head[:cut])
				}
			})
			result := runner.Run(t.Context(), newRequest(http.MethodGet, "", nil))
			qt.Assert(t, result.Response, qt.IsNil, qt.Commentf("cut after %d bytes", cut))
			qt.Assert(t, result.Err, qt.IsNotNil)
			qt.Assert(t, result.Sent, qt.IsTrue)
		}
	}
}
