// Package entry receives calls from callers. It authenticates the client
// account, determines whether the call is idempotent, places each call on an
// owner, retries or hedges it where that is safe, and returns the whole
// answer or a detectable failure.
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
	// Open sends a request; see peer.Transport.Open.
	Open(ctx context.Context, to model.NodeAddr, request *peer.Request) (*peer.Exchange, error)
}

// Suspects tracks requests that may have crashed targets.
type Suspects interface {
	// Check returns how a request may run now.
	Check(quarantine.Fingerprint) quarantine.Status
	// Refusal returns the problem for a quarantined request.
	Refusal(quarantine.Fingerprint) *problem.Error
	// NoticesFor returns the encoded crash notices for a request.
	NoticesFor(quarantine.Fingerprint) [][]byte
	// RecordNotice records an encoded crash notice.
	RecordNotice(notice []byte)
}

// Limits bounds what callers may use.
type Limits struct {
	// BodyBytes is the maximum length of a request body.
	BodyBytes int64
	// Calls is the maximum number of calls in flight.
	Calls int
}

// Options configures an Entry.
type Options struct {
	Self     model.NodeAddr
	Process  model.ProcessID
	Peers    Peers
	Executor *execute.Executor
	Tracer   *trace.Tracer
	Snapshot func() *settings.Snapshot
	// Behind reports whether other nodes have a newer configuration than Snapshot. If
	// it is nil, none has.
	Behind func() bool
	// StopEnd returns the time at which a stop of the node ends at the latest, if it stops.
	// If it is nil, the node does not stop.
	StopEnd func() (time.Time, bool)
	// OnNewerRevision is called when another node applies a newer
	// configuration.
	OnNewerRevision func(revision model.Revision, from model.NodeAddr)
	Suspects        Suspects
	// IsMember reports whether the process is a member at the address.
	IsMember func(model.NodeAddr, model.ProcessID) bool
	Tokens   *calltoken.Signer
	// Bindings stores the bindings of callers' keys.
	Bindings Bindings
	// KeySecrets sign and verify request keys.
	KeySecrets []callkey.Secret
	Limits     Limits
	// Placement configures the choice of targets.
	Placement placement.Options
	// Retry configures retries and hedging.
	Retry retry.Options
}

// Entry receives and places calls. It is safe for concurrent use.
type Entry struct {
	opts     Options
	inFlight atomic.Int64
	issuer   *issuer
	binder   *binder

	mu             sync.Mutex
	placer         *placement.Placer
	budgets        map[model.Service]*serviceBudget
	suspectOwners  map[model.Service]ownerRanking
	accountLimiter *ratelimit.AccountLimiter
	// entries is the number of nodes that share the budgets; 0 if unknown.
	entries int
}

// New returns an entry.
func New(opts Options) *Entry {
	return &Entry{
		opts:           opts,
		placer:         placement.New(opts.Placement),
		budgets:        make(map[model.Service]*serviceBudget),
		suspectOwners:  make(map[model.Service]ownerRanking),
		issuer:         newIssuer(opts),
		binder:         newBinder(opts.Bindings),
		accountLimiter: ratelimit.NewAccountLimiter(ratelimit.Options{}),
	}
}

// SetTargets replaces the targets of a service. The retry budget of a service
// without targets is dropped.
func (e *Entry) SetTargets(service model.Service, targets []placement.Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.placer.SetTargets(time.Now(), service, targets)
	e.suspectOwners[service] = newOwnerRanking(targets)
	if len(targets) == 0 {
		delete(e.budgets, service)
		delete(e.suspectOwners, service)
	}
}

// Probes returns the owners to ask for a load report now.
func (e *Entry) Probes() []model.NodeAddr {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.placer.Probes(time.Now())
}

// RecordReport records the load report of a node.
func (e *Entry) RecordReport(node model.NodeAddr, report model.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.placer.RecordReport(time.Now(), node, report)
}

// CallsInFlight returns the number of calls in flight.
func (e *Entry) CallsInFlight() int64 { return e.inFlight.Load() }

// ExpireKeys drops expired request keys. Call it about once a second.
func (e *Entry) ExpireKeys() { e.issuer.expire(time.Now()) }

// Close stops issuing keys and starting calls under them. Calls in flight
// continue.
func (e *Entry) Close() { e.issuer.close() }
