package admission

import (
	"math/rand/v2"
	"time"

	"zinniafall/policy/model"
)

const (
	// failuresToTrip is the number of failures in the outcome window that can
	// trip the breaker of a target that is not on probation.
	failuresToTrip = 8
	// probationFailuresToTrip is the same for a target on probation.
	probationFailuresToTrip = 2
	// crashesToTrip is the number of crashes without a completion in between
	// that trip the breaker.
	crashesToTrip = 2
	// openTimeJitter is the largest random extension of an open time, as a
	// fraction of it.
	openTimeJitter = 0.2
	// probationCompletions is the number of completions since the breaker last
	// closed that end the probation.
	probationCompletions = 16
)

// breaker is the circuit breaker of a target. It stays open for a time after it
// trips; then the target is cold and gets one call at a time. The target is now
// on probation: fewer failures or a single crash trip the breaker again, and the
// open time doubles with each trip, up to maxOpenTime. A new instance of the target
// inherits all of it: a target that crashes comes back as a new instance, and only
// the count over instances shows that it does so in a loop.
type breaker struct {
	minOpenTime, maxOpenTime time.Duration
	openTime                 time.Duration
	openUntil                time.Time
	completions              int // since the breaker last closed
	crashes                  int // since the last completed call
	onProbation              bool
	random                   *rand.Rand
}

func newBreaker(o Options) breaker {
	return breaker{
		minOpenTime: o.OpenTime,
		maxOpenTime: o.MaxOpenTime,
		random:      rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
}

// trip opens the breaker and puts the target on probation.
func (c *breaker) trip(now time.Time) {
	c.openTime = min(max(2*c.openTime, c.minOpenTime), c.maxOpenTime)
	spread := 1 + openTimeJitter*c.random.Float64()
	c.openUntil = now.Add(scale(c.openTime, spread))
	c.onProbation = true
}

// close lets calls through again. The probation goes on.
func (c *breaker) close() {
	c.completions = 0
}

// reset ends the probation and returns the open time to its minimum.
func (c *breaker) reset() {
	c.openTime = 0
	c.onProbation = false
}

func (c *breaker) remaining(now time.Time) time.Duration {
	return max(0, c.openUntil.Sub(now))
}

func (c *breaker) countCompletion() {
	c.crashes = 0
	c.completions++
	if c.completions >= probationCompletions {
		c.onProbation = false
	}
}

// countCrash counts a crash and reports whether it trips the breaker.
func (c *breaker) countCrash() bool {
	c.crashes++
	return c.onProbation || c.crashes >= crashesToTrip
}

// failureThreshold returns the number of failures that can trip the breaker.
func (c *breaker) failureThreshold() int {
	if c.onProbation {
		return probationFailuresToTrip
	}
	return failuresToTrip
}

// outcomeWindowSize is the number of recent outcomes that are evaluated
// together.
const outcomeWindowSize = 16

// outcomeWindow is a ring buffer of the outcomes of the last calls.
type outcomeWindow struct {
	ring  [outcomeWindowSize]accountOutcome
	next  int
	count int
}

type accountOutcome struct {
	account model.Account
	failed  bool
}

func (o *outcomeWindow) clear() { *o = outcomeWindow{} }

func (o *outcomeWindow) add(account model.Account, failed bool) {
	o.ring[o.next] = accountOutcome{account: account, failed: failed}
	o.next = (o.next + 1) % outcomeWindowSize
	o.count = min(o.count+1, outcomeWindowSize)
}

// shouldTrip reports whether there are at least threshold failures, and at
// least half of the calls failed for more than half of the accounts. Counting
// by account keeps one account whose every request fails from tripping the
// breaker.
func (o *outcomeWindow) shouldTrip(threshold int) bool {
	failures, accounts, failing := 0, 0, 0
	for i := range o.count {
		if o.ring[i].failed {
			failures++
		}
		if o.isFirstOfAccount(i) {
			accounts++
			if o.mostlyFailed(o.ring[i].account) {
				failing++
			}
		}
	}
	return failures >= threshold && 2*failing > accounts
}

// isFirstOfAccount reports whether no entry before entry i has the same
// account.
func (o *outcomeWindow) isFirstOfAccount(i int) bool {
	for j := range i {
		if o.ring[j].account == o.ring[i].account {
			return false
		}
	}
	return true
}

// mostlyFailed reports whether at least half of the account's calls failed.
func (o *outcomeWindow) mostlyFailed(account model.Account) bool {
	balance := 0
	for i := range o.count {
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
