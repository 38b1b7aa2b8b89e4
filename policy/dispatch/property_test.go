package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniafall/policy/proptest"
	"zinniafall/policy/statedlimit"
)

func TestMain(m *testing.M) { proptest.Main(m) }

const (
	propertyStep = 5 * time.Millisecond
	// maxAnswerTime is the longest time from a request to its answer.
	maxAnswerTime = 400 * time.Millisecond
)

// statingTarget is a target that changes the limit that it states.
type statingTarget struct {
	t     *rapid.T
	limit float64
	// answers are those on their way, in any order.
	answers []statingAnswer
}

type statingAnswer struct {
	sentAt, madeAt, arrivesAt time.Time
	made                      bool
	limit                     float64 // stated, once made
	ticket                    Ticket  // 0 for a health answer
}

func (x *statingTarget) answer(now time.Time, ticket Ticket) {
	steps := func(label string) time.Duration {
		return time.Duration(rapid.IntRange(1, int(maxAnswerTime/propertyStep)/2).Draw(x.t, label)) * propertyStep
	}
	madeAt := now.Add(steps("work"))
	x.answers = append(x.answers, statingAnswer{sentAt: now, madeAt: madeAt, arrivesAt: madeAt.Add(steps("travel")), ticket: ticket})
}

// advance makes the answers that are due, and returns those that arrive.
func (x *statingTarget) advance(now time.Time) []statingAnswer {
	var arrived, rest []statingAnswer
	for _, a := range x.answers {
		if !a.made && !now.Before(a.madeAt) {
			a.made, a.limit = true, x.limit
		}
		if now.Before(a.arrivesAt) {
			rest = append(rest, a)
		} else {
			arrived = append(arrived, a)
		}
	}
	x.answers = rest
	return arrived
}

// In no 4 s a target gets more calls than it stated, whatever it states when: limits
// change, answers arrive late and in any order, owners restart and pause, and the load
// is that of 11 to 2,200 nodes. What the owner cannot know yet is the limit of the last
// seconds: an answer may take maxAnswerTime, and without calls a health answer comes
// after MaxHealthInterval.
func TestLimitIsKeptWhateverIsStated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SampledFrom([]int{11, 90, 194, 700, 2200}).Draw(t, "nodes")
		target := &statingTarget{t: t, limit: rapid.SampledFrom([]float64{0, 0.2, 1, 5, 30}).Draw(t, "first limit")}
		o := warmOwner(12)
		ticket := Ticket(0)
		var starts []int // steps
		var stated []float64
		nextHealth, pausedUntil := start, start
		known := false
		const steps = 2400
		for step := range steps {
			now := start.Add(time.Duration(step) * propertyStep)
			if rapid.IntRange(0, 900).Draw(t, "event") == 0 {
				switch rapid.IntRange(0, 3).Draw(t, "kind") {
				case 0: // the owner's node restarts; its first call follows the first health answer
					o, nextHealth, known, target.answers = warmOwner(12), now, false, nil
				case 1:
					pausedUntil = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * propertyStep)
				default:
					target.limit = rapid.SampledFrom([]float64{0, 0.2, 1, 5, 30, 200}).Draw(t, "limit")
				}
			}
			stated = append(stated, target.limit)
			arrived := target.advance(now)
			if now.Before(pausedUntil) {
				target.answers = append(target.answers, arrived...) // they wait in the sockets
				continue
			}
			begin := func(decisions []Decision) {
				for _, d := range decisions {
					if d.Refusal == nil {
						starts = append(starts, step)
						target.answer(now, d.Ticket)
					}
				}
			}
			for _, a := range arrived {
				_, decisions := o.RecordStatement(now, statedlimit.Statement{Limit: a.limit, SentAt: a.sentAt})
				begin(decisions)
				known = true
				if a.ticket != 0 {
					begin(o.Finish(now, a.ticket, true))
				}
			}
			if !now.Before(nextHealth) {
				target.answer(now, 0)
				nextHealth = now.Add(o.HealthInterval(250 * time.Millisecond))
			}
			begin(o.Tick(now))
			if !known {
				continue
			}
			for range rapid.IntRange(0, min(nodes/10, 8)).Draw(t, "calls") {
				ticket++
				ok, _ := o.Offer(now, Call{Ticket: ticket, Elsewhere: ticket%3 == 0, Priority: int(ticket % 3), Deadline: now.Add(800 * time.Millisecond), Objective: now.Add(300 * time.Millisecond)})
				if ok {
					begin([]Decision{{Ticket: ticket}})
				}
			}
		}
		checkStarts(t, stated, starts)
	})
}

// checkStarts compares the starts in each window with the highest limits that the owner
// may still have known: one stated up to unknown before.
func checkStarts(t *rapid.T, stated []float64, starts []int) {
	const (
		window  = int(limitWindow / propertyStep)
		unknown = int((statedlimit.MaxHealthInterval + 2*maxAnswerTime) / propertyStep)
		pause   = 400 // steps of the longest pause
	)
	highest := make([]float64, len(stated))
	for i := range stated {
		for j := max(0, i-unknown-pause); j <= i; j++ {
			highest[i] = max(highest[i], stated[j])
		}
	}
	for i, first := range starts {
		n, allowed, until := 0, 2.0, first
		for _, s := range starts[i:] {
			if s-first >= window {
				break
			}
			for ; until <= s; until++ {
				allowed += highest[until] * propertyStep.Seconds() * 1.01
			}
			n++
			if float64(n) > allowed+1 {
				t.Fatalf("%d starts from step %d to %d, allowed %g", n, first, s, allowed)
			}
		}
	}
}
