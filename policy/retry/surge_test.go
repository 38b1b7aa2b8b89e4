package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// sent is one attempt in the queue of the server.
type sent struct {
	at       time.Time
	attempts *Attempts
	served   bool
}

// server serves 100 attempts a second in order of arrival, also those that
// their callers no longer wait for.
type server struct {
	queue   []*sent
	waiting []*sent
}

func (s *server) send(now time.Time, a *Attempts) {
	x := &sent{at: now, attempts: a}
	s.queue = append(s.queue, x)
	s.waiting = append(s.waiting, x)
}

// serve runs one attempt and reports whether its caller still waited.
func (s *server) serve(now time.Time, patience time.Duration) bool {
	if len(s.queue) == 0 {
		return false
	}
	x := s.queue[0]
	s.queue = s.queue[1:]
	x.served = now.Sub(x.at) <= patience
	return x.served
}

// expire returns the attempts that their callers gave up waiting for.
func (s *server) expire(now time.Time, patience time.Duration) []*Attempts {
	var lost []*Attempts
	for len(s.waiting) > 0 && now.Sub(s.waiting[0].at) > patience {
		if x := s.waiting[0]; !x.served {
			lost = append(lost, x.attempts)
		}
		s.waiting = s.waiting[1:]
	}
	return lost
}

// goodput offers 80 calls a second, 200 during the seconds from 10 to 14, and
// returns the share of calls answered in time during the seconds 60 to 80.
func goodput(opts Options) float64 {
	const tick = 10 * time.Millisecond
	const patience = 200 * time.Millisecond
	b, s, random := NewBudget(opts), &server{}, rand.New(rand.NewPCG(7, 0))
	offered, answered := 0, 0
	for n := range 8000 {
		now := start.Add(time.Duration(n) * tick)
		chance, measured := 0.8, n >= 6000
		if n >= 1000 && n < 1400 {
			chance = 2
		}
		for ; chance > random.Float64(); chance-- {
			s.send(now, b.Begin(now, lookup))
			if measured {
				offered++
			}
		}
		if s.serve(now, patience) {
			b.Succeeded(now)
			if measured {
				answered++
			}
		}
		for _, a := range s.expire(now, patience) {
			if a.Next(now, lostCall).Verdict == Again {
				s.send(now, a)
			}
		}
	}
	return float64(answered) / float64(offered)
}

// After a surge the server is still busy with calls that nobody waits for,
// and unlimited retries keep it so for ever. The budget ends that.
func TestGoodputReturnsAfterSurge(t *testing.T) {
	unlimited := goodput(Options{Allowance: 3, Burst: 1e9})
	qt.Assert(t, unlimited < 0.1, qt.IsTrue, qt.Commentf("%v", unlimited))
	budgeted := goodput(Options{})
	qt.Assert(t, budgeted > 0.95, qt.IsTrue, qt.Commentf("%v", budgeted))
	t.Logf("goodput after the surge: unlimited retries %.2f, budget %.2f", unlimited, budgeted)
}
