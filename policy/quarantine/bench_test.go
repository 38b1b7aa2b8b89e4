package quarantine

import (
	"testing"

	"zinniafall/policy/model"
)

// BenchmarkOf is the fingerprint of a request with a body of 600 bytes.
func BenchmarkOf(b *testing.B) {
	body := make([]byte, 600)
	b.ReportAllocs()
	for b.Loop() {
		Of("town", "permits", "POST", "/permits/7/fee", body)
	}
}

// BenchmarkCheck looks up a request that is clear, among 5,000 that are not.
func BenchmarkCheck(b *testing.B) {
	l := New(Options{})
	for n := range uint64(5000) {
		l.Crashed(start, CrashOf(model.ProcessID{1}, n), []Fingerprint{distinct(n)})
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Check(start, innocent)
	}
}

// distinct returns a distinct fingerprint.
func distinct(n uint64) Fingerprint {
	return Fingerprint(CrashOf(model.ProcessID{2}, n))
}

// BenchmarkCrash reports a crash with 12 requests in flight.
func BenchmarkCrash(b *testing.B) {
	l := New(Options{})
	var inFlight []Fingerprint
	for n := range uint64(12) {
		inFlight = append(inFlight, distinct(n))
	}
	b.ReportAllocs()
	n := uint64(0)
	for b.Loop() {
		n++
		l.Crashed(start, CrashOf(model.ProcessID{1}, n), inFlight)
	}
}

// BenchmarkRank orders the owners of a service with 10 targets.
func BenchmarkRank(b *testing.B) {
	var owners []model.ProcessID
	for n := range byte(10) {
		owners = append(owners, model.ProcessID{n})
	}
	b.ReportAllocs()
	for b.Loop() {
		Rank(poison, owners)
	}
}
