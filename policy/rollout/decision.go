package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"zinniafall/policy/model"
)

// decision decides one step of a running rollout.
type decision struct {
	*Controller
	next     *State
	seen     *observations
	now      time.Time
	elapsed  time.Duration
	duration time.Duration
}

// part returns a part of the rollout's duration.
func (d *decision) part(p float64) time.Duration { return time.Duration(p * float64(d.duration)) }

func (d *decision) decide() {
	d.stable()
	fresh, old := d.seen.newOwners(), d.seen.oldOwners()
	expected := 0
	if d.elapsed < d.part(0.5) {
		// Some of the new version's owners may not have started yet.
		for _, o := range old {
			if o.alive(d.now) && !o.report.OutOfService {
				expected++
			}
		}
	}
	d.verdict = d.seen.verdict(d.now, expected)
	for _, o := range d.seen.list {
		r := &o.report
		if r.Phase == RolledBack && r.Era == d.next.Era && r.Revision == d.next.Revision {
			d.rollBack(reasonReported)
			return
		}
	}
	if d.overdue() {
		d.verdict.Bad = true
	}
	if d.verdict.Bad && !d.next.Proven {
		v := d.verdict
		d.rollBack(fmt.Sprintf("%s: %d of %d on %s at %d of %d instances", reasonBad, v.NewBad, v.NewAnswers,
			cmp.Or(v.Route, "all routes"), v.BadOwners, v.TriedOwners))
		return
	}
	if d.next.Phase == Drain && d.drained(old) {
		d.next.Phase, d.next.Grants = Completed, nil
		return
	}
	warm := slices.ContainsFunc(fresh, func(o *owner) bool { return o.warm() && o.alive(d.now) })
	switch {
	case d.elapsed >= d.duration-noticeTime,
		len(d.seen.owners) > 0 && d.elapsed >= d.part(warmPart) && !warm && d.next.Phase != Drain:
		d.rollBack(reasonTooLate)
	case d.next.Phase == Canary && d.next.Proven:
		d.next.Phase = Expand
	case d.next.Phase == Canary && d.mayExpand(fresh):
		d.next.Phase = Expand
		d.expand(fresh)
	case d.next.Phase == Canary:
		d.grant(fresh)
	case d.next.Phase == Expand && d.mayDrain(fresh, old):
		d.next.Phase, d.next.Grants = Drain, nil
	case d.next.Phase == Expand && !d.next.Proven:
		d.expand(fresh)
	}
}

// overdue reports whether strong evidence has stood since the 50th bad answer for so long that
// the version has to be closed now, to keep to half of RollbackTime.
func (d *decision) overdue() bool {
	if !d.verdict.Strong || d.verdict.NewBad < rollbackAnswers {
		d.seen.strongSince = time.Time{}
		return false
	}
	if d.seen.strongSince.IsZero() {
		d.seen.strongSince = d.now
	}
	return d.now.Sub(d.seen.strongSince) >= max(d.options.RollbackTime/2-grantTime, 0)
}

func (d *decision) rollBack(reason string) {
	d.next.Phase, d.next.Reason, d.next.Grants = RolledBack, reason[:min(len(reason), maxReason)], nil
}

// stable adds the versions that serve when the order is seen first. Later ones are those of
// orders that have not arrived yet.
func (d *decision) stable() {
	if d.next.Phase != Canary || d.elapsed > time.Second && len(d.next.Stable) > 0 || d.next.Proven {
		return
	}
	others := false
	var found []string
	for _, o := range d.seen.oldOwners() {
		if !o.reported || o.report.Version == "" && o.report.State == model.TargetAbsent {
			others = others || !o.reported
			continue
		}
		others = true
		v := o.report.Version
		replaced := slices.ContainsFunc(d.next.Replaced, func(r Replaced) bool { return r.Version == v })
		if !replaced && !slices.Contains(d.next.Stable, v) && !slices.Contains(found, v) {
			found = append(found, v)
		}
	}
	slices.Sort(found)
	room := max(maxVersions-len(d.next.Stable), 0)
	d.next.Stable = append(slices.Clone(d.next.Stable), found[:min(len(found), room)]...)
	// All targets have the ordered version already and served before the order.
	if !others && len(d.seen.owners) > 0 && len(d.next.Stable) == 0 && d.seen.polls > 1 &&
		slices.ContainsFunc(d.seen.newOwners(), func(o *owner) bool { return o.report.Starts > d.next.Granted }) {
		d.next.Proven = true
	}
}
