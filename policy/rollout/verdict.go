package rollout

import (
	"math"
	"time"

	"zinniafall/policy/model"
)

const (
	// falseAlarmRate is the part of good versions that may be rolled back.
	falseAlarmRate = 0.001
	// faultyTargets is the part of a good version's targets that may fail or be slow by
	// themselves, and soundTargets the part of a bad version's that may not show the
	// fault, for instance because few calls reach them.
	faultyTargets = 0.14
	soundTargets  = 0.05
	// partlyFaulty is the part of the faulty targets whose fault shows on one kind of calls
	// only. The others fail on all, unlike those of a version with such a fault.
	partlyFaulty = 0.5
	// ownerThreshold is the log-likelihood ratio at which one owner counts as bad. With some
	// 30 answers looked at, noise passes it in at most 3 of 100 sound owners.
	ownerThreshold = 6.9
	// versionThreshold is about log(1/falseAlarmRate): it bounds how often the targets that
	// are faulty by themselves make a good version look bad.
	versionThreshold = 7.9
	// signPart is the part of the threshold at which the evidence for a fault stops an
	// expansion, and strongPart the part at which it does so until the deadline.
	signPart   = 0.25
	strongPart = 0.65
	// certainPart is the part of versionThreshold that is strong evidence if noise is ruled
	// out, and strongAnswers the log-likelihood ratio that all answers together need
	// otherwise: one bad answer is not enough.
	certainPart   = 0.56
	strongAnswers = 4.1
	// slowFactor is how many times the old version's median a slow answer takes.
	slowFactor = 3
	// keptPolls is the number of polls whose evidence is kept by itself, so that a fault that
	// begins late is not outweighed by good answers before. It covers 19 s.
	keptPolls = 64
)

// kind is a set of calls that a fault may be limited to: those on one route, those that start
// at a level of load or above it, or all. Level 0 holds all loads.
type kind struct {
	route string
	level int
}

// allCalls is the kind of all calls.
var allCalls kind

// windows are the numbers of polls that a test looks back; the last one means since the start.
var windows = [...]int{1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, keptPolls}

// compareWith returns the baseline that the old version's answers in a period give. all are
// its times since the order.
func compareWith(period oldAnswers, all Histogram) baseline {
	b := baseline{p0: 0.02, answers: period.answers, median: all.Quantile(0.5)}
	if period.answers >= minCompared {
		if period.times.Total() >= minCompared/2 {
			b.median = period.times.Quantile(0.5)
		}
		bad := period.failures + period.times.Above(slowFactor*b.median)
		b.p0 = min(max(float64(bad)/float64(period.answers), 0.01), 0.5)
	}
	b.slow = slowFactor * b.median
	b.p1 = min(0.9, max(b.p0+0.2, 3*b.p0))
	return b
}

// ratio returns the log-likelihood ratio of answers between a bad and a good version.
func (b baseline) ratio(answers, bad uint64) float64 {
	good := answers - min(bad, answers)
	return float64(bad)*math.Log(b.p1/b.p0) + float64(good)*math.Log((1-b.p1)/(1-b.p0))
}

// test holds the log-likelihood ratios of one owner on one route, by poll.
type test struct {
	answers, bad uint64
	// polls holds the ratio of each poll, the newest last, and last is its number.
	polls []float64
	last  int
	// before is the sum of older polls, and cusum the largest sum of a run of polls up to
	// the last.
	before, cusum float64
}

// add adds the ratio of the answers in a poll.
func (t *test) add(poll int, ratio float64) {
	t.advance(poll)
	t.polls[len(t.polls)-1] += ratio
	t.cusum = max(0, t.cusum+ratio)
}

// advance makes a poll the last one.
func (t *test) advance(poll int) {
	for n := min(poll-t.last, keptPolls); n > 0; n-- {
		t.polls = append(t.polls, 0)
	}
	t.last = poll
	for len(t.polls) > keptPolls {
		t.before += t.polls[0]
		t.polls = t.polls[1:]
	}
}

// sums returns the ratio of the answers in each of the windows.
func (t *test) sums() [len(windows)]float64 {
	var sums [len(windows)]float64
	sum, next := 0.0, 0
	for n := 1; n <= keptPolls; n++ {
		if n <= len(t.polls) {
			sum += t.polls[len(t.polls)-n]
		}
		if n == windows[next] {
			sums[next] = sum
			next++
		}
	}
	sums[len(sums)-1] += t.before
	return sums
}

