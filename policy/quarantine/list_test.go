package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

var start = time.Date(2030, 5, 1, 8, 0, 0, 0, time.UTC)

// testFingerprint returns the fingerprint of a request for the path.
func testFingerprint(path string) Fingerprint {
	return FingerprintOf("town", "permits", "POST", path, nil)
}

var (
	poison   = testFingerprint("/poison")
	harmless = testFingerprint("/innocent")
	crashA   = NewCrashID(model.ProcessID{1}, 1)
	crashB   = NewCrashID(model.ProcessID{2}, 1)
	crashC   = NewCrashID(model.ProcessID{3}, 1)
)

func affected(crash CrashID, affected ...Fingerprint) Notice {
	return Notice{Crash: crash, Affected: affected}
}

// twoHoursAgo returns a notice of a crash two hours ago.
func twoHoursAgo(crash CrashID) Notice {
	return Notice{Crash: crash, Affected: []Fingerprint{poison}, Age: 2 * time.Hour}
}

func clearNotice(f Fingerprint, crashes ...CrashID) Notice {
	return Notice{Cleared: f, ClearedCrashes: crashes}
}

func TestStatus(t *testing.T) {
	old := affected(crashA, poison)
	old.Age = 30 * time.Minute
	tests := []struct {
		name    string
		notices []Notice
		after   time.Duration
		want    Status
	}{
		{name: "never seen", want: Clear},
		{name: "one crash", notices: []Notice{affected(crashA, poison, harmless)}, want: Suspect},
		{name: "two crashes", notices: []Notice{affected(crashA, poison), affected(crashB, poison)}, want: Quarantined},
		{name: "one crash, notice repeated", notices: []Notice{affected(crashA, poison), affected(crashA, poison)}, want: Suspect},
		{name: "one crash, reported in parts", notices: []Notice{affected(crashA, harmless), affected(crashA, poison)}, want: Suspect},
		{name: "two crashes of another request", notices: []Notice{affected(crashA, harmless), affected(crashB, harmless)}, want: Clear},
		{name: "cleared", notices: []Notice{affected(crashA, poison), clearNotice(poison, crashA)}, want: Clear},
		{name: "cleared before the crash notice", notices: []Notice{clearNotice(poison, crashA), affected(crashA, poison)}, want: Clear},
		{name: "one crash after clearing", notices: []Notice{affected(crashA, poison), clearNotice(poison, crashA), affected(crashB, poison)}, want: Suspect},
		{name: "two crashes after clearing", notices: []Notice{affected(crashA, poison), clearNotice(poison, crashA), affected(crashB, poison), affected(crashC, poison)}, want: Quarantined},
		{name: "cleared of one of two crashes", notices: []Notice{affected(crashA, poison), affected(crashB, poison), clearNotice(poison, crashA)}, want: Suspect},
		{name: "end of the quarantine not reached", notices: []Notice{affected(crashA, poison), affected(crashB, poison)}, after: time.Hour - time.Second, want: Quarantined},
		{name: "quarantine ended", notices: []Notice{affected(crashA, poison), affected(crashB, poison)}, after: time.Hour, want: Suspect},
		{name: "another crash after the quarantine", notices: []Notice{twoHoursAgo(crashA), twoHoursAgo(crashB), affected(crashC, poison)}, want: Quarantined},
		{name: "retention ended", notices: []Notice{affected(crashA, poison), affected(crashB, poison)}, after: 24 * time.Hour, want: Clear},
		{name: "late notice", notices: []Notice{old, affected(crashB, poison)}, after: time.Hour - time.Second, want: Quarantined},
		{name: "late notice, retention ended", notices: []Notice{old}, after: 23*time.Hour + 30*time.Minute, want: Clear},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := New(Options{})
			for _, n := range tt.notices {
				raw, err := n.Encode()
				qt.Assert(t, err, qt.IsNil)
				back, err := DecodeNotice(raw)
				qt.Assert(t, err, qt.IsNil)
				l.Apply(start, back)
			}
			qt.Assert(t, l.Check(start.Add(tt.after), poison), qt.Equals, tt.want)
			joined := New(Options{})
			for _, n := range l.Notices(start.Add(tt.after)) {
				joined.Apply(start.Add(tt.after), n)
			}
			qt.Assert(t, joined.Check(start.Add(tt.after), poison), qt.Equals, tt.want, qt.Commentf("a node that joined"))
		})
	}
}

