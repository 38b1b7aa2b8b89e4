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

// spans keeps the spans that ended.
type spans struct {
	mu    sync.Mutex
	ended map[string]int
}

func (*spans) OnStart(context.Context, sdktrace.ReadWriteSpan) {}
func (*spans) Shutdown(context.Context) error                  { return nil }
func (*spans) ForceFlush(context.Context) error                { return nil }

// OnEnd counts a span of the caller's trace.
func (s *spans) OnEnd(span sdktrace.ReadOnlySpan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended[span.SpanContext().TraceID().String()+" "+span.Name()]++
}

func (s *spans) count(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended[name]
}

// testTrace is the caller's trace.
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
	kept := &spans{ended: make(map[string]int)}
	for _, c := range []*cell{owner, other} {
		*c.tracer = *trace.NewWithProcessor(kept, trace.Options{Sample: 1, Node: string(c.Node())})
	}
	header := http.Header{"Traceparent": {"00-" + testTrace + "-00f067aa0ba902b7-01"}}
	g := other.call(ask{method: "POST", path: "/", header: header})
	qt.Assert(t, g.status, qt.Equals, http.StatusOK)
	for _, hop := range []trace.Hop{trace.HopEntry, trace.HopChoice, trace.HopPeer, trace.HopQueue, trace.HopTarget} {
		f.eventually(func() bool { return kept.count(testTrace+" "+string(hop)) == 1 })
	}
	qt.Assert(t, arrived, qt.Matches, "00-"+testTrace+"-.*")
}
