// Package execute runs calls at their owner: it waits until the node has the
// configuration that the entry used, waits for admission, sends the request
// to the target once and returns the answer. For each failure it determines
// whether the target can have received the request.
package execute

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"zinniafall/node/owner"
	"zinniafall/node/peer"
	"zinniafall/node/strictconn"
	"zinniafall/node/target"
	"zinniafall/node/trace"
	"zinniafall/policy/admission"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/quarantine"
	"zinniafall/policy/statedlimit"
)

// maxBufferedAnswer is the length in bytes up to which an answer is read
// whole before its header is sent on. The slot is then released early, and an
// answer that is cut off is reported as a problem instead of a partial
// answer.
const maxBufferedAnswer = 64 << 10

// cancelGrace is the time that a target is given to notice that a call was
// canceled.
const cancelGrace = 5 * time.Millisecond

// Header fields that are added to requests to the target.
const (
	// HeaderTimeout is the remaining time until the deadline, in milliseconds.
	HeaderTimeout = "Zinniafall-Timeout-Ms"
	// HeaderCall is the call token for nested calls.
	HeaderCall = "Zinniafall-Call"
)

// Header fields of the target's answers that state something about the target.
const (
	// HeaderTargetLimit is the number of requests per second that the target
	// takes, a decimal number.
	HeaderTargetLimit = "Zinniafall-Target-Limit"
	// HeaderTargetLeaving is "1" if the target is about to stop.
	HeaderTargetLeaving = "Zinniafall-Target-Leaving"
)

// statementsUnreadable is shared with package sidecar, which is part of the same
// program.
var statementsUnreadable = metrics.GetOrCreateCounter(`zinniafall_target_statements_unreadable_total`)

// refusedAnswerLog limits the log lines about refused answers.
var refusedAnswerLog = rate.Sometimes{Interval: time.Second}

// Reply is an answer that is being returned to the caller.
type Reply struct {
	Answer *peer.Answer
	// Body is nil if the answer is a problem. Reading it to io.EOF means that
	// the answer is complete.
	Body io.ReadCloser
}

// ProblemReply returns a reply that consists of a problem.
func ProblemReply(p *problem.Error) *Reply {
	return &Reply{Answer: &peer.Answer{Run: p.Run, Problem: p}}
}

// Close closes the body, if there is one.
func (r *Reply) Close() {
	if r.Body != nil {
		_ = r.Body.Close()
	}
}

// Node is the part of the node that an Executor uses.
type Node interface {
	// AwaitRevision waits until the node applies the revision or a newer one.
	AwaitRevision(ctx context.Context, revision model.Revision, from model.NodeAddr) *problem.Error
	// CheckStart returns a problem if no call may start now. It is called right
	// before the request is sent to the target.
	CheckStart() *problem.Error
	// Target returns the runner of the target and the service of the target.
	Target() (*target.Runner, model.Service)
	// CallToken returns the token with which the target makes nested calls.
	CallToken(request *peer.Request) string
}

// Suspects tracks requests that may have crashed targets.
type Suspects interface {
	// Check returns how a request may run now.
	Check(quarantine.Fingerprint) quarantine.Status
	// Refusal returns the problem for a quarantined request.
	Refusal(quarantine.Fingerprint) *problem.Error
	// RecordNotice records an encoded crash notice.
	RecordNotice(notice []byte)
}

// Options configures an Executor.
type Options struct {
	Owner        *owner.Owner
	Node         Node
	Tracer       *trace.Tracer
	CrashTracker *CrashTracker
	Suspects     Suspects
}

// Executor runs calls at the target of this node.
type Executor struct{ opts Options }

// New returns an executor.
func New(opts Options) *Executor { return &Executor{opts: opts} }

// Job is a call to run.
type Job struct {
	From    model.NodeAddr
	Request *peer.Request
	// Body is the request body if it is not inline; otherwise it may be nil.
	Body io.Reader
	// Admitted is called before a body that is not inline is read.
	Admitted func() error
}

// Execute runs the call. Every failure is returned as a reply with a problem;
// the reply is never nil. An answer of unknown length or longer than
// maxBufferedAnswer holds the slot until its body ends or is closed.
func (x *Executor) Execute(ctx context.Context, job Job) *Reply {
	reply := x.execute(x.opts.Tracer.WithTraceparent(ctx, job.Request.Trace), job)
	report := x.opts.Owner.Report()
	reply.Answer.Report = &report
	return reply
}

