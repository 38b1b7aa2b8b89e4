package membership

import (
	"time"
)

const (
	// manyVerdicts is the number of members found dead from which on one that
	// is heard again means that a partition has healed.
	manyVerdicts = 4
	// refreshSpacing is the share of one member in the time over which the
	// members refresh their records, which paces them.
	refreshSpacing = 20 * time.Millisecond
	// healMargin is how long verdicts are held back after the last refresh.
	healMargin = 20 * time.Second
)

// heal is the state after a partition: all members refresh their records,
// and the verdicts from before are told to nobody but the member itself.
type heal struct {
	started   time.Time
	until     time.Time
	refreshAt time.Time
}

func (h *heal) active(now time.Time) bool { return now.Before(h.until) }

// holds reports whether a record is a verdict of the partition.
func (h *heal) holds(now time.Time, r *record) bool {
	return h.active(now) && r.foundDead() && r.changed.Before(h.started)
}

// startHealIfMany tells the fleet that a partition has healed when many
// members had been found dead.
func (v *View) startHealIfMany(now time.Time) {
	if v.table.dead < manyVerdicts || v.heal.active(now) {
		return
	}
	v.startHeal(now)
	v.flood(now, now, topicRefresh, nil, true)
}

func (v *View) startHeal(now time.Time) {
	if v.heal.active(now) {
		return
	}
	v.stats.Heals++
	spread := time.Duration(len(v.table.records)) * refreshSpacing
	v.heal = heal{
		started:   now,
		until:     now.Add(spread + healMargin),
		refreshAt: now.Add(time.Duration(v.random.Int64N(int64(spread) + 1))),
	}
	v.nextSync = now
}

func (v *View) refreshIfDue(now time.Time) {
	if v.heal.refreshAt.IsZero() || now.Before(v.heal.refreshAt) {
		return
	}
	v.heal.refreshAt = time.Time{}
	v.publishSelf(now)
}
