// Package proof decides whether a node's configuration is known to be current, so that the
// key of a client account that was withdrawn is refused in time on every node, whatever
// happens to it.
//
// A node knows the latest time at which the store was asked and its answer showed no later
// configuration than the one in force. Only the sending of a question counts, on the clock
// of the node that asked: a node takes the age of another node's proof away from the time
// at which it sent its own question. No clocks of different nodes are compared, and a
// message that is delayed makes a proof older, never younger.
//
// The store may return from an older copy, and what it shows then lacks configurations that
// it had acknowledged. Its answers count again once the operators have had the time to
// write them again.
package proof

import (
	"slices"
	"time"

	"zinniafall/policy/model"
)

const (
	// Margin is how much sooner than required a proof ends. It allows for clocks that
	// run at slightly different rates, and for the time from the check until the call is
	// at the target.
	Margin = 600 * time.Millisecond
	// Interval is the longest time between two renewals of a proof.
	Interval = 800 * time.Millisecond
	// returnSettleTime is how long the store must have answered in a new era before its
	// answers count. Operators write again what was lost within about a second, 2 s at
	// most.
	returnSettleTime = 3 * time.Second
	// maxAnswerGap is the longest time between two answers that counts as time in which
	// the store answered.
	maxAnswerGap = time.Second
	// maxAhead bounds the proofs of configurations that are not in force yet.
	maxAhead = 8
	// maxStatedAge is the greatest age that a statement may have: a proof of that age is
	// of no use, and sums of ages must not overflow.
	maxStatedAge = time.Hour
	// firstEra is the highest era that a store that has never returned from a copy may state.
	// One that counts from 0 states it after its first return.
	firstEra = 1
)

// maxBodyWait bounds how long a call waits for a proof if its body cannot be sent again, and
// bodyWaitDivisor that part of the caller's remaining time. Two renewals may be due meanwhile,
// so that a node that has lost its proof for a moment does not lose the uploads that are on
// their way to it; the caller has the time to send the body once more.
const (
	maxBodyWait     = 2 * Interval
	bodyWaitDivisor = 3
)

// BodyWait returns how long a call whose body cannot be sent again waits for a proof if its
// caller waits for the given time longer.
func BodyWait(left time.Duration) time.Duration {
	return max(min(maxBodyWait, left/bodyWaitDivisor), 0)
}

// Instant is a time since the machine's boot that includes the time for which the machine
// was suspended (CLOCK_BOOTTIME).
type Instant time.Duration

// Sub returns the time from an earlier instant to this one.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the instant a duration later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Tracker holds the proof of one node. It is not safe for concurrent use.
type Tracker struct {
	revision model.Revision
	proven   bool
	at       Instant
	// ahead are proofs of later configurations. When changes come in quick succession,
	// the node has each of them a moment after its proof.
	ahead []aheadProof

	// era is the era of the store's last answer, and answered how long it has answered
	// in that era. settled is set once its answers count.
	eraKnown, settled bool
	era               uint64
	lastAnswer        Instant
	answered          time.Duration
	// returned is set once the store has returned from a copy while this process ran.
	returned bool
	// current is the last answer that showed no later configuration, before it counted.
	current aheadProof
	mark    Mark
}

// Mark is what the store holds about itself: the latest era in which some node has found that
// its answers count.
type Mark struct {
	// Read is set once the store has been read, in the era ReadIn.
	Read   bool
	ReadIn uint64
	// Found is false if there is no mark, and Era the marked era otherwise.
	Found bool
	Era   uint64
	// Preceded is set if the store holds something of an earlier process of this node.
	Preceded bool
}

type aheadProof struct {
	revision model.Revision
	at       Instant
}

// Revision returns the revision in force.
func (t *Tracker) Revision() model.Revision { return t.revision }

// Advance records the revision in force.
func (t *Tracker) Advance(revision model.Revision) {
	if revision < t.revision {
		t.proven = false
	}
	t.revision = revision
	t.ahead = slices.DeleteFunc(t.ahead, func(a aheadProof) bool {
		if a.revision <= revision {
			t.raise(a.at)
			return true
		}
		return false
	})
}

