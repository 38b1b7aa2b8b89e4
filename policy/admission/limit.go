package admission

// The parameters of the limiter.
const (
	// initialLimit is the limit of a cold target at its start.
	initialLimit = 1
	// minGoodCompletions is the minimum number of completions at one limit.
	minGoodCompletions = 16
	// goodCompletionsPerSlot is the number of completions for each slot of the
	// limit.
	goodCompletionsPerSlot = 4
	// lowOccupancyWeight is what a completion counts if the limit was not
	// nearly used up when the call started.
	lowOccupancyWeight = 0.25
	// reportedColdFactor multiplies the completions needed while the target
	// reports that it is cold. The report may be late or wrong, so during a
	// cold start it only slows the ramp.
	reportedColdFactor = 4
	// retryFactorStep is the factor by which each step back multiplies the
	// completions needed to reach the failed limit again, up to
	// maxRetryFactor.
	retryFactorStep = 4
	maxRetryFactor  = 16
	// backoffPercent is what remains of the limit after the target shed load.
	backoffPercent = 70
	percent        = 100
)

// limiter holds the limit of calls in flight. It increases on good
// completions, never on time alone. Each change of the limit starts an epoch,
// and only calls that started in the current epoch count.
type limiter struct {
	slots           int
	limit           int
	epoch           uint64
	goodCompletions float64
	// failedLimit is the limit at which the last step back happened.
	// Increasing the limit to failedLimit or beyond needs retryFactor times
	// the completions.
	failedLimit int
	retryFactor float64
	// reportedCold is true while the target reports that it is cold.
	reportedCold bool
}

func (l *limiter) setSlots(slots int) {
	l.slots = slots
	if l.limit > slots {
		l.set(slots)
	}
}

func (l *limiter) set(limit int) {
	l.limit = limit
	l.epoch++
	l.goodCompletions = 0
}

func (l *limiter) open(limit int) { l.set(max(1, min(limit, l.slots))) }

func (l *limiter) close() { l.set(0) }

// openFraction returns the fraction of the slots that are open.
func (l *limiter) openFraction() float64 { return float64(l.limit) / float64(max(l.slots, 1)) }

func (l *limiter) full() bool { return l.limit >= l.slots }

// stepBack lowers a limit at which the latency was not good, and raises the
// number of completions needed to reach it again. The limit goes back by one
// to where completions were good, or to half if it is itself below the limit
// that failed last.
func (l *limiter) stepBack() {
	to := l.limit - 1
	if l.limit < l.failedLimit {
		to = l.limit / 2
	}
	l.failedLimit = l.limit
	l.retryFactor = min(retryFactorStep*max(l.retryFactor, 1), maxRetryFactor)
	l.open(to)
}

func (l *limiter) clearFailedLimit() {
	l.failedLimit = 0
	l.retryFactor = 0
}

// decrease lowers the limit after the target shed load, once for all the calls
// that were in flight together.
func (l *limiter) decrease(epoch uint64) {
	if epoch == l.epoch && l.limit > initialLimit {
		l.open(l.limit * backoffPercent / percent)
	}
}

// countGood counts a completion with good latency.
func (l *limiter) countGood(occupancy int) {
	if occupancy*4 >= l.limit*3 {
		l.goodCompletions++
		return
	}
	l.goodCompletions += lowOccupancyWeight
}

// canIncrease reports whether there were enough good completions at the limit.
func (l *limiter) canIncrease() bool {
	factor := 1.0
	if l.reportedCold {
		factor = reportedColdFactor
	}
	if l.limit+1 >= l.failedLimit {
		factor = max(factor, l.retryFactor)
	}
	return l.goodCompletions >= factor*float64(max(minGoodCompletions, goodCompletionsPerSlot*l.limit))
}

// increase raises the limit by one. It clears a failed limit once the
// completions at that limit were good.
func (l *limiter) increase() {
	if l.limit >= l.failedLimit {
		l.clearFailedLimit()
	}
	l.open(l.limit + 1)
}

// double doubles the limit of a target that answers as it did when warm and
// has no failed limit.
func (l *limiter) double() { l.open(2 * l.limit) }
