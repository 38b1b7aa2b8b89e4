package admission

// The proof that a limit needs before it widens by one.
const (
	// initialLimit is the limit of a target that has proven nothing.
	initialLimit = 1
	// minProof is the least number of completions at one limit.
	minProof = 16
	// proofPerSlot is the number of completions for each slot of the limit.
	proofPerSlot = 4
	// lowOccupancyProof is what a completion counts when the limit was not
	// nearly used up at its start.
	lowOccupancyProof = 0.25
	// claimProofFactor is the factor on the proof while the target says that it
	// is cold. Its word may be late or wrong, so it slows the ramp and no more.
	claimProofFactor = 4
	// proofFactorStep is the factor by which a setback raises the proof, up to
	// maxProofFactor.
	proofFactorStep = 4
	maxProofFactor  = 16
	// backoffPercent is what remains of the limit after the target shed load.
	backoffPercent = 70
	percent        = 100
)

// limiter holds the number of calls that may be in flight. It widens on
// proven completions and never on time alone. Each change starts an epoch;
// only calls that started in the present epoch count.
type limiter struct {
	slots int
	limit int
	epoch uint64
	proof float64
	// failedLimit is the limit at which the last setback came. The step up to
	// it needs proofFactor times the proof.
	failedLimit int
	proofFactor float64
	// claimed is true while the target says that it is cold.
	claimed bool
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
	l.proof = 0
}

func (l *limiter) open(limit int) { l.set(max(1, min(limit, l.slots))) }

func (l *limiter) close() { l.set(0) }

// part returns the part of the slots that is open.
func (l *limiter) part() float64 { return float64(l.limit) / float64(max(l.slots, 1)) }

func (l *limiter) full() bool { return l.limit >= l.slots }

// setback steps back from a limit that is not good, and asks for more proof
// than before at the next step up to it. The limit goes back by one to where
// it was proven; a setback at a limit that was proven halves it.
func (l *limiter) setback() {
	to := l.limit - 1
	if l.limit < l.failedLimit {
		to = l.limit / 2
	}
	l.failedLimit = l.limit
	l.proofFactor = min(proofFactorStep*max(l.proofFactor, 1), maxProofFactor)
	l.open(to)
}

// clearSetbacks forgets the setbacks.
func (l *limiter) clearSetbacks() {
	l.failedLimit = 0
	l.proofFactor = 0
}

// shed narrows the limit after the target turned work away, once for all the
// calls that were in flight together.
func (l *limiter) shed(epoch uint64) {
	if epoch == l.epoch && l.limit > initialLimit {
		l.open(l.limit * backoffPercent / percent)
	}
}

// good counts a good completion.
func (l *limiter) good(occupancy int) {
	if occupancy*4 >= l.limit*3 {
		l.proof++
		return
	}
	l.proof += lowOccupancyProof
}

// proven reports whether the limit may widen.
func (l *limiter) proven() bool {
	factor := 1.0
	if l.claimed {
		factor = claimProofFactor
	}
	if l.limit+1 >= l.failedLimit {
		factor = max(factor, l.proofFactor)
	}
	return l.proof >= factor*float64(max(minProof, proofPerSlot*l.limit))
}

// widen takes one step up.
func (l *limiter) widen() {
	if l.limit >= l.failedLimit {
		l.clearSetbacks()
	}
	l.open(l.limit + 1)
}

// double widens faster; for a target that answers as it did when warm and had
// no setback since.
func (l *limiter) double() { l.open(2 * l.limit) }
