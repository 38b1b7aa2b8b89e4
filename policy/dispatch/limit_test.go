package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/statedlimit"
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
			_, decisions := o.RecordStatement(now, statedlimit.Statement{Limit: limit, SentAt: now})
			decide(now, decisions)
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

func limitedOwner(limit float64) *Owner {
	o := warmOwner(12)
	o.RecordStatement(start, statedlimit.Statement{Limit: limit, SentAt: start})
	return o
}

func TestLimitBelowOneASecondDoesWhatItSays(t *testing.T) {
	for limit, want := range map[float64]int{0: 0, 0.2: 7, 1: 37} {
		o, started := limitedOwner(limit), 0
		for ms := range 40_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			ok, _ := o.Offer(now, Call{Ticket: Ticket(ms), Elsewhere: true, Deadline: now.Add(time.Second), Objective: now.Add(time.Second)})
			if ok {
				started++
				o.Finish(now, Ticket(ms), true)
			}
		}
		qt.Check(t, started, qt.Equals, want, qt.Commentf("%g a second", limit))
	}
}

func TestLimitedTargetFeelsNoBurstAfterAPause(t *testing.T) {
	o := limitedOwner(10)
	now, started := start.Add(time.Minute), 0
	for i := range 20 {
		if ok, _ := o.Offer(now, Call{Ticket: Ticket(i), Elsewhere: true, Deadline: now.Add(time.Second), Objective: now.Add(time.Second)}); ok {
			started++
		}
	}
	qt.Assert(t, started, qt.Equals, 1)
}

func TestColdAndLimitedTargetIsBoundByBoth(t *testing.T) {
	for _, c := range []struct{ cold, limit float64 }{{5, 50}, {50, 5}} {
		o := New(Options{})
		o.SetGate(start, GateAbsent, false)
		o.SetSlots(start, 100)
		o.SetColdRate(c.cold)
		o.SetCold(start, time.Minute)
		o.RecordStatement(start, statedlimit.Statement{Limit: c.limit, SentAt: start})
		started := 0
		for ms := range 10_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if ok, _ := o.Offer(now, Call{Ticket: Ticket(ms), Elsewhere: true, Deadline: now.Add(time.Second), Objective: now.Add(time.Second)}); ok {
				started++
				o.Finish(now, Ticket(ms), true)
			}
		}
		qt.Check(t, started > 40 && started <= 51, qt.IsTrue, qt.Commentf("%+v: %d", c, started))
	}
}

// Calls that wait are decided anew when the limit is raised, lowered or withdrawn.
func TestWaitingCallsFollowTheLimit(t *testing.T) {
	wait := func(ms int) Call {
		return Call{Ticket: Ticket(ms), Deadline: start.Add(5 * time.Second), Objective: start.Add(4 * time.Second)}
	}
	queued := func(limit float64) *Owner {
		o := limitedOwner(limit)
		for i := range 3 {
			ok, refusal := o.Offer(start, wait(i))
			qt.Assert(t, ok || refusal != nil, qt.IsFalse)
		}
		return o
	}
	later := start.Add(100 * time.Millisecond)
	_, decisions := queued(2).RecordStatement(later, statedlimit.Statement{Limit: statedlimit.Unlimited, SentAt: later})
	qt.Assert(t, decisions, qt.HasLen, 3)
	for _, d := range decisions {
		qt.Assert(t, d.Refusal == nil, qt.IsTrue)
	}
	_, decisions = queued(2).RecordStatement(later, statedlimit.Statement{Limit: 0.1, SentAt: later})
	qt.Assert(t, decisions, qt.HasLen, 3)
	for _, d := range decisions {
		qt.Assert(t, d.Refusal.Kind, qt.Equals, problem.Overloaded)
		qt.Assert(t, d.Refusal.Run, qt.Equals, model.RunNo)
	}
	o := queued(2)
	o.RecordStatement(later, statedlimit.Statement{Limit: 1000, SentAt: later})
	qt.Assert(t, o.Tick(later.Add(5*time.Millisecond)), qt.HasLen, 3)
}

