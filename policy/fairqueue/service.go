package fairqueue

import "time"

// Start records that a call of the flow takes a slot and charges the flow its
// estimated cost. It returns the charged cost, which must be passed to Finish.
func (q *Queue[T, S]) Start(f *Flow[T, S]) (charged time.Duration) {
	if !f.active() {
		f.startTag = max(f.startTag, q.virtualTime)
	}
	q.removeIdle(f)
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.charge(f.costEstimate)
	q.maxFinishTag = max(q.maxFinishTag, f.startTag)
	f.inFlight++
	q.inFlight++
	return f.EstimatedCost()
}

// Finish records that a call released its slot, and replaces the cost that
// Start charged by the actual one.
func (q *Queue[T, S]) Finish(f *Flow[T, S], charged, cost time.Duration) {
	f.charge((cost - charged).Seconds())
	q.maxFinishTag = max(q.maxFinishTag, f.startTag)
	f.costEstimate += estimateGain * (cost.Seconds() - f.costEstimate)
	q.meanCost += estimateGain * (cost.Seconds() - q.meanCost)
	f.inFlight--
	q.inFlight--
	if !f.active() {
		q.appendIdle(f)
	}
	if q.inFlight == 0 && q.queued == 0 {
		q.virtualTime = max(q.virtualTime, q.maxFinishTag)
	}
}

// appendIdle appends the flow to the list of idle flows.
func (q *Queue[T, S]) appendIdle(f *Flow[T, S]) {
	if f.idle {
		return
	}
	f.idle = true
	f.prev, f.next = q.newestIdle, nil
	if q.newestIdle != nil {
		q.newestIdle.next = f
	} else {
		q.oldestIdle = f
	}
	q.newestIdle = f
}

// removeIdle removes the flow from the list of idle flows if it is in it.
func (q *Queue[T, S]) removeIdle(f *Flow[T, S]) {
	if !f.idle {
		return
	}
	f.idle = false
	if f.prev != nil {
		f.prev.next = f.next
	} else {
		q.oldestIdle = f.next
	}
	if f.next != nil {
		f.next.prev = f.prev
	} else {
		q.newestIdle = f.prev
	}
	f.prev, f.next = nil, nil
}

// evictionScanLimit bounds the number of idle flows that one eviction pass
// examines.
const evictionScanLimit = 4

// evictIdle evicts flows that have been idle for IdleTimeout and whose tag is
// not ahead of the virtual time. If the queue is still at MaxFlows, it evicts
// the flow with the least debt among the longest idle ones: an account must not
// lose its debt by the calls of a few others.
func (q *Queue[T, S]) evictIdle(now time.Time) {
	for range evictionScanLimit {
		f := q.oldestIdle
		if f == nil || now.Sub(f.lastUsed) < q.options.IdleTimeout {
			break
		}
		if f.startTag > q.virtualTime {
			q.removeIdle(f)
			q.appendIdle(f)
			continue
		}
		q.evict(f)
	}
	if len(q.flows) >= q.options.MaxFlows && q.oldestIdle != nil {
		q.evict(q.leastInDebt())
	}
}

// leastInDebt returns the flow with the lowest start tag among the
// evictionScanLimit longest idle ones.
func (q *Queue[T, S]) leastInDebt() *Flow[T, S] {
	best := q.oldestIdle
	for f, n := best, 0; f != nil && n < evictionScanLimit; f, n = f.next, n+1 {
		if max(f.startTag, q.virtualTime) < max(best.startTag, q.virtualTime) {
			best = f
		}
	}
	return best
}

// EvictIdle evicts expired idle flows, a few at each call.
func (q *Queue[T, S]) EvictIdle(now time.Time) { q.evictIdle(now) }

func (q *Queue[T, S]) evict(f *Flow[T, S]) {
	q.removeIdle(f)
	q.totalWeight -= f.weight
	delete(q.flows, f.account)
}
