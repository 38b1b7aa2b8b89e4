package entry

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/peer"
	"zinniafall/node/trust"
	"zinniafall/policy/callkey"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/settings"
)

// failingPeers fails to open every exchange.
type failingPeers struct {
	err  error
	sent int
	// onSend, if not nil, is called before the error is returned.
	onSend func()
}

// Open returns the configured error.
func (p *failingPeers) Open(context.Context, model.NodeAddr, *peer.Request) (*peer.Exchange, error) {
	p.sent++
	if p.onSend != nil {
		p.onSend()
	}
	return nil, p.err
}

func TestKeyedCallIsResentToIssuer(t *testing.T) {
	cases := []struct {
		name         string
		err          error
		isMember     bool
		callerLeaves bool
		sent         int
		kind         problem.Kind
	}{
		{"connection lost", peer.ErrOutcomeUnknown, true, false, 4, problem.KeyIssuerGone},
		{"request not sent", peer.ErrNotSent, true, false, 4, problem.KeyIssuerGone},
		{"issuer is no member", peer.ErrOutcomeUnknown, false, false, 1, problem.KeyIssuerGone},
		{"caller leaves", peer.ErrOutcomeUnknown, true, true, 1, problem.DeadlineExceeded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			peers := &failingPeers{err: c.err}
			if c.callerLeaves {
				peers.onSend = cancel
			}
			e := New(Options{Peers: peers, IsMember: func(model.NodeAddr, model.ProcessID) bool { return c.isMember }})
			reply := e.forwardToIssuer(ctx, &peer.Request{Service: "permits", Timeout: time.Minute}, callkey.ParsedKey{Node: "issuer"})
			qt.Assert(t, reply.Answer.Problem.Kind, qt.Equals, c.kind)
			qt.Assert(t, reply.Answer.Run, qt.Equals, model.RunUnknown)
			qt.Assert(t, peers.sent, qt.Equals, c.sent)
		})
	}
}

// refusingIssuer answers each request with a refusal.
type refusingIssuer struct{}

func (refusingIssuer) ServeRequest(_ context.Context, _ model.NodeAddr, stream *peer.Stream) {
	_ = stream.Answer(&peer.Answer{Run: model.RunNo, Problem: problem.New(problem.KeyTableFull, model.RunNo, "the node has no room")})
}
func (refusingIssuer) HandleControl(model.NodeAddr, []byte) {}
func (refusingIssuer) Unreachable(model.NodeAddr)           {}

// listenPeer starts a transport at a free address.
func listenPeer(t *testing.T, handler peer.Handler) (*peer.Transport, model.NodeAddr) {
	port, err := net.ListenPacket("udp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	addr := model.NodeAddr(port.LocalAddr().String())
	qt.Assert(t, port.Close(), qt.IsNil)
	identity, err := trust.NewIdentity(addr, []trust.Secret{bytes.Repeat([]byte{7}, trust.MinSecretBytes)})
	qt.Assert(t, err, qt.IsNil)
	transport, err := peer.Listen(peer.Options{Self: addr, Listen: string(addr), Identity: identity, Handler: handler})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(transport.Close)
	return transport, addr
}

// losingPeers fails the first exchange with err.
type losingPeers struct {
	Peers
	err error
}

func (p *losingPeers) Open(ctx context.Context, to model.NodeAddr, request *peer.Request) (*peer.Exchange, error) {
	if err := p.err; err != nil {
		p.err = nil
		return nil, err
	}
	return p.Peers.Open(ctx, to, request)
}

// Guards against a keyed call that is reported as not run because its issuer refused a later
// copy, while the first one, which was lost on the way back, may still start there.
func TestRefusalOfALaterCopyDoesNotSayNotRun(t *testing.T) {
	for err, run := range map[error]model.Run{peer.ErrOutcomeUnknown: model.RunUnknown, peer.ErrNotSent: model.RunNo} {
		_, issuer := listenPeer(t, refusingIssuer{})
		transport, _ := listenPeer(t, refusingIssuer{})
		e := New(Options{
			Peers: &losingPeers{transport, err}, IsMember: func(model.NodeAddr, model.ProcessID) bool { return true },
			Snapshot: func() *settings.Snapshot { return &settings.Snapshot{} },
		})
		reply := e.forwardToIssuer(t.Context(), &peer.Request{Service: "permits", Timeout: time.Minute, Inline: true}, callkey.ParsedKey{Node: issuer})
		qt.Check(t, reply.Answer.Problem.Kind, qt.Equals, problem.KeyTableFull)
		qt.Check(t, reply.Answer.Problem.Run, qt.Equals, run, qt.Commentf("%v", err))
		qt.Check(t, reply.Answer.Run, qt.Equals, run)
	}
}
