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

// BinderOptions configure a Binder. A zero value means the default.
type BinderOptions struct {
	// Window is the age up to which a caller's key is accepted, and the width
	// of a bucket of bindings. Default 10 minutes, which is the TTL of the
	// issued keys that bindings lead to.
	Window time.Duration
	// MaxAhead is how far a caller's clock may be ahead of the store's.
	// Default 1 minute.
	MaxAhead time.Duration
	// Margin is the time for which the store keeps a bucket beyond the age at
	// which its last key is refused. Nodes that share one lease for a bucket
	// need clocks that are right to half of it. Default 10 minutes.
	Margin time.Duration
	// FleetWrites is the rate of binding writes that all nodes together may
	// ask of the store, in writes a second. Default 100.
	FleetWrites float64
	// FleetReads is the same for reads. Default 400.
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
	// maxCreates and maxReads bound the store calls that one binding makes.
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

// Binder decides how keys that callers made are bound to issued keys through
// the platform's store. It is not safe for concurrent use; a Binding is used
// under the same lock as its Binder.
type Binder struct {
	opts   BinderOptions
	writes *rate.Limiter
	reads  *rate.Limiter
}

// NewBinder returns a binder with full budgets.
func NewBinder(opts BinderOptions) *Binder {
	opts = opts.withDefaults()
	return &Binder{
		opts:   opts,
		writes: rate.NewLimiter(rate.Limit(opts.FleetWrites), opts.Burst),
		reads:  rate.NewLimiter(rate.Limit(opts.FleetReads), opts.Burst),
	}
}

// SetMembers divides the fleet's budgets by the number of nodes.
func (b *Binder) SetMembers(now time.Time, nodes int) {
	share := 1 / float64(max(nodes, 1))
	b.writes.SetLimitAt(now, rate.Limit(b.opts.FleetWrites*share))
	b.reads.SetLimitAt(now, rate.Limit(b.opts.FleetReads*share))
}

// Action is what a binding needs next.
type Action uint8

// The actions of a binding.
const (
	// Create asks the store to create StoreKey with Value, if it is absent,
	// kept for at least Keep. The outcome is Created, Exists, Lost or Failed.
	Create Action = iota + 1
	// ReadBack asks the store to read StoreKey. The outcome is Found, Absent,
	// Lost or Failed.
	ReadBack
	// Forward sends the call to the issuer of Key, which claims it. The issuer
	// may be this node.
	Forward
	// RefuseCall answers the call with Refusal.
	RefuseCall
)

// Step is the next thing to do for a binding.
type Step struct {
	Action   Action
	StoreKey string
	Value    string
	// Bucket names the bucket of StoreKey. The keys that a node creates in one
	// bucket may share one lease, which is never renewed.
	Bucket string
	// MinLeaseTTL is the least time to live of the lease when it is granted.
	MinLeaseTTL time.Duration
	// Key is the issued key that the call goes on under.
	Key     string
	Refusal *problem.Error
}

// Outcome is what became of a step at the store.
type Outcome uint8

// The outcomes of a step.
const (
	// Created means that the store created the key with our value.
	Created Outcome = iota + 1
	// Exists means that the key was there before.
	Exists
	// Found means that the read returned a value.
	Found
	// Absent means that the read found no key.
	Absent
	// OutcomeUnknown means that the answer did not come; the step may have taken
	// effect, now or later.
	OutcomeUnknown
	// Failed means that the store certainly did nothing.
	Failed
)

// Event reports the outcome of a step.
type Event struct {
	Outcome Outcome
	// Value is what was found. It may be set on Exists too, which saves a read.
	Value string
	// StoreTime is the store's own time on its answer, such as the Date
	// header. It is zero when the store gave none; then the node's clock
	// counts, which is safe only while it is right to within Margin.
	StoreTime time.Time
}

// Binding is the way of one sending of a call under a caller's key.
type Binding struct {
	binder   *Binder
	born     time.Time
	storeKey string
	bucket   time.Time
	issued   string
	creates  int
	reads    int
}

// Begin decides on the first step for a call under a caller's key. The key is
// a version 7 UUID, whose first 48 bits are the time at which the caller made
// it. Issued is a fresh key of this node's issuer for the same account. The
// wall clock of now serves only to spare the store keys that are clearly out
// of the window.
func (b *Binder) Begin(now time.Time, account model.Account, callerKey, issued string) (*Binding, Step) {
	born, ok := birth(callerKey)
	if !ok {
		return nil, refuseCall(problem.New(problem.KeyInvalid, model.RunNo, "Idempotency-Key is not a version 7 UUID in its usual form"))
	}
	g := &Binding{binder: b, born: born, issued: issued, bucket: born.Truncate(b.opts.Window)}
	g.storeKey = storeKey(g.bucket, account, callerKey)
	if refusal := g.outsideWindow(now, b.opts.Margin/2); refusal != nil {
		return g, refuseCall(refusal)
	}
	if b.writes.AllowN(now, 1) {
		return g, g.create()
	}
	return g, g.read(now)
}

// Next decides on what follows the outcome of a step.
//
// Every way to Carry checks the key's age at a time after the binding was
// made. A binding that is acted on was thus made while its bucket was kept,
// so it is the only one of its key; the issued key does the rest.
func (g *Binding) Next(now time.Time, e Event) Step {
	at := e.StoreTime
	if at.IsZero() {
		at = now
	}
	switch e.Outcome {
	case Created:
		return g.carry(at, g.issued)
	case Found:
		return g.carry(at, e.Value)
	case Exists:
		if e.Value != "" {
			return g.carry(at, e.Value)
		}
		return g.read(now)
	case Absent:
		return g.absent(now, at)
	}
	return g.read(now)
}

// carry lets the call go on under the issued key.
func (g *Binding) carry(at time.Time, issued string) Step {
	if refusal := g.outsideWindow(at, 0); refusal != nil {
		return refuseCall(refusal)
	}
	return Step{Action: Forward, Key: issued}
}

// absent decides after a read showed that no sending has bound the key. A
// create whose answer was lost is sent again with the same value: whichever
// of the two arrives first binds the key to the same issued key.
func (g *Binding) absent(now, at time.Time) Step {
	if refusal := g.outsideWindow(at, 0); refusal != nil {
		return refuseCall(refusal)
	}
	writes := g.binder.writes
	switch {
	case g.creates < maxCreates && writes.AllowN(now, 1):
		return g.create()
	case g.creates < maxCreates:
		return refuseCall(budgetSpent(model.RunNo, pause(now, writes)))
	}
	return refuseCall(problem.New(problem.StoreUnavailable, model.RunNo, "the store did not confirm the binding of Idempotency-Key"))
}

// birth returns the time in a caller's key.
func birth(callerKey string) (time.Time, bool) {
	const canonicalLength = 36
	id, err := uuid.Parse(callerKey)
	if err != nil || len(callerKey) != canonicalLength || id.Version() != 7 || id.String() != callerKey {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// storeKey names the binding of a caller's key. The hash hides the key and
// keeps accounts apart.
func storeKey(bucket time.Time, account model.Account, callerKey string) string {
	h := sha256.New()
	h.Write([]byte(strconv.Itoa(len(account)) + ":" + string(account) + callerKey))
	return bucketName(bucket) + "/" + base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}

func bucketName(bucket time.Time) string {
	return "bindings/" + strconv.FormatInt(bucket.Unix(), 10)
}

// outsideWindow refuses a key whose age at the time at is not accepted.
// Slack widens the window on both sides.
func (g *Binding) outsideWindow(at time.Time, slack time.Duration) *problem.Error {
	age := at.Sub(g.born)
	switch {
	case age > g.binder.opts.Window+slack:
		return problem.New(problem.KeyExpired, model.RunUnknown, "Idempotency-Key was made longer ago than keys are remembered")
	case age < -g.binder.opts.MaxAhead-slack:
		return problem.New(problem.KeyInvalid, model.RunUnknown, "Idempotency-Key was made in the future; set the caller's clock")
	}
	return nil
}

// keep is the time from any accepted create to the end of its bucket's last
// window, and the margin.
func (o BinderOptions) keep() time.Duration { return 2*o.Window + o.MaxAhead + o.Margin }

func (g *Binding) create() Step {
	g.creates++
	return Step{
		Action:      Create,
		StoreKey:    g.storeKey,
		Value:       g.issued,
		Bucket:      bucketName(g.bucket),
		MinLeaseTTL: g.binder.opts.keep(),
	}
}

// read looks for a binding. When that cannot be done, an earlier sending may
// have run, so the outcome is unknown.
func (g *Binding) read(now time.Time) Step {
	if g.reads == maxReads {
		return refuseCall(problem.New(problem.StoreUnavailable, model.RunUnknown, "the store does not answer, so an earlier sending under Idempotency-Key cannot be ruled out"))
	}
	if !g.binder.reads.AllowN(now, 1) {
		return refuseCall(budgetSpent(model.RunUnknown, pause(now, g.binder.reads)))
	}
	g.reads++
	return Step{Action: ReadBack, StoreKey: g.storeKey, Bucket: bucketName(g.bucket)}
}

func budgetSpent(run model.Run, wait time.Duration) *problem.Error {
	return problem.New(problem.ClaimBudgetSpent, run, "the node's budget of store calls for Idempotency-Key is spent").After(wait)
}

// pause is the time until the budget has another token.
func pause(now time.Time, budget *rate.Limiter) time.Duration {
	missing := max(1-budget.TokensAt(now), 0)
	return time.Duration(missing / float64(budget.Limit()) * float64(time.Second))
}

func refuseCall(e *problem.Error) Step { return Step{Action: RefuseCall, Refusal: e} }
