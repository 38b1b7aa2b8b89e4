package admission

import (
	"math"
	"time"
)

const (
	// trustedSamples is the number of completions after which the mean of a
	// warm target's latency is a baseline.
	trustedSamples = 128
	// baselineGain is the least share of a new sample in the baseline.
	baselineGain = 1.0 / 256
	// trustedHistory is the number of completions after which an account has
	// a baseline of its own.
	trustedHistory = 64
	// historyGain is the least share of a new sample in an account's baseline.
	historyGain = 1.0 / 64
	// newcomerWeight is the weight of the evidence of an account that has no
	// baseline of its own: its calls may just be expensive ones.
	newcomerWeight = 0.25
	// newcomerSamples is the number of its completions that may be evidence
	// against a warm target, so that one account with expensive calls does not
	// make it cold while the account's baseline is being learned.
	newcomerSamples = 4
	// slackRatio is the ratio of a latency to the expected one up to which it
	// is no evidence of a cold target.
	slackRatio = 4.0
	// maxRatio bounds the evidence of one completion.
	maxRatio = 16.0
	// maxStalledRatio is the same for a call in flight at a target that has
	// completed nothing for stalledRatio times the normal latency.
	maxStalledRatio = 1024.0
	stalledRatio    = 16.0
	// minThreshold and thresholdPerVariance set the evidence that is needed;
	// the more the latencies spread, the more it is.
	minThreshold         = 10.0
	thresholdPerVariance = 6.0
	// coldShare is the part of that evidence at which a cold target with few
	// slots open steps back, which costs less than a false turn to cold.
	coldShare = 0.3
	// sameRatio is the mean ratio to the baseline up to which a target answers
	// as it did when warm.
	sameRatio = 1.5
	// assumedVariance is the variance of the logarithm of the latency before
	// enough samples are known; that of an exponential distribution.
	assumedVariance = 1.64
	// followGain is the share of a proven limit's mean in what is normal.
	followGain = 0.25
	// maxFollowRatio is the ratio to the fastest limit up to which what is
	// normal follows slower ones.
	maxFollowRatio = 2.0
	// rebaseSamples is the number of completions at the initial limit after
	// which a target that stays slow is taken as it is.
	rebaseSamples = 64
)

var (
	logSlack  = math.Log(slackRatio)
	logFollow = math.Log(maxFollowRatio)
	logSame   = math.Log(sameRatio)
	logMax    = math.Log(maxRatio)

	logMaxStalled = math.Log(maxStalledRatio)
)

// moments is a running mean and variance.
type moments struct {
	count    int
	mean     float64
	variance float64
}

// add takes a sample in with the given least gain.
func (m *moments) add(x, gain float64) {
	m.count++
	gain = max(gain, 1/float64(m.count))
	delta := x - m.mean
	m.mean += gain * delta
	m.variance = (1 - gain) * (m.variance + gain*delta*delta)
}

// detector tells a target that turned cold from noise. It is a one-sided
// CUSUM test on the logarithm of the ratio of each latency to the one that is
// expected for the account: each completion adds its logarithm less a slack,
// and the sum never falls below 0. A noisy neighbour that triples the latency
// adds nothing; a collapse reaches the threshold in about ten completions.
// Calls in flight count with the time that they have taken so far, because a
// target that collapses completes nothing.
type detector struct {
	baseline moments // log latency of the warm target, of all accounts
	spread   moments // log ratio to the expected latency, warm
	level    moments // log ratio at the present limit, cold
	previous moments // at the limit before
	score    float64
	// offset is the log ratio to the baseline that is normal now; without a
	// baseline it is the normal log latency.
	offset float64
	// best is the lowest mean of a proven limit, on the scale of offset.
	best  float64
	known bool // whether there is something to compare with
	cold  bool // whether the target is cold
	// seeded is true when the baseline began with a proven cold start.
	seeded bool
	// generation of the baseline; the histories of earlier ones are void.
	generation int
}

// restart forgets the evidence and compares with the warm target's baseline,
// if there is one.
func (d *detector) restart() {
	d.nextLevel()
	d.offset = 0
	d.known = d.trusted()
	d.cold = true
}

// nextLevel starts the samples of another limit.
func (d *detector) nextLevel() {
	d.previous = d.level
	d.level = moments{}
	d.score = 0
}

// trusted reports whether the baseline can be compared with.
func (d *detector) trusted() bool { return d.seeded || d.baseline.count >= trustedSamples }

// ratio returns the logarithm of the latency's ratio to the expected one, and
// the weight that it has as evidence.
func (d *detector) ratio(h *latencyHistory, latency time.Duration) (x, weight float64) {
	x = logSeconds(latency) - d.offset
	switch {
	case h.generation == d.generation && h.count >= trustedHistory:
		return x - h.mean, 1
	case d.trusted():
		return x - d.baseline.mean, d.newcomerWeight(h)
	default:
		return x, 1
	}
}

