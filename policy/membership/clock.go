package membership

import (
	"math"
	"time"

	"zinniafall/policy/model"
)

const (
	// unknownAge is the age of a packet that came over a link whose peer's
	// clock was not measured yet.
	unknownAge = time.Duration(math.MaxInt64)
	// clockWindow is how long a measured clock bound is used before newer ones
	// replace it, so that drift stays below a few milliseconds.
	clockWindow = 10 * time.Second
	// longPause is the pause after which drift makes old bounds useless.
	longPause = time.Minute
	// clockSlack is how far in the future a packet may seem to have been sent
	// before the bound is discarded.
	clockSlack = 20 * time.Millisecond
)

// clock counts microseconds since a View started.
type clock struct{ start time.Time }

func (c clock) micros(now time.Time) uint64 { return uint64(now.Sub(c.start)/time.Microsecond) + 1 }

// peerClock bounds a peer's clock in the own one. The bound is the greatest
// difference found in this window and the one before.
type peerClock struct {
	windowStart time.Time
	current     int64
	previous    int64
	hasCurrent  bool
	hasPrevious bool
}

// measure takes in an echo. The peer received at remote (its clock) what was
// sent at local (own clock), so own time local is not after peer time remote.
func (c *peerClock) measure(now time.Time, local, remote uint64) {
	if !c.hasCurrent || now.Sub(c.windowStart) > clockWindow {
		c.previous, c.hasPrevious = c.current, c.hasCurrent
		c.windowStart, c.hasCurrent = now, true
		c.current = int64(local) - int64(remote)
		return
	}
	c.current = max(c.current, int64(local)-int64(remote))
}

func (c *peerClock) known() bool { return c.hasCurrent }

func (c *peerClock) reset() { *c = peerClock{} }

// age returns an upper bound of the time since the peer's clock read sent.
func (c *peerClock) age(local, sent uint64) time.Duration {
	if !c.hasCurrent {
		return unknownAge
	}
	offset := c.current
	if c.hasPrevious {
		offset = max(offset, c.previous)
	}
	age := time.Duration(int64(local)-int64(sent)-offset) * time.Microsecond
	if age < -clockSlack {
		c.reset()
		return unknownAge
	}
	return max(age, 0)
}

// gap returns the time between two readings, by the monotonic clock or the
// wall clock, whichever passed more: a suspended machine may stop the
// monotonic one.
func gap(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// observeTime notices a pause of this process. Bounds of peers' clocks are
// forgotten when the monotonic clock stopped meanwhile, or has drifted.
func (v *View) observeTime(now time.Time) {
	passed := gap(v.lastCall, now)
	stopped := passed > now.Sub(v.lastCall)+clockSlack
	v.lastCall = now
	if passed <= v.options.PauseAfter {
		return
	}
	v.pause = max(v.pause, passed)
	v.caughtUp = false
	v.caughtUpSince = v.clock.micros(now)
	v.nextSync = now
	v.votes = make(map[model.NodeAddr]*ballot)
	for _, l := range v.links {
		l.heard = now
		l.nextPing = now
		if passed > longPause || stopped {
			l.clock.reset()
		}
	}
}

// TakePause returns the longest pause of this process that was noticed since
// the last call, 0 for none. What the node knew before is to be doubted until
// CaughtUp.
func (v *View) TakePause() time.Duration {
	pause := v.pause
	v.pause = 0
	return pause
}
