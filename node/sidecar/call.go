package sidecar

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"zinniafall/node/callbody"
	"zinniafall/node/front"
	"zinniafall/node/peer"
	"zinniafall/policy/distribution"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/quarantine"
	"zinniafall/policy/routing"
)

const (
	// maxOffers bounds the owners that are asked for a slot before a call is
	// refused; each refusal costs one round trip.
	maxOffers = 8
	// maxOtherDomainOffers bounds the owners in other failure domains that are
	// asked for a slot without waiting.
	maxOtherDomainOffers = 3
	// maxReroutes bounds how often a call is routed again after a configuration
	// change.
	maxReroutes = 3
	// defaultDeadline applies when the caller states no deadline. The route may
	// set a shorter one.
	defaultDeadline = 30 * time.Second
	// maxRolloutOffers bounds the owners that are asked in addition to maxOffers because
	// a rollout closed others: half of a service's owners may close at once.
	maxRolloutOffers = 64
	// rolloutWait is how long a call waits that found all owners closed by a rollout, and
	// maxRolloutWaits how often: owners open and close in the same moment, and the call
	// may have met each on the wrong side of it.
	rolloutWait     = 60 * time.Millisecond
	maxRolloutWaits = 10
	// minAttemptTime is the remaining time below which no further attempt is
	// made.
	minAttemptTime = 5 * time.Millisecond
)

// call is a caller's request in progress at its entry.
type call struct {
	node     *Node
	id       string
	received time.Time
	route    *routing.Route
	table    *routing.Table
	service  model.Service
	account  model.Account // empty if the caller sent no key
	deadline time.Time     // the caller's, or the route's if that is earlier
	request  peer.Request
	body     *callbody.Body

	stage        stage
	failed       []model.NodeAddr // owners that cannot serve the call
	declined     []model.NodeAddr // owners that had no slot
	closed       []model.NodeAddr // owners that took no new calls, of which some are in failed
	rolloutWaits int
	// configurationWaits is how long the call has waited for configurations here, and
	// overdue is set if this node may no longer use the one that it has.
	configurationWaits time.Duration
	overdue            bool
	otherDomainOffers  int
	// fallback is a target's error response, returned if no retry succeeds.
	fallback       *front.Response
	offers         int
	targetAttempts int // attempts that reached, or may have reached, a target
	mayHaveRun     bool
	reachedTarget  bool // an attempt reached a target, which may have rejected it
	attemptRecords []attemptRecord
}

// attemptRecord describes one attempt in the log.
type attemptRecord struct {
	Node    model.NodeAddr `json:"node"`
	Run     model.Run      `json:"run"`
	Problem problem.Kind   `json:"problem,omitempty"`
	Status  int            `json:"status,omitempty"`
	Ms      float64        `json:"ms"`
}

// handleCallerRequest serves one request of a caller.
func (n *Node) handleCallerRequest(ctx context.Context, r *front.Request) *front.Response {
	c := &call{node: n, received: r.Received, id: r.Header.Get(n.dialect.RequestID), body: callbody.New(r.Body, r.Rest)}
	response, p := c.forward(ctx, r)
	if p != nil {
		response = n.refusalResponse(ctx, p, c)
	}
	n.logCall(ctx, c, r, response, p)
	return response
}

// forward returns the target's answer, or a problem. A kept fallback response
// takes the place of a problem. For a streamed answer, the context is canceled
// when the stream is closed. The end of a stop ends the call.
func (c *call) forward(ctx context.Context, r *front.Request) (*front.Response, *problem.Error) {
	ctx, cancelCall := context.WithCancel(ctx)
	detach := context.AfterFunc(c.node.callsCtx, cancelCall)
	cancel := func() {
		detach()
		cancelCall()
	}
	response, p := c.forwardUntil(ctx, r)
	if p != nil && c.fallback != nil {
		response, p = c.fallback, nil
	}
	if p == nil && response.Stream != nil {
		response.Stream = &cancelOnClose{ReadCloser: response.Stream, cancel: cancel}
		return response, nil
	}
	cancel()
	if p != nil && p.Kind == problem.Canceled && c.node.callsCtx.Err() != nil {
		p = problem.New(problem.Draining, p.Run, "the node stopped before the call had an answer")
	}
	return response, p
}

