package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"zinniafall/node/hop"
	"zinniafall/node/peer"
	"zinniafall/node/upstream"
	"zinniafall/policy/dispatch"
	"zinniafall/policy/distribution"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/proof"
)

const (
	// maxInlineAnswer is the size in bytes up to which an answer is sent in one
	// message.
	maxInlineAnswer = upstream.MaxSmallBody
	// answerBuffers is the memory for longer answers that a node holds for
	// callers who read them slowly, in bytes.
	answerBuffers = 8 << 20
)

// reply is the answer to a call, with the stream of a long body.
type reply struct {
	answer *peer.Answer
	body   io.ReadCloser
	// targetDone reports whether the target has sent the whole body.
	targetDone bool
}

// refusedReply returns a reply without an answer of a target.
func refusedReply(p *problem.Error) reply {
	return reply{answer: &peer.Answer{Run: p.Run, Problem: p}}
}

// job is a call that an entry placed on this node.
type job struct {
	request *peer.Request
	// body is the part of the body that was not sent with the request.
	body io.Reader
	// requestBody tells the entry that the call is admitted, so that it sends
	// the body.
	requestBody func() error
}

// execute runs a call at the target beside this node.
func (n *Node) execute(ctx context.Context, j job) reply {
	started := time.Now()
	deadline := started.Add(j.request.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	r, waited := n.admitAndRun(ctx, j, deadline)
	report := n.owner.report()
	r.answer.Report = &report
	if r.body == nil {
		cancel()
	} else {
		r.body = &cancelOnClose{ReadCloser: r.body, cancel: cancel}
	}
	n.logOwnerCall(j.request, r.answer, waited, time.Since(started), report)
	return r
}

// cancelOnClose cancels a call's context when its body is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (c *cancelOnClose) Close() error {
	c.cancel()
	return c.ReadCloser.Close()
}

// admitAndRun waits for a slot and runs the call. It also returns how long the
// call waited.
func (n *Node) admitAndRun(ctx context.Context, j job, deadline time.Time) (reply, time.Duration) {
	if p := n.agreeOnRevision(ctx, j.request); p != nil {
		return refusedReply(p), 0
	}
	if p := n.proofs.check(j.request.Account); p != nil {
		return refusedReply(p), 0
	}
	id, service, _ := n.target.identity()
	if id == "" || service != j.request.Service {
		return refusedReply(problem.New(problem.NoTarget, model.RunNo, "no target of "+string(j.request.Service)+" is beside this node")), 0
	}
	if p := n.crashes.check(j.request.Fingerprint); p != nil {
		return refusedReply(p), 0
	}
	a := &attempt{node: n, job: j, deadline: deadline, arrival: n.proofs.arrival()}
	requestedAt := time.Now()
	n.target.refreshPace(ctx)
	call := dispatch.Call{
		Class: j.request.Class, Priority: j.request.Priority, Deadline: deadline, Objective: requestedAt.Add(j.request.Objective), Elsewhere: j.request.Elsewhere, Hold: j.request.Hold,
		Account: j.request.Account, Bulk: j.request.Bulk, AwaitsBody: n.reserveBody(j.request),
	}
	if call.AwaitsBody {
		defer n.bodies.Release(j.request.Length)
	}
	ticket, p := n.owner.admit(ctx, call)
	a.ticket = ticket
	if p == nil && call.AwaitsBody {
		p = a.receiveBody(ctx)
	}
	waited := time.Since(requestedAt)
	admissionWait.Update(waited.Seconds())
	if p != nil {
		return refusedReply(p), waited
	}
	ended := false
	defer func() {
		if !ended { // a panic: the slot must not stay taken
			n.owner.finish(ticket, false)
		}
	}()
	r := a.run(ctx)
	ended = true
	return r, waited
}

// agreeOnRevision ensures that this node and the entry decide by the same configuration, and
// that it may still be used. If the entry's is newer, it waits for it as long as
// distribution.CallWait allows.
func (n *Node) agreeOnRevision(ctx context.Context, r *peer.Request) *problem.Error {
	if r.Revision > n.configuration.revision() {
		n.configuration.recordReported(r.Revision, r.From)
	}
	if p := n.configuration.checkOverdue(time.Now()); p != nil {
		return p
	}
	if r.Revision > n.configuration.revision() && !n.configuration.awaitRevision(ctx, r.Revision, distribution.CallWait(r.Timeout)) {
		return problem.New(problem.ConfigurationLag, model.RunNo, "the owner lacks the entry's configuration")
	}
	if r.Revision < n.configuration.revision() {
		return problem.New(problem.ConfigurationLag, model.RunNo, "the entry lacks the owner's configuration")
	}
	return nil
}

