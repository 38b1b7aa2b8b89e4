package fairqueue

import (
	"time"

	"zinniafall/policy/model"
)

// estimateGain is the share of a new cost in a flow's cost estimate.
const estimateGain = 0.125

// Flow is the state of one account in a Queue. It stays valid while it has
// calls in flight or queued and until the next Flow call of its queue.
type Flow[T, S any] struct {
	// State is the caller's own state of the account; it is forgotten with
	// the flow.
	State S

	account  model.Account
	weight   float64
	tag      float64 // virtual start time of the flow's next call
	estimate float64 // expected cost of a call in seconds
	items    []T
	inFlight int
	lastUsed time.Time
	// emptyAt is when the flow's queue was last empty.
	emptyAt time.Time
	// prev and next link the idle flows, the longest idle first.
	prev, next *Flow[T, S]
	idle       bool
}

// Account returns the account that the flow belongs to.
func (f *Flow[T, S]) Account() model.Account { return f.account }

// Weight returns the flow's weight; at least 1.
func (f *Flow[T, S]) Weight() float64 { return f.weight }

// InFlight returns the number of started calls that are not finished.
func (f *Flow[T, S]) InFlight() int { return f.inFlight }

// Queued returns the number of calls that wait.
func (f *Flow[T, S]) Queued() int { return len(f.items) }

// Estimate returns the expected cost of one call of the flow.
func (f *Flow[T, S]) Estimate() time.Duration {
	return time.Duration(f.estimate * float64(time.Second))
}

// DecayEstimate lowers the cost estimate by one step. Use it when a call was
// turned away because of the estimate, so that a wrong estimate, which no
// finished call can correct, does not last.
func (f *Flow[T, S]) DecayEstimate() { f.estimate -= f.estimate * estimateGain }

// BacklogAge returns the time for which the flow's queue was never empty.
func (f *Flow[T, S]) BacklogAge(now time.Time) time.Duration {
	if len(f.items) == 0 {
		return 0
	}
	return now.Sub(f.emptyAt)
}

// charge moves the flow's virtual time by a cost in seconds.
func (f *Flow[T, S]) charge(cost float64) { f.tag += cost / f.weight }

func (f *Flow[T, S]) active() bool { return f.inFlight > 0 || len(f.items) > 0 }

func (f *Flow[T, S]) removeAt(i int) T {
	item := f.items[i]
	copy(f.items[i:], f.items[i+1:])
	var zero T
	f.items[len(f.items)-1] = zero
	f.items = f.items[:len(f.items)-1]
	return item
}
