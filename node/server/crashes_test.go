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

func TestLostConnectionsAreBlamedNotTheirNeighbors(t *testing.T) {
	abort := func(*cell) { panic(http.ErrAbortHandler) }
	die := func(c *cell) {
		_ = c.target.Listener.Close()
		c.target.CloseClientConnections()
	}
	for _, c := range []struct {
		name string
		// fail ends the call of mainPath.
		fail func(*cell)
		// cutOff makes its three neighbors break off their answers afterwards.
		cutOff bool
		// first and last are how many requests are blamed after fail, and when
		// the neighbors have ended.
		first, last int
	}{
		{"handler panics", abort, false, 1, 1},
		{"handlers panic in turn", abort, true, 1, 4},
		{"process dies", die, false, 4, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			open := make(chan struct{})
			release := sync.OnceFunc(func() { close(open) })
			f := newTestFleet(t)
			f.slots = 16
			var owner *cell
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
			answers := make(chan got, 3)
			for i := range cap(answers) {
				go func() { answers <- other.call(ask{method: "POST", path: fmt.Sprintf("/innocent/%d", i)}) }()
			}
			f.eventually(func() bool { return owner.owner.Report().InFlight == 3 })
			qt.Assert(t, other.call(ask{method: "POST", path: mainPath}).run, qt.Equals, "unknown")
			f.awaitSuspects(c.first)
			release()
			for range cap(answers) {
				g := <-answers
				qt.Assert(t, g.err == nil && g.status == http.StatusOK, qt.Equals, c.last == 1)
			}
			f.awaitSuspects(c.last)
			for _, e := range owner.suspects.entries() {
				qt.Assert(t, e.Crashes, qt.DeepEquals, owner.suspects.entries()[0].Crashes)
			}
		})
	}
}

// awaitSuspects waits until all nodes know so many requests that are not clear.
func (f *testFleet) awaitSuspects(count int) {
	f.t.Helper()
	for _, c := range f.cells {
		f.eventually(func() bool { return len(c.suspects.entries()) == count })
	}
}

// TestNodeThatJoinsKnowsOfQuarantinedRequests lets a node join after the
// notices of two crashes were flooded.
func TestNodeThatJoinsKnowsOfQuarantinedRequests(t *testing.T) {
	f := newTestFleet(t)
	node := f.add("a", echo)
	f.ready()
	node.hear(t, payFingerprint("POST", ""), 1, 2)
	joined := f.add("b", nil)
	f.eventually(func() bool { return len(joined.suspects.entries()) == 1 })
	f.eventually(func() bool {
		return joined.call(ask{method: "POST", path: mainPath}).kind == string(problem.Quarantined)
	})
}
