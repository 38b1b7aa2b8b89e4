package placement

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"zinniafall/policy/model"
)

// oracle is a policy that sees the true state of all targets at the time of
// each choice.
const oracle Policy = "oracle"

// deployment is a set of services whose nodes all act as entries.
type deployment struct {
	name     string
	domains  int
	slots    int
	services []int // number of targets of each service
	entries  int   // nodes that callers connect to; 0 means all
}

var (
	newEngland = deployment{"new-england", 4, 12, []int{6, 4, 4}, 0}
	perth      = deployment{"perth", 3, 6, []int{6, 4, 3}, 0}
	// oneEntry connects all callers to one node.
	oneEntry = deployment{"one-entry", 4, 12, []int{6, 4, 4}, 1}
	// rareCalls spreads the calls of each entry over 20 services, so that
	// it rarely gets a report of each target.
	rareCalls = deployment{"rare-calls", 10, 12, slices.Repeat([]int{9}, 20), 0}
)

const (
	simService     = 10 * time.Millisecond // mean service time of a call at full speed
	simHop         = time.Millisecond      // one-way delay between failure domains
	simConnections = 260                   // caller connections per service
	noiseFactor    = 2.0                   // slowdown by a noisy neighbor
	noiseMean      = 4 * time.Millisecond  // mean length of slow and of quiet periods
	slowPeriodGap  = 10 * time.Second      // mean time between slow periods
	slowPeriodMin  = 30 * time.Millisecond
	slowPeriodMax  = 2 * time.Second
)

// speedPeriod is a period in which a target has a constant speed.
type speedPeriod struct {
	until  time.Duration
	factor float64 // time that a unit of work takes
}

func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

// randomSpeeds draws the speeds of a target up to an end, after which it has
// full speed. Noisy neighbors slow the target for milliseconds, and in slow
// periods of up to seconds it is 5 to 10 times slower.
func randomSpeeds(random *rand.Rand, end time.Duration) []speedPeriod {
	var list []speedPeriod
	var now, slowEnd time.Duration
	slowNext := exponential(random, slowPeriodGap)
	slowdown := 1.0
	for now < end {
		if now >= slowNext {
			slowdown = 5 + 5*random.Float64()
			length := float64(slowPeriodMin) * math.Pow(float64(slowPeriodMax)/float64(slowPeriodMin), random.Float64())
			slowEnd = now + time.Duration(length)
			slowNext = slowEnd + exponential(random, slowPeriodGap)
		}
		if now >= slowEnd {
			slowdown = 1
		}
		quiet := now + exponential(random, noiseMean)
		now = quiet + exponential(random, noiseMean)
		list = append(list, speedPeriod{quiet, slowdown}, speedPeriod{now, slowdown * noiseFactor})
	}
	return append(list, speedPeriod{math.MaxInt64, 1})
}

// capacity returns the number of calls per second that keep the slots busy on
// average.
func capacity(slots int) float64 {
	slow := (slowPeriodMax - slowPeriodMin).Seconds() / math.Log(float64(slowPeriodMax)/float64(slowPeriodMin))
	share := slow / (slow + slowPeriodGap.Seconds())
	speed := (1 - share + share*math.Log(2)/5) * (1 + 1/noiseFactor) / 2
	return float64(slots) * speed / simService.Seconds()
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fakeTarget serves its queue in order of arrival on its slots. Its node is
// also an entry.
type fakeTarget struct {
	Target
	placer    *Placer
	speeds    []speedPeriod
	busy      int
	inTransit int // calls sent but not yet arrived, visible only to the oracle
	queue     []*fakeCall
	report    model.Report
}

type fakeCall struct {
	service       int
	entry, target *fakeTarget
	arrived, work time.Duration
	hop           time.Duration
}

// sim replays open-loop arrivals, which depend on the seed alone, through one
// policy.
type sim struct {
	now, end  time.Duration
	events    eventQueue
	seq       int
	policy    Policy
	random    *rand.Rand
	nodes     []*fakeTarget
	entries   int
	services  [][]*fakeTarget
	latencies *hdrhistogram.Histogram
}

func (s *sim) after(wait time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.now + wait, s.seq, run})
}

func (s *sim) clock() time.Time { return time.Unix(0, int64(s.now)) }

func serviceName(i int) model.Service { return model.Service(fmt.Sprint("service-", i)) }

// replay runs one policy over a span of virtual time and returns the latencies
// from arrival to answer, in microseconds.
func replay(d deployment, policy Policy, load float64, seed uint64, span time.Duration) *hdrhistogram.Histogram {
	s := &sim{end: span, policy: policy, random: rand.New(rand.NewPCG(seed, 0))}
	s.latencies = hdrhistogram.New(1, int64(100*time.Second/time.Microsecond), 3)
	s.build(d, seed)
	for i, targets := range s.services {
		arrivals := rand.New(rand.NewPCG(seed, uint64(100+i)))
		rate := load * capacity(d.slots*len(targets))
		s.scheduleArrival(i, arrivals, time.Duration(float64(time.Second)/rate))
	}
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	return s.latencies
}

