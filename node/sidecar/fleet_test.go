package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
	"zinniafall/policy/roster"
)

func TestConfigurationRevisionNeverDecreases(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 5, "front")
	n := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	n.waitForTargets("front", 1)
	store.configure(t, 4, "front", "back")
	store.put("ops/config", []byte(`{"Revision":6,"Routes":[{"Name":"broken"}]}`), false)
	store.put("ops/config", []byte(`{"Revision":7,`), false)
	store.configure(t, 8, "front", "back")
	eventually(t, "the newest configuration is in force", func() bool { return n.configuration.revision() == 8 })
	qt.Assert(t, n.configuration.current().Match("back", "/safe/x") != nil, qt.IsTrue)
}

func TestEvacuatedDomainGetsNoCalls(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front", "back")
	entry := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	ownerA := startNode(t, store, "a", "back", newTestTarget(t, "t1"))
	ownerB := startNode(t, store, "b", "back", newTestTarget(t, "t2"))
	ownerA.waitForOwnTarget()
	ownerB.waitForOwnTarget()
	entry.waitForTargets("back", 2)
	store.put("ops/out/a", []byte("{}"), false)
	eventually(t, "the owner has closed its gate", func() bool { return ownerA.owner.report().Limit == 0 })
	for range 5 {
		qt.Assert(t, entry.call(http.MethodPost, "back", "/unsafe/x").body, qt.Equals, "from t2")
	}
	store.put("ops/out/a", nil, true)
	eventually(t, "the owner accepts calls again", func() bool { return ownerA.owner.report().Limit > 0 })
	eventually(t, "the entry sends calls to ownerA again", func() bool {
		return entry.call(http.MethodPost, "back", "/unsafe/x").body == "from t1"
	})
}

// A node that restarts while the store is down gets the configuration and the
// addresses from the nodes that have its address.
func TestNodeThatRestartsWithoutTheStoreRecoversFromPeers(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 3, "front", "back")
	target := newTestTarget(t, "t0")
	entry := startNode(t, store, "a", "front", target)
	ownerA := startNode(t, store, "a", "back", newTestTarget(t, "t1"))
	ownerA.waitForOwnTarget()
	ownerA.waitForTargets("front", 1)
	entry.waitForTargets("back", 1)
	addr := string(entry.self)
	entry.Kill()
	store.setDown(true)
	restarted := startNodeAt(t, store, "a", "front", target, addr)
	restarted.waitForTargets("back", 1)
	qt.Assert(t, restarted.configuration.revision() > 0, qt.IsTrue)
	eventually(t, "the node is ready", func() bool { return restarted.NotReadyReason() == "" })
	qt.Assert(t, restarted.call(http.MethodPost, "back", "/unsafe/x").status, qt.Equals, 200)
}

// A node that cannot reach the store learns a new configuration from another
// node.
func TestNodeWithoutTheStoreLearnsChangesFromPeers(t *testing.T) {
	store, isolatedStore := newMemoryStore(), newMemoryStore()
	store.configure(t, 1, "front", "back")
	target := newTestTarget(t, "t0")
	entry := startNode(t, store, "a", "front", target)
	ownerA := startNode(t, store, "a", "back", newTestTarget(t, "t1"))
	ownerA.waitForOwnTarget()
	ownerA.waitForTargets("front", 1)
	addr := string(entry.self)
	entry.Kill()
	isolatedStore.setDown(true)
	restarted := startNodeAt(t, isolatedStore, "a", "front", target, addr)
	restarted.waitForTargets("back", 1)
	store.configure(t, 2, "front", "back")
	store.put("ops/out/z", []byte("{}"), false)
	eventually(t, "the configuration arrives", func() bool { return restarted.configuration.revision() == 2 })
	eventually(t, "the evacuation arrives", func() bool { return restarted.configuration.currentEvacuation().Contains("z") })
}

func TestRemovedEntryIsRewritten(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	n := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	key := n.fleet.entryKey()
	eventually(t, "the entry of the node is in the store", func() bool { return store.has(key) })
	store.put(key, nil, true)
	eventually(t, "the entry is rewritten", func() bool { return store.has(key) })
	store.mu.Lock()
	clear(store.leases) // the lease expired
	store.mu.Unlock()
	store.put(key, nil, true)
	eventually(t, "the entry is rewritten under a new lease", func() bool { return store.has(key) })
}

func TestUnreadableEntriesAreIgnored(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front", "back")
	store.put(nodePrefix+"x", []byte("{"), false)
	store.put(nodePrefix+"10.0.0.1:1", []byte(`{"node":"10.0.0.2:2","service":"back"}`), false)
	n := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	n.waitForTargets("back", 0)
	qt.Assert(t, n.fleet.size(), qt.Equals, 1)
}

// gatedStore withholds the operators' keys until released is closed.
type gatedStore struct {
	*memoryStore
	released chan struct{}
}

func (s *gatedStore) List(ctx context.Context, prefix string) ([]Item, Position, error) {
	if prefix == (testOperators{}).Prefix() {
		select {
		case <-s.released:
		case <-ctx.Done():
			return nil, Position{}, ctx.Err()
		}
	}
	return s.memoryStore.List(ctx, prefix)
}

