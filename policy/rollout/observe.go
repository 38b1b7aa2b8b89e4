package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniafall/policy/model"
)

const (
	// rateWindow is the time over which the rates of starts are measured.
	rateWindow = 2 * time.Second
	// comparePeriod is the time whose answers of the old version are compared with, and
	// minCompared how many are needed on a route.
	comparePeriod = 3 * time.Second
	minCompared   = 20
	// lostTime is how long an owner is silent before it counts as lost.
	lostTime = time.Second
	// triedAnswers is the number of answers after which an owner was tried.
	triedAnswers = 5
	// maxOwners bounds the number of nodes that are remembered for one rollout.
	maxOwners = 8192
)

// sample is a cumulative count at a time.
type sample struct {
	at    time.Time
	count uint64
}

// counter measures the rate of a cumulative count over rateWindow.
type counter struct{ samples []sample }

func (c *counter) add(now time.Time, count uint64) {
	c.samples = append(c.samples, sample{now, count})
	for len(c.samples) > 2 && now.Sub(c.samples[1].at) >= rateWindow {
		c.samples = c.samples[1:]
	}
}

// perSecond returns the rate, 0 until it was measured for half a second.
func (c *counter) perSecond() float64 {
	if len(c.samples) < 2 {
		return 0
	}
	first, last := c.samples[0], c.samples[len(c.samples)-1]
	if span := last.at.Sub(first.at); span >= 500*time.Millisecond && last.count > first.count {
		return float64(last.count-first.count) / span.Seconds()
	}
	return 0
}

// owner is what is known of one node with a target of the service.
type owner struct {
	node model.NodeAddr
	// order is the random order in which owners are chosen.
	order    uint64
	report   Evidence
	reported bool
	// heard is when the last report came, and silentSince when the node first did not
	// answer after it.
	heard, silentSince time.Time
	former             []model.ProcessID
	starts             counter
	// answers counts the answers since the order, of all processes of the node.
	answers uint64
	// bad is set once the owner's answers, without those of others, showed a fault.
	bad   bool
	tests map[kind]*test
}

// silent reports how long the node has not answered.
func (o *owner) silent(now time.Time) time.Duration {
	if o.silentSince.IsZero() {
		return 0
	}
	return now.Sub(o.silentSince)
}

// alive reports whether the owner has reported lately.
func (o *owner) alive(now time.Time) bool {
	return o.reported && now.Sub(o.heard) < lostTime
}

// warm reports whether the target takes its full load. An owner whose grant is used up may
// report its target as draining.
func (o *owner) warm() bool {
	return o.report.State == model.TargetWarm || o.report.State == model.TargetDraining && !o.report.Closed
}

// slots returns the slots of the target, 1 if it states none.
func (o *owner) slots() int { return max(o.report.Slots, 1) }

// oldAnswers are answers of the old version on one route in one poll.
type oldAnswers struct {
	at                time.Time
	answers, failures uint64
	times             Histogram
}

// oldRoute collects the answers of the old version to calls of one kind.
type oldRoute struct {
	// answered is set once there was an answer.
	answered bool
	recent   []oldAnswers
	all      Histogram
	base     baseline
}

// baseline is what the answers of the new version on a route are compared with.
type baseline struct {
	p0, p1 float64
	// slow is the time above which an answer is bad, 0 for none.
	slow time.Duration
	// answers counts the old answers in the period, and median is theirs.
	answers uint64
	median  time.Duration
}

// observations hold what the owners reported during one rollout.
type observations struct {
	version string
	owners  map[model.NodeAddr]*owner
	list    []*owner // by node, so that decisions do not depend on the order of a map
	seed    string
	routes  map[string]*oldRoute
	// loads holds the old version's answers to calls that started at a level of load or
	// above it.
	loads [len(loadLevels)]oldRoute
	// atLoads holds those to calls that started at one level of load.
	atLoads  [len(loadLevels)]oldRoute
	requests uint64
	rate     counter
	// lowest is the lowest rate of requests since the first reports.
	lowest float64
	polls  int
	// began is when the first reports came.
	began time.Time
	// slow holds the times above which the answers of routes are bad, as an earlier
	// controller found them.
	slow map[string]time.Duration
	// strongSince is since when there was strong evidence and 50 bad answers.
	strongSince time.Time
	// warmAt is when the first canary was seen to be warm.
	warmAt      time.Time
	grantedCold uint64
}

