// Package fairqueue shares the slots of one target between client accounts by
// weight. It is start-time fair queueing for a server that runs several calls
// at once, SFQ(D): each account with calls is a flow with a virtual time, and
// the flow with the lowest virtual time goes next. A start moves the flow's
// time by the estimated cost over its weight; the finish corrects it by the
// true cost, so that an account with few expensive calls pays for them. Costs
// are the time that a call holds a slot.
//
// The virtual time of the queue is that of the call started last. A flow that
// gets its first call after being idle begins there: it has no credit for the
// time in which it asked for nothing. A flow is forgotten once it was idle for
// a while and owes nothing.
//
// The queue's length is shared by a dynamic threshold: a flow may hold as many
// calls as its weight gives it of the places that are free now. One account
// alone fills half of the queue, and a newcomer always finds a place.
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

// Options tunes a Queue. A zero field takes its default.
type Options struct {
	// Length bounds the calls that wait, of all flows together (64).
	Length int
	// IdleTimeout is the time for which an idle flow is remembered (1 s).
	IdleTimeout time.Duration
	// MaxFlows bounds the flows that are remembered; flows with calls in
	// flight or queued are never forgotten (8192).
	MaxFlows int
	// InitialCost is the expected cost of a call before any has finished
	// (10 ms).
	InitialCost time.Duration
}

// Queue holds the waiting calls of one target, of type T, and the caller's own
// state of each account, of type S. It is not safe for
// concurrent use.
type Queue[T, S any] struct {
	options Options
	flows   map[model.Account]*Flow[T, S]
	// backlogged holds the flows with queued calls, in the order in which
	// they became so.
	backlogged []*Flow[T, S]
	// oldest and newest end the list of idle flows.
	oldest, newest *Flow[T, S]
	virtual        float64
	highest        float64 // highest tag since the queue was last idle
	meanCost       float64 // seconds
	queued         int
	inFlight       int
	weights        float64 // of all remembered flows
	backlogWeights float64
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

// Len returns the number of calls that wait.
func (q *Queue[T, S]) Len() int { return q.queued }

// Flows returns the number of flows that are remembered.
func (q *Queue[T, S]) Flows() int { return len(q.flows) }

// TotalWeight returns the sum of the weights of the accounts that had a call
// lately.
func (q *Queue[T, S]) TotalWeight() float64 { return q.weights }

// MeanCost returns the mean cost of the recent calls of all accounts.
func (q *Queue[T, S]) MeanCost() time.Duration {
	return time.Duration(q.meanCost * float64(time.Second))
}

// Flow returns the flow of an account and marks it as used. A weight below 1
// counts as 1.
func (q *Queue[T, S]) Flow(now time.Time, account model.Account, weight int) *Flow[T, S] {
	f, ok := q.flows[account]
	if !ok {
		q.forget(now)
		f = &Flow[T, S]{account: account, tag: q.virtual, estimate: q.meanCost, emptyAt: now}
		q.flows[account] = f
		q.park(f)
	}
	q.reweigh(f, float64(max(weight, 1)))
	f.lastUsed = now
	if f.idle {
		q.unpark(f)
		q.park(f)
	}
	return f
}

func (q *Queue[T, S]) reweigh(f *Flow[T, S], weight float64) {
	if f.weight == weight {
		return
	}
	q.weights += weight - f.weight
	if len(f.items) > 0 {
		q.backlogWeights += weight - f.weight
	}
	f.weight = weight
}

// Push queues a call of the flow and reports whether the flow's part of the
// queue had room for it.
func (q *Queue[T, S]) Push(now time.Time, f *Flow[T, S], item T) bool {
	if len(f.items) >= q.room(f) {
		return false
	}
	if !f.active() {
		f.tag = max(f.tag, q.virtual)
		q.unpark(f)
	}
	if len(f.items) == 0 {
		f.emptyAt = now
		q.backlogged = append(q.backlogged, f)
		q.backlogWeights += f.weight
	}
	f.items = append(f.items, item)
	q.queued++
	return true
}

// room returns the number of calls that the flow may hold in the queue now.
func (q *Queue[T, S]) room(f *Flow[T, S]) int {
	free := q.options.Length - q.queued
	if free <= 0 {
		return 0
	}
	return max(1, int(float64(free)*q.Share(f)))
}

// Share returns the flow's part of the slots while the accounts that wait now
// keep waiting, between 0 and 1.
func (q *Queue[T, S]) Share(f *Flow[T, S]) float64 {
	others := q.backlogWeights
	if len(f.items) > 0 {
		others -= f.weight
	}
	return f.weight / (f.weight + others)
}

// Next removes the first call that is eligible from the flow with the lowest
// virtual time and returns it. The caller starts it with Start, or drops it.
func (q *Queue[T, S]) Next(eligible func(*Flow[T, S], T) bool) (*Flow[T, S], T, bool) {
	var best *Flow[T, S]
	var index int
	for _, f := range q.backlogged {
		if best != nil && f.tag >= best.tag {
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
	return best, q.take(best, index), true
}

func (f *Flow[T, S]) firstEligible(eligible func(*Flow[T, S], T) bool) int {
	for i, item := range f.items {
		if eligible(f, item) {
			return i
		}
	}
	return -1
}

// Drop removes the queued calls that match and hands each to the function
// removed, in the order of the queue.
func (q *Queue[T, S]) Drop(match func(T) bool, removed func(T)) {
	for b := 0; b < len(q.backlogged); {
		f := q.backlogged[b]
		for i := 0; i < len(f.items); {
			if match(f.items[i]) {
				removed(q.take(f, i))
				continue
			}
			i++
		}
		if len(f.items) > 0 {
			b++
		}
	}
}

// Each calls the function for every queued call.
func (q *Queue[T, S]) Each(visit func(T)) {
	for _, f := range q.backlogged {
		for _, item := range f.items {
			visit(item)
		}
	}
}

func (q *Queue[T, S]) take(f *Flow[T, S], i int) T {
	item := f.removeAt(i)
	q.queued--
	if len(f.items) == 0 {
		q.leaveBacklog(f)
		if f.inFlight == 0 {
			q.park(f)
		}
	}
	return item
}

func (q *Queue[T, S]) leaveBacklog(f *Flow[T, S]) {
	for i, b := range q.backlogged {
		if b == f {
			q.backlogged = append(q.backlogged[:i], q.backlogged[i+1:]...)
			break
		}
	}
	q.backlogWeights -= f.weight
}
