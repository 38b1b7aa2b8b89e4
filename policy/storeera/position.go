// Package storeera decides what a node does when its store returns from an older copy.
//
// The store loses nothing that it has acknowledged, except that it may return from a copy
// that is some seconds old. It then begins a new era: revisions and the identifiers of
// leases go back and are given out again, and what was written since the copy is
// missing until it is written again. Three decisions follow from that. What is ordered by
// a revision is ordered by era first (Position, Tracker). An evacuation in force stays
// until the store of the new era has answered for long enough without it (Evacuations). A
// configuration in force stays while the store shows an older one, until that one was
// written in the new era or has stayed for long (Configuration). The entries of all nodes
// are written again, spread over the store's rate of writes (EntryDelay).
package storeera

import (
	"cmp"
	"time"
)

// Position is a revision of the store in an era. Without a statement of the era, it is 0.
type Position struct {
	Era, Revision uint64
}

// Compare orders positions by era first. Its results are those of cmp.Compare.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p is earlier than q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// Tracker keeps the newest era that is known. It is not safe for concurrent use.
type Tracker struct{ newest uint64 }

// Era returns the newest era that is known, or 0.
func (t *Tracker) Era() uint64 { return t.newest }

// Learn records an era that an answer of the store or another node stated. It reports
// whether that era is newer than all known before.
func (t *Tracker) Learn(era uint64) bool {
	newer := era > t.newest
	t.newest = max(t.newest, era)
	return newer
}

// EraOf returns the era of an answer to a call that began in the given era. An answer
// that states none, such as that of a proxy, belongs to the era in which its call began.
func EraOf(stated, began uint64) uint64 {
	if stated == 0 {
		return began
	}
	return stated
}

// maxAnswerGap is the longest time between two answers of the store that counts as time in
// which it answered: a watch of the operators' keys ends sooner.
const maxAnswerGap = 3 * time.Second

// answerSpan measures how long the store has answered, by the times at which it was asked:
// an answer contains all that was written until then, however late it arrives.
type answerSpan struct {
	last  time.Time
	total time.Duration
}

func (h *answerSpan) add(asked time.Time) {
	if h.last.IsZero() {
		h.last = asked
	}
	if passed := asked.Sub(h.last); passed > 0 {
		h.total += min(passed, maxAnswerGap)
		h.last = asked
	}
}
