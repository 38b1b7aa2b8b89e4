package callkey

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkIssue is the cost of one key.
func BenchmarkIssue(b *testing.B) {
	i := NewIssuer(testOptions(b))
	b.ReportAllocs()
	for b.Loop() {
		issueOne(b, i, start)
	}
}

// BenchmarkParse is the cost for a node that carries a call to its issuer.
func BenchmarkParse(b *testing.B) {
	key := issueOne(b, NewIssuer(testOptions(b)), start)
	secrets := []Secret{secret(b, "a fleet secret of today")}
	b.ReportAllocs()
	for b.Loop() {
		Parse(key, secrets)
	}
}

// BenchmarkClaimComplete is the cost of one keyed call at its issuer.
func BenchmarkClaimComplete(b *testing.B) {
	i := NewIssuer(testOptions(b))
	keys := make([]string, 0, 1<<14)
	for len(keys) < cap(keys) {
		keys = append(keys, issueOne(b, i, start))
	}
	whole := answer("paid")
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		if n%len(keys) == 0 {
			b.StopTimer()
			i = NewIssuer(testOptions(b))
			i.epoch, i.lastSerial = start, uint64(len(keys))
			b.StartTimer()
		}
		c := i.Claim(start, pay(keys[n%len(keys)]))
		i.Complete(start, c.Serial, whole)
		n++
	}
}

// BenchmarkReplay is the cost of a resend.
func BenchmarkReplay(b *testing.B) {
	i := NewIssuer(testOptions(b))
	r := pay(issueOne(b, i, start))
	i.Complete(start, i.Claim(start, r).Serial, answer("paid"))
	b.ReportAllocs()
	for b.Loop() {
		i.Claim(start, r)
	}
}

// BenchmarkClaimMemory reports the bytes that a claim and its answer of 600
// bytes keep, from the heap before and after 8,000 of them.
func BenchmarkClaimMemory(b *testing.B) {
	const claims = 8000
	for b.Loop() {
		opts := testOptions(b)
		opts.TTL = time.Hour
		i := NewIssuer(opts)
		bare := heapOf(func() {
			for n := range claims {
				now := start.Add(time.Duration(n) * 100 * time.Millisecond)
				i.Complete(now, i.Claim(now, pay(issueOne(b, i, now))).Serial, nil)
			}
		})
		runtime.KeepAlive(i)
		b.ReportMetric(float64(bare)/claims, "B/claim")
		i = NewIssuer(opts)
		whole := heapOf(func() {
			for n := range claims {
				now := start.Add(time.Duration(n) * 100 * time.Millisecond)
				i.Complete(now, i.Claim(now, pay(issueOne(b, i, now))).Serial, answer(string(make([]byte, 600))))
			}
		})
		b.ReportMetric(float64(whole)/claims, "B/claim+answer")
		runtime.KeepAlive(i)
	}
}

// heapOf returns how much the heap grew, in bytes.
func heapOf(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return after.HeapAlloc - min(before.HeapAlloc, after.HeapAlloc)
}

// BenchmarkBinding is the cost of the decisions on one caller's key.
func BenchmarkBinding(b *testing.B) {
	binder := NewBinder(BinderOptions{Burst: 1 << 40})
	key := callerKey(start, 1)
	b.ReportAllocs()
	for b.Loop() {
		g, step := binder.Begin(start, "town", key, "issued")
		if step.Action != Create {
			b.Fatal(step.Refusal)
		}
		g.Next(start, Event{Outcome: Created})
	}
}
