package execute

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/quarantine"
)

// crashRecords collects the crash numbers that a tracker reports for each
// request.
type crashRecords map[quarantine.Fingerprint][]uint64

func (r crashRecords) report(crash uint64, lost quarantine.Fingerprint) []byte {
	r[lost] = append(r[lost], crash)
	return nil
}

func TestOnlyLostCallsGetCrashRecords(t *testing.T) {
	var a, b, c = quarantine.Fingerprint{1}, quarantine.Fingerprint{2}, quarantine.Fingerprint{3}
	cases := []struct {
		name string
		// play receives three calls in flight together.
		play func(*CrashTracker, []*TrackedCall)
		want crashRecords
	}{
		{"one connection lost", func(tracker *CrashTracker, calls []*TrackedCall) { tracker.RecordConnectionLost(calls[0]) }, crashRecords{a: {1}}},
		{"all connections lost", func(tracker *CrashTracker, calls []*TrackedCall) {
			tracker.RecordConnectionLost(calls[2])
			tracker.RecordConnectionLost(calls[0])
			tracker.RecordConnectionLost(calls[1])
		}, crashRecords{a: {1}, b: {1}, c: {1}}},
		{"cut off while another call is lost", func(tracker *CrashTracker, calls []*TrackedCall) {
			tracker.RecordConnectionLost(calls[0])
			tracker.RecordCutOff(calls[1])
		}, crashRecords{a: {1}, b: {1}}},
		{"cut off without a lost call", func(tracker *CrashTracker, calls []*TrackedCall) { tracker.RecordCutOff(calls[1]) }, crashRecords{}},
		{"same request lost in two crashes", func(tracker *CrashTracker, calls []*TrackedCall) {
			tracker.RecordConnectionLost(calls[0])
			tracker.RecordEnd(calls[0], false)
			tracker.RecordConnectionLost(tracker.RecordStart(a))
		}, crashRecords{a: {1, 2}}},
		{"copies lost in the same crash", func(tracker *CrashTracker, calls []*TrackedCall) {
			other := tracker.RecordStart(a)
			tracker.RecordConnectionLost(calls[0])
			tracker.RecordConnectionLost(other)
		}, crashRecords{a: {1, 1}}},
		{"new call lost after an earlier crash", func(tracker *CrashTracker, calls []*TrackedCall) {
			tracker.RecordConnectionLost(calls[0])
			tracker.RecordConnectionLost(tracker.RecordStart(b))
			tracker.RecordConnectionLost(calls[2])
		}, crashRecords{a: {1}, b: {2}, c: {1}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := crashRecords{}
			tracker := NewCrashTracker(got.report, func(quarantine.Fingerprint) {})
			tc.play(tracker, []*TrackedCall{tracker.RecordStart(a), tracker.RecordStart(b), tracker.RecordStart(c)})
			qt.Assert(t, got, qt.DeepEquals, tc.want)
		})
	}
}
