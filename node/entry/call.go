package entry

import (
	"context"
	"io"
	"time"

	"zinniafall/node/execute"
	"zinniafall/node/peer"
	"zinniafall/node/trace"
	"zinniafall/policy/model"
	"zinniafall/policy/placement"
	"zinniafall/policy/problem"
	"zinniafall/policy/retry"
)

// maxResults bounds the attempts of one call that can be under way or unread.
const maxResults = 16

// call is one call on its way through its attempts.
type call struct {
	entry      *Entry
	request    *peer.Request
	body       *body
	connection uint64
	deadline   time.Time
	budget     *serviceBudget
	attempts   *retry.Attempts
	exclude    []model.NodeAddr
	results    chan result
	inFlight   int
	cancels    []attemptCancel
	hedge      <-chan time.Time
}

// attemptCancel ends one attempt.
type attemptCancel struct {
	node   model.NodeAddr
	cancel context.CancelFunc
}

// place runs an unkeyed call, or a keyed one that its issuer starts.
func (e *Entry) place(ctx context.Context, request *peer.Request, b *body, connection uint64) *execute.Reply {
	now := time.Now()
	request.Fingerprint = fingerprintOf(request)
	c := &call{
		entry: e, request: request, body: b, connection: connection,
		deadline: now.Add(request.Timeout),
		results:  make(chan result, maxResults),
	}
	e.mu.Lock()
	c.budget = e.budget(request.Service)
	c.attempts = c.budget.Begin(now, retry.Call{
		Idempotent: request.Idempotent, Deadline: c.deadline,
		Allowance: request.Allowance, NestingDepth: request.Depth,
	})
	c.armHedge(now)
	e.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, c.deadline.Add(answerGrace))
	reply := c.run(ctx)
	if reply.Body == nil {
		cancel()
		return reply
	}
	reply.Body = &canceledAtEnd{ReadCloser: reply.Body, cancel: cancel}
	return reply
}

// run starts attempts until one has an answer or no further one is due.
func (c *call) run(ctx context.Context) *execute.Reply {
	if refusal := c.start(ctx); refusal != nil {
		return execute.ProblemReply(refusal)
	}
	for {
		select {
		case r := <-c.results:
			if reply := c.ended(ctx, r); reply != nil {
				c.discardOthers(r.node)
				return reply
			}
		case <-c.hedge:
			c.hedge = nil
			c.startHedge(ctx)
		}
	}
}

// start chooses an owner and sends the call to it.
func (c *call) start(ctx context.Context) *problem.Error {
	if refusal := c.entry.judge(c.request); refusal != nil {
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
		c.results <- result{node: node, reply: reply, started: now, cancel: cancel}
	}()
	return nil
}

func (c *call) choose(ctx context.Context, now time.Time) (model.NodeAddr, *problem.Error) {
	_, span := c.entry.opts.Tracer.Start(ctx, trace.HopChoice)
	defer span.End()
	e := c.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	node, refusal := c.owner(now)
	if refusal != nil {
		span.Fail(string(refusal.Kind))
		return "", refusal
	}
	e.placer.RecordSent(now, c.request.Service, node)
	c.exclude = append(c.exclude, node)
	return node, nil
}

// owner picks by predicted time, or by rank for a suspected request.
func (c *call) owner(now time.Time) (model.NodeAddr, *problem.Error) {
	e := c.entry
	if c.request.Isolated {
		return e.owners[c.request.Service].owner(c.request.Fingerprint, c.exclude)
	}
	query := placement.Query{Service: c.request.Service, Connection: c.connection, Exclude: c.exclude}
	return e.placer.Choose(now, query)
}

// ended takes in the end of an attempt. It returns the reply for the caller,
// or nil when another attempt is under way.
func (c *call) ended(ctx context.Context, r result) *execute.Reply {
	c.inFlight--
	now := time.Now()
	failure := r.reply.Answer.Problem
	c.record(now, r, failure)
	if failure == nil {
		if r.reply.Body != nil {
			r.reply.Body = &canceledAtEnd{ReadCloser: r.reply.Body, cancel: r.cancel, ended: c.bodyEnded}
		}
		return r.reply
	}
	r.cancel()
	c.request.Isolated = c.request.Isolated || len(r.reply.Answer.Crash) > 0
	return c.next(ctx, r, failure)
}

// record tells placement and the budget how the attempt ended.
func (c *call) record(now time.Time, r result, failure *problem.Error) {
	e := c.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	e.placer.RecordFinished(now, c.request.Service, r.node, outcome(r))
	if failure == nil {
		_ = c.attempts.RecordAnswer(now)
		c.budget.observe(now.Sub(r.started))
	}
}

// next decides what follows a failed attempt.
func (c *call) next(ctx context.Context, r result, failure *problem.Error) *execute.Reply {
	for {
		step := c.step(ctx, failure)
		switch step.Verdict {
		case retry.Pending:
			return nil
		case retry.GiveUp:
			return c.giveUp(r, step, failure)
		}
		refusal := c.start(ctx)
		if refusal == nil {
			return nil
		}
		failure = refusal
	}
}

// step asks for the decision. A call whose body is spent, or whose caller
// left, is not sent again.
func (c *call) step(ctx context.Context, failure *problem.Error) retry.Step {
	f := retry.Failure{Run: failure.Run, Kind: failure.Kind, RetryAfter: failure.RetryAfter}
	if !c.body.repeatable() || ctx.Err() != nil {
		f.Kind = problem.Canceled
	}
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	return c.attempts.Next(time.Now(), f)
}

// giveUp is the final answer: it covers all attempts of the call.
func (c *call) giveUp(r result, step retry.Step, failure *problem.Error) *execute.Reply {
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

// armHedge sets the time of a second attempt for a slow idempotent call.
func (c *call) armHedge(now time.Time) {
	if c.body.rest != nil {
		return
	}
	wait, ok := c.attempts.HedgeAfter(now, c.budget.slow())
	if ok {
		c.hedge = time.After(wait)
	}
}

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
	if refusal := c.start(ctx); refusal != nil {
		c.step(ctx, refusal)
	}
}

// discardOthers ends the attempts that lost against the chosen answer.
func (c *call) discardOthers(winner model.NodeAddr) {
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
			c.record(time.Now(), result{node: r.node, reply: abandoned(r.reply), started: r.started}, canceledProblem)
			r.reply.Close()
			r.cancel()
		}
	}(c.inFlight)
}

// canceledProblem ends an attempt that lost against another.
var canceledProblem = problem.New(problem.Canceled, model.RunUnknown, "another attempt was faster")

func abandoned(reply *execute.Reply) *execute.Reply {
	other := execute.ProblemReply(canceledProblem)
	other.Answer.Report = reply.Answer.Report
	return other
}

// bodyEnded records whether the answer arrived whole.
func (c *call) bodyEnded(whole bool) {
	c.entry.mu.Lock()
	defer c.entry.mu.Unlock()
	_ = c.attempts.RecordEnd(whole)
}

// canceledAtEnd releases the attempt's context when the body is closed.
type canceledAtEnd struct {
	io.ReadCloser
	cancel context.CancelFunc
	// ended, which may be nil, is told whether the body was read to its end.
	ended func(whole bool)
	whole bool
}

// Read notes the end of the body.
func (b *canceledAtEnd) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.whole = b.whole || err == io.EOF
	return n, err
}

// Close closes the body.
func (b *canceledAtEnd) Close() error {
	err := b.ReadCloser.Close()
	if b.ended != nil {
		b.ended(b.whole)
		b.ended = nil
	}
	b.cancel()
	return err
}
