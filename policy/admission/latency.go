package admission

import (
	"math"
	"time"
)

const (
	// minBaselineSamples is the number of completions after which the mean
	// latency of a warm target is a baseline, and the variance of its latency
	// is used.
	minBaselineSamples = 128
	// minBaselineGain is the lower bound of the weight of a new sample in the
	// baseline.
	minBaselineGain = 1.0 / 256
	// minAccountSamples is the number of completions after which an account
	// has a baseline of its own.
	minAccountSamples = 64
	// minAccountGain is the lower bound of the weight of a new sample in an
	// account's baseline.
	minAccountGain = 1.0 / 64
	// newAccountWeight is the weight of the evidence from an account without a
	// baseline of its own, whose calls may just be expensive.
	newAccountWeight = 0.25
	// maxNewAccountSamples is the number of completions of such an account
	// that count as evidence against a warm target. It keeps one account with
	// expensive calls from making the target cold while the account's baseline
	// is being learned.
	maxNewAccountSamples = 4
	// slackRatio is the ratio of a latency to the expected one up to which it
	// is no evidence that the target is cold (the slack of the CUSUM test).
	slackRatio = 4.0
	// maxRatio bounds the evidence of one completion.
	maxRatio = 16.0
	// maxStalledRatio bounds the evidence of a call in flight at a target that
	// has completed nothing for stallTimeRatio times the reference latency.
	maxStalledRatio = 1024.0
	stallTimeRatio  = 16.0
	// minThreshold and thresholdPerVariance set the CUSUM threshold, which
	// grows with the variance of the latency.
	minThreshold         = 10.0
	thresholdPerVariance = 6.0
	// minColdThresholdShare is the fraction of that threshold at which the
	// limit of a cold target with few open slots is lowered. It is small
	// because lowering the limit costs less than wrongly turning a warm target
	// cold.
	minColdThresholdShare = 0.3
	// maxWarmRatio is the mean ratio to the baseline up to which a cold target
	// counts as answering as it did when warm.
	maxWarmRatio = 1.5
	// assumedVariance is the variance of the logarithm of the latency that is
	// assumed before enough samples are known: that of an exponential
	// distribution.
	assumedVariance = 1.64
	// offsetGain is the weight of the mean ratio at an accepted limit in the
	// offset of the reference latency.
	offsetGain = 0.25
	// maxOffsetRatio bounds the reference latency, as a ratio to the latency
	// at the fastest limit, when it follows slower limits.
	maxOffsetRatio = 2.0
	// rebaseSamples is the number of completions at the initial limit after
	// which the latency of a target that stays slow becomes the reference.
	rebaseSamples = 64
)

var (
	logSlack     = math.Log(slackRatio)
	logMaxOffset = math.Log(maxOffsetRatio)
	logMaxWarm   = math.Log(maxWarmRatio)
	logMax       = math.Log(maxRatio)

	logMaxStalled = math.Log(maxStalledRatio)
)

// moments is a running mean and variance.
type moments struct {
	count    int
	mean     float64
	variance float64
}

// add includes a sample. Its weight is 1/count, but at least gain.
func (m *moments) add(x, gain float64) {
	m.count++
	gain = max(gain, 1/float64(m.count))
	delta := x - m.mean
	m.mean += gain * delta
	m.variance = (1 - gain) * (m.variance + gain*delta*delta)
}

// detector tells a target that turned cold from noise. It is a one-sided CUSUM
// test on the logarithm of the ratio of each latency to the one that is
// expected for the account: each completion adds its logarithm less a slack,
// and the sum never falls below 0. A noisy neighbour that triples the latency
// adds nothing; a collapse reaches the threshold in about ten completions.
// Calls in flight count with the time that they have taken so far, because a
// target that collapses completes nothing.
type detector struct {
	baseline      moments // log latency of the warm target, all accounts
	spread        moments // log ratio to the expected latency, while warm
	limitStats    moments // log ratio at the current limit, while cold
	previousStats moments // the same at the limit before
	score         float64
	// offset is the log ratio of the reference latency to the baseline.
	// Without a baseline it is the logarithm of the reference latency.
	offset float64
	// minOffset is the lowest mean at an accepted limit, on the scale of
	// offset.
	minOffset    float64
	hasReference bool // whether there is a reference latency
	cold         bool // whether the target is cold
	// seeded is true when the baseline was set at the end of a cold start.
	seeded bool
	// generation of the baseline. Baselines of accounts from earlier
	// generations are invalid.
	generation int
}

// restart discards the evidence when the target turns cold. The reference is
// then the warm target's baseline, if there is one.
func (d *detector) restart() {
	d.resetLimitStats()
	d.offset = 0
	d.hasReference = d.hasBaseline()
	d.cold = true
}

// resetLimitStats discards the evidence and begins the statistics of another
// limit.
func (d *detector) resetLimitStats() {
	d.previousStats = d.limitStats
	d.limitStats = moments{}
	d.score = 0
}

// hasBaseline reports whether the baseline can be compared with.
func (d *detector) hasBaseline() bool { return d.seeded || d.baseline.count >= minBaselineSamples }

// logRatio returns the logarithm of the ratio of the latency to the expected
// one, and its weight as evidence.
func (d *detector) logRatio(account *latencyBaseline, latency time.Duration) (x, weight float64) {
	x = logSeconds(latency) - d.offset
	switch {
	case account.generation == d.generation && account.count >= minAccountSamples:
		return x - account.mean, 1
	case d.hasBaseline():
		return x - d.baseline.mean, d.newAccountWeight(account)
	default:
		return x, 1
	}
}

