package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxEndlessBytes ends an answer that is meant to be without end, so that a test
// that fails does not take all memory.
const maxEndlessBytes = 64 << 20

// writeEndless writes the piece again and again until the connection is closed, and
// returns how many bytes were written.
func writeEndless(conn net.Conn, begin, piece string) int {
	block := strings.Repeat(piece, max(1, (64<<10)/len(piece)))
	written, err := io.WriteString(conn, begin)
	for err == nil && written < maxEndlessBytes {
		var n int
		n, err = io.WriteString(conn, block)
		written += n
	}
	return written
}

// A target that sends a head without end costs a buffer, not the process.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	for name, answer := range map[string]struct{ begin, piece string }{
		"status line":    {"HTTP/1.1 200 ", "x"},
		"header value":   {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"header lines":   {"HTTP/1.1 200 OK\r\n", "a:b\r\n"},
		"no line end":    {"", "x"},
		"interim answer": {"", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			p, conns := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if _, ok := readRequest(r); ok {
					written <- writeEndless(conn, answer.begin, answer.piece)
				}
			})
			before := oversizedHeads.Get()
			result := p.Do(t.Context(), newRequest("1"))
			qt.Assert(t, errors.Is(result.Err, ErrOversizedHead), qt.IsTrue, qt.Commentf("%v", result.Err))
			qt.Assert(t, result.Sent, qt.IsTrue)
			qt.Assert(t, <-written < maxEndlessBytes, qt.IsTrue) // the connection was closed
			qt.Assert(t, conns.Load(), qt.Equals, int64(1))
			qt.Assert(t, oversizedHeads.Get(), qt.Equals, before+1)
		})
	}
}

// A chunked body whose framing or trailers do not end is an error for its reader.
func TestBodyFramingWithoutEndIsGivenUp(t *testing.T) {
	for name, answer := range map[string]struct{ begin, piece string }{
		"chunk extension": {"5;x=", "x"},
		"chunk size":      {"", "0"},
		"trailer value":   {"5\r\nhello\r\n0\r\nX-Long: ", "x"},
		"trailer lines":   {"5\r\nhello\r\n0\r\n", "a:b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			written := make(chan int, 1)
			p, _ := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if id, ok := readRequest(r); ok {
					written <- writeEndless(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nX-Mark: m\r\nTransfer-Encoding: chunked\r\n\r\n"+answer.begin, answer.piece)
				}
			})
			result := p.Do(t.Context(), newRequest("1"))
			qt.Assert(t, errors.Is(result.Err, ErrCutOff), qt.IsTrue, qt.Commentf("%v", result.Err))
			qt.Assert(t, <-written < maxEndlessBytes, qt.IsTrue)
		})
	}
}

// A body without end is streamed until its reader leaves; it never looks complete.
func TestBodyWithoutEndIsHeldInPartsOnly(t *testing.T) {
	written := make(chan int, 1)
	p, _ := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		if id, ok := readRequest(r); ok {
			written <- writeEndless(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nX-Mark: m\r\n\r\n", "x")
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	result := p.Do(ctx, newRequest("1"))
	qt.Assert(t, result.Err, qt.IsNil)
	qt.Assert(t, result.Response.Complete, qt.IsFalse)
	_, err := io.CopyN(io.Discard, result.Response.Stream, 4*maxBufferedBody)
	qt.Assert(t, err, qt.IsNil)
	cancel()
	_, err = io.Copy(io.Discard, result.Response.Stream)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, result.Response.Stream.Close(), qt.IsNil)
	qt.Assert(t, <-written < maxEndlessBytes, qt.IsTrue)
}

func TestHeadOfUsualSizeIsRead(t *testing.T) {
	p, conns := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			id, ok := readRequest(r)
			if !ok {
				return
			}
			// In parts, with an interim answer and a body that has empty lines.
			body := strings.Repeat("\n", 2000)
			for _, part := range []string{"HTTP/1.1 103 Early Hints\r\n", "\r\nHTTP/1.1 200 OK\r\nX-Id: " + id + "\r", "\nX-Mark: m\r\nX-Big: " + strings.Repeat("v", 12<<10) + "\r\nContent-Length: 2000\r\n", "\r\n" + body} {
				_, _ = io.WriteString(conn, part)
				time.Sleep(time.Millisecond) // separate reads, usually
			}
		}
	})
	for _, id := range []string{"1", "2"} {
		result := p.Do(t.Context(), newRequest(id))
		qt.Assert(t, result.Err, qt.IsNil)
		qt.Assert(t, len(result.Response.Body), qt.Equals, 2000)
		qt.Assert(t, len(result.Response.Header.Get("X-Big")), qt.Equals, 12<<10)
	}
	qt.Assert(t, conns.Load(), qt.Equals, int64(1))
}

// FuzzResponse requires of any bytes of a target that they end in a result, without a
// panic, and that an incomplete answer never looks complete.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nX-Mark: m\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nX-Mark: m\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 204 No Content\r\nX-Mark: m\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Mark: m\r\nContent-Length: 9\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "\r\n\r\n", "HTTP/9.9 999\n\n", strings.Repeat("a:b\n", 300),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		client, server := net.Pipe()
		go func() {
			_, _ = readRequest(bufio.NewReader(server))
			_, _ = server.Write(answer)
			_ = server.Close()
		}()
		p := &Pool{fields: testFields, buffers: NewBuffers(testBuffers), open: 1}
		result := newConn(p, client).do(t.Context(), newRequest("1"))
		if result.Response == nil && result.Err == nil {
			t.Fatal("neither a response nor an error")
		}
		if r := result.Response; r != nil && r.Stream == nil && r.Length > 0 && int64(len(r.Body)) != r.Length {
			t.Fatalf("a body of %d bytes, stated %d, looks complete", len(r.Body), r.Length)
		}
	})
}
