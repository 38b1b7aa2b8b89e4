// Package experiment runs the demo repeatedly for several placement policies and
// loads and reports the minimum, median and maximum of each metric.
//
// Each round runs every combination once, policy by policy, so that a change in
// the machine's other load affects all policies alike. Metrics are comparable
// only within one experiment.
package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"zinniafall/demo"
)

// Options configure an experiment, which runs every combination of Deployments,
// Loads and Policies.
type Options struct {
	Deployments []string
	Policies    []string
	// Loads are call rates as shares of the deployment's capacity.
	Loads []float64
	// Runs is the number of runs of each combination.
	Runs int
	// Duration is how long each run offers calls after the warm-up.
	Duration time.Duration
	// WarmUp is how long calls are offered before Duration begins.
	WarmUp time.Duration
	// ServiceTime is the mean time of a call at a target; 0 means the demo's
	// default.
	ServiceTime time.Duration
	// Progress receives a line for each run.
	Progress io.Writer
}

// Combination is one combination of the varied options.
type Combination struct {
	Deployment string  `json:"deployment"`
	Policy     string  `json:"policy"`
	Load       float64 `json:"load"`
}

// Row summarizes the runs of one combination.
type Row struct {
	Combination
	// Runs is the number of runs that ended with a result.
	Runs    int       `json:"runs"`
	Metrics []Summary `json:"figures"`
	// Violations counts, by guarantee, the runs that violated it.
	Violations map[string]int `json:"broken_promises,omitempty"`
	// Errors are the errors of the runs without a result.
	Errors []string `json:"errors,omitempty"`
}

// runFunc runs the demo once.
type runFunc func(context.Context, demo.Options) (*demo.Result, error)

// Run runs all rounds. When ctx ends, it returns the results of the runs that were
// complete by then.
func Run(ctx context.Context, opts Options) []Row { return run(ctx, opts, demo.Run) }

func run(ctx context.Context, opts Options, runDemo runFunc) []Row {
	combinations := opts.combinations()
	results := make([][]*demo.Result, len(combinations))
	errors := make([][]string, len(combinations))
	for round := range opts.Runs {
		for i, c := range combinations {
			if ctx.Err() != nil {
				break
			}
			_, _ = fmt.Fprintf(opts.Progress, "round %d: %s, %s, load %.2f\n", round+1, c.Deployment, c.Policy, c.Load)
			result, err := runDemo(ctx, opts.demo(c))
			if ctx.Err() != nil {
				break
			}
			if err != nil {
				errors[i] = append(errors[i], err.Error())
				continue
			}
			results[i] = append(results[i], result)
		}
	}
	rows := make([]Row, len(combinations))
	for i, c := range combinations {
		rows[i] = aggregate(c, results[i])
		rows[i].Errors = errors[i]
	}
	return rows
}

func (o Options) combinations() []Combination {
	var combinations []Combination
	for _, deployment := range o.Deployments {
		for _, load := range o.Loads {
			for _, policy := range o.Policies {
				combinations = append(combinations, Combination{Deployment: deployment, Policy: policy, Load: load})
			}
		}
	}
	return combinations
}

func (o Options) demo(c Combination) demo.Options {
	return demo.Options{
		Deployment: demo.Deployment(c.Deployment), Duration: o.Duration, WarmUp: o.WarmUp, Policy: c.Policy,
		Load: c.Load, ServiceTime: o.ServiceTime, Progress: io.Discard,
	}
}
