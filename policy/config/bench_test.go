package config

import (
	"fmt"
	"runtime"
	"testing"

	"zinniafall/policy/model"
)

// largeDocument returns the sample with the given number of additional
// accounts and 260 additional services.
func largeDocument(accounts int) *Document {
	doc, _ := Parse([]byte(sample))
	for i := range accounts {
		doc.Accounts[model.Account(fmt.Sprintf("town-%05d", i))] = Account{
			Template: "town", Parameters: map[string]any{"weight": 1 + i%10}, KeyHashes: []string{fmt.Sprintf("%064x", i)},
		}
	}
	for i := range 260 {
		doc.Services[model.Service(fmt.Sprintf("service-%03d", i))] = Service{Template: "booking"}
	}
	return doc
}

// BenchmarkApply measures a node's work for one change: decoding a bundle of
// the head and the one changed part, and validating and activating the
// configuration.
func BenchmarkApply(b *testing.B) {
	for _, accounts := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			s := newFakeStore()
			s.commit(Change{ID: "first", Document: largeDocument(accounts)}, 0, nil)
			follower, source := NewFollower(nil), NewFollower(nil)
			applyLatest(b, source, s)
			applyLatest(b, follower, s)
			bytes, i := 0, 0
			for b.Loop() {
				b.StopTimer()
				i++
				s.commit(setDomainOut(fmt.Sprint(i), model.Revision(i), "ne-a", i%2 == 1), 0, nil)
				applyLatest(b, source, s)
				raw, err := source.Bundle(follower.Snapshot().Revision)
				if err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				bundle, err := DecodeBundle(raw)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := follower.Apply(bundle.Head, bundle.Parts); err != nil {
					b.Fatal(err)
				}
				bytes += len(raw)
			}
			b.ReportMetric(float64(bytes)/float64(i), "bytes/change")
		})
	}
}

// applyLatest applies the store's latest head to a follower.
func applyLatest(b *testing.B, f *Follower, s *fakeStore) {
	raw, err := s.heads[len(s.heads)-1].Encode()
	if err != nil {
		b.Fatal(err)
	}
	_, missing, _ := f.Inspect(raw)
	var contents [][]byte
	for _, part := range missing {
		contents = append(contents, s.parts[part.Key()])
	}
	if _, err := f.Apply(raw, contents); err != nil {
		b.Fatal(err)
	}
}

func BenchmarkCompile(b *testing.B) {
	doc := largeDocument(10000)
	for b.Loop() {
		if _, problems := Compile(1, doc); len(problems) > 0 {
			b.Fatal(problems)
		}
	}
}

// BenchmarkMemory measures the memory that a node needs to hold a
// configuration.
func BenchmarkMemory(b *testing.B) {
	for _, accounts := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			s := newFakeStore()
			s.commit(Change{ID: "first", Document: largeDocument(accounts)}, 0, nil)
			before := heapBytes()
			held := NewFollower(nil)
			applyLatest(b, held, s)
			after := heapBytes()
			for b.Loop() {
				runtime.KeepAlive(held)
			}
			b.ReportMetric(float64(after)-float64(before), "held-bytes")
			runtime.KeepAlive(s)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
