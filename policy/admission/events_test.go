package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/settings"
)

var start = time.Unix(1000, 0)

// warmOwner returns an owner whose target is warm with all its slots open.
func warmOwner(slots int) *Owner {
	o := New(Options{})
	o.Announce(start, Announcement{Instance: "one", Slots: slots, Lease: time.Minute})
	o.limit.open(slots)
	return o
}

// startCalls offers calls 1 to n, of four accounts in turn, at the start time.
func startCalls(o *Owner, n int) {
	for i := range n {
		o.Offer(start, Call{Ticket: Ticket(i + 1), Account: model.Account(fmt.Sprint("account", i%4))})
	}
}

// finishAll finishes calls 1 to n with the same result and returns the
// releases.
func finishAll(o *Owner, now time.Time, n int, result Result) (releases []Release) {
	for i := range n {
		releases = append(releases, o.Finish(now, Ticket(i+1), Outcome{result, 5 * time.Millisecond})...)
	}
	return releases
}

// ownerEvent is an event that a test sends to an owner.
type ownerEvent func(o *Owner) []Release

var soon = start.Add(10 * time.Millisecond)

func finishCalls(n int, result Result) ownerEvent {
	return func(o *Owner) []Release { return finishAll(o, soon, n, result) }
}

func announce(a Announcement) ownerEvent {
	return func(o *Owner) []Release { return o.Announce(soon, a) }
}

func tickAfter(after time.Duration) ownerEvent {
	return func(o *Owner) []Release { return o.Tick(start.Add(after)) }
}

func setDomainOut(out bool) ownerEvent {
	return func(o *Owner) []Release { return o.SetDomainOut(soon, out) }
}

func fresh(fresh bool) ownerEvent {
	return func(o *Owner) []Release { return o.SetFresh(soon, fresh) }
}

func drain(o *Owner) []Release        { return o.Drain(soon) }
func withdraw(o *Owner) []Release     { return o.Gone(soon) }
func stopNode(o *Owner) []Release     { return o.SetStopping(soon) }
func abandonFirst(o *Owner) []Release { return o.Abandon(soon, 1) }

// stall simulates calls that have run for 90 ms at a target whose calls
// normally take 1 ms.
func stall(o *Owner) []Release {
	o.latency.hasReference = true
	o.latency.spread = moments{count: 10 * minBaselineSamples, variance: 1}
	for i := range o.running {
		o.running[i].flow.State.latency = latencyBaseline{0, minAccountSamples, logSeconds(time.Millisecond)}
	}
	return o.Tick(start.Add(90 * time.Millisecond))
}

