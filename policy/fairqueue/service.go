package fairqueue

import "time"

// Start records that a call of the flow takes a slot and charges its
// estimated cost, which it returns; Finish needs it back.
func (q *Queue[T, S]) Start(f *Flow[T, S]) (charged time.Duration) {
	if !f.active() {
		f.tag = max(f.tag, q.virtual)
	}
	q.unpark(f)
	q.virtual = max(q.virtual, f.tag)
	f.charge(f.estimate)
	q.highest = max(q.highest, f.tag)
	f.inFlight++
	q.inFlight++
	return f.Estimate()
}

// Finish records that a call gave its slot back after the cost, and corrects
// what Start charged.
func (q *Queue[T, S]) Finish(f *Flow[T, S], charged, cost time.Duration) {
	f.charge((cost - charged).Seconds())
	q.highest = max(q.highest, f.tag)
	f.estimate += estimateGain * (cost.Seconds() - f.estimate)
	q.meanCost += estimateGain * (cost.Seconds() - q.meanCost)
	f.inFlight--
	q.inFlight--
	if !f.active() {
		q.park(f)
	}
	if q.inFlight == 0 && q.queued == 0 {
		q.virtual = max(q.virtual, q.highest)
	}
}

// park appends the flow to the list of idle flows.
func (q *Queue[T, S]) park(f *Flow[T, S]) {
	if f.idle {
		return
	}
	f.idle = true
	f.prev, f.next = q.newest, nil
	if q.newest != nil {
		q.newest.next = f
	} else {
		q.oldest = f
	}
	q.newest = f
}

func (q *Queue[T, S]) unpark(f *Flow[T, S]) {
	if !f.idle {
		return
	}
	f.idle = false
	if f.prev != nil {
		f.prev.next = f.next
	} else {
		q.oldest = f.next
	}
	if f.next != nil {
		f.next.prev = f.prev
	} else {
		q.newest = f.prev
	}
	f.prev, f.next = nil, nil
}

// forgetStep bounds the idle flows that one new flow makes the queue look at.
const forgetStep = 4

// forget drops idle flows that are old and owe nothing, and the oldest idle
// one when there is no room for another flow.
func (q *Queue[T, S]) forget(now time.Time) {
	for range forgetStep {
		f := q.oldest
		if f == nil || now.Sub(f.lastUsed) < q.options.IdleTimeout {
			break
		}
		if f.tag > q.virtual {
			q.unpark(f)
			q.park(f)
			continue
		}
		q.remove(f)
	}
	if len(q.flows) >= q.options.MaxFlows && q.oldest != nil {
		q.remove(q.oldest)
	}
}

// EvictIdle forgets idle flows, a few at each call.
func (q *Queue[T, S]) EvictIdle(now time.Time) { q.forget(now) }

func (q *Queue[T, S]) remove(f *Flow[T, S]) {
	q.unpark(f)
	q.weights -= f.weight
	delete(q.flows, f.account)
}
