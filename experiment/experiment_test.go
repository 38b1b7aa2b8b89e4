package experiment

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/demo"
)

func TestSummarize(t *testing.T) {
	tests := []struct {
		name   string
		values []float64
		want   Summary
	}{
		{"no values", nil, Summary{Name: "x"}},
		{"one value", []float64{4}, Summary{"x", 4, 4, 4, 1}},
		{"odd number of values", []float64{9, 1, 5}, Summary{"x", 1, 5, 9, 3}},
		{"even number of values", []float64{9, 1, 5, 7}, Summary{"x", 1, 5, 9, 4}},
		{"one run without a value", []float64{9, -1, 5, 7}, Summary{"x", 5, 7, 9, 3}},
	}
	optional := metric{"x", func(r *demo.Result) (float64, bool) { return r.AddedP50, r.AddedP50 >= 0 }}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var results []*demo.Result
			for _, value := range test.values {
				results = append(results, &demo.Result{AddedP50: value})
			}
			qt.Check(t, summarize(optional, results), qt.Equals, test.want)
		})
	}
}

func TestEachRoundRunsEveryCombination(t *testing.T) {
	var ran []Combination
	runDemo := func(_ context.Context, o demo.Options) (*demo.Result, error) {
		ran = append(ran, Combination{string(o.Deployment), o.Policy, o.Load})
		if o.Policy == "broken" {
			return nil, errors.New("not ready")
		}
		return &demo.Result{Accounts: make([]demo.AccountStats, 1), Violations: []string{"promise"}}, nil
	}
	opts := Options{
		Deployments: []string{"perth"}, Policies: []string{"fine", "broken"}, Loads: []float64{0.5, 0.8},
		Runs: 2, Progress: io.Discard,
	}
	rows := run(context.Background(), opts, runDemo)
	round := []Combination{{"perth", "fine", 0.5}, {"perth", "broken", 0.5}, {"perth", "fine", 0.8}, {"perth", "broken", 0.8}}
	qt.Check(t, ran, qt.DeepEquals, append(round, round...))
	qt.Assert(t, rows, qt.HasLen, 4)
	qt.Check(t, rows[0].Runs, qt.Equals, 2)
	qt.Check(t, rows[0].Violations, qt.DeepEquals, map[string]int{"promise": 2})
	qt.Check(t, rows[1].Runs, qt.Equals, 0)
	qt.Check(t, rows[1].Errors, qt.DeepEquals, []string{"not ready", "not ready"})

	var out bytes.Buffer
	WriteTable(&out, rows)
	qt.Check(t, out.String(), qt.Contains, "perth, load 0.50")
	qt.Check(t, out.String(), qt.Contains, "BROKEN in 2 of 2 runs of fine: promise")
	qt.Check(t, out.String(), qt.Contains, "no result from a run of broken: not ready")
}

func TestCancelKeepsCompletedRuns(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	runs := 0
	runDemo := func(context.Context, demo.Options) (*demo.Result, error) {
		if runs++; runs == 2 {
			cancel()
		}
		return &demo.Result{Accounts: make([]demo.AccountStats, 1)}, nil
	}
	opts := Options{Deployments: []string{"perth"}, Policies: []string{"fine"}, Loads: []float64{0.5}, Runs: 5, Progress: io.Discard}
	rows := run(ctx, opts, runDemo)
	qt.Check(t, runs, qt.Equals, 2)
	qt.Check(t, rows[0].Runs, qt.Equals, 1)
}

func TestValidate(t *testing.T) {
	valid := Options{Runs: 1, Duration: time.Second, ServiceTime: time.Millisecond, Loads: []float64{0.5}}
	tests := []struct {
		name string
		edit func(*Options)
		ok   bool
	}{
		{"valid", func(*Options) {}, true},
		{"no runs", func(o *Options) { o.Runs = 0 }, false},
		{"no duration", func(o *Options) { o.Duration = 0 }, false},
		{"no service time", func(o *Options) { o.ServiceTime = 0 }, false},
		{"no load", func(o *Options) { o.Loads = []float64{0.5, 0} }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := valid
			test.edit(&o)
			qt.Check(t, o.validate() == nil, qt.Equals, test.ok)
		})
	}
}
