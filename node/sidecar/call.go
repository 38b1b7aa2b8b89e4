package sidecar

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"zinniafall/node/front"
	"zinniafall/node/peer"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/quarantine"
	"zinniafall/policy/routing"
)

const (
	// maxOffers bounds the owners that are asked for one call before it is
	// refused; an owner that refuses costs one round trip.
	maxOffers = 8
	// maxFarOffers is the number of owners in other failure domains that are
	// asked for a slot at once.
	maxFarOffers = 3
	// maxCatchUps bounds the times that a call is routed anew.
	maxCatchUps = 3
	// defaultDeadline is used when neither the caller nor the route bounds the
	// wait.
	defaultDeadline = 30 * time.Second
	// leastLeft is the time that must be left for another attempt.
	leastLeft = 5 * time.Millisecond
)

// call is one request on its way.
type call struct {
	node      *Node
	id        string
	received  time.Time
	route     *routing.Route
	table     *routing.Table
	service   model.Service
	deadline  time.Time // the caller's, or the route's if that is earlier
	request   peer.Request
	rest      io.Reader
	restSpent bool

	stage    stage
	failed   []model.NodeAddr // owners that cannot serve the call
	declined []model.NodeAddr // owners that had no slot
	farAsked int
	// kept is a target's failure that is passed on if no repeat succeeds.
	kept   *front.Response
	offers int
	sends  int // attempts that a target was given
	mayRun bool
	trail  []step
}

// step is one attempt, for the log.
type step struct {
	Node    model.NodeAddr `json:"node"`
	Run     model.Run      `json:"run"`
	Problem problem.Kind   `json:"problem,omitempty"`
	Status  int            `json:"status,omitempty"`
	Ms      float64        `json:"ms"`
}

// handle carries one request of a caller.
func (n *Node) handle(ctx context.Context, r *front.Request) *front.Response {
	c := &call{node: n, received: r.Received, id: r.Header.Get(n.dialect.RequestID)}
	response, p := c.carry(ctx, r)
	if p != nil {
		response = n.refusal(ctx, p, c)
	}
	n.logCall(ctx, c, r, response, p)
	return response
}

