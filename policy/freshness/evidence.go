package freshness

import (
	"slices"
	"time"

	"zinniafall/policy/model"
)

// evidence says that at a time no revision above head was known to a watcher
// or to the store.
type evidence struct {
	head model.Revision
	at   time.Time
}

// timeline keeps the latest evidence for each of the highest few heads.
type timeline struct {
	// entries are sorted by head, the lowest first.
	entries []evidence
}

func (t *timeline) add(e evidence) {
	at, found := slices.BinarySearchFunc(t.entries, e.head, func(have evidence, head model.Revision) int {
		return int(min(max(int64(have.head)-int64(head), -1), 1))
	})
	if found {
		t.entries[at].at = later(t.entries[at].at, e.at)
		return
	}
	t.entries = slices.Insert(t.entries, at, e)
	if len(t.entries) > maxEvidence {
		t.entries = slices.Delete(t.entries, 0, 1)
	}
}

// latest returns the time of the latest evidence whose head is at most the
// revision, zero when there is none.
func (t *timeline) latest(revision model.Revision) time.Time {
	var latest time.Time
	for _, e := range t.entries {
		if e.head <= revision {
			latest = later(latest, e.at)
		}
	}
	return latest
}

// heardSince returns the latest time since which at least count of the times
// lie, zero when fewer were ever heard.
func heardSince(times []time.Time, count int) time.Time {
	if count == 0 || count > len(times) {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[count-1]
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// passed reports whether a time lies in the past by the monotonic clock or by
// the wall clock: a suspended machine may stop the monotonic one.
func passed(at, now time.Time) bool {
	return now.After(at) || now.Round(0).After(at.Round(0))
}
