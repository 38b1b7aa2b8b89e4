package admission

import (
	"math"
	"time"

	"zinniafall/policy/model"
)

// Report states the target's load. The node fills in Process and Revision.
func (o *Owner) Report(now time.Time) model.Report {
	o.advance(now)
	o.sequence++
	return model.Report{
		Sequence:    o.sequence,
		State:       o.reportedState(),
		Slots:       clamp(o.limit.slots),
		Limit:       clamp(o.admits(now)),
		InFlight:    clamp(len(o.running)),
		Queued:      clamp(o.queue.Len()),
		ServiceTime: o.service,
	}
}

const (
	// fadeHalfLife is the time without a completion in which the reported
	// service time halves.
	fadeHalfLife = time.Second
	// fadeFloor is the service time below which a faded one is unknown.
	fadeFloor = 100 * time.Microsecond
)

// DecayServiceTime returns the service time to report when the last completion is idle
// ago. A target that was slow gets no calls, so that nothing would ever show
// that it has recovered; fading lets entries try it again now and then. 0 means
// that the service time is unknown.
func DecayServiceTime(service, idle time.Duration) time.Duration {
	if idle <= fadeHalfLife {
		return service
	}
	faded := time.Duration(float64(service) * math.Exp2(1-idle.Seconds()/fadeHalfLife.Seconds()))
	if faded < fadeFloor {
		return 0
	}
	return faded
}

// LastCompleted returns the time of the last completion, zero before the
// first.
func (o *Owner) LastCompleted() time.Time { return o.lastCompleted }

// reportedState is the target's state as others should treat it.
func (o *Owner) reportedState() model.TargetState {
	if o.gates.stopping && o.State() != model.TargetAbsent {
		return model.TargetDraining
	}
	return o.State()
}

// admits returns the number of calls that may be in flight now.
func (o *Owner) admits(now time.Time) int {
	if o.closed(now) != nil {
		return 0
	}
	return o.limit.limit
}

func clamp(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// SetMeasureRate sets the budget of health and load requests that reach the
// target, in requests a second; 0 or below allows none.
func (o *Owner) SetMeasureRate(perSecond float64) { o.measureRate = perSecond }

// AllowMeasure spends one health or load request from the budget. The budget
// starts empty, so that processes which replace each other at one target send
// no more together than one that stays.
func (o *Owner) AllowMeasure(now time.Time) bool {
	o.measure.SetRate(now, o.measureRate)
	return o.measure.Allow(now)
}
