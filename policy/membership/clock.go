package membership

import (
	"math"
	"time"

	"zinniafall/policy/model"
)

const (
	// unknownAge is the age of a packet from a peer whose clock has not been
	// measured yet.
	unknownAge = time.Duration(math.MaxInt64)
	// clockWindow is the time after which a measured clock bound is replaced by
	// a newer one, which keeps clock drift below a few milliseconds.
	clockWindow = 10 * time.Second
	// clockResetPause is the pause after which clock drift makes older bounds
	// unusable.
	clockResetPause = time.Minute
	// clockSlack is how far in the future a packet's send time may appear before
	// the clock bound is discarded.
	clockSlack = 20 * time.Millisecond
)

// clock counts microseconds since the View started.
type clock struct{ start time.Time }

func (c clock) micros(now time.Time) uint64 { return uint64(now.Sub(c.start)/time.Microsecond) + 1 }

// peerClock holds a lower bound of a peer's clock, expressed as the offset
// local minus remote. The bound is the largest offset measured in the current
// and the previous window.
type peerClock struct {
	windowStart time.Time
	current     int64
	previous    int64
	hasCurrent  bool
	hasPrevious bool
}

// addSample takes a round trip into account: a packet sent at local time
// local was received at peer time remote, so peer time remote is not before
// local time local.
func (c *peerClock) addSample(now time.Time, local, remote uint64) {
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

// elapsed returns the time between two readings: the larger of the monotonic
// and the wall clock difference, because the monotonic clock may stop while
// the machine is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// detectPause detects that this process did not run for a while. It resets
// the peer clock bounds when the monotonic clock stopped during the pause or
// the pause was long enough for drift to matter.
func (v *View) detectPause(now time.Time) {
	passed := elapsed(v.lastBegin, now)
	stopped := passed > now.Sub(v.lastBegin)+clockSlack
	v.lastBegin = now
	if passed <= v.options.PauseAfter {
		return
	}
	v.pause = max(v.pause, passed)
	v.caughtUp = false
	v.caughtUpSince = v.clock.micros(now)
	v.nextSync = now
	v.suspicions = make(map[model.NodeAddr]*suspicion)
	for _, l := range v.links {
		l.lastReceived = now
		l.nextPing = now
		if passed > clockResetPause || stopped {
			l.clock.reset()
		}
	}
}

// TakePause returns the longest pause of this process detected since the last
// call, or 0. What the node knew before the pause may be out of date until
// CaughtUp reports true.
func (v *View) TakePause() time.Duration {
	pause := v.pause
	v.pause = 0
	return pause
}
