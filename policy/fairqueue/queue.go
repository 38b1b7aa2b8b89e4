// Package fairqueue shares the slots of one target between client accounts by
// weight. It implements SFQ(D), start-time fair queueing for a server that
// runs several calls at once. Each account with calls is a flow with a start
// tag, and the backlogged flow with the lowest tag is served next. Starting a
// call advances the tag by the estimated cost divided by the weight. Finishing
// it corrects the tag by the actual cost, so that an account with few
// expensive calls pays for them. The cost of a call is the time for which it
// holds a slot.
//
// The queue's virtual time is the highest start tag of the calls started so
// far or, once no call is queued or in flight, the highest tag of any flow. A
// flow that becomes active after being idle starts at that time, so it earns
// no credit while idle. An idle flow is evicted after Options.IdleTimeout if
// its tag is not ahead of the virtual time, that is, if it has not used more
// than its share.
//
// The queue length is shared by a dynamic threshold: a flow may hold as many
// queued calls as its weighted share of the places that are free now. One
// account alone can fill half of the queue, which leaves room for new
// accounts.
package fairqueue

import (
	"time"

	"zinniafall/policy/model"
)

// The defaults of Options.
const (
	DefaultLength      = 64
	DefaultIdleTimeout = time.Second
	DefaultMaxFlows    = 8192
	DefaultInitialCost = 10 * time.Millisecond
)

// Options configures a Queue. A zero field takes its default.
type Options struct {
	// Length bounds the number of queued calls of all flows together (64).
	Length int
	// IdleTimeout is how long an idle flow is kept (1 s).
	IdleTimeout time.Duration
	// MaxFlows bounds the number of flows; flows with calls in flight or
	// queued are never evicted (8192).
	MaxFlows int
	// InitialCost is the estimated cost of a call before any has finished
	// (10 ms).
	InitialCost time.Duration
}

// Queue holds the queued calls of one target, of type T, and the caller's own
// state of each account, of type S. It is not safe for concurrent use.
type Queue[T, S any] struct {
	options Options
	flows   map[model.Account]*Flow[T, S]
	// backlogged holds the flows with queued calls, in the order in which they
	// became backlogged.
	backlogged []*Flow[T, S]
	// oldestIdle and newestIdle are the ends of the list of idle flows.
	oldestIdle, newestIdle *Flow[T, S]
	virtualTime            float64
	maxFinishTag           float64 // highest tag of any flow so far
	meanCost               float64 // moving average over all accounts, in seconds
	queued                 int
	inFlight               int
	totalWeight            float64 // of all flows
	backlogWeight          float64
}

// New returns an empty queue.
func New[T, S any](options Options) *Queue[T, S] {
	if options.Length <= 0 {
		options.Length = DefaultLength
	}
	if options.IdleTimeout <= 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.MaxFlows <= 0 {
		options.MaxFlows = DefaultMaxFlows
	}
	if options.InitialCost <= 0 {
		options.InitialCost = DefaultInitialCost
	}
	return &Queue[T, S]{
		options:  options,
		flows:    make(map[model.Account]*Flow[T, S]),
		meanCost: options.InitialCost.Seconds(),
	}
}

// Len returns the number of queued calls.
func (q *Queue[T, S]) Len() int { return q.queued }

// Flows returns the number of flows, active and idle.
func (q *Queue[T, S]) Flows() int { return len(q.flows) }

// TotalWeight returns the sum of the weights of all flows, that is, of the
// accounts that had a call recently.
func (q *Queue[T, S]) TotalWeight() float64 { return q.totalWeight }

// MeanCost returns the moving average of the cost of calls of all accounts.
func (q *Queue[T, S]) MeanCost() time.Duration {
	return time.Duration(q.meanCost * float64(time.Second))
}

// Flow returns the flow of an account, creating it if needed, and marks it as
// used. A weight below 1 counts as 1.
func (q *Queue[T, S]) Flow(now time.Time, account model.Account, weight int) *Flow[T, S] {
	f, ok := q.flows[account]
	if !ok {
		q.evictIdle(now)
		f = &Flow[T, S]{account: account, startTag: q.virtualTime, costEstimate: q.meanCost, lastEmpty: now}
		q.flows[account] = f
		q.appendIdle(f)
	}
	q.setWeight(f, float64(max(weight, 1)))
	f.lastUsed = now
	if f.idle {
		q.removeIdle(f)
		q.appendIdle(f)
	}
	return f
}

