package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"zinniafall/policy/model"
)

const (
	// expandTime is the time between two steps of the expansion.
	expandTime = 800 * time.Millisecond
	// warmPart is the part of the duration after which the version is too late if no owner
	// is warm, and holdPart the part for which a sign of a fault delays the expansion: if
	// the exposure limit leaves too few starts to decide, the expansion has to.
	warmPart = 0.8
	holdPart = 0.65
	// lateSignPart is the part of the duration after which only strong evidence stops it.
	lateSignPart = 0.75
	// enoughSlots is the part of the old version's slots that the new one needs.
	enoughSlots = 0.8
	// compareTime is how long a controller that takes over compares answers before it drains:
	// one poll. Polls may follow each other at once after a write.
	compareTime = 300 * time.Millisecond
	// drainTime is the time that the drain needs: two polls and the longest usual calls.
	drainTime = 1500 * time.Millisecond
	// unreachableTime is how long a node must be silent until it counts as closed, and
	// noticeTime how long before the deadline a drain that has not ended is given up.
	unreachableTime = 3 * time.Second
	noticeTime      = 300 * time.Millisecond
)

// mayExpand reports whether the canary phase may end.
func (d *decision) mayExpand(fresh []*owner) bool {
	if d.elapsed < d.part(0.5) {
		return false
	}
	var tried, started, running int
	warm := false
	for _, o := range fresh {
		if d.grantOf(&o.report) < 0 {
			continue
		}
		warm = warm || o.warm() && d.usable(o)
		started += int(min(o.report.Starts, math.MaxInt32))
		running += o.report.InFlight
		if o.answers >= triedAnswers {
			tried++
		}
	}
	switch {
	case !warm:
		return false
	case d.elapsed >= d.part(holdPart):
		return !d.verdict.Strong
	case d.verdict.Sign:
		return false
	default:
		// Calls that do not return are a sign of a fault, too.
		return tried > 0 || started == running && running == 0 || running*2 < started
	}
}

// suspect reports whether the evidence stops the expansion: late in the rollout only strong
// evidence does, since a good version with several faulty targets has to complete.
func (d *decision) suspect() bool {
	return d.verdict.Sign && (d.elapsed < d.part(lateSignPart) || d.verdict.Strong)
}

// expand opens a quarter, half, and then all of the new version's owners.
func (d *decision) expand(fresh []*owner) {
	open := unlimited(*d.next)
	wait := min(expandTime, max((d.part(1)-2*drainTime-d.elapsed)/3, 0))
	d.next.Grants = slices.Clone(d.next.Grants)
	if d.suspect() {
		d.limitOpen(fresh)
		d.confirm(fresh)
		return
	}
	if open > 0 && d.now.Sub(d.steppedAt) < wait {
		return
	}
	var closed []*owner
	alive := 0
	for _, o := range fresh {
		if !d.usable(o) {
			continue
		}
		alive++
		if i := d.grantOf(&o.report); i < 0 || d.next.Grants[i].Starts != Unlimited {
			closed = append(closed, o)
		}
	}
	quarter, half := (alive+3)/4, (alive+1)/2
	target := alive
	switch {
	case open < quarter:
		target = quarter
	case open < half:
		target = half
	}
	if target < alive {
		closed = slices.DeleteFunc(closed, func(o *owner) bool { return !o.warm() })
	}
	// Canaries first, whose answers are known best.
	slices.SortFunc(closed, func(a, b *owner) int {
		return cmp.Or(cmp.Compare(b.answers, a.answers), cmp.Compare(a.order, b.order))
	})
	for _, o := range closed[:min(len(closed), max(target-open, 0))] {
		if i := d.grantOf(&o.report); i >= 0 {
			d.next.Grants[i].Starts = Unlimited
		} else if len(d.next.Grants) < maxGrants {
			d.next.Grants = append(d.next.Grants, Grant{o.report.Node, o.report.Process, Unlimited})
		}
	}
}