// execute is Execute without the load report. Its deadline is the timeout of
// the request, counted from now; the attempt cancels the context in finish.
func (x *Executor) execute(ctx context.Context, job Job) *Reply {
	deadline := time.Now().Add(job.Request.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	if refusal := x.opts.Node.AwaitRevision(ctx, job.Request.Revision, job.From); refusal != nil {
		cancel()
		return ProblemReply(refusal)
	}
	runner, service := x.opts.Node.Target()
	if runner == nil || service != job.Request.Service {
		cancel()
		return ProblemReply(problem.New(problem.NoTarget, model.RunNo, "no target of "+string(job.Request.Service)+" is beside this node"))
	}
	if refusal := x.checkQuarantine(job.Request); refusal != nil {
		cancel()
		return ProblemReply(refusal)
	}
	slot, refusal := x.admit(ctx, job, deadline)
	if refusal != nil {
		cancel()
		return ProblemReply(refusal)
	}
	a := &attempt{executor: x, job: job, slot: slot, cancel: cancel, deadline: deadline}
	return a.run(ctx, runner)
}

// checkQuarantine records the crash notices that came with the request and
// checks it against this node's own list, which may have more. It sets
// request.Isolated if the request is suspected.
func (x *Executor) checkQuarantine(request *peer.Request) *problem.Error {
	for _, notice := range request.Notices {
		x.opts.Suspects.RecordNotice(notice)
	}
	switch x.opts.Suspects.Check(request.Fingerprint) {
	case quarantine.Quarantined:
		return x.opts.Suspects.Refusal(request.Fingerprint)
	case quarantine.Suspect:
		request.Isolated = true
	}
	return nil
}

// recheckQuarantine refuses a call that became suspected while it waited for
// its slot.
func (x *Executor) recheckQuarantine(request *peer.Request) *problem.Error {
	isolated := request.Isolated
	if refusal := x.checkQuarantine(request); refusal != nil {
		return refusal
	}
	if request.Isolated && !isolated {
		return problem.New(problem.Overloaded, model.RunNo, "a target died with this request in flight while it waited for a slot")
	}
	return nil
}

// admit waits for a slot, traced as a span.
func (x *Executor) admit(ctx context.Context, job Job, deadline time.Time) (*owner.Slot, *problem.Error) {
	ctx, span := x.opts.Tracer.Start(ctx, trace.HopQueue)
	defer span.End()
	admitRequest := owner.AdmitRequest{Account: job.Request.Account, Deadline: deadline, Isolated: job.Request.Isolated}
	slot, refusal := x.opts.Owner.Admit(ctx, admitRequest)
	if refusal != nil {
		span.Fail(string(refusal.Kind))
	}
	return slot, refusal
}

// attempt is a call that holds a slot.
type attempt struct {
	executor *Executor
	job      Job
	slot     *owner.Slot
	cancel   context.CancelFunc
	deadline time.Time
	started  time.Time
	tracked  *TrackedCall
	span     trace.Span
}

// finish records the end of the call, cancels its context and releases the
// slot. Further calls do nothing.
func (a *attempt) finish(result admission.Result) {
	if a.slot == nil {
		return
	}
	outcome := admission.Outcome{Result: result}
	if !a.started.IsZero() {
		outcome.ServiceTime = time.Since(a.started)
	}
	a.executor.opts.CrashTracker.RecordEnd(a.tracked, result == admission.Completed)
	a.cancel()
	a.releaseSlot(outcome)
	a.slot = nil
	a.span.End()
}

// releaseSlot releases the slot. The target notices an abandoned call by the
// end of its connection and works on it until then, so the slot is held for
// cancelGrace.
func (a *attempt) releaseSlot(outcome admission.Outcome) {
	slot := a.slot
	if outcome.Result != admission.Abandoned || a.started.IsZero() {
		slot.Finish(outcome)
		return
	}
	time.AfterFunc(cancelGrace, func() { slot.Finish(outcome) })
}

// run sends the request to the target once. A failure up to CheckStart finishes
// the call as abandoned, and nothing was sent.
func (a *attempt) run(ctx context.Context, runner *target.Runner) *Reply {
	if refusal := a.prepare(); refusal != nil {
		a.finish(admission.Abandoned)
		return ProblemReply(refusal)
	}
	ctx, a.span = a.executor.opts.Tracer.Start(ctx, trace.HopTarget)
	request, err := a.request(ctx)
	if err != nil {
		a.finish(admission.Abandoned)
		return ProblemReply(problem.New(problem.BadRequest, model.RunNo, err.Error()))
	}
	if refusal := a.executor.opts.Node.CheckStart(); refusal != nil {
		a.finish(admission.Abandoned)
		return ProblemReply(refusal)
	}
	a.started = time.Now()
	a.tracked = a.executor.opts.CrashTracker.RecordStart(a.job.Request.Fingerprint)
	result := runner.Run(ctx, request)
	if result.Err != nil {
		return a.handleFailure(ctx, result)
	}
	return a.handleResponse(result.Response)
}

// prepare requests the body. Unless the body is inline it repeats the checks both before, since
// the entry cannot send a body again of which a part was read, and after it.
func (a *attempt) prepare() *problem.Error {
	if a.job.Admitted != nil && !a.job.Request.Inline {
		if refusal := a.recheck(); refusal != nil {
			return refusal
		}
		if refusal := a.executor.opts.Node.CheckStart(); refusal != nil {
			return refusal
		}
		if err := a.job.Admitted(); err != nil {
			return problem.New(problem.Canceled, model.RunNo, "the entry closed the request before it was sent")
		}
	}
	return a.recheck()
}

// recheck refuses a call whose deadline has passed or whose request is now suspected.
func (a *attempt) recheck() *problem.Error {
	if !time.Now().Before(a.deadline) {
		return problem.New(problem.DeadlineExceeded, model.RunNo, "the deadline passed before the call started")
	}
	return a.executor.recheckQuarantine(a.job.Request)
}

// request returns the HTTP request for the target. Its timeout field is at
// least 1 ms. The error is that of an invalid URI.
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

// handleFailure returns the problem for a failure, depending on whether the
// target can have received the request. It finishes the call. The reply has a
// crash notice only if the request was sent and the connection was then lost.
func (a *attempt) handleFailure(ctx context.Context, result target.Result) *Reply {
	a.span.Fail(result.Err.Error())
	if !result.Sent {
		return a.handleNotSent(ctx, result.Err)
	}
	if ctx.Err() != nil {
		a.finish(admission.Abandoned)
		return ProblemReply(problem.Ended(ctx.Err(), model.RunUnknown, "the target ran the call"))
	}
	if result.Err == target.ErrUnframed {
		a.finish(admission.Failed)
		return ProblemReply(problem.New(problem.AnswerCutOff, model.RunYes, result.Err.Error()))
	}
	var malformed *strictconn.MalformedError
	if errors.Is(result.Err, target.ErrStray) || errors.As(result.Err, &malformed) || errors.Is(result.Err, strictconn.ErrTooLong) {
		refusedAnswerLog.Do(func() { klog.Warningf("target: An answer was refused: %v.", result.Err) })
		a.finish(admission.Failed)
		return ProblemReply(problem.New(problem.TargetFailed, model.RunUnknown, result.Err.Error()))
	}
	notice := a.executor.opts.CrashTracker.RecordConnectionLost(a.tracked)
	a.finish(admission.Crashed)
	reply := ProblemReply(problem.New(problem.TargetFailed, model.RunUnknown, "the target closed the connection without an answer"))
	reply.Answer.Crash = notice
	return reply
}

// handleNotSent ends a call for which no connection was opened.
func (a *attempt) handleNotSent(ctx context.Context, err error) *Reply {
	if ctx.Err() != nil {
		a.finish(admission.Abandoned)
		return ProblemReply(problem.Ended(ctx.Err(), model.RunNo, "a connection to the target was opened"))
	}
	a.finish(admission.Crashed)
	return ProblemReply(problem.New(problem.TargetFailed, model.RunNo, "the target took no connection: "+err.Error()))
}

// handleResponse returns the response as a reply. An answer of known length up
// to maxBufferedAnswer is read whole first; otherwise the body is still to be
// read, and its end or Close finishes the call.
func (a *attempt) handleResponse(response *http.Response) *Reply {
	a.recordStatements(response.Header)
	reply := &Reply{Answer: &peer.Answer{
		Run: model.RunYes, Status: response.StatusCode,
		Header: peer.FieldsOf(response.Header), Length: response.ContentLength,
	}}
	body := &answerBody{attempt: a, body: response.Body, result: classifyResponse(response)}
	if response.ContentLength < 0 || response.ContentLength > maxBufferedAnswer {
		reply.Body = body
		return reply
	}
	whole, err := io.ReadAll(body)
	_ = body.Close()
	if err != nil {
		return ProblemReply(problem.New(problem.AnswerCutOff, model.RunYes, "the target cut off its answer"))
	}
	reply.Body = io.NopCloser(bytes.NewReader(whole))
	return reply
}

// recordStatements passes on what the answer states about the target. A limit that
// cannot be read leaves the one before in force.
func (a *attempt) recordStatements(header http.Header) {
	leaving := strings.TrimSpace(header.Get(HeaderTargetLeaving)) == "1"
	limit, ok := statedlimit.Parse(header.Values(HeaderTargetLimit))
	if !ok {
		statementsUnreadable.Inc()
	}
	if ok || leaving {
		a.slot.RecordAnswer(owner.Statement{Limit: limit, HasLimit: ok, SentAt: a.started, Leaving: leaving})
	}
}

// handleCutOff ends a call whose answer was cut off. Once the call is finished,
// it does nothing.
func (a *attempt) handleCutOff() {
	if a.slot != nil {
		a.executor.opts.CrashTracker.RecordCutOff(a.tracked)
	}
	a.finish(admission.Failed)
}

// classifyResponse returns the result that a response means for admission.
func classifyResponse(response *http.Response) admission.Result {
	switch {
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "":
		return admission.Shed
	case response.StatusCode >= http.StatusInternalServerError:
		return admission.Failed
	default:
		return admission.Completed
	}
}

// answerBody reads the body of the answer and releases the slot at its end.
type answerBody struct {
	attempt *attempt
	body    io.ReadCloser
	result  admission.Result
}

// Read returns io.EOF only at the end that the framing of the answer states.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	switch {
	case err == io.EOF:
		b.attempt.finish(b.result)
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		b.attempt.finish(admission.Abandoned)
	case err != nil:
		b.attempt.handleCutOff()
	}
	return n, err
}

// Close ends the call. An answer that was not read to its end is recorded as
// abandoned.
func (b *answerBody) Close() error {
	b.attempt.finish(admission.Abandoned)
	return b.body.Close()
}
