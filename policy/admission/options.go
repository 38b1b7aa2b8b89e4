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
	DefaultMeasureRate = 2.0
	DefaultOpenTime    = 500 * time.Millisecond
	DefaultMaxOpenTime = 8 * time.Second
)

// Options tunes an Owner. A zero field takes its default.
type Options struct {
	// QueueLength bounds the calls that wait for a slot (64).
	QueueLength int
	// MaxWait bounds the predicted wait of a queued call (100 ms).
	MaxWait time.Duration
	// Connections bounds the connections to a target whose announcement
	// names no bound (260).
	Connections int
	// Lease is the life of an announcement that names none (10 s).
	Lease time.Duration
	// MeasureRate is the budget of health and load requests that reach the
	// target, in requests a second (2).
	MeasureRate float64
	// OpenTime is the time for which a failing target gets no call before
	// it is tried again (500 ms); it doubles with each failed try up to
	// MaxProbation (8 s).
	OpenTime    time.Duration
	MaxOpenTime time.Duration
	// OnForbidden, which may be nil, is told of events that the target chart
	// does not allow.
	OnForbidden func(*chart.ForbiddenError)
	// Seed of the random spread of probation times.
	Seed uint64
}

func (o Options) withDefaults() Options {
	o.QueueLength = orDefault(o.QueueLength, DefaultQueueLength)
	o.MaxWait = orDefault(o.MaxWait, DefaultMaxWait)
	o.Connections = orDefault(o.Connections, DefaultConnections)
	o.Lease = orDefault(o.Lease, DefaultLease)
	o.MeasureRate = orDefault(o.MeasureRate, DefaultMeasureRate)
	o.OpenTime = orDefault(o.OpenTime, DefaultOpenTime)
	o.MaxOpenTime = orDefault(o.MaxOpenTime, DefaultMaxOpenTime)
	return o
}

// orDefault returns the value, or the default when it is not positive.
func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
