package dispatch

import (
	"slices"
	"time"

	"zinniafall/policy/tokens"
)

// SetCold sets how long the target stays cold. It may have been cold since it was last known
// to be warm: the calls that started since then count, so that a target that turns cold
// during a burst does not get a second's worth of calls on top of them.
func (o *Owner) SetCold(now time.Time, left time.Duration) {
	wasCold := o.Cold(now)
	if left <= 0 {
		o.coldUntil = time.Time{}
		return
	}
	o.coldUntil = now.Add(left)
	if !wasCold {
		o.dropStarts(now.Add(-time.Second))
		o.coldTokens = tokens.Owing(now, len(o.warmStarts))
		o.warmStarts = nil
	}
}

// ColdLeft returns how long the target stays cold.
func (o *Owner) ColdLeft(now time.Time) time.Duration { return max(o.coldUntil.Sub(now), 0) }

// Cold reports whether the target is cold.
func (o *Owner) Cold(now time.Time) bool { return now.Before(o.coldUntil) }

// ConfirmWarm records that the target was not cold at a time.
func (o *Owner) ConfirmWarm(at time.Time) { o.dropStarts(at) }

// dropStarts forgets the calls to a warm target that started up to a time.
func (o *Owner) dropStarts(until time.Time) {
	later := slices.IndexFunc(o.warmStarts, func(started time.Time) bool { return started.After(until) })
	if later < 0 {
		later = len(o.warmStarts)
	}
	o.warmStarts = slices.Delete(o.warmStarts, 0, later)
}

// takeCold counts the start of a call against what a cold target tolerates.
func (o *Owner) takeCold(now time.Time) {
	if o.Cold(now) {
		o.refillColdTokens(now)
		o.coldTokens.Take()
		return
	}
	o.dropStarts(now.Add(-time.Second))
	o.warmStarts = append(o.warmStarts, now)
}

// WarmthUnsure reports whether so many calls have started since the target was last known to
// be warm that it must be asked again: they are half of what a cold one tolerates in a second.
func (o *Owner) WarmthUnsure(now time.Time) bool {
	if o.coldRate <= 0 || o.Cold(now) {
		return false
	}
	rate, burst := o.coldRateAndBurst()
	return float64(len(o.warmStarts)) >= (rate+burst)/2
}

// coldRateAndBurst returns the rate of calls to a cold target, in calls per
// second, and the number of calls that may start at once.
func (o *Owner) coldRateAndBurst() (rate, burst float64) {
	burst = max(coldSlackShare*o.options.ColdSlack, 1)
	tolerated := o.coldRate*max(o.options.ColdOvershoot, 1) + o.options.ColdSlack
	return max((tolerated-burst)/(time.Second+coldArrivalJitter).Seconds(), o.coldRate), burst
}

func (o *Owner) refillColdTokens(now time.Time) {
	rate, burst := o.coldRateAndBurst()
	o.coldTokens.Refill(now, rate, burst)
}

// coldWait returns the time until a cold target lets one more call start after a
// number of others.
func (o *Owner) coldWait(now time.Time, others int) time.Duration {
	if !o.Cold(now) {
		return 0
	}
	o.refillColdTokens(now)
	rate, _ := o.coldRateAndBurst()
	return o.coldTokens.WaitFor(float64(others+1), rate)
}

// coldLimit returns the number of calls that the cold rate keeps in flight, at
// most the limit.
func (o *Owner) coldLimit(limit uint16) uint16 {
	rate, _ := o.coldRateAndBurst()
	inFlight := rate * o.meanTime.Seconds()
	return min(limit, uint16(max(inFlight, 1)))
}

// SetColdRate sets the rate that the target accepts while it is cold.
func (o *Owner) SetColdRate(rate float64) {
	if rate > 0 {
		o.coldRate = rate
	}
}