// compare adds the owner's answers since an earlier report to its tests.
func (o *owner) compare(b *observations, before Evidence) {
	for _, r := range o.report.Routes {
		d := r.since(before.Routes)
		if d.Answers == 0 {
			continue
		}
		base := compareWith(oldAnswers{}, Histogram{})
		if old := b.routes[r.Route]; old != nil {
			base = old.base
		}
		if base.slow == 0 {
			// The first reports to a controller that takes over hold all earlier answers.
			base.slow = b.slow[r.Route]
		}
		bad := min(d.Failures+d.Times.Above(base.slow), d.Answers)
		ratio := base.ratio(d.Answers, bad)
		o.addAnswers(b, allCalls, d.Answers, bad, ratio)
		if r.Route != "" && (o.tests[kind{route: r.Route}] != nil || len(o.tests) < maxRoutes) {
			o.addAnswers(b, kind{route: r.Route}, d.Answers, bad, ratio)
		}
		o.answers += d.Answers
	}
	loads := o.report.Loads.since(before.Loads)
	for level := 1; level < len(loadLevels); level++ {
		var answers, bad uint64
		ratio := 0.0
		for l, c := range loads[level:] {
			answers += c.Answers
			bad += min(c.Bad, c.Answers)
			ratio += b.atLoad(level+l).ratio(c.Answers, min(c.Bad, c.Answers))
		}
		if answers > 0 {
			o.addAnswers(b, kind{level: level}, answers, bad, ratio)
		}
	}
}

// addAnswers adds the answers of a kind in a poll to its test.
func (o *owner) addAnswers(b *observations, k kind, answers, bad uint64, ratio float64) {
	t := o.tests[k]
	if t == nil {
		t = &test{last: b.polls - 1}
		o.tests[k] = t
	}
	t.answers += answers
	t.bad += bad
	t.add(b.polls, ratio)
	o.bad = o.bad || t.cusum >= ownerThreshold
}

// suspicion returns the log-likelihood ratio of the owner's answers since they began to be
// bad, 0 if they are good.
func (o *owner) suspicion() float64 {
	if t := o.tests[allCalls]; t != nil {
		return t.cusum
	}
	return 0
}

// weigh returns the log-likelihood ratio that one owner contributes to the version's, from those
// of its answers to the tested kind of calls and to all calls. Both a faulty target of a good
// version and a sound one of a bad version are possible. Over all calls no owner contributes
// more than log(1/faultyTargets), whatever it answers. On one kind it may contribute more, if
// its answers to the other calls are good.
func weigh(tested, all float64) float64 {
	e := math.Exp(min(tested, 50))
	faulty := (1-partlyFaulty)*math.Exp(min(all, 50)) + partlyFaulty*e
	return math.Log(((1-soundTargets)*e + soundTargets) / (faultyTargets*faulty + 1 - faultyTargets))
}

// Verdict describes the evidence on one route, at a load, or on all calls if Route is "" and
// Running is 0.
type Verdict struct {
	// Bad is set if the version is bad, Sign and Strong if the evidence for it is considerable
	// but not enough.
	Bad, Sign, Strong bool
	Route             string
	// Running is the number of calls in progress from which on the calls count, 0 for all.
	Running int
	// NewAnswers and NewBad count the answers of the new version, OldAnswers those of the old
	// version in the period that they are compared with, of which the part OldBad was bad.
	NewAnswers, NewBad, OldAnswers uint64
	OldBad                         float64
	// OldMedian is the median time of the old version, and Slow the time above which an
	// answer is bad.
	OldMedian, Slow time.Duration
	// BadOwners of TriedOwners showed a fault by themselves.
	BadOwners, TriedOwners int
	// Evidence is the largest log-likelihood ratio of the version over the windows.
	Evidence float64
}

// total is the evidence of all owners in one window.
type total struct {
	raw, weighed float64
	// owners counts those with answers, against those whose answers indicate a fault.
	owners, against int
}

