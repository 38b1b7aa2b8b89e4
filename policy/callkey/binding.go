package callkey

import (
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// BinderOptions configures a Binder. A zero field means the default.
type BinderOptions struct {
	// Window is the age up to which a caller's key is accepted, and the width
	// of a bucket of bindings. Default 10 minutes, which is the TTL of the
	// issued keys that callers' keys are bound to.
	Window time.Duration
	// MaxAhead is how far a caller's clock may be ahead of the store's.
	// Default 1 minute.
	MaxAhead time.Duration
	// Margin is the time for which the store keeps a bucket after its last key
	// is refused. Nodes that share one lease for a bucket need clocks that are
	// accurate to half of it. Default 10 minutes.
	Margin time.Duration
	// FleetWrites limits the binding writes that all nodes together send to
	// the store, in writes per second. Default 100.
	FleetWrites float64
	// FleetReads limits the reads in the same way. Default 400.
	FleetReads float64
	// Burst is the number of writes, and of reads, that one node may make at
	// once. Default 20.
	Burst int
}

const (
	defaultWindow      = 10 * time.Minute
	defaultMaxAhead    = time.Minute
	defaultMargin      = 10 * time.Minute
	defaultFleetWrites = 100
	defaultFleetReads  = 400
	defaultBurst       = 20
	// maxCreates and maxReads limit the store calls for one Binding.
	maxCreates = 2
	maxReads   = 3
)

func (o BinderOptions) withDefaults() BinderOptions {
	if o.Window <= 0 {
		o.Window = defaultWindow
	}
	if o.MaxAhead <= 0 {
		o.MaxAhead = defaultMaxAhead
	}
	if o.Margin <= 0 {
		o.Margin = defaultMargin
	}
	if o.FleetWrites <= 0 {
		o.FleetWrites = defaultFleetWrites
	}
	if o.FleetReads <= 0 {
		o.FleetReads = defaultFleetReads
	}
	if o.Burst <= 0 {
		o.Burst = defaultBurst
	}
	return o
}

// Binder binds keys that callers made to issued keys through the platform's
// store. It does no I/O: it returns the steps to take. It is not safe for
// concurrent use; a Binding must be used under the same lock as its Binder.
type Binder struct {
	opts   BinderOptions
	writes *rate.Limiter
	reads  *rate.Limiter
}

// NewBinder returns a binder whose read and write budgets are full.
func NewBinder(opts BinderOptions) *Binder {
	opts = opts.withDefaults()
	return &Binder{
		opts:   opts,
		writes: rate.NewLimiter(rate.Limit(opts.FleetWrites), opts.Burst),
		reads:  rate.NewLimiter(rate.Limit(opts.FleetReads), opts.Burst),
	}
}

// SetMembers sets this node's share of the fleet's budgets for the given
// number of nodes.
func (b *Binder) SetMembers(now time.Time, nodes int) {
	share := 1 / float64(max(nodes, 1))
	b.writes.SetLimitAt(now, rate.Limit(b.opts.FleetWrites*share))
	b.reads.SetLimitAt(now, rate.Limit(b.opts.FleetReads*share))
}

// Action is the kind of a Step.
type Action uint8

// The actions of a binding.
const (
	// Create creates StoreKey with Value in the store if it is absent, under a
	// lease of at least MinLeaseTTL. The outcome is Created, Exists,
	// OutcomeUnknown or Failed.
	Create Action = iota + 1
	// ReadBack reads StoreKey from the store. The outcome is Found, Absent,
	// OutcomeUnknown or Failed.
	ReadBack
	// Forward sends the call to the issuer of Key, where it is claimed. The
	// issuer may be this node.
	Forward
	// RefuseCall answers the call with Refusal.
	RefuseCall
)

// Step is the next step of a binding.
type Step struct {
	Action   Action
	StoreKey string
	Value    string
	// Bucket is the name of StoreKey's bucket. The keys that a node creates in
	// one bucket may share one lease, which is never renewed.
	Bucket string
	// MinLeaseTTL is the minimum time to live of the lease when it is granted.
	MinLeaseTTL time.Duration
	// Key is set on Forward and is the issued key of the call.
	Key string
	// Refusal is set on RefuseCall.
	Refusal *problem.Error
}

// Outcome is the result of a step at the store.
type Outcome uint8

// The outcomes of a step.
const (
	// Created means that the store created the key with the step's value.
	Created Outcome = iota + 1
	// Exists means that the key already existed.
	Exists
	// Found means that the read returned a value.
	Found
	// Absent means that the read found no key.
	Absent
	// OutcomeUnknown means that no answer arrived. The step may have taken
	// effect or may still do so.
	OutcomeUnknown
	// Failed means that the step had no effect and will have none.
	Failed
)

// Event reports the outcome of a step.
type Event struct {
	Outcome Outcome
	// Value is the stored value on Found. It may be set on Exists too, which
	// saves a read.
	Value string
	// StoreTime is the store's own time in its answer, such as the Date
	// header. If it is zero, the node's clock is used, which is safe only
	// while that clock is accurate to within Margin.
	StoreTime time.Time
}

// Binding binds the caller's key of one request to an issued key.
type Binding struct {
	binder     *Binder
	keyCreated time.Time
	storeKey   string
	bucket     time.Time
	issued     string
	creates    int
	reads      int
}

// Begin returns the first step for a call under a caller's key, which must be
// a version 7 UUID: its first 48 bits are the time at which the caller made
// it. Issued is a new key of this node's issuer for the same account. The wall
// clock of now is used only to refuse keys that are clearly outside the window
// without a store call.
func (b *Binder) Begin(now time.Time, account model.Account, callerKey, issued string) (*Binding, Step) {
	created, ok := creationTime(callerKey)
	if !ok {
		return nil, refuseCall(problem.New(problem.KeyInvalid, model.RunNo, "Idempotency-Key is not a version 7 UUID in its usual form"))
	}
	g := &Binding{binder: b, keyCreated: created, issued: issued, bucket: created.Truncate(b.opts.Window)}
	g.storeKey = storeKey(g.bucket, account, callerKey)
	if refusal := g.outsideWindow(now, b.opts.Margin/2); refusal != nil {
		return g, refuseCall(refusal)
	}
	if b.writes.AllowN(now, 1) {
		return g, g.create()
	}
	return g, g.read(now)
}

// Next returns the step that follows the outcome of the last one.
//
// Every path to Forward checks the key's age at a time after the binding was
// stored. A binding that is used was therefore stored while its bucket was
// kept, so it is the only binding of its key, and the issued key ensures that
// the call runs at most once.
func (g *Binding) Next(now time.Time, e Event) Step {
	at := e.StoreTime
	if at.IsZero() {
		at = now
	}
	switch e.Outcome {
	case Created:
		return g.forward(at, g.issued)
	case Found:
		return g.forward(at, e.Value)
	case Exists:
		if e.Value != "" {
			return g.forward(at, e.Value)
		}
		return g.read(now)
	case Absent:
		return g.afterAbsent(now, at)
	}
	return g.read(now)
}

// forward returns the step that sends the call on under the issued key, or
// refuses the call if its caller's key is outside the window.
func (g *Binding) forward(at time.Time, issued string) Step {
	if refusal := g.outsideWindow(at, 0); refusal != nil {
		return refuseCall(refusal)
	}
	return Step{Action: Forward, Key: issued}
}

// afterAbsent returns the step after a read found the key unbound. A create
// whose answer was lost is sent again with the same value, so whichever of the
// two arrives first binds the key to the same issued key.
func (g *Binding) afterAbsent(now, at time.Time) Step {
	if refusal := g.outsideWindow(at, 0); refusal != nil {
		return refuseCall(refusal)
	}
	writes := g.binder.writes
	switch {
	case g.creates < maxCreates && writes.AllowN(now, 1):
		return g.create()
	case g.creates < maxCreates:
		return refuseCall(budgetSpent(model.RunNo, timeToToken(now, writes)))
	}
	return refuseCall(problem.New(problem.StoreUnavailable, model.RunNo, "the store did not confirm the binding of Idempotency-Key"))
}

// creationTime returns the time that a caller's key contains, and whether the
// key is a version 7 UUID in canonical form.
func creationTime(callerKey string) (time.Time, bool) {
	const canonicalLength = 36
	id, err := uuid.Parse(callerKey)
	if err != nil || len(callerKey) != canonicalLength || id.Version() != 7 || id.String() != callerKey {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// storeKey returns the store's key of a binding. The hash conceals the caller's
// key and keeps the keys of different accounts distinct.
func storeKey(bucket time.Time, account model.Account, callerKey string) string {
	h := sha256.New()
	h.Write([]byte(strconv.Itoa(len(account)) + ":" + string(account) + callerKey))
	return bucketName(bucket) + "/" + base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

// bucketName returns the prefix of the store keys in a bucket.
func bucketName(bucket time.Time) string {
	return "bindings/" + strconv.FormatInt(bucket.Unix(), 10)
}

// outsideWindow returns the refusal of a key whose age at the given time is
// outside the window, or nil. Slack widens the window on both sides.
func (g *Binding) outsideWindow(at time.Time, slack time.Duration) *problem.Error {
	age := at.Sub(g.keyCreated)
	switch {
	case age > g.binder.opts.Window+slack:
		return problem.New(problem.KeyExpired, model.RunUnknown, "Idempotency-Key was made longer ago than keys are remembered")
	case age < -g.binder.opts.MaxAhead-slack:
		return problem.New(problem.KeyInvalid, model.RunUnknown, "Idempotency-Key was made in the future; set the caller's clock")
	}
	return nil
}

// leaseTTL returns the longest time from an accepted create to the moment when
// the last key of the same bucket is refused, plus the margin.
func (o BinderOptions) leaseTTL() time.Duration { return 2*o.Window + o.MaxAhead + o.Margin }

// create returns a Create step and counts it.
func (g *Binding) create() Step {
	g.creates++
	return Step{
		Action:      Create,
		StoreKey:    g.storeKey,
		Value:       g.issued,
		Bucket:      bucketName(g.bucket),
		MinLeaseTTL: g.binder.opts.leaseTTL(),
	}
}

// read returns a ReadBack step. When no read is possible, an earlier request
// under the key may have run, so the refusal reports an unknown outcome.
func (g *Binding) read(now time.Time) Step {
	if g.reads == maxReads {
		return refuseCall(problem.New(problem.StoreUnavailable, model.RunUnknown, "the store does not answer, so an earlier sending under Idempotency-Key cannot be ruled out"))
	}
	if !g.binder.reads.AllowN(now, 1) {
		return refuseCall(budgetSpent(model.RunUnknown, timeToToken(now, g.binder.reads)))
	}
	g.reads++
	return Step{Action: ReadBack, StoreKey: g.storeKey, Bucket: bucketName(g.bucket)}
}

func budgetSpent(run model.Run, wait time.Duration) *problem.Error {
	return problem.New(problem.ClaimBudgetSpent, run, "the node's budget of store calls for Idempotency-Key is spent").After(wait)
}

// timeToToken returns the time until the budget has another token.
func timeToToken(now time.Time, budget *rate.Limiter) time.Duration {
	missing := max(1-budget.TokensAt(now), 0)
	return time.Duration(missing / float64(budget.Limit()) * float64(time.Second))
}

func refuseCall(e *problem.Error) Step { return Step{Action: RefuseCall, Refusal: e} }
