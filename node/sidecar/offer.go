package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"zinniafall/node/peer"
	"zinniafall/policy/model"
	"zinniafall/policy/placement"
	"zinniafall/policy/problem"
)

const (
	// callerTrip is the part of an objective that the way from and to the
	// caller takes, about.
	callerTrip = 20 * time.Millisecond
	// callerTripShare bounds it to a part of a short objective: such are of
	// calls that targets make through the node beside them.
	callerTripShare = 12
)

// stage is how a call looks for its target. The own failure domain comes
// first, since bytes between failure domains are dear: its targets are asked
// for a slot at once, then the call waits at the best of them for as long as it
// can still be answered within its objective elsewhere, then the others are
// asked, and in the end the call waits where it is likely to start first.
type stage uint8

// The stages in their order.
const (
	stageNear stage = iota
	stageHold
	stageFar
	stageLast
)

// choose picks the owner to ask next.
func (c *call) choose() (model.NodeAddr, *problem.Error) {
	e := c.node.entry
	report := c.node.owner.report()
	alternatives := c.node.fleet.targets(c.service) - 1
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.placer.RecordReport(now, c.node.self, report)
	if alternatives <= len(c.failed) {
		c.stage = stageLast
	}
	for {
		node, p := e.placer.Choose(now, c.query())
		if p == nil {
			e.placer.RecordSent(now, c.service, node)
			c.offers++
			return node, nil
		}
		if c.stage == stageLast {
			return "", c.noTarget(p)
		}
		c.stage++
	}
}

// query says which targets the present stage looks at.
func (c *call) query() placement.Query {
	q := placement.Query{Service: c.service, Exclude: c.failed}
	switch c.stage {
	case stageNear:
		q.OwnDomainOnly, q.Exclude = true, slices.Concat(c.failed, c.declined)
	case stageHold:
		q.OwnDomainOnly = true
	case stageFar:
		q.Exclude = slices.Concat(c.failed, c.declined)
	}
	return q
}

// noTarget says what the lack of a target means to the caller.
func (c *call) noTarget(p *problem.Error) *problem.Error {
	if p.Kind != problem.UnknownService {
		return p
	}
	// The service is configured: its targets are not known yet, gone, or out of
	// service.
	detail := "no target of " + string(c.service) + " is known"
	if c.node.fleet.targets(c.service) > 0 {
		detail = "all targets of " + string(c.service) + " are in failure domains out of service"
	}
	return problem.New(problem.NoTarget, model.RunNo, detail).After(retryUnready)
}

// send offers the call to an owner and returns its answer.
func (c *call) send(ctx context.Context, node model.NodeAddr) reply {
	request := c.request
	request.Timeout = time.Until(c.deadline)
	request.Elsewhere = c.stage != stageLast
	request.Hold = c.stage == stageHold
	request.Objective = request.Timeout
	if c.route.Objective > 0 {
		trip := min(callerTrip, c.route.Objective/callerTripShare)
		request.Objective = time.Until(c.received.Add(c.route.Objective - trip))
	}
	if node == c.node.self {
		return c.local(ctx, &request)
	}
	return c.remote(ctx, node, &request)
}

func (c *call) local(ctx context.Context, request *peer.Request) reply {
	request.Inline = c.rest == nil
	body := io.MultiReader(bytes.NewReader(request.Body), orEmpty(c.rest))
	return c.node.execute(ctx, job{request: request, body: body, admitted: func() error {
		c.restSpent = c.rest != nil
		return nil
	}})
}

func orEmpty(r io.Reader) io.Reader {
	if r == nil {
		return bytes.NewReader(nil)
	}
	return r
}

// remote sends the call to another node. The body of a call that may run once
// only follows when the owner has a slot for it: until then it can go
// elsewhere whatever becomes of the owner.
func (c *call) remote(ctx context.Context, node model.NodeAddr, request *peer.Request) reply {
	request.Inline = c.rest == nil && request.Idempotent && len(request.Body) <= inlineAnswer
	body := request.Body
	if !request.Inline {
		request.Body = nil
	}
	x, err := c.node.client.Open(ctx, node, request)
	if err != nil {
		return refused(lost(err, model.RunNo))
	}
	answer, err := x.Receive()
	if err == nil && answer.Admitted {
		c.restSpent = c.rest != nil
		if err = x.SendBody(io.MultiReader(bytes.NewReader(body), orEmpty(c.rest))); err == nil {
			answer, err = x.Receive()
		}
		if err != nil {
			x.Close()
			return refused(lost(err, model.RunUnknown))
		}
	}
	if err != nil {
		x.Close()
		run := model.RunNo
		if request.Inline {
			run = model.RunUnknown
		}
		return refused(lost(err, run))
	}
	if answer.Inline || answer.Problem != nil {
		x.Close()
		return reply{answer: answer}
	}
	return reply{answer: answer, body: &exchangeBody{x}}
}

// exchangeBody ends the exchange with its body.
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

func lost(err error, run model.Run) *problem.Error {
	if errors.Is(err, peer.ErrNotSent) {
		run = model.RunNo
	}
	return problem.New(problem.OwnerUnreachable, run, err.Error())
}

// finished tells placement and the log how an attempt ended.
func (c *call) finished(node model.NodeAddr, began time.Time, rep reply) {
	elapsed := time.Since(began)
	a := rep.answer
	outcome := placement.Outcome{Report: a.Report, Elapsed: elapsed, Result: placement.Answered}
	s := step{Node: node, Run: a.Run, Status: a.Status, Ms: elapsed.Seconds() * 1000}
	if p := a.Problem; p != nil {
		s.Problem = p.Kind
		outcome.Result = resultOf(p)
	} else if a.Status >= http.StatusInternalServerError {
		outcome.Result = placement.Failed
	}
	c.trail = append(c.trail, s)
	e := c.node.entry
	e.mu.Lock()
	now := time.Now()
	e.placer.RecordFinished(now, c.service, node, outcome)
	if a.Problem == nil {
		e.budget(c.service).RecordSuccess(now)
	}
	e.mu.Unlock()
	if a.Report != nil {
		c.node.fleet.alive(node)
		if a.Report.Revision > c.node.configuration.revision() {
			c.node.configuration.heard(a.Report.Revision, node)
		}
	}
}

func resultOf(p *problem.Error) placement.Result {
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
