package sidecar

import (
	"io"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/events"
	"zinniafall/node/hop"
	"zinniafall/node/peer"
	"zinniafall/node/sockets"
	"zinniafall/policy/model"
)

// One malformed document must not end the processes of all nodes.
func TestPanicOfTheDecoderRejectsTheDocument(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front", "back")
	entry := startNode(t, store, "a", "back", newTestTarget(t, "t1"))
	entry.waitForTargets("back", 1)
	entry.waitForOwnTarget()
	rejected := configurationsRejected.Get()
	store.put("ops/config", []byte(panicDocument), false)
	eventually(t, "the document is rejected", func() bool { return configurationsRejected.Get() > rejected })
	qt.Assert(t, entry.call(http.MethodPost, "back", "/unsafe/x").status, qt.Equals, http.StatusOK)
}

// One message of another node must not end the process.
func TestPanicOverAMessageOfAnotherNodeEndsItsConnection(t *testing.T) {
	n := &Node{log: events.New(io.Discard, "n")} // without a fleet, any sender panics
	defer n.log.Close()
	server := hop.NewServer(n)
	listener, err := sockets.Listen("127.0.0.1:0", sockets.SilentPeerTimeout)
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	defer func() { _ = listener.Close() }()
	client := hop.NewClient()
	defer client.Close()
	ask := func(from model.NodeAddr) error {
		x, err := client.Open(t.Context(), model.NodeAddr(listener.Addr().String()), &peer.Request{From: from, Kind: 99, Inline: true})
		qt.Assert(t, err, qt.IsNil)
		defer x.Close()
		_, err = x.Receive()
		return err
	}
	before := panics.Get()
	qt.Assert(t, ask("10.0.0.1:1"), qt.IsNotNil)
	qt.Assert(t, panics.Get(), qt.Equals, before+1)
	qt.Assert(t, ask(""), qt.IsNil)
}

// A panic while a call holds a slot releases the slot.
func TestPanicReleasesTheSlot(t *testing.T) {
	_, ownerA, _ := startEntryAndOwners(t)
	func() {
		defer func() { qt.Assert(t, recover(), qt.Equals, "a fault") }()
		ownerA.execute(t.Context(), job{
			request:     &peer.Request{Kind: peer.KindCall, Service: "back", Revision: ownerA.configuration.revision(), Timeout: time.Minute, Objective: time.Minute},
			requestBody: func() error { panic("a fault") },
		})
	}()
	qt.Assert(t, ownerA.owner.report().InFlight, qt.Equals, uint16(0))
}
