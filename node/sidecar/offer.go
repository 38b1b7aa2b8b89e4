package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"zinniafall/node/hop"
	"zinniafall/node/peer"
	"zinniafall/policy/model"
	"zinniafall/policy/placement"
	"zinniafall/policy/problem"
)

const (
	// callerRoundTrip is the approximate part of an objective that the round
	// trip between the caller and the entry takes.
	callerRoundTrip = 20 * time.Millisecond
	// callerRoundTripDivisor limits callerRoundTrip to a part of a short
	// objective: such objectives belong to calls that targets make through the
	// node beside them.
	callerRoundTripDivisor = 12
)

// stage is a step in the search for a target. The entry's own failure domain
// comes first, since traffic between failure domains is expensive: its targets
// are asked for a slot without waiting, then the call waits at the best of them
// for as long as it can still meet its objective in another domain, then
// targets of other domains are asked, and finally the call waits where it is
// likely to start first.
type stage uint8

// The stages, in order.
const (
	stageOwnDomain stage = iota
	stageOwnDomainWait
	stageOtherDomains
	stageAnyWait
)

// chooseOwner returns the owner to ask next. It advances the stage until
// placement finds one, and returns a problem if the last stage has none.
func (c *call) chooseOwner() (model.NodeAddr, *problem.Error) {
	e := c.node.entry
	report := c.node.owner.report()
	otherOwners := c.node.fleet.targetCount(c.service) - 1
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.placer.RecordReport(now, c.node.self, report)
	if c.stage < stageOtherDomains && e.shareRefusals.Spread(now, c.service, c.account, c.route.Bulk) {
		c.stage, c.otherDomainOffers = stageOtherDomains, maxOtherDomainOffers-placement.SpreadOffers
	}
	if otherOwners <= len(c.failed) {
		c.stage = stageAnyWait
	}
	for {
		node, p := e.placer.Choose(now, c.placementQuery())
		if p == nil {
			e.placer.RecordSent(now, c.service, node)
			c.offers++
			return node, nil
		}
		if c.stage == stageAnyWait {
			// What this node knows of a rollout may be out of date; the owners decide.
			query := c.placementQuery()
			query.Closed = true
			if c.node.rollouts.enabled {
				node, p = e.placer.Choose(now, query)
			}
			if p == nil {
				e.placer.RecordSent(now, c.service, node)
				c.offers++
				return node, nil
			}
			return "", c.noTargetProblem(p)
		}
		c.stage++
	}
}

// placementQuery returns which targets the current stage considers.
func (c *call) placementQuery() placement.Query {
	q := placement.Query{Service: c.service, Exclude: c.failed, NoWait: c.stage != stageAnyWait}
	switch c.stage {
	case stageOwnDomain:
		q.OwnDomainOnly, q.Exclude = true, slices.Concat(c.failed, c.declined)
	case stageOwnDomainWait:
		q.OwnDomainOnly = true
	case stageOtherDomains:
		q.Exclude = slices.Concat(c.failed, c.declined)
	}
	return q
}

// noTargetProblem returns the problem for the caller when placement finds no
// target.
func (c *call) noTargetProblem(p *problem.Error) *problem.Error {
	if p.Kind != problem.UnknownService {
		return p
	}
	// The service is configured: its targets are not known yet, gone, or out of
	// service.
	detail := "no target of " + string(c.service) + " is known"
	if c.node.fleet.targetCount(c.service) > 0 {
		detail = "all targets of " + string(c.service) + " are in failure domains out of service"
	}
	return problem.New(problem.NoTarget, model.RunNo, detail).After(minUnreadyRetryAfter)
}

// send offers the call to an owner and returns its answer.
func (c *call) send(ctx context.Context, node model.NodeAddr) reply {
	request := c.request
	request.Timeout = time.Until(c.deadline)
	request.Elsewhere = c.stage != stageAnyWait
	request.Hold = c.stage == stageOwnDomainWait
	request.Objective = request.Timeout
	if c.route.Objective > 0 {
		roundTrip := min(callerRoundTrip, c.route.Objective/callerRoundTripDivisor)
		request.Objective = time.Until(c.received.Add(c.route.Objective - roundTrip))
	}
	if node == c.node.self {
		return c.sendLocal(ctx, &request)
	}
	return c.sendRemote(ctx, node, &request)
}

// sendLocal runs the call at this node's own target.
func (c *call) sendLocal(ctx context.Context, request *peer.Request) reply {
	request.Inline = !c.body.Streamed()
	body, err := c.body.Open()
	if err != nil {
		return refusedReply(problem.New(problem.Internal, model.RunNo, err.Error()))
	}
	return c.node.execute(ctx, job{request: request, body: body, requestBody: func() error { return nil }})
}