func (s *sim) build(d deployment, seed uint64) {
	lists := make([][]Target, len(d.services))
	for i, count := range d.services {
		s.services = append(s.services, nil)
		for range count {
			n := len(s.nodes)
			t := Target{
				Node: model.NodeAddr(fmt.Sprint("node-", n)), Process: model.ProcessID{byte(n + 1)}, Region: "r",
				Domain: model.Domain(fmt.Sprint("domain-", n%d.domains)), Slots: d.slots, State: model.TargetWarm,
			}
			fake := &fakeTarget{Target: t, speeds: randomSpeeds(rand.New(rand.NewPCG(seed, uint64(1000+n))), 3*s.end)}
			fake.placer = New(Options{Policy: s.policy, Self: t.Node, Domain: t.Domain, Region: t.Region, Seed: seed})
			fake.report = report(t.Process, 0, d.slots, 0)
			s.nodes = append(s.nodes, fake)
			s.services[i] = append(s.services[i], fake)
			lists[i] = append(lists[i], t)
		}
	}
	s.entries = len(s.nodes)
	if d.entries > 0 {
		s.entries = d.entries
	}
	for _, node := range s.nodes {
		for i, list := range lists {
			node.placer.SetTargets(s.clock(), serviceName(i), list)
		}
	}
}

// report returns the report of a warm owner with the given calls in flight and
// a service time of 10 ms.
func report(process model.ProcessID, sequence uint64, slots, inFlight int) model.Report {
	return model.Report{
		Process: process, Sequence: sequence, State: model.TargetWarm, Slots: uint16(slots),
		Limit: uint16(slots), InFlight: uint16(inFlight), ServiceTime: simService,
	}
}

func (s *sim) scheduleArrival(service int, arrivals *rand.Rand, gap time.Duration) {
	wait := exponential(arrivals, gap)
	connection := arrivals.Uint64N(simConnections)
	work := exponential(arrivals, simService)
	s.after(wait, func() {
		if s.now > s.end {
			return
		}
		entry := s.nodes[connection%uint64(s.entries)]
		s.sendCall(&fakeCall{service: service, entry: entry, arrived: s.now, work: work}, connection)
		s.scheduleArrival(service, arrivals, gap)
	})
}

func (s *sim) sendCall(c *fakeCall, connection uint64) {
	if s.policy == oracle {
		c.target = s.bestTrue(c)
	} else {
		query := Query{Service: serviceName(c.service), Connection: connection}
		node, err := c.entry.placer.Choose(s.clock(), query)
		if err != nil {
			panic(err)
		}
		for _, t := range s.services[c.service] {
			if t.Node == node {
				c.target = t
			}
		}
		c.entry.placer.RecordSent(s.clock(), query.Service, node)
	}
	c.hop = hop(c.entry, c.target)
	c.target.inTransit++
	s.after(c.hop, func() {
		c.target.inTransit--
		c.target.queue = append(c.target.queue, c)
		s.serve(c.target)
	})
}

func hop(from, to *fakeTarget) time.Duration {
	if from.Domain == to.Domain {
		return 0
	}
	return simHop
}

// serve starts queued calls while slots are free.
func (s *sim) serve(t *fakeTarget) {
	for t.busy < t.Slots && len(t.queue) > 0 {
		c := t.queue[0]
		t.queue = t.queue[1:]
		t.busy++
		length := t.workDuration(s.now, float64(c.work))
		s.after(length, func() { s.finish(c, length) })
	}
}

// speedIndex returns the index of the speed period in effect at a time.
func (t *fakeTarget) speedIndex(now time.Duration) int {
	return sort.Search(len(t.speeds), func(i int) bool { return t.speeds[i].until > now })
}

// workDuration returns how long work takes if it starts now.
func (t *fakeTarget) workDuration(now time.Duration, work float64) time.Duration {
	from := now
	for i := t.speedIndex(now); ; i++ {
		span := float64(t.speeds[i].until - from)
		if work*t.speeds[i].factor <= span {
			return from + time.Duration(work*t.speeds[i].factor) - now
		}
		work -= span / t.speeds[i].factor
		from = t.speeds[i].until
	}
}

// finish ends a call and sends the answer with the report to the entry.
func (s *sim) finish(c *fakeCall, length time.Duration) {
	t := c.target
	t.busy--
	s.serve(t)
	t.report.Sequence++
	t.report.InFlight = uint16(t.busy)
	t.report.Queued = uint16(len(t.queue))
	t.report.ServiceTime += (length - t.report.ServiceTime) / 8
	report := t.report
	s.after(c.hop, func() {
		elapsed := s.now - c.arrived
		_ = s.latencies.RecordValue(elapsed.Microseconds())
		c.entry.placer.RecordFinished(s.clock(), serviceName(c.service), t.Node, Outcome{Report: &report, Elapsed: elapsed})
	})
}

// bestTrue returns the choice of the oracle.
func (s *sim) bestTrue(c *fakeCall) *fakeTarget {
	var best *fakeTarget
	shortest := math.Inf(1)
	targets := s.services[c.service]
	first := s.random.IntN(len(targets))
	for i := range targets {
		t := targets[(first+i)%len(targets)]
		mean := float64(simService) * t.speeds[t.speedIndex(s.now)].factor
		ahead := float64(t.busy + t.inTransit + len(t.queue) + 1 - t.Slots)
		predicted := float64(2*hop(c.entry, t)) + mean + max(0, ahead)*mean/float64(t.Slots)
		if predicted < shortest {
			best, shortest = t, predicted
		}
	}
	return best
}
