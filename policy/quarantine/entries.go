package quarantine

import (
	"slices"
	"time"
)

// Entry describes a suspect or quarantined request to operators.
type Entry struct {
	Fingerprint Fingerprint
	Status      Status
	// Crashes holds the crashes that count against the request.
	Crashes []CrashID
	// Expires is the time at which the quarantine ends, or at which a suspect
	// becomes clear.
	Expires time.Time
}

// Entries returns the requests that are not clear, the quarantined ones first
// and each group ordered by fingerprint.
func (l *List) Entries(now time.Time) []Entry {
	var entries []Entry
	for _, f := range append(l.quarantined.Keys(), l.suspects.Keys()...) {
		if e, ok := l.entry(now, f); ok {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		if a.Status != b.Status {
			return int(b.Status) - int(a.Status)
		}
		return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return entries
}

// entry returns the entry of a request, and false if the request is clear.
func (l *List) entry(now time.Time, f Fingerprint) (Entry, bool) {
	e := Entry{Fingerprint: f, Status: l.Check(now, f)}
	if e.Status == Clear {
		return e, false
	}
	r := l.find(f)
	for _, s := range r.crashes {
		if !s.cleared && now.Sub(s.at) < l.opts.Retention {
			e.Crashes = append(e.Crashes, s.crash)
		}
	}
	_, last := l.count(now, r)
	e.Expires = last.Add(l.opts.Retention)
	if e.Status == Quarantined {
		e.Expires = last.Add(l.opts.Duration)
	}
	return e, true
}

// Notices returns the notices that bring a node that joins, or that was
// partitioned, to the same state.
func (l *List) Notices(now time.Time) []Notice {
	var notices []Notice
	for _, f := range append(l.quarantined.Keys(), l.suspects.Keys()...) {
		notices = append(notices, l.NoticesFor(now, f)...)
	}
	return notices
}

// NoticesFor returns the notices that concern one request. The entry sends them
// to the owner with the call, so that the owner recognizes a suspect even if
// the flooded notices have not reached it yet.
func (l *List) NoticesFor(now time.Time, f Fingerprint) []Notice {
	r := l.find(f)
	if r == nil {
		return nil
	}
	notices := make([]Notice, 0, len(r.crashes))
	for _, s := range r.crashes {
		notices = append(notices, s.notice(now, f))
	}
	return notices
}

// notice returns a notice of this record alone.
func (s record) notice(now time.Time, f Fingerprint) Notice {
	age := max(now.Sub(s.at), 0)
	if s.cleared {
		return Notice{Cleared: f, ClearedCrashes: []CrashID{s.crash}, Age: age}
	}
	return Notice{Crash: s.crash, Affected: []Fingerprint{f}, Age: age}
}
