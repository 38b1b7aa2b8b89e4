package entry

import (
	"context"
	"io"
	"time"

	"zinniafall/node/callbody"
	"zinniafall/node/execute"
	"zinniafall/node/peer"
	"zinniafall/node/trace"
	"zinniafall/policy/model"
	"zinniafall/policy/placement"
	"zinniafall/policy/problem"
	"zinniafall/policy/retry"
)

// maxResults is the capacity of the channel for the results of one call: the
// attempts in flight and those whose result has not been read.
const maxResults = 16

// call is the state of one call across its attempts.
type call struct {
	entry      *Entry
	request    *peer.Request
	body       *callbody.Body
	connection uint64 // the number of the caller's connection
	deadline   time.Time
	budget     *serviceBudget
	attempts   *retry.Attempts
	exclude    []model.NodeAddr // the owners that were already chosen
	results    chan attemptResult
	inFlight   int // attempts whose result has not been received
	cancels    []attemptCancel
	hedge      <-chan time.Time // fires when a hedged attempt is due; nil without one
}

// attemptCancel cancels one attempt.
type attemptCancel struct {
	node   model.NodeAddr
	cancel context.CancelFunc
}

// place runs a call without a request key, or one whose key was claimed at
// its issuer. It returns at the head of the answer; closing the body of the
// reply, if it is not nil, ends the context of the call.
func (e *Entry) place(ctx context.Context, request *peer.Request, b *callbody.Body, connection uint64) *execute.Reply {
	now := time.Now()
	request.Fingerprint = fingerprintOf(request)
	c := &call{
		entry: e, request: request, body: b, connection: connection,
		deadline: now.Add(request.Timeout),
		results:  make(chan attemptResult, maxResults),
	}
	e.mu.Lock()
	c.budget = e.budget(request.Service)
	c.attempts = c.budget.Begin(now, retry.Call{
		Idempotent: request.Idempotent, Deadline: c.deadline,
		Allowance: request.Allowance, NestingDepth: request.Depth,
	})
	c.scheduleHedge(now)
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

// run starts attempts until one returns an answer or no further attempt is
// allowed. The attempts run in their own goroutines; run handles their results.
func (c *call) run(ctx context.Context) *execute.Reply {
	if refusal := c.startAttempt(ctx); refusal != nil {
		return execute.ProblemReply(refusal)
	}
	for {
		select {
		case r := <-c.results:
			if reply := c.handleResult(ctx, r); reply != nil {
				c.cancelOthers(r.node)
				return reply
			}
		case <-c.hedge:
			c.hedge = nil
			c.startHedge(ctx)
		}
	}
}

// startAttempt chooses an owner and sends the call to it in a new goroutine,
// which passes the result to c.results. It returns a problem if no attempt was
// started, otherwise nil.
func (c *call) startAttempt(ctx context.Context) *problem.Error {
	if refusal := c.entry.checkQuarantine(c.request); refusal != nil {
		return refusal
	}
	now := time.Now()
	node, refusal := c.choose(ctx, now)
	if refusal != nil {
		return refusal
	}
	request := *c.request
	request.Timeout = time.Until(c.deadline)
	request.Allowance = c.attempts.Allowance()
	ctx, cancel := context.WithCancel(ctx)
	c.inFlight++
	c.cancels = append(c.cancels, attemptCancel{node: node, cancel: cancel})
	go func() {
		reply := c.entry.attempt(ctx, node, &request, c.body)
		c.results <- attemptResult{node: node, reply: reply, started: now, cancel: cancel}
	}()
	return nil
}

// choose selects an owner, records the attempt with placement and excludes
// the owner from further attempts.
func (c *call) choose(ctx context.Context, now time.Time) (model.NodeAddr, *problem.Error) {
	_, span := c.entry.opts.Tracer.Start(ctx, trace.HopChoice)
	defer span.End()
	e := c.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	node, refusal := c.selectOwner(now)
	if refusal != nil {
		span.Fail(string(refusal.Kind))
		return "", refusal
	}
	e.placer.RecordSent(now, c.request.Service, node)
	c.exclude = append(c.exclude, node)
	return node, nil
}

// selectOwner selects the owner by predicted time, or by rank if the request
// is isolated.
func (c *call) selectOwner(now time.Time) (model.NodeAddr, *problem.Error) {
	e := c.entry
	if c.request.Isolated {
		return e.suspectOwners[c.request.Service].owner(c.request.Fingerprint, c.exclude)
	}
	query := placement.Query{Service: c.request.Service, Connection: c.connection, Exclude: c.exclude}
	return e.placer.Choose(now, query)
}

// handleResult processes the result of an attempt. It returns the reply for
// the caller, or nil if another attempt is in flight. The first answer without
// a problem is the reply, whatever its status.
func (c *call) handleResult(ctx context.Context, r attemptResult) *execute.Reply {
	c.inFlight--
	now := time.Now()
	failure := r.reply.Answer.Problem
	c.recordResult(now, r, failure)
	if failure == nil {
		if r.reply.Body != nil {
			r.reply.Body = &cancelOnClose{ReadCloser: r.reply.Body, cancel: r.cancel, onClose: c.recordBodyEnd}
		}
		return r.reply
	}
	r.cancel()
	c.request.Isolated = c.request.Isolated || len(r.reply.Answer.Crash) > 0
	return c.retryOrFail(ctx, r, failure)
}

// recordResult records the result of an attempt with placement and the retry
// budget.
func (c *call) recordResult(now time.Time, r attemptResult, failure *problem.Error) {
	e := c.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	e.placer.RecordFinished(now, c.request.Service, r.node, placementOutcome(r))
	if failure == nil {
		_ = c.attempts.RecordAnswer(now)
		c.budget.recordAnswerTime(now.Sub(r.started))
	}
}

// retryOrFail starts another attempt after a failure if one is allowed.
// Otherwise it returns the final reply, or nil while an attempt is still in
// flight.
func (c *call) retryOrFail(ctx context.Context, r attemptResult, failure *problem.Error) *execute.Reply {
	for {
		step := c.nextStep(ctx, failure)
		switch step.Verdict {
		case retry.Pending:
			return nil
		case retry.GiveUp:
			return c.finalReply(r, step, failure)
		}
		refusal := c.startAttempt(ctx)
		if refusal == nil {
			return nil
		}
		failure = refusal
	}
}

// nextStep returns the next step after a failure. A call is not sent again if
// its body has been consumed or its caller has left.
func (c *call) nextStep(ctx context.Context, failure *problem.Error) retry.Step {
	f := retry.Failure{Run: failure.Run, Kind: failure.Kind, RetryAfter: failure.RetryAfter}
	if !c.body.Resendable() || ctx.Err() != nil {
		f.Kind = problem.Canceled
	}
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	return c.attempts.Next(time.Now(), f)
}

// finalReply returns the failure as the final reply. Its outcome covers all
// attempts of the call.
func (c *call) finalReply(r attemptResult, step retry.Step, failure *problem.Error) *execute.Reply {
	final := *failure
	final.Run = step.Run
	final.RetryAfter = step.RetryAfter
	if failure.Kind == problem.Quarantined {
		final.RetryAfter = failure.RetryAfter
	}
	reply := execute.ProblemReply(&final)
	reply.Answer.Report = r.reply.Answer.Report
	return reply
}

// scheduleHedge schedules a hedged attempt for an idempotent call that turns
// out to be slow.
func (c *call) scheduleHedge(now time.Time) {
	if c.body.Streamed() {
		return
	}
	wait, ok := c.attempts.HedgeAfter(now, c.budget.slowThreshold())
	if ok {
		c.hedge = time.After(wait)
	}
}

// startHedge starts a hedged attempt if an attempt is in flight and the retry
// budget allows another.
func (c *call) startHedge(ctx context.Context) {
	if c.inFlight == 0 {
		return
	}
	e := c.entry
	e.mu.Lock()
	granted := c.attempts.Hedge(time.Now())
	e.mu.Unlock()
	if !granted {
		return
	}
	if refusal := c.startAttempt(ctx); refusal != nil {
		c.nextStep(ctx, refusal)
	}
}

// cancelOthers cancels all attempts except the one whose answer is used, and
// records their results in a goroutine once they arrive.
func (c *call) cancelOthers(winner model.NodeAddr) {
	for _, a := range c.cancels {
		if a.node != winner {
			a.cancel()
		}
	}
	if c.inFlight == 0 {
		return
	}
	go func(left int) {
		for range left {
			r := <-c.results
			c.recordResult(time.Now(), attemptResult{node: r.node, reply: canceledReply(r.reply), started: r.started}, canceledProblem)
			r.reply.Close()
			r.cancel()
		}
	}(c.inFlight)
}

// canceledProblem is the recorded failure of an attempt that was slower than
// another.
var canceledProblem = problem.New(problem.Canceled, model.RunUnknown, "another attempt was faster")

// canceledReply returns the reply of a canceled attempt, with the load report
// of the original reply.
func canceledReply(reply *execute.Reply) *execute.Reply {
	other := execute.ProblemReply(canceledProblem)
	other.Answer.Report = reply.Answer.Report
	return other
}

// recordBodyEnd records whether the whole answer arrived.
func (c *call) recordBodyEnd(complete bool) {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	_ = c.attempts.RecordEnd(complete)
}

// cancelOnClose cancels the context of an attempt when its body is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
	// onClose, if not nil, is called once, on Close, with true if the body was
	// read to its end.
	onClose  func(complete bool)
	complete bool
}

// Read reads the body and records whether its end was reached.
func (b *cancelOnClose) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.complete = b.complete || err == io.EOF
	return n, err
}

// Close closes the body and cancels the context.
func (b *cancelOnClose) Close() error {
	err := b.ReadCloser.Close()
	if b.onClose != nil {
		b.onClose(b.complete)
		b.onClose = nil
	}
	b.cancel()
	return err
}
