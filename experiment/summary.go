package experiment

import (
	"slices"

	"zinniafall/demo"
)

// Summary condenses one figure of several runs.
type Summary struct {
	Name   string  `json:"name"`
	Min    float64 `json:"min"`
	Median float64 `json:"median"`
	Max    float64 `json:"max"`
	// Runs that had the figure; the others did not see it happen.
	Runs int `json:"runs"`
}

// figure takes one value from a result; false when the run did not see it.
type figure struct {
	name string
	of   func(*demo.Result) (float64, bool)
}

// always is a figure that each run has.
func always(name string, of func(*demo.Result) float64) figure {
	return figure{name, func(r *demo.Result) (float64, bool) { return of(r), true }}
}

// figures are what a row shows, in this order.
var figures = []figure{
	always("others p50 ms", func(r *demo.Result) float64 { return r.Others.P50 }),
	always("others p99 ms", func(r *demo.Result) float64 { return r.Others.P99 }),
	always("others p99.9 ms", func(r *demo.Result) float64 { return r.Others.P999 }),
	always("others failed %", func(r *demo.Result) float64 { return percent(r.Others.Failed, r.Others.Calls) }),
	always("heavy p50 ms", func(r *demo.Result) float64 { return r.Accounts[0].P50 }),
	always("heavy p99 ms", func(r *demo.Result) float64 { return r.Accounts[0].P99 }),
	always("heavy failed %", func(r *demo.Result) float64 { return percent(r.Accounts[0].Failed, r.Accounts[0].Calls) }),
	always("added p50 ms", func(r *demo.Result) float64 { return r.AddedP50 }),
	always("added p99 ms", func(r *demo.Result) float64 { return r.AddedP99 }),
	always("before: p99 ms", func(r *demo.Result) float64 { return r.Outage.Before.P99 }),
	always("out: p99 ms", func(r *demo.Result) float64 { return r.Outage.Out.P99 }),
	always("after: p99 ms", func(r *demo.Result) float64 { return r.Outage.After.P99 }),
	always("before: failed %", func(r *demo.Result) float64 { return phaseFailed(r.Outage.Before) }),
	always("out: failed %", func(r *demo.Result) float64 { return phaseFailed(r.Outage.Out) }),
	always("after: failed %", func(r *demo.Result) float64 { return phaseFailed(r.Outage.After) }),
	always("last new call ms", func(r *demo.Result) float64 { return r.DomainOutMs }),
	{"full share ms", fullShare},
	always("cold overload", func(r *demo.Result) float64 { return float64(r.ColdOverload) }),
	always("slot overload", func(r *demo.Result) float64 { return float64(r.SlotOverload) }),
	always("double runs", func(r *demo.Result) float64 { return float64(r.DoubleRuns) }),
	always("false not run", func(r *demo.Result) float64 { return float64(r.FalseNotRun) }),
	always("measuring 1/s", func(r *demo.Result) float64 { return r.Usage.MeasuringPerSecond }),
	always("control B/s", func(r *demo.Result) float64 { return r.Usage.ControlBytesPerSecond }),
	always("CPU cores", func(r *demo.Result) float64 { return r.Usage.Cores }),
	always("sent late p99 ms", func(r *demo.Result) float64 { return r.Usage.SendDelayP99 }),
}

func fullShare(r *demo.Result) (float64, bool) {
	if r.Outage.FullShareMs == nil {
		return 0, false
	}
	return *r.Outage.FullShareMs, true
}

func phaseFailed(p demo.PhaseStats) float64 { return percent(p.Failed, p.Calls) }

func percent(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

// condense makes a row of the results of one setting.
func condense(s Combination, results []*demo.Result) Row {
	row := Row{Combination: s, Runs: len(results), Violations: make(map[string]int)}
	for _, f := range figures {
		row.Metrics = append(row.Metrics, summarize(f, results))
	}
	for _, r := range results {
		for _, promise := range r.Violations {
			row.Violations[promise]++
		}
	}
	return row
}

// summarize takes the least, median and greatest value of a figure. The median
// of an even number of values is the lower one of the middle two.
func summarize(f figure, results []*demo.Result) Summary {
	var values []float64
	for _, r := range results {
		if value, ok := f.of(r); ok {
			values = append(values, value)
		}
	}
	summary := Summary{Name: f.name, Runs: len(values)}
	if len(values) == 0 {
		return summary
	}
	slices.Sort(values)
	summary.Min, summary.Max = values[0], values[len(values)-1]
	summary.Median = values[(len(values)-1)/2]
	return summary
}
