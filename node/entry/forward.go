package entry

import (
	"context"
	"errors"
	"time"

	"zinniafall/node/callbody"
	"zinniafall/node/execute"
	"zinniafall/node/peer"
	"zinniafall/policy/callkey"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/retry"
)

// issuerCall is a keyed call that is forwarded to the issuer of its key.
type issuerCall struct {
	entry    *Entry
	request  peer.Request
	key      callkey.ParsedKey
	deadline time.Time
	attempts *retry.Attempts
	// mayHaveArrived is set once the issuer may have a copy of the call that it has not answered.
	mayHaveArrived bool
}

// forwardToIssuer sends a keyed call to its issuer and sends it again if the
// connection is lost. That is safe because the issuer starts the call once,
// however many copies arrive.
func (e *Entry) forwardToIssuer(ctx context.Context, request *peer.Request, key callkey.ParsedKey) *execute.Reply {
	now := time.Now()
	c := &issuerCall{entry: e, request: *request, key: key, deadline: now.Add(request.Timeout)}
	c.request.Kind = peer.KindKeyed
	e.mu.Lock()
	c.attempts = e.budget(request.Service).Begin(now, retry.Call{
		Keyed: true, Deadline: c.deadline, Allowance: request.Allowance, NestingDepth: request.Depth,
	})
	e.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, c.deadline.Add(answerGrace))
	reply := c.run(ctx)
	if reply.Body == nil {
		cancel()
		return reply
	}
	reply.Body = &cancelOnClose{ReadCloser: reply.Body, cancel: cancel}
	return reply
}

// run sends the call until the issuer answers. It gives up when the context
// ends, the issuer is no longer a member, or the next step is not RetryNow.
func (c *issuerCall) run(ctx context.Context) *execute.Reply {
	for {
		reply, err := c.entry.exchange(ctx, c.key.Node, &c.request, callbody.New(nil, nil))
		if err == nil {
			c.recordAnswer(reply)
			return c.coverEarlierCopies(reply)
		}
		c.mayHaveArrived = c.mayHaveArrived || !errors.Is(err, peer.ErrNotSent)
		if ctx.Err() != nil {
			return execute.ProblemReply(problem.New(problem.DeadlineExceeded, model.RunUnknown, "the issuer of the request key did not answer in time"))
		}
		if !c.entry.opts.IsMember(c.key.Node, c.key.Process) {
			return execute.ProblemReply(callkey.IssuerGone(c.key))
		}
		step := c.nextStep(err)
		if step.Verdict != retry.RetryNow {
			return execute.ProblemReply(callkey.IssuerGone(c.key).After(step.RetryAfter))
		}
		c.request.Timeout = time.Until(c.deadline)
	}
}

// coverEarlierCopies makes a refusal hold for all copies of the call. It says that the issuer
// has not run the latest one; an earlier one may start after it, for instance when the
// issuer has room again.
func (c *issuerCall) coverEarlierCopies(reply *execute.Reply) *execute.Reply {
	failure := reply.Answer.Problem
	if !c.mayHaveArrived || failure == nil || failure.Run != model.RunNo {
		return reply
	}
	unknown := *failure
	unknown.Run = model.RunUnknown
	covering := execute.ProblemReply(&unknown)
	covering.Answer.Report = reply.Answer.Report
	return covering
}

// nextStep returns whether the call may be sent again.
func (c *issuerCall) nextStep(err error) retry.Step {
	failure := retry.Failure{Run: model.RunUnknown, Kind: problem.OwnerUnreachable}
	if errors.Is(err, peer.ErrNotSent) {
		failure.Run = model.RunNo
	}
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	return c.attempts.Next(time.Now(), failure)
}

// recordAnswer refills the retry budget if a target answered.
func (c *issuerCall) recordAnswer(reply *execute.Reply) {
	if reply.Answer.Problem != nil {
		return
	}
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	_ = c.attempts.RecordAnswer(time.Now())
}
