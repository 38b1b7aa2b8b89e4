package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

var start = time.Unix(1_000_000, 0)

func ready(slots int) *Owner {
	o := New()
	o.SetGate(start, GateAbsent, false)
	o.SetSlots(start, slots)
	return o
}

func call(t Ticket, priority int, wait time.Duration) Call {
	return Call{Ticket: t, Priority: priority, Deadline: start.Add(time.Minute), Wait: wait}
}

func TestCallsInFlightStayUnderTheKnee(t *testing.T) {
	for slots, want := range map[int]int{12: 9, 6: 5, 1: 1} {
		o := ready(slots)
		started := 0
		for i := range 2 * slots {
			if ok, _ := o.Offer(start, call(Ticket(i), 0, 0)); ok {
				started++
			}
		}
		qt.Assert(t, started, qt.Equals, want, qt.Commentf("%d slots", slots))
	}
}

func TestQueueServesTheHighestPriorityFirst(t *testing.T) {
	o := ready(1)
	ok, _ := o.Offer(start, call(1, 2, 0))
	qt.Assert(t, ok, qt.IsTrue)
	for ticket, priority := range map[Ticket]int{2: 2, 3: 0, 4: 1} {
		ok, refusal := o.Offer(start, call(ticket, priority, time.Second))
		qt.Assert(t, ok, qt.IsFalse)
		qt.Assert(t, refusal == nil, qt.IsTrue)
	}
	var order []Ticket
	for last := Ticket(1); len(order) < 3; last = order[len(order)-1] {
		for _, r := range o.Finish(start, last, false) {
			order = append(order, r.Ticket)
		}
	}
	qt.Assert(t, order, qt.DeepEquals, []Ticket{3, 4, 2})
}

func TestColdTargetGetsItsRateInEverySecond(t *testing.T) {
	const rate = 29.0
	o := ready(100)
	o.SetColdRate(rate)
	o.SetCold(start, time.Minute)
	var starts []time.Time
	ticket := Ticket(0)
	for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(time.Millisecond) {
		ticket++
		if ok, _ := o.Offer(now, Call{Ticket: ticket, Deadline: now.Add(time.Minute)}); ok {
			starts = append(starts, now)
			o.Finish(now, ticket, false)
		}
	}
	for i, from := range starts {
		n := 0
		for _, s := range starts[i:] {
			if s.Sub(from) < time.Second {
				n++
			}
		}
		qt.Assert(t, float64(n) <= rate*1.5+5, qt.IsTrue, qt.Commentf("%d calls in one second", n))
	}
	qt.Assert(t, len(starts) > int(5*rate*0.8), qt.IsTrue, qt.Commentf("%d calls in five seconds", len(starts)))
}

func TestClosedGateRefusesWhatWaits(t *testing.T) {
	o := ready(1)
	_, _ = o.Offer(start, call(1, 0, 0))
	_, refusal := o.Offer(start, call(2, 0, time.Second))
	qt.Assert(t, refusal == nil, qt.IsTrue)
	releases := o.SetGate(start, GateDraining, true)
	qt.Assert(t, releases, qt.HasLen, 1)
	qt.Assert(t, releases[0].Refusal.Kind, qt.Equals, problem.Draining)
	qt.Assert(t, releases[0].Refusal.Run, qt.Equals, model.RunNo)
}

func TestHopelessCallIsRefusedAtOnce(t *testing.T) {
	o := ready(4)
	_, _ = o.Offer(start, call(1, 0, 0))
	o.Finish(start.Add(time.Second), 1, true)
	now := start.Add(time.Second)
	_, refusal := o.Offer(now, Call{Ticket: 2, Deadline: now.Add(100 * time.Millisecond), Wait: time.Second})
	qt.Assert(t, refusal != nil, qt.IsTrue)
	qt.Assert(t, refusal.Kind, qt.Equals, problem.DeadlineExceeded)
}

func TestQueuedCallIsRefusedWhenItsWaitEnds(t *testing.T) {
	o := ready(1)
	_, _ = o.Offer(start, call(1, 0, 0))
	_, refusal := o.Offer(start, call(2, 0, 80*time.Millisecond))
	qt.Assert(t, refusal == nil, qt.IsTrue)
	qt.Assert(t, o.Tick(start.Add(79*time.Millisecond)), qt.HasLen, 0)
	releases := o.Tick(start.Add(80 * time.Millisecond))
	qt.Assert(t, releases, qt.HasLen, 1)
	qt.Assert(t, releases[0].Refusal != nil, qt.IsTrue)
}

func TestSlowTargetTurnsAwayWhatMayGoElsewhere(t *testing.T) {
	o := ready(12)
	o.Read(start, Reading{Pace: 5})
	c := call(1, 0, time.Second)
	c.Elsewhere = true
	_, refusal := o.Offer(start, c)
	qt.Assert(t, refusal != nil, qt.IsTrue)
	c.Elsewhere = false
	ok, _ := o.Offer(start, c)
	qt.Assert(t, ok, qt.IsTrue)
	ok, _ = o.Offer(start.Add(paceAge+time.Millisecond), Call{Ticket: 3, Deadline: start.Add(time.Minute), Elsewhere: true})
	qt.Assert(t, ok, qt.IsTrue)
}

func TestWorkOfAnotherSenderTakesSlots(t *testing.T) {
	o := ready(12)
	o.Read(start, Reading{Running: 8, Slots: 12})
	started := 0
	for i := range 12 {
		if ok, _ := o.Offer(start, call(Ticket(i), 0, 0)); ok {
			started++
		}
	}
	qt.Assert(t, started, qt.Equals, 1)
}