// carry returns the target's answer, or a problem.
func (c *call) carry(ctx context.Context, r *front.Request) (*front.Response, *problem.Error) {
	if p := c.resolve(r); p != nil {
		return nil, p
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	response, p := c.attempts(ctx, r)
	if p != nil && c.kept != nil {
		response, p = c.kept, nil
	}
	if p != nil || response.Stream == nil {
		cancel()
		return response, p
	}
	response.Stream = &canceledAtClose{ReadCloser: response.Stream, cancel: cancel}
	return response, nil
}

// resolve finds the route and fills in the request to owners.
func (c *call) resolve(r *front.Request) *problem.Error {
	n := c.node
	if c.id == "" {
		return problem.New(problem.BadRequest, model.RunNo, "the request has no "+n.dialect.RequestID+" field")
	}
	table := n.configuration.current()
	if table == nil {
		return problem.New(problem.ConfigurationLag, model.RunNo, "the node has no configuration yet").After(n.configuration.retryAfter(c.received))
	}
	route := table.Match(r.Host, r.Path())
	if route == nil {
		return problem.New(problem.UnknownService, model.RunNo, "no route matches the host and path")
	}
	c.table, c.route = table, route
	c.service = route.PickService(rand.Float64())
	if c.deadline.IsZero() {
		c.deadline = c.received.Add(deadlineOf(r, n.dialect.Deadline))
	}
	if route.Timeout > 0 && c.received.Add(route.Timeout).Before(c.deadline) {
		c.deadline = c.received.Add(route.Timeout)
	}
	c.request = peer.Request{
		Kind: peer.KindCall, Revision: table.Revision, Service: c.service, From: n.self, ID: c.id,
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: c.fields(r),
		Idempotent: route.Idempotent, Class: route.Name, Priority: route.Priority, Origin: n.live.Load().Service,
		Length: r.Length, Body: r.Body,
		Fingerprint: quarantine.FingerprintOf("", c.service, r.Method, r.RequestURI, r.Body),
	}
	if r.Rest == nil {
		c.request.Length = int64(len(r.Body))
	}
	c.rest = r.Rest
	if end := n.stopEnd.Load(); end != nil && c.deadline.After(*end) {
		return problem.New(problem.Draining, model.RunNo, "the node stops before the call's time is over")
	}
	return n.quarantine.check(c.request.Fingerprint)
}

// deadlineOf returns how long the caller waits.
func deadlineOf(r *front.Request, field string) time.Duration {
	if ms, ok := milliseconds(r.Header.Get(field)); ok {
		return ms
	}
	return defaultDeadline
}

// fields lists the header fields that go on to the target.
func (c *call) fields(r *front.Request) []peer.Field {
	d := c.node.dialect
	header := r.Header.Clone()
	for _, name := range []string{d.RequestID, d.Deadline, d.ExpectTarget, d.Origin} {
		header.Del(name)
	}
	for _, field := range r.Header["Connection"] {
		for _, name := range splitList(field) {
			header.Del(name)
		}
	}
	return peer.FieldsOf(header)
}

// attempts sends the call until it has an answer or is given up.
func (c *call) attempts(ctx context.Context, r *front.Request) (*front.Response, *problem.Error) {
	catchUps := 0
	for {
		node, p := c.choose()
		if p != nil {
			return nil, c.giveUp(p)
		}
		began := time.Now()
		rep := c.send(ctx, node)
		c.finished(node, began, rep)
		p = rep.answer.Problem
		if p == nil {
			if again := c.repeatFailure(rep); !again {
				return c.response(rep), nil
			}
			c.keep(rep)
			continue
		}
		if c.kept != nil && !c.worthRepeating(p, rep.answer.Reached) {
			return nil, c.giveUp(p)
		}
		if ctx.Err() != nil {
			return nil, c.ended(ctx, p)
		}
		if p.Kind == problem.ConfigurationLag && p.Run == model.RunNo && catchUps < maxCatchUps {
			catchUps++
			if q := c.reroute(ctx, node, rep, r); q != nil {
				return nil, c.giveUp(q)
			}
			continue
		}
		if final := c.next(p, rep.answer.Reached); final != nil {
			return nil, c.giveUp(final)
		}
	}
}

// keep holds on to the failure that a target answered with, for the case that
// no other target takes the call.
func (c *call) keep(rep reply) {
	if rep.body != nil {
		_ = rep.body.Close()
		return
	}
	c.kept = c.response(rep)
}

// worthRepeating reports whether the repeat of a call that has an answer goes
// on after a problem: only while other owners can be asked at once.
func (c *call) worthRepeating(p *problem.Error, reached bool) bool {
	return p.Run == model.RunNo && !reached && c.stage < stageLast
}

// repeatFailure decides whether a failure that the target answered with is
// tried at another target.
func (c *call) repeatFailure(rep reply) bool {
	c.sends++
	if rep.answer.Status < http.StatusInternalServerError || !c.route.Idempotent {
		return false
	}
	c.mayRun = true
	return c.mayRepeat()
}

// mayRepeat reports whether the call may be given to another target, and pays
// for it.
func (c *call) mayRepeat() bool {
	if c.sends >= c.route.MaxAttempts || c.restSpent || time.Until(c.deadline) < leastLeft {
		return false
	}
	e := c.node.entry
	e.mu.Lock()
	paid, _ := e.budget(c.service).TakeRetry(time.Now())
	e.mu.Unlock()
	if !paid {
		return false
	}
	c.failed = append(c.failed, c.lastNode())
	c.stage = min(c.stage, stageFar)
	repeats.Inc()
	return true
}

func (c *call) lastNode() model.NodeAddr { return c.trail[len(c.trail)-1].Node }

// next decides after an attempt without an answer. It returns the problem to
// give up with, or nil to try another owner.
func (c *call) next(p *problem.Error, reached bool) *problem.Error {
	if reached || p.Run != model.RunNo {
		c.sends++
	}
	c.mayRun = c.mayRun || p.Run != model.RunNo
	switch {
	case p.Run != model.RunNo && !c.route.Idempotent, p.Kind == problem.Quarantined:
		return p
	case p.Run != model.RunNo || reached:
		if !c.mayRepeat() {
			return p
		}
		return nil
	case c.offers >= maxOffers || c.restSpent:
		return p
	case p.Kind == problem.Overloaded || p.Kind == problem.DeadlineExceeded:
		return c.wasDeclined(p)
	}
	c.failed = append(c.failed, c.lastNode())
	return nil
}

// wasDeclined goes on after an owner had no slot for the call.
func (c *call) wasDeclined(p *problem.Error) *problem.Error {
	c.declined = append(c.declined, c.lastNode())
	switch c.stage {
	case stageHold:
		c.stage = stageFar
	case stageFar:
		if c.farAsked++; c.farAsked >= maxFarOffers {
			c.stage = stageLast
		}
	case stageLast:
		return p
	}
	return nil
}

// reroute catches up with the owner's configuration and finds the route anew.
func (c *call) reroute(ctx context.Context, node model.NodeAddr, rep reply, r *front.Request) *problem.Error {
	if report := rep.answer.Report; report != nil && report.Revision > c.request.Revision {
		c.node.configuration.heard(report.Revision, node)
		if !c.node.configuration.await(ctx, report.Revision) {
			c.failed = append(c.failed, node)
			return nil
		}
	} else {
		c.failed = append(c.failed, node)
		return nil
	}
	service := c.service
	if p := c.resolve(r); p != nil {
		return p
	}
	if c.service != service {
		c.failed, c.declined, c.stage = nil, nil, stageNear
	}
	return nil
}

// giveUp returns the final problem. What any attempt may have done binds.
func (c *call) giveUp(p *problem.Error) *problem.Error {
	if c.mayRun && p.Run == model.RunNo {
		final := *p
		final.Run = model.RunUnknown
		return &final
	}
	return p
}

// ended is the problem of a call whose time is over or whose caller left.
func (c *call) ended(ctx context.Context, p *problem.Error) *problem.Error {
	if p.Run != model.RunNo {
		c.sends++
	}
	kind := problem.DeadlineExceeded
	if errors.Is(ctx.Err(), context.Canceled) {
		kind = problem.Canceled
	}
	final := problem.New(kind, p.Run, "the time for the call was over")
	return c.giveUp(final)
}

// response makes the caller's response of the target's answer.
func (c *call) response(rep reply) *front.Response {
	header := make(http.Header, len(rep.answer.Header))
	peer.AddFields(header, rep.answer.Header)
	return &front.Response{
		Status: rep.answer.Status, Header: header, Body: rep.answer.Body, Stream: rep.body, Length: rep.answer.Length,
	}
}
