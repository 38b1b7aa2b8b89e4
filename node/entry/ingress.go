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
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/retry"
	"zinniafall/policy/settings"
)

// The header fields between callers and nodes.
const (
	HeaderService    = "Zinniafall-Service"
	HeaderAccountKey = "Zinniafall-Account-Key"
	HeaderRequestKey = "Zinniafall-Request-Key"
	HeaderRun        = "Zinniafall-Run"
)

// KeysPath is where callers ask for request keys.
const KeysPath = "/.zinniafall/request-keys"

const (
	// maxTimeout bounds what a caller may ask for.
	maxTimeout = 10 * time.Minute
	// bodyGrace is how long after its deadline a call's body may still be
	// read; a caller that sends it slower is refused.
	bodyGrace = time.Second
)

// connectionKey is the context key of the number of the caller's connection.
type connectionKey struct{}

// WithConnection notes the number of a caller's connection; it fits
// http.Server.ConnContext.
func WithConnection(ctx context.Context, number uint64) context.Context {
	return context.WithValue(ctx, connectionKey{}, number)
}

// ServeHTTP takes in one call.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer e.calls.Add(-1)
	if e.calls.Add(1) > int64(e.opts.Limits.Calls) {
		writeProblem(w, knownHere(r, problem.New(problem.Overloaded, model.RunNo, "this node carries as many calls as it may").After(time.Second)))
		return
	}
	ctx, span := e.opts.Tracer.Start(e.opts.Tracer.Extract(r.Context(), r.Header), trace.HopEntry)
	defer span.End()
	snapshot := e.opts.Snapshot()
	caller, refusal := e.authenticate(snapshot, r)
	if refusal == nil {
		refusal = e.limit(snapshot, caller.Account)
	}
	if refusal != nil {
		span.Fail(string(refusal.Kind))
		writeProblem(w, knownHere(r, refusal))
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
	writeReply(w, reply)
}

// knownHere is what this entry may say of a call that it refuses itself. Under
// a request key an earlier sending may have run through another node, which
// only the key's issuer can tell.
func knownHere(r *http.Request, refusal *problem.Error) *problem.Error {
	if r.Header.Get(HeaderRequestKey) == "" && callerKey(r) == "" {
		return refusal
	}
	known := *refusal
	known.Run = model.RunUnknown
	return &known
}

// authenticate finds the account by its key, or by the token of the call in
// which this one is nested.
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

func (e *Entry) serveCall(ctx context.Context, snapshot *settings.Snapshot, caller calltoken.Token, w http.ResponseWriter, r *http.Request) *execute.Reply {
	request, refusal := newRequest(snapshot, caller, r)
	if refusal != nil {
		return execute.ProblemReply(knownHere(r, refusal))
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(request.Timeout + bodyGrace))
	b, refusal := takeBody(r, request, e.opts.Limits.BodyBytes)
	if refusal != nil {
		return execute.ProblemReply(knownHere(r, refusal))
	}
	if request.Key != "" {
		return e.keyed(ctx, request)
	}
	if key := callerKey(r); key != "" && !request.Idempotent {
		return e.bound(ctx, request, key)
	}
	number, _ := r.Context().Value(connectionKey{}).(uint64)
	return e.place(ctx, request, b, number)
}

// newRequest reads what the header says about the call.
func newRequest(snapshot *settings.Snapshot, caller calltoken.Token, r *http.Request) (*peer.Request, *problem.Error) {
	name := serviceName(r)
	service, ok := snapshot.Services[name]
	if !ok {
		return nil, problem.New(problem.UnknownService, model.RunNo, strconv.Quote(string(name))+" is not a configured service")
	}
	timeout, refusal := timeoutOf(r, service)
	if refusal != nil {
		return nil, refusal
	}
	request := &peer.Request{
		Kind: peer.KindCall, Revision: snapshot.Revision, Service: name, Account: caller.Account,
		Method: r.Method, URI: r.URL.RequestURI(), Host: r.Host, Header: forwarded(r.Header),
		Idempotent: idempotent(service, r), Timeout: timeout,
		Allowance: caller.Allowance, Depth: caller.Depth, Key: r.Header.Get(HeaderRequestKey),
	}
	return request, nil
}

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

func timeoutOf(r *http.Request, service settings.Service) (time.Duration, *problem.Error) {
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

// idempotent reports whether the call may run more than once.
func idempotent(service settings.Service, r *http.Request) bool {
	for _, prefix := range service.NonIdempotentPaths {
		if strings.HasPrefix(r.URL.Path, prefix) {
			return false
		}
	}
	return slices.Contains(service.IdempotentMethods, r.Method)
}

// forwarded lists the header fields that go on to the target. The account's
// key and what belongs to this node stay here.
func forwarded(header http.Header) []peer.Field {
	fields := peer.FieldsOf(header)
	return slices.DeleteFunc(fields, func(f peer.Field) bool {
		switch f.Name {
		case HeaderAccountKey, HeaderRequestKey, HeaderService, execute.HeaderTimeout, execute.HeaderCall:
			return true
		}
		return false
	})
}

// issuedKeys is the answer to a request for keys.
type issuedKeys struct {
	Keys []string `json:"keys"`
}

// serveKeys hands out request keys; ?count= gives their number, default 1.
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
	_ = json.NewEncoder(w).Encode(issuedKeys{Keys: keys})
}
