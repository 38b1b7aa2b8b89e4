package quarantine

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

var start = time.Date(2030, 5, 1, 8, 0, 0, 0, time.UTC)

// named returns a fingerprint for a test.
func named(path string) Fingerprint {
	return FingerprintOf("town", "permits", "POST", path, nil)
}

var (
	poison   = named("/poison")
	innocent = named("/innocent")
	crashA   = NewCrashID(model.ProcessID{1}, 1)
	crashB   = NewCrashID(model.ProcessID{2}, 1)
	crashC   = NewCrashID(model.ProcessID{3}, 1)
)

func struck(crash CrashID, struck ...Fingerprint) Notice {
	return Notice{Crash: crash, Affected: struck}
}

func twoHoursAgo(crash CrashID) Notice {
	return Notice{Crash: crash, Affected: []Fingerprint{poison}, Age: 2 * time.Hour}
}

func cleared(f Fingerprint, crashes ...CrashID) Notice {
	return Notice{Cleared: f, ClearedCrashes: crashes}
}

func TestStanding(t *testing.T) {
	old := struck(crashA, poison)
	old.Age = 30 * time.Minute
	tests := []struct {
		name    string
		notices []Notice
		after   time.Duration
		want    Status
	}{
		{name: "never seen", want: Clear},
		{name: "one crash", notices: []Notice{struck(crashA, poison, innocent)}, want: Suspect},
		{name: "two crashes", notices: []Notice{struck(crashA, poison), struck(crashB, poison)}, want: Quarantined},
		{name: "one crash told twice", notices: []Notice{struck(crashA, poison), struck(crashA, poison)}, want: Suspect},
		{name: "one crash told in parts", notices: []Notice{struck(crashA, innocent), struck(crashA, poison)}, want: Suspect},
		{name: "another's crashes", notices: []Notice{struck(crashA, innocent), struck(crashB, innocent)}, want: Clear},
		{name: "cleared", notices: []Notice{struck(crashA, poison), cleared(poison, crashA)}, want: Clear},
		{name: "cleared before it was struck", notices: []Notice{cleared(poison, crashA), struck(crashA, poison)}, want: Clear},
		{name: "struck again after clearing", notices: []Notice{struck(crashA, poison), cleared(poison, crashA), struck(crashB, poison)}, want: Suspect},
		{name: "convicted after clearing", notices: []Notice{struck(crashA, poison), cleared(poison, crashA), struck(crashB, poison), struck(crashC, poison)}, want: Quarantined},
		{name: "clearing of one of two crashes", notices: []Notice{struck(crashA, poison), struck(crashB, poison), cleared(poison, crashA)}, want: Suspect},
		{name: "in term", notices: []Notice{struck(crashA, poison), struck(crashB, poison)}, after: time.Hour - time.Second, want: Quarantined},
		{name: "after its term", notices: []Notice{struck(crashA, poison), struck(crashB, poison)}, after: time.Hour, want: Suspect},
		{name: "a crash after its term", notices: []Notice{twoHoursAgo(crashA), twoHoursAgo(crashB), struck(crashC, poison)}, want: Quarantined},
		{name: "after its memory", notices: []Notice{struck(crashA, poison), struck(crashB, poison)}, after: 24 * time.Hour, want: Clear},
		{name: "told late", notices: []Notice{old, struck(crashB, poison)}, after: time.Hour - time.Second, want: Quarantined},
		{name: "told late, after its term", notices: []Notice{old}, after: 23*time.Hour + 30*time.Minute, want: Clear},
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

func TestOperatorsListAndLift(t *testing.T) {
	l, other := New(Options{}), New(Options{})
	for _, crash := range []CrashID{crashA, crashB} {
		other.Apply(start, l.RecordCrash(start, crash, []Fingerprint{poison, poison}))
	}
	other.Apply(start, l.RecordCrash(start, crashC, []Fingerprint{innocent}))
	qt.Assert(t, l.Entries(start), qt.DeepEquals, []Entry{
		{Fingerprint: poison, Status: Quarantined, Crashes: []CrashID{crashA, crashB}, Expires: start.Add(time.Hour)},
		{Fingerprint: innocent, Status: Suspect, Crashes: []CrashID{crashC}, Expires: start.Add(24 * time.Hour)},
	})
	refusal := l.Refusal(start.Add(time.Minute), poison)
	qt.Assert(t, refusal.Kind, qt.Equals, problem.Quarantined)
	qt.Assert(t, refusal.RetryAfter, qt.Equals, 59*time.Minute)
	f, err := ParseFingerprint(poison.String())
	qt.Assert(t, err, qt.IsNil)
	other.Apply(start, l.Lift(start, f))
	qt.Assert(t, other.Check(start, poison), qt.Equals, Clear)
	_, news := other.RecordSuccess(start, innocent)
	qt.Assert(t, news, qt.IsTrue)
	qt.Assert(t, other.Entries(start), qt.HasLen, 0)
	_, news = other.RecordSuccess(start, innocent)
	qt.Assert(t, news, qt.IsFalse)
}

// A crash with many suspects does not push out what is quarantined.
func TestMemoryIsBounded(t *testing.T) {
	l := New(Options{MaxSuspects: 10, MaxQuarantined: 3})
	l.RecordCrash(start, crashA, []Fingerprint{poison})
	l.RecordCrash(start, crashB, []Fingerprint{poison})
	for n := range 1000 {
		l.RecordCrash(start, NewCrashID(model.ProcessID{9}, uint64(n)), []Fingerprint{named(time.Duration(n).String())})
	}
	qt.Assert(t, l.suspects.Len(), qt.Equals, 10)
	qt.Assert(t, l.Check(start, poison), qt.Equals, Quarantined)
	for n := range 1000 {
		l.RecordCrash(start, NewCrashID(model.ProcessID{9}, uint64(n)), []Fingerprint{innocent})
	}
	qt.Assert(t, len(l.find(innocent).strikes), qt.Equals, maxStrikes)
}

// Twelve requests were in flight at a crash and are sent again to one other
// target, where the poison among them crashes it. Isolation convicts the
// poison alone; without it all twelve would be.
func TestSecondCrashConvictsOne(t *testing.T) {
	for _, isolated := range []bool{true, false} {
		l, gate := New(Options{}), SuspectSlot{}
		suspects := []Fingerprint{poison}
		for n := range 11 {
			suspects = append(suspects, named(time.Duration(n).String()))
		}
		l.RecordCrash(start, crashA, suspects)
		var inFlight []Fingerprint
		for _, f := range suspects {
			if !isolated || gate.TryAcquire(f) {
				inFlight = append(inFlight, f)
			}
		}
		l.RecordCrash(start, crashB, inFlight)
		qt.Assert(t, l.Check(start, poison), qt.Equals, Quarantined)
		qt.Assert(t, l.quarantined.Len(), qt.Equals, map[bool]int{true: 1, false: 12}[isolated])
	}
}

func TestGate(t *testing.T) {
	var g SuspectSlot
	qt.Assert(t, g.TryAcquire(poison), qt.IsTrue)
	qt.Assert(t, g.TryAcquire(innocent), qt.IsFalse)
	qt.Assert(t, g.TryAcquire(poison), qt.IsFalse, qt.Commentf("a second copy"))
	g.Release(innocent)
	qt.Assert(t, g.TryAcquire(innocent), qt.IsFalse)
	g.Release(poison)
	qt.Assert(t, g.TryAcquire(innocent), qt.IsTrue)
}

func tenOwners() []model.ProcessID {
	owners := make([]model.ProcessID, 10)
	for n := range owners {
		owners[n] = model.ProcessID{byte(n)}
	}
	return owners
}

// All nodes agree on the owner, a member that leaves moves only its own
// requests, and requests spread evenly.
func TestRank(t *testing.T) {
	owners, first := tenOwners(), make(map[model.ProcessID]int)
	for n := range 10_000 {
		f := named(time.Duration(n).String())
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

func TestFingerprintPartsAreKeptApart(t *testing.T) {
	qt.Assert(t, FingerprintOf("a", "bc", "POST", "/", nil), qt.Not(qt.Equals), FingerprintOf("ab", "c", "POST", "/", nil))
	qt.Assert(t, FingerprintOf("a", "b", "POST", "/x", nil), qt.Not(qt.Equals), FingerprintOf("a", "b", "POST", "/", []byte("x")))
	_, err := ParseFingerprint("poison")
	qt.Assert(t, err, qt.Equals, ErrInvalidFingerprint)
}
