package distribution

import (
	"time"

	"zinniafall/policy/model"
)

// confirmationMargin is how much sooner than the bound a configuration is overdue by its last
// confirmation. It allows for the time that greetings, and calls to their targets, are on
// their way.
const confirmationMargin = 200 * time.Millisecond

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

// Overdue reports whether other nodes have a newer configuration that may have been
// acknowledged so long ago that the one in force may no longer be used, if a configuration
// must be in force everywhere within applyTime of its acknowledgement; 0 means that there is no
// such bound. A call by an older configuration is then refused as not run: another node has the
// newer one, and what the call would run by may have been withdrawn. While no other node has a
// newer configuration, for instance because the store is silent, nothing is overdue.
//
// The newer one was acknowledged after the last confirmation of the one in force. Nodes are
// usually told of it within MaxReportDelay. A confirmation from long before the first report
// counts for nothing: the store was silent meanwhile, and the newer one is likely to be young.
func (p *Puller) Overdue(now time.Time, have model.Revision, applyTime time.Duration) bool {
	since, behind := p.behindSince(now, have)
	if applyTime <= 0 || !behind {
		return false
	}
	if now.Sub(since) >= max(applyTime-MaxReportDelay, applyTime/2) {
		return true
	}
	silence := since.Sub(p.confirmedAt)
	return silence >= 0 && silence < applyTime && now.Sub(p.confirmedAt) >= applyTime-confirmationMargin
}
