package entry

import (
	"context"
	"errors"
	"time"

	"zinniafall/node/execute"
	"zinniafall/node/peer"
	"zinniafall/node/trace"
	"zinniafall/policy/model"
	"zinniafall/policy/placement"
	"zinniafall/policy/problem"
)

// answerGrace is the time past the deadline for which the entry still waits
// for its owner's word that the call did not run.
const answerGrace = 10 * time.Millisecond

// result is the end of one attempt.
type result struct {
	node    model.NodeAddr
	reply   *execute.Reply
	started time.Time
	cancel  context.CancelFunc
}

// attempt sends the call to one owner and waits for the head of its answer.
func (e *Entry) attempt(ctx context.Context, node model.NodeAddr, request *peer.Request, b *body) *execute.Reply {
	if node == e.opts.Self {
		return e.opts.Executor.Execute(ctx, execute.Job{From: node, Request: request, Body: b.take()})
	}
	ctx, span := e.opts.Tracer.Start(ctx, trace.HopPeer)
	defer span.End()
	span.Set("node", string(node))
	request.Trace = e.opts.Tracer.Parent(ctx)
	reply, err := e.exchange(ctx, node, request, b)
	if err != nil {
		span.Fail(err.Error())
		return execute.Refuse(lostProblem(err))
	}
	return reply
}

func lostProblem(err error) *problem.Error {
	if errors.Is(err, peer.ErrNotSent) {
		return problem.New(problem.OwnerUnreachable, model.RunNo, "the owner could not be reached")
	}
	return problem.New(problem.OwnerUnreachable, model.RunUnknown, "the connection to the owner was lost")
}

// exchange carries the call over QUIC.
func (e *Entry) exchange(ctx context.Context, node model.NodeAddr, request *peer.Request, b *body) (*execute.Reply, error) {
	x, err := e.opts.Peers.Open(ctx, node, request)
	if err != nil {
		return nil, err
	}
	answer, err := x.Receive()
	if err == nil && answer.Admitted {
		answer, err = e.sendBody(x, b)
	}
	if err != nil {
		x.Close()
		return nil, err
	}
	e.noteRevision(node, answer)
	if len(answer.Crash) > 0 {
		e.opts.Suspects.Heard(answer.Crash)
	}
	reply := &execute.Reply{Answer: answer}
	if answer.Problem != nil {
		x.Close()
		return reply, nil
	}
	reply.Body = &exchangeBody{Exchange: x}
	return reply, nil
}

// sendBody streams the body and waits for the answer at the same time, since
// a target may answer before it has read everything.
func (e *Entry) sendBody(x *peer.Exchange, b *body) (*peer.Answer, error) {
	rest := b.take()
	if rest == nil {
		return nil, peer.ErrOutcomeUnknown
	}
	go func() { _ = x.SendBody(rest) }()
	return x.Receive()
}

func (e *Entry) noteRevision(node model.NodeAddr, answer *peer.Answer) {
	if answer.Report == nil {
		return
	}
	if answer.Report.Revision > e.opts.Snapshot().Revision {
		e.opts.Behind(answer.Report.Revision, node)
	}
}

// exchangeBody is the answer's body on a QUIC stream.
type exchangeBody struct{ *peer.Exchange }

// Close ends the exchange.
func (b *exchangeBody) Close() error {
	b.Exchange.Close()
	return nil
}

// outcome tells placement how an attempt ended.
func outcome(r result) placement.Outcome {
	o := placement.Outcome{Report: r.reply.Answer.Report, Elapsed: time.Since(r.started), Result: placement.Answered}
	p := r.reply.Answer.Problem
	switch {
	case p == nil && r.reply.Answer.Status >= 500:
		o.Result = placement.Failed
	case p == nil:
	case p.Kind == problem.Canceled:
		o.Result = placement.Abandoned
	case p.Kind == problem.OwnerUnreachable:
		o.Result = placement.Unreachable
	case p.Run == model.RunNo:
		o.Result = placement.Refused
	default:
		o.Result = placement.Failed
	}
	return o
}
