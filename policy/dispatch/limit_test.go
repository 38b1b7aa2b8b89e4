package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// limitWindow is the time over which the starts of a limited target are counted.
const limitWindow = 4 * time.Second

// mostStarts returns the highest number of starts in any window.
func mostStarts(starts []time.Time) int {
	most := 0
	for i, from := range starts {
		n := 0
		for _, s := range starts[i:] {
			if s.Sub(from) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Replays the load of the incident LIMIT: 33 calls a second at a target of 12 slots,
// which then states 11.5 a second.
func TestCallsToALimitedTargetStayWithinItsLimit(t *testing.T) {
	const limit, callsPerSecond, serviceTime = 11.5, 33, 100 * time.Millisecond
	o := warmOwner(12)
	var starts []time.Time
	ends := map[Ticket]time.Time{}
	begin := func(now time.Time, ticket Ticket) {
		ends[ticket] = now.Add(serviceTime)
		if now.Sub(start) >= time.Second {
			starts = append(starts, now)
		}
	}
	decide := func(now time.Time, decisions []Decision) {
		for _, d := range decisions {
			if d.Refusal == nil {
				begin(now, d.Ticket)
			}
		}
	}
	ticket := Ticket(0)
	for now := start; now.Before(start.Add(12 * time.Second)); now = now.Add(time.Millisecond) {
		if now.Sub(start) >= time.Second {
			o.RecordStatement(now, Statement{Limit: limit, SentAt: now})
		}
		for finished, at := range ends {
			if !now.Before(at) {
				delete(ends, finished)
				decide(now, o.Finish(now, finished, true))
			}
		}
		decide(now, o.Tick(now))
		if now.Sub(start)%(time.Second/callsPerSecond) < time.Millisecond {
			ticket++
			if ok, _ := o.Offer(now, Call{Ticket: ticket, Deadline: now.Add(800 * time.Millisecond), Objective: now.Add(300 * time.Millisecond)}); ok {
				begin(now, ticket)
			}
		}
	}
	most := mostStarts(starts)
	qt.Assert(t, float64(most) <= limit*limitWindow.Seconds()+1, qt.IsTrue, qt.Commentf("%d starts in %s", most, limitWindow))
	qt.Assert(t, float64(most) >= 0.9*limit*limitWindow.Seconds(), qt.IsTrue, qt.Commentf("%d starts in %s", most, limitWindow))
}