// A call that another target may take does not wait for a limited one, and a call that
// cannot be served in time is refused at once, also when a more urgent one displaces it.
func TestLimitedTargetRefusesWhatItCannotServeInTime(t *testing.T) {
	o := limitedOwner(2)
	elsewhere := Call{Ticket: 1, Elsewhere: true, Hold: true, Deadline: start.Add(5 * time.Second), Objective: start.Add(5 * time.Second)}
	ok, refusal := o.Offer(start, elsewhere)
	qt.Assert(t, !ok && refusal != nil, qt.IsTrue)
	// One call may start before 900 ms.
	low := Call{Ticket: 2, Priority: 2, Deadline: start.Add(1200 * time.Millisecond), Objective: start.Add(900 * time.Millisecond)}
	ok, refusal = o.Offer(start, low)
	qt.Assert(t, !ok && refusal == nil, qt.IsTrue)
	second := low
	second.Ticket = 3
	ok, refusal = o.Offer(start, second)
	qt.Assert(t, !ok && refusal != nil, qt.IsTrue)
	urgent := low
	urgent.Ticket, urgent.Priority = 4, 0
	ok, refusal = o.Offer(start, urgent)
	qt.Assert(t, !ok && refusal == nil, qt.IsTrue)
	decisions := o.Tick(start)
	qt.Assert(t, decisions, qt.HasLen, 1)
	qt.Assert(t, decisions[0].Ticket, qt.Equals, Ticket(2))
	qt.Assert(t, decisions[0].Refusal.Kind, qt.Equals, problem.Overloaded)
}

func TestRefusedCallsReturnOneByOne(t *testing.T) {
	o := limitedOwner(10)
	var last time.Duration
	for i := range 20 {
		_, refusal := o.Offer(start, Call{Ticket: Ticket(i), Deadline: start.Add(500 * time.Millisecond), Objective: start.Add(50 * time.Millisecond)})
		if refusal == nil {
			continue
		}
		qt.Assert(t, refusal.RetryAfter > last || refusal.RetryAfter == maxRetryAfter, qt.IsTrue, qt.Commentf("%s after %s", refusal.RetryAfter, last))
		last = refusal.RetryAfter
	}
	qt.Assert(t, last > time.Second, qt.IsTrue)
}

func TestLimitDoesNotMakeATargetLookSlowOrDown(t *testing.T) {
	o := limitedOwner(1)
	for i := range 50 {
		o.Offer(start, Call{Ticket: Ticket(i), Elsewhere: true, Deadline: start.Add(time.Second), Objective: start.Add(time.Second)})
	}
	r := o.Report(start)
	qt.Assert(t, r.State, qt.Equals, model.TargetWarm)
	qt.Assert(t, r.Limit, qt.Equals, uint16(1))
	qt.Assert(t, r.ServiceTime, qt.Equals, time.Duration(0))
	qt.Assert(t, r.StartsIn > time.Second, qt.IsTrue)
}

func TestHealthRequestsToALimitedTargetAreRare(t *testing.T) {
	for limit, want := range map[float64]time.Duration{
		statedlimit.Unlimited: 20 * time.Millisecond, 1000: statedlimit.MinHealthInterval, 16: time.Second, 1: statedlimit.MaxHealthInterval, 0: statedlimit.MaxHealthInterval,
	} {
		qt.Check(t, limitedOwner(limit).HealthInterval(20*time.Millisecond), qt.Equals, want, qt.Commentf("%g", limit))
	}
}

func TestUnprovenTargetGetsOneCallAtATime(t *testing.T) {
	o := warmOwner(12)
	o.SetUnproven(start, true)
	offer := func(ticket Ticket) bool {
		ok, _ := o.Offer(start, Call{Ticket: ticket, Elsewhere: true, Deadline: start.Add(time.Second), Objective: start.Add(time.Second)})
		return ok
	}
	qt.Assert(t, offer(1), qt.IsTrue)
	qt.Assert(t, offer(2), qt.IsFalse)
	qt.Assert(t, o.Report(start).Limit, qt.Equals, uint16(1))
	o.SetUnproven(start, false)
	qt.Assert(t, offer(3), qt.IsTrue)
}
