package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestTargetThatTurnsColdDuringABurst replays a burst at a target that turns cold a while before
// its health answer says so. It guards against a budget of the cold target that does not count
// the calls that it has had meanwhile: it got 49 to 58 in a second, of which it tolerates 48.
func TestTargetThatTurnsColdDuringABurst(t *testing.T) {
	const (
		coldRate, overshoot, slack = 29, 1.5, 5
		tolerated                  = coldRate*overshoot + slack
		healthEvery                = 250 * time.Millisecond
		coldTime                   = 3 * time.Second
	)
	for _, perSecond := range []int{30, 66, 112, 170, 400} {
		for _, noticedAfter := range []time.Duration{0, 100 * time.Millisecond, healthEvery} {
			t.Run(fmt.Sprintf("%d a second, noticed after %v", perSecond, noticedAfter), func(t *testing.T) {
				o := New(Options{ColdOvershoot: overshoot, ColdSlack: slack})
				now := start
				o.SetSlots(now, 400)
				o.SetColdRate(coldRate)
				o.SetGate(now, GateAbsent, false)
				coldAt := now.Add(5 * time.Second)
				var started []time.Time
				record := func(decisions []Decision) {
					for _, d := range decisions {
						if d.Refusal == nil {
							started = append(started, now)
						}
					}
				}
				health := func(sentAt time.Time) {
					if sentAt.Before(coldAt) {
						o.ConfirmWarm(sentAt)
						return
					}
					o.SetCold(now, coldAt.Add(coldTime).Sub(now))
				}
				gap := time.Second / time.Duration(perSecond)
				lastHealth := now
				for i := 0; now.Before(coldAt.Add(coldTime)); i++ {
					now = now.Add(gap)
					if due := coldAt.Add(noticedAfter - healthEvery); now.Sub(lastHealth) >= healthEvery && now.Before(due) || !now.Before(due.Add(healthEvery)) || o.WarmthUnsure(now) {
						lastHealth = now
						health(now)
					}
					call := Call{Ticket: Ticket(i + 1), Class: "c", Deadline: now.Add(time.Second), Objective: now.Add(400 * time.Millisecond)}
					if start, refusal := o.Offer(now, call); start && refusal == nil {
						started = append(started, now)
					}
					record(o.Tick(now))
					record(o.Finish(now, call.Ticket, false))
				}
				for i, from := range started {
					if from.Before(coldAt) {
						continue
					}
					calls := 0
					for _, at := range started[i:] {
						if at.Sub(from) < time.Second && at.Before(coldAt.Add(coldTime)) {
							calls++
						}
					}
					qt.Assert(t, float64(calls) <= tolerated, qt.IsTrue, qt.Commentf("%d calls in the second from %v after it turned cold", calls, from.Sub(coldAt)))
				}
			})
		}
	}
}
