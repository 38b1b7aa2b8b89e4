// Package statedlimit decides when calls may start at a target in need that states how
// many requests a second it takes from all nodes together. The owner of the target, the
// only node that sends to it, uses one Limiter.
//
// The load that this answers: a third of the targets of a service, or all of them,
// state a part of what they get, while callers send as much as before.
//
// Calls start one by one at the stated rate, without a burst after a pause. A small
// share of the rate is left for health requests, which become as rare. Refused calls are
// given times to return that follow each other at the rate, so that they do not return
// together.
package statedlimit

import (
	"time"

	"zinniafall/policy/tokens"
)

const (
	// healthShare is the share of a stated limit that is left for health
	// requests.
	healthShare = 1.0 / 16
	// MinHealthInterval and MaxHealthInterval bound the time between health
	// requests to a limited target. Only a health answer shows the end of a limit
	// that lets no call start.
	MinHealthInterval = 500 * time.Millisecond
	MaxHealthInterval = 2 * time.Second
	// catchUp is the time by which a start that comes late, because timers do, may
	// be made up for.
	catchUp = 10 * time.Millisecond
)

// Limiter holds the limit in force. The zero value states no limit. It is not safe for
// concurrent use.
//
// Answers overtake each other, and a header does not say when it was made: between the
// sending of its request and its arrival. A lower limit is therefore in force from its
// arrival on, and a higher one, or none, only if its request was sent after the arrival
// of the last answer that stated the lower one.
type Limiter struct {
	limited bool
	limit   float64
	// confirmedAt is the arrival of the last answer that stated the limit in force
	// or a lower one.
	confirmedAt time.Time
	bucket      tokens.Bucket
	// lastReturn is the last time at which a refused call was told to return.
	lastReturn time.Time
}

// Record applies a statement that arrives now, and reports whether the limit in force
// changed.
func (l *Limiter) Record(now time.Time, st Statement) (changed bool) {
	l.refill(now)
	before := l.Limit()
	if st.Limit > before && !st.SentAt.After(l.confirmedAt) {
		return false
	}
	if !l.limited {
		l.bucket, l.lastReturn = tokens.Empty(now), time.Time{}
	}
	l.limited, l.limit, l.confirmedAt = st.Limit != Unlimited, st.Limit, now
	return st.Limit != before
}

// Limited reports whether a limit is in force.
func (l *Limiter) Limited() bool { return l.limited }

// Limit returns the limit in force, in requests per second, or Unlimited.
func (l *Limiter) Limit() float64 {
	if !l.limited {
		return Unlimited
	}
	return l.limit
}

// Rate returns the rate at which calls start while a limit is in force, in calls per
// second.
func (l *Limiter) Rate() float64 { return l.limit * (1 - healthShare) }

func (l *Limiter) refill(now time.Time) {
	if l.limited {
		l.bucket.Refill(now, l.Rate(), 1+l.Rate()*catchUp.Seconds())
	}
}

// Wait returns the time until the limit lets one more call start after a number of
// others; 0 if no limit is in force.
func (l *Limiter) Wait(now time.Time, others int) time.Duration {
	if !l.limited {
		return 0
	}
	l.refill(now)
	return l.bucket.WaitFor(float64(others+1), l.Rate())
}

// Take records that a call starts.
func (l *Limiter) Take(now time.Time) {
	if l.limited {
		l.refill(now)
		l.bucket.Take()
	}
}

// ReturnAfter returns when a refused call that could start after wait may return: at
// the next free time after those given to earlier calls, within the bounds.
func (l *Limiter) ReturnAfter(now time.Time, wait, least, most time.Duration) time.Duration {
	next := now.Add(wait)
	if l.lastReturn.After(next) {
		next = l.lastReturn
	}
	if next.Sub(now) >= most {
		return most
	}
	pause := most
	if rate := l.Rate(); rate*most.Seconds() > 1 {
		pause = time.Duration(float64(time.Second) / rate)
	}
	l.lastReturn = next.Add(pause)
	return max(next.Sub(now), least)
}

// HealthInterval returns the time until the next health request, given that to a target
// without a limit: answers to calls state what health answers do.
func (l *Limiter) HealthInterval(usual time.Duration) time.Duration {
	if !l.limited {
		return usual
	}
	interval := MaxHealthInterval
	if rate := l.limit * healthShare; rate*MaxHealthInterval.Seconds() > 1 {
		interval = time.Duration(float64(time.Second) / rate)
	}
	return max(usual, interval, MinHealthInterval)
}
