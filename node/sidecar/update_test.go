package sidecar

import (
	"bytes"
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"zinniafall/node/hop"
	"zinniafall/node/peer"
	"zinniafall/node/sockets"
	"zinniafall/policy/distribution"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// damagingHolder is a node whose update from the configuration that the receiver has is not
// usable, while its whole configuration is.
type damagingHolder struct{ whole, damaged []byte }

func (h damagingHolder) ServeRequest(_ context.Context, _ string, stream *hop.Stream) {
	if stream.Request.Kind != peer.KindConfiguration {
		_ = stream.Answer(&peer.Answer{Run: model.RunNo, Problem: problem.New(problem.BadRequest, model.RunNo, "not served")})
		return
	}
	body, updates := h.whole, false // without Updates it sends the document
	if stream.Request.Updates && stream.Request.Base != 0 && stream.Request.Base != uint64(distribution.SumOf(nil)) {
		body, updates = h.damaged, true
	}
	_ = stream.Answer(&peer.Answer{Run: model.RunNo, Status: 200, Length: int64(len(body)), Updates: updates})
	if stream.SendBody(bytes.NewReader(body)) != nil {
		stream.Fail()
	}
}

// TestUnusableUpdateIsFollowedByTheWholeConfiguration requires what ErrUpdateInvalid says:
// that a node fetches the whole configuration if the update to it is not usable.
func TestUnusableUpdateIsFollowedByTheWholeConfiguration(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	n := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	eventually(t, "revision 1 is in force", func() bool { return n.configuration.revision() == 1 })
	document := newDocument(t, 2, "front")
	damaged, err := cbor.Marshal([]distribution.Update{{
		Base: distribution.SumOf(store.keys["ops/config"].Value), Revision: 2, Sum: distribution.SumOf(document), Data: []byte("damaged"),
	}})
	qt.Assert(t, err, qt.IsNil)
	listener, err := sockets.Listen(freeAddr(), sockets.SilentPeerTimeout)
	qt.Assert(t, err, qt.IsNil)
	server := hop.NewServer(damagingHolder{document, damaged})
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	defer func() { _ = listener.Close() }()

	eventually(t, "revision 2 is in force", func() bool {
		n.configuration.recordReported(2, model.NodeAddr(listener.Addr().String()))
		return n.configuration.revision() == 2
	})
}
