package target

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// abortAfterFirst responds to the first request and closes the connection on each
// later one, like a target that closes an idle connection just as a request
// arrives on it.
func abortAfterFirst(received *atomic.Int64) http.HandlerFunc {
	var first atomic.Bool
	return func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		_, _ = io.ReadAll(r.Body)
		if first.CompareAndSwap(false, true) {
			_, _ = io.WriteString(w, "ok")
			return
		}
		panic(http.ErrAbortHandler)
	}
}

func newRequest(method, body string, header http.Header) *http.Request {
	request, _ := http.NewRequest(method, "http://x/", strings.NewReader(body))
	if header != nil {
		request.Header = header
	}
	return request
}

func TestRequestIsNotRetriedOnAReusedConnection(t *testing.T) {
	cases := []struct {
		name   string
		method string
		body   string
		header http.Header
	}{
		{"get", http.MethodGet, "", nil},
		{"head", http.MethodHead, "", nil},
		{"post", http.MethodPost, "body", nil},
		{"empty post", http.MethodPost, "", nil},
		{"post with idempotency key", http.MethodPost, "body", http.Header{"Idempotency-Key": {"k"}}},
		{"empty post with idempotency key", http.MethodPost, "", http.Header{"Idempotency-Key": {"k"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var received atomic.Int64
			server := httptest.NewServer(abortAfterFirst(&received))
			defer server.Close()
			runner := NewRunner(server.Listener.Addr().String(), 10)
			defer runner.Close()
			first := runner.Run(context.Background(), newRequest(http.MethodGet, "", nil))
			qt.Assert(t, first.Err, qt.IsNil)
			_, _ = io.ReadAll(first.Response.Body)
			_ = first.Response.Body.Close()
			second := runner.Run(context.Background(), newRequest(c.method, c.body, c.header))
			qt.Assert(t, second.Err, qt.IsNotNil)
			qt.Assert(t, second.Sent, qt.IsTrue)
			qt.Assert(t, received.Load(), qt.Equals, int64(2))
		})
	}
}

func TestRefusedConnectionSendsNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	_ = listener.Close()
	runner := NewRunner(address, 10)
	defer runner.Close()
	result := runner.Run(context.Background(), newRequest(http.MethodPost, "x", nil))
	qt.Assert(t, result.Err, qt.IsNotNil)
	qt.Assert(t, result.Sent, qt.IsFalse)
}

func TestSpareConnectionClosedByTheTargetIsNotUsed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	runner := NewRunner(server.Listener.Addr().String(), 10)
	defer runner.Close()
	for len(runner.dialer.spares) < maxSpares {
		runner.dialer.notify()
	}
	server.CloseClientConnections()
	result := runner.Run(context.Background(), newRequest(http.MethodPost, "x", nil))
	qt.Assert(t, result.Err, qt.IsNil)
	_ = result.Response.Body.Close()
}
