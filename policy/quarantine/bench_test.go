package quarantine

import (
	"testing"

	"zinniafall/policy/model"
	"zinniafall/policy/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// BenchmarkFingerprintOf measures the fingerprint of a request with a body of
// 600 bytes.
func BenchmarkFingerprintOf(b *testing.B) {
	body := make([]byte, 600)
	b.ReportAllocs()
	for b.Loop() {
		FingerprintOf("town", "permits", "POST", "/permits/7/fee", body)
	}
}

// BenchmarkCheck measures the check of a clear request after 5,000 others have
// become suspects.
func BenchmarkCheck(b *testing.B) {
	l := New(Options{})
	for n := range uint64(5000) {
		l.RecordCrash(start, NewCrashID(model.ProcessID{1}, n), []Fingerprint{Fingerprint(NewCrashID(model.ProcessID{2}, n))})
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Check(start, harmless)
	}
}

// BenchmarkRankOwners measures the ranking of ten owners.
func BenchmarkRankOwners(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		RankOwners(poison, tenOwners())
	}
}