// sendRemote sends the call to another node. The body of a non-idempotent call
// follows only when the owner has a slot for it: until then the call can go to
// another owner whatever happens to this one. If the exchange fails after the
// body may have been sent, it is unknown whether the call ran.
func (c *call) sendRemote(ctx context.Context, node model.NodeAddr, request *peer.Request) reply {
	request.Inline = !c.body.Streamed() && request.Idempotent && len(request.Body) <= maxInlineAnswer
	if !request.Inline {
		request.Body = nil
	}
	exchange, err := c.node.client.Open(ctx, node, request)
	if err != nil {
		return refusedReply(ownerUnreachable(err, model.RunNo))
	}
	answer, err := exchange.Receive()
	if err == nil && answer.Admitted {
		answer, err = c.sendBody(exchange)
		if err != nil {
			exchange.Close()
			return refusedReply(ownerUnreachable(err, model.RunUnknown))
		}
	}
	if err != nil {
		exchange.Close()
		run := model.RunNo
		if request.Inline {
			run = model.RunUnknown
		}
		return refusedReply(ownerUnreachable(err, run))
	}
	if err := answer.CheckResponse(); err != nil {
		exchange.Close()
		return refusedReply(problem.New(problem.TargetFailed, model.RunUnknown, err.Error()))
	}
	if answer.Inline || answer.Problem != nil {
		exchange.Close()
		return reply{answer: answer}
	}
	return reply{answer: answer, body: &exchangeBody{exchange}}
}

// sendBody sends the body to an owner that has asked for it, and returns its answer. A refusal
// does not wait for the rest of a body that its caller is still sending.
func (c *call) sendBody(exchange *hop.Exchange) (*peer.Answer, error) {
	body, err := c.body.Open()
	if err != nil {
		return nil, err
	}
	if !c.body.Streamed() {
		if err := exchange.SendBody(body); err != nil {
			return nil, err
		}
		return exchange.Receive()
	}
	sent := make(chan error, 1)
	go func() {
		err := exchange.SendBody(body)
		if err != nil {
			exchange.Cancel()
		}
		sent <- err
	}()
	answer, err := exchange.Receive()
	if err == nil && answer.Problem == nil {
		err = <-sent
	}
	return answer, err
}

// exchangeBody closes the exchange when the body is closed.
type exchangeBody struct {
	exchange interface {
		io.Reader
		Close()
	}
}

func (b *exchangeBody) Read(p []byte) (int, error) { return b.exchange.Read(p) }

func (b *exchangeBody) Close() error {
	b.exchange.Close()
	return nil
}

// ownerUnreachable returns the problem of a call whose connection to the owner
// failed.
func ownerUnreachable(err error, run model.Run) *problem.Error {
	if errors.Is(err, peer.ErrNotSent) {
		run = model.RunNo
	}
	return problem.New(problem.OwnerUnreachable, run, err.Error())
}

// recordAttempt records the result of an attempt in placement, the retry budget
// and the log.
func (c *call) recordAttempt(node model.NodeAddr, began time.Time, rep reply) {
	elapsed := time.Since(began)
	a := rep.answer
	outcome := placement.Outcome{Report: a.Report, Elapsed: elapsed, Result: placement.Answered}
	s := attemptRecord{Node: node, Run: a.Run, Status: a.Status, Ms: elapsed.Seconds() * 1000}
	if p := a.Problem; p != nil {
		s.Problem = p.Kind
		outcome.Result = placementResult(p)
	} else if a.Status >= http.StatusInternalServerError {
		outcome.Result = placement.Failed
	}
	c.attemptRecords = append(c.attemptRecords, s)
	e := c.node.entry
	e.mu.Lock()
	now := time.Now()
	e.placer.RecordFinished(now, c.service, node, outcome)
	if a.Problem != nil && a.Problem.Kind == problem.AccountShare {
		e.shareRefusals.Record(now, c.service, c.account)
	}
	if reached := a.Problem == nil || a.Reached || a.Run != model.RunNo; reached && !c.reachedTarget {
		c.reachedTarget = true
		e.budget(c.service).RecordAccountCall(now, c.account)
	}
	e.mu.Unlock()
	if a.Report != nil {
		c.node.fleet.recordAlive(node)
		if a.Report.Revision > c.node.configuration.revision() {
			c.node.configuration.recordReported(a.Report.Revision, node)
		}
	}
}

// placementResult converts a problem to a result for placement.
func placementResult(p *problem.Error) placement.Result {
	switch {
	case p.Kind == problem.OwnerUnreachable:
		return placement.Unreachable
	case p.Kind == problem.Canceled:
		return placement.Abandoned
	case p.Kind == problem.DeadlineExceeded && p.Run != model.RunNo:
		return placement.Failed
	case p.Run == model.RunNo:
		return placement.Refused
	}
	return placement.Failed
}
