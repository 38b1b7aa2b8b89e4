package entry

import (
	"context"
	"errors"
	"time"

	"zinniafall/node/callbody"
	"zinniafall/node/execute"
	"zinniafall/node/peer"
	"zinniafall/node/trace"
	"zinniafall/policy/model"
	"zinniafall/policy/placement"
	"zinniafall/policy/problem"
)

// answerGrace is how long past the deadline the entry waits for the owner to
// report that the call did not run.
const answerGrace = 10 * time.Millisecond

// attemptResult is the result of one attempt.
type attemptResult struct {
	node    model.NodeAddr
	reply   *execute.Reply
	started time.Time
	cancel  context.CancelFunc
}

// attempt sends the call to one owner and waits for the head of the answer. If
// the owner is this node, it runs the call here. The reply is never nil: an
// error becomes a problem. It runs in its own goroutine.
func (e *Entry) attempt(ctx context.Context, node model.NodeAddr, request *peer.Request, b *callbody.Body) *execute.Reply {
	if node == e.opts.Self {
		body, err := b.Open()
		if err != nil {
			return execute.ProblemReply(problem.New(problem.Internal, model.RunNo, err.Error()))
		}
		return e.opts.Executor.Execute(ctx, execute.Job{From: node, Request: request, Body: body})
	}
	ctx, span := e.opts.Tracer.Start(ctx, trace.HopPeer)
	defer span.End()
	span.SetAttribute("node", string(node))
	request.Trace = e.opts.Tracer.Traceparent(ctx)
	reply, err := e.exchange(ctx, node, request, b)
	if err != nil {
		span.Fail(err.Error())
		return execute.ProblemReply(exchangeProblem(err))
	}
	return reply
}

// exchangeProblem returns the problem for a failed exchange with an owner.
func exchangeProblem(err error) *problem.Error {
	if errors.Is(err, peer.ErrNotSent) {
		return problem.New(problem.OwnerUnreachable, model.RunNo, "the owner could not be reached")
	}
	return problem.New(problem.OwnerUnreachable, model.RunUnknown, "the connection to the owner was lost")
}

// exchange sends the call to another node over QUIC and returns its answer.
func (e *Entry) exchange(ctx context.Context, node model.NodeAddr, request *peer.Request, b *callbody.Body) (*execute.Reply, error) {
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
	e.checkRevision(node, answer)
	if len(answer.Crash) > 0 {
		e.opts.Suspects.RecordNotice(answer.Crash)
	}
	reply := &execute.Reply{Answer: answer}
	if err := answer.CheckResponse(); err != nil {
		x.Close()
		return execute.ProblemReply(problem.New(problem.TargetFailed, model.RunUnknown, err.Error())), nil
	}
	if answer.Problem != nil {
		x.Close()
		return reply, nil
	}
	reply.Body = &exchangeBody{Exchange: x}
	return reply, nil
}

// sendBody streams the body while it waits for the answer, because a target
// may answer before it has read the whole body. Its error is the one of
// Receive, or peer.ErrOutcomeUnknown if the body was inline or cannot be sent again.
func (e *Entry) sendBody(x *peer.Exchange, b *callbody.Body) (*peer.Answer, error) {
	if !b.Streamed() {
		return nil, peer.ErrOutcomeUnknown
	}
	body, err := b.Open()
	if err != nil {
		return nil, errors.Join(peer.ErrOutcomeUnknown, err)
	}
	go func() { _ = x.SendBody(body) }()
	return x.Receive()
}

// checkRevision calls OnNewerRevision if the answer reports a newer
// configuration than the one in use here.
func (e *Entry) checkRevision(node model.NodeAddr, answer *peer.Answer) {
	if answer.Report == nil {
		return
	}
	if answer.Report.Revision > e.opts.Snapshot().Revision {
		e.opts.OnNewerRevision(answer.Report.Revision, node)
	}
}

// exchangeBody reads the body of an answer from its QUIC stream.
type exchangeBody struct{ *peer.Exchange }

// Close closes the exchange.
func (b *exchangeBody) Close() error {
	b.Exchange.Close()
	return nil
}

// placementOutcome converts the result of an attempt for placement. An answer
// with a status of 500 or above counts as Failed.
func placementOutcome(r attemptResult) placement.Outcome {
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
