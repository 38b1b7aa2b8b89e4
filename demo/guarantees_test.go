package demo

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestCountRunFaults(t *testing.T) {
	tests := []struct {
		name        string
		callRecord  callRecord
		runs        int
		double      int
		falseNotRun int
	}{
		{"a write that ran once", callRecord{kind: plainWrite, runState: "yes"}, 1, 0, 0},
		{"a write that ran twice", callRecord{kind: plainWrite, runState: "yes"}, 2, 1, 0},
		{"a keyed write that ran twice", callRecord{kind: keyedWrite, runState: "yes"}, 2, 1, 0},
		{"a lookup that ran twice is allowed", callRecord{kind: lookup, runState: "yes"}, 2, 0, 0},
		{"not run, correctly reported", callRecord{kind: plainWrite, runState: "no"}, 0, 0, 0},
		{"not run, falsely reported", callRecord{kind: plainWrite, runState: "no"}, 1, 0, 1},
		{"a lookup not run, falsely reported", callRecord{kind: lookup, runState: "no"}, 1, 0, 1},
		{"unknown is never false", callRecord{kind: plainWrite, runState: "unknown"}, 1, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.callRecord.id = "a-1"
			r := &Result{}
			r.countRunFaults([]callRecord{test.callRecord}, map[string]int{"a-1": test.runs, "b-1": 5})
			qt.Check(t, r.DoubleRuns, qt.Equals, test.double)
			qt.Check(t, r.FalseNotRun, qt.Equals, test.falseNotRun)
		})
	}
}

func TestViolations(t *testing.T) {
	tests := []struct {
		name       string
		result     Result
		violations int
	}{
		{"no violation", Result{DomainOutMs: 7000}, 0},
		{"double run", Result{DoubleRuns: 1}, 1},
		{"false not run", Result{FalseNotRun: 1}, 1},
		{"wrong answer", Result{WrongAnswers: 1}, 1},
		{"cold overload", Result{ColdOverload: 1}, 1},
		{"slot overload", Result{SlotOverload: 1}, 1},
		{"measuring over budget", Result{MeasureOverBudget: 1}, 1},
		{"new call too late after the domain was taken out", Result{DomainOutMs: 7001}, 1},
		{"command failed", Result{Errors: []string{"refused"}}, 1},
		{"two violations", Result{DoubleRuns: 1, WrongAnswers: 2}, 2},
		{"failed calls are no violation", Result{Failed: 9, NotRun: 9}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, test.result.violations(), qt.HasLen, test.violations)
		})
	}
}

// at returns the time ms milliseconds after the start of a run.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func TestPhaseStats(t *testing.T) {
	records := []callRecord{
		{due: at(0), latency: time.Millisecond},
		{due: at(100), latency: 3 * time.Millisecond},
		{due: at(200), latency: 5 * time.Millisecond, failed: true},
		{due: at(300), latency: 7 * time.Millisecond},
	}
	tests := []struct {
		name          string
		from, to      time.Time
		calls, failed int64
		p99           float64
	}{
		{"half-open interval", at(100), at(300), 2, 1, 5},
		{"until the end", at(200), time.Time{}, 2, 1, 7},
		{"phase not begun", time.Time{}, at(300), 0, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := phaseStats(records, test.from, test.to)
			qt.Check(t, p.Calls, qt.Equals, test.calls)
			qt.Check(t, p.Failed, qt.Equals, test.failed)
			qt.Check(t, math.Round(p.P99), qt.Equals, test.p99)
		})
	}
}

// samplesOf returns samples 50 ms apart. In each interval 100 calls start, of
// which domainStarts start in the failure domain.
func samplesOf(domainStarts ...int) []sample {
	samples := []sample{{at: at(0)}}
	for i, n := range domainStarts {
		last := samples[i]
		samples = append(samples, sample{at: at(50 * (i + 1)), domain: last.domain + n, total: last.total + 100})
	}
	return samples
}

// repeat returns a slice of n copies of value.
func repeat(value, n int) []int {
	values := make([]int, n)
	for i := range values {
		values[i] = value
	}
	return values
}

func TestTimeToFullShare(t *testing.T) {
	absentThenFull := append(repeat(0, 20), repeat(25, 20)...)
	tests := []struct {
		name        string
		samples     []sample
		broughtBack time.Time
		shareBefore float64
		want        time.Duration
		seen        bool
	}{
		{"full share at once", samplesOf(repeat(25, 20)...), at(0), 0.25, 400 * time.Millisecond, true},
		{"full share after a second", samplesOf(absentThenFull...), at(0), 0.25, 1450 * time.Millisecond, true},
		{"windows before the return do not count", samplesOf(append(repeat(25, 20), absentThenFull...)...), at(1500), 0.25, 950 * time.Millisecond, true},
		{"full share never reached", samplesOf(repeat(10, 40)...), at(0), 0.25, 0, false},
		{"no calls", samplesOf(), at(0), 0.25, 0, false},
		{"not brought back", samplesOf(repeat(25, 20)...), time.Time{}, 0.25, 0, false},
		{"no share before", samplesOf(repeat(25, 20)...), at(0), 0, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, seen := timeToFullShare(test.samples, test.broughtBack, test.shareBefore)
			qt.Check(t, seen, qt.Equals, test.seen)
			qt.Check(t, got, qt.Equals, test.want)
		})
	}
}

func TestDomainShareBetween(t *testing.T) {
	samples := samplesOf(10, 20, 30, 40)
	qt.Check(t, domainShareBetween(samples, at(50), at(150)), qt.Equals, 0.25)
	qt.Check(t, domainShareBetween(samples, at(160), at(190)), qt.Equals, 0.0)
}

func TestAccountRates(t *testing.T) {
	rates := accountRates(900, 6)
	sum := 0.0
	for _, rate := range rates {
		sum += rate
	}
	qt.Check(t, rates[0], qt.Equals, 400.0)
	qt.Check(t, rates[1], qt.Equals, 100.0)
	qt.Check(t, sum, qt.Equals, 900.0)
}

func TestSpecWithOptions(t *testing.T) {
	s, err := specFor(NewEngland)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.withOptions(Options{}).totalCapacity(), qt.Equals, 8400.0)
	slow := s.withOptions(Options{Load: 0.8, ServiceTime: 120 * time.Millisecond})
	qt.Check(t, math.Round(slow.totalCapacity()), qt.Equals, 1400.0)
	qt.Check(t, slow.load, qt.Equals, 0.8)
	_, err = specFor("atlantis")
	qt.Check(t, err, qt.ErrorMatches, ".*use new-england or perth")
}
