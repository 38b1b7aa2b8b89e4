package admission

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"zinniafall/policy/model"
)

// simulation runs an owner and a simulated target in virtual time.
type simulation struct {
	now    time.Time
	owner  *Owner
	target *fakeTarget
	random *rand.Rand
	events eventHeap
	order  int
	next   Ticket
	calls  map[Ticket]*simulatedCall
	// latency holds the time from the first offer to the answer, by account.
	latency  map[model.Account][]time.Duration
	refused  map[model.Account]int
	finished []time.Time // answers before their deadline
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulatedCall is a call and the behaviour of its caller.
type simulatedCall struct {
	Call
	offered       time.Time
	factor        float64 // multiplies the service time
	timeout       time.Duration
	retryInterval time.Duration // mean time between attempts; 0 means no retries
	started       time.Time
	finish        time.Time
}

// fakeTarget serves calls with exponentially distributed service times. While
// it is cold, calls beyond its cold capacity collapse, and calls that complete
// within that capacity warm it up.
type fakeTarget struct {
	mean          time.Duration
	inFlight      int
	coldCallsLeft int // completions until it is warm
	coldCapacity  int // concurrent calls without collapse while cold
	// noise multiplies the service time while a noisy neighbour is active.
	noise      float64
	overloaded int // calls started beyond coldCapacity
}

const (
	coldFactor     = 2.0
	collapseFactor = 10.0
)

func (t *fakeTarget) serviceTime(random *rand.Rand) time.Duration {
	factor := random.ExpFloat64()
	if t.noise > 0 {
		factor *= t.noise
	}
	if t.coldCallsLeft > 0 {
		factor *= coldFactor
		if t.inFlight > t.coldCapacity {
			t.overloaded++
			factor *= collapseFactor
		}
	}
	return max(scale(t.mean, factor), time.Microsecond)
}

func newSimulation(options Options, target *fakeTarget, seed uint64) *simulation {
	return &simulation{
		now: time.Unix(1000, 0), owner: New(options), target: target,
		random:  rand.New(rand.NewPCG(seed, seed)),
		calls:   map[Ticket]*simulatedCall{},
		latency: map[model.Account][]time.Duration{}, refused: map[model.Account]int{},
	}
}

func (w *simulation) schedule(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{w.now.Add(d), w.order, run})
}

// runFor runs the events within a span of virtual time, and the ticks that the
// owner asks for between them.
func (w *simulation) runFor(span time.Duration) {
	end := w.now.Add(span)
	for {
		at := earlier(end, w.owner.NextTick(w.now))
		if len(w.events) > 0 && !w.events[0].at.After(at) {
			e := heap.Pop(&w.events).(event)
			w.now = e.at
			e.run()
			continue
		}
		w.now = at
		if !at.Before(end) {
			return
		}
		w.releases(w.owner.Tick(w.now))
	}
}

// arrivals offers calls of one account as a Poisson process for a span of
// time.
func (w *simulation) arrivals(perSecond float64, until time.Duration, make func() simulatedCall) {
	end := w.now.Add(until)
	var step func()
	step = func() {
		if w.now.After(end) {
			return
		}
		a := make()
		a.offered = w.now
		w.offer(&a)
		w.schedule(time.Duration(w.random.ExpFloat64()/perSecond*float64(time.Second)), step)
	}
	w.schedule(time.Duration(w.random.ExpFloat64()/perSecond*float64(time.Second)), step)
}

func (w *simulation) offer(a *simulatedCall) {
	w.next++
	a.Ticket = w.next
	if a.timeout > 0 {
		a.Deadline = w.now.Add(a.timeout)
	}
	switch w.owner.Offer(w.now, a.Call).Verdict {
	case Start:
		w.calls[a.Ticket] = a
		w.start(a)
	case Wait:
		w.calls[a.Ticket] = a
	case Refuse:
		w.refuse(a)
	}
}

func (w *simulation) refuse(a *simulatedCall) {
	w.refused[a.Account]++
	if a.retryInterval > 0 {
		again := *a
		w.schedule(scale(a.retryInterval, 0.5+w.random.Float64()), func() { w.offer(&again) })
	}
}

func (w *simulation) start(a *simulatedCall) {
	w.target.inFlight++
	a.started = w.now
	w.finishAfter(a, scale(w.target.serviceTime(w.random), max(a.factor, 1)))
}

func (w *simulation) finishAfter(a *simulatedCall, d time.Duration) {
	a.finish = w.now.Add(d)
	w.schedule(d, func() { w.finish(a) })
}

func (w *simulation) finish(a *simulatedCall) {
	if !a.finish.Equal(w.now) || w.calls[a.Ticket] != a {
		return
	}
	delete(w.calls, a.Ticket)
	w.target.inFlight--
	if w.target.coldCallsLeft > 0 && w.target.inFlight < w.target.coldCapacity {
		w.target.coldCallsLeft--
	}
	if !a.expired(w.now) {
		w.finished = append(w.finished, w.now)
		w.latency[a.Account] = append(w.latency[a.Account], w.now.Sub(a.offered))
	} else if a.retryInterval > 0 {
		w.refuse(a)
	}
	w.releases(w.owner.Finish(w.now, a.Ticket, Outcome{Completed, w.now.Sub(a.started)}))
}

func (w *simulation) releases(releases []Release) {
	for _, r := range releases {
		a := w.calls[r.Ticket]
		if r.Refusal == nil {
			w.start(a)
			continue
		}
		delete(w.calls, r.Ticket)
		w.refuse(a)
	}
}

// turnCold makes the target cold and slows the calls in flight down as in a
// collapse.
func (w *simulation) turnCold(completions, coldCapacity int) {
	w.target.coldCallsLeft, w.target.coldCapacity = completions, coldCapacity
	running := w.owner.InFlight()
	slices.Sort(running)
	for _, t := range running {
		if a := w.calls[t]; a != nil && a.finish.After(w.now) {
			w.finishAfter(a, scale(a.finish.Sub(w.now), collapseFactor*coldFactor))
		}
	}
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}
