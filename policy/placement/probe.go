package placement

import (
	"time"

	"zinniafall/policy/model"
)

const (
	// probeBurst is the number of probes that may be saved up.
	probeBurst = 4
	// freshReport is the age below which a report is not worth a probe.
	freshReport = 250 * time.Millisecond
	// refusingAge is the age added to the report of a target that takes no
	// work, since no answer will renew it.
	refusingAge = 2 * time.Second
	// probeSamples is the number of owners drawn for each probe.
	probeSamples = 4
)

// pacer bounds the probes by a byte budget.
type pacer struct {
	tokens  float64 // probes
	refill  time.Duration
	started bool
}

// take reports whether the budget allows one probe more.
func (b *pacer) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// advance adds the probes that the rate allows since the last call.
func (b *pacer) advance(at time.Duration, perSecond float64) {
	if b.started {
		b.tokens = min(probeBurst, b.tokens+(at-b.refill).Seconds()*perSecond)
	}
	b.started = true
	b.refill = at
}

// Probes returns the owners to probe now. The budget is in bytes a second,
// whatever the call rate. Of a few owners drawn at random, the one whose
// report is oldest is probed; a recent report needs no probe.
func (p *Placer) Probes(now time.Time) []model.NodeAddr {
	at := p.since(now)
	p.resizeIdle(at)
	perSecond := float64(p.options.ProbeBytesPerSecond) / float64(p.options.ProbeBytes)
	p.probes.advance(at, perSecond)
	var due []model.NodeAddr
	for p.probes.tokens >= 1 {
		t := p.drawProbe(at)
		if t == nil {
			return due
		}
		p.probes.take()
		t.probed = at
		due = append(due, t.Node)
	}
	return due
}

// resizeIdle shrinks the subsets of services without calls.
func (p *Placer) resizeIdle(at time.Duration) {
	for _, svc := range p.order {
		if svc.used && at-svc.lastUsed >= idleAfter {
			p.resize(at)
			return
		}
	}
}

// drawProbe returns the worthiest of a few random owners, or nil.
func (p *Placer) drawProbe(at time.Duration) *target {
	var best *target
	worth := freshReport
	for range probeSamples {
		t := p.drawMember()
		if t == nil {
			return best
		}
		if w := t.probeWorth(at); w > worth {
			best, worth = t, w
		}
	}
	return best
}

// drawMember returns a random member of a random service in use.
func (p *Placer) drawMember() *target {
	if len(p.order) == 0 {
		return nil
	}
	first := p.random.IntN(len(p.order))
	for i := range p.order {
		svc := p.order[(first+i)%len(p.order)]
		if svc.used && len(svc.members) > 0 {
			return svc.members[p.random.IntN(len(svc.members))]
		}
	}
	return nil
}

// probeWorth returns the age of what is known, or of the last probe if that
// is newer, with a bonus for a target that takes no work.
func (t *target) probeWorth(at time.Duration) time.Duration {
	age := at - max(t.heard, t.probed)
	if !t.accepts(at) {
		return age + refusingAge
	}
	return age
}