func (d *detector) newAccountWeight(account *latencyBaseline) float64 {
	if !d.cold && account.generation == d.generation && account.count >= maxNewAccountSamples {
		return 0
	}
	return newAccountWeight
}

// observeWarm records a completion at a warm target.
func (d *detector) observeWarm(account *latencyBaseline, latency time.Duration) {
	x, weight := d.logRatio(account, latency)
	if d.hasReference {
		d.add(x, weight)
		d.spread.add(min(x, logMax), minBaselineGain)
	}
	d.updateBaseline(account, logSeconds(latency))
	d.baseline.add(logSeconds(latency), minBaselineGain)
	d.hasReference = d.hasBaseline()
}

// updateBaseline includes a log latency in an account's baseline. One sample
// moves the baseline up by no more than the slack would, so that a collapse
// does not become the baseline before it is detected.
func (d *detector) updateBaseline(account *latencyBaseline, x float64) {
	if account.generation != d.generation || account.count == 0 {
		*account = latencyBaseline{generation: d.generation, count: 1, mean: x}
		return
	}
	account.count++
	gain := max(minAccountGain, 1/float64(account.count))
	account.mean += gain * min(x-account.mean, logSlack)
}

// observeCold records a completion at a cold target.
func (d *detector) observeCold(account *latencyBaseline, latency time.Duration) {
	x, weight := d.logRatio(account, latency)
	d.limitStats.add(x, 0)
	if d.hasReference {
		d.add(x, weight)
	}
}

// observeAbandoned records a call that its caller abandoned. The latency is
// only a lower bound, so it can raise the score but not lower it.
func (d *detector) observeAbandoned(account *latencyBaseline, latency time.Duration) {
	if d.hasReference {
		d.score += d.ageEvidence(account, latency, logMax)
	}
}

// add adds the log ratio of one completion to the CUSUM score.
func (d *detector) add(x, weight float64) {
	d.score = max(0, d.score+weight*(min(x, logMax)-logSlack))
}

// ageEvidence returns the evidence of a call that has taken the given time so
// far. The log ratio is capped at bound.
func (d *detector) ageEvidence(account *latencyBaseline, age time.Duration, bound float64) float64 {
	if age <= 0 {
		return 0
	}
	x, weight := d.logRatio(account, age)
	return max(0, weight*(min(x, bound)-logSlack))
}

// threshold returns the evidence that makes a warm target cold. It is up to
// twice as high until the variance of the latency is known well.
func (d *detector) threshold() float64 {
	variance, uncertainty := assumedVariance, 2.0
	if d.spread.count >= minBaselineSamples {
		variance = d.spread.variance
		uncertainty = 1 + minBaselineSamples/float64(d.spread.count)
	}
	return uncertainty * max(minThreshold, thresholdPerVariance*variance)
}

// coldThreshold returns the evidence at which the limit of a cold target is
// lowered, given the fraction of its slots that are open. A noisy neighbour
// slows all calls in flight at once, so the threshold rises with their number.
func (d *detector) coldThreshold(open float64) float64 {
	variance := assumedVariance
	if d.spread.count >= minBaselineSamples {
		variance = d.spread.variance
	}
	share := minColdThresholdShare + (1-minColdThresholdShare)*open
	return share * max(minThreshold, thresholdPerVariance*variance)
}

// slow reports whether the mean ratio at the current limit is above the slack.
func (d *detector) slow() bool { return d.hasReference && d.limitStats.mean > logSlack }

// matchesBaseline reports whether a cold target answers as it did when warm.
func (d *detector) matchesBaseline() bool {
	return d.hasBaseline() && d.offset == 0 && d.limitStats.mean <= logMaxWarm
}

// rebase makes the mean latency at the current limit the reference.
func (d *detector) rebase() {
	d.hasReference = true
	d.offset += d.limitStats.mean
	d.minOffset = d.offset
	d.resetLimitStats()
}

// acceptLimit ends the statistics of a limit at which the latency was good.
// Unless the reference is the warm target's baseline, it follows the latency
// of the target as it warms up.
func (d *detector) acceptLimit() {
	if !d.hasReference {
		d.rebase()
		return
	}
	if d.offset != 0 || !d.hasBaseline() {
		d.minOffset = min(d.minOffset, d.offset+d.limitStats.mean)
		d.offset = min(d.offset+offsetGain*d.limitStats.mean, d.minOffset+logMaxOffset)
	}
	d.resetLimitStats()
}

// commitBaseline makes the reference at the end of a cold start the baseline.
func (d *detector) commitBaseline() {
	if !d.hasBaseline() {
		d.baseline = d.previousStats
		d.seeded = true
	}
	if d.offset != 0 {
		d.baseline.mean += d.offset
		d.generation++
	}
	d.offset = 0
	d.cold = false
	d.resetLimitStats()
}

// minSuspectAge returns the age from which on a call of the account is evidence,
// or 0 if there is no reference latency.
func (d *detector) minSuspectAge(account *latencyBaseline) time.Duration {
	if !d.hasReference {
		return 0
	}
	x, _ := d.logRatio(account, time.Second)
	return scale(time.Second, slackRatio*math.Exp(-x))
}

// referenceLatency returns the latency that is currently normal, or 0 if it is
// not known.
func (d *detector) referenceLatency() time.Duration {
	if !d.hasReference {
		return 0
	}
	mean := d.offset
	if d.hasBaseline() {
		mean += d.baseline.mean
	}
	return time.Duration(math.Exp(mean) * float64(time.Second))
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, time.Microsecond).Seconds())
}
