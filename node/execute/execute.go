// Package execute runs at its owner a call that an entry placed there: it
// catches up with a newer configuration, waits for admission, gives the
// request to the target once and passes the answer on. It knows for each
// failure whether the target can have seen the request.
package execute

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"zinniafall/node/owner"
	"zinniafall/node/peer"
	"zinniafall/node/target"
	"zinniafall/node/trace"
	"zinniafall/policy/admission"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/quarantine"
)

// bufferedAnswer is the length in bytes up to which an answer is read whole
// before its header is passed on. The target's slot is free again then, and an
// answer that is cut off becomes a proper failure.
const bufferedAnswer = 64 << 10

// cancelTime is the time in which a target notices that a call was canceled.
const cancelTime = 5 * time.Millisecond

// The fields that tell a target about its call.
const (
	// HeaderTimeout carries what remains of the deadline, in milliseconds.
	HeaderTimeout = "Zinniafall-Timeout-Ms"
	// HeaderCall carries the call token for nested calls.
	HeaderCall = "Zinniafall-Call"
)

// Reply is an answer under way to the caller.
type Reply struct {
	Answer *peer.Answer
	// Body is nil when the answer is a problem. Reading it to io.EOF means
	// that the answer is whole.
	Body io.ReadCloser
}

// Refuse returns a reply without a body.
func Refuse(p *problem.Error) *Reply {
	return &Reply{Answer: &peer.Answer{Run: p.Run, Problem: p}}
}

// Close releases what the reply holds.
func (r *Reply) Close() {
	if r.Body != nil {
		_ = r.Body.Close()
	}
}

// Node is what an Executor needs to know of its node.
type Node interface {
	// CatchUp waits until the node applies at least the revision.
	CatchUp(ctx context.Context, revision model.Revision, from model.NodeAddr) *problem.Error
	// MayStart is asked right before the request leaves for the target.
	MayStart() *problem.Error
	// Target returns the runner for the target and the service it belongs to.
	Target() (*target.Runner, model.Service)
	// CallToken returns the token that lets the target make nested calls.
	CallToken(request *peer.Request) string
}

// Suspects knows the requests that crash targets.
type Suspects interface {
	// Check returns how a request may run now.
	Check(quarantine.Fingerprint) quarantine.Status
	// Refusal is the answer to a quarantined request.
	Refusal(quarantine.Fingerprint) *problem.Error
	// Heard takes in an encoded notice.
	Heard(notice []byte)
}

// Options configure an Executor.
type Options struct {
	Owner    *owner.Owner
	Node     Node
	Tracer   *trace.Tracer
	Crashes  *Crashes
	Suspects Suspects
}

// Executor runs calls at the target beside this node.
type Executor struct{ opts Options }

// New returns an executor.
func New(opts Options) *Executor { return &Executor{opts: opts} }

// Job is one call to run.
type Job struct {
	From    model.NodeAddr
	Request *peer.Request
	// Body follows an inline part; it may be nil.
	Body io.Reader
	// Admitted is called before a body that is not inline is read.
	Admitted func() error
}

// Execute runs the call. Every failure is a reply with a problem.
func (x *Executor) Execute(ctx context.Context, job Job) *Reply {
	reply := x.execute(x.opts.Tracer.Under(ctx, job.Request.Trace), job)
	report := x.opts.Owner.Report()
	reply.Answer.Report = &report
	return reply
}