// attempt is a call that holds a slot, or the place of one whose body is received first.
type attempt struct {
	node     *Node
	job      job
	ticket   dispatch.Ticket
	deadline time.Time
	targetID string
	pool     *upstream.Pool
	begun    begunCall
	arrival  arrival
	// bodyTaken is set once the body has been asked for: the entry may be unable to send it
	// again.
	bodyTaken bool
}

// run sends the call to the target. It releases the slot before it returns or, if
// the target is still sending the body, when that is closed: a download to a slow
// caller costs its target a slot for as long as it lasts.
func (a *attempt) run(ctx context.Context) reply {
	n := a.node
	body, p := a.prepare(ctx)
	if p != nil {
		n.owner.finish(a.ticket, false)
		return refusedReply(p)
	}
	started := time.Now()
	result := a.pool.Do(ctx, a.request(body))
	took := time.Since(started)
	targetTime.Update(took.Seconds())
	a.recordStatement(result.Response, started)
	r, answered := a.classify(ctx, result)
	a.recordEvidence(ctx, result, &r, took)
	if answered {
		n.crashes.recordSuccess(a.job.request.Fingerprint)
	}
	if r.body != nil && !r.targetDone {
		r.body = &slotReleaser{ReadCloser: r.body, finish: func() { n.owner.finish(a.ticket, false) }}
		return r
	}
	n.owner.finish(a.ticket, answered)
	return r
}

// prepare gets the body and repeats the checks whose results may have changed while the call
// waited. It returns the part of the body that has not arrived, if any. The checks also come
// before the body is asked for, so that a call that they refuse can go to another owner.
func (a *attempt) prepare(ctx context.Context) (io.Reader, *problem.Error) {
	if a.job.request.Inline {
		return nil, a.begin(ctx)
	}
	if p := a.recheck(); p != nil {
		return nil, p
	}
	if err := a.requestBody(); err != nil {
		return nil, entryLeft()
	}
	head, rest, err := readHead(a.job.body)
	if err != nil {
		return nil, entryLeft()
	}
	if length := a.job.request.Length; rest == nil && length >= 0 && int64(len(head)) != length {
		return nil, problem.New(problem.BadRequest, model.RunNo, fmt.Sprintf("the body has %d bytes, and its call states %d", len(head), length))
	}
	a.job.request.Body = head
	return rest, a.begin(ctx)
}

// requestBody asks the entry for the body.
func (a *attempt) requestBody() error {
	a.bodyTaken = true
	return a.job.requestBody()
}

// entryLeft returns the problem of a call whose body did not arrive whole.
func entryLeft() *problem.Error {
	return problem.New(problem.Canceled, model.RunNo, "the entry left before the call was sent")
}

// begin repeats the checks and counts the start. A call whose body the entry may be unable to
// send again waits for a proof as long as proof.BodyWait allows.
func (a *attempt) begin(ctx context.Context) *problem.Error {
	end := time.Now().Add(proof.BodyWait(time.Until(a.deadline)))
	for {
		p := a.recheck()
		if p == nil {
			a.begun, p = a.node.owner.beginCall(a.ticket, a.job.request.Class)
			return p
		}
		if p.Kind != problem.NotFresh || !a.bodyTaken || ctx.Err() != nil || !time.Now().Before(end) {
			return p
		}
		sleep(ctx, proofPollInterval)
	}
}

// recordEvidence records the result for the rollout of the target's version. A call that the
// target did not run, or whose caller left, says nothing about the version. The time until
// the deadline is the least that a call without an answer would have taken.
func (a *attempt) recordEvidence(ctx context.Context, result upstream.Result, r *reply, took time.Duration) {
	o := a.node.owner
	response := result.Response
	switch {
	case response == nil && errors.Is(ctx.Err(), context.DeadlineExceeded) && result.Sent:
		o.recordAbandoned()
		o.endCall(a.begun, took, 1, false)
	case response == nil && ctx.Err() != nil:
		o.recordAbandoned()
	case response == nil && result.Sent:
		o.endCall(a.begun, took, 1, true)
	case response == nil:
	case r.answer.Run != model.RunYes:
	default:
		load, _ := parseLoad(response.Header.Get(a.node.dialect.Load))
		failed := response.Status >= http.StatusInternalServerError
		if r.body == nil || r.targetDone {
			o.endCall(a.begun, took, load.Pace, failed)
			return
		}
		r.body = &evidenceBody{ReadCloser: r.body, ended: func(broken bool) { o.endCall(a.begun, took, load.Pace, failed || broken && ctx.Err() == nil) }}
	}
}

