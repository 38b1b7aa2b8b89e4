package target

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/strictconn"
)

// TestMalformedResponseIsNone guards against a faulty target whose bytes callers get as an
// answer. %s stands for a field of a sound one.
func TestMalformedResponseIsNone(t *testing.T) {
	for name, response := range map[string]string{
		"status 000":                        "HTTP/1.1 000 OK\r\n%sContent-Length: 2\r\n\r\nok",
		"status 020":                        "HTTP/1.1 020 OK\r\n%sContent-Length: 2\r\n\r\nok",
		"status 999":                        "HTTP/1.1 999 OK\r\n%sContent-Length: 2\r\n\r\nok",
		"status 101":                        "HTTP/1.1 101 Switching Protocols\r\n%s\r\n",
		"other protocol version":            "HTTP/3.0 200 OK\r\n%sContent-Length: 2\r\n\r\nok",
		"blank in a field name":             "HTTP/1.1 200 OK\r\n%sX A: b\r\nContent-Length: 2\r\n\r\nok",
		"blank after a framing field":       "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\nTransfer-Encoding : chunked\r\n\r\nok",
		"control character in a field name": "HTTP/1.1 200 OK\r\n%sX\x01A: b\r\nContent-Length: 2\r\n\r\nok",
		"control character in a value":      "HTTP/1.1 200 OK\r\n%sX-A: b\x01\r\nContent-Length: 2\r\n\r\nok",
		"folded line":                       "HTTP/1.1 200 OK\r\n%sX-A: b\r\n c\r\nContent-Length: 2\r\n\r\nok",
		"length beside chunks":              "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"chunks in HTTP/1.0":                "HTTP/1.0 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"body of a 204":                     "HTTP/1.1 204 No Content\r\n%sContent-Length: 2\r\n\r\nok",
		"malformed interim response":        "HTTP/1.1 103 Hints\r\nX A: b\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			runner := startRaw(t, func(conn net.Conn, r *bufio.Reader) {
				exchange, ok := readExchange(r)
				if !ok {
					return
				}
				_, _ = fmt.Fprintf(conn, response, exchange)
				_, _ = readExchange(r)
			})
			result := runner.Run(t.Context(), newRequest(http.MethodPost, "x", nil))
			qt.Assert(t, result.Response, qt.IsNil)
			var malformed *strictconn.MalformedError
			qt.Assert(t, errors.As(result.Err, &malformed), qt.IsTrue, qt.Commentf("%v", result.Err))
			qt.Assert(t, result.Sent, qt.IsTrue)
		})
	}
}

// TestMalformedTrailerBreaksOffTheBody guards against a body that looks whole although what
// ends it does not follow the grammar.
func TestMalformedTrailerBreaksOffTheBody(t *testing.T) {
	runner := startRaw(t, func(conn net.Conn, r *bufio.Reader) {
		if exchange, ok := readExchange(r); ok {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX A: b\r\n\r\n", exchange)
		}
	})
	result := runner.Run(t.Context(), newRequest(http.MethodGet, "", nil))
	qt.Assert(t, result.Err, qt.IsNil)
	_, err := io.Copy(io.Discard, result.Response.Body)
	qt.Assert(t, err, qt.IsNotNil)
}

// TestBytesAfterAResponseAreNotLogged guards against a target that goes on after its response:
// net/http writes such bytes to the standard logger.
func TestBytesAfterAResponseAreNotLogged(t *testing.T) {
	var logged bytes.Buffer
	log.SetOutput(&logged)
	defer log.SetOutput(os.Stderr)
	closed := make(chan struct{})
	runner := startRaw(t, func(conn net.Conn, r *bufio.Reader) {
		exchange, ok := readExchange(r)
		if !ok {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", exchange)
		_, err := io.WriteString(conn, "more bytes")
		for err == nil {
			_, err = io.WriteString(conn, "more bytes")
		}
		close(closed)
	})
	result := runner.Run(t.Context(), newRequest(http.MethodGet, "", nil))
	qt.Assert(t, result.Err, qt.IsNil)
	body, err := io.ReadAll(result.Response.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "ok")
	qt.Assert(t, result.Response.Body.Close(), qt.IsNil)
	<-closed // by the transport, which had read them
	qt.Assert(t, logged.String(), qt.Equals, "")
}
