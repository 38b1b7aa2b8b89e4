package admission

import (
	"math/rand/v2"
	"time"

	"zinniafall/policy/model"
)

const (
	// failuresToTrip is the number of failures among the last outcomes below
	// which a target that has proven itself is not failing.
	failuresToTrip = 8
	// failuresOnProbation is the same for a target that was failing.
	failuresOnProbation = 2
	// crashesToTrip is the number of crashes without a completion in between
	// that make a target failing.
	crashesToTrip = 2
	// probationSpread is the random part of a probation time.
	probationSpread = 0.2
	// trustedCompletions ends the probation: so many completions without
	// another trip.
	trustedCompletions = 16
)

// circuit is the breaker of a failing target. After a probation time the
// target is cold again and gets one call at a time. One failure that is not
// outweighed by completions opens the circuit again, for twice as long.
type circuit struct {
	first, longest time.Duration
	probation      time.Duration
	until          time.Time
	completions    int // since the circuit closed
	crashes        int // since the last completion
	onProbation    bool
	random         *rand.Rand
}

func newCircuit(o Options) circuit {
	return circuit{
		first:   o.OpenTime,
		longest: o.MaxOpenTime,
		random:  rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
}

func (c *circuit) trip(now time.Time) {
	c.probation = min(max(2*c.probation, c.first), c.longest)
	spread := 1 + probationSpread*c.random.Float64()
	c.until = now.Add(part(c.probation, spread))
	c.onProbation = true
}

// close lets calls through again.
func (c *circuit) close() {
	c.completions = 0
}

// reset restores full trust.
func (c *circuit) reset() {
	c.probation = 0
	c.onProbation = false
}

func (c *circuit) remaining(now time.Time) time.Duration {
	return max(0, c.until.Sub(now))
}

func (c *circuit) completed() {
	c.crashes = 0
	c.completions++
	if c.completions >= trustedCompletions {
		c.onProbation = false
	}
}

// crashed counts a crash and reports whether it opens the circuit.
func (c *circuit) crashed() bool {
	c.crashes++
	return c.onProbation || c.crashes >= crashesToTrip
}

// failureThreshold returns the number of failures that open the circuit.
func (c *circuit) failureThreshold() int {
	if c.onProbation {
		return failuresOnProbation
	}
	return failuresToTrip
}

// outcomesKept is the number of recent outcomes that are judged together.
const outcomesKept = 16

// outcomes remembers how the last calls ended.
type outcomes struct {
	ring [outcomesKept]accountOutcome
	next int
	kept int
}

type accountOutcome struct {
	account model.Account
	failed  bool
}

func (o *outcomes) clear() { *o = outcomes{} }

func (o *outcomes) add(account model.Account, failed bool) {
	o.ring[o.next] = accountOutcome{account: account, failed: failed}
	o.next = (o.next + 1) % outcomesKept
	o.kept = min(o.kept+1, outcomesKept)
}

// bad reports whether there are at least so many failures, and most calls
// failed for more than half of the accounts. Judged by accounts, one of them
// whose every request fails does not condemn the target.
func (o *outcomes) bad(threshold int) bool {
	failures, accounts, failing := 0, 0, 0
	for i := range o.kept {
		if o.ring[i].failed {
			failures++
		}
		if o.firstOf(i) {
			accounts++
			if o.mostlyFailed(o.ring[i].account) {
				failing++
			}
		}
	}
	return failures >= threshold && 2*failing > accounts
}

// firstOf reports whether no earlier place holds the account of place i.
func (o *outcomes) firstOf(i int) bool {
	for j := range i {
		if o.ring[j].account == o.ring[i].account {
			return false
		}
	}
	return true
}

func (o *outcomes) mostlyFailed(account model.Account) bool {
	balance := 0
	for i := range o.kept {
		switch {
		case o.ring[i].account != account:
		case o.ring[i].failed:
			balance++
		default:
			balance--
		}
	}
	return balance >= 0
}
