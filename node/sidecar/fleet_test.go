package sidecar

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
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
	until(t, "the node is ready", func() bool { return again.Ready() == "" })
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
