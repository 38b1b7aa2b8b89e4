package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/strictconn"
)

// TestMalformedResponseIsNone guards against a faulty target whose bytes callers get as an
// answer. %s stands for the fields of a sound one.
func TestMalformedResponseIsNone(t *testing.T) {
	for name, response := range map[string]string{
		"status 000":                        "HTTP/1.1 000 OK\r\n%sContent-Length: 2\r\n\r\nok",
		"status 020":                        "HTTP/1.1 020 OK\r\n%sContent-Length: 2\r\n\r\nok",
		"status 999":                        "HTTP/1.1 999 OK\r\n%sContent-Length: 2\r\n\r\nok",
		"other protocol version":            "HTTP/3.0 200 OK\r\n%sContent-Length: 2\r\n\r\nok",
		"blank in a field name":             "HTTP/1.1 200 OK\r\n%sX A: b\r\nContent-Length: 2\r\n\r\nok",
		"blank after a framing field":       "HTTP/1.1 200 OK\r\n%sContent-Length : 2\r\n\r\nok",
		"control character in a field name": "HTTP/1.1 200 OK\r\n%sX\x01A: b\r\nContent-Length: 2\r\n\r\nok",
		"control character in a value":      "HTTP/1.1 200 OK\r\n%sX-A: b\x01\r\nContent-Length: 2\r\n\r\nok",
		"folded line":                       "HTTP/1.1 200 OK\r\n%sX-A: b\r\n c\r\nContent-Length: 2\r\n\r\nok",
		"length beside chunks":              "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks in HTTP/1.0":                "HTTP/1.0 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"body of a 204":                     "HTTP/1.1 204 No Content\r\n%sContent-Length: 2\r\n\r\nok",
		"interim status 000":                "HTTP/1.1 000 Hints\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok",
		"malformed interim response":        "HTTP/1.1 103 Hints\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok",
		"malformed trailer":                 "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: b\r\n\r\n",
	} {
		for kept := range 2 {
			t.Run(fmt.Sprintf("%s, %d before", name, kept), func(t *testing.T) {
				p, conns := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
					for range kept {
						id, _ := readRequest(r)
						writeResponse(conn, id, "whole")
					}
					id, _ := readRequest(r)
					_, _ = fmt.Fprintf(conn, response, "X-Id: "+id+"\r\nX-Mark: m\r\n")
					_, _ = readRequest(r)
				})
				for range kept {
					qt.Assert(t, p.Do(t.Context(), newRequest("0")).Err, qt.IsNil)
				}
				result := p.Do(t.Context(), newRequest("1"))
				qt.Assert(t, result.Response, qt.IsNil)
				qt.Assert(t, result.Err, qt.IsNotNil)
				qt.Assert(t, result.Sent, qt.IsTrue)
				qt.Assert(t, p.Idle(), qt.Equals, 0)
				qt.Assert(t, conns.Load(), qt.Equals, int64(1))
			})
		}
	}
}

// TestMalformedResponseStatesItsReason guards against log lines with the target's bytes.
func TestMalformedResponseStatesItsReason(t *testing.T) {
	p, _ := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		_, _ = readRequest(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nsecret bytes\r\n\r\n")
	})
	result := p.Do(t.Context(), newRequest("1"))
	var malformed *strictconn.MalformedError
	qt.Assert(t, errors.As(result.Err, &malformed), qt.IsTrue, qt.Commentf("%v", result.Err))
	qt.Assert(t, malformed.Reason, qt.Equals, strictconn.FieldName)
	qt.Assert(t, strings.Contains(result.Err.Error(), "secret"), qt.IsFalse)
}

// TestResetAnswerToAnUploadIsIncomplete guards against a target that answers a long upload at
// once without a length, and resets the connection while the upload is still written: a
// write that is told of the reset makes the read that follows find a regular end.
func TestResetAnswerToAnUploadIsIncomplete(t *testing.T) {
	const tries = 60
	for _, sent := range []int{5, 2 * MaxSmallBody} {
		p, _ := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Mark: m\r\n\r\n%s", request.Header.Get("X-Id"), strings.Repeat("x", sent))
			_, _ = io.CopyN(io.Discard, r, 64<<10)
			_ = conn.(*net.TCPConn).SetLinger(0)
		})
		for try := range tries {
			request := newRequest(fmt.Sprint(try))
			request.Method, request.Length = http.MethodPost, 8<<20
			request.RemainingBody = bytes.NewReader(make([]byte, request.Length))
			result := p.Do(t.Context(), request)
			if result.Response == nil {
				continue
			}
			qt.Assert(t, result.Response.Stream, qt.IsNotNil, qt.Commentf("try %d of %d bytes: %d bytes look complete", try, sent, len(result.Response.Body)))
			qt.Check(t, result.Response.Complete, qt.IsFalse)
			_, err := io.Copy(io.Discard, result.Response.Stream)
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("try %d of %d bytes", try, sent))
			_ = result.Response.Stream.Close()
		}
	}
}

// TestEarlyAnswerWithoutLengthIsDelivered guards against an answer that is refused although its
// target has closed the connection in order, before it read the whole upload.
func TestEarlyAnswerWithoutLengthIsDelivered(t *testing.T) {
	p, _ := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Mark: m\r\n\r\nearly", request.Header.Get("X-Id"))
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, request.Body)
	})
	request := newRequest("1")
	request.Method, request.Length = http.MethodPost, 8<<20
	request.RemainingBody = bytes.NewReader(make([]byte, request.Length))
	result := p.Do(t.Context(), request)
	qt.Assert(t, result.Err, qt.IsNil)
	qt.Assert(t, string(result.Response.Body), qt.Equals, "early")
}
