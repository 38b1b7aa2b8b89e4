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

// warmOwner returns an owner whose warm target has all its slots open.
func warmOwner(slots int) *Owner {
	o := New(Options{})
	o.Announce(start, Announcement{Instance: "one", Slots: slots, Lease: time.Minute})
	o.limit.open(slots)
	return o
}

// fill starts calls 1 to n of different accounts at the start time.
func fill(o *Owner, n int) {
	for i := range n {
		o.Offer(start, Call{Ticket: Ticket(i + 1), Account: model.Account(fmt.Sprint("account", i%4))})
	}
}

// finishAll ends the calls 1 to n alike and returns the releases.
func finishAll(o *Owner, now time.Time, n int, result Result) (releases []Release) {
	for i := range n {
		releases = append(releases, o.Finish(now, Ticket(i+1), Outcome{result, 5 * time.Millisecond})...)
	}
	return releases
}

// happening is something that happens to an owner.
type happening func(o *Owner) []Release

var soon = start.Add(10 * time.Millisecond)

func ends(n int, result Result) happening {
	return func(o *Owner) []Release { return finishAll(o, soon, n, result) }
}

func announces(a Announcement) happening {
	return func(o *Owner) []Release { return o.Announce(soon, a) }
}

func tick(after time.Duration) happening {
	return func(o *Owner) []Release { return o.Tick(start.Add(after)) }
}

func domain(out bool) happening {
	return func(o *Owner) []Release { return o.SetDomainOut(soon, out) }
}

func fresh(fresh bool) happening {
	return func(o *Owner) []Release { return o.SetFresh(soon, fresh) }
}

func drains(o *Owner) []Release    { return o.Drain(soon) }
func withdraws(o *Owner) []Release { return o.Gone(soon) }
func stops(o *Owner) []Release     { return o.SetStopping(soon) }
func abandons(o *Owner) []Release  { return o.Abandon(soon, 1) }

// stalls is a target that completes nothing although its calls took 1 ms.
func stalls(o *Owner) []Release {
	o.latency.known = true
	o.latency.spread = moments{count: 10 * trustedSamples, variance: 1}
	for i := range o.running {
		o.running[i].flow.State.latency = latencyHistory{0, trustedHistory, logSeconds(time.Millisecond)}
	}
	return o.Tick(start.Add(90 * time.Millisecond))
}

