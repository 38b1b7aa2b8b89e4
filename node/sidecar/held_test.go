package sidecar

import (
	"bytes"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/peer"
)

// TestTransfersToNodesThatHaveNotReceivedThemAreBounded requires that a node that sends an
// update over the bound of the bytes in flight, which is sent alone, turns others away until
// its receiver has read it.
func TestTransfersToNodesThatHaveNotReceivedThemAreBounded(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	holder := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	eventually(t, "revision 1 is in force", func() bool { return holder.configuration.revision() == 1 })
	// Letters at random, so that it compresses to three quarters only.
	padding := make([]byte, 300<<10)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range padding {
		padding[i] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789+/"[rng.IntN(64)]
	}
	document := bytes.Replace(newDocument(t, 2, "front"), []byte(`{"Revision":2`), append(append([]byte(`{"Padding":"`), padding...), `","Revision":2`...), 1)
	store.put("ops/config", document, false)
	eventually(t, "revision 2 is in force", func() bool { return holder.configuration.revision() == 2 })

	accepted := 0
	// Little fits into the receivers' buffers: what is sent has not crossed the network.
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	for range 10 {
		conn, err := dialer.DialContext(t.Context(), "tcp4", string(holder.self))
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		qt.Assert(t, peer.Encode(conn, &peer.Request{Kind: peer.KindConfiguration, Updates: true}), qt.IsNil)
		var answer peer.Answer
		qt.Assert(t, peer.Decode(conn, &answer), qt.IsNil)
		if answer.Problem == nil {
			qt.Assert(t, answer.Length > 200<<10, qt.IsTrue)
			accepted++ // and its body is not read
		}
	}
	qt.Assert(t, accepted, qt.Equals, 1)
}
