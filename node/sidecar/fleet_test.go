package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
	"zinniafall/policy/roster"
)

func TestConfigurationNeverGoesBack(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 5, "front")
	n := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	n.knows("front", 1)
	store.configure(t, 4, "front", "back")
	store.put("ops/config", []byte(`{"Revision":6,"Routes":[{"Name":"broken"}]}`), false)
	store.put("ops/config", []byte(`{"Revision":7,`), false)
	store.configure(t, 8, "front", "back")
	until(t, "the newest configuration is in force", func() bool { return n.configuration.revision() == 8 })
	qt.Assert(t, n.configuration.current().Match("back", "/safe/x") != nil, qt.IsTrue)
}

func TestEvacuatedDomainGetsNothing(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front", "back")
	entry := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	one := startNode(t, store, "a", "back", newTestTarget(t, "t1"))
	two := startNode(t, store, "b", "back", newTestTarget(t, "t2"))
	one.ready()
	two.ready()
	entry.knows("back", 2)
	store.put("ops/out/a", []byte("{}"), false)
	until(t, "the owner knows", func() bool { return one.owner.report().Limit == 0 })
	for range 5 {
		qt.Assert(t, entry.call(http.MethodPost, "back", "/unsafe/x").body, qt.Equals, "from t2")
	}
	store.put("ops/out/a", nil, true)
	until(t, "the owner takes calls again", func() bool { return one.owner.report().Limit > 0 })
	until(t, "calls come back", func() bool {
		return entry.call(http.MethodPost, "back", "/unsafe/x").body == "from t1"
	})
}

// A node that starts while the store is away is handed the configuration and
// the addresses by the nodes that knew its address.
func TestNodeThatRestartsWithoutTheStoreIsHandedWhatItNeeds(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 3, "front", "back")
	target := newTestTarget(t, "t0")
	entry := startNode(t, store, "a", "front", target)
	one := startNode(t, store, "a", "back", newTestTarget(t, "t1"))
	one.ready()
	one.knows("front", 1)
	entry.knows("back", 1)
	addr := string(entry.self)
	entry.Kill()
	store.setDown(true)
	again := startNodeAt(t, store, "a", "front", target, addr)
	again.knows("back", 1)
	qt.Assert(t, again.configuration.revision() > 0, qt.IsTrue)
	until(t, "the node is ready", func() bool { return again.NotReadyReason() == "" })
	qt.Assert(t, again.call(http.MethodPost, "back", "/unsafe/x").status, qt.Equals, 200)
}

// One node that cannot reach the store learns a new configuration from another.
func TestNodeWithoutTheStoreFollowsTheOthers(t *testing.T) {
	store, cut := newMemoryStore(), newMemoryStore()
	store.configure(t, 1, "front", "back")
	target := newTestTarget(t, "t0")
	entry := startNode(t, store, "a", "front", target)
	one := startNode(t, store, "a", "back", newTestTarget(t, "t1"))
	one.ready()
	one.knows("front", 1)
	addr := string(entry.self)
	entry.Kill()
	cut.setDown(true)
	again := startNodeAt(t, cut, "a", "front", target, addr)
	again.knows("back", 1)
	store.configure(t, 2, "front", "back")
	store.put("ops/out/z", []byte("{}"), false)
	until(t, "the configuration arrives", func() bool { return again.configuration.revision() == 2 })
	until(t, "the evacuation arrives", func() bool { return again.configuration.evacuated().out("z") })
}

func TestVanishedEntryIsWrittenAgain(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	n := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	key := n.fleet.key()
	until(t, "the node is entered", func() bool { return store.has(key) })
	store.put(key, nil, true)
	until(t, "the node is entered again", func() bool { return store.has(key) })
	store.mu.Lock()
	clear(store.leases) // the lease lapsed
	store.mu.Unlock()
	store.put(key, nil, true)
	until(t, "the node is entered under a new lease", func() bool { return store.has(key) })
}

func TestUnreadableEntriesAreIgnored(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front", "back")
	store.put(nodePrefix+"x", []byte("{"), false)
	store.put(nodePrefix+"10.0.0.1:1", []byte(`{"node":"10.0.0.2:2","service":"back"}`), false)
	n := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	n.knows("back", 0)
	qt.Assert(t, n.fleet.size(), qt.Equals, 1)
}

// withheldStore keeps the operators' keys back until it is told.
type withheldStore struct {
	*memoryStore
	given chan struct{}
}

func (s *withheldStore) List(ctx context.Context, prefix string) ([]Item, uint64, error) {
	if prefix == (testOperators{}).Prefix() {
		select {
		case <-s.given:
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	return s.memoryStore.List(ctx, prefix)
}

// After a loss of all nodes the watchers have nothing to tell either.
func TestNodeWithoutAConfigurationDoesNotWaitForWatchers(t *testing.T) {
	store := &withheldStore{newMemoryStore(), make(chan struct{})}
	store.configure(t, 1, "front")
	peers := freeAddr()
	decision := roster.NewWatchers(model.NodeAddr(peers), "a")
	var others []roster.Record
	for i := 1; decision.Chosen(); i++ {
		r := roster.Record{Node: model.NodeAddr(fmt.Sprintf("127.0.0.1:%d", i)), Domain: "a", Service: "front", Sequence: 1}
		others = append(others, r)
		text, err := json.Marshal(r)
		qt.Assert(t, err, qt.IsNil)
		store.put(nodePrefix+string(r.Node), text, false)
		decision.SetMembers(time.Now(), others)
	}
	n := startNodeAt(t, store, "a", "front", newTestTarget(t, "t0"), peers)
	until(t, "the node knows the others", func() bool { return n.fleet.size() == len(others)+1 })
	hear := func() {
		n.fleet.mu.Lock()
		defer n.fleet.mu.Unlock()
		n.fleet.watchers.Heard(time.Now().Add(time.Hour), "a")
	}
	hear()
	qt.Assert(t, n.fleet.follows(), qt.IsFalse)
	qt.Assert(t, n.followsOperators(), qt.IsTrue)
	close(store.given)
	until(t, "the configuration is in force", func() bool { return n.configuration.revision() == 1 })
	hear()
	qt.Assert(t, n.followsOperators(), qt.IsFalse)
}

func TestAdviceGrowsWhileThereIsNoConfiguration(t *testing.T) {
	c := newConfiguration(nil)
	for after, want := range map[time.Duration]time.Duration{
		0: retryUnready, 200 * time.Millisecond: retryUnready, time.Second: 500 * time.Millisecond, 4 * time.Second: 2 * time.Second,
	} {
		qt.Assert(t, c.retryAfter(c.began.Add(after)), qt.Equals, want, qt.Commentf("%s", after))
	}
}

func TestRefusalNamesAnEvacuationAsItsCause(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front", "back")
	entry := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	one := startNode(t, store, "b", "back", newTestTarget(t, "t1"))
	one.ready()
	entry.knows("back", 1)
	store.put("ops/out/b", []byte("{}"), false)
	until(t, "the entry refuses", func() bool {
		a := entry.call(http.MethodPost, "back", "/unsafe/x")
		return a.status == http.StatusServiceUnavailable && strings.Contains(a.body, "all targets of back are in failure domains out of service")
	})
}
