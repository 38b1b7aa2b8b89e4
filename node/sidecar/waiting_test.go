package sidecar

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/front"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/routing"
)

// TestWaitForAConfigurationEndsWithTheCallersTime requires that a call whose route is not
// known yet is answered within the time that its caller states.
func TestWaitForAConfigurationEndsWithTheCallersTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{dialect: testDialect, callsCtx: t.Context()}
		n.live.Store(&n.settings)
		n.configuration = newConfiguration(n)
		table, err := routing.NewTable(1, nil, nil, routing.Limits{})
		qt.Assert(t, err, qt.IsNil)
		n.configuration.table = table
		n.configuration.puller.Report(time.Now(), "127.0.0.1:1", true, 2, 1)

		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://back/safe/x", nil)
		qt.Assert(t, err, qt.IsNil)
		request.Header.Set(testDialect.Deadline, "100")
		received := time.Now()
		c := &call{node: n, id: "1", received: received}
		_, p := c.forward(t.Context(), &front.Request{Request: request, Received: received})
		qt.Assert(t, p, qt.IsNotNil)
		qt.Assert(t, p.Kind, qt.Equals, problem.ConfigurationLag)
		took := time.Since(received) // in virtual time
		qt.Assert(t, took < 100*time.Millisecond, qt.IsTrue, qt.Commentf("answered after %v", took))
	})
}

// TestRetryAfterOfANodeThatIsBehindFitsTheCallersTime requires that a caller whose route is
// not known yet can come back within the time that it states: callers ignore a longer
// Retry-After, as refusalResponse has it for calls whose route is known.
func TestRetryAfterOfANodeThatIsBehindFitsTheCallersTime(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	n := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	n.waitForOwnTarget()
	eventually(t, "revision 1 is in force", func() bool { return n.configuration.revision() == 1 })
	n.configuration.mu.Lock()
	n.configuration.puller.Report(time.Now().Add(-time.Hour), "127.0.0.1:1", true, 2, 1)
	n.configuration.mu.Unlock()
	n.configuration.recordReported(2, "127.0.0.1:1") // the report is repeated

	refused := n.call(http.MethodGet, "back", "/safe/x") // states 15 s
	qt.Assert(t, refused.status, qt.Equals, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(refused.header.Get("Retry-After"), 64)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, seconds <= 15, qt.IsTrue, qt.Commentf("Retry-After: %v", seconds))
}

// TestCallIsServedThoughAStillNewerConfigurationIsMissing requires that a call is served once
// its route is in force, also if another node has reported a still newer configuration.
func TestCallIsServedThoughAStillNewerConfigurationIsMissing(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	n := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	holder := startNode(t, store, "a", "back", newTestTarget(t, "t1"))
	n.waitForOwnTarget()
	n.waitForTargets("back", 1)
	holder.waitForOwnTarget()
	// The store is away, so that the node can get revision 2 from the holder only.
	store.setDown(true)
	n.configuration.recordReported(3, "127.0.0.1:1") // cannot be reached
	answered := make(chan answer, 1)
	go func() {
		a, _ := n.tryCall(t.Context(), http.MethodGet, "back", "/safe/x")
		answered <- a
	}()
	eventually(t, "the call has arrived", func() bool { return n.calls.Load() > 0 })
	holder.configuration.applyIfNewer(newDocument(t, 2, "front", "back"), nil, 0, "test")
	n.configuration.recordReported(2, holder.self)
	a := <-answered
	qt.Assert(t, n.configuration.revision(), qt.Equals, model.Revision(2))
	qt.Assert(t, a.status, qt.Equals, http.StatusOK)
	qt.Assert(t, a.body, qt.Equals, "from t1")
}
