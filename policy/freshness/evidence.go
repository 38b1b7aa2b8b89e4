package freshness

import (
	"slices"
	"time"

	"zinniafall/policy/model"
)

// evidence states that at a time a watcher or the store knew no revision above
// head.
type evidence struct {
	head model.Revision
	at   time.Time
}

// timeline holds the time of the latest evidence for each of the highest heads.
type timeline struct {
	// entries is sorted by ascending head.
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
	if len(t.entries) > maxHeads {
		t.entries = slices.Delete(t.entries, 0, 1)
	}
}

// latest returns the time of the latest evidence whose head is at most the
// revision, or the zero time if there is none.
func (t *timeline) latest(revision model.Revision) time.Time {
	var latest time.Time
	for _, e := range t.entries {
		if e.head <= revision {
			latest = later(latest, e.at)
		}
	}
	return latest
}

// nthLatest returns the count-th latest of the times, or the zero time if there
// are fewer.
func nthLatest(times []time.Time, count int) time.Time {
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

// isPast reports whether a time has passed by the monotonic clock or by the
// wall clock. Both are checked because the monotonic clock may stop while a
// machine is suspended.
func isPast(at, now time.Time) bool {
	return now.After(at) || now.Round(0).After(at.Round(0))
}