// TestStateAfterEvents sends events to the owner of a target with four slots
// that runs four calls while a fifth is queued, and checks the target's state,
// the limit, the queued call and a call offered afterwards.
func TestStateAfterEvents(t *testing.T) {
	const waits, starts problem.Kind = "waits", ""
	const hour = time.Hour
	tests := []struct {
		name    string
		events  []ownerEvent
		at      time.Duration // when the last call is offered, after start
		state   model.TargetState
		limit   int
		queued  problem.Kind // refusal of the queued call
		offered problem.Kind // refusal of the call offered last
	}{
		{"a call completes", []ownerEvent{finishCalls(1, Completed)}, 0, model.TargetWarm, 4, starts, ""},
		{"a call fails", []ownerEvent{finishCalls(1, Failed)}, 0, model.TargetWarm, 4, starts, ""},
		{"a call in flight is abandoned", []ownerEvent{abandonFirst}, 0, model.TargetWarm, 4, waits, ""},
		{"one call is shed", []ownerEvent{finishCalls(1, Shed)}, 0, model.TargetWarm, 2, waits, ""},
		{"all calls in flight are shed", []ownerEvent{finishCalls(4, Shed)}, 0, model.TargetWarm, 2, starts, ""},
		{"one crash", []ownerEvent{finishCalls(1, Crashed)}, 0, model.TargetCold, 1, waits, ""},
		{"two crashes", []ownerEvent{finishCalls(2, Crashed)}, 0, model.TargetFailing, 0, problem.Overloaded, problem.Overloaded},
		{"the target drains", []ownerEvent{drain}, 0, model.TargetDraining, 0, problem.Draining, problem.Draining},
		{"a renewal while the target drains", []ownerEvent{drain, announce(Announcement{Instance: "one", Slots: 4})}, 0, model.TargetDraining, 0, problem.Draining, problem.Draining},
		{"another process after the drain", []ownerEvent{drain, announce(Announcement{Instance: "two", Slots: 4})}, 0, model.TargetCold, 1, problem.Draining, ""},
		{"the target withdraws", []ownerEvent{withdraw}, 0, model.TargetAbsent, 0, problem.NoTarget, problem.NoTarget},
		{"the announcement expires", []ownerEvent{tickAfter(time.Minute)}, time.Minute, model.TargetAbsent, 0, problem.NoTarget, problem.NoTarget},
		{"a paused node resumes after the announcement expired", nil, hour, model.TargetAbsent, 0, waits, problem.NoTarget},
		{"the failure domain goes out of service", []ownerEvent{setDomainOut(true)}, 0, model.TargetWarm, 4, problem.DomainOut, problem.DomainOut},
		{"the failure domain returns to service", []ownerEvent{setDomainOut(true), setDomainOut(false)}, 0, model.TargetCold, 1, problem.DomainOut, ""},
		{"the node stops", []ownerEvent{stopNode}, 0, model.TargetWarm, 4, problem.Draining, problem.Draining},
		{"the node's view is stale", []ownerEvent{fresh(false)}, 0, model.TargetWarm, 4, problem.NotFresh, problem.NotFresh},
		{"the node's view is stale, then fresh", []ownerEvent{fresh(false), fresh(true)}, 0, model.TargetWarm, 4, problem.NotFresh, ""},
		{"a new process reports warm", []ownerEvent{announce(Announcement{Instance: "two", Slots: 4})}, 0, model.TargetCold, 1, waits, ""},
		{"a renewal reports cold", []ownerEvent{announce(Announcement{Instance: "one", Slots: 4, Cold: true})}, 0, model.TargetCold, 1, waits, ""},
		{"fewer connections than slots", []ownerEvent{announce(Announcement{Instance: "one", Slots: 400, Connections: 3})}, 0, model.TargetWarm, 3, waits, ""},
		{"the old process's connections break", []ownerEvent{announce(Announcement{Instance: "two", Slots: 4}), finishCalls(4, Crashed)}, 0, model.TargetCold, 1, starts, ""},
		{"a queued call exceeds the maximum wait", []ownerEvent{tickAfter(DefaultMaxWait)}, 0, model.TargetWarm, 4, problem.Overloaded, ""},
		{"the target completes nothing", []ownerEvent{stall}, 0, model.TargetCold, 1, waits, ""},
		{"two crashes while the target drains", []ownerEvent{drain, finishCalls(2, Crashed)}, 0, model.TargetDraining, 0, problem.Draining, problem.Draining},
		{"two crashes, then a new process", []ownerEvent{finishCalls(2, Crashed), announce(Announcement{Instance: "two", Slots: 4})}, 0, model.TargetCold, 1, problem.Overloaded, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := warmOwner(4)
			startCalls(o, 4)
			qt.Assert(t, o.Offer(start, Call{Ticket: 5, Account: "account4"}).Verdict, qt.Equals, Wait)
			var releases []Release
			for _, e := range test.events {
				releases = append(releases, e(o)...)
			}
			d := o.Offer(start.Add(max(test.at, 10*time.Millisecond)), Call{Ticket: 6, Account: "account5"})
			qt.Assert(t, o.State(), qt.Equals, test.state)
			qt.Assert(t, o.limit.limit, qt.Equals, test.limit)
			qt.Assert(t, kindOf(d.Refusal), qt.Equals, test.offered)
			if test.queued == waits {
				qt.Assert(t, releases, qt.HasLen, 0)
				return
			}
			qt.Assert(t, releases, qt.HasLen, 1)
			qt.Assert(t, releases[0].Ticket, qt.Equals, Ticket(5))
			qt.Assert(t, kindOf(releases[0].Refusal), qt.Equals, test.queued)
		})
	}
}

