package membership

import (
	"time"
)

const (
	// partitionThreshold is the number of members declared dead at which a packet
	// from one of them is taken as the end of a network partition.
	partitionThreshold = 4
	// refreshSpacing is the average time between two record refreshes across the
	// fleet after a partition. The refreshes are spread over this time multiplied
	// by the number of members, which limits their rate.
	refreshSpacing = 20 * time.Millisecond
	// healMargin is how long death declarations are withheld after the last
	// refresh.
	healMargin = 20 * time.Second
)

// heal is the recovery after a network partition: all members refresh their
// records, and death declarations made before the recovery are sent only to the
// members they concern.
type heal struct {
	started   time.Time
	until     time.Time
	refreshAt time.Time
}

func (h *heal) active(now time.Time) bool { return now.Before(h.until) }

// withholds reports whether a record is a death declaration made before the
// recovery started.
func (h *heal) withholds(now time.Time, r *record) bool {
	return h.active(now) && r.declaredDead() && r.changed.Before(h.started)
}

// detectHeal starts the recovery from a partition, here and on all other nodes,
// when many members had been declared dead.
func (v *View) detectHeal(now time.Time) {
	if v.table.dead < partitionThreshold || v.heal.active(now) {
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
