package admission

import (
	"time"

	"zinniafall/policy/chart"
	"zinniafall/policy/fairqueue"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/ratelimit"
	"zinniafall/policy/settings"
	"zinniafall/policy/statedlimit"
)

// Owner decides on the calls to one target. It is not safe for concurrent use.
type Owner struct {
	options       Options
	chart         *chart.Machine
	state         model.TargetState // current state of chart
	accounts      func(model.Account) settings.Account
	queue         *fairqueue.Queue[queuedCall, accountState]
	running       []running
	isolated      int // isolated calls in flight
	limit         limiter
	reserve       fairqueue.Reserve
	latency       detector
	outcomeWindow outcomeWindow
	serviceTime   time.Duration // moving average over completed calls
	// lastCompleted is the time of the last completion.
	lastCompleted time.Time
	breaker       breaker

	// now is the time of the event that is being handled.
	now time.Time

	instance string
	// trial counts the instances of the target and the times that the circuit
	// breaker closed. The outcome of a call from an earlier trial says nothing
	// about the target now.
	trial    uint64
	leaseEnd time.Time
	gates    gates

	stated statedlimit.Limiter
	// left is the instance that said that it leaves. It gets no calls any more,
	// even if an announcement that was on its way arrives.
	left string

	probes    *ratelimit.ProbeLimiter
	probeRate float64
	sequence  uint64
}

// gates holds the conditions outside the target under which no call starts.
type gates struct {
	domainOut bool
	stopping  bool
	stale     bool
}

// running is a call in flight at the target.
type running struct {
	ticket    Ticket
	flow      *flow
	charged   time.Duration
	started   time.Time
	occupancy int    // calls in flight when it started, itself included
	epoch     uint64 // epoch of the limiter when it started
	trial     uint64
	instance  string
	isolated  bool
	// suspectAge is the age from which on the call is evidence that the target
	// is cold; see detector.minSuspectAge.
	suspectAge time.Duration
}

// New returns an owner whose target has not announced itself.
func New(options Options) *Owner {
	options = options.withDefaults()
	return &Owner{
		options:  options,
		chart:    targetChart.New(options.OnForbidden),
		accounts: func(model.Account) settings.Account { return settings.Account{} },
		queue:    fairqueue.New[queuedCall, accountState](fairqueue.Options{Length: options.QueueLength}),
		breaker:  newBreaker(options),

		probeRate: options.ProbeRate,
		probes:    ratelimit.NewProbeLimiter(options.ProbeRate),
	}
}

// SetAccounts sets the lookup of weights and concurrency limits. Without it,
// all accounts have the same weight and no limit.
func (o *Owner) SetAccounts(lookup func(model.Account) settings.Account) { o.accounts = lookup }

// Offer asks to start a call. The answer is immediate. If it is Wait, exactly
// one Release, returned by a later method call, ends the wait, unless Abandon
// comes first.
func (o *Owner) Offer(now time.Time, c Call) Decision {
	o.now = now
	o.advance(now)
	if p := o.closedReason(now); p != nil {
		return refuse(p)
	}
	if c.expired(now) {
		return refuse(deadlineRefusal())
	}
	account := o.accounts(c.Account)
	f := o.queue.Flow(now, c.Account, account.Weight)
	item := queuedCall{Call: c, concurrency: account.Concurrency, offered: now, expires: o.expiry(now, c)}
	if o.cannotFinish(now, f, c) {
		f.DecayEstimate()
		return refuse(deadlineRefusal())
	}
	if o.canStart(f, item) {
		item.withinShare = o.withinShare(now, f)
		o.observeWait(now, item, f.EstimatedCost())
		o.start(now, f, c)
		return Decision{Verdict: Start}
	}
	return o.enqueue(now, f, item)
}

// start records that the call is in flight.
func (o *Owner) start(now time.Time, f *flow, c Call) {
	if c.Isolated {
		o.isolated++
	}
	o.stated.Take(now)
	f.State.slotUsage.Advance(now, f.InFlight(), usageTimeConstant)
	o.running = append(o.running, running{
		ticket:     c.Ticket,
		flow:       f,
		charged:    o.queue.Start(f),
		started:    now,
		occupancy:  len(o.running) + 1,
		epoch:      o.limit.epoch,
		trial:      o.trial,
		instance:   o.instance,
		isolated:   c.Isolated,
		suspectAge: o.latency.minSuspectAge(&f.State.latency),
	})
}

// Finish records the end of a call that was in flight. A ticket that is not in
// flight is ignored, so repeated and late events are harmless.
func (o *Owner) Finish(now time.Time, t Ticket, outcome Outcome) []Release {
	o.advance(now)
	r, ok := o.removeRunning(t)
	if ok {
		r.flow.State.slotUsage.Advance(now, r.flow.InFlight(), usageTimeConstant)
		o.queue.Finish(r.flow, r.charged, now.Sub(r.started))
		o.recordOutcome(now, r, outcome)
	}
	return o.processQueue(now)
}

func (o *Owner) removeRunning(t Ticket) (running, bool) {
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
// Release. A call in flight stays counted until Finish, because the target may
// still be working on it.
func (o *Owner) Abandon(now time.Time, t Ticket) []Release {
	o.advance(now)
	o.queue.Drop(func(q queuedCall) bool { return q.Ticket == t }, func(queuedCall) {})
	return o.processQueue(now)
}

// InFlight returns the tickets of the calls in flight, in no particular order.
func (o *Owner) InFlight() []Ticket {
	tickets := make([]Ticket, 0, len(o.running))
	for i := range o.running {
		tickets = append(tickets, o.running[i].ticket)
	}
	return tickets
}

func refuse(p *problem.Error) Decision { return Decision{Verdict: Refuse, Refusal: p} }
