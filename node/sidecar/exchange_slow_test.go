package sidecar

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"zinniafall/node/peer"
	"zinniafall/node/sockets"
	"zinniafall/policy/model"
	"zinniafall/policy/roster"
)

// TestSlowListOfRecordsIsCompleted requires that a node takes all records of a watcher that
// arrive slowly, but without a pause.
func TestSlowListOfRecordsIsCompleted(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	n := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	listener, err := sockets.Listen(freeAddr(), sockets.SilentPeerTimeout)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	watcher := roster.Record{Node: model.NodeAddr(listener.Addr().String()), Domain: "a", Region: "r", Service: "back", Slots: 1, Sequence: 1}
	body, err := cbor.Marshal(greeting{From: watcher, Whole: true})
	qt.Assert(t, err, qt.IsNil)
	var answer bytes.Buffer
	qt.Assert(t, peer.Encode(&answer, &peer.Answer{Run: model.RunNo, Status: 200, Inline: true, Body: body}), qt.IsNil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if peer.Decode(conn, new(peer.Request)) != nil {
			return
		}
		const pieces = 10
		for size := answer.Len()/pieces + 1; answer.Len() > 0; {
			time.Sleep(100 * time.Millisecond)
			if _, err := conn.Write(answer.Next(size)); err != nil {
				return
			}
		}
	}()
	n.fleet.exchange(watcher.Node, n.fleet.greeting())
	<-done
	qt.Assert(t, n.fleet.targetCount("back"), qt.Equals, 1)
}