// strong reports whether the evidence on a kind of calls is strong, given the thresholds of a
// verdict. One bad answer is not, nor are few answers of a kind that is one of many.
func (t total) strong(k kind, raw, weighed float64) bool {
	if k != allCalls && t.raw < ownerThreshold {
		return false
	}
	return t.raw >= strongAnswers && t.weighed > strongPart*weighed ||
		k == allCalls && t.raw >= raw && t.weighed > certainPart*weighed
}

// compared returns the old version's answers that a verdict compares with, nil if there are
// none or each route has its own.
func (b *observations) compared(v Verdict) *oldRoute {
	if v.Running > 0 {
		return &b.loads[levelOf(v.Running)]
	}
	return b.routes[v.Route]
}

// comparable reports whether there were answers of the old version to a kind of calls. A
// controller that takes over during the drain has none. Calls that fail for another reason, such
// as a service that they need, then look like a fault of the version, so that only
// owners whose answers show a fault by themselves count against it.
func (b *observations) comparable(k kind) bool {
	switch {
	case k.route != "":
		return b.routes[k.route] != nil && b.routes[k.route].answered
	case k.level > 0:
		return b.loads[k.level].answered
	}
	for _, r := range b.routes {
		if r.answered {
			return true
		}
	}
	return false
}

// verdict tests the new version on each route, at each load and on all calls, and returns
// the strongest evidence. It is bad if over the same window the answers of a majority of the owners indicate
// a fault and two sums pass their thresholds: that of all answers, which noise rarely does,
// and that of the owners by their weighed contributions, which faulty single targets rarely
// do. expected is the number of owners that the new version
// will have at least.
func (b *observations) verdict(now time.Time, expected int) Verdict {
	totals := map[kind]*[len(windows)]total{}
	verdicts := map[kind]*Verdict{}
	owners := 0
	for _, o := range b.newOwners() {
		if o.answers > 0 || o.alive(now) && !o.report.OutOfService && o.report.State != model.TargetAbsent {
			owners++
		}
		var all [len(windows)]float64
		if t := o.tests[allCalls]; t != nil {
			t.advance(b.polls)
			all = t.sums()
		}
		for k, t := range o.tests {
			v := verdicts[k]
			if v == nil {
				v = &Verdict{Route: k.route, Evidence: math.Inf(-1)}
				verdicts[k] = v
				if k.level > 0 {
					v.Running = loadLevels[k.level]
				}
				totals[k] = new([len(windows)]total)
			}
			v.NewAnswers += t.answers
			v.NewBad += t.bad
			if t.answers >= triedAnswers {
				v.TriedOwners++
			}
			if t.cusum >= ownerThreshold {
				v.BadOwners++
			}
			t.advance(b.polls)
			least := 0.0
			if !b.comparable(k) {
				least = ownerThreshold
			}
			for i, ratio := range t.sums() {
				if ratio == 0 || ratio > 0 && ratio < least {
					continue
				}
				sum := &totals[k][i]
				sum.raw += ratio
				sum.weighed += weigh(ratio, all[i])
				sum.owners++
				if ratio > 0 {
					sum.against++
				}
			}
		}
	}
	raw := math.Log(2 / falseAlarmRate * float64(max(b.polls, 1)*max(len(verdicts), 1)))
	// A service with few instances can't show more than each of them being bad.
	weighed := min(versionThreshold, 0.95*float64(max(owners, expected))*math.Log((1-soundTargets)/faultyTargets))
	worst, strong := Verdict{Evidence: math.Inf(-1)}, false
	for k, v := range verdicts {
		for _, sum := range totals[k] {
			v.Evidence = max(v.Evidence, sum.weighed)
			v.Bad = v.Bad || sum.raw >= raw && sum.weighed >= weighed && 2*sum.against > sum.owners
			v.Strong = v.Strong || sum.against >= min(owners, 2) && sum.strong(k, raw, weighed)
		}
		strong = strong || v.Strong
		if v.Bad && !worst.Bad || v.Bad == worst.Bad && v.Evidence > worst.Evidence {
			worst = *v
		}
	}
	worst.Strong = strong
	worst.Sign = worst.Evidence > signPart*weighed
	if old := b.compared(worst); old != nil {
		worst.OldAnswers, worst.OldBad = old.base.answers, old.base.p0
		worst.OldMedian, worst.Slow = old.base.median, old.base.slow
	}
	return worst
}