func TestEntriesAndLift(t *testing.T) {
	l, other := New(Options{}), New(Options{})
	for _, crash := range []CrashID{crashA, crashB} {
		other.Apply(start, l.RecordCrash(start, crash, []Fingerprint{poison, poison}))
	}
	other.Apply(start, l.RecordCrash(start, crashC, []Fingerprint{harmless}))
	qt.Assert(t, l.Entries(start), qt.DeepEquals, []Entry{
		{Fingerprint: poison, Status: Quarantined, Crashes: []CrashID{crashA, crashB}, Expires: start.Add(time.Hour)},
		{Fingerprint: harmless, Status: Suspect, Crashes: []CrashID{crashC}, Expires: start.Add(24 * time.Hour)},
	})
	refusal := l.Refusal(start.Add(time.Minute), poison)
	qt.Assert(t, refusal.Kind, qt.Equals, problem.Quarantined)
	qt.Assert(t, refusal.RetryAfter, qt.Equals, 59*time.Minute)
	f, err := ParseFingerprint(poison.String())
	qt.Assert(t, err, qt.IsNil)
	other.Apply(start, l.Lift(start, f))
	qt.Assert(t, other.Check(start, poison), qt.Equals, Clear)
	_, cleared := other.RecordSuccess(start, harmless)
	qt.Assert(t, cleared, qt.IsTrue)
	qt.Assert(t, other.Entries(start), qt.HasLen, 0)
	_, cleared = other.RecordSuccess(start, harmless)
	qt.Assert(t, cleared, qt.IsFalse)
}

// Many suspects do not evict a quarantined request, and the crash records of
// one request are limited.
func TestMemoryIsBounded(t *testing.T) {
	l := New(Options{MaxSuspects: 10, MaxQuarantined: 3})
	l.RecordCrash(start, crashA, []Fingerprint{poison})
	l.RecordCrash(start, crashB, []Fingerprint{poison})
	for n := range 1000 {
		l.RecordCrash(start, NewCrashID(model.ProcessID{9}, uint64(n)), []Fingerprint{testFingerprint(time.Duration(n).String())})
	}
	qt.Assert(t, l.suspects.Len(), qt.Equals, 10)
	qt.Assert(t, l.Check(start, poison), qt.Equals, Quarantined)
	for n := range 1000 {
		l.RecordCrash(start, NewCrashID(model.ProcessID{9}, uint64(n)), []Fingerprint{harmless})
	}
	qt.Assert(t, len(l.find(harmless).crashes), qt.Equals, maxCrashes)
}

// Twelve requests were in flight at a crash and are sent again to one other
// target, which the poison request among them crashes. With isolation only the
// poison request is quarantined; without it all twelve are.
func TestSecondCrashQuarantinesOnlyOne(t *testing.T) {
	for _, isolated := range []bool{true, false} {
		l, slot := New(Options{}), SuspectSlot{}
		suspects := []Fingerprint{poison}
		for n := range 11 {
			suspects = append(suspects, testFingerprint(time.Duration(n).String()))
		}
		l.RecordCrash(start, crashA, suspects)
		var inFlight []Fingerprint
		for _, f := range suspects {
			if !isolated || slot.TryAcquire(f) {
				inFlight = append(inFlight, f)
			}
		}
		l.RecordCrash(start, crashB, inFlight)
		qt.Assert(t, l.Check(start, poison), qt.Equals, Quarantined)
		qt.Assert(t, l.quarantined.Len(), qt.Equals, map[bool]int{true: 1, false: 12}[isolated])
	}
}

func TestSuspectSlot(t *testing.T) {
	var s SuspectSlot
	qt.Assert(t, s.TryAcquire(poison), qt.IsTrue)
	qt.Assert(t, s.TryAcquire(harmless), qt.IsFalse)
	qt.Assert(t, s.TryAcquire(poison), qt.IsFalse, qt.Commentf("a second copy"))
	s.Release(harmless)
	qt.Assert(t, s.TryAcquire(harmless), qt.IsFalse)
	s.Release(poison)
	qt.Assert(t, s.TryAcquire(harmless), qt.IsTrue)
}

func tenOwners() []model.ProcessID {
	owners := make([]model.ProcessID, 10)
	for n := range owners {
		owners[n] = model.ProcessID{byte(n)}
	}
	return owners
}

// The first owner does not depend on the order of the owners, removing an owner
// moves only its own requests, and the requests are spread evenly.
func TestRankOwners(t *testing.T) {
	owners, first := tenOwners(), make(map[model.ProcessID]int)
	for n := range 10_000 {
		f := testFingerprint(time.Duration(n).String())
		best := RankOwners(f, owners)[0]
		first[best]++
		rotated := append(owners[n%10:len(owners):len(owners)], owners[:n%10]...)
		qt.Assert(t, RankOwners(f, rotated)[0], qt.Equals, best)
		if best != owners[9] {
			qt.Assert(t, RankOwners(f, owners[:9])[0], qt.Equals, best)
		}
	}
	for _, o := range owners {
		qt.Assert(t, first[o] > 900 && first[o] < 1100, qt.IsTrue, qt.Commentf("%d", first[o]))
	}
}

func TestFingerprintPartsAreDelimited(t *testing.T) {
	qt.Assert(t, FingerprintOf("a", "bc", "POST", "/", nil), qt.Not(qt.Equals), FingerprintOf("ab", "c", "POST", "/", nil))
	qt.Assert(t, FingerprintOf("a", "b", "POST", "/x", nil), qt.Not(qt.Equals), FingerprintOf("a", "b", "POST", "/", []byte("x")))
	_, err := ParseFingerprint("poison")
	qt.Assert(t, err, qt.Equals, ErrInvalidFingerprint)
}
