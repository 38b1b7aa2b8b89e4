package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
	"zinniafall/policy/statedlimit"
)

// limitedOwner returns a warm owner whose target has just stated a limit, with no call
// in flight.
func limitedOwner(limit float64) *Owner {
	o := warmOwner(12)
	o.Offer(start, Call{Ticket: 1})
	o.RecordLimit(start, 1, statedlimit.Statement{Limit: limit, SentAt: start})
	o.Finish(start, 1, Outcome{Completed, time.Millisecond})
	return o
}

func TestCallsToALimitedTargetStayWithinItsLimit(t *testing.T) {
	for limit, want := range map[float64]int{0: 0, 0.5: 4, 10: 93, 100: 940} {
		o, started := limitedOwner(limit), 0
		for ms := range 10_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			ticket := Ticket(ms + 2)
			for _, r := range o.Tick(now) {
				if r.Refusal == nil {
					started++
					o.Finish(now, r.Ticket, Outcome{Completed, time.Millisecond})
				}
			}
			if d := o.Offer(now, Call{Ticket: ticket, Deadline: now.Add(time.Second)}); d.Verdict == Start {
				started++
				o.Finish(now, ticket, Outcome{Completed, time.Millisecond})
			}
		}
		qt.Check(t, started <= want+1 && started >= want*9/10, qt.IsTrue, qt.Commentf("%g a second: %d", limit, started))
	}
}

func TestRefusalByAStatedLimitIsNotRunAndSaysWhenToReturn(t *testing.T) {
	o := limitedOwner(0.1)
	d := o.Offer(start, Call{Ticket: 2, Deadline: start.Add(time.Second)})
	qt.Assert(t, d.Verdict, qt.Equals, Refuse)
	qt.Assert(t, d.Refusal.Run, qt.Equals, model.RunNo)
	qt.Assert(t, d.Refusal.RetryAfter, qt.Equals, maxReturnTime)
	qt.Assert(t, o.Report(start).StartsIn > time.Second, qt.IsTrue)
	qt.Assert(t, o.State(), qt.Equals, model.TargetWarm)
}

func TestLimitOfAFormerInstanceDoesNotHold(t *testing.T) {
	o := limitedOwner(0.1)
	o.Announce(start, Announcement{Instance: "two", Slots: 12, Lease: time.Minute})
	qt.Assert(t, o.StatedLimit(), qt.Equals, statedlimit.Unlimited)
	// Nor does one that a call of the former instance brings later.
	o = warmOwner(12)
	o.Offer(start, Call{Ticket: 1})
	o.Announce(start, Announcement{Instance: "two", Slots: 12, Lease: time.Minute})
	o.RecordLimit(start, 1, statedlimit.Statement{Limit: 1, SentAt: start})
	qt.Assert(t, o.StatedLimit(), qt.Equals, statedlimit.Unlimited)
	o.RecordLeaving(start, 1)
	qt.Assert(t, o.State(), qt.Not(qt.Equals), model.TargetDraining)
}

// An instance that left is not used again when its lease has ended and an announcement
// that was on its way arrives.
func TestInstanceThatLeftIsNotUsedAgain(t *testing.T) {
	for name, leave := range map[string]func(o *Owner){
		"drain":    func(o *Owner) { o.Drain(start) },
		"withdraw": func(o *Owner) { o.Withdraw(start) },
		"answer": func(o *Owner) {
			o.Offer(start, Call{Ticket: 1})
			o.RecordLeaving(start, 1)
			o.Finish(start, 1, Outcome{Completed, time.Millisecond})
		},
	} {
		o := New(Options{})
		announcement := Announcement{Instance: "one", Slots: 4, Lease: time.Second}
		o.Announce(start, announcement)
		leave(o)
		late := start.Add(2 * time.Second)
		o.Tick(late)
		o.Announce(late, announcement)
		qt.Check(t, o.Offer(late, Call{Ticket: 9}).Verdict, qt.Equals, Refuse, qt.Commentf("%s", name))
		announcement.Instance = "two"
		o.Announce(late, announcement)
		qt.Check(t, o.Offer(late, Call{Ticket: 10}).Verdict, qt.Equals, Start, qt.Commentf("%s", name))
	}
}
