package admission

import (
	"time"

	"zinniafall/policy/chart"
	"zinniafall/policy/fairqueue"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/ratelimit"
	"zinniafall/policy/settings"
)

// Owner decides on the calls to one target. It is not safe for concurrent use.
type Owner struct {
	options  Options
	chart    *chart.Machine
	state    model.TargetState // as the chart has it
	accounts func(model.Account) settings.Account
	queue    *fairqueue.Queue[queued, history]
	running  []running
	isolated int // isolated calls in flight
	limit    limiter
	reserve  reserve
	latency  detector
	outcomes outcomes
	service  time.Duration // recent mean of the completed calls
	// lastCompleted is the time of the last completion.
	lastCompleted time.Time
	circuit       circuit

	// now is the time of the event that is being handled.
	now time.Time

	instance string
	// trial counts the processes and the ends of probations. How a call of an
	// earlier trial ends says nothing of the target now.
	trial    uint64
	leaseEnd time.Time
	gates    gates

	measure     *ratelimit.ProbeLimiter
	measureRate float64
	sequence    uint64
}

// gates are the reasons outside the target for which nothing new starts.
type gates struct {
	domainOut bool
	stopping  bool
	stale     bool
}

// running is a call that was given to the target.
type running struct {
	ticket    Ticket
	flow      *flow
	charged   time.Duration
	started   time.Time
	occupancy int    // calls in flight at the start, itself included
	epoch     uint64 // of the limit at the start
	trial     uint64
	isolated  bool
	// suspect is the age from which on the call may be evidence of a cold
	// target.
	suspect time.Duration
}

// New returns an owner whose target has not announced itself.
func New(options Options) *Owner {
	options = options.withDefaults()
	return &Owner{
		options:  options,
		chart:    targetChart.New(options.Forbidden),
		accounts: func(model.Account) settings.Account { return settings.Account{} },
		queue:    fairqueue.New[queued, history](fairqueue.Options{Length: options.QueueLength}),
		circuit:  newCircuit(options),

		measureRate: options.MeasureRate,
		measure:     ratelimit.NewProbeLimiter(options.MeasureRate),
	}
}

// SetAccounts sets the lookup of weights and concurrency limits. Without one,
// all accounts weigh the same and have no limit.
func (o *Owner) SetAccounts(lookup func(model.Account) settings.Account) { o.accounts = lookup }

// Offer asks to run a call. The answer is immediate; when it is Wait, exactly
// one Release of a later method ends the wait, unless Abandon comes first.
func (o *Owner) Offer(now time.Time, c Call) Decision {
	o.now = now
	o.advance(now)
	if p := o.closed(now); p != nil {
		return refuse(p)
	}
	if c.expired(now) {
		return refuse(expiredProblem())
	}
	account := o.accounts(c.Account)
	f := o.queue.Flow(now, c.Account, account.Weight)
	item := queued{Call: c, concurrency: account.Concurrency, offered: now, expires: o.expiry(now, c)}
	if o.cannotFinish(now, f, c) {
		f.ForgetSome()
		return refuse(expiredProblem())
	}
	if o.startable(f, item) {
		item.withinShare = o.withinShare(now, f)
		o.observeWait(now, item, f.Estimate())
		o.start(now, f, c)
		return Decision{Verdict: Start}
	}
	return o.enqueue(now, f, item)
}

// start gives the call to the target.
func (o *Owner) start(now time.Time, f *flow, c Call) {
	if c.Isolated {
		o.isolated++
	}
	f.State.usage.advance(now, f.InFlight())
	o.running = append(o.running, running{
		ticket:    c.Ticket,
		flow:      f,
		charged:   o.queue.Start(f),
		started:   now,
		occupancy: len(o.running) + 1,
		epoch:     o.limit.epoch,
		trial:     o.trial,
		isolated:  c.Isolated,
		suspect:   o.latency.suspectTime(&f.State.latency),
	})
}

// Finish records the end of a call that was in flight. A ticket that is not in
// flight is ignored, so that a repeated or late event does no harm.
func (o *Owner) Finish(now time.Time, t Ticket, outcome Outcome) []Release {
	o.advance(now)
	r, ok := o.remove(t)
	if ok {
		r.flow.State.usage.advance(now, r.flow.InFlight())
		o.queue.Finish(r.flow, r.charged, now.Sub(r.started))
		o.learn(now, r, outcome)
	}
	return o.settle(now)
}

func (o *Owner) remove(t Ticket) (running, bool) {
	for i := range o.running {
		if o.running[i].ticket != t {
			continue
		}
		r := o.running[i]
		last := len(o.running) - 1
		o.running[i] = o.running[last]
		o.running[last] = running{}
		o.running = o.running[:last]
		if r.isolated {
			o.isolated--
		}
		return r, true
	}
	return running{}, false
}

// Abandon records that the caller left. A queued call is dropped and gets no
// Release; a call in flight stays counted until Finish, because the target may
// still work on it.
func (o *Owner) Abandon(now time.Time, t Ticket) []Release {
	o.advance(now)
	o.queue.Drop(func(q queued) bool { return q.Ticket == t }, func(queued) {})
	return o.settle(now)
}

// InFlight returns the tickets of the calls at the target, in no order.
func (o *Owner) InFlight() []Ticket {
	tickets := make([]Ticket, 0, len(o.running))
	for i := range o.running {
		tickets = append(tickets, o.running[i].ticket)
	}
	return tickets
}

func refuse(p *problem.Error) Decision { return Decision{Verdict: Refuse, Refusal: p} }
