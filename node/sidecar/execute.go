package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"zinniafall/node/hop"
	"zinniafall/node/peer"
	"zinniafall/node/upstream"
	"zinniafall/policy/dispatch"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// inlineAnswer is the length in bytes up to which an answer travels in one
// message.
const inlineAnswer = 128 << 10

// reply is an answer on its way back, and the long body that follows it.
type reply struct {
	answer *peer.Answer
	body   io.ReadCloser
}

func refused(p *problem.Error) reply {
	return reply{answer: &peer.Answer{Run: p.Run, Problem: p}}
}

// job is a call that an entry placed here.
type job struct {
	request *peer.Request
	// body is what did not travel with the request.
	body io.Reader
	// admitted asks the entry for the body.
	admitted func() error
}

// execute runs a call at the target beside this node.
func (n *Node) execute(ctx context.Context, j job) reply {
	started := time.Now()
	deadline := started.Add(j.request.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	r, waited := n.runOwned(ctx, j, deadline)
	report := n.owner.report()
	r.answer.Report = &report
	if r.body == nil {
		cancel()
	} else {
		r.body = &canceledAtClose{ReadCloser: r.body, cancel: cancel}
	}
	n.logOwned(j.request, r.answer, waited, time.Since(started), report)
	return r
}

// canceledAtClose ends a call's context with its body.
type canceledAtClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (c *canceledAtClose) Close() error {
	c.cancel()
	return c.ReadCloser.Close()
}

func (n *Node) runOwned(ctx context.Context, j job, deadline time.Time) (reply, time.Duration) {
	if p := n.agree(ctx, j.request); p != nil {
		return refused(p), 0
	}
	id, service, _ := n.target.identity()
	if id == "" || service != j.request.Service {
		return refused(problem.New(problem.NoTarget, model.RunNo, "no target of "+string(j.request.Service)+" is beside this node")), 0
	}
	if p := n.quarantine.check(j.request.Fingerprint); p != nil {
		return refused(p), 0
	}
	asked := time.Now()
	n.target.freshen(ctx)
	ticket, p := n.owner.admit(ctx, dispatch.Call{
		Class: j.request.Class, Priority: j.request.Priority, Deadline: deadline, Objective: asked.Add(j.request.Objective), Elsewhere: j.request.Elsewhere, Hold: j.request.Hold,
	})
	waited := time.Since(asked)
	admissionWait.Update(waited.Seconds())
	if p != nil {
		return refused(p), waited
	}
	a := &attempt{node: n, job: j, ticket: ticket, deadline: deadline}
	return a.run(ctx), waited
}

// agree makes this node and the entry decide by the same configuration.
func (n *Node) agree(ctx context.Context, r *peer.Request) *problem.Error {
	own := n.configuration.revision()
	if r.Revision > own {
		n.configuration.heard(r.Revision, r.From)
		if !n.configuration.await(ctx, r.Revision) {
			return problem.New(problem.ConfigurationLag, model.RunNo, "the owner lacks the entry's configuration")
		}
	}
	if r.Revision < own {
		return problem.New(problem.ConfigurationLag, model.RunNo, "the entry lacks the owner's configuration")
	}
	return nil
}

// attempt is a call that holds a slot.
type attempt struct {
	node     *Node
	job      job
	ticket   dispatch.Ticket
	deadline time.Time
	id       string
	pool     *upstream.Pool
}

// run gives the call to the target.
func (a *attempt) run(ctx context.Context) reply {
	n := a.node
	var body io.Reader
	if !a.job.request.Inline {
		if err := a.job.admitted(); err != nil {
			n.owner.finish(a.ticket, false)
			return refused(problem.New(problem.Canceled, model.RunNo, "the entry left before the call was sent"))
		}
		head, rest, err := firstPart(a.job.body)
		if err != nil {
			n.owner.finish(a.ticket, false)
			return refused(problem.New(problem.Canceled, model.RunNo, "the entry left before the call was sent"))
		}
		a.job.request.Body, body = head, rest
	}
	if p := a.mayStart(); p != nil {
		n.owner.finish(a.ticket, false)
		return refused(p)
	}
	started := time.Now()
	result := a.pool.Do(ctx, a.request(body))
	targetTime.Update(time.Since(started).Seconds())
	r, answered := a.sort(ctx, result)
	if answered {
		n.quarantine.completed(a.job.request.Fingerprint)
	}
	if r.body != nil {
		r.body = &slotHolder{ReadCloser: r.body, finish: func() { n.owner.finish(a.ticket, false) }}
		return r
	}
	n.owner.finish(a.ticket, answered)
	return r
}

// firstPart reads a body as far as it is sent in one piece.
func firstPart(body io.Reader) ([]byte, io.Reader, error) {
	head, err := io.ReadAll(io.LimitReader(body, inlineAnswer))
	if err != nil {
		return nil, nil, err
	}
	if len(head) < inlineAnswer {
		return head, nil, nil
	}
	return head, body, nil
}

// mayStart looks again at what may have changed while the call waited for its
// slot and body.
func (a *attempt) mayStart() *problem.Error {
	id, service, pool := a.node.target.identity()
	a.id, a.pool = id, pool
	switch {
	case service != a.job.request.Service:
		return problem.New(problem.NoTarget, model.RunNo, "the target was replaced by one of another service")
	case a.node.owner.closed(dispatch.GateDraining | dispatch.GateDomainOut | dispatch.GateAbsent | dispatch.GateDown):
		return problem.New(problem.Draining, model.RunNo, "the target stopped taking calls")
	case !time.Now().Before(a.deadline):
		return problem.New(problem.DeadlineExceeded, model.RunNo, "the deadline passed before the call started")
	}
	return nil
}

func (a *attempt) request(rest io.Reader) *upstream.Request {
	r := a.job.request
	d := a.node.dialect
	header := make(http.Header, len(r.Header)+4)
	peer.AddFields(header, r.Header)
	header[d.RequestID] = []string{r.ID}
	left := max(time.Until(a.deadline).Milliseconds(), 1)
	header[d.Deadline] = []string{strconv.FormatInt(left, 10)}
	header[d.ExpectTarget] = []string{a.id}
	header[d.Origin] = []string{string(r.Origin)}
	return &upstream.Request{
		Method: r.Method, URI: r.URI, Host: r.Host, Header: header,
		Body: r.Body, Rest: rest, Length: r.Length, ID: r.ID, Repeatable: r.Idempotent,
	}
}

// sort tells what became of the call at the target. The second result says
// whether the time that it took tells how long work takes.
func (a *attempt) sort(ctx context.Context, result upstream.Result) (reply, bool) {
	if result.Response == nil {
		return a.failed(ctx, result), false
	}
	a.node.target.alive()
	response := result.Response
	a.node.target.loadOf(response.Header)
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		a.node.target.look()
		return a.notRun(problem.NoTarget, "another target has the address"), false
	case response.Header.Get(a.node.dialect.NotRun) != "":
		return a.notRun(problem.Overloaded, "the target did not run the call, with status "+strconv.Itoa(response.Status)), false
	}
	answer := &peer.Answer{
		Run: model.RunYes, Status: response.Status, Header: peer.FieldsOf(response.Header), Length: response.Length, Reached: true,
	}
	if response.Stream != nil {
		return reply{answer: answer, body: response.Stream}, true
	}
	if len(response.Body) > inlineAnswer {
		answer.Length = int64(len(response.Body))
		return reply{answer: answer, body: io.NopCloser(bytes.NewReader(response.Body))}, true
	}
	answer.Inline, answer.Body = true, response.Body
	return reply{answer: answer}, response.Status < http.StatusInternalServerError
}

