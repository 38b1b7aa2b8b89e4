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
	// WarmUp is how long calls are offered before Duration begins. Its calls
	// count for the promises, not for the figures.
	WarmUp time.Duration
	// Policy of placement; empty is the nodes' default.
	Policy string
	// Load is the share of the deployment's capacity that all accounts offer
	// together; 0 is the deployment's default, about a fifth.
	Load float64
	// ServiceTime is the mean time of a call at a target; 0 is 20 ms. A longer
	// one lowers the deployment's capacity in calls a second.
	ServiceTime time.Duration
	// Progress receives the run's steps.
	Progress io.Writer
}

// readyTimeout bounds the start of the deployment.
const readyTimeout = 20 * time.Second

// Run plays a deployment. The context's end stops it early and cleanly.
func Run(ctx context.Context, opts Options) (*Result, error) {
	p, err := planOf(opts.Deployment)
	if err != nil {
		return nil, err
	}
	_, _ = fmt.Fprintf(opts.Progress, "starting %s\n", opts.Deployment)
	f, err := startFleet(p.with(opts), opts.Policy)
	if err != nil {
		return nil, err
	}
	defer f.close()
	if err := f.prepare(ctx); err != nil {
		return nil, err
	}
	return f.play(ctx, opts)
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

func (f *fleet) play(ctx context.Context, opts Options) (*Result, error) {
	started := time.Now().Add(opts.WarmUp)
	ctx, cancel := context.WithDeadline(ctx, started.Add(opts.Duration))
	defer cancel()
	_, _ = fmt.Fprintf(opts.Progress, "%6.1fs  calls begin\n", -opts.WarmUp.Seconds())
	l := newLoad(f, f.plan.load)
	l.measuredFrom = started
	s := &script{fleet: f, out: opts.Progress}
	before := readUsage()
	samples := f.sampleWhile(func() {
		played := make(chan struct{})
		go func() {
			defer close(played)
			s.run(ctx, started, opts.Duration)
		}()
		l.run(ctx)
		<-played
	})
	used := readUsage().since(before)
	r := &Result{
		Deployment: opts.Deployment, Policy: opts.Policy, Seconds: time.Since(started).Seconds(),
		Load: f.plan.load, Capacity: f.plan.totalCapacity(),
	}
	r.fill(l)
	r.judge(f, l, s, time.Since(f.started))
	r.fillUsage(used, len(f.nodes))
	r.fillAbsence(l, s, samples)
	return r, nil
}
