package demo

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestCompare(t *testing.T) {
	tests := []struct {
		name        string
		record      record
		runs        int
		double      int
		falseNotRun int
	}{
		{"a write that ran once", record{kind: plainWrite, run: "yes"}, 1, 0, 0},
		{"a write that ran twice", record{kind: plainWrite, run: "yes"}, 2, 1, 0},
		{"a keyed write that ran twice", record{kind: keyedWrite, run: "yes"}, 2, 1, 0},
		{"a lookup may run twice", record{kind: lookup, run: "yes"}, 2, 0, 0},
		{"not run, rightly", record{kind: plainWrite, run: "no"}, 0, 0, 0},
		{"not run, wrongly", record{kind: plainWrite, run: "no"}, 1, 0, 1},
		{"a lookup not run, wrongly", record{kind: lookup, run: "no"}, 1, 0, 1},
		{"unknown claims nothing", record{kind: plainWrite, run: "unknown"}, 1, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.record.id = "a-1"
			r := &Result{}
			r.compare([]record{test.record}, map[string]int{"a-1": test.runs, "b-1": 5})
			qt.Check(t, r.DoubleRuns, qt.Equals, test.double)
			qt.Check(t, r.FalseNotRun, qt.Equals, test.falseNotRun)
		})
	}
}

func TestBroken(t *testing.T) {
	tests := []struct {
		name   string
		result Result
		broken int
	}{
		{"nothing", Result{DomainOutMs: 7000}, 0},
		{"double run", Result{DoubleRuns: 1}, 1},
		{"false not run", Result{FalseNotRun: 1}, 1},
		{"wrong answer", Result{WrongAnswers: 1}, 1},
		{"cold overload", Result{ColdOverload: 1}, 1},
		{"slot overload", Result{SlotOverload: 1}, 1},
		{"measuring", Result{MeasureOverBudget: 1}, 1},
		{"domain late", Result{DomainOutMs: 7001}, 1},
		{"command failed", Result{Errors: []string{"refused"}}, 1},
		{"two at once", Result{DoubleRuns: 1, WrongAnswers: 2}, 2},
		{"failed calls are no broken promise", Result{Failed: 9, NotRun: 9}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, test.result.broken(), qt.HasLen, test.broken)
		})
	}
}

// at returns a moment some milliseconds into a run.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func TestPhases(t *testing.T) {
	records := []record{
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
		{"half open", at(100), at(300), 2, 1, 5},
		{"to the end", at(200), time.Time{}, 2, 1, 7},
		{"not begun", time.Time{}, at(300), 0, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := phaseOf(records, test.from, test.to)
			qt.Check(t, p.Calls, qt.Equals, test.calls)
			qt.Check(t, p.Failed, qt.Equals, test.failed)
			qt.Check(t, math.Round(p.P99), qt.Equals, test.p99)
		})
	}
}

// ramp returns samples, 50 ms apart, of a domain whose part of 100 calls an
// interval is given for each interval.
func ramp(parts ...int) []sample {
	samples := []sample{{at: at(0)}}
	for i, part := range parts {
		last := samples[i]
		samples = append(samples, sample{at: at(50 * (i + 1)), domain: last.domain + part, total: last.total + 100})
	}
	return samples
}

// repeat returns n times the value.
func repeat(value, n int) []int {
	values := make([]int, n)
	for i := range values {
		values[i] = value
	}
	return values
}

func TestFullShare(t *testing.T) {
	absentThenFull := append(repeat(0, 20), repeat(25, 20)...)
	tests := []struct {
		name    string
		samples []sample
		in      time.Time
		before  float64
		want    time.Duration
		seen    bool
	}{
		{"back at once", ramp(repeat(25, 20)...), at(0), 0.25, 400 * time.Millisecond, true},
		{"after a second", ramp(absentThenFull...), at(0), 0.25, 1450 * time.Millisecond, true},
		{"full before it left", ramp(append(repeat(25, 20), absentThenFull...)...), at(1500), 0.25, 950 * time.Millisecond, true},
		{"never", ramp(repeat(10, 40)...), at(0), 0.25, 0, false},
		{"no calls", ramp(), at(0), 0.25, 0, false},
		{"not brought back", ramp(repeat(25, 20)...), time.Time{}, 0.25, 0, false},
		{"no share before", ramp(repeat(25, 20)...), at(0), 0, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, seen := fullShareAfter(test.samples, test.in, test.before)
			qt.Check(t, seen, qt.Equals, test.seen)
			qt.Check(t, got, qt.Equals, test.want)
		})
	}
}

func TestShareBetween(t *testing.T) {
	samples := ramp(10, 20, 30, 40)
	qt.Check(t, shareBetween(samples, at(50), at(150)), qt.Equals, 0.25)
	qt.Check(t, shareBetween(samples, at(160), at(190)), qt.Equals, 0.0)
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

func TestPlanOptions(t *testing.T) {
	p, err := planOf(NewEngland)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, p.with(Options{}).totalCapacity(), qt.Equals, 8400.0)
	slow := p.with(Options{Load: 0.8, ServiceTime: 120 * time.Millisecond})
	qt.Check(t, math.Round(slow.totalCapacity()), qt.Equals, 1400.0)
	qt.Check(t, slow.load, qt.Equals, 0.8)
	_, err = planOf("atlantis")
	qt.Check(t, err, qt.ErrorMatches, ".*use new-england or perth")
}
