package demo

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Steps that a run was too short for were left out without a word.
func TestStepsThatDoNotRunAreErrors(t *testing.T) {
	untilDone := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	steps := []step{
		{time.Second, "quick", func(context.Context) error { return nil }},
		{2 * time.Second, "failing", func(context.Context) error { return errors.New("refused") }},
		{3 * time.Second, "hanging", untilDone},
		{4 * time.Second, "never reached", untilDone},
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		s := &scenario{out: io.Discard}
		s.runSteps(ctx, time.Now(), steps)
		qt.Assert(t, errors.Join(s.errors...).Error(), qt.Equals,
			"failing: refused\nhanging: context deadline exceeded\nnever reached: context deadline exceeded")
	})
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(2500*time.Millisecond, cancel)
		s := &scenario{out: io.Discard}
		s.runSteps(ctx, time.Now(), steps)
		qt.Assert(t, errors.Join(s.errors...).Error(), qt.Equals, "failing: refused")
	})
}
