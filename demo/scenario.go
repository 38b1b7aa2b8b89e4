package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"
)

// The times of the steps, as fractions of the run's duration.
const (
	stepRestartCold = 0.05
	stepStraggle    = 0.15
	stepRecover     = 0.30
	stepTakeOut     = 0.50
	stepBringBack   = 0.75
)

// straggleFactor is the factor by which the straggler's service time grows.
const straggleFactor = 8

// step is one step of the scenario, run at an offset from the start.
type step struct {
	offset time.Duration
	name   string
	run    func(ctx context.Context) error
}

// scenario runs the steps of a run and records when they happened.
type scenario struct {
	fleet *fleet
	out   io.Writer
	// recoveredAt is when the straggler returned to its normal service time.
	recoveredAt   time.Time
	takenOutAt    time.Time
	broughtBackAt time.Time
	errors        []error
	// lastStartWhileOut is when the last call started in the failure domain before
	// it was brought back.
	lastStartWhileOut time.Time
}

// recordLastStart records when the last call started in the failure domain that
// is out of service. It has no effect once a time is recorded.
func (s *scenario) recordLastStart() {
	if s.takenOutAt.IsZero() || !s.lastStartWhileOut.IsZero() {
		return
	}
	for _, m := range s.fleet.inDomain(s.fleet.spec.outDomain) {
		if last := m.target.Counts().LastCallStart; last.After(s.lastStartWhileOut) {
			s.lastStartWhileOut = last
		}
	}
}

func (s *scenario) steps(duration time.Duration) []step {
	offset := func(fraction float64) time.Duration { return time.Duration(fraction * float64(duration)) }
	members := s.fleet.members
	cold, straggler := members[0], members[len(members)-1]
	return []step{
		{offset(stepRestartCold), "a target of " + cold.service + " restarts cold", func(context.Context) error { return cold.target.Restart() }},
		{offset(stepStraggle), "a target of " + straggler.service + " straggles", func(context.Context) error {
			straggler.target.SetSlowdown(straggleFactor)
			return nil
		}},
		{offset(stepRecover), "the straggler recovers", func(context.Context) error {
			straggler.target.SetSlowdown(1)
			s.recoveredAt = time.Now()
			return nil
		}},
		{offset(stepTakeOut), "failure domain " + s.fleet.spec.outDomain + " is taken out", func(ctx context.Context) error {
			s.takenOutAt = time.Now()
			return s.fleet.setDomain(ctx, s.fleet.spec.outDomain, true)
		}},
		{offset(stepBringBack), "failure domain " + s.fleet.spec.outDomain + " is brought back", func(ctx context.Context) error {
			s.recordLastStart()
			s.broughtBackAt = time.Now()
			return s.fleet.setDomain(ctx, s.fleet.spec.outDomain, false)
		}},
	}
}

// run runs the steps of a run of the given duration until ctx is done.
func (s *scenario) run(ctx context.Context, started time.Time, duration time.Duration) {
	s.runSteps(ctx, started, s.steps(duration))
}

// runSteps runs the steps until ctx is done. A step that was not completed by the
// deadline of ctx is an error, since the run has not tested it. Steps left out because
// ctx was canceled are not errors.
func (s *scenario) runSteps(ctx context.Context, started time.Time, steps []step) {
	for _, next := range steps {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(started.Add(next.offset))):
		}
		err := ctx.Err()
		if err == nil {
			_, _ = fmt.Fprintf(s.out, "%6.1fs  %s\n", time.Since(started).Seconds(), next.name)
			err = next.run(ctx)
		}
		if err != nil && !errors.Is(ctx.Err(), context.Canceled) {
			s.errors = append(s.errors, fmt.Errorf("%s: %w", next.name, err))
		}
	}
}
