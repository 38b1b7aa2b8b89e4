package quarantine

import (
	"testing"

	"zinniafall/policy/model"
	"zinniafall/policy/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// BenchmarkOf is the fingerprint of a request with a body of 600 bytes.
func BenchmarkOf(b *testing.B) {
	body := make([]byte, 600)
	b.ReportAllocs()
	for b.Loop() {
		FingerprintOf("town", "permits", "POST", "/permits/7/fee", body)
	}
}

// BenchmarkCheck looks up a request that is clear, among 5,000 that are not.
func BenchmarkCheck(b *testing.B) {
	l := New(Options{})
	for n := range uint64(5000) {
		l.RecordCrash(start, NewCrashID(model.ProcessID{1}, n), []Fingerprint{Fingerprint(NewCrashID(model.ProcessID{2}, n))})
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Check(start, innocent)
	}
}

// BenchmarkRank orders the owners of a service with 10 targets.
func BenchmarkRank(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		RankOwners(poison, tenOwners())
	}
}