// evidenceBody reports at its end whether a long answer broke off.
type evidenceBody struct {
	io.ReadCloser
	broken bool
	once   sync.Once
	ended  func(broken bool)
}

func (b *evidenceBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.broken = b.broken || err != nil && err != io.EOF
	return n, err
}

func (b *evidenceBody) Close() error {
	b.once.Do(func() { b.ended(b.broken) })
	return b.ReadCloser.Close()
}

// readHead reads the part of a body that is sent in one piece. It returns the
// unread rest, if any.
func readHead(body io.Reader) ([]byte, io.Reader, error) {
	head, err := io.ReadAll(io.LimitReader(body, maxInlineAnswer))
	if err != nil {
		return nil, nil, err
	}
	if len(head) < maxInlineAnswer {
		return head, nil, nil
	}
	return head, body, nil
}

// recheck repeats the checks whose results may have changed since the call was
// admitted. It also sets the target and pool of the attempt.
func (a *attempt) recheck() *problem.Error {
	id, service, pool := a.node.target.identity()
	a.targetID, a.pool = id, pool
	switch {
	case service != a.job.request.Service:
		return problem.New(problem.NoTarget, model.RunNo, "the target was replaced by one of another service")
	case a.node.owner.gateClosed(dispatch.GateDraining | dispatch.GateDomainOut | dispatch.GateAbsent | dispatch.GateDown | dispatch.GateUnheard):
		return problem.New(problem.Draining, model.RunNo, "the target stopped taking calls")
	case !time.Now().Before(a.deadline):
		return problem.New(problem.DeadlineExceeded, model.RunNo, "the deadline passed before the call started")
	}
	if p := a.node.proofs.check(a.job.request.Account); p != nil {
		return p
	}
	return a.node.proofs.checkReplaced(a.job.request, a.arrival)
}

// request returns the request to the target.
func (a *attempt) request(rest io.Reader) *upstream.Request {
	r := a.job.request
	names := a.node.dialect
	header := make(http.Header, len(r.Header)+4)
	peer.AddFields(header, r.Header)
	header[names.RequestID] = []string{r.ID}
	remaining := max(time.Until(a.deadline).Milliseconds(), 1)
	header[names.Deadline] = []string{strconv.FormatInt(remaining, 10)}
	header[names.ExpectTarget] = []string{a.targetID}
	header[names.Origin] = []string{string(r.Origin)}
	if a.node.configuration.hasAccounts() {
		// An entry of an earlier release forwards what the caller sent.
		header.Del(authorizationField)
		header.Del(names.Account)
	}
	if r.Account != "" {
		header[names.Account] = []string{string(r.Account)}
	}
	return &upstream.Request{
		Method: r.Method, URI: r.URI, Host: r.Host, Header: header,
		Body: r.Body, RemainingBody: rest, Length: r.Length, ID: r.ID, Retryable: r.Idempotent,
	}
}

// recordStatement applies what the answer to a request sent at a time states about
// the target.
func (a *attempt) recordStatement(response *upstream.Response, sentAt time.Time) {
	if response == nil || !a.node.target.isCurrent(a.pool) {
		return
	}
	if response.Status == http.StatusMisdirectedRequest {
		// Another process answers: it can add a limit, but not lift one.
		sentAt = time.Time{}
	}
	a.node.target.recordStatement(a.pool, response.Header, sentAt)
	if response.Status == http.StatusMisdirectedRequest {
		return
	}
	if a.node.target.statesLeaving(response.Header) {
		a.node.target.recordLeaving(a.pool, a.targetID)
	}
	a.node.target.openHeard(a.pool, true)
}

