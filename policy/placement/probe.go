package placement

import (
	"time"

	"zinniafall/policy/model"
)

const (
	// probeBurst is the capacity of the probe budget, in probes.
	probeBurst = 4
	// minProbeAge is the age that a report must exceed before its owner is
	// probed.
	minProbeAge = 250 * time.Millisecond
	// refusingBonus is added to the report age of a target that accepts no
	// calls, because no answer to a call will renew its report.
	refusingBonus = 2 * time.Second
	// probeSamples is the number of owners sampled for each probe.
	probeSamples = 4
)

// probeBudget is a token bucket that limits the rate of probes.
type probeBudget struct {
	tokens     float64 // probes
	refilledAt time.Duration
	started    bool
}

// spend takes one token and reports whether there was one.
func (b *probeBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens that the rate allows since the last refill.
func (b *probeBudget) refill(at time.Duration, perSecond float64) {
	if b.started {
		b.tokens = min(probeBurst, b.tokens+(at-b.refilledAt).Seconds()*perSecond)
	}
	b.started = true
	b.refilledAt = at
}

// Probes returns the owners to probe now, within a budget in bytes a second
// that does not depend on the call rate. It samples a few owners at random and
// probes the one with the oldest report; owners with recent reports are not
// probed.
func (p *Placer) Probes(now time.Time) []model.NodeAddr {
	at := p.elapsed(now)
	p.resizeIdle(at)
	perSecond := float64(p.options.ProbeBytesPerSecond) / float64(p.options.ProbeBytes)
	p.probes.refill(at, perSecond)
	var due []model.NodeAddr
	for p.probes.tokens >= 1 {
		t := p.probeCandidate(at)
		if t == nil {
			return due
		}
		p.probes.spend()
		t.probedAt = at
		due = append(due, t.Node)
	}
	return due
}

// resizeIdle resizes the subsets when a service has become idle.
func (p *Placer) resizeIdle(at time.Duration) {
	for _, svc := range p.order {
		if svc.inUse && at-svc.lastUsed >= idleAfter {
			p.resize(at)
			return
		}
	}
}

// probeCandidate returns the owner of the highest priority among a few random
// ones, or nil when none needs a probe.
func (p *Placer) probeCandidate(at time.Duration) *target {
	var best *target
	highest := minProbeAge
	for range probeSamples {
		t := p.randomMember()
		if t == nil {
			return best
		}
		if priority := t.probePriority(at); priority > highest {
			best, highest = t, priority
		}
	}
	return best
}

// randomMember returns a random member of a random service in use, or nil.
func (p *Placer) randomMember() *target {
	if len(p.order) == 0 {
		return nil
	}
	first := p.random.IntN(len(p.order))
	for i := range p.order {
		svc := p.order[(first+i)%len(p.order)]
		if svc.inUse && len(svc.members) > 0 {
			return svc.members[p.random.IntN(len(svc.members))]
		}
	}
	return nil
}

// probePriority returns the age of the last report or probe, whichever is
// newer, raised for a target that accepts no calls.
func (t *target) probePriority(at time.Duration) time.Duration {
	age := at - max(t.reportedAt, t.probedAt)
	if !t.accepts(at) {
		return age + refusingBonus
	}
	return age
}
