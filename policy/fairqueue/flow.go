package fairqueue

import (
	"time"

	"zinniafall/policy/model"
)

// estimateGain is the weight of a new sample in the moving averages of the
// cost, of one flow and of all.
const estimateGain = 0.125

// Flow is the state of one account in a Queue. A pointer to it stays valid
// while the flow has calls in flight or queued, and otherwise until the next
// call of Queue.Flow or Queue.EvictIdle, either of which may evict it.
type Flow[T, S any] struct {
	// State is the caller's own state of the account. It is lost when the flow
	// is evicted.
	State S

	account      model.Account
	weight       float64
	startTag     float64 // virtual start time of the next call
	costEstimate float64 // estimated cost of a call in seconds
	items        []T
	inFlight     int
	lastUsed     time.Time
	// lastEmpty is when the backlog was last empty.
	lastEmpty time.Time
	// prev and next link the idle flows, the longest idle first.
	prev, next *Flow[T, S]
	idle       bool
}

// Account returns the account that the flow belongs to.
func (f *Flow[T, S]) Account() model.Account { return f.account }

// Weight returns the flow's weight, which is at least 1.
func (f *Flow[T, S]) Weight() float64 { return f.weight }

// InFlight returns the number of calls that were started and have not
// finished.
func (f *Flow[T, S]) InFlight() int { return f.inFlight }

// Queued returns the number of queued calls.
func (f *Flow[T, S]) Queued() int { return len(f.items) }

// StartTag returns the virtual time at which the flow's next call starts: of two flows the
// one with the lower tag used less slot time for its weight.
func (f *Flow[T, S]) StartTag() float64 { return f.startTag }

// EstimatedCost returns the estimated cost of one call of the flow.
func (f *Flow[T, S]) EstimatedCost() time.Duration {
	return time.Duration(f.costEstimate * float64(time.Second))
}

// DecayEstimate lowers the cost estimate by one step. Call it when a call was
// refused because of the estimate: refused calls never finish, so nothing else
// would correct an estimate that is too high.
func (f *Flow[T, S]) DecayEstimate() { f.costEstimate -= f.costEstimate * estimateGain }

// BacklogAge returns for how long the flow has had queued calls without a
// break, or 0 if it has none.
func (f *Flow[T, S]) BacklogAge(now time.Time) time.Duration {
	if len(f.items) == 0 {
		return 0
	}
	return now.Sub(f.lastEmpty)
}

// charge advances the flow's start tag by a cost in seconds.
func (f *Flow[T, S]) charge(cost float64) { f.startTag += cost / f.weight }

func (f *Flow[T, S]) active() bool { return f.inFlight > 0 || len(f.items) > 0 }

func (f *Flow[T, S]) removeAt(i int) T {
	item := f.items[i]
	copy(f.items[i:], f.items[i+1:])
	var zero T
	f.items[len(f.items)-1] = zero
	f.items = f.items[:len(f.items)-1]
	return item
}
