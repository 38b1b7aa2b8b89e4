package server

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRollingReplacementCompletesAllCalls replaces all nodes one after the
// other while callers send non-idempotent calls on kept-alive connections: no
// call may be cut off or end with an unknown outcome.
func TestRollingReplacementCompletesAllCalls(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	f.slots = 8
	for _, domain := range []string{"a", "b", "c"} {
		f.add(domain, echo)
	}
	f.ready()
	var mu sync.Mutex
	ready := append([]*testNode(nil), f.nodes...)
	pick := func(n int) *testNode {
		mu.Lock()
		defer mu.Unlock()
		return ready[n%len(ready)]
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	finish := sync.OnceFunc(func() {
		close(stop)
		callers.Wait()
	})
	t.Cleanup(finish)
	for i := range 4 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				g := pick(n).call(callRequest{method: "POST", path: fmt.Sprintf("/%d", n), client: client})
				if g.err != nil && !strings.Contains(g.err.Error(), "server closed idle connection") {
					t.Errorf("a call was cut off: %v", g.err)
				}
				if g.err == nil && g.run == "unknown" {
					t.Errorf("the outcome of a call is unknown: %s", g.body)
				}
			}
		}()
	}
	for i, old := range f.nodes {
		next := f.add(string(old.settings.Node.FailureDomain), echo)
		f.eventually(func() bool { return next.TargetCount() >= 3 && next.Revision() > 0 })
		mu.Lock()
		ready[i] = next
		mu.Unlock()
		old.Stop(context.Background())
	}
	finish()
	for _, c := range ready {
		qt.Assert(t, c.call(callRequest{method: "POST", path: "/after"}).status, qt.Equals, http.StatusOK)
	}
}
