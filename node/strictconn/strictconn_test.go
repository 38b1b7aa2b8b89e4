package strictconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var testLimits = Limits{Bytes: 16 << 10, Lines: 256}

// respond returns the response that net/http reads from a server that sends the bytes and
// closes the connection. Its error is that of the Conn, if there is one.
func respond(method, sent string) (status int, body string, header http.Header, err error) {
	client, server := net.Pipe()
	defer func() { _ = client.Close() }()
	go func() {
		_, _ = io.WriteString(server, sent)
		_ = server.Close()
	}()
	c := New(client, "test", testLimits)
	c.Expect(method)
	reader := bufio.NewReader(c)
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return 0, "", nil, errors.Join(c.err, err)
		}
		if response.StatusCode < 200 {
			continue
		}
		whole, err := io.ReadAll(response.Body)
		if err != nil {
			err = errors.Join(c.err, err) // the parser hides errors in trailers
		}
		return response.StatusCode, string(whole), response.Header, err
	}
}

const okLine = "HTTP/1.1 200 OK\r\n"

// TestSoundResponses guards against a check that refuses what servers may send.
func TestSoundResponses(t *testing.T) {
	for _, test := range []struct {
		name, method, sent string
		status             int
		body               string
	}{
		{"length", "GET", okLine + "Content-Length: 5\r\n\r\nhello", 200, "hello"},
		{"no length", "GET", okLine + "\r\nhello", 200, "hello"},
		{"chunks", "GET", okLine + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n002\r\nlo\r\n0\r\n\r\n", 200, "hello"},
		{"chunk extensions", "GET", okLine + "Transfer-Encoding: Chunked\r\n\r\n5 ; a=\"b c\"; d\r\nhello\r\n0;e\r\n\r\n", 200, "hello"},
		{"trailers", "GET", okLine + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n", 200, "hello"},
		{"interim responses", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + okLine + "Content-Length: 2\r\n\r\nok", 200, "ok"},
		{"no reason phrase", "GET", "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"no space after the code", "GET", "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"odd reason phrase", "GET", "HTTP/1.1 200 \t: sch\xf6n \r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\n\r\nok", 200, "ok"},
		{"later minor version", "GET", "HTTP/1.2 200 OK\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"lowest code", "GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		{"unknown code", "GET", "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nno", 599, "no"},
		{"204 with a length of 0", "GET", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 204, ""},
		{"304 with a length", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", 304, ""},
		{"HEAD with a length", "HEAD", okLine + "Content-Length: 7\r\n\r\n", 200, ""},
		{"HEAD with chunks", "HEAD", okLine + "Transfer-Encoding: chunked\r\n\r\n", 200, ""},
		{"equal lengths", "GET", okLine + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"space around a value", "GET", okLine + "Content-Length: \t2 \t\r\n\r\nok", 200, "ok"},
		{"empty value", "GET", okLine + "X-A:\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"bytes beyond ASCII in a value", "GET", okLine + "X-A: sch\xf6n \xe2\x82\xac\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"all token characters", "GET", okLine + "!#$%&'*+-.^_`|~09azAZ: v\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
		{"tab in a value", "GET", okLine + "X-A: a\tb\r\nContent-Length: 2\r\n\r\nok", 200, "ok"},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, body, _, err := respond(test.method, test.sent)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, status, qt.Equals, test.status)
			qt.Check(t, body, qt.Equals, test.body)
		})
	}
}

// TestMalformedResponses guards against bytes of a faulty server that callers get as an
// answer, and against a framing other than the one that the server stated.
func TestMalformedResponses(t *testing.T) {
	const length = "Content-Length: 2\r\n\r\nok"
	const chunked = okLine + "Transfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct {
		name, sent string
		reason     Reason
	}{
		{"no version", "200 OK\r\n" + length, StatusLine},
		{"other protocol", "HTTQ/1.1 200 OK\r\n" + length, StatusLine},
		{"lower case", "http/1.1 200 OK\r\n" + length, StatusLine},
		{"other major version", "HTTP/2.0 200 OK\r\n" + length, StatusLine},
		{"no minor version", "HTTP/1. 200 OK\r\n" + length, StatusLine},
		{"long version", "HTTP/1.10 200 OK\r\n" + length, StatusLine},
		{"two spaces", "HTTP/1.1  200 OK\r\n" + length, StatusLine},
		{"tab", "HTTP/1.1\t200 OK\r\n" + length, StatusLine},
		{"empty line before", "\r\n" + okLine + length, StatusLine},
		{"space before", " " + okLine + length, StatusLine},
		{"control character in the reason", "HTTP/1.1 200 O\x01K\r\n" + length, StatusLine},
		{"NUL in the reason", "HTTP/1.1 200 \x00\r\n" + length, StatusLine},
		{"short code", "HTTP/1.1 20 OK\r\n" + length, StatusLine},
		{"long code", "HTTP/1.1 2000 OK\r\n" + length, StatusLine},
		{"no code", "HTTP/1.1 OK\r\n" + length, StatusLine},
		{"code 000", "HTTP/1.1 000 OK\r\n" + length, StatusCode},
		{"code 020", "HTTP/1.1 020 OK\r\n" + length, StatusCode},
		{"code 099", "HTTP/1.1 099 OK\r\n" + length, StatusCode},
		{"code +20", "HTTP/1.1 +20 OK\r\n" + length, StatusCode},
		{"code -20", "HTTP/1.1 -20 OK\r\n" + length, StatusCode},
		{"code 2x0", "HTTP/1.1 2x0 OK\r\n" + length, StatusCode},
		{"code 600", "HTTP/1.1 600 OK\r\n" + length, StatusCode},
		{"code 999", "HTTP/1.1 999 OK\r\n" + length, StatusCode},
		{"code 101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", Upgrade},
		{"interim code 000", "HTTP/1.1 000 Hints\r\n\r\n" + okLine + length, StatusCode},
		{"malformed field of an interim response", "HTTP/1.1 103 Hints\r\nX A: b\r\n\r\n" + okLine + length, FieldName},
		{"interim response with a length", "HTTP/1.1 103 Hints\r\nContent-Length: 2\r\n\r\nok" + okLine + length, UnexpectedBody},
		{"interim response with chunks", "HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + okLine + length, UnexpectedBody},
		{"204 with a length", "HTTP/1.1 204 No Content\r\n" + length, UnexpectedBody},
		{"204 with chunks", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", UnexpectedBody},
		{"bare LF after the status line", "HTTP/1.1 200 OK\n" + length, LineEnd},
		{"bare LF after a field", okLine + "X-A: b\n" + length, LineEnd},
		{"bare LF at the end of the head", okLine + "X-A: b\r\n\nok", LineEnd},
		{"bare CR in a value", okLine + "X-A: b\rc\r\n" + length, FieldValue},
		{"blank in a name", okLine + "X A: b\r\n" + length, FieldName},
		{"blank after a name", okLine + "X-A : b\r\n" + length, FieldName},
		{"blank after Content-Length", okLine + "Content-Length : 2\r\n\r\nok", FieldName},
		{"blank after Transfer-Encoding", okLine + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", FieldName},
		{"control character in a name", okLine + "X\x01A: b\r\n" + length, FieldName},
		{"control character in Content-Length", okLine + "Content\x00-Length: 2\r\n\r\nok", FieldName},
		{"DEL in a name", okLine + "X\x7fA: b\r\n" + length, FieldName},
		{"byte beyond ASCII in a name", okLine + "X\xf6A: b\r\n" + length, FieldName},
		{"separator in a name", okLine + "X(A): b\r\n" + length, FieldName},
		{"empty name", okLine + ": b\r\n" + length, FieldName},
		{"no colon", okLine + "garbage\r\n" + length, FieldName},
		{"control character in a value", okLine + "X-A: b\x02\r\n" + length, FieldValue},
		{"NUL in a value", okLine + "X-A: b\x00c\r\n" + length, FieldValue},
		{"DEL in a value", okLine + "X-A: \x7f\r\n" + length, FieldValue},
		{"folded line", okLine + "X-A: b\r\n c\r\n" + length, FoldedLine},
		{"folded first line", okLine + " X-A: b\r\n" + length, FoldedLine},
		{"line of blanks", okLine + "X-A: b\r\n \r\n" + length, FoldedLine},
		{"different lengths", okLine + "Content-Length: 3\r\n" + length, ContentLength},
		{"list of lengths", okLine + "Content-Length: 2, 2\r\n\r\nok", ContentLength},
		{"length with a sign", okLine + "Content-Length: +2\r\n\r\nok", ContentLength},
		{"negative length", okLine + "Content-Length: -1\r\n\r\nok", ContentLength},
		{"empty length", okLine + "Content-Length:\r\n\r\nok", ContentLength},
		{"hexadecimal length", okLine + "Content-Length: 0x2\r\n\r\nok", ContentLength},
		{"length out of range", okLine + "Content-Length: 9223372036854775808\r\n\r\nok", ContentLength},
		{"length and chunks", okLine + "Transfer-Encoding: chunked\r\n" + length, TransferEncoding},
		{"other coding", okLine + "Transfer-Encoding: gzip\r\n\r\nok", TransferEncoding},
		{"two codings", okLine + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", TransferEncoding},
		{"chunked twice", okLine + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", TransferEncoding},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", TransferEncoding},
		{"no chunk size", chunked + "\r\nok\r\n0\r\n\r\n", Chunk},
		{"chunk size with a sign", chunked + "+2\r\nok\r\n0\r\n\r\n", Chunk},
		{"chunk size with a prefix", chunked + "0x2\r\nok\r\n0\r\n\r\n", Chunk},
		{"chunk size out of range", chunked + "8000000000000000\r\nok\r\n", Chunk},
		{"blank after a chunk size", chunked + "2 \r\nok\r\n0\r\n\r\n", Chunk},
		{"empty chunk extension", chunked + "2;\r\nok\r\n0\r\n\r\n", Chunk},
		{"control character in a chunk extension", chunked + "2;a=\x01\r\nok\r\n0\r\n\r\n", Chunk},
		{"bare LF after a chunk size", chunked + "2\nok\r\n0\r\n\r\n", LineEnd},
		{"chunk longer than its size", chunked + "2\r\nokay\r\n0\r\n\r\n", Chunk},
		{"malformed trailer", chunked + "2\r\nok\r\n0\r\nX A: b\r\n\r\n", FieldName},
		{"folded trailer", chunked + "2\r\nok\r\n0\r\nX-A: b\r\n c\r\n\r\n", FoldedLine},
		{"control character in a trailer", chunked + "2\r\nok\r\n0\r\nX-A: b\x01\r\n\r\n", FieldValue},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, body, header, err := respond("GET", test.sent)
			var malformed *MalformedError
			qt.Assert(t, errors.As(err, &malformed), qt.IsTrue, qt.Commentf("%d %v %q: %v", status, header, body, err))
			qt.Check(t, malformed.Reason, qt.Equals, test.reason)
		})
	}
}

// TestResponseCutOffAnywhereIsIncomplete guards against a response that breaks off and looks
// whole. One without a length may end anywhere in its body.
func TestResponseCutOffAnywhereIsIncomplete(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 100 Continue\r\n\r\n" + okLine + "Content-Length: 5\r\n\r\nhello",
		okLine + "Transfer-Encoding: chunked\r\n\r\n3;a\r\nhel\r\n2\r\nlo\r\n0\r\nX-A: b\r\n\r\n",
		okLine + "X-A: b\r\n\r\n",
	} {
		for cut := range len(whole) {
			_, _, _, err := respond("GET", whole[:cut])
			qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", whole[:cut]))
		}
		_, _, _, err := respond("GET", whole)
		qt.Check(t, err, qt.IsNil)
	}
}

// TestHeadBeyondTheLimits guards against a head, a trailer or a chunk size without end.
func TestHeadBeyondTheLimits(t *testing.T) {
	const chunked = okLine + "Transfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct {
		name, begin, piece string
		err                error
	}{
		{"status line", "HTTP/1.1 200 ", "x", ErrTooLong},
		{"value", okLine + "X-A: ", "x", ErrTooLong},
		{"lines", okLine, "a:b\r\n", ErrTooLong},
		{"chunk size", chunked, "0", ErrTooLong},
		{"chunk extension", chunked + "1;a=", "x", ErrTooLong},
		{"trailers", chunked + "0\r\n", "a:b\r\n", ErrTooLong},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, _, _, err := respond("GET", test.begin+strings.Repeat(test.piece, testLimits.Bytes+1))
			qt.Assert(t, errors.Is(err, test.err), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestBytesWithoutARequest guards against bytes after a response that are taken for the next
// one, or that a transport logs as they are.
func TestBytesWithoutARequest(t *testing.T) {
	const response = okLine + "Content-Length: 2\r\n\r\nok"
	client, server := net.Pipe()
	defer func() { _ = client.Close() }()
	go func() { _, _ = io.WriteString(server, response+response) }()
	c := New(client, "test", testLimits)
	c.Expect("GET")
	got := make([]byte, len(response))
	_, err := io.ReadFull(c, got)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, c.Buffered(), qt.Equals, len(response))
	n, err := c.Read(got)
	qt.Check(t, n, qt.Equals, 0)
	qt.Check(t, errors.Is(err, ErrUnasked), qt.IsTrue)
}

// TestReadReturnsAllThatHasArrived guards against a read for each chunk of an answer, of which
// every one is passed on in a write of its own, and against bytes that wait for later ones.
func TestReadReturnsAllThatHasArrived(t *testing.T) {
	chunk := "20\r\n" + strings.Repeat("x", 32) + "\r\n"
	head := okLine + "Transfer-Encoding: chunked\r\n\r\n"
	const begun = "20\r\nabc"
	client, server := net.Pipe()
	defer func() { _ = client.Close() }()
	parts := []string{head + strings.Repeat(chunk, 50), begun, strings.Repeat("y", 29) + "\r\n0\r\n\r\n"}
	go func() {
		for _, part := range parts {
			_, _ = io.WriteString(server, part)
		}
	}()
	c := New(client, "test", testLimits)
	c.Expect("GET")
	got := make([]byte, 8<<10)
	for _, part := range parts {
		n, err := c.Read(got)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(got[:n]), qt.Equals, part)
	}
	qt.Assert(t, c.Buffered(), qt.Equals, 0)
}

// TestResetResponseWithoutLengthIsIncomplete guards against a reset that a write of the
// request is told of: the read that follows finds a regular end.
func TestResetResponseWithoutLengthIsIncomplete(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	for _, reset := range []bool{true, false} {
		client, err := net.Dial("tcp", l.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		server, err := l.Accept()
		qt.Assert(t, err, qt.IsNil)
		c := New(client, "test", testLimits)
		c.Expect("POST")
		const sent = okLine + "\r\npart"
		_, _ = io.WriteString(server, sent)
		got := make([]byte, len(sent))
		_, err = io.ReadFull(c, got)
		qt.Assert(t, err, qt.IsNil)
		if reset {
			qt.Assert(t, server.(*net.TCPConn).SetLinger(0), qt.IsNil)
		}
		qt.Assert(t, server.Close(), qt.IsNil)
		if reset {
			for err == nil { // until the write is told of the reset
				_, err = io.WriteString(client, "upload")
				time.Sleep(time.Millisecond)
			}
		}
		_, err = c.Read(got)
		if reset {
			qt.Check(t, errors.Is(err, ErrReset), qt.IsTrue, qt.Commentf("%v", err))
		} else {
			qt.Check(t, err, qt.Equals, io.EOF)
		}
		_ = client.Close()
	}
}

// FuzzFraming requires that the parser of net/http ends a response where the Conn does: where
// they differ, a part of the response would be read as the next one.
func FuzzFraming(f *testing.F) {
	for _, seed := range []string{
		okLine + "Content-Length: 2\r\n\r\nok" + okLine,
		okLine + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nhel\r\n2\r\nlo\r\n0\r\nX-A: b\r\n\r\n",
		"HTTP/1.1 103 Hints\r\nX-A: b\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n" + okLine,
		"HTTP/1.0 404\r\n\r\nbody", okLine + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 304 \r\nContent-Length: 9\r\n\r\n",
		"HTTP/1.1 205 Reset\r\nContent-Length: 1\r\n\r\nx", okLine + "Connection: close\r\nTrailer: X-A\r\n\r\nx",
	} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	f.Fuzz(func(t *testing.T, sent []byte, isHead bool) {
		method := http.MethodGet
		if isHead {
			method = http.MethodHead
		}
		client, server := net.Pipe()
		go func() {
			_, _ = server.Write(sent)
			_ = server.Close()
		}()
		defer func() { _ = client.Close() }()
		c := New(client, "test", testLimits)
		c.Expect(method)
		reader := bufio.NewReader(c)
		for {
			response, err := http.ReadResponse(reader, &http.Request{Method: method})
			if err != nil {
				return
			}
			if response.StatusCode < http.StatusOK {
				continue
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return
			}
			if c.state != stateStatusLine && c.err != io.EOF || reader.Buffered() > 0 {
				t.Fatalf("the parser ends a response in state %d, with %d bytes left", c.state, reader.Buffered())
			}
			return
		}
	})
}
