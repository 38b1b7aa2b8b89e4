package demo

import (
	"runtime"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// controlBytesMetric counts the control bytes that all nodes of this process sent.
const controlBytesMetric = "zinniafall_peer_control_sent_bytes_total"

// Usage is the resource usage of a run. The callers, the nodes, the targets and
// the store share the process.
type Usage struct {
	// Cores is the average number of cores that the process used, CPUs the
	// number that it may use. With Cores near CPUs the machine limited the run.
	Cores float64 `json:"cpu_cores"`
	CPUs  int     `json:"cpus"`
	// SendDelayP99 is the 99th percentile of the time from a call's due time to
	// its sending, in milliseconds. More than a few means that the machine
	// limited the run.
	SendDelayP99 float64 `json:"late_p99_ms"`
	// ControlBytesPerSecond is the average rate of control traffic that a node
	// sent to other nodes, in bytes per second without packet headers.
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
	// MeasuringPerSecond is the average rate of measuring requests to one target,
	// in requests per second.
	MeasuringPerSecond float64 `json:"measuring_per_second"`
}

// usageSample is one reading of the process's counters; control is the number of
// control bytes that its nodes sent.
type usageSample struct {
	at      time.Time
	cpu     time.Duration
	control uint64
}

func sampleUsage() usageSample {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return usageSample{
		at:      time.Now(),
		cpu:     time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		control: metrics.GetOrCreateCounter(controlBytesMetric).Get(),
	}
}

// usageRates are the rates between two samples: cores used, and control bytes per
// second of all nodes.
type usageRates struct {
	cores   float64
	control float64
}

// since returns the rates between an earlier sample and this one.
func (u usageSample) since(before usageSample) usageRates {
	seconds := u.at.Sub(before.at).Seconds()
	return usageRates{
		cores:   (u.cpu - before.cpu).Seconds() / seconds,
		control: float64(u.control-before.control) / seconds,
	}
}

// fillUsage sets the resource usage; the control traffic is the average of nodes.
func (r *Result) fillUsage(rates usageRates, nodes int) {
	r.Usage.Cores = rates.cores
	r.Usage.CPUs = runtime.GOMAXPROCS(0)
	r.Usage.ControlBytesPerSecond = rates.control / float64(nodes)
}