// Learn records that a question that was sent at a time showed no later configuration than
// the one of the revision. A proof of an earlier revision holds for a later one too.
func (t *Tracker) Learn(at Instant, revision model.Revision) {
	switch {
	case revision == 0:
		return
	case revision <= t.revision:
		t.raise(at)
		return
	}
	if i := slices.IndexFunc(t.ahead, func(a aheadProof) bool { return a.revision == revision }); i >= 0 {
		t.ahead[i].at = max(t.ahead[i].at, at)
		return
	}
	if len(t.ahead) == maxAhead {
		t.ahead = slices.Delete(t.ahead, 0, 1)
	}
	t.ahead = append(t.ahead, aheadProof{revision, at})
}

func (t *Tracker) raise(at Instant) {
	if !t.proven || at > t.at {
		t.proven, t.at = true, at
	}
}

// Answered records an answer of the store in an era to a question that was sent at a time.
// current reports whether it showed no later configuration than the one in force. The
// time in which the store has answered in an era begins with the arrival of the first
// answer: the question may have been on its way since before the store returned.
func (t *Tracker) Answered(now, asked Instant, era uint64, current bool) {
	if t.eraKnown && era < t.era {
		return
	}
	since := max(asked, t.lastAnswer)
	switch {
	case !t.eraKnown:
		since = now
	case era > t.era:
		t.settled, t.returned, t.answered, since = false, true, 0, now
	default:
		t.answered += min(since.Sub(t.lastAnswer), maxAnswerGap)
	}
	t.eraKnown, t.era, t.lastAnswer = true, era, since
	if current {
		t.current = aheadProof{t.revision, asked}
	} else {
		t.current = aheadProof{}
	}
	t.settle()
}

// MarkRead records what the store holds about itself. Marks arrive in the order in which the
// store held them.
func (t *Tracker) MarkRead(m Mark) {
	t.mark = m
	if t.eraKnown {
		t.settle()
	}
}

// Unmarked returns the era that is to be marked in the store: its answers count, and it is not
// marked. ok is false if there is none, or if the mark is not known.
func (t *Tracker) Unmarked() (era uint64, ok bool) {
	return t.era, t.settled && t.proven && t.mark.Read && !(t.mark.Found && t.mark.Era == t.era)
}

// settle lets the answers of the present era count once the store is known to have what it
// had acknowledged in earlier ones.
func (t *Tracker) settle() {
	t.settled = t.settled || t.answered >= returnSettleTime || t.markedCurrent()
	if t.settled {
		t.Learn(t.current.at, t.current.revision)
	}
}

// markedCurrent reports whether the mark shows that the store has not returned from a copy
// since its answers counted. Without a mark that is so for the first era that it can state.
// A store may count its eras from 0 or from 1, so that era 1 may be the first or follow one
// return; it is taken for the first unless the store remembers an earlier process, which would
// have left a mark.
func (t *Tracker) markedCurrent() bool {
	switch {
	case !t.mark.Read:
		return false
	case t.mark.Found:
		return t.mark.Era == t.era
	case t.returned || t.mark.ReadIn != t.era:
		return false
	}
	return t.era < firstEra || t.era == firstEra && !t.mark.Preceded
}

// Age returns the age of the proof. It reports false if there is none.
func (t *Tracker) Age(now Instant) (time.Duration, bool) {
	return max(now.Sub(t.at), 0), t.proven
}

// Valid reports whether the proof is younger than a limit.
func (t *Tracker) Valid(now Instant, limit time.Duration) bool {
	age, ok := t.Age(now)
	return ok && age < limit
}

// Statement is what a node tells another one that asks for its proof.
type Statement struct {
	Revision model.Revision `cbor:"1,keyasint"`
	// Age is the age of the proof when the statement was made, if Proven is set.
	Age    time.Duration `cbor:"2,keyasint,omitempty"`
	Proven bool          `cbor:"3,keyasint,omitempty"`
	// Era and Position are a position of the store at which it showed no later
	// configuration.
	Era      uint64 `cbor:"4,keyasint,omitempty"`
	Position uint64 `cbor:"5,keyasint,omitempty"`
}

// Statement returns what to tell another node.
func (t *Tracker) Statement(now Instant) Statement {
	s := Statement{Revision: t.revision}
	s.Age, s.Proven = t.Age(now)
	if !s.Proven {
		s.Age = 0
	}
	return s
}

// Stated records the answer of another node to a question that was sent at a time. It
// reports whether the answer had a proof.
func (t *Tracker) Stated(asked Instant, s Statement) bool {
	if !s.Proven || s.Age < 0 || s.Age > maxStatedAge || s.Revision == 0 {
		return false
	}
	t.Learn(asked.Add(-s.Age), s.Revision)
	return true
}
