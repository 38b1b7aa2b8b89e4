package execute

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/quarantine"
)

// strikes records what a tracker reports.
type strikes map[quarantine.Fingerprint][]uint64

func (s strikes) report(crash uint64, lost quarantine.Fingerprint) []byte {
	s[lost] = append(s[lost], crash)
	return nil
}

func TestOnlyLostCallsAreStruck(t *testing.T) {
	var a, b, c = quarantine.Fingerprint{1}, quarantine.Fingerprint{2}, quarantine.Fingerprint{3}
	cases := []struct {
		name string
		// play is given three calls in flight together.
		play func(*CrashTracker, []*TrackedCall)
		want strikes
	}{
		{"one connection", func(x *CrashTracker, s []*TrackedCall) { x.RecordConnectionLost(s[0]) }, strikes{a: {1}}},
		{"all connections", func(x *CrashTracker, s []*TrackedCall) {
			x.RecordConnectionLost(s[2])
			x.RecordConnectionLost(s[0])
			x.RecordConnectionLost(s[1])
		}, strikes{a: {1}, b: {1}, c: {1}}},
		{"cut off beside a loss", func(x *CrashTracker, s []*TrackedCall) { x.RecordConnectionLost(s[0]); x.RecordCutOff(s[1]) }, strikes{a: {1}, b: {1}}},
		{"cut off alone", func(x *CrashTracker, s []*TrackedCall) { x.RecordCutOff(s[1]) }, strikes{}},
		{"lost again", func(x *CrashTracker, s []*TrackedCall) {
			x.RecordConnectionLost(s[0])
			x.RecordEnd(s[0], false)
			x.RecordConnectionLost(x.RecordStart(a))
		}, strikes{a: {1, 2}}},
		{"copies in one crash", func(x *CrashTracker, s []*TrackedCall) {
			again := x.RecordStart(a)
			x.RecordConnectionLost(s[0])
			x.RecordConnectionLost(again)
		}, strikes{a: {1, 1}}},
		{"a later call beside an earlier one", func(x *CrashTracker, s []*TrackedCall) {
			x.RecordConnectionLost(s[0])
			x.RecordConnectionLost(x.RecordStart(b))
			x.RecordConnectionLost(s[2])
		}, strikes{a: {1}, b: {2}, c: {1}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := strikes{}
			x := NewCrashTracker(got.report, func(quarantine.Fingerprint) {})
			tc.play(x, []*TrackedCall{x.RecordStart(a), x.RecordStart(b), x.RecordStart(c)})
			qt.Assert(t, got, qt.DeepEquals, tc.want)
		})
	}
}
