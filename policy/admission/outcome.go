package admission

import (
	"time"

	"zinniafall/policy/model"
)

// recordOutcome updates the state of the target by the end of a call. Calls
// that started in an earlier trial are ignored.
func (o *Owner) recordOutcome(now time.Time, r running, outcome Outcome) {
	if r.trial != o.trial {
		return
	}
	current := r.epoch == o.limit.epoch
	switch outcome.Result {
	case Completed:
		o.outcomeWindow.add(r.flow.Account(), false)
		o.lastCompleted = now
		o.breaker.countCompletion()
		o.updateServiceTime(outcome.ServiceTime)
		if current {
			o.recordCompletion(now, r, outcome.ServiceTime)
		}
	case Failed:
		o.recordFailure(now, r)
	case Shed:
		o.recordShed(now, r)
	case Crashed:
		o.recordCrash(now, r)
	case Abandoned:
		if current {
			o.latency.observeAbandoned(&r.flow.State.latency, outcome.ServiceTime)
		}
	}
	o.checkLatency(now)
}

// serviceGain is the weight of a new sample in the mean service time.
const serviceGain = 0.125

func (o *Owner) updateServiceTime(latency time.Duration) {
	if o.serviceTime == 0 {
		o.serviceTime = latency
		return
	}
	o.serviceTime += scale(latency-o.serviceTime, serviceGain)
}

func (o *Owner) recordCompletion(now time.Time, r running, latency time.Duration) {
	switch o.State() {
	case model.TargetWarm:
		o.latency.observeWarm(&r.flow.State.latency, latency)
		if !o.limit.full() {
			o.limit.countGood(r.occupancy)
			o.increaseWarmLimit()
		}
	case model.TargetCold:
		o.latency.observeCold(&r.flow.State.latency, latency)
		o.limit.countGood(r.occupancy)
		o.increaseColdLimit()
	}
}

func (o *Owner) increaseWarmLimit() {
	if o.limit.canIncrease() {
		o.limit.increase()
	}
}

// increaseColdLimit takes the next step of a cold start once there are enough
// good completions at the current limit. If the latency at this limit is too
// high, the limit is rejected instead.
func (o *Owner) increaseColdLimit() {
	if !o.limit.canIncrease() {
		return
	}
	if o.latency.slow() {
		o.rejectLimit()
		return
	}
	fast := o.latency.matchesBaseline() && o.limit.failedLimit == 0
	o.latency.acceptLimit()
	if fast {
		o.limit.double()
	} else {
		o.limit.increase()
	}
	if o.limit.full() {
		o.completeRamp()
	}
}

// completeRamp ends a cold start: all slots are open.
func (o *Owner) completeRamp() {
	o.sendEvent(eventRamped)
	o.limit.clearFailedLimit()
	o.breaker.reset()
	o.latency.commitBaseline()
}

// checkLatency turns a warm target cold, or lowers the limit of a cold one,
// when the evidence from its latency reaches the threshold.
func (o *Owner) checkLatency(now time.Time) {
	if !o.latency.hasReference {
		return
	}
	evidence := o.latency.score + o.inFlightEvidence(now)
	switch state := o.State(); {
	case state == model.TargetWarm && evidence >= o.latency.threshold():
		o.becomeCold(now, eventTurnedCold)
	case state == model.TargetCold && evidence >= o.latency.coldThreshold(o.limit.openFraction()):
		o.rejectLimit()
	}
}

// rejectLimit handles a cold target that became slow: it lowers the limit or,
// at the initial limit, counts good completions from zero. If the target stays
// slow at the initial limit, its latency becomes the reference.
func (o *Owner) rejectLimit() {
	if o.limit.limit > initialLimit {
		o.limit.stepBack()
		o.latency.resetLimitStats()
		return
	}
	o.limit.goodCompletions = 0
	o.latency.score = 0
	if o.latency.limitStats.count >= rebaseSamples {
		o.latency.rebase()
	}
}

// inFlightEvidence returns the evidence of the calls in flight that started in
// the current epoch.
func (o *Owner) inFlightEvidence(now time.Time) float64 {
	sum := 0.0
	for i := range o.running {
		r := &o.running[i]
		age := now.Sub(r.started)
		if r.epoch == o.limit.epoch && age > r.suspectAge {
			sum += o.latency.ageEvidence(&r.flow.State.latency, age, o.evidenceBound(now))
		}
	}
	return sum
}

// evidenceBound returns the cap on the log ratio of the age of a call in flight
// to its expected latency. The cap is higher when the target has completed
// nothing for stallTimeRatio times the reference latency.
func (o *Owner) evidenceBound(now time.Time) float64 {
	if now.Sub(o.lastCompleted) > scale(o.latency.referenceLatency(), stallTimeRatio) {
		return logMaxStalled
	}
	return logMax
}

func (o *Owner) recordFailure(now time.Time, r running) {
	o.outcomeWindow.add(r.flow.Account(), true)
	if o.State() == model.TargetCold {
		o.limit.goodCompletions = 0
	}
	o.tripIfFailing(now)
}

// recordShed lowers the limit of a target that sheds load. At the initial
// limit, shed calls count as failures.
func (o *Owner) recordShed(now time.Time, r running) {
	if o.limit.limit > initialLimit {
		o.limit.decrease(r.epoch)
		o.latency.resetLimitStats()
		return
	}
	o.outcomeWindow.add(r.flow.Account(), true)
	o.tripIfFailing(now)
}

// recordCrash returns the target to the initial limit, or opens the circuit
// breaker if it trips.
func (o *Owner) recordCrash(now time.Time, r running) {
	if !o.acceptsCalls() {
		return
	}
	if o.breaker.countCrash() {
		o.becomeFailing(now)
		return
	}
	if o.State() == model.TargetWarm {
		o.becomeCold(now, eventTurnedCold)
		return
	}
	o.limit.open(initialLimit)
	o.latency.resetLimitStats()
}

func (o *Owner) tripIfFailing(now time.Time) {
	if o.acceptsCalls() && o.outcomeWindow.shouldTrip(o.breaker.failureThreshold()) {
		o.becomeFailing(now)
	}
}

// acceptsCalls reports whether the target is cold or warm.
func (o *Owner) acceptsCalls() bool {
	s := o.State()
	return s == model.TargetCold || s == model.TargetWarm
}