// When all nodes were lost, the watchers have no configuration to pass on
// either.
func TestNodeWithoutAConfigurationDoesNotWaitForWatchers(t *testing.T) {
	store := &gatedStore{newMemoryStore(), make(chan struct{})}
	store.configure(t, 1, "front")
	peerAddr := freeAddr()
	watchers := roster.NewWatchPolicy(model.NodeAddr(peerAddr), "a", 0)
	var others []roster.Record
	for i := 1; watchers.IsWatcher(); i++ {
		r := roster.Record{Node: model.NodeAddr(fmt.Sprintf("127.0.0.1:%d", i)), Domain: "a", Service: "front", Sequence: 1}
		others = append(others, r)
		text, err := json.Marshal(r)
		qt.Assert(t, err, qt.IsNil)
		store.put(nodePrefix+string(r.Node), text, false)
		watchers.SetMembers(time.Now(), others)
	}
	n := startNodeAt(t, store, "a", "front", newTestTarget(t, "t0"), peerAddr)
	eventually(t, "the node has the records of the others", func() bool { return n.fleet.size() == len(others)+1 })
	recordWatcher := func() {
		n.fleet.mu.Lock()
		defer n.fleet.mu.Unlock()
		n.fleet.watchers.Refresh(time.Now().Add(time.Hour), "a")
	}
	recordWatcher()
	qt.Assert(t, n.fleet.followsStore(), qt.IsFalse)
	qt.Assert(t, n.followsOperators(), qt.IsTrue)
	close(store.released)
	eventually(t, "the configuration is in force", func() bool { return n.configuration.revision() == 1 })
	recordWatcher()
	qt.Assert(t, n.followsOperators(), qt.IsFalse)
}

func TestRetryAfterGrowsWithoutAConfiguration(t *testing.T) {
	c := newConfiguration(nil)
	for after, want := range map[time.Duration]time.Duration{
		0: minUnreadyRetryAfter, 200 * time.Millisecond: minUnreadyRetryAfter, time.Second: 500 * time.Millisecond, 4 * time.Second: 2 * time.Second,
	} {
		qt.Assert(t, c.retryAfter(c.startedAt.Add(after)), qt.Equals, want, qt.Commentf("%s", after))
	}
}

func TestRefusalStatesThatTheDomainIsEvacuated(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front", "back")
	entry := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	owner := startNode(t, store, "b", "back", newTestTarget(t, "t1"))
	owner.waitForOwnTarget()
	entry.waitForTargets("back", 1)
	store.put("ops/out/b", []byte("{}"), false)
	eventually(t, "the refusal states the evacuation", func() bool {
		a := entry.call(http.MethodPost, "back", "/unsafe/x")
		return a.status == http.StatusServiceUnavailable && strings.Contains(a.body, "all targets of back are in failure domains out of service")
	})
}

// forgetfulStore answers watches of the nodes' entries with ErrHistoryLost, as often as
// forgets says.
type forgetfulStore struct {
	*memoryStore
	forgets atomic.Int64
}

func (s *forgetfulStore) Watch(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Item, Position, error) {
	items, next, err := s.memoryStore.Watch(ctx, prefix, after, wait)
	if prefix == nodePrefix && s.forgets.Add(-1) >= 0 {
		return nil, Position{}, ErrHistoryLost
	}
	return items, next, err
}

// A watcher that lists the store tells a node that its entry is missing, although no
// removal was seen.
func TestNodeLearnsFromAListThatItsEntryIsMissing(t *testing.T) {
	store := &forgetfulStore{memoryStore: newMemoryStore()}
	store.configure(t, 1, "front")
	var nodes []*testNode
	for i := range 3 {
		nodes = append(nodes, startNode(t, store, "a", "front", newTestTarget(t, fmt.Sprintf("t%d", i))))
	}
	var follows *testNode
	eventually(t, "one node relies on two watchers", func() bool {
		relying := 0
		for _, n := range nodes {
			if n.fleet.size() != 3 || !store.has(n.fleet.entryKey()) {
				return false
			}
			if !n.fleet.followsStore() && !n.fleet.follower.readable.Load() {
				relying++
				follows = n
			}
		}
		return relying == 1
	})
	store.mu.Lock()
	delete(store.keys, follows.fleet.entryKey())
	store.mu.Unlock()
	store.forgets.Store(2)
	store.put(nodePrefix+"x", nil, true) // ends the watches of both watchers
	eventually(t, "the entry is rewritten", func() bool { return store.has(follows.fleet.entryKey()) })
}

// The entry of a node that has left is back in the store, as after a return from an older
// copy. No call is lost to it: what it might run is sent only when it admits the call.
func TestEntryOfADepartedNodeThatComesBackLosesNoCall(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front", "back")
	entry := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	departed := startNode(t, store, "a", "back", newTestTarget(t, "t1"))
	stays := startNode(t, store, "b", "back", newTestTarget(t, "t2"))
	departed.waitForOwnTarget()
	stays.waitForOwnTarget()
	entry.waitForTargets("back", 2)
	var key string
	var value []byte
	eventually(t, "its entry is in the store", func() bool {
		key, value = store.entryOf(string(departed.self))
		return strings.Contains(string(value), "back")
	})
	departed.Withdraw("t1", 0)
	departed.Kill()
	closeTarget(departed.target.server)
	store.put(key, nil, true)
	eventually(t, "the node is gone", func() bool { return entry.fleet.targetCount("back") == 1 })
	store.put(key, value, false)
	eventually(t, "its entry is back", func() bool { return entry.fleet.targetCount("back") == 2 })
	for range 20 {
		qt.Assert(t, entry.call(http.MethodPost, "back", "/unsafe/x").body, qt.Equals, "from t2")
		qt.Assert(t, entry.call(http.MethodGet, "back", "/safe/x").body, qt.Equals, "from t2")
	}
	qt.Assert(t, departed.target.requests(), qt.HasLen, 0)
}

// entryOf returns the key and the value of the entry whose key contains the text.
func (s *memoryStore) entryOf(text string) (key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, item := range s.keys {
		if strings.Contains(key, text) {
			return key, item.Value
		}
	}
	return "", nil
}
