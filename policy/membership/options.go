package membership

import (
	"math/rand/v2"
	"time"
)

// Limits of the protocol.
const (
	// MaxPacket is the maximum payload that a View sends or accepts, in bytes.
	MaxPacket = 1100
	// MaxFlood is the maximum message that Flood accepts, in bytes.
	MaxFlood = 800
	// MaxMembers limits the records of a view, gone members included.
	MaxMembers = 8192
	// ringCount is the number of rings; a node has two neighbors on each.
	ringCount = 3
	// packetOverhead is the number of header bytes charged for each packet.
	packetOverhead = 60
	// maxDeliveries limits the floods that wait for TakeFloods.
	maxDeliveries = 1024
	// maxQueuedFloods limits the floods that wait for the pacer.
	maxQueuedFloods = 256
)

// Options configures a View; a zero field selects the default.
type Options struct {
	// Seed seeds the random choices.
	Seed uint64
	// BytesPerSecond limits the rate at which the node sends, packet overhead
	// included.
	BytesPerSecond int // default 10,000
	// Heartbeat is the interval between heartbeats to one neighbor.
	Heartbeat time.Duration // default 1 s
	// SuspectAfter is the silence after which an observer votes against a
	// neighbor.
	SuspectAfter time.Duration // default 3.5 s
	// HideAfter is how long no other observer may answer before an observer hides
	// a silent neighbor from its own view.
	HideAfter time.Duration // default 15 s
	// SyncInterval is the interval between digest exchanges.
	SyncInterval time.Duration // default 10 s
	// ProbeInterval is the interval between probes of gone members.
	ProbeInterval time.Duration // default 20 s
	// TombstoneTTL is how long the record of a gone member is kept.
	TombstoneTTL time.Duration // default 2 h
	// PauseAfter is the time between two calls of the View that counts as a pause
	// of the process. Tick must be called several times within it.
	PauseAfter time.Duration // default 1 s
}

func orDefault[T comparable](value, defaultValue T) T {
	var zero T
	if value == zero {
		return defaultValue
	}
	return value
}

func (o Options) withDefaults() Options {
	o.BytesPerSecond = orDefault(o.BytesPerSecond, 10_000)
	o.Heartbeat = orDefault(o.Heartbeat, time.Second)
	o.SuspectAfter = orDefault(o.SuspectAfter, 3500*time.Millisecond)
	o.HideAfter = orDefault(o.HideAfter, 15*time.Second)
	o.SyncInterval = orDefault(o.SyncInterval, 10*time.Second)
	o.ProbeInterval = orDefault(o.ProbeInterval, 20*time.Second)
	o.TombstoneTTL = orDefault(o.TombstoneTTL, 2*time.Hour)
	o.PauseAfter = orDefault(o.PauseAfter, time.Second)
	return o
}

// jitter returns a random duration between 3/4 and 5/4 of the interval.
func jitter(random *rand.Rand, interval time.Duration) time.Duration {
	return interval*3/4 + time.Duration(random.Int64N(int64(interval/2)+1))
}
