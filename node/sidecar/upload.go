package sidecar

import (
	"context"
	"fmt"
	"io"

	"zinniafall/node/peer"
	"zinniafall/policy/problem"
)

const (
	// maxAwaitedBody is the size in bytes of a bulk call's body up to which the call takes
	// its slot after its body, and bodyBuffers the memory for such bodies. Other bodies
	// arrive while their call holds its slot.
	maxAwaitedBody = 512 << 10
	bodyBuffers    = 8 << 20
)

// reserveBody reserves memory for the body of a bulk call, so that the body arrives before
// the call takes a slot. It returns false if the body is here or the memory does not suffice,
// and while a rollout limits the starts: another call could use the last one meanwhile.
func (n *Node) reserveBody(r *peer.Request) bool {
	return r.Bulk && !n.owner.startsLimited() && !r.Inline && r.Length >= 0 && r.Length <= maxAwaitedBody && n.bodies.Reserve(r.Length)
}

// receiveBody asks for the body of a call that awaits it, and then waits for a slot. Until the
// entry has sent the end of the body, it may report the call as not run, also if the body
// has no bytes.
func (a *attempt) receiveBody(ctx context.Context) *problem.Error {
	owner := a.node.owner
	arrived := false
	defer func() {
		if !arrived {
			owner.withdraw(a.ticket)
		}
	}()
	if p := a.recheck(); p != nil {
		return p
	}
	if err := a.requestBody(); err != nil {
		return entryLeft()
	}
	// A caller that sends slowly must not keep the place of another upload beyond its
	// deadline. The memory is released when the read ends.
	stop := context.AfterFunc(ctx, func() { owner.withdraw(a.ticket) })
	defer stop()
	body, err := readWhole(a.job.body, a.job.request.Length)
	if err != nil {
		return entryLeft()
	}
	a.job.request.Body, a.job.request.Inline, arrived = body, true, true
	return owner.admitArrived(ctx, a.ticket)
}

// readWhole reads a body of the length, and its end.
func readWhole(body io.Reader, length int64) ([]byte, error) {
	whole := make([]byte, length)
	if _, err := io.ReadFull(body, whole); err != nil {
		return nil, err
	}
	switch n, err := io.ReadFull(body, make([]byte, 1)); {
	case n > 0:
		return nil, fmt.Errorf("the body has more than the %d bytes that its call states", length)
	case err != io.EOF:
		return nil, err
	}
	return whole, nil
}
