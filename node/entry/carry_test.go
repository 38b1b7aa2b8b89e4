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

// brokenPeers loses each request.
type brokenPeers struct {
	err  error
	sent int
	// onSend, which may be nil, is called before the error is returned.
	onSend func()
}

// Open fails.
func (p *brokenPeers) Open(context.Context, model.NodeAddr, *peer.Request) (*peer.Exchange, error) {
	p.sent++
	if p.onSend != nil {
		p.onSend()
	}
	return nil, p.err
}

func TestKeyedCallIsCarriedAgain(t *testing.T) {
	cases := []struct {
		name    string
		err     error
		present bool
		leaves  bool
		sent    int
		kind    problem.Kind
	}{
		{"lost", peer.ErrOutcomeUnknown, true, false, 4, problem.KeyIssuerGone},
		{"not reached", peer.ErrNotSent, true, false, 4, problem.KeyIssuerGone},
		{"process gone", peer.ErrOutcomeUnknown, false, false, 1, problem.KeyIssuerGone},
		{"caller leaves", peer.ErrOutcomeUnknown, true, true, 1, problem.DeadlineExceeded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			peers := &brokenPeers{err: c.err}
			if c.leaves {
				peers.onSend = cancel
			}
			e := New(Options{Peers: peers, Present: func(model.NodeAddr, model.ProcessID) bool { return c.present }})
			reply := e.carry(ctx, &peer.Request{Service: "permits", Timeout: time.Minute}, callkey.ParsedKey{Node: "issuer"})
			qt.Assert(t, reply.Answer.Problem.Kind, qt.Equals, c.kind)
			qt.Assert(t, reply.Answer.Run, qt.Equals, model.RunUnknown)
			qt.Assert(t, peers.sent, qt.Equals, c.sent)
		})
	}
}
