package admission

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"zinniafall/policy/model"
)

// world runs one owner and a fake target in virtual time.
type world struct {
	now    time.Time
	owner  *Owner
	target *fakeTarget
	random *rand.Rand
	events eventHeap
	order  int
	next   Ticket
	calls  map[Ticket]*attempt
	// latency holds the time from the first offer to the answer, by account.
	latency  map[model.Account][]time.Duration
	refused  map[model.Account]int
	finished []time.Time // answers that came before their deadline
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

// attempt is a call and what the caller does with it.
type attempt struct {
	Call
	offered  time.Time
	factor   float64 // of the service time
	patience time.Duration
	retry    time.Duration // between tries; 0 gives up at the first refusal
	started  time.Time
	finish   time.Time
}

// fakeTarget serves calls in an exponential time. While cold it bears few
// calls and collapses beyond them; the calls it bears warm it up.
type fakeTarget struct {
	mean     time.Duration
	inFlight int
	coldLeft int // completions until it is warm
	bears    int // calls at once while it is cold
	// noise multiplies the service time while a neighbour is busy.
	noise      float64
	overloaded int // starts beyond what the cold target bears
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
	if t.coldLeft > 0 {
		factor *= coldFactor
		if t.inFlight > t.bears {
			t.overloaded++
			factor *= collapseFactor
		}
	}
	return max(part(t.mean, factor), time.Microsecond)
}

func newWorld(options Options, target *fakeTarget, seed uint64) *world {
	return &world{
		now: time.Unix(1000, 0), owner: New(options), target: target,
		random:  rand.New(rand.NewPCG(seed, seed)),
		calls:   map[Ticket]*attempt{},
		latency: map[model.Account][]time.Duration{}, refused: map[model.Account]int{},
	}
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{w.now.Add(d), w.order, run})
}

// runFor runs the events of a span of virtual time, and the ticks that the
// owner asks for between them.
func (w *world) runFor(span time.Duration) {
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

// arrivals offers calls of one account at a mean rate until the end.
func (w *world) arrivals(perSecond float64, until time.Duration, make func() attempt) {
	end := w.now.Add(until)
	var step func()
	step = func() {
		if w.now.After(end) {
			return
		}
		a := make()
		a.offered = w.now
		w.offer(&a)
		w.after(time.Duration(w.random.ExpFloat64()/perSecond*float64(time.Second)), step)
	}
	w.after(time.Duration(w.random.ExpFloat64()/perSecond*float64(time.Second)), step)
}

func (w *world) offer(a *attempt) {
	w.next++
	a.Ticket = w.next
	if a.patience > 0 {
		a.Deadline = w.now.Add(a.patience)
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

func (w *world) refuse(a *attempt) {
	w.refused[a.Account]++
	if a.retry > 0 {
		again := *a
		w.after(part(a.retry, 0.5+w.random.Float64()), func() { w.offer(&again) })
	}
}

func (w *world) start(a *attempt) {
	w.target.inFlight++
	a.started = w.now
	w.finishAfter(a, part(w.target.serviceTime(w.random), max(a.factor, 1)))
}

func (w *world) finishAfter(a *attempt, d time.Duration) {
	a.finish = w.now.Add(d)
	w.after(d, func() { w.finish(a) })
}

func (w *world) finish(a *attempt) {
	if !a.finish.Equal(w.now) || w.calls[a.Ticket] != a {
		return
	}
	delete(w.calls, a.Ticket)
	w.target.inFlight--
	if w.target.coldLeft > 0 && w.target.inFlight < w.target.bears {
		w.target.coldLeft--
	}
	if !a.expired(w.now) {
		w.finished = append(w.finished, w.now)
		w.latency[a.Account] = append(w.latency[a.Account], w.now.Sub(a.offered))
	} else if a.retry > 0 {
		w.refuse(a)
	}
	w.releases(w.owner.Finish(w.now, a.Ticket, Outcome{Completed, w.now.Sub(a.started)}))
}

func (w *world) releases(releases []Release) {
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

// turnCold makes the target cold; the calls in flight collapse with it.
func (w *world) turnCold(completions, bears int) {
	w.target.coldLeft, w.target.bears = completions, bears
	running := w.owner.InFlight()
	slices.Sort(running)
	for _, t := range running {
		if a := w.calls[t]; a != nil && a.finish.After(w.now) {
			w.finishAfter(a, part(a.finish.Sub(w.now), collapseFactor*coldFactor))
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
