package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"zinniafall/node/execute"
	"zinniafall/node/peer"
	"zinniafall/node/platform"
	"zinniafall/policy/callkey"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// Bindings is the part of the store that keeps the bindings of callers'
// keys.
type Bindings interface {
	// Get reads a key.
	Get(ctx context.Context, key string) (platform.Entry, error)
	// Create writes a key that does not exist yet and reports whether it did.
	Create(ctx context.Context, key string, value []byte) (bool, error)
	// Grant starts a lease.
	Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error)
	// Acquire attaches a key to a lease.
	Acquire(ctx context.Context, key string, value []byte, id platform.LeaseID) (bool, error)
}

// fleetBindingsPerSecond limits the bindings that all nodes together create
// per second. Each takes two writes: the binding and its lease.
const fleetBindingsPerSecond = 50

// leaseTimeout limits the store calls that attach a binding to its lease.
const leaseTimeout = 10 * time.Second

// binder binds callers' keys to issued request keys.
type binder struct {
	store Bindings

	mu        sync.Mutex
	decisions *callkey.Binder

	// leaseMu guards leaseBucket and lease, the lease of that bucket.
	leaseMu     sync.Mutex
	leaseBucket string
	lease       platform.LeaseID
}

func newBinder(store Bindings) *binder {
	return &binder{store: store, decisions: callkey.NewBinder(callkey.BinderOptions{FleetWrites: fleetBindingsPerSecond})}
}

// setMembers sets the number of nodes that share the budget of bindings.
func (b *binder) setMembers(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decisions.SetMembers(time.Now(), nodes)
}

// callerKey returns the caller's key: an Idempotency-Key that is a version
// 7 UUID. Any other value is left to the target.
func callerKey(r *http.Request) string {
	text := r.Header.Get("Idempotency-Key")
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || id.String() != text {
		return ""
	}
	return text
}

// forwardCallerKeyed forwards a call under a caller's key. If the key cannot
// be bound, the problem reports the outcome as unknown, because an earlier
// request under the same key may have run.
func (e *Entry) forwardCallerKeyed(ctx context.Context, request *peer.Request, key string) *execute.Reply {
	started := time.Now()
	if !request.Inline {
		return execute.ProblemReply(keyedBodyTooLarge())
	}
	issued, refusal := e.issuer.issue(started, request.Account, 1)
	if refusal != nil {
		unknown := *refusal
		unknown.Run = model.RunUnknown
		return execute.ProblemReply(&unknown)
	}
	bindCtx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	request.Key, refusal = e.binder.bind(bindCtx, request.Account, key, issued[0])
	if refusal != nil {
		return execute.ProblemReply(refusal)
	}
	request.Timeout -= time.Since(started)
	if request.Timeout <= 0 {
		return execute.ProblemReply(problem.New(problem.DeadlineExceeded, model.RunUnknown, "the deadline passed while Idempotency-Key was looked up"))
	}
	return e.forwardKeyed(ctx, request)
}

// bind returns the issued key that the caller's key is bound to. If the
// caller's key is not bound yet, it is bound to issued.
func (b *binder) bind(ctx context.Context, account model.Account, callerKey, issued string) (string, *problem.Error) {
	b.mu.Lock()
	binding, step := b.decisions.Begin(time.Now(), account, callerKey, issued)
	b.mu.Unlock()
	for {
		var event callkey.Event
		switch step.Action {
		case callkey.Forward:
			return step.Key, nil
		case callkey.Create:
			event = b.create(ctx, step)
		case callkey.ReadBack:
			event = b.readBack(ctx, step, issued)
		default:
			return "", step.Refusal
		}
		b.mu.Lock()
		step = binding.Next(time.Now(), event)
		b.mu.Unlock()
	}
}

// create writes the binding to the store.
func (b *binder) create(ctx context.Context, step callkey.Step) callkey.Event {
	created, err := b.store.Create(ctx, step.StoreKey, []byte(step.Value))
	switch {
	case platform.IsOutcomeUnknown(err):
		return callkey.Event{Outcome: callkey.OutcomeUnknown}
	case err != nil:
		return callkey.Event{Outcome: callkey.Failed}
	case !created:
		return callkey.Event{Outcome: callkey.Exists}
	}
	go b.attachLease(context.WithoutCancel(ctx), step, step.Value)
	return callkey.Event{Outcome: callkey.Created}
}

// readBack reads the binding from the store. A binding to issued, the key that
// was issued for this call, was written by an earlier create of this call whose
// outcome was unknown; it is attached to its lease now.
func (b *binder) readBack(ctx context.Context, step callkey.Step, issued string) callkey.Event {
	entry, err := b.store.Get(ctx, step.StoreKey)
	switch {
	case err != nil:
		return callkey.Event{Outcome: callkey.OutcomeUnknown}
	case !entry.Found:
		return callkey.Event{Outcome: callkey.Absent}
	}
	if string(entry.Value) == issued {
		go b.attachLease(context.WithoutCancel(ctx), step, issued)
	}
	return callkey.Event{Outcome: callkey.Found, Value: string(entry.Value)}
}

// attachLease attaches a new binding to the lease of its bucket, whose end
// deletes the binding. Correctness does not depend on the lease: a binding
// without one only stays in the store.
func (b *binder) attachLease(ctx context.Context, step callkey.Step, value string) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	lease, err := b.bucketLease(ctx, step)
	if err == nil {
		_, err = b.store.Acquire(ctx, step.StoreKey, []byte(value), lease)
	}
	if err != nil {
		klog.Warningf("keys: Cannot attach a binding to its lease; delete %s from the store by hand: %v.", step.StoreKey, err)
	}
}

// bucketLease returns this node's lease for the bucket. Leases are never
// renewed.
func (b *binder) bucketLease(ctx context.Context, step callkey.Step) (platform.LeaseID, error) {
	b.leaseMu.Lock()
	defer b.leaseMu.Unlock()
	if b.leaseBucket == step.Bucket {
		return b.lease, nil
	}
	lease, err := b.store.Grant(ctx, step.MinLeaseTTL)
	if err != nil {
		return "", err
	}
	b.leaseBucket, b.lease = step.Bucket, lease
	return lease, nil
}
