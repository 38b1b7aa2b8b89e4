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

// TestPausedNodeAcrossDomainOut pauses a node while its failure domain is
// taken out: it neither watches the store nor hears others, and wakes with its
// old configuration.
func TestPausedNodeAcrossDomainOut(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	f := newTestFleet(t)
	f.add("a", echo)
	f.add("b", echo)
	paused := f.add("c", func(w http.ResponseWriter, r *http.Request) { runs.Add(1); echo(w, r) })
	f.ready()
	f.eventually(func() bool { return paused.call(ask{method: "POST", path: "/before"}).status == http.StatusOK })
	paused.configuration.applier.SetWatching(false)
	f.links.set(paused.socket, true)
	f.cells = f.cells[:2]
	f.commit(config.Change{DomainsOut: map[model.Domain]bool{"c": true}})
	old := paused.Revision()
	paused.judge.skip(pauseLength)
	before := runs.Load()
	for range 8 {
		g := paused.call(ask{method: "POST", path: "/after"})
		qt.Assert(t, g.status, qt.Not(qt.Equals), http.StatusOK)
	}
	qt.Assert(t, runs.Load(), qt.Equals, before)
	qt.Assert(t, paused.Revision(), qt.Equals, old)
	f.links.set(paused.socket, false)
	f.eventually(func() bool { return paused.Revision() > old && paused.domainOut() })
}

// outage is longer than evidence of the store counts, so that only the voices
// of other failure domains are left.
const outage = 4 * time.Second

// TestStoreDownForAllKeepsServing takes the store away from every node: calls
// go on, and a node that joins meanwhile is configured by a peer.
func TestStoreDownForAllKeepsServing(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	for _, domain := range []string{"a", "b", "c"} {
		f.add(domain, echo)
	}
	f.ready()
	f.store.SetDown(true)
	time.Sleep(outage)
	for _, c := range f.cells {
		f.eventually(func() bool { return c.call(ask{method: "POST", path: "/"}).status == http.StatusOK })
	}
	joined := f.add("b", echo)
	f.eventually(func() bool { return joined.Revision() == f.cells[0].Revision() && joined.Targets() == 4 })
	f.eventually(func() bool { return joined.call(ask{method: "POST", path: "/"}).status == http.StatusOK })
}
