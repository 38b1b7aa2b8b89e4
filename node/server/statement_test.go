package server

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/execute"
)

// counting returns a handler that counts its calls and sets a header field.
func counting(calls *atomic.Int64, field, value string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		if field != "" {
			w.Header().Set(field, value)
		}
		_, _ = io.WriteString(w, "done")
	}
}

// A target that states in an answer that it leaves, or that it takes one call in 100 s,
// gets no further call while another target of the service has room.
func TestStatementsInAnswersAreKept(t *testing.T) {
	for field, value := range map[string]string{execute.HeaderTargetLimit: "0.01", execute.HeaderTargetLeaving: "1"} {
		t.Run(field, func(t *testing.T) {
			f := newTestFleet(t)
			var stating, other atomic.Int64
			entry := f.add("a", counting(&stating, field, value))
			f.add("b", counting(&other, "", ""))
			f.ready()
			f.eventually(func() bool {
				entry.call(callRequest{method: http.MethodGet, path: "/p"})
				return stating.Load() == 1
			})
			before := other.Load()
			for range 20 {
				g := entry.call(callRequest{method: http.MethodGet, path: "/p"})
				qt.Assert(t, g.err, qt.IsNil)
				qt.Assert(t, g.body, qt.Equals, "done")
			}
			qt.Assert(t, stating.Load(), qt.Equals, int64(1))
			qt.Assert(t, other.Load(), qt.Equals, before+20)
		})
	}
}
