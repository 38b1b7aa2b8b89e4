package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"strings"
	"testing"
	"weak"

	qt "github.com/frankban/quicktest"
)

// framings are the ways in which a target delimits a body.
var framings = map[string]func(w io.Writer, body []byte){
	"length": func(w io.Writer, body []byte) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Mark: m\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	},
	"chunked": func(w io.Writer, body []byte) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Mark: m\r\nTransfer-Encoding: chunked\r\n\r\n")
		for part := range slices.Chunk(body, 50_000) {
			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(part), part)
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
	},
	"end of connection": func(w io.Writer, body []byte) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Mark: m\r\n\r\n%s", body)
	},
}

// download gets a body from a target that sends the response and closes.
func download(t *testing.T, response []byte, buffers *Buffers, reset bool) Result {
	p, _ := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = conn.Write(response)
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
	p.buffers = buffers
	return p.Do(t.Context(), newRequest("1"))
}

func readBody(t *testing.T, result Result) ([]byte, error) {
	qt.Assert(t, result.Err, qt.IsNil)
	if result.Response.Stream == nil {
		return result.Response.Body, nil
	}
	body, err := io.ReadAll(result.Response.Stream)
	qt.Assert(t, result.Response.Stream.Close(), qt.IsNil)
	return body, err
}

func TestBodiesOfEachLengthAreWhole(t *testing.T) {
	for name, write := range framings {
		for _, length := range []int{0, 1, MaxSmallBody - 1, MaxSmallBody, MaxSmallBody + 1, 2 * MaxSmallBody, maxBufferedBody - 1, maxBufferedBody, maxBufferedBody + 1, 3*maxBufferedBody + 7} {
			for _, memory := range []int64{0, 300_000, testBuffers} {
				body := bytes.Repeat([]byte("0123456789abcdef"), length/16+1)[:length]
				var response bytes.Buffer
				write(&response, body)
				buffers := NewBuffers(memory)
				result := download(t, response.Bytes(), buffers, false)
				comment := qt.Commentf("%s, %d bytes, memory for %d", name, length, memory)
				got, err := readBody(t, result)
				qt.Assert(t, err, qt.IsNil, comment)
				qt.Assert(t, bytes.Equal(got, body), qt.IsTrue, comment)
				qt.Assert(t, buffers.free.Load(), qt.Equals, memory, comment)
				if memory == testBuffers && length > MaxSmallBody && length < maxBufferedBody {
					qt.Assert(t, result.Response.Complete, qt.IsTrue, comment)
				}
				if memory == 0 && length > MaxSmallBody {
					qt.Assert(t, result.Response.Complete, qt.IsFalse, comment)
				}
			}
		}
	}
}

// A body that breaks off never ends as a whole one, wherever it breaks and however
// much of it was read before the response was passed on.
func TestBodyThatIsCutOffIsAnError(t *testing.T) {
	for name, write := range framings {
		reset := name == "end of connection" // a regular close would end the body
		for _, length := range []int{1000, 2 * MaxSmallBody, 2 * maxBufferedBody} {
			for _, memory := range []int64{0, 300_000, testBuffers} {
				var response bytes.Buffer
				write(&response, make([]byte, length))
				for _, missing := range []int{1, 5, length / 2, length - 1} {
					if reset {
						missing = 0
					}
					buffers := NewBuffers(memory)
					result := download(t, response.Bytes()[:response.Len()-missing], buffers, reset)
					comment := qt.Commentf("%s, %d bytes, memory for %d, %d missing", name, length, memory, missing)
					if result.Err == nil {
						_, err := readBody(t, result)
						qt.Assert(t, err, qt.IsNotNil, comment)
					}
					qt.Assert(t, buffers.free.Load(), qt.Equals, memory, comment)
				}
			}
		}
	}
}

