package admission

import (
	"time"

	"zinniafall/policy/model"
)

// learn takes in what the end of a call says of the target.
func (o *Owner) learn(now time.Time, r running, outcome Outcome) {
	if r.trial != o.trial {
		return
	}
	current := r.epoch == o.limit.epoch
	switch outcome.Result {
	case Completed:
		o.outcomes.add(r.flow.Account(), false)
		o.lastCompleted = now
		o.circuit.completed()
		o.learnService(outcome.ServiceTime)
		if current {
			o.learnCompletion(now, r, outcome.ServiceTime)
		}
	case Failed:
		o.learnFailure(now, r)
	case Shed:
		o.learnShed(now, r)
	case Crashed:
		o.learnCrash(now, r)
	case Abandoned:
		if current {
			o.latency.learnCut(&r.flow.State.latency, outcome.ServiceTime)
		}
	}
	o.watch(now)
}

// serviceGain is the share of a new sample in the mean service time.
const serviceGain = 0.125

func (o *Owner) learnService(latency time.Duration) {
	if o.service == 0 {
		o.service = latency
		return
	}
	o.service += part(latency-o.service, serviceGain)
}

func (o *Owner) learnCompletion(now time.Time, r running, latency time.Duration) {
	switch o.State() {
	case model.TargetWarm:
		o.latency.learnWarm(&r.flow.State.latency, latency)
		if !o.limit.full() {
			o.limit.good(r.occupancy)
			o.widenWarm()
		}
	case model.TargetCold:
		o.latency.learnCold(&r.flow.State.latency, latency)
		o.limit.good(r.occupancy)
		o.widenCold()
	}
}

func (o *Owner) widenWarm() {
	if o.limit.proven() {
		o.limit.widen()
	}
}

// widenCold takes the next step of a cold start once the present limit has
// proven itself at good latency.
func (o *Owner) widenCold() {
	if !o.limit.proven() {
		return
	}
	if o.latency.slow() {
		o.repeatLevel()
		return
	}
	fast := o.latency.asWarm() && o.limit.failedLimit == 0
	o.latency.passLevel()
	if fast {
		o.limit.double()
	} else {
		o.limit.widen()
	}
	if o.limit.full() {
		o.ramped()
	}
}

func (o *Owner) ramped() {
	o.send(eventRamped)
	o.limit.clearSetbacks()
	o.circuit.reset()
	o.latency.settle()
}

// watch returns the target to the initial limit when its latency says that it
// is cold.
func (o *Owner) watch(now time.Time) {
	if !o.latency.known {
		return
	}
	evidence := o.latency.score + o.pending(now)
	switch state := o.State(); {
	case state == model.TargetWarm && evidence >= o.latency.threshold():
		o.becomeCold(now, eventTurnedCold)
	case state == model.TargetCold && evidence >= o.latency.coldThreshold(o.limit.part()):
		o.repeatLevel()
	}
}

// repeatLevel answers a cold target that got slow: it steps back or, at the
// initial limit, starts its proof again. One that stays slow there is taken as
// it is.
func (o *Owner) repeatLevel() {
	if o.limit.limit > initialLimit {
		o.limit.setback()
		o.latency.nextLevel()
		return
	}
	o.limit.proof = 0
	o.latency.score = 0
	if o.latency.level.count >= rebaseSamples {
		o.latency.adopt()
	}
}

// pending returns the evidence of the calls in flight that started in the
// present epoch.
func (o *Owner) pending(now time.Time) float64 {
	sum := 0.0
	for i := range o.running {
		r := &o.running[i]
		age := now.Sub(r.started)
		if r.epoch == o.limit.epoch && age > r.suspect {
			sum += o.latency.excess(&r.flow.State.latency, age, o.evidenceBound(now))
		}
	}
	return sum
}

// evidenceBound returns the bound of the evidence of one call in flight.
func (o *Owner) evidenceBound(now time.Time) float64 {
	if now.Sub(o.lastCompleted) > part(o.latency.referenceTime(), stalledRatio) {
		return logMaxStalled
	}
	return logMax
}

func (o *Owner) learnFailure(now time.Time, r running) {
	o.outcomes.add(r.flow.Account(), true)
	if o.State() == model.TargetCold {
		o.limit.proof = 0
	}
	o.tripIfBad(now)
}

// learnShed narrows the limit: the target has too much for now. One that
// sheds at the initial limit too is failing.
func (o *Owner) learnShed(now time.Time, r running) {
	if o.limit.limit > initialLimit {
		o.limit.shed(r.epoch)
		o.latency.nextLevel()
		return
	}
	o.outcomes.add(r.flow.Account(), true)
	o.tripIfBad(now)
}

// learnCrash returns the target to the initial limit; a second crash without a
// completion in between opens the circuit.
func (o *Owner) learnCrash(now time.Time, r running) {
	if !o.trying() {
		return
	}
	if o.circuit.crashed() {
		o.becomeFailing(now)
		return
	}
	if o.State() == model.TargetWarm {
		o.becomeCold(now, eventTurnedCold)
		return
	}
	o.limit.open(initialLimit)
	o.latency.nextLevel()
}

func (o *Owner) tripIfBad(now time.Time) {
	if o.trying() && o.outcomes.bad(o.circuit.failureThreshold()) {
		o.becomeFailing(now)
	}
}

// trying reports whether the target is cold or warm.
func (o *Owner) trying() bool {
	s := o.State()
	return s == model.TargetCold || s == model.TargetWarm
}