// classify converts the target's result to a reply. The second result reports
// whether the target answered with a success: only then is the elapsed time a valid
// sample of the service time.
func (a *attempt) classify(ctx context.Context, result upstream.Result) (reply, bool) {
	if result.Response == nil {
		return a.classifyFailure(ctx, result), false
	}
	a.node.target.recordAnswer(a.pool)
	response := result.Response
	a.node.target.recordLoad(a.pool, response.Header)
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		a.node.target.probeNow()
		return a.notRunReply(problem.NoTarget, "another target has the address"), false
	case response.Header.Get(a.node.dialect.NotRun) != "":
		return a.notRunReply(problem.Overloaded, "the target did not run the call, with status "+strconv.Itoa(response.Status)), false
	}
	answer := &peer.Answer{
		Run: model.RunYes, Status: response.Status, Header: peer.FieldsOf(response.Header), Length: response.Length, Reached: true,
	}
	succeeded := response.Status < http.StatusInternalServerError
	if response.Stream != nil {
		return reply{answer: answer, body: response.Stream, targetDone: response.Complete}, succeeded
	}
	answer.Inline, answer.Body = true, response.Body
	return reply{answer: answer}, succeeded
}

// notRunReply returns the reply for a call that the target received but did not
// run.
func (a *attempt) notRunReply(kind problem.Kind, detail string) reply {
	r := refusedReply(problem.New(kind, model.RunNo, detail))
	r.answer.Reached = true
	return r
}

// classifyFailure converts a failed attempt to a reply, by whether the target
// can have received the call.
func (a *attempt) classifyFailure(ctx context.Context, result upstream.Result) reply {
	n := a.node
	n.target.reportRefused(a.job.request.ID, result.Err)
	switch {
	case !result.Sent && ctx.Err() == nil:
		if result.Refused {
			n.target.markDown(a.targetID, result.Err)
		}
		n.target.probeNow()
		return refusedReply(problem.New(problem.TargetFailed, model.RunNo, "the target took no connection: "+result.Err.Error()))
	case !result.Sent:
		return refusedReply(problem.Ended(ctx.Err(), model.RunNo, "a connection to the target was opened"))
	}
	p := problem.New(problem.TargetFailed, model.RunUnknown, "the target did not answer: "+result.Err.Error())
	if ctx.Err() != nil {
		p = problem.Ended(ctx.Err(), model.RunUnknown, "the target ran the call")
	} else {
		n.target.probeNow()
		n.crashes.recordLostConnection(a.job.request.Fingerprint)
	}
	r := refusedReply(p)
	r.answer.Reached = true
	return r
}

// slotReleaser releases the slot when a long answer is closed.
type slotReleaser struct {
	io.ReadCloser
	finish func()
}

func (s *slotReleaser) Close() error {
	s.finish()
	return s.ReadCloser.Close()
}

// ServeRequest answers a request of another node. A panic ends its connection only:
// the same message would end each process that it is sent to.
func (n *Node) ServeRequest(ctx context.Context, _ string, stream *hop.Stream) {
	defer func() {
		if value := recover(); value != nil {
			n.logPanic(value, debug.Stack())
			stream.Fail()
		}
	}()
	request := &stream.Request
	if request.From != "" {
		n.fleet.recordAlive(request.From)
	}
	switch request.Kind {
	case peer.KindExchange:
		n.fleet.serve(stream, request.Body)
	case peer.KindConfiguration:
		n.configuration.serve(stream, request)
	case peer.KindProof:
		n.proofs.serve(stream)
	case peer.KindQuota:
		n.quotas.serve(ctx, stream, request.Body)
	case peer.KindCall:
		n.servePeerCall(ctx, stream)
	case peer.KindRollout:
		n.rollouts.serve(stream, request)
	default:
		rejectKind(stream)
	}
}

// rejectKind answers a request that this node does not serve.
func rejectKind(stream streamWriter) {
	_ = stream.Answer(&peer.Answer{Run: model.RunNo, Problem: problem.New(problem.BadRequest, model.RunNo, "the kind of request is not known")})
}

// servePeerCall runs a call of another node and sends the answer back.
func (n *Node) servePeerCall(ctx context.Context, stream *hop.Stream) {
	// A stop waits until the answer is sent, not only until the slot is
	// released.
	n.calls.Add(1)
	defer n.calls.Add(-1)
	r := n.execute(ctx, job{
		request: &stream.Request, body: stream,
		requestBody: func() error { return stream.Answer(&peer.Answer{Admitted: true}) },
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