func kindOf(p *problem.Error) problem.Kind {
	if p == nil {
		return ""
	}
	return p.Kind
}

// TestOffer offers a call to a target with two slots.
func TestOffer(t *testing.T) {
	tests := []struct {
		name    string
		running []Call
		call    Call
		verdict Verdict
		kind    problem.Kind
	}{
		{name: "idle", verdict: Start},
		{name: "expired", call: Call{Deadline: start}, verdict: Refuse, kind: problem.DeadlineExceeded},
		{name: "no slot", running: []Call{{Account: "a"}, {Account: "b"}}, verdict: Wait},
		{name: "no slot before the deadline", running: []Call{{Account: "a"}, {Account: "b"}},
			call: Call{Deadline: start.Add(6 * time.Millisecond)}, verdict: Refuse, kind: problem.Overloaded},
		{name: "no time to finish", running: []Call{{Account: "a"}},
			call: Call{Deadline: start.Add(4 * time.Millisecond)}, verdict: Refuse, kind: problem.DeadlineExceeded},
		{name: "too little time but nothing in flight", call: Call{Deadline: start.Add(time.Millisecond)}, verdict: Start},
		{name: "account limit", running: []Call{{Account: "limited"}}, call: Call{Account: "limited"}, verdict: Wait},
		{name: "account limit and a deadline", running: []Call{{Account: "limited"}},
			call: Call{Account: "limited", Deadline: start.Add(6 * time.Millisecond)}, verdict: Refuse, kind: problem.AccountLimit},
		{name: "isolated", running: []Call{{Account: "a"}}, call: Call{Isolated: true}, verdict: Start},
		{name: "second isolated", running: []Call{{Account: "a", Isolated: true}}, call: Call{Isolated: true}, verdict: Wait},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := warmOwner(2)
			o.SetAccounts(func(a model.Account) settings.Account {
				if a == "limited" {
					return settings.Account{Concurrency: 1}
				}
				return settings.Account{}
			})
			for i, c := range test.running {
				c.Ticket = Ticket(i + 1)
				qt.Assert(t, o.Offer(start, c).Verdict, qt.Equals, Start)
			}
			test.call.Ticket = 9
			d := o.Offer(start, test.call)
			qt.Assert(t, d.Verdict, qt.Equals, test.verdict)
			qt.Assert(t, kindOf(d.Refusal), qt.Equals, test.kind)
			if d.Refusal != nil {
				qt.Assert(t, d.Refusal.Run, qt.Equals, model.RunNo)
				qt.Assert(t, d.Refusal.RetryAfter > 0, qt.Equals, test.kind != problem.DeadlineExceeded)
			}
		})
	}
}

// serve offers n calls one after the other, finishes those that start, and
// returns the time afterwards.
func serve(o *Owner, now time.Time, n int, account model.Account, result Result, service time.Duration) time.Time {
	for range n {
		ticket := Ticket(now.UnixNano())
		if o.Offer(now, Call{Ticket: ticket, Account: account}).Verdict == Start {
			now = now.Add(service)
			o.Finish(now, ticket, Outcome{result, service})
		}
		now = now.Add(time.Millisecond)
	}
	return now
}

