package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// sent is one attempt at the server.
type sent struct {
	at       time.Time
	attempts *Attempts
	served   bool
}

// goodput offers 80 calls a second, 200 during the seconds from 10 to 14, to a
// server that serves 100 attempts a second in order of arrival, also those
// that their callers gave up after 200 ms. It returns the share of calls that
// were answered in time during the seconds 60 to 80.
func goodput(opts Options) float64 {
	const tick, patience = 10 * time.Millisecond, 200 * time.Millisecond
	b, random := NewBudget(opts), rand.New(rand.NewPCG(7, 0))
	var queue, waiting []*sent
	send := func(now time.Time, a *Attempts) {
		x := &sent{at: now, attempts: a}
		queue, waiting = append(queue, x), append(waiting, x)
	}
	offered, answered := 0, 0
	for n := range 8000 {
		now, chance, measured := start.Add(time.Duration(n)*tick), 0.8, n >= 6000
		if n >= 1000 && n < 1400 {
			chance = 2
		}
		for ; chance > random.Float64(); chance-- {
			send(now, b.Begin(now, lookup))
			if measured {
				offered++
			}
		}
		if len(queue) > 0 {
			x := queue[0]
			queue = queue[1:]
			if x.served = now.Sub(x.at) <= patience; x.served {
				b.RecordSuccess(now)
			}
			if x.served && measured {
				answered++
			}
		}
		for len(waiting) > 0 && now.Sub(waiting[0].at) > patience {
			x := waiting[0]
			waiting = waiting[1:]
			if !x.served && x.attempts.Next(now, lostCall).Verdict == RetryNow {
				send(now, x.attempts)
			}
		}
	}
	return float64(answered) / float64(offered)
}

// After a surge the server is still busy with calls that nobody waits for,
// and unlimited retries keep it so for ever. The budget ends that.
func TestGoodputReturnsAfterSurge(t *testing.T) {
	unlimited, budgeted := goodput(Options{Allowance: 3, Burst: 1e9}), goodput(Options{})
	qt.Assert(t, unlimited < 0.1, qt.IsTrue, qt.Commentf("%v", unlimited))
	qt.Assert(t, budgeted > 0.95, qt.IsTrue, qt.Commentf("%v", budgeted))
	t.Logf("goodput after the surge: unlimited retries %.2f, budget %.2f", unlimited, budgeted)
}
