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

// Bindings is the part of the platform's store that binds callers' own keys.
type Bindings interface {
	// Get reads a key.
	Get(ctx context.Context, key string) (platform.Entry, error)
	// Create writes a key that is absent; false when it is present.
	Create(ctx context.Context, key string, value []byte) (bool, error)
	// Grant starts a lease.
	Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error)
	// Acquire puts a key under a lease.
	Acquire(ctx context.Context, key string, value []byte, id platform.LeaseID) (bool, error)
}

// fleetBindings is the rate of bindings that all nodes together may make, in
// bindings a second. Each takes two writes: the binding and its lease.
const fleetBindings = 50

// leaseTimeout bounds the store calls that put a binding under its lease.
const leaseTimeout = 10 * time.Second

// binder binds keys that callers made to issued keys.
type binder struct {
	store Bindings

	mu        sync.Mutex
	decisions *callkey.Binder

	// leased guards bucket and lease, the last bucket's lease.
	leased sync.Mutex
	bucket string
	lease  platform.LeaseID
}

func newBinder(store Bindings) *binder {
	return &binder{store: store, decisions: callkey.NewBinder(callkey.BinderOptions{FleetWrites: fleetBindings})}
}

func (b *binder) setMembers(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.decisions.SetMembers(time.Now(), nodes)
}

// callerKey returns the caller's own key: an Idempotency-Key that is a version
// 7 UUID. Another one is the target's affair.
func callerKey(r *http.Request) string {
	text := r.Header.Get("Idempotency-Key")
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 || id.String() != text {
		return ""
	}
	return text
}

// bound carries a call under its caller's own key. The problem of a key that
// cannot be bound covers earlier sendings.
func (e *Entry) bound(ctx context.Context, request *peer.Request, key string) *execute.Reply {
	began := time.Now()
	if !request.Inline {
		return execute.ProblemReply(longKeyedBody())
	}
	issued, refusal := e.issuer.issue(began, request.Account, 1)
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
	request.Timeout -= time.Since(began)
	if request.Timeout <= 0 {
		return execute.ProblemReply(problem.New(problem.DeadlineExceeded, model.RunUnknown, "the deadline passed while Idempotency-Key was looked up"))
	}
	return e.keyed(ctx, request)
}

// bind returns the issued key that the caller's key stands for.
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
			event = b.read(ctx, step, issued)
		default:
			return "", step.Refusal
		}
		b.mu.Lock()
		step = binding.Next(time.Now(), event)
		b.mu.Unlock()
	}
}

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
	go b.expireWithBucket(context.WithoutCancel(ctx), step, step.Value)
	return callkey.Event{Outcome: callkey.Created}
}

func (b *binder) read(ctx context.Context, step callkey.Step, issued string) callkey.Event {
	entry, err := b.store.Get(ctx, step.StoreKey)
	switch {
	case err != nil:
		return callkey.Event{Outcome: callkey.OutcomeUnknown}
	case !entry.Found:
		return callkey.Event{Outcome: callkey.Absent}
	}
	if string(entry.Value) == issued {
		go b.expireWithBucket(context.WithoutCancel(ctx), step, issued)
	}
	return callkey.Event{Outcome: callkey.Found, Value: string(entry.Value)}
}

// expireWithBucket puts a binding that was made under its bucket's lease, which
// deletes it. The lease is no part of the promise; a binding without one only
// stays in the store.
func (b *binder) expireWithBucket(ctx context.Context, step callkey.Step, value string) {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	lease, err := b.leaseOf(ctx, step)
	if err == nil {
		_, err = b.store.Acquire(ctx, step.StoreKey, []byte(value), lease)
	}
	if err != nil {
		klog.Warningf("keys: A binding stays in the store; delete %s by hand: %v.", step.StoreKey, err)
	}
}

// leaseOf returns this node's lease of the bucket, which is never renewed.
func (b *binder) leaseOf(ctx context.Context, step callkey.Step) (platform.LeaseID, error) {
	b.leased.Lock()
	defer b.leased.Unlock()
	if b.bucket == step.Bucket {
		return b.lease, nil
	}
	lease, err := b.store.Grant(ctx, step.MinLeaseTTL)
	if err != nil {
		return "", err
	}
	b.bucket, b.lease = step.Bucket, lease
	return lease, nil
}
