package dispatch

import (
	"math"
	"time"

	"zinniafall/policy/fairqueue"
	"zinniafall/policy/problem"
)

// Bulk calls, such as uploads, leave slots free for the other calls, as many as those are
// likely to need soon. While the body of a bulk call travels, no further bulk call gets its
// slot, but any other call may.

const (
	// minBulkSlots and minBulkDivisor bound the slots of bulk calls from below: by this
	// number, and by this part of the limit.
	minBulkSlots   = 2
	minBulkDivisor = 6
	// shortAbsence is the time without other calls after which bulk calls may take all
	// slots.
	shortAbsence = time.Second
	// maxBulkHold bounds the wait of a bulk call for a target of its entry's failure domain
	// while other domains may have free slots. With their long objective bulk calls would
	// wait for two seconds, and be late in the other domain.
	maxBulkHold = 300 * time.Millisecond
)

// bulk is the state of the bulk calls of a target.
type bulk struct {
	running int
	// awaited are the calls whose body travels, and arrived the number of those that
	// wait for a slot with their body here.
	awaited map[Ticket]queuedCall
	arrived int
	// shortUsage is the number of slots of other calls, shortRunning those held now, and
	// lastShort the time of the last such call.
	shortUsage   fairqueue.Usage
	shortRunning int
	lastShort    time.Time
}

// bulkMinimum returns the number of slots that bulk calls may hold whatever the load of the
// other calls is.
func (o *Owner) bulkMinimum(now time.Time) int {
	limit := max(o.limit(now), 1)
	return min(max(minBulkSlots, limit/minBulkDivisor), limit)
}

// shortHeadroom returns the number of slots that a bulk call leaves free for other calls:
// the standard deviation of their number in flight, which for calls that arrive at random is
// the square root of its mean. Twice that served short calls no better in the replays, and a
// quarter to a third of the uploads less.
func (o *Owner) shortHeadroom(now time.Time) int {
	if now.Sub(o.bulk.lastShort) >= shortAbsence {
		return 0
	}
	mean := o.bulk.shortUsage.At(now, o.bulk.shortRunning, usageTimeConstant)
	return int(math.Ceil(math.Sqrt(mean)))
}

// bulkAllows reports whether a bulk call may take a free slot.
func (o *Owner) bulkAllows(now time.Time, q queuedCall) bool {
	bodies := len(o.bulk.awaited) + o.bulk.arrived
	if q.arrived {
		bodies = 0 // it is one of them, and the others have no slot yet
	}
	taken := len(o.running) + bodies
	if q.AwaitsBody && (taken >= o.limit(now) || o.tokenWait(now, bodies) > 0) {
		return false
	}
	return o.bulk.running+bodies < o.bulkMinimum(now) || o.limit(now)-taken > o.shortHeadroom(now)
}

// bulkWait returns the expected time until one more bulk call may start, if bulk calls get
// half of the slots.
func (o *Owner) bulkWait(now time.Time) time.Duration {
	queued := 1
	for _, q := range o.queue {
		if q.Bulk {
			queued++
		}
	}
	return time.Duration(queued) * o.meanRunningTime() / time.Duration(max(o.bulkMinimum(now), o.limit(now)/2))
}

// startClass and endClass record that a call takes or releases a slot.
func (b *bulk) startClass(now time.Time, isBulk bool) {
	if isBulk {
		b.running++
		return
	}
	b.shortUsage.Advance(now, b.shortRunning, usageTimeConstant)
	b.shortRunning++
}

func (b *bulk) endClass(now time.Time, isBulk bool) {
	if isBulk {
		b.running--
		return
	}
	b.shortUsage.Advance(now, b.shortRunning, usageTimeConstant)
	b.shortRunning--
}

// BodyArrived requests the slot of a call with AwaitsBody that was started. The result is
// that of Offer, but the call has no other target any more: it is queued unless its target
// cannot serve it.
func (o *Owner) BodyArrived(now time.Time, t Ticket) (start bool, refusal *problem.Error) {
	q, ok := o.bulk.awaited[t]
	if !ok {
		return false, deadlineProblem()
	}
	delete(o.bulk.awaited, t)
	q.AwaitsBody, q.Elsewhere, q.Hold, q.arrived, q.offered = false, false, false, true, now
	return o.offer(now, q)
}
