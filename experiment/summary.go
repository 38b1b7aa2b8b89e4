package experiment

import (
	"slices"

	"zinniafall/demo"
)

// Summary holds the minimum, median and maximum of one metric over several runs.
type Summary struct {
	Name   string  `json:"name"`
	Min    float64 `json:"min"`
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
	// Runs is the number of runs that have a value; what the metric measures did
	// not happen in the others.
	Runs int `json:"runs"`
}

// metric reads one value from a result. It returns false if the run has no value.
type metric struct {
	name  string
	value func(*demo.Result) (float64, bool)
}

// required returns a metric that every run has.
func required(name string, value func(*demo.Result) float64) metric {
	return metric{name, func(r *demo.Result) (float64, bool) { return value(r), true }}
}

// metrics are the metrics of a row, in the order of the table.
var metrics = []metric{
	required("others p50 ms", func(r *demo.Result) float64 { return r.Others.P50 }),
	required("others p99 ms", func(r *demo.Result) float64 { return r.Others.P99 }),
	required("others p99.9 ms", func(r *demo.Result) float64 { return r.Others.P999 }),
	required("others failed %", func(r *demo.Result) float64 { return percent(r.Others.Failed, r.Others.Calls) }),
	required("heavy p50 ms", func(r *demo.Result) float64 { return r.Accounts[0].P50 }),
	required("heavy p99 ms", func(r *demo.Result) float64 { return r.Accounts[0].P99 }),
	required("heavy failed %", func(r *demo.Result) float64 { return percent(r.Accounts[0].Failed, r.Accounts[0].Calls) }),
	required("added p50 ms", func(r *demo.Result) float64 { return r.AddedP50 }),
	required("added p99 ms", func(r *demo.Result) float64 { return r.AddedP99 }),
	required("before: p99 ms", func(r *demo.Result) float64 { return r.Outage.Before.P99 }),
	required("out: p99 ms", func(r *demo.Result) float64 { return r.Outage.Out.P99 }),
	required("after: p99 ms", func(r *demo.Result) float64 { return r.Outage.After.P99 }),
	required("before: failed %", func(r *demo.Result) float64 { return failedPercent(r.Outage.Before) }),
	required("out: failed %", func(r *demo.Result) float64 { return failedPercent(r.Outage.Out) }),
	required("after: failed %", func(r *demo.Result) float64 { return failedPercent(r.Outage.After) }),
	required("last new call ms", func(r *demo.Result) float64 { return r.DomainOutMs }),
	{"full share ms", fullShareMs},
	required("cold overload", func(r *demo.Result) float64 { return float64(r.ColdOverload) }),
	required("slot overload", func(r *demo.Result) float64 { return float64(r.SlotOverload) }),
	required("double runs", func(r *demo.Result) float64 { return float64(r.DoubleRuns) }),
	required("false not run", func(r *demo.Result) float64 { return float64(r.FalseNotRun) }),
	required("measuring 1/s", func(r *demo.Result) float64 { return r.Usage.MeasuringPerSecond }),
	required("control B/s", func(r *demo.Result) float64 { return r.Usage.ControlBytesPerSecond }),
	required("CPU cores", func(r *demo.Result) float64 { return r.Usage.Cores }),
	required("sent late p99 ms", func(r *demo.Result) float64 { return r.Usage.SendDelayP99 }),
}

func fullShareMs(r *demo.Result) (float64, bool) {
	if r.Outage.FullShareMs == nil {
		return 0, false
	}
	return *r.Outage.FullShareMs, true
}

func failedPercent(p demo.PhaseStats) float64 { return percent(p.Failed, p.Calls) }

func percent(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

// aggregate returns the row that summarizes the results of one combination.
func aggregate(c Combination, results []*demo.Result) Row {
	row := Row{Combination: c, Runs: len(results), Violations: make(map[string]int)}
	for _, m := range metrics {
		row.Metrics = append(row.Metrics, summarize(m, results))
	}
	for _, r := range results {
		for _, guarantee := range r.Violations {
			row.Violations[guarantee]++
		}
	}
	return row
}

// summarize returns the minimum, median and maximum of a metric. The median of an
// even number of values is the lower of the middle two.
func summarize(m metric, results []*demo.Result) Summary {
	var values []float64
	for _, r := range results {
		if value, ok := m.value(r); ok {
			values = append(values, value)
		}
	}
	summary := Summary{Name: m.name, Runs: len(values)}
	if len(values) == 0 {
		return summary
	}
	slices.Sort(values)
	summary.Min, summary.Max = values[0], values[len(values)-1]
	summary.Median = values[(len(values)-1)/2]
	return summary
}
