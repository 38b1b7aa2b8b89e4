package demo

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Options configure a run.
type Options struct {
	Deployment Deployment
	Duration   time.Duration
	// WarmUp is how long calls are offered before Duration begins. Guarantees
	// are checked for these calls, but they are not part of the metrics.
	WarmUp time.Duration
	// Policy is the placement policy; empty means the nodes' default.
	Policy string
	// Load is the call rate of all accounts together as a share of the
	// deployment's capacity; 0 means the deployment's default, about a fifth.
	Load float64
	// ServiceTime is the mean time of a call at a target; 0 means 20 ms. A
	// longer time lowers the deployment's capacity in calls per second.
	ServiceTime time.Duration
	// Progress receives a line for each step of the run.
	Progress io.Writer
}

// readyTimeout bounds the start of the deployment.
const readyTimeout = 20 * time.Second

// Run starts a deployment, runs the scenario under load and checks the
// guarantees. Canceling ctx while calls flow ends the run early with a result.
func Run(ctx context.Context, opts Options) (*Result, error) {
	s, err := specFor(opts.Deployment)
	if err != nil {
		return nil, err
	}
	_, _ = fmt.Fprintf(opts.Progress, "starting %s\n", opts.Deployment)
	f, err := startFleet(s.withOptions(opts), opts.Policy)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if err := f.prepare(ctx); err != nil {
		return nil, err
	}
	return f.runScenario(ctx, opts)
}

// prepare applies the configuration and waits until the fleet takes calls.
func (f *fleet) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.configure(ctx); err != nil {
		return err
	}
	return f.awaitReady(ctx)
}

// runScenario runs the scenario under load and evaluates it.
func (f *fleet) runScenario(ctx context.Context, opts Options) (*Result, error) {
	started := time.Now().Add(opts.WarmUp)
	ctx, cancel := context.WithDeadline(ctx, started.Add(opts.Duration))
	defer cancel()
	_, _ = fmt.Fprintf(opts.Progress, "%6.1fs  calls begin\n", -opts.WarmUp.Seconds())
	g := newGenerator(f, f.spec.load)
	g.measureFrom = started
	s := &scenario{fleet: f, out: opts.Progress}
	before := sampleUsage()
	samples := f.sampleWhile(func() {
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.run(ctx, started, opts.Duration)
		}()
		g.run(ctx)
		<-done
	})
	rates := sampleUsage().since(before)
	r := &Result{
		Deployment: opts.Deployment, Policy: opts.Policy, Seconds: time.Since(started).Seconds(),
		Load: f.spec.load, Capacity: f.spec.totalCapacity(),
	}
	r.fill(g)
	r.checkGuarantees(f, g, s, time.Since(f.started))
	r.fillUsage(rates, len(f.members))
	r.fillOutage(g, s, samples)
	return r, nil
}
