// Package experiment repeats the demo for several policies of placement and
// loads and condenses each figure to its least, median and greatest value.
//
// The runs of one round follow each other policy by policy, so that a change
// of the machine's other work falls on all policies alike; figures compare
// within one experiment only.
package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"zinniafall/demo"
)

// Options configure an experiment. Each combination of Deployments, Loads and
// Policies is one setting.
type Options struct {
	Deployments []string
	Policies    []string
	// Loads are shares of the deployment's capacity.
	Loads []float64
	// Runs of each setting.
	Runs int
	// Duration of each run.
	Duration time.Duration
	// WarmUp is how long calls are offered before Duration begins.
	WarmUp time.Duration
	// ServiceTime is the mean time of a call at a target; 0 is the demo's.
	ServiceTime time.Duration
	// Progress receives a line for each run.
	Progress io.Writer
}

// Combination is what the runs of one row have in common.
type Combination struct {
	Deployment string  `json:"deployment"`
	Policy     string  `json:"policy"`
	Load       float64 `json:"load"`
}

// Row is the outcome of one setting.
type Row struct {
	Combination
	// Runs that ended with a result.
	Runs    int       `json:"runs"`
	Metrics []Summary `json:"figures"`
	// Violations counts the runs in which each promise was broken.
	Violations map[string]int `json:"broken_promises,omitempty"`
	// Errors of runs without a result.
	Errors []string `json:"errors,omitempty"`
}

// runner plays one run of the demo.
type runner func(context.Context, demo.Options) (*demo.Result, error)

// Run plays all rounds. The context's end keeps what was measured until then.
func Run(ctx context.Context, opts Options) []Row { return run(ctx, opts, demo.Run) }

func run(ctx context.Context, opts Options, play runner) []Row {
	settings := opts.settings()
	results := make([][]*demo.Result, len(settings))
	errors := make([][]string, len(settings))
	for round := range opts.Runs {
		for i, s := range settings {
			if ctx.Err() != nil {
				break
			}
			_, _ = fmt.Fprintf(opts.Progress, "round %d: %s, %s, load %.2f\n", round+1, s.Deployment, s.Policy, s.Load)
			result, err := play(ctx, opts.demo(s))
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
	rows := make([]Row, len(settings))
	for i, s := range settings {
		rows[i] = condense(s, results[i])
		rows[i].Errors = errors[i]
	}
	return rows
}

func (o Options) settings() []Combination {
	var settings []Combination
	for _, deployment := range o.Deployments {
		for _, load := range o.Loads {
			for _, policy := range o.Policies {
				settings = append(settings, Combination{Deployment: deployment, Policy: policy, Load: load})
			}
		}
	}
	return settings
}

func (o Options) demo(s Combination) demo.Options {
	return demo.Options{
		Deployment: demo.Deployment(s.Deployment), Duration: o.Duration, WarmUp: o.WarmUp, Policy: s.Policy,
		Load: s.Load, ServiceTime: o.ServiceTime, Progress: io.Discard,
	}
}
