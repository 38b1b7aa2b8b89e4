package server

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/config"
	"zinniafall/policy/model"
)

// TestNodePausedDuringDomainOutRunsNothing pauses a node while its failure
// domain is taken out of service. The node neither watches the store nor
// receives packets, and resumes with its old configuration; it must not run
// calls by it.
func TestNodePausedDuringDomainOutRunsNothing(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	f := newTestFleet(t)
	f.add("a", echo)
	f.add("b", echo)
	paused := f.add("c", func(w http.ResponseWriter, r *http.Request) { runs.Add(1); echo(w, r) })
	f.ready()
	f.eventually(func() bool { return paused.call(callRequest{method: "POST", path: "/before"}).status == http.StatusOK })
	paused.configuration.applier.SetWatching(false)
	f.network.setIsolated(paused.socket, true)
	f.nodes = f.nodes[:2]
	f.commit(config.Change{DomainsOut: map[model.Domain]bool{"c": true}})
	old := paused.Revision()
	paused.freshnessTracker.advanceClock(pauseLength)
	before := runs.Load()
	for range 8 {
		g := paused.call(callRequest{method: "POST", path: "/after"})
		qt.Assert(t, g.status, qt.Not(qt.Equals), http.StatusOK)
	}
	qt.Assert(t, runs.Load(), qt.Equals, before)
	qt.Assert(t, paused.Revision(), qt.Equals, old)
	f.network.setIsolated(paused.socket, false)
	f.eventually(func() bool { return paused.Revision() > old && paused.domainOut() })
}

// storeOutage is longer than evidence from the store counts, so that only the
// beacons of other failure domains keep a node fresh.
const storeOutage = 4 * time.Second

// TestCallsContinueDuringStoreOutage stops the store for all nodes: calls go
// on, and a node that joins meanwhile gets its configuration from a peer.
func TestCallsContinueDuringStoreOutage(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	for _, domain := range []string{"a", "b", "c"} {
		f.add(domain, echo)
	}
	f.ready()
	f.store.SetDown(true)
	time.Sleep(storeOutage)
	for _, c := range f.nodes {
		f.eventually(func() bool { return c.call(callRequest{method: "POST", path: "/"}).status == http.StatusOK })
	}
	joined := f.add("b", echo)
	f.eventually(func() bool { return joined.Revision() == f.nodes[0].Revision() && joined.TargetCount() == 4 })
	f.eventually(func() bool { return joined.call(callRequest{method: "POST", path: "/"}).status == http.StatusOK })
}
