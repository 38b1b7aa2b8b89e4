package server

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/problem"
)

// TestCrashBlamesOnlyRequestsOnLostConnections guards against quarantining
// requests that ran beside the one that crashed: a handler that panics closes
// the connection of its own request only, the exit of the process closes all
// of them.
func TestCrashBlamesOnlyRequestsOnLostConnections(t *testing.T) {
	abort := func(*testNode) { panic(http.ErrAbortHandler) }
	exit := func(c *testNode) {
		_ = c.target.Listener.Close()
		c.target.CloseClientConnections()
	}
	for _, c := range []struct {
		name string
		// fail ends the call of mainPath.
		fail func(*testNode)
		// cutOff makes the three concurrent calls truncate their answers
		// afterwards.
		cutOff bool
		// blamedFirst and blamedLast are the numbers of blamed requests after
		// fail and after the concurrent calls have ended.
		blamedFirst, blamedLast int
	}{
		{"handler panics", abort, false, 1, 1},
		{"handlers panic one after another", abort, true, 1, 4},
		{"process exits", exit, false, 4, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			open := make(chan struct{})
			release := sync.OnceFunc(func() { close(open) })
			f := newTestFleet(t)
			f.slots = 16
			var owner *testNode
			owner = f.add("a", func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == mainPath {
					c.fail(owner)
					return
				}
				if c.cutOff {
					_, _ = io.WriteString(w, "half")
					_ = http.NewResponseController(w).Flush()
				}
				<-open
				if c.cutOff {
					abort(owner)
				}
			})
			t.Cleanup(release)
			other := f.add("b", nil)
			f.ready()
			answers := make(chan callResult, 3)
			for i := range cap(answers) {
				go func() { answers <- other.call(callRequest{method: "POST", path: fmt.Sprintf("/concurrent/%d", i)}) }()
			}
			f.eventually(func() bool { return owner.owner.Report().InFlight == 3 })
			qt.Assert(t, other.call(callRequest{method: "POST", path: mainPath}).run, qt.Equals, "unknown")
			f.awaitSuspects(c.blamedFirst)
			release()
			for range cap(answers) {
				g := <-answers
				qt.Assert(t, g.err == nil && g.status == http.StatusOK, qt.Equals, c.blamedLast == 1)
			}
			f.awaitSuspects(c.blamedLast)
			for _, e := range owner.suspects.entries() {
				qt.Assert(t, e.Crashes, qt.DeepEquals, owner.suspects.entries()[0].Crashes)
			}
		})
	}
}

// awaitSuspects waits until each node has the given number of suspect or
// quarantined requests.
func (f *testFleet) awaitSuspects(count int) {
	f.t.Helper()
	for _, c := range f.nodes {
		f.eventually(func() bool { return len(c.suspects.entries()) == count })
	}
}

// TestJoiningNodeLearnsQuarantinedRequests adds a node after the notices of
// two crashes were flooded: unless its neighbors send them again, it would run
// the quarantined request.
func TestJoiningNodeLearnsQuarantinedRequests(t *testing.T) {
	f := newTestFleet(t)
	node := f.add("a", echo)
	f.ready()
	node.recordCrashes(t, payFingerprint("POST", ""), 1, 2)
	joined := f.add("b", nil)
	f.eventually(func() bool { return len(joined.suspects.entries()) == 1 })
	f.eventually(func() bool {
		return joined.call(callRequest{method: "POST", path: mainPath}).kind == string(problem.Quarantined)
	})
}
