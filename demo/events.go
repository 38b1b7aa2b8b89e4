package demo

import (
	"context"
	"fmt"
	"io"
	"time"
)

// The steps of a run, as shares of its duration.
const (
	stepCold     = 0.05
	stepStraggle = 0.15
	stepRecover  = 0.30
	stepOut      = 0.50
	stepIn       = 0.75
)

// straggleFactor multiplies the service time of the straggler.
const straggleFactor = 8

// event is one step of the run.
type event struct {
	at   time.Duration
	name string
	do   func(ctx context.Context) error
}

// script makes the run's events happen and remembers when.
type script struct {
	fleet *fleet
	out   io.Writer
	// recoveredAt is when the straggler was well again.
	recoveredAt time.Time
	outAt       time.Time
	inAt        time.Time
	errors      []error
	// lastWhileOut is when the last call started in the domain that was out.
	lastWhileOut time.Time
}

// noteLast remembers the last call in the domain before it is brought back.
func (s *script) noteLast() {
	if s.outAt.IsZero() || !s.lastWhileOut.IsZero() {
		return
	}
	for _, m := range s.fleet.inDomain(s.fleet.plan.outDomain) {
		if last := m.target.Counts().LastCallStart; last.After(s.lastWhileOut) {
			s.lastWhileOut = last
		}
	}
}

func (s *script) events(duration time.Duration) []event {
	share := func(f float64) time.Duration { return time.Duration(f * float64(duration)) }
	nodes := s.fleet.nodes
	cold, straggler := nodes[0], nodes[len(nodes)-1]
	return []event{
		{share(stepCold), "a target of " + cold.service + " restarts cold", func(context.Context) error { return cold.target.Restart() }},
		{share(stepStraggle), "a target of " + straggler.service + " straggles", func(context.Context) error {
			straggler.target.SetSlowdown(straggleFactor)
			return nil
		}},
		{share(stepRecover), "the straggler recovers", func(context.Context) error {
			straggler.target.SetSlowdown(1)
			s.recoveredAt = time.Now()
			return nil
		}},
		{share(stepOut), "failure domain " + s.fleet.plan.outDomain + " is taken out", func(ctx context.Context) error {
			s.outAt = time.Now()
			return s.fleet.setDomain(ctx, s.fleet.plan.outDomain, true)
		}},
		{share(stepIn), "failure domain " + s.fleet.plan.outDomain + " is brought back", func(ctx context.Context) error {
			s.noteLast()
			s.inAt = time.Now()
			return s.fleet.setDomain(ctx, s.fleet.plan.outDomain, false)
		}},
	}
}

// run plays the events until the context ends.
func (s *script) run(ctx context.Context, started time.Time, duration time.Duration) {
	for _, e := range s.events(duration) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(started.Add(e.at))):
		}
		_, _ = fmt.Fprintf(s.out, "%6.1fs  %s\n", time.Since(started).Seconds(), e.name)
		if err := e.do(ctx); err != nil && ctx.Err() == nil {
			s.errors = append(s.errors, fmt.Errorf("%s: %w", e.name, err))
		}
	}
}