// forwardUntil is forward for a context that ends with the call.
func (c *call) forwardUntil(ctx context.Context, r *front.Request) (*front.Response, *problem.Error) {
	c.deadline = c.received.Add(callerTimeout(r, c.node.dialect.Deadline))
	if p := c.awaitRoute(ctx, r); p != nil {
		return nil, p
	}
	if p := c.node.quotas.take(ctx, c.account); p != nil {
		return nil, p
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	response, p := c.sendUntilFinal(ctx, r)
	if p != nil || response.Stream == nil {
		cancel()
		return response, p
	}
	response.Stream = &cancelOnClose{ReadCloser: response.Stream, cancel: cancel}
	return response, nil
}

// configurationWait returns how long the call may still wait for a configuration: all its
// waits at this node together are bounded by distribution.CallWait.
func (c *call) configurationWait() time.Duration {
	return max(distribution.CallWait(time.Until(c.deadline))-c.configurationWaits, 0)
}

// awaitRoute resolves the route. While it is unknown and other nodes have a newer
// configuration, it waits for the next one, as long as configurationWait allows.
func (c *call) awaitRoute(ctx context.Context, r *front.Request) *problem.Error {
	ctx, cancel := context.WithTimeout(ctx, c.configurationWait())
	defer cancel()
	began := time.Now()
	defer func() { c.configurationWaits += time.Since(began) }()
	for {
		changed := c.node.configuration.nextChange()
		p := c.resolve(r)
		if p == nil || p.Kind != problem.ConfigurationLag || c.overdue {
			return p
		}
		if _, behind := c.node.configuration.behind(time.Now()); !behind {
			return p
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return p
		}
	}
}

// resolve finds the route and prepares the request to the owners. reroute calls
// it again, which can only make the deadline earlier.
func (c *call) resolve(r *front.Request) *problem.Error {
	n := c.node
	if c.id == "" {
		return problem.New(problem.BadRequest, model.RunNo, "the request has no "+n.dialect.RequestID+" field")
	}
	table := n.configuration.current()
	if table == nil {
		return problem.New(problem.ConfigurationLag, model.RunNo, "the node has no configuration yet").After(n.configuration.retryAfter(c.received))
	}
	if p := n.configuration.checkOverdue(time.Now()); p != nil {
		c.overdue = true
		return p
	}
	c.table = table
	route := table.Match(r.Host, r.Path())
	if route == nil {
		if retryAfter, behind := n.configuration.behind(time.Now()); behind {
			return problem.New(problem.ConfigurationLag, model.RunNo, "no route matches the host and path, but other nodes have a newer configuration").After(retryAfter)
		}
		return problem.New(problem.UnknownService, model.RunNo, "no route matches the host and path")
	}
	c.route = route
	if p := route.Refusal(); p != nil {
		return p
	}
	if p := c.authenticate(r); p != nil {
		return p
	}
	if p := n.proofs.check(c.account); p != nil {
		return p
	}
	if c.account != "" && n.proofs.replaced(table.Revision) {
		return c.resolve(r) // the proof may be for the configuration that withdrew the key
	}
	c.service = route.PickService(rand.Float64())
	if route.Timeout > 0 && c.received.Add(route.Timeout).Before(c.deadline) {
		c.deadline = c.received.Add(route.Timeout)
	}
	c.request = peer.Request{
		Kind: peer.KindCall, Revision: table.Revision, Service: c.service, Account: c.account, Bulk: route.Bulk, From: n.self, ID: c.id,
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: c.forwardedFields(r),
		Idempotent: route.Idempotent, Class: route.Name, Priority: c.priority(), Origin: n.live.Load().Service,
		Length: r.Length, Body: r.Body,
		Fingerprint: quarantine.FingerprintOf("", c.service, r.Method, r.RequestURI, r.Body),
	}
	if r.Rest == nil {
		c.request.Length = int64(len(r.Body))
	}
	if end := n.stopEnd.Load(); end != nil && c.deadline.After(*end) {
		return problem.New(problem.Draining, model.RunNo, "the node stops before the call's time is over")
	}
	return n.crashes.check(c.request.Fingerprint)
}

// callerTimeout returns how long the caller waits for an answer.
func callerTimeout(r *front.Request, field string) time.Duration {
	if ms, ok := milliseconds(r.Header.Get(field)); ok {
		return ms
	}
	return defaultDeadline
}

// forwardedFields returns the header fields that are forwarded to the target. It
// omits the fields that the executing node sets itself, and those that concern
// only the caller's connection: the ones that Connection names, and the fixed ones
// that peer.FieldsOf omits.
func (c *call) forwardedFields(r *front.Request) []peer.Field {
	names := c.node.dialect
	header := r.Header.Clone()
	for _, name := range []string{names.RequestID, names.Deadline, names.ExpectTarget, names.Origin} {
		header.Del(name)
	}
	if c.table.HasAccounts() {
		header.Del(authorizationField)
		header.Del(names.Account)
	}
	for _, field := range r.Header["Connection"] {
		for _, name := range splitNames(field) {
			header.Del(name)
		}
	}
	return peer.FieldsOf(header)
}

// sendUntilFinal sends the call to owners until it has an answer or cannot be
// retried.
func (c *call) sendUntilFinal(ctx context.Context, r *front.Request) (*front.Response, *problem.Error) {
	reroutes := 0
	for {
		node, p := c.chooseOwner()
		if p != nil && c.awaitRollout(ctx) {
			continue
		}
		if p != nil {
			return nil, c.finalProblem(p)
		}
		began := time.Now()
		rep := c.send(ctx, node)
		c.recordAttempt(node, began, rep)
		p = rep.answer.Problem
		if p == nil {
			if retry := c.retryAfterFailure(rep); !retry {
				return c.response(rep), nil
			}
			c.keepFallback(rep)
			continue
		}
		if c.fallback != nil && !c.worthRetrying(p, rep.answer.Reached) {
			return nil, c.finalProblem(p)
		}
		if ctx.Err() != nil {
			return nil, c.contextProblem(ctx, p)
		}
		c.recordFailure(p, rep.answer.Reached)
		if !c.body.Resendable() {
			if p.Run == model.RunNo {
				bodiesLost.Inc()
			}
			return nil, c.finalProblem(p)
		}
		if p.Kind == problem.ConfigurationLag && p.Run == model.RunNo && reroutes < maxReroutes {
			reroutes++
			if q := c.reroute(ctx, node, rep, r); q != nil {
				return nil, c.finalProblem(q)
			}
			continue
		}
		if final := c.handleProblem(p, rep.answer.Reached); final != nil {
			return nil, c.finalProblem(final)
		}
	}
}

// keepFallback keeps a target's error response in case no other target accepts
// the call. A streamed response is closed instead.
func (c *call) keepFallback(rep reply) {
	if rep.body != nil {
		_ = rep.body.Close()
		return
	}
	c.fallback = c.response(rep)
}

// worthRetrying reports whether a call that has a fallback response is retried
// after a problem: only while other owners can be asked without waiting.
func (c *call) worthRetrying(p *problem.Error, reached bool) bool {
	return p.Run == model.RunNo && !reached && c.stage < stageAnyWait
}

// retryAfterFailure decides whether a target's error response is retried at
// another target. Only a status of 500 or above of an idempotent call is.
func (c *call) retryAfterFailure(rep reply) bool {
	c.targetAttempts++
	if rep.answer.Status < http.StatusInternalServerError || !c.route.Idempotent {
		return false
	}
	c.mayHaveRun = true
	return c.reserveRetry()
}

// reserveRetry reports whether the call may be sent to another target, and
// takes the retry from the budget. If so, it excludes the last owner and returns
// from stageAnyWait to stageOtherDomains.
func (c *call) reserveRetry() bool {
	if c.targetAttempts >= c.route.MaxAttempts || !c.body.Resendable() || time.Until(c.deadline) < minAttemptTime {
		return false
	}
	e := c.node.entry
	e.mu.Lock()
	take := e.budget(c.service).TakeAccountRetry
	if c.mayHaveRun {
		take = e.budget(c.service).TakeAccountRerun
	}
	allowed, _ := take(time.Now(), c.account)
	e.mu.Unlock()
	if !allowed {
		return false
	}
	c.failed = append(c.failed, c.lastNode())
	c.failed = append(c.failed, c.node.rollouts.sameVersion(c.service, c.lastNode())...)
	c.stage = min(c.stage, stageOtherDomains)
	retries.Inc()
	return true
}

func (c *call) lastNode() model.NodeAddr { return c.attemptRecords[len(c.attemptRecords)-1].Node }

// recordFailure records an attempt without an answer. reached reports whether the request
// was sent to the target, even if it did not run there.
func (c *call) recordFailure(p *problem.Error, reached bool) {
	if reached || p.Run != model.RunNo {
		c.targetAttempts++
	}
	c.mayHaveRun = c.mayHaveRun || p.Run != model.RunNo
}

// handleProblem decides how to continue after an attempt without an answer. It
// returns the problem to fail with, or nil to ask another owner.
func (c *call) handleProblem(p *problem.Error, reached bool) *problem.Error {
	switch {
	case p.Run != model.RunNo && !c.route.Idempotent, p.Kind == problem.Quarantined:
		return p
	case p.Run != model.RunNo || reached:
		if !c.reserveRetry() {
			return p
		}
		return nil
	case c.offers >= maxOffers+min(len(c.closed), maxRolloutOffers):
		return p
	case p.Kind == problem.Overloaded || p.Kind == problem.AccountShare || p.Kind == problem.DeadlineExceeded:
		return c.handleDecline(p)
	}
	c.failed = append(c.failed, c.lastNode())
	if p.Kind == problem.Draining && c.node.rollouts.enabled {
		c.closed = append(c.closed, c.lastNode())
	}
	return nil
}

// awaitRollout waits before owners that were closed are asked again. It returns false if
// none was, no rollout runs, or the call has waited for long enough.
func (c *call) awaitRollout(ctx context.Context) bool {
	if len(c.closed) == 0 || c.rolloutWaits >= maxRolloutWaits || !c.node.rollouts.runs(c.service) || time.Until(c.deadline) < 2*rolloutWait {
		return false
	}
	c.rolloutWaits++
	sleep(ctx, rolloutWait)
	c.failed = slices.DeleteFunc(c.failed, func(node model.NodeAddr) bool { return slices.Contains(c.closed, node) })
	c.closed, c.offers, c.stage = nil, 0, stageOwnDomain
	return ctx.Err() == nil
}

// handleDecline records an owner that had no slot for the call and moves to the
// next stage where needed. It returns the problem if no stage is left.
func (c *call) handleDecline(p *problem.Error) *problem.Error {
	c.declined = append(c.declined, c.lastNode())
	switch c.stage {
	case stageOwnDomainWait:
		c.stage = stageOtherDomains
	case stageOtherDomains:
		if c.otherDomainOffers++; c.otherDomainOffers >= maxOtherDomainOffers {
			c.stage = stageAnyWait
		}
	case stageAnyWait:
		return p
	}
	if c.route.Bulk && c.offers >= maxOffers-1 {
		// A bulk call has time to wait. With several owners in its failure domain the
		// offers would be used up by owners that it may not wait at.
		c.stage = stageAnyWait
	}
	return nil
}

// reroute waits for the owner's newer configuration and routes the call again.
// If the owner's configuration is not newer or does not arrive in time, the
// owner is excluded. It returns nil if the call may be sent again.
func (c *call) reroute(ctx context.Context, node model.NodeAddr, rep reply, r *front.Request) *problem.Error {
	if report := rep.answer.Report; report != nil && report.Revision > c.request.Revision {
		c.node.configuration.recordReported(report.Revision, node)
		began := time.Now()
		inForce := c.node.configuration.awaitRevision(ctx, report.Revision, c.configurationWait())
		c.configurationWaits += time.Since(began)
		if !inForce {
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
		c.failed, c.declined, c.stage = nil, nil, stageOwnDomain
	}
	return nil
}

// finalProblem returns the problem that the caller gets. If any attempt may
// have run the call, its outcome is unknown.
func (c *call) finalProblem(p *problem.Error) *problem.Error {
	if c.mayHaveRun && p.Run == model.RunNo {
		final := *p
		final.Run = model.RunUnknown
		return &final
	}
	return p
}

// contextProblem returns the problem of a call whose deadline passed or whose
// caller left.
func (c *call) contextProblem(ctx context.Context, p *problem.Error) *problem.Error {
	if p.Run != model.RunNo {
		c.targetAttempts++
	}
	return c.finalProblem(problem.Ended(ctx.Err(), p.Run, "an owner had the call"))
}

// response converts the target's answer to a response for the caller.
func (c *call) response(rep reply) *front.Response {
	header := make(http.Header, len(rep.answer.Header))
	peer.AddFields(header, rep.answer.Header)
	return &front.Response{
		Status: rep.answer.Status, Header: header, Body: rep.answer.Body, Stream: rep.body, Length: rep.answer.Length,
	}
}
