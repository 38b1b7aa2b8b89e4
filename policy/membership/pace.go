package membership

import "time"

// burst limits a burst to what the rate allows in this time.
const burst = time.Second

// pacer is a token bucket that counts bytes. Its balance may be negative.
type pacer struct {
	perSecond float64
	tokens    float64
	last      time.Time
}

func newPacer(bytesPerSecond int, now time.Time) pacer {
	rate := float64(bytesPerSecond)
	return pacer{perSecond: rate, tokens: rate * burst.Seconds(), last: now}
}

func (p *pacer) refill(now time.Time) {
	if passed := now.Sub(p.last); passed > 0 {
		p.tokens = min(p.tokens+passed.Seconds()*p.perSecond, p.perSecond*burst.Seconds())
		p.last = now
	}
}

// charge takes a packet's bytes from the bucket, even below zero.
func (p *pacer) charge(length int) { p.tokens -= float64(length + packetOverhead) }

// allowsBulk reports whether records and digests may be sent.
func (p *pacer) allowsBulk() bool { return p.tokens > 0 }

// allowsUrgent reports whether floods and replies may be sent: they may overdraw
// the bucket by one second's bytes.
func (p *pacer) allowsUrgent() bool { return p.tokens > -p.perSecond }