// TestEvents brings each event about at a target of four slots that runs four
// calls while a fifth waits.
func TestEvents(t *testing.T) {
	const waits, starts problem.Kind = "waits", ""
	const hour = time.Hour
	tests := []struct {
		name    string
		events  []happening
		at      time.Duration // of the call that is offered afterwards
		state   model.TargetState
		limit   int
		queued  problem.Kind // refusal of the waiting call
		offered problem.Kind // refusal of the call that is offered
	}{
		{"a call completes", []happening{ends(1, Completed)}, 0, model.TargetWarm, 4, starts, ""},
		{"a call fails", []happening{ends(1, Failed)}, 0, model.TargetWarm, 4, starts, ""},
		{"a call in flight is abandoned", []happening{abandons}, 0, model.TargetWarm, 4, waits, ""},
		{"the target sheds load", []happening{ends(1, Shed)}, 0, model.TargetWarm, 2, waits, ""},
		{"all calls in flight are shed", []happening{ends(4, Shed)}, 0, model.TargetWarm, 2, starts, ""},
		{"one crash", []happening{ends(1, Crashed)}, 0, model.TargetCold, 1, waits, ""},
		{"two crashes", []happening{ends(2, Crashed)}, 0, model.TargetFailing, 0, problem.Overloaded, problem.Overloaded},
		{"the target drains", []happening{drains}, 0, model.TargetDraining, 0, problem.Draining, problem.Draining},
		{"the target renews while it drains", []happening{drains, announces(Announcement{Instance: "one", Slots: 4})}, 0, model.TargetDraining, 0, problem.Draining, problem.Draining},
		{"another process after the drain", []happening{drains, announces(Announcement{Instance: "two", Slots: 4})}, 0, model.TargetCold, 1, problem.Draining, ""},
		{"the target withdraws", []happening{withdraws}, 0, model.TargetAbsent, 0, problem.NoTarget, problem.NoTarget},
		{"the announcement lapses", []happening{tick(time.Minute)}, time.Minute, model.TargetAbsent, 0, problem.NoTarget, problem.NoTarget},
		{"a paused node wakes after the lapse", nil, hour, model.TargetAbsent, 0, waits, problem.NoTarget},
		{"the domain goes out", []happening{domain(true)}, 0, model.TargetWarm, 4, problem.DomainOut, problem.DomainOut},
		{"the domain comes back", []happening{domain(true), domain(false)}, 0, model.TargetCold, 1, problem.DomainOut, ""},
		{"the node stops", []happening{stops}, 0, model.TargetWarm, 4, problem.Draining, problem.Draining},
		{"the node is cut off", []happening{fresh(false)}, 0, model.TargetWarm, 4, problem.NotFresh, problem.NotFresh},
		{"the node is cut off and heals", []happening{fresh(false), fresh(true)}, 0, model.TargetWarm, 4, problem.NotFresh, ""},
		{"a new process says warm", []happening{announces(Announcement{Instance: "two", Slots: 4})}, 0, model.TargetCold, 1, waits, ""},
		{"a renewal says cold", []happening{announces(Announcement{Instance: "one", Slots: 4, Cold: true})}, 0, model.TargetCold, 1, waits, ""},
		{"fewer connections than slots", []happening{announces(Announcement{Instance: "one", Slots: 400, Connections: 3})}, 0, model.TargetWarm, 3, waits, ""},
		{"the old process's connections break", []happening{announces(Announcement{Instance: "two", Slots: 4}), ends(4, Crashed)}, 0, model.TargetCold, 1, starts, ""},
		{"the wait gets too long", []happening{tick(DefaultMaxWait)}, 0, model.TargetWarm, 4, problem.Overloaded, ""},
		{"nothing completes", []happening{stalls}, 0, model.TargetCold, 1, waits, ""},
		{"a crash while it drains", []happening{drains, ends(2, Crashed)}, 0, model.TargetDraining, 0, problem.Draining, problem.Draining},
		{"a crash and a new process", []happening{ends(2, Crashed), announces(Announcement{Instance: "two", Slots: 4})}, 0, model.TargetCold, 1, problem.Overloaded, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := warmOwner(4)
			fill(o, 4)
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

// TestOffer offers a call to a target of two slots.
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
		{name: "little time but nothing in flight", call: Call{Deadline: start.Add(time.Millisecond)}, verdict: Start},
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

// serve runs n calls one after the other and returns the time after them.
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

func TestTimeAloneWidensNothing(t *testing.T) {
	o := New(Options{})
	o.Announce(start, Announcement{Instance: "one", Slots: 12, Cold: true, Lease: 2 * time.Hour})
	o.Tick(start.Add(time.Hour))
	qt.Assert(t, o.limit.limit, qt.Equals, initialLimit)
	now := serve(o, start.Add(time.Hour), minProof*claimProofFactor, "a", Failed, 5*time.Millisecond)
	qt.Assert(t, o.limit.limit <= initialLimit, qt.IsTrue)
	o.Announce(now, Announcement{Instance: "two", Slots: 12, Cold: true})
	serve(o, now, minProof*claimProofFactor, "a", Completed, 5*time.Millisecond)
	qt.Assert(t, o.limit.limit, qt.Equals, initialLimit+1)
}

// TestFailFast checks that a target that fails at once is left alone, tried
// ever more rarely, and trusted again only after a cold start.
func TestFailFast(t *testing.T) {
	o := warmOwner(4)
	now := serve(o, start, failuresToTrip, "a", Failed, time.Microsecond)
	qt.Assert(t, o.State(), qt.Equals, model.TargetFailing)
	qt.Assert(t, o.Report(now).Limit, qt.Equals, uint16(0))
	for _, probation := range []time.Duration{DefaultOpenTime, 2 * DefaultOpenTime, 4 * DefaultOpenTime} {
		qt.Assert(t, o.circuit.remaining(now) > probation*9/10, qt.IsTrue)
		now = o.circuit.until
		o.Tick(now)
		qt.Assert(t, o.State(), qt.Equals, model.TargetCold)
		now = serve(o, now, 10, "a", Failed, time.Microsecond)
		qt.Assert(t, o.State(), qt.Equals, model.TargetFailing)
	}
	serve(o, o.circuit.until, minProof, "a", Completed, time.Millisecond)
	qt.Assert(t, o.limit.limit, qt.Equals, initialLimit+1)
	qt.Assert(t, o.circuit.onProbation, qt.IsFalse)
}

func TestOneAccountsFailuresDoNotCondemnTheTarget(t *testing.T) {
	o := warmOwner(4)
	now := start
	for range 20 {
		now = serve(o, now, 5, "broken", Failed, time.Millisecond)
		now = serve(o, now, 1, "sound", Completed, time.Millisecond)
	}
	qt.Assert(t, o.State(), qt.Equals, model.TargetWarm)
}

// TestWrongEstimateRecovers checks that an account whose estimate is far
// too high gets calls again, also while others keep the target busy.
func TestWrongEstimateRecovers(t *testing.T) {
	o := warmOwner(4)
	o.Offer(start, Call{Ticket: 1, Account: "other"})
	now := serve(o, start, 8, "a", Completed, 5*time.Second)
	for i := range 100 {
		c := Call{Ticket: Ticket(100 + i), Account: "a", Deadline: now.Add(100 * time.Millisecond)}
		if o.Offer(now, c).Verdict == Start {
			return
		}
	}
	t.Fatal("no call of the account starts")
}

func TestMeasureBudgetHoldsAcrossRestarts(t *testing.T) {
	allowed := 0
	for restart := range 50 {
		o := New(Options{MeasureRate: 2})
		for tick := range 40 {
			if o.AllowMeasure(start.Add(time.Duration(restart*40+tick) * 10 * time.Millisecond)) {
				allowed++
			}
		}
	}
	qt.Assert(t, allowed <= 40, qt.IsTrue, qt.Commentf("%d requests in 20 s at 2 a second", allowed))
	o := New(Options{})
	o.SetMeasureRate(100)
	o.AllowMeasure(start)
	qt.Assert(t, o.AllowMeasure(start.Add(10*time.Millisecond)), qt.IsTrue)
}
