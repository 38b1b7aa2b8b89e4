package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"
)

var testLimits = Limits{HeaderBytes: 2000, BodyBytes: 1 << 20, HeaderTimeout: 30 * time.Second, IdleTimeout: 30 * time.Second}

func startServer(t *testing.T, limits Limits, handle func(context.Context, *Request) *Response) (*Server, string) {
	return startServerWith(t, limits, handle, 0)
}

// startServerWith starts a server with a timeout of bodies; 0 means the default.
func startServerWith(t *testing.T, limits Limits, handle func(context.Context, *Request) *Response, bodyTimeout time.Duration) (*Server, string) {
	s := New(Options{
		Handle: handle, Limits: func() Limits { return limits }, MaxConnections: 100, BodyTimeout: bodyTimeout,
		Reject: func(status int, detail string) *Response { return &Response{Status: status, Body: []byte(detail)} },
		Refuse: func() *Response { return &Response{Status: http.StatusServiceUnavailable} },
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return s, l.Addr().String()
}

// caller is a client connection to the server.
type caller struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func dial(t *testing.T, addr string) *caller {
	conn, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{t, conn, bufio.NewReader(conn)}
}

func (c *caller) send(text string) {
	_, err := io.WriteString(c.conn, text)
	qt.Assert(c.t, err, qt.IsNil)
}

func (c *caller) receive() (int, string, http.Header) {
	response, err := http.ReadResponse(c.r, nil)
	qt.Assert(c.t, err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	qt.Assert(c.t, err, qt.IsNil)
	header := response.Header
	if response.Close {
		header.Set("Connection", "close")
	}
	return response.StatusCode, string(body), header
}

func (c *caller) expectClosed() {
	_, err := c.r.ReadByte()
	qt.Assert(c.t, errors.Is(err, io.EOF), qt.IsTrue, qt.Commentf("%v", err))
}

// brokenStream is a body that breaks off after its first part.
type brokenStream struct{ io.Reader }

func newBrokenStream() io.ReadCloser {
	return brokenStream{io.MultiReader(strings.NewReader("part"), iotest.ErrReader(errors.New("the target broke off its answer")))}
}

func (brokenStream) Close() error { return nil }

// Guards against a response that breaks off and looks whole to a caller with HTTP/1.0, which
// takes the end of the connection for that of a body without a length.
func TestBrokenResponseIsNotWhole(t *testing.T) {
	_, addr := startServer(t, testLimits, func(context.Context, *Request) *Response {
		return &Response{Status: 200, Stream: newBrokenStream(), Length: -1}
	})
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		c := dial(t, addr)
		c.send("GET / " + version + "\r\nHost: h\r\n\r\n")
		response, err := http.ReadResponse(c.r, nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", version))
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func echo(_ context.Context, r *Request) *Response {
	body := r.Body
	if r.Rest != nil {
		rest, err := io.ReadAll(r.Rest)
		if err != nil {
			return &Response{Abort: true}
		}
		body = append(body, rest...)
	}
	return &Response{Status: 200, Body: []byte(fmt.Sprintf("%s %s %d", r.Method, r.Path(), len(body)))}
}

func TestPipelinedRequestsRunConcurrentlyAndAnswerInOrder(t *testing.T) {
	second := make(chan struct{})
	_, addr := startServer(t, testLimits, func(ctx context.Context, r *Request) *Response {
		if r.Path() == "/1" {
			<-second // the first request waits for the second
		} else {
			close(second)
		}
		return echo(ctx, r)
	})
	c := dial(t, addr)
	c.send(get("/1") + get("/2"))
	for _, path := range []string{"/1", "/2"} {
		_, body, _ := c.receive()
		qt.Assert(t, body, qt.Equals, "GET "+path+" 0")
	}
}

func TestCallerCloseCancelsInFlightRequests(t *testing.T) {
	for name, request := range map[string]string{
		"keep-alive":        get("/1"),
		"connection: close": "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"pipelined":         get("/1") + get("/2") + get("/3"),
	} {
		t.Run(name, func(t *testing.T) {
			started, canceled := make(chan struct{}, 3), make(chan struct{}, 3)
			_, addr := startServer(t, testLimits, func(ctx context.Context, _ *Request) *Response {
				started <- struct{}{}
				<-ctx.Done()
				canceled <- struct{}{}
				return &Response{Abort: true}
			})
			c := dial(t, addr)
			c.send(request)
			n := strings.Count(request, "GET")
			for range n {
				<-started
			}
			_ = c.conn.Close()
			for range n {
				<-canceled
			}
		})
	}
}

func TestBodiesOfEachLengthAndEncoding(t *testing.T) {
	_, addr := startServer(t, testLimits, echo)
	long := strings.Repeat("x", 2*maxBufferedBody)
	c := dial(t, addr)
	for _, body := range []string{"", "short", long} {
		c.send(fmt.Sprintf("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		_, got, _ := c.receive()
		qt.Assert(t, got, qt.Equals, fmt.Sprintf("POST /b %d", len(body)))
		c.send(fmt.Sprintf("POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", max(len(body), 1), body+strings.Repeat("x", 1-min(len(body), 1))))
		_, got, _ = c.receive()
		qt.Assert(t, got, qt.Equals, fmt.Sprintf("POST /c %d", max(len(body), 1)))
	}
}

func TestInvalidRequestsAreRejectedAndClosed(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"header far over the limit":   {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 8000) + "\r\n\r\n", 431},
		"header just over the limit":  {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2000) + "\r\n\r\n", 431},
		"body over the limit":         {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n", 413},
		"chunked body over the limit": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n" + strings.Repeat("x", 32) + "\r\n0\r\n\r\n", 413},
		"malformed request":           {"nonsense\r\n\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			limits := testLimits
			if name == "chunked body over the limit" {
				limits.BodyBytes = 16
			}
			_, addr := startServer(t, limits, echo)
			caller := dial(t, addr)
			caller.send(c.request)
			status, _, header := caller.receive()
			qt.Assert(t, status, qt.Equals, c.status)
			qt.Assert(t, header.Get("Connection"), qt.Equals, "close")
			caller.expectClosed()
		})
	}
}

func TestSlowHeaderIsAnsweredWithATimeout(t *testing.T) {
	limits := testLimits
	limits.HeaderTimeout = time.Millisecond
	_, addr := startServer(t, limits, echo)
	c := dial(t, addr)
	c.send("GET / HT")
	status, _, _ := c.receive()
	qt.Assert(t, status, qt.Equals, http.StatusRequestTimeout)
	c.expectClosed()
}

func TestIdleTimeoutClosesOnlyIdleConnections(t *testing.T) {
	limits := testLimits
	limits.IdleTimeout = time.Millisecond
	release := make(chan struct{})
	_, addr := startServer(t, limits, func(ctx context.Context, r *Request) *Response {
		<-release
		return echo(ctx, r)
	})
	idle := dial(t, addr)
	busy := dial(t, addr)
	busy.send(get("/1"))
	idle.expectClosed()
	close(release)
	status, _, _ := busy.receive()
	qt.Assert(t, status, qt.Equals, 200)
	busy.expectClosed()
}

func TestDisableKeepAlivesAsksCallersToClose(t *testing.T) {
	s, addr := startServer(t, testLimits, echo)
	c, idle := dial(t, addr), dial(t, addr)
	c.send(get("/1"))
	_, _, header := c.receive()
	qt.Assert(t, header.Get("Connection"), qt.Equals, "")
	for s.OpenConnections() < 2 { // until the idle connection is accepted
		time.Sleep(time.Millisecond)
	}
	s.DisableKeepAlives()
	c.send(get("/2"))
	_, _, header = c.receive()
	qt.Assert(t, header.Get("Connection"), qt.Equals, "close")
	c.expectClosed()
	s.CloseIdle()
	idle.expectClosed()
}

func TestPartialResponseIsDetectable(t *testing.T) {
	for name, length := range map[string]int64{"stated length": 100, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			_, addr := startServer(t, testLimits, func(context.Context, *Request) *Response {
				broken := io.NopCloser(io.MultiReader(strings.NewReader("half"), failingReader{}))
				return &Response{Status: 200, Stream: broken, Length: length}
			})
			c := dial(t, addr)
			c.send(get("/1"))
			response, err := http.ReadResponse(c.r, nil)
			qt.Assert(t, err, qt.IsNil)
			_, err = io.ReadAll(response.Body)
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("cut off") }

// The answer to HEAD and a 304 state the length of the body that they omit; a 204 has
// no body, and some callers wait for the bytes of a length that it states.
func TestLengthOfResponsesWithoutABody(t *testing.T) {
	for name, c := range map[string]struct {
		method string
		status int
		want   string
	}{
		"HEAD":          {"HEAD", 200, "5"},
		"not modified":  {"GET", 304, "5"},
		"no content":    {"GET", 204, ""},
		"HEAD with 204": {"HEAD", 204, ""},
	} {
		_, addr := startServer(t, testLimits, func(context.Context, *Request) *Response {
			return &Response{Status: c.status, Header: http.Header{"Content-Length": {"5"}}}
		})
		caller := dial(t, addr)
		caller.send(c.method + " / HTTP/1.1\r\nHost: h\r\n\r\n")
		response, err := http.ReadResponse(caller.r, &http.Request{Method: c.method})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, response.Header.Get("Content-Length"), qt.Equals, c.want, qt.Commentf("%s", name))
	}
}

func TestExpectContinueIsAnsweredBeforeTheBody(t *testing.T) {
	_, addr := startServer(t, testLimits, echo)
	c := dial(t, addr)
	c.send("POST /e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	line, err := c.r.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.HasPrefix(line, "HTTP/1.1 100"), qt.IsTrue)
	_, _ = c.r.ReadString('\n')
	c.send("ok")
	_, body, _ := c.receive()
	qt.Assert(t, body, qt.Equals, "POST /e 2")
}

func TestRequestSmuggledInABodyIsNotServed(t *testing.T) {
	served := make(chan string, 4)
	_, addr := startServer(t, testLimits, func(ctx context.Context, r *Request) *Response {
		served <- r.Path()
		return echo(ctx, r)
	})
	c := dial(t, addr)
	c.send("POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/after"))
	status, _, _ := c.receive()
	if status == 200 {
		_, _, _ = c.receive()
		paths := []string{<-served, <-served}
		slices.Sort(paths)
		qt.Assert(t, paths, qt.DeepEquals, []string{"/after", "/outer"})
	}
	qt.Assert(t, len(served), qt.Equals, 0)
}

func TestPipelinedRequestsAreAnsweredAfterDisableKeepAlives(t *testing.T) {
	second := make(chan struct{})
	s, addr := startServer(t, testLimits, func(ctx context.Context, r *Request) *Response {
		if r.Path() == "/1" {
			<-second
		} else {
			close(second)
		}
		return echo(ctx, r)
	})
	c := dial(t, addr)
	s.DisableKeepAlives()
	c.send(get("/1") + get("/2"))
	_, body, header := c.receive()
	qt.Assert(t, body, qt.Equals, "GET /1 0")
	qt.Assert(t, header.Get("Connection"), qt.Equals, "")
	_, body, header = c.receive()
	qt.Assert(t, body, qt.Equals, "GET /2 0")
	qt.Assert(t, header.Get("Connection"), qt.Equals, "close")
	c.expectClosed()
}

// TestRequestsAfterCloseIdleAreRefused guards against requests that a stopping server reads or
// accepts and whose connection it closes without an answer.
func TestRequestsAfterCloseIdleAreRefused(t *testing.T) {
	arrived, release := make(chan string, 4), make(chan struct{})
	s, addr := startServer(t, testLimits, func(ctx context.Context, r *Request) *Response {
		arrived <- r.Path()
		<-release
		return echo(ctx, r)
	})
	busy := dial(t, addr)
	busy.send(get("/1"))
	qt.Assert(t, <-arrived, qt.Equals, "/1")
	qt.Assert(t, s.Busy(), qt.IsTrue)
	s.DisableKeepAlives()
	accepted := dial(t, addr)
	for s.OpenConnections() < 2 {
		time.Sleep(time.Millisecond)
	}
	s.CloseIdle()
	busy.send(get("/2"))
	expectRefused := func(c *caller) {
		status, _, header := c.receive()
		qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, header.Get("Connection"), qt.Equals, "close")
		c.expectClosed()
	}
	for _, late := range []*caller{accepted, dial(t, addr), dial(t, addr)} {
		late.send(get("/3") + get("/4"))
		expectRefused(late)
	}
	slow := dial(t, addr)
	slow.send("GET /5 HTTP/1.1\r\n") // its header never ends, so that it must not hold up the stop
	qt.Assert(t, s.Busy(), qt.IsTrue)
	close(release)
	status, body, _ := busy.receive()
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, body, qt.Equals, "GET /1 0")
	expectRefused(busy)
	qt.Assert(t, len(arrived), qt.Equals, 0)
	for s.Busy() {
		time.Sleep(time.Millisecond)
	}
}

// A panic over one request ends its connection only, without a response: the request
// may have run.
func TestPanicEndsOneConnection(t *testing.T) {
	panicked := make(chan any, 1)
	s, addr := startServer(t, testLimits, func(_ context.Context, r *Request) *Response {
		if r.Path() == "/panic" {
			panic("a fault")
		}
		return &Response{Status: http.StatusOK}
	})
	s.opts.Panicked = func(value any, _ []byte) { panicked <- value }
	other := dial(t, addr)
	c := dial(t, addr)
	c.send("GET /panic HTTP/1.1\r\nHost: h\r\n\r\n")
	qt.Assert(t, <-panicked, qt.Equals, any("a fault"))
	_, err := c.r.ReadByte()
	qt.Assert(t, err, qt.IsNotNil)
	other.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	status, _, _ := other.receive()
	qt.Assert(t, status, qt.Equals, http.StatusOK)
}

// TestEndReadingRefusesWhatIsBeingRead guards against requests whose header or body is late and
// that get no answer when a stop ends.
func TestEndReadingRefusesWhatIsBeingRead(t *testing.T) {
	limits := testLimits
	limits.HeaderTimeout = time.Minute
	for _, text := range []string{
		"POST / HTTP/1.1\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nhalf ",
	} {
		s, addr := startServer(t, limits, echo)
		c := dial(t, addr)
		c.send(text)
		for !s.Busy() {
			time.Sleep(time.Millisecond)
		}
		s.CloseIdle()
		s.EndReading()
		status, _, _ := c.receive()
		qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
		c.expectClosed()
	}
}

// TestAbortedResponseClosesTheConnectionAtOnce guards against callers that wait for the idle
// timeout, because the next request was awaited when the response had been given up.
func TestAbortedResponseClosesTheConnectionAtOnce(t *testing.T) {
	s, addr := startServer(t, testLimits, func(_ context.Context, r *Request) *Response {
		_, _ = io.Copy(io.Discard, r.Rest)
		return &Response{Abort: true}
	})
	body := strings.Repeat("x", maxBufferedBody+1000)
	for range 50 {
		c := dial(t, addr)
		c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		c.expectClosed()
	}
	for s.OpenConnections() > 0 {
		time.Sleep(time.Millisecond)
	}
}
