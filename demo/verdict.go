package demo

import (
	"time"
)

// domainOutBound is the time in which a failure domain that was taken out
// gets its last new call.
const domainOutBound = 7 * time.Second

// measureRate is the budget of measuring requests that the demo configures,
// in requests a second at each target.
const measureRate = 2

// judge compares what callers were told with what the targets saw.
func (r *Result) judge(f *fleet, l *load, s *script, elapsed time.Duration) {
	runs := make(map[string]int)
	measured := 0
	for _, m := range f.nodes {
		for id, n := range m.target.Runs() {
			runs[id] += n
		}
		counts := m.target.Counts()
		r.ColdOverload += counts.ColdOverload
		r.SlotOverload += counts.SlotOverload
		budget := int(measureRate*(elapsed.Seconds()+1)) + 1
		measured += counts.Probes
		r.MeasureOverBudget += max(counts.Probes-budget, 0)
	}
	r.Usage.Measuring = float64(measured) / float64(len(f.nodes)) / elapsed.Seconds()
	r.compare(l.records, runs)
	s.noteLast()
	r.DomainOutMs = s.domainOut()
	for _, err := range s.errors {
		r.Errors = append(r.Errors, err.Error())
	}
	r.Broken = r.broken()
}

// compare holds what callers were told against how often the targets started
// each call.
func (r *Result) compare(records []record, runs map[string]int) {
	r.FalseNotRunKinds = make(map[string]int)
	for _, c := range records {
		if c.kind != lookup && runs[c.id] > 1 {
			r.DoubleRuns++
		}
		if c.run == "no" && runs[c.id] > 0 {
			r.FalseNotRun++
			r.FalseNotRunKinds[c.problem]++
		}
	}
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
