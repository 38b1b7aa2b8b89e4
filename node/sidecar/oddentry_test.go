package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestOddEntriesAmongThoseOfNodesAreLeftOut guards against an entry of another writer that ends
// or stalls each process that reads the list, attracts calls or counts as a watcher.
func TestOddEntriesAmongThoseOfNodesAreLeftOut(t *testing.T) {
	const entry = `{"node":"%s","process":[1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16],"sequence":1,"domain":"a","region":"r","service":"front","slots":%s,"link_mbps":%s}`
	odd := map[string]string{
		"127.0.0.1:99999": fmt.Sprintf(entry, "127.0.0.1:99999", "8", "10"),
		"127.0.0.1:0":     fmt.Sprintf(entry, "127.0.0.1:0", "8", "10"),
		"127.0.0.1:1":     fmt.Sprintf(entry, "127.0.0.1:1", "1e400", "10"),
		"127.0.0.1:2":     fmt.Sprintf(entry, "127.0.0.1:2", "9223372036854775807", "10"),
		"127.0.0.1:3":     fmt.Sprintf(entry, "127.0.0.1:3", "8", "9223372036854775807"),
		"127.0.0.1:4":     fmt.Sprintf(entry, "127.0.0.1:4", strings.Repeat("[", 1<<17)+strings.Repeat("]", 1<<17), "10"),
		"127.0.0.1:5":     strings.Repeat(`{"node":`, 1<<16),
		"127.0.0.1:6":     "\xff\x00",
		"":                fmt.Sprintf(entry, "", "8", "10"),
	}
	write := func(store *memoryStore) {
		for node, value := range odd {
			store.put(nodePrefix+node, []byte(value), false)
		}
	}
	store := newMemoryStore()
	store.configure(t, 1, "front")
	write(store) // in the list that each node reads at its start
	var nodes []*testNode
	for i := range 3 {
		nodes = append(nodes, startNode(t, store, "a", "front", newTestTarget(t, fmt.Sprint("t", i))))
	}
	for _, n := range nodes {
		n.waitForTargets("front", len(nodes))
	}
	write(store) // and among the changes
	store.configure(t, 2, "front")
	late := startNode(t, store, "a", "front", newTestTarget(t, "late"))
	for _, n := range append(nodes, late) {
		n.waitForTargets("front", len(nodes)+1)
		eventually(t, "revision 2 is in force", func() bool { return n.configuration.revision() == 2 })
		qt.Assert(t, n.call(http.MethodGet, "front", "/safe/x").status, qt.Equals, 200)
		lines := 0
		for _, line := range n.log.lines("fleet") {
			if line["msg"] == "node entry unreadable" {
				lines++
			}
		}
		qt.Assert(t, lines <= 2*len(odd), qt.IsTrue, qt.Commentf("%d lines", lines))
	}
}
