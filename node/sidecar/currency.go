package sidecar

import (
	"math"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// recordAnswer records that an answer of the store has been applied, and the earliest time at
// which the store can have given it.
func (c *configuration) recordAnswer(at time.Time) {
	have := c.revision()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredAt = at
	if !c.unreadable && !c.order.ShowsLater() {
		c.puller.Confirm(at, have, have)
	}
}

// recordConfirmed records that the store answered another node, which follows it and has no
// later configuration than that of a revision, at a time.
func (c *configuration) recordConfirmed(at time.Time, revision model.Revision) {
	have := c.revision()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.puller.Confirm(at, revision, have)
}

// storeAge returns how long ago the store answered the follower of the operators' keys.
func (c *configuration) storeAge(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(now.Sub(c.answeredAt), 0)
}

// unconfirmedSeconds returns, for the metrics, how long the configuration in force has not
// been known to be current. It is infinite if it never was.
func (c *configuration) unconfirmedSeconds() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.puller.ConfirmedAt().IsZero() {
		return math.Inf(1)
	}
	return c.puller.Unconfirmed(time.Now()).Seconds()
}

// checkOverdue refuses a call if other nodes have had a newer configuration for so long that
// the one in force may no longer be used; see distribution.Puller. The newer one is likely to
// be missing for longer than a call would be held.
func (c *configuration) checkOverdue(now time.Time) *problem.Error {
	have, applyTime := c.revision(), c.node.live.Load().ApplyTime
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.puller.Overdue(now, have, applyTime) {
		return nil
	}
	callsOverdue.Inc()
	return problem.New(problem.ConfigurationLag, model.RunNo, "other nodes have had a newer configuration for too long").After(c.puller.RetryAfter(now))
}
