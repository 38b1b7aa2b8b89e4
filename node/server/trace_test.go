package server

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"zinniafall/node/trace"
)

// spanCounter is a span processor that counts ended spans by trace and name.
type spanCounter struct {
	mu    sync.Mutex
	ended map[string]int
}

func (*spanCounter) OnStart(context.Context, sdktrace.ReadWriteSpan) {}
func (*spanCounter) Shutdown(context.Context) error                  { return nil }
func (*spanCounter) ForceFlush(context.Context) error                { return nil }

// OnEnd counts a span.
func (s *spanCounter) OnEnd(span sdktrace.ReadOnlySpan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended[span.SpanContext().TraceID().String()+" "+span.Name()]++
}

func (s *spanCounter) count(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended[name]
}

// testTrace is the identifier of the caller's trace.
const testTrace = "4bf92f3577b34da6a3ce929d0e0e4736"

func TestEachHopHasASpan(t *testing.T) {
	var arrived string
	f := newTestFleet(t)
	owner := f.add("a", func(w http.ResponseWriter, r *http.Request) {
		arrived = r.Header.Get("Traceparent")
		_, _ = io.WriteString(w, "ok")
	})
	other := f.add("b", nil)
	f.ready()
	counter := &spanCounter{ended: make(map[string]int)}
	for _, c := range []*testNode{owner, other} {
		*c.tracer = *trace.NewWithProcessor(counter, trace.Options{Sample: 1, Node: string(c.Node())})
	}
	header := http.Header{"Traceparent": {"00-" + testTrace + "-00f067aa0ba902b7-01"}}
	g := other.call(callRequest{method: "POST", path: "/", header: header})
	qt.Assert(t, g.status, qt.Equals, http.StatusOK)
	for _, hop := range []trace.Hop{trace.HopEntry, trace.HopChoice, trace.HopPeer, trace.HopQueue, trace.HopTarget} {
		f.eventually(func() bool { return counter.count(testTrace+" "+string(hop)) == 1 })
	}
	qt.Assert(t, arrived, qt.Matches, "00-"+testTrace+"-.*")
}