func TestTimeAloneDoesNotIncreaseLimit(t *testing.T) {
	o := New(Options{})
	o.Announce(start, Announcement{Instance: "one", Slots: 12, Cold: true, Lease: 2 * time.Hour})
	o.Tick(start.Add(time.Hour))
	qt.Assert(t, o.limit.limit, qt.Equals, initialLimit)
	now := serve(o, start.Add(time.Hour), minGoodCompletions*reportedColdFactor, "a", Failed, 5*time.Millisecond)
	qt.Assert(t, o.limit.limit <= initialLimit, qt.IsTrue)
	o.Announce(now, Announcement{Instance: "two", Slots: 12, Cold: true})
	serve(o, now, minGoodCompletions*reportedColdFactor, "a", Completed, 5*time.Millisecond)
	qt.Assert(t, o.limit.limit, qt.Equals, initialLimit+1)
}

// TestFailingTargetIsRetriedWithBackoff checks that a target whose calls fail
// at once gets no calls for a time that doubles with each failed retry, and
// that probation ends only after the completions of a cold start.
func TestFailingTargetIsRetriedWithBackoff(t *testing.T) {
	o := warmOwner(4)
	now := serve(o, start, failuresToTrip, "a", Failed, time.Microsecond)
	qt.Assert(t, o.State(), qt.Equals, model.TargetFailing)
	qt.Assert(t, o.Report(now).Limit, qt.Equals, uint16(0))
	for _, openTime := range []time.Duration{DefaultOpenTime, 2 * DefaultOpenTime, 4 * DefaultOpenTime} {
		qt.Assert(t, o.breaker.remaining(now) > openTime*9/10, qt.IsTrue)
		now = o.breaker.openUntil
		o.Tick(now)
		qt.Assert(t, o.State(), qt.Equals, model.TargetCold)
		now = serve(o, now, 10, "a", Failed, time.Microsecond)
		qt.Assert(t, o.State(), qt.Equals, model.TargetFailing)
	}
	serve(o, o.breaker.openUntil, minGoodCompletions, "a", Completed, time.Millisecond)
	qt.Assert(t, o.limit.limit, qt.Equals, initialLimit+1)
	qt.Assert(t, o.breaker.onProbation, qt.IsFalse)
}

func TestFailuresOfOneAccountDoNotTripBreaker(t *testing.T) {
	o := warmOwner(4)
	now := start
	for range 20 {
		now = serve(o, now, 5, "broken", Failed, time.Millisecond)
		now = serve(o, now, 1, "sound", Completed, time.Millisecond)
	}
	qt.Assert(t, o.State(), qt.Equals, model.TargetWarm)
}

// TestTooHighCostEstimateDecays guards against locking out an account: calls
// refused because of a cost estimate that is far too high never finish and so
// cannot correct it, while another account keeps the target busy.
func TestTooHighCostEstimateDecays(t *testing.T) {
	o := warmOwner(4)
	o.Offer(start, Call{Ticket: 1, Account: "other"})
	now := serve(o, start, 8, "a", Completed, 5*time.Second)
	for i := range 100 {
		c := Call{Ticket: Ticket(100 + i), Account: "a", Deadline: now.Add(100 * time.Millisecond)}
		if o.Offer(now, c).Verdict == Start {
			return
		}
	}
	t.Fatal("none of 100 calls of the account was started")
}

func TestProbeBudgetHoldsAcrossRestarts(t *testing.T) {
	allowed := 0
	for restart := range 50 {
		o := New(Options{ProbeRate: 2})
		for tick := range 40 {
			if o.AllowProbe(start.Add(time.Duration(restart*40+tick) * 10 * time.Millisecond)) {
				allowed++
			}
		}
	}
	qt.Assert(t, allowed <= 40, qt.IsTrue, qt.Commentf("%d requests in 20 s at 2 a second", allowed))
	o := New(Options{})
	o.SetProbeRate(100)
	o.AllowProbe(start)
	qt.Assert(t, o.AllowProbe(start.Add(10*time.Millisecond)), qt.IsTrue)
}
