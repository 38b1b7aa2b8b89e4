package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// rowWriter prints a table row with a name and a value.
type rowWriter func(name string, value any)

// WriteTable prints the result as a table.
func (r *Result) WriteTable(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := rowWriter(func(name string, value any) { _, _ = fmt.Fprintf(w, "%s\t%v\n", name, value) })
	row("load, share of capacity", fmt.Sprintf("%.2f of %.0f calls/s", r.Load, r.Capacity))
	row("calls", r.Calls)
	row("failed", r.Failed)
	row("not run", r.NotRun)
	row("unknown", r.Unknown)
	row("double runs", r.DoubleRuns)
	row("false not run", r.FalseNotRun)
	row("wrong answers", r.WrongAnswers)
	row("cold overload", r.ColdOverload)
	row("slot overload", r.SlotOverload)
	row("measuring over budget", r.MeasureOverBudget)
	row("domain out, ms", fmt.Sprintf("%.0f", r.DomainOutMs))
	row("added p50, ms", fmt.Sprintf("%.2f", r.AddedP50))
	row("added p99, ms", fmt.Sprintf("%.2f", r.AddedP99))
	r.Usage.writeRows(row)
	r.Outage.writeRows(row)
	_, _ = fmt.Fprintf(w, "\naccount\tcalls\tfailed\tp50 ms\tp99 ms\tp99.9 ms\n")
	for _, a := range r.Accounts {
		name := a.Account
		if a.Heavy {
			name += " (heavy)"
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%.1f\t%.1f\n", name, a.Calls, a.Failed, a.P50, a.P99, a.P999)
	}
	for kind, n := range r.Failures {
		row("failure "+kind, n)
	}
	for kind, n := range r.FalseNotRunKinds {
		row("false not run "+kind, n)
	}
	for _, text := range r.Errors {
		row("error", text)
	}
	for _, text := range r.Violations {
		row("BROKEN", text)
	}
	_ = w.Flush()
}

// writeRows prints the resource usage.
func (u Usage) writeRows(row rowWriter) {
	row("CPU of the process, cores", fmt.Sprintf("%.1f of %d", u.Cores, u.CPUs))
	row("calls sent late, p99 ms", fmt.Sprintf("%.1f", u.SendDelayP99))
	row("control for each node, B/s", fmt.Sprintf("%.0f", u.ControlBytesPerSecond))
	row("measuring for each target, 1/s", fmt.Sprintf("%.2f", u.MeasuringPerSecond))
}

// writeRows prints the calls before, during and after the outage.
func (a Outage) writeRows(row rowWriter) {
	phases := []struct {
		name string
		PhaseStats
	}{{"before", a.Before}, {"while out", a.Out}, {"after", a.After}}
	for _, p := range phases {
		row("domain "+p.name, fmt.Sprintf("%d calls, %d failed, p50 %.1f ms, p99 %.1f ms", p.Calls, p.Failed, p.P50, p.P99))
	}
	row("domain's share before, at the end", fmt.Sprintf("%.3f, %.3f", a.ShareBefore, a.ShareAtEnd))
	if a.FullShareMs == nil {
		row("full share again", "not seen in this run")
		return
	}
	row("full share again, ms", fmt.Sprintf("%.0f", *a.FullShareMs))
}
