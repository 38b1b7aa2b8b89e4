package admission

import (
	"math"
	"time"
)

const (
	// trustedSamples is the number of completions after which the mean of a
	// warm target's latency is a baseline.
	trustedSamples = 32
	// baselineGain is the least share of a new sample in the baseline.
	baselineGain = 1.0 / 256
	// slackRatio is the latency, as a ratio to the reference, up to which a
	// completion is no evidence of a cold target.
	slackRatio = 3.0
	// maxRatio bounds the evidence of one completion.
	maxRatio = 16.0
	// minThreshold and thresholdPerVariance set the evidence that is needed;
	// the more the latencies spread, the more it is.
	minThreshold         = 10.0
	thresholdPerVariance = 6.0
	// assumedVariance is the variance of the logarithm of the latency before
	// enough samples are known; that of an exponential distribution.
	assumedVariance = 1.64
	// rebaseSamples is the number of completions at the trickle after which a
	// target that stays slow is taken as it is.
	rebaseSamples = 64
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

func (m *moments) trusted() bool { return m.count >= trustedSamples }

// detector tells a target that turned cold from noise. It is a one-sided
// CUSUM test on the logarithm of the latency against a reference: each
// completion adds the logarithm of its ratio to the reference less a slack,
// and the sum never falls below 0. A noisy neighbour that triples the latency
// adds nothing; a collapse reaches the threshold in about ten completions.
// Calls in flight count with the time that they have taken so far, because a
// target that collapses completes nothing.
type detector struct {
	baseline moments // of the warm target
	level    moments // at the present limit
	previous moments // at the limit before
	score    float64
	// reference is the latency to compare with, in log seconds.
	reference float64
	known     bool // whether there is a reference
}

// restart forgets the evidence, and compares with the warm target's baseline
// if there is one.
func (d *detector) restart() {
	d.level = moments{}
	d.score = 0
	d.known = d.baseline.trusted()
	d.reference = d.baseline.mean
}

// nextLevel starts the samples of another limit.
func (d *detector) nextLevel() {
	d.previous = d.level
	d.level = moments{}
	d.score = 0
}

// learnWarm takes a completion of a warm target in.
func (d *detector) learnWarm(latency time.Duration) {
	x := logSeconds(latency)
	d.baseline.add(x, baselineGain)
	if !d.baseline.trusted() {
		return
	}
	d.known = true
	d.reference = d.baseline.mean
	d.add(x)
}

// learnCold takes a completion of a cold target in.
func (d *detector) learnCold(latency time.Duration) {
	x := logSeconds(latency)
	d.level.add(x, 0)
	if d.known {
		d.add(x)
	}
}

// learnCut takes in a call that the caller gave up: it took at least so long.
func (d *detector) learnCut(latency time.Duration) {
	if d.known {
		d.score += d.excess(latency)
	}
}

func (d *detector) add(x float64) {
	d.score = max(0, d.score+min(x-d.reference, math.Log(maxRatio))-math.Log(slackRatio))
}

// excess returns the evidence of a call that has taken so long and goes on.
func (d *detector) excess(age time.Duration) float64 {
	if age <= 0 {
		return 0
	}
	return max(0, min(logSeconds(age)-d.reference, math.Log(maxRatio))-math.Log(slackRatio))
}

func (d *detector) threshold() float64 {
	variance := assumedVariance
	if d.baseline.trusted() {
		variance = d.baseline.variance
	}
	return max(minThreshold, thresholdPerVariance*variance)
}

// slow reports whether the mean at the present limit is above the slack.
func (d *detector) slow() bool {
	return d.known && d.level.mean-d.reference > math.Log(slackRatio)
}

// adopt makes the mean at the present limit the reference.
func (d *detector) adopt() {
	d.known = true
	d.reference = d.level.mean
	d.score = 0
}

// referenceTime returns the reference as a duration; 0 when there is none.
func (d *detector) referenceTime() time.Duration {
	if !d.known {
		return 0
	}
	return time.Duration(math.Exp(d.reference) * float64(time.Second))
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, time.Microsecond).Seconds())
}

// compareWithBest keeps the lowest mean that a limit of this cold start had
// as the reference, unless the warm target's baseline is known.
func (d *detector) compareWithBest() {
	if !d.known || (!d.baseline.trusted() && d.level.mean < d.reference) {
		d.adopt()
	}
	d.nextLevel()
}

// settle starts the baseline of a target that has become warm, if it has none,
// from the samples at the last limit of its cold start.
func (d *detector) settle() {
	if !d.baseline.trusted() {
		d.baseline = d.previous
	}
	d.nextLevel()
}