func (a *attempt) notRun(kind problem.Kind, detail string) reply {
	r := refused(problem.New(kind, model.RunNo, detail))
	r.answer.Reached = true
	return r
}

// failed sorts a failure by whether the target can have seen the call.
func (a *attempt) failed(ctx context.Context, result upstream.Result) reply {
	n := a.node
	switch {
	case !result.Sent && ctx.Err() == nil:
		if result.Refused {
			n.target.down(a.id, result.Err)
		}
		n.target.look()
		return refused(problem.New(problem.TargetFailed, model.RunNo, "the target took no connection: "+result.Err.Error()))
	case !result.Sent:
		return refused(problem.New(problem.Canceled, model.RunNo, "the call ended before a connection to the target was open"))
	}
	r := refused(problem.New(problem.TargetFailed, model.RunUnknown, "the target did not answer: "+result.Err.Error()))
	r.answer.Reached = true
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.answer.Problem.Kind = problem.DeadlineExceeded
	case ctx.Err() != nil:
		r.answer.Problem.Kind = problem.Canceled
	default:
		n.target.look()
		n.quarantine.lost(a.job.request.Fingerprint)
	}
	return r
}

// slotHolder gives the slot back with the end of a long answer.
type slotHolder struct {
	io.ReadCloser
	finish func()
}

func (s *slotHolder) Close() error {
	s.finish()
	return s.ReadCloser.Close()
}

// ServeRequest answers what another node asks.
func (n *Node) ServeRequest(ctx context.Context, _ string, stream *hop.Stream) {
	request := &stream.Request
	if request.From != "" {
		n.fleet.alive(request.From)
	}
	switch request.Kind {
	case peer.KindExchange:
		n.fleet.serve(stream, request.Body)
	case peer.KindConfiguration:
		n.configuration.serve(stream)
	case peer.KindCall:
		n.serveCall(ctx, stream)
	default:
		_ = stream.Answer(&peer.Answer{Run: model.RunNo, Problem: problem.New(problem.BadRequest, model.RunNo, "the kind of request is not known")})
	}
}

func (n *Node) serveCall(ctx context.Context, stream *hop.Stream) {
	// A stop waits until the answer is on its way, not only for the slot.
	n.calls.Add(1)
	defer n.calls.Add(-1)
	r := n.execute(ctx, job{
		request: &stream.Request, body: stream,
		admitted: func() error { return stream.Answer(&peer.Answer{Admitted: true}) },
	})
	if r.body != nil {
		defer func() { _ = r.body.Close() }()
	}
	if err := stream.Answer(r.answer); err != nil {
		stream.Fail()
		return
	}
	if r.body != nil && stream.SendBody(r.body) != nil {
		stream.Fail()
	}
}
