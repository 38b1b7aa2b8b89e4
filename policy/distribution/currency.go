package distribution

import (
	"time"

	"zinniafall/policy/model"
)

// Confirm records that the store showed no later configuration than that of a revision at a
// time. have is the revision in force here. What holds for an earlier revision than the one
// in force holds for that, too.
func (p *Puller) Confirm(at time.Time, revision, have model.Revision) {
	if revision > 0 && revision <= have && at.After(p.confirmedAt) {
		p.confirmedAt = at
	}
}

// ConfirmedAt returns the latest time at which the configuration in force, or an earlier one,
// is known to have been current. It is zero if there is none.
func (p *Puller) ConfirmedAt() time.Time { return p.confirmedAt }

// Unconfirmed returns the time since ConfirmedAt, or 0 if there is none.
func (p *Puller) Unconfirmed(now time.Time) time.Duration {
	if p.confirmedAt.IsZero() {
		return 0
	}
	return max(now.Sub(p.confirmedAt), 0)
}
