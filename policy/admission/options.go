package admission

import (
	"time"

	"zinniafall/policy/chart"
)

// The defaults of Options.
const (
	DefaultQueueLength = 64
	DefaultMaxWait     = 100 * time.Millisecond
	DefaultConnections = 260
	DefaultLease       = 10 * time.Second
	DefaultProbeRate   = 2.0
	DefaultOpenTime    = 500 * time.Millisecond
	DefaultMaxOpenTime = 8 * time.Second
)

// Options configures an Owner. A zero field takes its default.
type Options struct {
	// QueueLength bounds the number of queued calls (64).
	QueueLength int
	// MaxWait bounds the predicted wait of a queued call (100 ms).
	MaxWait time.Duration
	// Connections bounds the connections to a target whose announcement gives
	// no bound (260).
	Connections int
	// Lease is the lifetime of an announcement that gives none (10 s).
	Lease time.Duration
	// ProbeRate is the budget of health and load requests that reach the
	// target, in requests per second (2).
	ProbeRate float64
	// OpenTime is how long the circuit breaker of a failing target stays open
	// before the target is retried (500 ms). It doubles with each failed retry
	// up to MaxOpenTime (8 s).
	OpenTime    time.Duration
	MaxOpenTime time.Duration
	// OnForbidden, if not nil, is called with each event that the target chart
	// does not allow in its current state.
	OnForbidden func(*chart.ForbiddenError)
	// Seed of the random jitter of open times.
	Seed uint64
}

func (o Options) withDefaults() Options {
	o.QueueLength = orDefault(o.QueueLength, DefaultQueueLength)
	o.MaxWait = orDefault(o.MaxWait, DefaultMaxWait)
	o.Connections = orDefault(o.Connections, DefaultConnections)
	o.Lease = orDefault(o.Lease, DefaultLease)
	o.ProbeRate = orDefault(o.ProbeRate, DefaultProbeRate)
	o.OpenTime = orDefault(o.OpenTime, DefaultOpenTime)
	o.MaxOpenTime = orDefault(o.MaxOpenTime, DefaultMaxOpenTime)
	return o
}

// orDefault returns the value, or the fallback if the value is not positive.
func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
