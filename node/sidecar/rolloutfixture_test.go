package sidecar

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
	"zinniafall/policy/rollout"
)

// testLink forwards connections to a node until it is cut.
type testLink struct {
	node string // the address at which the node listens

	mu    sync.Mutex
	isCut bool
	conns []net.Conn
}

func newTestLink(t testing.TB, addr string) *testLink {
	l := &testLink{node: freeAddr()}
	listener, err := net.Listen("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", l.node)
			l.mu.Lock()
			if err != nil || l.isCut {
				_ = from.Close()
			} else {
				l.conns = append(l.conns, from, to)
				go forward(from, to)
				go forward(to, from)
			}
			l.mu.Unlock()
		}
	}()
	return l
}

func forward(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = from.Close()
	_ = to.Close()
}

// cut closes all connections to the node and lets no further one open.
func (l *testLink) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = true
	for _, conn := range l.conns {
		_ = conn.Close()
	}
}

func newRolloutFleet(t testing.TB, owners int) *rolloutFleet {
	f := &rolloutFleet{t: t, store: newRolloutStore(t)}
	t.Cleanup(f.logRollouts)
	f.store.onDrain = func() {
		if f.beforeDrain == nil {
			f.beforeDrain = make(map[model.NodeAddr]int)
			for _, n := range f.new {
				f.beforeDrain[n.self] = len(n.target.requests())
			}
		}
	}
	f.store.configure(t, 1, "shop")
	for i := range owners {
		target := newTestTarget(t, fmt.Sprintf("v1-%d", i))
		target.onRequest(work)
		f.old = append(f.old, f.start(i, "v1", freeAddr(), target))
	}
	for _, n := range f.old {
		n.waitForTargets("shop", owners)
	}
	return f
}

func (f *rolloutFleet) start(i int, version, peers string, target *testTarget) *testNode {
	domain := model.Domain(fmt.Sprint("d", i%3))
	link := newTestLink(f.t, peers)
	n := startNodeWith(f.t, nodeStore{f.store, peers}, domain, "shop", target, peers, func(o *Options) {
		s := &o.Settings
		s.Peers = link.node
		s.Rollouts, s.ExposureRatio, s.ExposureSlack, s.RollbackTime = true, 0.1, 50, 5*time.Second
	})
	f.started.Store(peers, n)
	f.links.Store(peers, link)
	f.announce(n, version)
	return n
}

// announce lets the target state its version.
func (f *rolloutFleet) announce(n *testNode, version string) {
	n.waitForOwnTargetKnown()
	qt.Assert(f.t, n.Announce(Announcement{ID: n.target.id, Address: n.target.addr(), Service: "shop", Version: version, Slots: n.target.slots, Sequence: 1, Born: 1}), qt.IsNil)
}

func (n *testNode) waitForOwnTargetKnown() {
	eventually(n.t, "target and configuration known", func() bool {
		id, _, _ := n.ownTarget().identity()
		return id != "" && n.configuration.current() != nil
	})
}

func (n *testNode) ownTarget() *target { return n.Node.target }

// addNew starts the owners of a version.
func (f *rolloutFleet) addNew(version string, handle http.HandlerFunc) {
	for i := range f.old {
		target := newTestTarget(f.t, fmt.Sprintf("%s-%d", version, i))
		target.onRequest(handle)
		f.new = append(f.new, f.start(i, version, freeAddr(), target))
	}
}

// call sends calls from the old nodes until the load is stopped.
func (f *rolloutFleet) startLoad(perSecond int) {
	ctx, cancel := context.WithCancel(f.t.Context())
	f.stopLoad = cancel
	for i := range perSecond {
		f.load.Add(1)
		go func() {
			defer f.load.Done()
			sleep(ctx, time.Duration(i)*time.Second/time.Duration(perSecond))
			for ctx.Err() == nil {
				began := time.Now()
				method, path := http.MethodGet, "/safe/x"
				if i%2 == 0 {
					method, path = http.MethodPost, "/unsafe/x"
				}
				a, err := f.old[i%len(f.old)].tryCall(f.t.Context(), method, "shop", path)
				f.calls.Add(1)
				if err != nil || a.status != http.StatusOK {
					f.lost.Add(1)
					if method == http.MethodGet {
						f.lostSafe.Add(1)
					}
					f.lastLost.Store(fmt.Sprint(a, err))
				}
				sleep(ctx, time.Second-time.Since(began))
			}
		}()
	}
	f.t.Cleanup(f.endLoad)
}

func (f *rolloutFleet) endLoad() {
	f.stopLoad()
	f.load.Wait()
}

// reached returns the number of requests that reached the targets of nodes.
func reached(nodes []*testNode) int {
	n := 0
	for _, node := range nodes {
		n += len(node.target.requests())
	}
	return n
}

func (f *rolloutFleet) waitForStatus(status rollout.Phase) {
	f.t.Helper()
	eventually(f.t, "status "+string(status), func() bool { return f.store.status() == string(status) })
}

// nodeAt returns the node with an address, as soon as it has started.
func (f *rolloutFleet) nodeAt(addr string) *testNode {
	for {
		if n, ok := f.started.Load(addr); ok {
			return n.(*testNode)
		}
		time.Sleep(time.Millisecond)
	}
}

// logRollouts logs what the nodes logged about the rollout of a test that failed.
func (f *rolloutFleet) logRollouts() {
	if !f.t.Failed() {
		return
	}
	f.started.Range(func(_, n any) bool {
		for _, line := range n.(*testNode).log.lines("rollout") {
			f.t.Log(line)
		}
		return true
	})
}

// checkGrants requires that no target of the new version got more requests than the states
// that were written let its owner start, until one opened all owners for the drain.
func (f *rolloutFleet) checkGrants() {
	f.t.Helper()
	granted := make(map[model.NodeAddr]uint64)
	f.store.mu.Lock()
	for _, s := range f.store.written {
		for _, g := range s.Grants {
			granted[g.Node] = max(granted[g.Node], g.Starts)
		}
	}
	defer f.store.mu.Unlock()
	for _, n := range f.new {
		requests, drained := f.beforeDrain[n.self]
		if !drained {
			requests = len(n.target.requests())
		}
		qt.Check(f.t, uint64(requests) <= granted[n.self], qt.IsTrue, qt.Commentf("%s: %d requests, %d granted", n.settings.Name, requests, granted[n.self]))
	}
}

// work takes the usual time of the service, which a version may not exceed threefold.
func work(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(w, "done")
}

func failHalf(w http.ResponseWriter, r *http.Request) {
	if rand.IntN(2) == 0 {
		w.WriteHeader(http.StatusInternalServerError)
	}
	work(w, r)
}