func (q *Queue[T, S]) setWeight(f *Flow[T, S], weight float64) {
	if f.weight == weight {
		return
	}
	q.totalWeight += weight - f.weight
	if len(f.items) > 0 {
		q.backlogWeight += weight - f.weight
	}
	f.weight = weight
}

// Push queues a call of the flow and reports whether the flow was below its
// limit of queued calls.
func (q *Queue[T, S]) Push(now time.Time, f *Flow[T, S], item T) bool {
	if len(f.items) >= q.flowLimit(f) {
		return false
	}
	if !f.active() {
		f.startTag = max(f.startTag, q.virtualTime)
		q.removeIdle(f)
	}
	if len(f.items) == 0 {
		f.lastEmpty = now
		q.backlogged = append(q.backlogged, f)
		q.backlogWeight += f.weight
	}
	f.items = append(f.items, item)
	q.queued++
	return true
}

// flowLimit returns the number of calls that the flow may have queued now: its
// share of the free places, and at least one while any is free.
func (q *Queue[T, S]) flowLimit(f *Flow[T, S]) int {
	free := q.options.Length - q.queued
	if free <= 0 {
		return 0
	}
	return max(1, int(float64(free)*q.Share(f)))
}

// Share returns the fraction of the slots that the flow gets while the flows
// that are backlogged now stay so, between 0 and 1.
func (q *Queue[T, S]) Share(f *Flow[T, S]) float64 {
	others := q.backlogWeight
	if len(f.items) > 0 {
		others -= f.weight
	}
	return f.weight / (f.weight + others)
}

// Next removes and returns the first eligible call of the flow with the lowest
// start tag among the flows that have one. The caller starts it with Start or
// drops it.
func (q *Queue[T, S]) Next(eligible func(*Flow[T, S], T) bool) (*Flow[T, S], T, bool) {
	var best *Flow[T, S]
	var index int
	for _, f := range q.backlogged {
		if best != nil && f.startTag >= best.startTag {
			continue
		}
		if i := f.firstEligible(eligible); i >= 0 {
			best, index = f, i
		}
	}
	if best == nil {
		var none T
		return nil, none, false
	}
	return best, q.removeQueued(best, index), true
}

func (f *Flow[T, S]) firstEligible(eligible func(*Flow[T, S], T) bool) int {
	for i, item := range f.items {
		if eligible(f, item) {
			return i
		}
	}
	return -1
}

// Drop removes the queued calls that match and passes each to removed, flow by
// flow and in queue order within a flow.
func (q *Queue[T, S]) Drop(match func(T) bool, removed func(T)) {
	for b := 0; b < len(q.backlogged); {
		f := q.backlogged[b]
		for i := 0; i < len(f.items); {
			if match(f.items[i]) {
				removed(q.removeQueued(f, i))
				continue
			}
			i++
		}
		if len(f.items) > 0 {
			b++
		}
	}
}

// Each calls visit for every queued call.
func (q *Queue[T, S]) Each(visit func(T)) {
	for _, f := range q.backlogged {
		for _, item := range f.items {
			visit(item)
		}
	}
}

// Find returns the flow of an account without creating or marking it.
func (q *Queue[T, S]) Find(account model.Account) (*Flow[T, S], bool) {
	f, ok := q.flows[account]
	return f, ok
}

// EachFlow calls visit for every flow, active and idle, in no particular order.
func (q *Queue[T, S]) EachFlow(visit func(*Flow[T, S])) {
	for _, f := range q.flows {
		visit(f)
	}
}

// removeQueued removes the call at index i of the flow's backlog.
func (q *Queue[T, S]) removeQueued(f *Flow[T, S], i int) T {
	item := f.removeAt(i)
	q.queued--
	if len(f.items) == 0 {
		q.removeFromBacklog(f)
		if f.inFlight == 0 {
			q.appendIdle(f)
		}
	}
	return item
}

func (q *Queue[T, S]) removeFromBacklog(f *Flow[T, S]) {
	for i, b := range q.backlogged {
		if b == f {
			q.backlogged = append(q.backlogged[:i], q.backlogged[i+1:]...)
			break
		}
	}
	q.backlogWeight -= f.weight
}
