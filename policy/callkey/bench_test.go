package callkey

import (
	"runtime"
	"testing"
	"time"

	"zinniafall/policy/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m) }

// BenchmarkParse measures what a node does to find the issuer of a call.
func BenchmarkParse(b *testing.B) {
	opts := testOptions(b)
	key := issueOne(b, NewIssuer(opts), start)
	b.ReportAllocs()
	for b.Loop() {
		Parse(key, opts.Secrets)
	}
}

// BenchmarkKeyedCall measures one key and one call at its issuer: Issue, Claim
// and Complete.
func BenchmarkKeyedCall(b *testing.B) {
	i, now := NewIssuer(testOptions(b)), start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(10 * time.Millisecond)
		i.Complete(now, i.Claim(now, testRequest(issueOne(b, i, now))).Serial, testAnswer("paid"))
		i.Expire(now)
	}
}

// BenchmarkClaimMemory reports the heap bytes per claim, without and with an
// answer of 600 bytes.
func BenchmarkClaimMemory(b *testing.B) {
	const claims = 5000
	for b.Loop() {
		for unit, size := range map[string]int{"B/claim": 0, "B/claim+answer": 600} {
			i := NewIssuer(testOptions(b))
			before := heap()
			for range claims {
				var answer *Answer
				if size > 0 {
					answer = testAnswer(string(make([]byte, size)))
				}
				i.Complete(start, i.Claim(start, testRequest(issueOne(b, i, start))).Serial, answer)
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
