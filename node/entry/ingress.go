package entry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"zinniafall/node/execute"
	"zinniafall/node/peer"
	"zinniafall/node/trace"
	"zinniafall/policy/calltoken"
	"zinniafall/policy/config"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/retry"
	"zinniafall/policy/settings"
)

// Header fields exchanged with callers.
const (
	HeaderService    = "Zinniafall-Service"
	HeaderAccountKey = "Zinniafall-Account-Key"
	HeaderRequestKey = "Zinniafall-Request-Key"
	HeaderRun        = "Zinniafall-Run"
)

// KeysPath is the path at which callers request keys.
const KeysPath = "/.zinniafall/request-keys"

const (
	// maxTimeout is the longest timeout that a caller may request.
	maxTimeout = 10 * time.Minute
	// bodyGrace is how long past the deadline of a call its body may still be
	// read. A slower body is rejected.
	bodyGrace = time.Second
)

// connectionNumberKey is the context key of the number of the caller's
// connection.
type connectionNumberKey struct{}

// WithConnection adds the number of the caller's connection to the context.
// It is meant for http.Server.ConnContext.
func WithConnection(ctx context.Context, number uint64) context.Context {
	return context.WithValue(ctx, connectionNumberKey{}, number)
}

// ServeHTTP serves one call or a request for keys.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer e.inFlight.Add(-1)
	if e.inFlight.Add(1) > int64(e.opts.Limits.Calls) {
		writeProblem(w, coverEarlierRequests(r, problem.New(problem.Overloaded, model.RunNo, "this node carries as many calls as it may").After(time.Second)))
		return
	}
	ctx, span := e.opts.Tracer.Start(e.opts.Tracer.Extract(r.Context(), r.Header), trace.HopEntry)
	defer span.End()
	snapshot := e.opts.Snapshot()
	caller, refusal := e.authenticate(snapshot, r)
	refusal = e.notFinalWhileBehind(refusal)
	if refusal == nil {
		refusal = e.checkRate(snapshot, caller.Account)
	}
	if refusal != nil {
		span.Fail(string(refusal.Kind))
		writeProblem(w, coverEarlierRequests(r, refusal))
		return
	}
	if r.URL.Path == KeysPath {
		e.serveKeys(w, r, caller.Account)
		return
	}
	reply := e.serveCall(ctx, snapshot, caller, w, r)
	defer reply.Close()
	if p := reply.Answer.Problem; p != nil {
		span.Fail(string(p.Kind))
	}
	writeReply(w, r, reply)
}

// coverEarlierRequests makes the refusal hold for every request that was sent
// under the key of the call. An earlier one may have run through another
// node, and only the issuer of the key can tell, so the outcome of a call
// with a key becomes unknown.
func coverEarlierRequests(r *http.Request, refusal *problem.Error) *problem.Error {
	if r.Header.Get(HeaderRequestKey) == "" && callerKey(r) == "" {
		return refusal
	}
	unknown := *refusal
	unknown.Run = model.RunUnknown
	return &unknown
}

// notFinalWhileBehind replaces the refusal of an unknown account or service while other
// nodes have a newer configuration, which may have it: callers do not come back after
// 401 and 404.
func (e *Entry) notFinalWhileBehind(refusal *problem.Error) *problem.Error {
	if refusal == nil || refusal.Kind != problem.Unauthenticated && refusal.Kind != problem.UnknownService || e.opts.Behind == nil || !e.opts.Behind() {
		return refusal
	}
	return problem.New(problem.ConfigurationLag, refusal.Run, refusal.Detail+"; other nodes have a newer configuration").After(config.LagRetryAfter)
}

// authenticate determines the account from its key, or from the token of the
// parent call if the call is nested.
func (e *Entry) authenticate(snapshot *settings.Snapshot, r *http.Request) (calltoken.Token, *problem.Error) {
	if text := r.Header.Get(execute.HeaderCall); text != "" {
		return e.opts.Tokens.Verify(time.Now(), text)
	}
	account, ok := snapshot.AccountByKey[settings.HashKey(r.Header.Get(HeaderAccountKey))]
	if !ok {
		return calltoken.Token{}, problem.New(problem.Unauthenticated, model.RunNo, "the account key is missing or unknown")
	}
	return calltoken.Token{Account: account, Allowance: retry.NoAllowance}, nil
}