// newObservations returns those of a rollout that begins or continues with a state. The seed
// varies the order in which owners are chosen.
func newObservations(s State, seed uint64) *observations {
	b := &observations{
		version: s.Version, owners: map[model.NodeAddr]*owner{}, routes: map[string]*oldRoute{}, requests: s.Requests,
		seed: fmt.Sprintf("%d/%d/", seed, s.Revision), slow: map[string]time.Duration{},
	}
	for _, l := range s.Limits {
		b.slow[l.Route] = time.Duration(l.Ms) * time.Millisecond
	}
	return b
}

// add takes the reports of one poll. counted reports whether the starts that a process
// reports at first can be all from this rollout, so that its answers count from the first.
func (b *observations) add(now time.Time, reports []Evidence, unreachable []model.NodeAddr,
	counted func(Evidence) bool) {
	type news struct {
		owner  *owner
		before Evidence
	}
	var fresh []news
	for _, r := range reports {
		if r.Validate() != nil {
			continue
		}
		o := b.owner(r.Node)
		if o == nil || o.reported && b.stale(o, r) {
			continue
		}
		before := o.report
		if !o.reported || before.Process != r.Process {
			if o.reported {
				o.former = append(o.former, before.Process)
				o.former = o.former[max(len(o.former)-4, 0):]
			}
			before = Evidence{}
			if !counted(r) {
				before = r
			}
			o.starts = counter{}
		}
		if o.reported {
			// The first report may be of starts that another controller counted.
			b.requests += r.Starts - before.Starts
		}
		o.report, o.reported, o.heard, o.silentSince = r, true, now, time.Time{}
		o.starts.add(now, r.Starts)
		fresh = append(fresh, news{o, before})
	}
	for _, node := range unreachable {
		if o := b.owner(node); o != nil && o.silentSince.IsZero() && !o.heard.Equal(now) {
			o.silentSince = now
		}
	}
	b.rate.add(now, b.requests)
	if rate := b.rate.perSecond(); b.lowest == 0 || rate < b.lowest {
		b.lowest = rate
	}
	if b.polls++; b.polls == 1 {
		b.began = now
	}
	// The old version's answers come first, since the new one's are compared with them.
	for _, n := range fresh {
		if n.owner.report.Version != b.version {
			b.addOld(now, n.owner.report.Routes, n.before.Routes)
			b.addOldLoads(now, n.owner.report.Loads.since(n.before.Loads))
		}
	}
	for _, r := range b.routes {
		r.update(now)
	}
	for i := range b.loads {
		b.loads[i].update(now)
		b.atLoads[i].update(now)
	}
	for _, n := range fresh {
		if n.owner.report.Version == b.version {
			n.owner.compare(b, n.before)
		}
	}
}

// owner returns the record of a node, nil if there are too many.
func (b *observations) owner(node model.NodeAddr) *owner {
	o := b.owners[node]
	if o == nil && len(b.owners) < maxOwners && node != "" {
		o = &owner{node: node, order: xxhash.Sum64String(b.seed + string(node)), tests: map[kind]*test{}}
		b.owners[node] = o
		i, _ := slices.BinarySearchFunc(b.list, node, func(o *owner, n model.NodeAddr) int { return cmp.Compare(o.node, n) })
		b.list = slices.Insert(b.list, i, o)
	}
	return o
}

// stale reports whether a report is older than the last one of its node.
func (b *observations) stale(o *owner, r Evidence) bool {
	last := &o.report
	if r.Process != last.Process {
		return slices.Contains(o.former, r.Process)
	}
	// A rollback that another controller decided may have a lower step than what it replaces.
	sameOrder := r.Era == last.Era && r.Revision == last.Revision && finality(r.Phase) <= finality(last.Phase)
	return r.Starts < last.Starts || answers(r.Routes) < answers(last.Routes) || sameOrder && r.Step < last.Step
}

func answers(routes []RouteEvidence) uint64 {
	var n uint64
	for _, r := range routes {
		n += r.Answers
	}
	return n
}

