package demo

import (
	"runtime"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// controlBytes counts the control bytes that all nodes of this process sent.
const controlBytes = "zinniafall_peer_control_sent_bytes_total"

// Usage is what a run used. The callers, the nodes, the targets and the store
// share the process.
type Usage struct {
	// Cores is the processor time of the process in cores, out of CPUs that
	// it may use. A run near CPUs was limited by the machine.
	Cores float64 `json:"cpu_cores"`
	CPUs  int     `json:"cpus"`
	// SendDelayP99 is how long after its due time a call was sent, in
	// milliseconds. More than a few means that the machine was the limit.
	SendDelayP99 float64 `json:"late_p99_ms"`
	// ControlBytesPerSecond is what a node sent to others besides calls, in bytes a
	// second without packet headers.
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
	// MeasuringPerSecond is the requests a second that measure one target, on average.
	MeasuringPerSecond float64 `json:"measuring_per_second"`
}

// usage is a reading of the process's counters.
type usage struct {
	at      time.Time
	cpu     time.Duration
	control uint64
}

func readUsage() usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return usage{
		at:      time.Now(),
		cpu:     time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		control: metrics.GetOrCreateCounter(controlBytes).Get(),
	}
}

// rates are the differences of two readings.
type rates struct {
	cores   float64
	control float64
}

func (u usage) since(before usage) rates {
	seconds := u.at.Sub(before.at).Seconds()
	return rates{
		cores:   (u.cpu - before.cpu).Seconds() / seconds,
		control: float64(u.control-before.control) / seconds,
	}
}

// fillUsage takes over what the process used for the given number of nodes.
func (r *Result) fillUsage(used rates, nodes int) {
	r.Usage.Cores = used.cores
	r.Usage.CPUs = runtime.GOMAXPROCS(0)
	r.Usage.ControlBytesPerSecond = used.control / float64(nodes)
}
