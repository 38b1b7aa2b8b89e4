package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// serverAttempt is an attempt in the simulated server's queue.
type serverAttempt struct {
	at       time.Time
	attempts *Attempts
	served   bool
}

// goodput simulates a server that serves 100 attempts per second in order of
// arrival, including those whose callers gave up after 200 ms. The load is 80
// calls per second, and 200 from second 10 to second 14. It returns the
// fraction of the calls from second 60 to second 80 that were answered in
// time.
func goodput(opts Options) float64 {
	const tick, callerTimeout = 10 * time.Millisecond, 200 * time.Millisecond
	b, random := NewBudget(opts), rand.New(rand.NewPCG(7, 0))
	var queue, waiting []*serverAttempt
	send := func(now time.Time, a *Attempts) {
		x := &serverAttempt{at: now, attempts: a}
		queue, waiting = append(queue, x), append(waiting, x)
	}
	offered, answered := 0, 0
	for n := range 8000 {
		now, arrivals, measured := start.Add(time.Duration(n)*tick), 0.8, n >= 6000
		if n >= 1000 && n < 1400 {
			arrivals = 2
		}
		for ; arrivals > random.Float64(); arrivals-- {
			send(now, b.Begin(now, lookup))
			if measured {
				offered++
			}
		}
		if len(queue) > 0 {
			x := queue[0]
			queue = queue[1:]
			if x.served = now.Sub(x.at) <= callerTimeout; x.served {
				b.RecordSuccess(now)
			}
			if x.served && measured {
				answered++
			}
		}
		for len(waiting) > 0 && now.Sub(waiting[0].at) > callerTimeout {
			x := waiting[0]
			waiting = waiting[1:]
			if !x.served && x.attempts.Next(now, lostCall).Verdict == RetryNow {
				send(now, x.attempts)
			}
		}
	}
	return float64(answered) / float64(offered)
}

// After a surge the server still works on attempts whose callers have given
// up. Unlimited retries keep it in that overload permanently; with the budget
// the goodput recovers.
func TestGoodputRecoversAfterSurge(t *testing.T) {
	unlimited, budgeted := goodput(Options{Allowance: 3, Burst: 1e9}), goodput(Options{})
	qt.Assert(t, unlimited < 0.1, qt.IsTrue, qt.Commentf("%v", unlimited))
	qt.Assert(t, budgeted > 0.95, qt.IsTrue, qt.Commentf("%v", budgeted))
	t.Logf("goodput after the surge: unlimited retries %.2f, budget %.2f", unlimited, budgeted)
}
