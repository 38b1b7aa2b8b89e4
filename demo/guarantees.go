package demo

import (
	"time"
)

// maxDomainOut is the time after taking a failure domain out of service within
// which the last new call must start there.
const maxDomainOut = 7 * time.Second

// measureRate is the configured budget of measuring requests, in requests per
// second to each target.
const measureRate = 2

// checkGuarantees compares what callers were told with what the targets saw and
// lists the violated guarantees.
func (r *Result) checkGuarantees(f *fleet, g *generator, s *scenario, elapsed time.Duration) {
	runs := make(map[string]int)
	measured := 0
	for _, m := range f.members {
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
	r.Usage.MeasuringPerSecond = float64(measured) / float64(len(f.members)) / elapsed.Seconds()
	r.countRunFaults(g.records, runs)
	s.recordLastStart()
	r.DomainOutMs = s.domainOutMs()
	for _, err := range s.errors {
		r.Errors = append(r.Errors, err.Error())
	}
	r.Violations = r.violations()
}

// countRunFaults counts the calls whose reported run state contradicts runs, which
// holds how often the targets started each call, and the writes that ran twice.
func (r *Result) countRunFaults(records []callRecord, runs map[string]int) {
	r.FalseNotRunKinds = make(map[string]int)
	for _, c := range records {
		if c.kind != lookup && runs[c.id] > 1 {
			r.DoubleRuns++
		}
		if c.runState == "no" && runs[c.id] > 0 {
			r.FalseNotRun++
			r.FalseNotRunKinds[c.problem]++
		}
	}
}

// domainOutMs returns the time from the command that takes the failure domain out
// of service to the last call that started there, in milliseconds.
func (s *scenario) domainOutMs() float64 {
	last := s.lastStartWhileOut
	if s.takenOutAt.IsZero() || last.Before(s.takenOutAt) {
		return 0
	}
	return float64(last.Sub(s.takenOutAt).Microseconds()) / 1000
}

// violations lists the guarantees that the run violated.
func (r *Result) violations() []string {
	checks := []struct {
		violated bool
		text     string
	}{
		{r.DoubleRuns > 0, "a non-idempotent call ran more than once"},
		{r.FalseNotRun > 0, "a call that was reported as not run had run"},
		{r.WrongAnswers > 0, "a caller received an answer that was not its own"},
		{r.ColdOverload > 0, "a cold target received more work than it bears"},
		{r.SlotOverload > 0, "a target received more calls than it has slots"},
		{r.MeasureOverBudget > 0, "measuring exceeded its budget"},
		{r.DomainOutMs > float64(maxDomainOut.Milliseconds()), "a failure domain received new work after it was taken out"},
		{len(r.Errors) > 0, "an operator's command failed"},
	}
	violations := []string{}
	for _, c := range checks {
		if c.violated {
			violations = append(violations, c.text)
		}
	}
	return violations
}
