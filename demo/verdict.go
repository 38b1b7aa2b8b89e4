package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// domainOutBound is the time in which a failure domain that was taken out
// gets its last new call.
const domainOutBound = 7 * time.Second

// AccountLatency is what one client account saw, in milliseconds.
type AccountLatency struct {
	Account string  `json:"account"`
	Heavy   bool    `json:"heavy"`
	Calls   int64   `json:"calls"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	P999    float64 `json:"p999_ms"`
}

// Result is the outcome of a run.
type Result struct {
	Deployment        Deployment       `json:"deployment"`
	Policy            string           `json:"policy"`
	Seconds           float64          `json:"seconds"`
	Calls             int64            `json:"calls"`
	Failed            int64            `json:"failed"`
	NotRun            int64            `json:"not_run"`
	Unknown           int64            `json:"unknown"`
	FalseNotRun       int              `json:"false_not_run"`
	DoubleRuns        int              `json:"double_runs"`
	WrongAnswers      int64            `json:"wrong_answers"`
	ColdOverload      int              `json:"cold_overload"`
	SlotOverload      int              `json:"slot_overload"`
	MeasureOverBudget int              `json:"measure_over_budget"`
	DomainOutMs       float64          `json:"domain_out_ms"`
	AddedP50          float64          `json:"added_p50_ms"`
	AddedP99          float64          `json:"added_p99_ms"`
	Accounts          []AccountLatency `json:"accounts"`
	Failures          map[string]int   `json:"failures"`
	Errors            []string         `json:"errors,omitempty"`
	Broken            []string         `json:"broken_promises"`
}

// measureRate is the budget of measuring requests that the demo configures,
// in requests a second at each target.
const measureRate = 2

// judge compares what callers were told with what the targets saw.
func (r *Result) judge(f *fleet, l *load, s *script, elapsed time.Duration) {
	runs := make(map[string]int)
	for _, m := range f.nodes {
		for id, n := range m.target.Runs() {
			runs[id] += n
		}
		counts := m.target.Counts()
		r.ColdOverload += counts.ColdOverload
		r.SlotOverload += counts.SlotOverload
		budget := int(measureRate*(elapsed.Seconds()+1)) + 1
		r.MeasureOverBudget += max(counts.Measured-budget, 0)
	}
	for _, c := range l.records {
		if c.kind != lookup && runs[c.id] > 1 {
			r.DoubleRuns++
		}
		if c.run == "no" && runs[c.id] > 0 {
			r.FalseNotRun++
		}
	}
	s.noteLast()
	r.DomainOutMs = s.domainOut()
	for _, err := range s.errors {
		r.Errors = append(r.Errors, err.Error())
	}
	r.Broken = r.broken()
}

// domainOut returns the time from the command to the last call that started
// in the failure domain, in milliseconds.
func (s *script) domainOut() float64 {
	last := s.lastWhileOut
	if s.outAt.IsZero() || last.Before(s.outAt) {
		return 0
	}
	return float64(last.Sub(s.outAt).Microseconds()) / 1000
}

// broken lists the promises that the run saw broken.
func (r *Result) broken() []string {
	checks := []struct {
		bad  bool
		text string
	}{
		{r.DoubleRuns > 0, "a non-idempotent call ran more than once"},
		{r.FalseNotRun > 0, "a call that was reported as not run had run"},
		{r.WrongAnswers > 0, "a caller received an answer that was not its own"},
		{r.ColdOverload > 0, "a cold target received more work than it bears"},
		{r.SlotOverload > 0, "a target received more calls than it has slots"},
		{r.MeasureOverBudget > 0, "measuring exceeded its budget"},
		{r.DomainOutMs > float64(domainOutBound.Milliseconds()), "a failure domain received new work after it was taken out"},
		{len(r.Errors) > 0, "an operator's command failed"},
	}
	broken := []string{}
	for _, c := range checks {
		if c.bad {
			broken = append(broken, c.text)
		}
	}
	return broken
}

func (r *Result) fill(l *load) {
	r.Calls, r.Failed, r.NotRun = l.total.Load(), l.failed.Load(), l.notRun.Load()
	r.Unknown, r.WrongAnswers = l.unknown.Load(), l.wrong.Load()
	r.AddedP50, r.AddedP99 = quantile(l.added, 50), quantile(l.added, 99)
	r.Failures = l.failures
	for _, a := range l.accounts {
		r.Accounts = append(r.Accounts, AccountLatency{
			Account: a.name, Heavy: a.heavy, Calls: a.latency.TotalCount(),
			P50: quantile(a.latency, 50), P99: quantile(a.latency, 99), P999: quantile(a.latency, 99.9),
		})
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// WriteTable prints the result for people.
func (r *Result) WriteTable(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { _, _ = fmt.Fprintf(w, "%s\t%v\n", name, value) }
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
	_, _ = fmt.Fprintf(w, "\naccount\tcalls\tp50 ms\tp99 ms\tp99.9 ms\n")
	for _, a := range r.Accounts {
		name := a.Account
		if a.Heavy {
			name += " (heavy)"
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\n", name, a.Calls, a.P50, a.P99, a.P999)
	}
	for kind, n := range r.Failures {
		row("failure "+kind, n)
	}
	for _, text := range r.Errors {
		row("error", text)
	}
	for _, text := range r.Broken {
		row("BROKEN", text)
	}
	_ = w.Flush()
}