func (d *detector) newcomerWeight(h *latencyHistory) float64 {
	if !d.cold && h.generation == d.generation && h.count >= newcomerSamples {
		return 0
	}
	return newcomerWeight
}

// learnWarm takes a completion of a warm target in.
func (d *detector) learnWarm(h *latencyHistory, latency time.Duration) {
	x, weight := d.ratio(h, latency)
	if d.known {
		d.add(x, weight)
		d.spread.add(min(x, logMax), baselineGain)
	}
	d.remember(h, logSeconds(latency))
	d.baseline.add(logSeconds(latency), baselineGain)
	d.known = d.trusted()
}

// remember takes a log latency into an account's baseline. One sample moves
// it no further than the slack would, so that a collapse does not become the
// baseline before it is noticed.
func (d *detector) remember(h *latencyHistory, x float64) {
	if h.generation != d.generation || h.count == 0 {
		*h = latencyHistory{generation: d.generation, count: 1, mean: x}
		return
	}
	h.count++
	gain := max(historyGain, 1/float64(h.count))
	h.mean += gain * min(x-h.mean, logSlack)
}

// learnCold takes a completion of a cold target in.
func (d *detector) learnCold(h *latencyHistory, latency time.Duration) {
	x, weight := d.ratio(h, latency)
	d.level.add(x, 0)
	if d.known {
		d.add(x, weight)
	}
}

// learnCut takes in a call that the caller gave up: it took at least so long.
func (d *detector) learnCut(h *latencyHistory, latency time.Duration) {
	if d.known {
		d.score += d.excess(h, latency, logMax)
	}
}

func (d *detector) add(x, weight float64) {
	d.score = max(0, d.score+weight*(min(x, logMax)-logSlack))
}

// excess returns the evidence, up to a bound, of a call that has taken so long
// and goes on.
func (d *detector) excess(h *latencyHistory, age time.Duration, bound float64) float64 {
	if age <= 0 {
		return 0
	}
	x, weight := d.ratio(h, age)
	return max(0, weight*(min(x, bound)-logSlack))
}

// threshold returns the evidence that makes a warm target cold. Until the
// spread of the latencies is known well it is up to twice as high.
func (d *detector) threshold() float64 {
	variance, doubt := assumedVariance, 2.0
	if d.spread.count >= trustedSamples {
		variance = d.spread.variance
		doubt = 1 + trustedSamples/float64(d.spread.count)
	}
	return doubt * max(minThreshold, thresholdPerVariance*variance)
}

// coldThreshold returns the evidence that makes a cold target step back when
// it has the given part of its slots open. A noisy neighbour slows all calls
// in flight at once, so the threshold rises with their number.
func (d *detector) coldThreshold(open float64) float64 {
	variance := assumedVariance
	if d.spread.count >= trustedSamples {
		variance = d.spread.variance
	}
	share := coldShare + (1-coldShare)*open
	return share * max(minThreshold, thresholdPerVariance*variance)
}

// slow reports whether the mean at the present limit is above the slack.
func (d *detector) slow() bool { return d.known && d.level.mean > logSlack }

// asWarm reports whether the target answers as it did when it was warm.
func (d *detector) asWarm() bool {
	return d.trusted() && d.offset == 0 && d.level.mean <= logSame
}

// adopt makes the mean at the present limit the normal one.
func (d *detector) adopt() {
	d.known = true
	d.offset += d.level.mean
	d.best = d.offset
	d.nextLevel()
}

// passLevel ends the samples of a limit that has proven itself. Unless the
// warm target's baseline is what counts, what is normal follows the target as
// it warms up.
func (d *detector) passLevel() {
	if !d.known {
		d.adopt()
		return
	}
	if d.offset != 0 || !d.trusted() {
		d.best = min(d.best, d.offset+d.level.mean)
		d.offset = min(d.offset+followGain*d.level.mean, d.best+logFollow)
	}
	d.nextLevel()
}

// settle makes what was normal at the end of a cold start the baseline.
func (d *detector) settle() {
	if !d.trusted() {
		d.baseline = d.previous
		d.seeded = true
	}
	if d.offset != 0 {
		d.baseline.mean += d.offset
		d.generation++
	}
	d.offset = 0
	d.cold = false
	d.nextLevel()
}

// suspectTime returns the time from which on a call of the account is evidence;
// 0 when nothing is known to compare with.
func (d *detector) suspectTime(h *latencyHistory) time.Duration {
	if !d.known {
		return 0
	}
	x, _ := d.ratio(h, time.Second)
	return part(time.Second, slackRatio*math.Exp(-x))
}

// referenceTime returns the latency that is normal now; 0 if it is not known.
func (d *detector) referenceTime() time.Duration {
	if !d.known {
		return 0
	}
	mean := d.offset
	if d.trusted() {
		mean += d.baseline.mean
	}
	return time.Duration(math.Exp(mean) * float64(time.Second))
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, time.Microsecond).Seconds())
}
