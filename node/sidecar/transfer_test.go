package sidecar

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/hop"
	"zinniafall/node/peer"
	"zinniafall/node/sockets"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// slowHolder is a node of an earlier release that sends its configuration as a document,
// piece by piece.
type slowHolder struct {
	document []byte
	pieces   int
	pause    time.Duration
}

func (h slowHolder) ServeRequest(_ context.Context, _ string, stream *hop.Stream) {
	if stream.Request.Kind != peer.KindConfiguration {
		_ = stream.Answer(&peer.Answer{Run: model.RunNo, Problem: problem.New(problem.BadRequest, model.RunNo, "not served")})
		return
	}
	_ = stream.Answer(&peer.Answer{Run: model.RunNo, Status: 200, Length: int64(len(h.document))})
	if stream.SendBody(&slowReader{bytes.NewReader(h.document), len(h.document)/h.pieces + 1, h.pause}) != nil {
		stream.Fail()
	}
}

type slowReader struct {
	io.Reader
	piece int
	pause time.Duration
}

func (r *slowReader) Read(p []byte) (int, error) {
	time.Sleep(r.pause)
	return r.Reader.Read(p[:min(len(p), r.piece)])
}

// TestSlowTransferOfAConfigurationIsCompleted guards against transfers that were dropped
// after a second although they made progress, and then begun anew.
func TestSlowTransferOfAConfigurationIsCompleted(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	n := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	eventually(t, "revision 1 is in force", func() bool { return n.configuration.revision() == 1 })

	listener, err := sockets.Listen(freeAddr(), sockets.SilentPeerTimeout)
	qt.Assert(t, err, qt.IsNil)
	server := hop.NewServer(slowHolder{newDocument(t, 2, "front"), 6, 250 * time.Millisecond})
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	defer func() { _ = listener.Close() }()

	n.configuration.recordReported(2, model.NodeAddr(listener.Addr().String()))
	eventually(t, "revision 2 is in force", func() bool { return n.configuration.revision() == 2 })
}

// TestNodeOfAnEarlierReleaseGetsTheDocument requires that a request that does not ask for
// updates is answered with the configuration as it is in the store.
func TestNodeOfAnEarlierReleaseGetsTheDocument(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	n := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	eventually(t, "revision 1 is in force", func() bool { return n.configuration.revision() == 1 })
	client := hop.NewClient()
	defer client.Close()
	exchange, err := client.Open(t.Context(), n.self, &peer.Request{Kind: peer.KindConfiguration, Inline: true})
	qt.Assert(t, err, qt.IsNil)
	defer exchange.Close()
	answer, err := exchange.Receive()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.Updates, qt.IsFalse)
	body, err := io.ReadAll(exchange)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, string(store.keys["ops/config"].Value))
}
