// Package entry takes in callers' calls. It authenticates the client account,
// decides whether the call may run more than once, places each call by itself
// on an owner, sends it again or hedges it where that is safe, and passes the
// answer on whole or not at all.
package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"zinniafall/node/execute"
	"zinniafall/node/peer"
	"zinniafall/node/trace"
	"zinniafall/policy/callkey"
	"zinniafall/policy/calltoken"
	"zinniafall/policy/model"
	"zinniafall/policy/placement"
	"zinniafall/policy/problem"
	"zinniafall/policy/quarantine"
	"zinniafall/policy/ratelimit"
	"zinniafall/policy/retry"
	"zinniafall/policy/settings"
)

// Peers sends requests to other nodes.
type Peers interface {
	// Open sends a request; see peer.Transport.
	Open(ctx context.Context, to model.NodeAddr, request *peer.Request) (*peer.Exchange, error)
}

// Suspects knows the requests that crash targets.
type Suspects interface {
	// Check returns how a request may run now.
	Check(quarantine.Fingerprint) quarantine.Status
	// Refusal is the answer to a quarantined request.
	Refusal(quarantine.Fingerprint) *problem.Error
	// NoticesFor returns the encoded notices that concern a request.
	NoticesFor(quarantine.Fingerprint) [][]byte
	// RecordNotice takes in an encoded notice.
	RecordNotice(notice []byte)
}

// Limits bound what callers may use.
type Limits struct {
	// BodyBytes bounds a request's body.
	BodyBytes int64
	// Calls bounds the calls under way.
	Calls int
}

// Options configure an Entry.
type Options struct {
	Self     model.NodeAddr
	Process  model.ProcessID
	Peers    Peers
	Executor *execute.Executor
	Tracer   *trace.Tracer
	Snapshot func() *settings.Snapshot
	// OnNewerRevision is told of a node that applies a newer configuration.
	OnNewerRevision func(revision model.Revision, from model.NodeAddr)
	Suspects        Suspects
	// IsMember reports whether the process is a member at the address.
	IsMember func(model.NodeAddr, model.ProcessID) bool
	Tokens   *calltoken.Signer
	// Bindings keeps callers' own keys.
	Bindings   Bindings
	KeySecrets []callkey.Secret
	Limits     Limits
	// Placement tunes the choice of targets.
	Placement placement.Options
	// Retry tunes further attempts.
	Retry retry.Options
}

// Entry places calls. It is safe for concurrent use.
type Entry struct {
	opts   Options
	calls  atomic.Int64
	issuer *issuer
	binder *binder

	mu      sync.Mutex
	placer  *placement.Placer
	budgets map[model.Service]*serviceBudget
	owners  map[model.Service]isolation
	limits  *ratelimit.AccountLimiter
	// entries is the number of nodes that share the budgets; 0 while unknown.
	entries int
}

// New returns an entry.
func New(opts Options) *Entry {
	return &Entry{
		opts:    opts,
		placer:  placement.New(opts.Placement),
		budgets: make(map[model.Service]*serviceBudget),
		owners:  make(map[model.Service]isolation),
		issuer:  newIssuer(opts),
		binder:  newBinder(opts.Bindings),
		limits:  ratelimit.NewAccountLimiter(ratelimit.Options{}),
	}
}

// SetTargets replaces the targets of a service.
func (e *Entry) SetTargets(service model.Service, targets []placement.Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.placer.SetTargets(time.Now(), service, targets)
	e.owners[service] = newIsolation(targets)
	if len(targets) == 0 {
		delete(e.budgets, service)
		delete(e.owners, service)
	}
}

// Probes returns the owners whose report is to be asked for now.
func (e *Entry) Probes() []model.NodeAddr {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.placer.Probes(time.Now())
}

// RecordReport records the answer to a probe.
func (e *Entry) RecordReport(node model.NodeAddr, report model.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.placer.RecordReport(time.Now(), node, report)
}

// CallsInFlight returns the number of calls under way.
func (e *Entry) CallsInFlight() int64 { return e.calls.Load() }

// ExpireKeys forgets request keys whose time is over. Call it about once a second.
func (e *Entry) ExpireKeys() { e.issuer.expire(time.Now()) }

// Close stops issuing keys and starting calls under them; what runs goes on.
func (e *Entry) Close() { e.issuer.close() }
