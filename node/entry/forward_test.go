package entry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/peer"
	"zinniafall/policy/callkey"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
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