func (x *Executor) execute(ctx context.Context, job Job) *Reply {
	deadline := time.Now().Add(job.Request.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	if refusal := x.opts.Node.CatchUp(ctx, job.Request.Revision, job.From); refusal != nil {
		cancel()
		return Refuse(refusal)
	}
	runner, service := x.opts.Node.Target()
	if runner == nil || service != job.Request.Service {
		cancel()
		return Refuse(problem.New(problem.NoTarget, model.RunNo, "no target of "+string(job.Request.Service)+" is beside this node"))
	}
	if refusal := x.judge(job.Request); refusal != nil {
		cancel()
		return Refuse(refusal)
	}
	running, refusal := x.admit(ctx, job, deadline)
	if refusal != nil {
		cancel()
		return Refuse(refusal)
	}
	a := &attempt{executor: x, job: job, running: running, cancel: cancel, deadline: deadline}
	return a.run(ctx, runner)
}

// judge takes in what the entry knows of the request and asks this node's own
// list, which may know more.
func (x *Executor) judge(request *peer.Request) *problem.Error {
	for _, notice := range request.Notices {
		x.opts.Suspects.Heard(notice)
	}
	switch x.opts.Suspects.Check(request.Fingerprint) {
	case quarantine.Quarantined:
		return x.opts.Suspects.Refusal(request.Fingerprint)
	case quarantine.Suspect:
		request.Isolated = true
	}
	return nil
}

// judgeAgain refuses a call that became suspected while it waited for its slot.
func (x *Executor) judgeAgain(request *peer.Request) *problem.Error {
	isolated := request.Isolated
	if refusal := x.judge(request); refusal != nil {
		return refusal
	}
	if request.Isolated && !isolated {
		return problem.New(problem.Overloaded, model.RunNo, "a target died with this request in flight while it waited for a slot")
	}
	return nil
}

func (x *Executor) admit(ctx context.Context, job Job, deadline time.Time) (*owner.Running, *problem.Error) {
	ctx, span := x.opts.Tracer.Start(ctx, trace.HopQueue)
	defer span.End()
	ask := owner.Ask{Account: job.Request.Account, Deadline: deadline, Isolated: job.Request.Isolated}
	running, refusal := x.opts.Owner.Admit(ctx, ask)
	if refusal != nil {
		span.Fail(string(refusal.Kind))
	}
	return running, refusal
}

// attempt is a call that holds a slot.
type attempt struct {
	executor *Executor
	job      Job
	running  *owner.Running
	cancel   context.CancelFunc
	deadline time.Time
	started  time.Time
	suspect  *Suspect
	span     trace.Span
}

// finish gives the slot back, once.
func (a *attempt) finish(result admission.Result) {
	if a.running == nil {
		return
	}
	outcome := admission.Outcome{Result: result}
	if !a.started.IsZero() {
		outcome.ServiceTime = time.Since(a.started)
	}
	a.executor.opts.Crashes.Ended(a.suspect, result == admission.Completed)
	a.cancel()
	a.giveBack(outcome)
	a.running = nil
	a.span.End()
}

// giveBack ends the call's hold on its slot. The target learns of an abandoned
// call by the end of its connection and works on it until then, so that the
// slot is held a little longer.
func (a *attempt) giveBack(outcome admission.Outcome) {
	running := a.running
	if outcome.Result != admission.Abandoned || a.started.IsZero() {
		running.Finish(outcome)
		return
	}
	time.AfterFunc(cancelTime, func() { running.Finish(outcome) })
}

func (a *attempt) run(ctx context.Context, runner *target.Runner) *Reply {
	if refusal := a.prepare(); refusal != nil {
		a.finish(admission.Abandoned)
		return Refuse(refusal)
	}
	ctx, a.span = a.executor.opts.Tracer.Start(ctx, trace.HopTarget)
	request, err := a.request(ctx)
	if err != nil {
		a.finish(admission.Abandoned)
		return Refuse(problem.New(problem.BadRequest, model.RunNo, err.Error()))
	}
	if refusal := a.executor.opts.Node.MayStart(); refusal != nil {
		a.finish(admission.Abandoned)
		return Refuse(refusal)
	}
	a.started = time.Now()
	a.suspect = a.executor.opts.Crashes.Started(a.job.Request.Fingerprint)
	result := runner.Run(ctx, request)
	if result.Err != nil {
		return a.failed(ctx, result)
	}
	return a.answered(result.Response)
}

// prepare asks for the body and drops a call that nobody waits for.
func (a *attempt) prepare() *problem.Error {
	if a.job.Admitted != nil && !a.job.Request.Inline {
		if err := a.job.Admitted(); err != nil {
			return problem.New(problem.Canceled, model.RunNo, "the entry closed the request before it was sent")
		}
	}
	if !time.Now().Before(a.deadline) {
		return problem.New(problem.DeadlineExceeded, model.RunNo, "the deadline passed before the call started")
	}
	return a.executor.judgeAgain(a.job.Request)
}

func (a *attempt) request(ctx context.Context) (*http.Request, error) {
	r := a.job.Request
	uri, err := url.ParseRequestURI(r.URI)
	if err != nil {
		return nil, err
	}
	request := (&http.Request{Method: r.Method, URL: uri, Host: r.Host, Header: make(http.Header)}).WithContext(ctx)
	peer.AddFields(request.Header, r.Header)
	if r.Inline {
		request.ContentLength = int64(len(r.Body))
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
		if len(r.Body) == 0 {
			request.Body = http.NoBody
		}
	} else {
		request.ContentLength = r.Length
		request.Body = io.NopCloser(a.job.Body)
	}
	remaining := max(time.Until(a.deadline).Milliseconds(), 1)
	request.Header.Set(HeaderTimeout, strconv.FormatInt(remaining, 10))
	request.Header.Set(HeaderCall, a.executor.opts.Node.CallToken(r))
	a.executor.opts.Tracer.Inject(ctx, request.Header)
	return request, nil
}

// failed sorts a failure by whether the target can have seen the request.
func (a *attempt) failed(ctx context.Context, result target.Result) *Reply {
	a.span.Fail(result.Err.Error())
	if !result.Sent {
		return a.notSent(ctx, result.Err)
	}
	if ctx.Err() != nil {
		a.finish(admission.Abandoned)
		if !time.Now().Before(a.deadline) {
			return Refuse(problem.New(problem.DeadlineExceeded, model.RunUnknown, "the target did not answer in time"))
		}
		return Refuse(problem.New(problem.Canceled, model.RunUnknown, "the caller closed the request while it ran"))
	}
	if result.Err == target.ErrUnframed {
		a.finish(admission.Failed)
		return Refuse(problem.New(problem.AnswerCutOff, model.RunYes, result.Err.Error()))
	}
	notice := a.executor.opts.Crashes.Lost(a.suspect)
	a.finish(admission.Crashed)
	reply := Refuse(problem.New(problem.TargetFailed, model.RunUnknown, "the target closed the connection without an answer"))
	reply.Answer.Crash = notice
	return reply
}

// notSent ends a call for which no connection was had.
func (a *attempt) notSent(ctx context.Context, err error) *Reply {
	if ctx.Err() != nil {
		a.finish(admission.Abandoned)
		return Refuse(problem.New(problem.Canceled, model.RunNo, "the call ended before a connection to the target was open"))
	}
	a.finish(admission.Crashed)
	return Refuse(problem.New(problem.TargetFailed, model.RunNo, "the target took no connection: "+err.Error()))
}

func (a *attempt) answered(response *http.Response) *Reply {
	reply := &Reply{Answer: &peer.Answer{
		Run: model.RunYes, Status: response.StatusCode,
		Header: peer.FieldsOf(response.Header), Length: response.ContentLength,
	}}
	body := &answerBody{attempt: a, body: response.Body, result: classify(response)}
	if response.ContentLength < 0 || response.ContentLength > bufferedAnswer {
		reply.Body = body
		return reply
	}
	whole, err := io.ReadAll(body)
	_ = body.Close()
	if err != nil {
		return Refuse(problem.New(problem.AnswerCutOff, model.RunYes, "the target cut off its answer"))
	}
	reply.Body = io.NopCloser(bytes.NewReader(whole))
	return reply
}

// cutOff ends a call whose answer broke off.
func (a *attempt) cutOff() {
	if a.running != nil {
		a.executor.opts.Crashes.CutOff(a.suspect)
	}
	a.finish(admission.Failed)
}

// classify tells admission what an answer says about the target.
func classify(response *http.Response) admission.Result {
	switch {
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "":
		return admission.Shed
	case response.StatusCode >= http.StatusInternalServerError:
		return admission.Failed
	default:
		return admission.Completed
	}
}

// answerBody passes the target's answer on and gives the slot back at its end.
type answerBody struct {
	attempt *attempt
	body    io.ReadCloser
	result  admission.Result
}

// Read returns io.EOF only at the end that the target framed.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	switch {
	case err == io.EOF:
		b.attempt.finish(b.result)
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		b.attempt.finish(admission.Abandoned)
	case err != nil:
		b.attempt.cutOff()
	}
	return n, err
}

// Close ends the call; an answer that was not read to its end is abandoned.
func (b *answerBody) Close() error {
	b.attempt.finish(admission.Abandoned)
	return b.body.Close()
}
