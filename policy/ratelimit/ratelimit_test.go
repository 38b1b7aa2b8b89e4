package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
)

var begin = time.Unix(1000, 0)

func TestAccountLimiterAllow(t *testing.T) {
	tests := []struct {
		name    string
		rate    float64
		every   time.Duration
		calls   int
		allowed int
	}{
		{"no limit", 0, 0, 1000, 1000},
		{"burst of one second", 10, 0, 30, 10},
		{"below the rate", 10, 100 * time.Millisecond, 50, 50},
		{"twice the rate", 10, 50 * time.Millisecond, 201, 110},
		{"less than one call per second", 0.5, time.Second, 21, 11},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := NewAccountLimiter(Options{})
			allowed := 0
			for i := range test.calls {
				if ok, _ := a.Allow(begin.Add(time.Duration(i)*test.every), "a", test.rate); ok {
					allowed++
				}
			}
			qt.Assert(t, allowed, qt.Equals, test.allowed)
		})
	}
}

func TestWaitUntilNextCall(t *testing.T) {
	a := NewAccountLimiter(Options{})
	for range 5 {
		a.Allow(begin, "a", 5)
	}
	ok, wait := a.Allow(begin, "a", 5)
	qt.Assert(t, ok, qt.IsFalse)
	ok, _ = a.Allow(begin.Add(wait-time.Millisecond), "a", 5)
	qt.Assert(t, ok, qt.IsFalse)
	ok, _ = a.Allow(begin.Add(wait+time.Millisecond), "a", 5)
	qt.Assert(t, ok, qt.IsTrue)
}

func TestOneAccountDoesNotSpendAnothersBudget(t *testing.T) {
	a := NewAccountLimiter(Options{})
	for range 100 {
		a.Allow(begin, "heavy", 5)
	}
	ok, _ := a.Allow(begin, "light", 5)
	qt.Assert(t, ok, qt.IsTrue)
}

func TestRateChangeTakesEffect(t *testing.T) {
	a := NewAccountLimiter(Options{})
	for range 10 {
		a.Allow(begin, "a", 10)
	}
	allowed := 0
	for i := range 1000 {
		if ok, _ := a.Allow(begin.Add(time.Duration(i)*time.Millisecond), "a", 100); ok {
			allowed++
		}
	}
	qt.Assert(t, allowed >= 95 && allowed <= 100, qt.IsTrue, qt.Commentf("%d in one second", allowed))
}

func TestAccountsAreEvicted(t *testing.T) {
	a := NewAccountLimiter(Options{MaxBuckets: 50})
	for i := range 1000 {
		a.Allow(begin, model.Account(fmt.Sprint(i)), 5)
	}
	qt.Assert(t, a.Len(), qt.Equals, 50)
	for range 100 {
		a.Allow(begin.Add(time.Minute), "a", 5)
	}
	qt.Assert(t, a.Len(), qt.Equals, 1)
}

// TestProbeBudget checks that successive processes at one target, each with a
// random lifetime, stay within the rate together and use at least a quarter of
// it.
func TestProbeBudget(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		rate := 0.5 + 10*random.Float64()
		now, sent := begin, 0
		var m *ProbeLimiter
		for range 20000 {
			if m == nil || random.IntN(200) == 0 {
				m = NewProbeLimiter(rate)
			}
			now = now.Add(time.Duration(random.IntN(10)) * time.Millisecond)
			if m.Allow(now) {
				sent++
			}
		}
		budget := rate * now.Sub(begin).Seconds()
		qt.Assert(t, float64(sent) <= budget, qt.IsTrue, qt.Commentf("seed %d: %d sent, budget %.1f", seed, sent, budget))
		qt.Assert(t, float64(sent) >= budget/4, qt.IsTrue, qt.Commentf("seed %d: %d sent, budget %.1f", seed, sent, budget))
	}
}

// BenchmarkAllow measures one decision with thousands of accounts.
func BenchmarkAllow(b *testing.B) {
	a := NewAccountLimiter(Options{})
	accounts := make([]model.Account, 5000)
	for i := range accounts {
		accounts[i] = model.Account(fmt.Sprint("account", i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		a.Allow(begin.Add(time.Duration(i)*time.Microsecond), accounts[i%len(accounts)], 100)
	}
}