// serveCall reads the call and serves it according to its kind of key. The
// caller's own key is ignored if the call is idempotent. The reply is never nil.
func (e *Entry) serveCall(ctx context.Context, snapshot *settings.Snapshot, caller calltoken.Token, w http.ResponseWriter, r *http.Request) *execute.Reply {
	request, refusal := newRequest(snapshot, caller, r)
	if refusal = e.notFinalWhileBehind(refusal); refusal != nil {
		return execute.ProblemReply(coverEarlierRequests(r, refusal))
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(request.Timeout + bodyGrace))
	b, refusal := readBody(r, request, e.opts.Limits.BodyBytes)
	if refusal == nil {
		refusal = e.checkStop(request.Timeout)
	}
	if refusal != nil {
		return execute.ProblemReply(coverEarlierRequests(r, refusal))
	}
	if request.Key != "" {
		return e.forwardKeyed(ctx, request)
	}
	if key := callerKey(r); key != "" && !request.Idempotent {
		return e.forwardCallerKeyed(ctx, request, key)
	}
	number, _ := r.Context().Value(connectionNumberKey{}).(uint64)
	return e.place(ctx, request, b, number)
}

// checkStop refuses a call that may outlast a stop of the node: another node can serve it.
func (e *Entry) checkStop(timeout time.Duration) *problem.Error {
	if e.opts.StopEnd == nil {
		return nil
	}
	if end, stops := e.opts.StopEnd(); stops && time.Now().Add(timeout).After(end) {
		return problem.New(problem.Draining, model.RunNo, "the node stops before the call's time is over")
	}
	return nil
}

// newRequest builds the request from the header of a call.
func newRequest(snapshot *settings.Snapshot, caller calltoken.Token, r *http.Request) (*peer.Request, *problem.Error) {
	name := serviceName(r)
	service, ok := snapshot.Services[name]
	if !ok {
		return nil, problem.New(problem.UnknownService, model.RunNo, strconv.Quote(string(name))+" is not a configured service")
	}
	timeout, refusal := callTimeout(r, service)
	if refusal != nil {
		return nil, refusal
	}
	request := &peer.Request{
		Kind: peer.KindCall, Revision: snapshot.Revision, Service: name, Account: caller.Account,
		Method: r.Method, URI: r.URL.RequestURI(), Host: r.Host, Header: forwardedFields(r.Header),
		Idempotent: isIdempotent(service, r), Timeout: timeout,
		Allowance: caller.Allowance, Depth: caller.Depth, Key: r.Header.Get(HeaderRequestKey),
	}
	return request, nil
}

// serviceName returns the service from the header field, or else from the
// Host header.
func serviceName(r *http.Request) model.Service {
	if name := r.Header.Get(HeaderService); name != "" {
		return model.Service(name)
	}
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		host = r.Host
	}
	return model.Service(host)
}

// callTimeout returns the timeout that the caller requested, or else that of
// the service.
func callTimeout(r *http.Request, service settings.Service) (time.Duration, *problem.Error) {
	text := r.Header.Get(execute.HeaderTimeout)
	if text == "" {
		return service.Timeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
		return 0, problem.New(problem.BadRequest, model.RunNo, "Zinniafall-Timeout-Ms is not a whole number from 1 to 600000")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// isIdempotent reports whether the call may run more than once.
func isIdempotent(service settings.Service, r *http.Request) bool {
	for _, prefix := range service.NonIdempotentPaths {
		if strings.HasPrefix(r.URL.Path, prefix) {
			return false
		}
	}
	return slices.Contains(service.IdempotentMethods, r.Method)
}

// forwardedFields returns the header fields to forward to the target. The
// account key and the fields for this node are removed.
func forwardedFields(header http.Header) []peer.Field {
	fields := peer.FieldsOf(header)
	return slices.DeleteFunc(fields, func(f peer.Field) bool {
		switch f.Name {
		case HeaderAccountKey, HeaderRequestKey, HeaderService, execute.HeaderTimeout, execute.HeaderCall:
			return true
		}
		return false
	})
}

// keysResponse is the response to a request for keys.
type keysResponse struct {
	Keys []string `json:"keys"`
}

// serveKeys issues request keys. The query parameter count gives their
// number; the default is 1.
func (e *Entry) serveKeys(w http.ResponseWriter, r *http.Request, account model.Account) {
	count := 1
	if text := r.URL.Query().Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			writeProblem(w, problem.New(problem.BadRequest, model.RunNo, "count is not a whole number from 1 to 256"))
			return
		}
		count = n
	}
	keys, refusal := e.issuer.issue(time.Now(), account, count)
	if refusal != nil {
		writeProblem(w, refusal)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(keysResponse{Keys: keys})
}