// since returns what a route's counts have more than earlier ones.
func (r RouteEvidence) since(earlier []RouteEvidence) RouteEvidence {
	for _, e := range earlier {
		if e.Route == r.Route {
			r.Answers -= min(r.Answers, e.Answers)
			r.Failures -= min(r.Failures, e.Failures)
			r.Times = r.Times.Minus(e.Times)
		}
	}
	return r
}

func (b *observations) addOld(now time.Time, routes, before []RouteEvidence) {
	for _, r := range routes {
		d := r.since(before)
		if d.Answers == 0 {
			continue
		}
		old := b.route(r.Route)
		if old == nil {
			continue
		}
		last := old.last(now)
		last.answers += d.Answers
		last.failures += d.Failures
		last.times = last.times.Plus(d.Times)
		old.all = old.all.Plus(d.Times)
	}
}

// addOldLoads adds the old version's answers of one owner since its last report.
func (b *observations) addOldLoads(now time.Time, d LoadEvidence) {
	for level := range d {
		b.loads[level].addCount(now, d.from(level))
		b.atLoads[level].addCount(now, d[level])
	}
}

// addCount adds answers to calls that started at some load.
func (r *oldRoute) addCount(now time.Time, c LoadCount) {
	if c.Answers > 0 {
		last := r.last(now)
		last.answers += c.Answers
		last.failures += min(c.Bad, c.Answers)
	}
}

// atLoad returns what the answers to calls that started at a level of load are compared with:
// the old version's at that level, or, if they are too few, at the closest range of levels. Targets
// slow down as they fill, and canaries get their calls in bursts.
func (b *observations) atLoad(level int) baseline {
	if base := b.atLoads[level].base; base.answers >= minCompared {
		return base
	}
	for l := level; l > 0; l-- {
		if base := b.loads[l].base; base.answers >= minCompared {
			return base
		}
	}
	return b.loads[level].base
}

// last returns the counts of the poll at a time, to which answers are added.
func (r *oldRoute) last(now time.Time) *oldAnswers {
	r.answered = true
	if n := len(r.recent); n == 0 || !r.recent[n-1].at.Equal(now) {
		r.recent = append(r.recent, oldAnswers{at: now})
	}
	return &r.recent[len(r.recent)-1]
}

// route returns the record of a route, nil if there are too many.
func (b *observations) route(name string) *oldRoute {
	r := b.routes[name]
	if r == nil && len(b.routes) < maxRoutes {
		r = &oldRoute{}
		b.routes[name] = r
	}
	return r
}

// update computes the baseline from the answers in the period.
func (r *oldRoute) update(now time.Time) {
	r.recent = slices.DeleteFunc(r.recent, func(a oldAnswers) bool { return now.Sub(a.at) > comparePeriod })
	var sum oldAnswers
	for _, a := range r.recent {
		sum.answers += a.answers
		sum.failures += a.failures
		sum.times = sum.times.Plus(a.times)
	}
	r.base = compareWith(sum, r.all)
}

// newOwners returns the owners of the new version, and oldOwners all others that may run
// calls, including silent nodes whose version is not known.
func (b *observations) newOwners() []*owner { return b.ofVersion(true) }
func (b *observations) oldOwners() []*owner { return b.ofVersion(false) }

func (b *observations) ofVersion(isNew bool) []*owner {
	found := make([]*owner, 0, len(b.list))
	for _, o := range b.list {
		if (o.reported && o.report.Version == b.version) == isNew {
			found = append(found, o)
		}
	}
	return found
}

// busiest returns the starts per second of the old target that has most.
func (b *observations) busiest() float64 {
	rate := 0.0
	for _, o := range b.oldOwners() {
		rate = max(rate, o.starts.perSecond())
	}
	return rate
}

// limits returns the times above which the owners' circuit breakers count an answer as bad.
func (b *observations) limits() []RouteLimit {
	var limits []RouteLimit
	for name, r := range b.routes {
		if r.base.slow > 0 {
			limits = append(limits, RouteLimit{name, r.base.slow.Milliseconds()})
		}
	}
	slices.SortFunc(limits, func(a, b RouteLimit) int { return cmp.Compare(a.Route, b.Route) })
	return limits
}