// limitOpen closes the open owners but for the starts that they have used.
func (d *decision) limitOpen(fresh []*owner) {
	for _, o := range fresh {
		if i := d.grantOf(&o.report); i >= 0 && d.next.Grants[i].Starts == Unlimited {
			d.next.Grants[i].Starts = o.report.Starts
		}
	}
}

// exposed returns the starts of the new version's owners, and those that they have left.
func (d *decision) exposed(fresh []*owner) uint64 {
	var sum uint64
	for _, o := range fresh {
		sum += o.report.Starts + d.left(&o.report)
	}
	return max(sum, d.next.Granted)
}

// confirm gives a few starts to owners that are not open, within the limit, since the answers
// of the open ones alone can't tell a bad version from targets that are faulty by themselves.
func (d *decision) confirm(fresh []*owner) {
	if unlimited(*d.next) > 0 {
		return
	}
	room := uint64(max(d.limit()-float64(d.exposed(fresh)), 0))
	var closed []*owner
	for _, o := range fresh {
		if i := d.grantOf(&o.report); d.usable(o) && (i < 0 || d.next.Grants[i].Starts != Unlimited) {
			closed = append(closed, o)
		}
	}
	slices.SortFunc(closed, d.compareNeed)
	burst := d.burst()
	for _, o := range closed[:min(len(closed), scarceCanaries)] {
		if left := d.left(&o.report); left < firstStarts {
			n := min(burst-left, room)
			d.raise(&o.report, n)
			room -= n
		}
	}
}

// burst returns the number of starts that bring a canary to the load of the busiest old target.
func (d *decision) burst() uint64 {
	return max(uint64(math.Ceil(d.seen.busiest()*grantTime.Seconds())), firstStarts)
}

// mayDrain reports whether the new version can take the whole load.
func (d *decision) mayDrain(fresh, old []*owner) bool {
	var have, needed, busy, closed int
	for _, o := range fresh {
		if !o.alive(d.now) || o.report.OutOfService || !o.warm() {
			continue
		}
		have += o.slots()
		if i := d.grantOf(&o.report); !o.bad && (i < 0 || d.next.Grants[i].Starts != Unlimited) {
			closed++
		}
	}
	for _, o := range old {
		if !o.alive(d.now) || o.report.OutOfService {
			continue
		}
		busy += o.report.InFlight + o.report.Queued
		if o.warm() {
			needed += o.slots()
		}
	}
	late := d.elapsed >= d.duration-2*drainTime
	if !d.next.Proven && (d.suspect() || !late && (closed > 0 || d.now.Sub(d.steppedAt) < expandTime)) {
		return false
	}
	if !d.next.Proven && d.now.Sub(d.seen.began) < compareTime {
		return false // a controller that has just taken over has compared no answers yet
	}
	if have == 0 {
		return false
	}
	if float64(have) >= enoughSlots*float64(needed) {
		return true
	}
	// Late in the rollout it is enough to have slots for the present load.
	return late && 2*have >= needed && float64(have)*enoughSlots >= float64(busy)
}

// drained reports whether no call is running, queued or in transit at any old owner.
func (d *decision) drained(old []*owner) bool {
	if d.state.Phase != Drain {
		return false
	}
	// The deadline ends the wait for owners that can't be reached, once the drain was sent to
	// all others.
	late := d.elapsed >= d.duration-drainTime && d.now.Sub(d.steppedAt) >= grantTime
	for _, o := range old {
		r := &o.report
		silent := max(o.silent(d.now), d.now.Sub(o.heard))
		if !o.reported {
			silent = o.silent(d.now)
		}
		switch {
		case silent > 0 && (silent >= unreachableTime && d.now.Sub(d.steppedAt) >= grantTime || late && silent >= lostTime):
		case o.reported && r.Version == "" && r.State == model.TargetAbsent && r.InFlight+r.Queued == 0:
		case o.reported && r.Closed && r.InFlight+r.Queued == 0 && r.Step >= d.state.Step &&
			r.Era == d.state.Era && r.Revision == d.state.Revision:
		default:
			return false
		}
	}
	return true
}
