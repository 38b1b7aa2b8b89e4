package callkey

import (
	"runtime"
	"testing"
	"time"

	"zinniafall/policy/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// BenchmarkParse is the cost for a node that carries a call to its issuer.
func BenchmarkParse(b *testing.B) {
	opts := testOptions(b)
	key := issueOne(b, NewIssuer(opts), start)
	b.ReportAllocs()
	for b.Loop() {
		Parse(key, opts.Secrets)
	}
}

// BenchmarkKeyedCall is the cost of one key and one call at its issuer:
// Issue, Claim and Complete.
func BenchmarkKeyedCall(b *testing.B) {
	i, now := NewIssuer(testOptions(b)), start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		i.Complete(now, i.Claim(now, pay(issueOne(b, i, now))).Serial, answer("paid"))
		i.Expire(now)
	}
}

// BenchmarkClaimMemory reports what a claim keeps on the heap, without and
// with an answer of 600 bytes.
func BenchmarkClaimMemory(b *testing.B) {
	const claims = 5000
	for b.Loop() {
		for unit, size := range map[string]int{"B/claim": 0, "B/claim+answer": 600} {
			i := NewIssuer(testOptions(b))
			before := heap()
			for range claims {
				var whole *Answer
				if size > 0 {
					whole = answer(string(make([]byte, size)))
				}
				i.Complete(start, i.Claim(start, pay(issueOne(b, i, start))).Serial, whole)
			}
			b.ReportMetric(float64(heap()-before)/claims, unit)
			runtime.KeepAlive(i)
		}
	}
}

// heap returns the live bytes of the heap.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