// The memory of a body that nobody reads is free again when it is closed.
func TestClosedBodyFreesItsMemory(t *testing.T) {
	for _, length := range []int{2 * MaxSmallBody, 2 * maxBufferedBody} {
		var response bytes.Buffer
		framings["chunked"](&response, make([]byte, length))
		buffers := NewBuffers(testBuffers)
		result := download(t, response.Bytes(), buffers, false)
		qt.Assert(t, result.Err, qt.IsNil)
		qt.Assert(t, buffers.free.Load() < testBuffers, qt.IsTrue)
		_, err := result.Response.Stream.Read(make([]byte, 10))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, result.Response.Stream.Close(), qt.IsNil)
		qt.Assert(t, buffers.free.Load(), qt.Equals, int64(testBuffers))
	}
}

// Guards against parts of a long body that stay in memory after they were read: they no longer
// count against the buffers, so a target whose bodies do not end would fill the memory.
func TestReadPartsOfABodyAreReleased(t *testing.T) {
	buffers := NewBuffers(testBuffers)
	read, whole, err := buffers.readLarge(nil, io.LimitReader(neverEnding{}, 2*maxBufferedBody), -1)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, whole, qt.IsFalse)
	var parts []weak.Pointer[byte]
	for _, part := range read.parts {
		if len(part) > 0 {
			parts = append(parts, weak.Make(&part[0]))
		}
	}
	qt.Assert(t, parts, qt.HasLen, maxBufferedBody/MaxSmallBody)
	_, err = io.CopyN(io.Discard, read, maxBufferedBody-1)
	qt.Assert(t, err, qt.IsNil)
	runtime.GC()
	for i, part := range parts[:len(parts)-1] {
		qt.Check(t, part.Value(), qt.IsNil, qt.Commentf("part %d", i))
	}
	qt.Check(t, buffers.free.Load(), qt.Equals, int64(testBuffers-MaxSmallBody))
	read.close()
}

// neverEnding is a body without end.
type neverEnding struct{}

func (neverEnding) Read(p []byte) (int, error) { return len(p), nil }

// The answer to HEAD states a length and has no body.
func TestLengthOfAnOmittedBody(t *testing.T) {
	for _, length := range []int{5, 2 * MaxSmallBody} {
		p, _ := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			readRequest(r)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Mark: m\r\nContent-Length: %d\r\n\r\n", length)
		})
		request := newRequest("1")
		request.Method = "HEAD"
		result := p.Do(t.Context(), request)
		qt.Assert(t, result.Err, qt.IsNil)
		qt.Assert(t, result.Response.Body, qt.HasLen, 0)
		qt.Assert(t, result.Response.Length, qt.Equals, int64(length))
	}
}

// Replays hunt-fdca-7 on dfmb-mesh: the context of a download ended while its
// connection already served another request, and closed it.
func TestEndOfADownloadDoesNotCloseItsReusedConnection(t *testing.T) {
	for name, length := range map[string]int{"buffered": 2 * MaxSmallBody, "streamed": 2 * maxBufferedBody} {
		t.Run(name, func(t *testing.T) {
			running, release := make(chan struct{}), make(chan struct{})
			p, conns := startTarget(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for {
					id, ok := readRequest(r)
					switch {
					case !ok:
						return
					case id == "large":
						writeResponse(conn, id, strings.Repeat("x", length))
					default:
						close(running)
						<-release
						writeResponse(conn, id, "small")
					}
				}
			})
			ctx, cancel := context.WithCancel(t.Context())
			first := p.Do(ctx, newRequest("large"))
			qt.Assert(t, first.Err, qt.IsNil)
			_, err := io.Copy(io.Discard, first.Response.Stream)
			qt.Assert(t, err, qt.IsNil)
			for p.Idle() == 0 {
				runtime.Gosched() // the connection is kept by its own goroutine
			}
			second := make(chan Result, 1)
			go func() { second <- p.Do(t.Context(), newRequest("small")) }()
			<-running
			cancel()
			qt.Assert(t, first.Response.Stream.Close(), qt.IsNil)
			close(release)
			result := <-second
			qt.Assert(t, result.Err, qt.IsNil)
			qt.Assert(t, string(result.Response.Body), qt.Equals, "small")
			qt.Assert(t, conns.Load(), qt.Equals, int64(1))
		})
	}
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}
