package membership

import "time"

// burst is the time whose bytes may be sent at once.
const burst = time.Second

// pacer is a token bucket in bytes.
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

// charge counts a packet whether or not there are tokens for it.
func (p *pacer) charge(length int) { p.tokens -= float64(length + packetOverhead) }

// bulk reports whether records and digests may be sent.
func (p *pacer) bulk() bool { return p.tokens > 0 }

// urgent reports whether urgent floods may be sent.
func (p *pacer) urgent() bool { return p.tokens > -p.perSecond }
