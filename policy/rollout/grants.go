package rollout

import (
	"cmp"
	"slices"
	"time"

	"zinniafall/policy/model"
)

const (
	// canaries is the number of owners that have grants in the canary phase, and
	// confirmingCanaries the number while there is a sign of a fault: more than the owners
	// that have to agree on a verdict.
	canaries           = 3
	confirmingCanaries = 5
	// scarceCanaries is the number of canaries that get starts at a time if there are not
	// enough for all.
	scarceCanaries = 2
	// firstStarts is each canary's first grant.
	firstStarts = 4
	// grantTime is the time whose starts one grant covers: two polls, so that a canary does
	// not wait for the next grant.
	grantTime = 600 * time.Millisecond
	// canaryShare is the part of the exposure limit that the canary phase spends without a
	// sign of a fault, and coldShare the part of that for cold canaries. The rest is for the
	// answers that confirm or refute a sign, for a fault that begins late, and for the
	// first answers in the expansion.
	canaryShare = 0.7
	coldShare   = 0.2
	// ratePart is the part of the measured rate that is expected until the deadline: reports
	// that arrive late make the measured one too high.
	ratePart = 0.85
	// maxLostGrants bounds the limited grants that are kept for lost owners.
	maxLostGrants = 64
)

// limit returns the number of starts that may be granted in all: half of the exposure limit,
// for the requests counted so far and those expected until the deadline.
func (d *decision) limit() float64 {
	rate := d.seen.rate.perSecond()
	if d.elapsed > 0 {
		rate = min(rate, float64(d.seen.requests)/d.elapsed.Seconds())
	}
	// The load may be in a burst that ends before the deadline.
	rate = ratePart * min(rate, d.seen.lowest)
	expected := float64(d.seen.requests) + rate*max(d.duration-d.elapsed, 0).Seconds()
	return (d.options.ExposureRatio*expected + float64(d.options.ExposureSlack)) / 2
}

// grantOf returns the index of the grant of an owner's process, or -1.
func (d *decision) grantOf(r *Evidence) int {
	return slices.IndexFunc(d.next.Grants, func(g Grant) bool { return g.Node == r.Node && g.Process == r.Process })
}

// raise raises an owner's grant by a number of starts.
func (d *decision) raise(r *Evidence, starts uint64) {
	if starts == 0 {
		return
	}
	i := d.grantOf(r)
	if i < 0 {
		d.next.Grants = append(d.next.Grants, Grant{r.Node, r.Process, r.Starts})
		i = len(d.next.Grants) - 1
	}
	d.next.Grants[i].Starts += starts
	d.next.Granted += starts
}

// left returns how many starts of its grant an owner has not used.
func (d *decision) left(r *Evidence) uint64 {
	if i := d.grantOf(r); i >= 0 && d.next.Grants[i].Starts > r.Starts {
		return d.next.Grants[i].Starts - r.Starts
	}
	return 0
}

// usable reports whether an owner of the new version may get further grants.
func (d *decision) usable(o *owner) bool {
	s := o.report.State
	return o.alive(d.now) && !o.bad && !o.report.OutOfService && s != model.TargetAbsent && s != model.TargetFailing
}

// choose returns the canaries: those that have grants, and others until there are enough, in
// different failure domains if possible.
func (d *decision) choose(fresh []*owner, wanted int) []*owner {
	var chosen, others []*owner
	domains := map[model.Domain]int{}
	for _, o := range fresh {
		switch {
		case !d.usable(o):
		case d.grantOf(&o.report) >= 0:
			chosen = append(chosen, o)
			domains[o.report.Domain]++
		default:
			others = append(others, o)
		}
	}
	slices.SortFunc(others, func(a, b *owner) int { return cmp.Compare(a.order, b.order) })
	slices.SortFunc(chosen, func(a, b *owner) int { return cmp.Compare(a.order, b.order) })
	for len(chosen) < wanted && len(others) > 0 {
		best := 0
		for i, o := range others {
			if domains[o.report.Domain] < domains[others[best].report.Domain] {
				best = i
			}
		}
		chosen = append(chosen, others[best])
		domains[others[best].report.Domain]++
		others = slices.Delete(others, best, best+1)
	}
	return chosen[:min(len(chosen), wanted)]
}

// grant raises the grants of the canaries.
func (d *decision) grant(fresh []*owner) {
	d.next.Grants = slices.Clone(d.next.Grants)
	d.dropLost()
	sign := d.verdict.Sign
	wanted := canaries
	if sign {
		wanted = confirmingCanaries
	}
	chosen := d.choose(fresh, wanted)
	if d.seen.warmAt.IsZero() && slices.ContainsFunc(chosen, (*owner).warm) {
		d.seen.warmAt, d.seen.grantedCold = d.now, d.next.Granted
	}
	limit := d.limit()
	allowed := d.schedule(limit)
	if sign {
		allowed = limit
	}
	room := uint64(max(allowed-float64(d.next.Granted), 0))
	for _, o := range chosen {
		if d.grantOf(&o.report) < 0 && firstStarts <= max(room, uint64(max(canaryShare*limit-float64(d.next.Granted), 0))) {
			d.raise(&o.report, firstStarts)
			room -= min(room, firstStarts)
		}
	}
	burst := d.burst()
	// Each canary gets at least one burst.
	left := (canaryShare*limit - float64(d.seen.grantedCold)) / float64(len(chosen))
	burst = max(firstStarts, min(burst, uint64(max(left, 0))))
	// A small budget is spent in bursts at one canary after the other, those with the fewest
	// answers first: a fault under load doesn't show if all get a few starts each.
	scarce := room < burst*uint64(len(chosen))
	slices.SortStableFunc(chosen, d.compareNeed)
	raised := 0
	for _, o := range chosen {
		left := d.left(&o.report)
		if d.grantOf(&o.report) < 0 || left >= burst {
			continue
		}
		if n := min(burst-left, room); !scarce {
			d.raise(&o.report, n)
			room -= n
		} else if left < firstStarts && raised < scarceCanaries && (n == burst-left || sign && n >= firstStarts) {
			d.raise(&o.report, n)
			room -= n
			raised++
		}
	}
}

// compareNeed orders owners by their need of further answers: those with fewest first, but
// while there is a sign of a fault those without bad answers, which alone can refute it.
func (d *decision) compareNeed(a, b *owner) int {
	if d.verdict.Sign {
		if c := cmp.Compare(a.suspicion(), b.suspicion()); c != 0 {
			return c
		}
	}
	return cmp.Or(cmp.Compare(a.answers, b.answers), cmp.Compare(a.order, b.order))
}

// schedule returns the number of starts that may be granted by now without a sign of a fault:
// a small part while the canaries are cold, then evenly until the expansion.
func (d *decision) schedule(limit float64) float64 {
	cold, all := coldShare*canaryShare*limit, canaryShare*limit
	if d.seen.warmAt.IsZero() {
		return cold
	}
	since := d.now.Sub(d.seen.warmAt) + 2*grantTime
	span := since + max(d.part(0.5)-d.elapsed-grantTime, 0)
	return cold + (all-cold)*min(1, float64(since)/float64(span))
}

// dropLost removes the grants of processes that have ended, once there are many. Their starts
// stay counted in Granted.
func (d *decision) dropLost() {
	if len(d.next.Grants) <= maxLostGrants {
		return
	}
	d.next.Grants = slices.DeleteFunc(d.next.Grants, func(g Grant) bool {
		o := d.seen.owners[g.Node]
		return o == nil || o.report.Process != g.Process
	})
}
