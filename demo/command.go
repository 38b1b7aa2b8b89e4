package demo

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"zinniafall/operator"
	"zinniafall/policy/placement"
)

// errBroken ends a run in which a promise was broken.
var errBroken = &operator.ExitError{Code: operator.ExitFailed, Message: "the run broke a promise; see the rows marked BROKEN"}

// command is the demo as a part of the command line.
type command struct {
	deployment string
	duration   time.Duration
	policy     string
	load       float64
	service    time.Duration
	warmUp     time.Duration
	asJSON     bool
	out, err   io.Writer
}

// AddCommand adds `demo` to the command line.
func AddCommand(app *kingpin.Application, out, err io.Writer) {
	c := &command{out: out, err: err}
	clause := app.Command("demo", "Run a whole deployment in this process and check the promises.").Action(c.run)
	clause.Flag("deployment", "The sizes to run at.").Default(string(NewEngland)).EnumVar(&c.deployment, string(NewEngland), string(Perth))
	clause.Flag("duration", "The time for which calls are offered.").Default("10s").DurationVar(&c.duration)
	clause.Flag("policy", "How entries choose targets.").Default(string(placement.Predicted)).EnumVar(&c.policy, Policies()...)
	clause.Flag("load", "The share of the targets' capacity that all accounts offer together, e.g. 0.8; 0 is the deployment's default.").Default("0").Float64Var(&c.load)
	clause.Flag("service-time", "The mean time of a call at a target; a longer one lowers the capacity in calls a second.").
		Default(defaultServiceTime.String()).DurationVar(&c.service)
	clause.Flag("warm-up", "The time for which calls are offered before the measured time.").Default("0s").DurationVar(&c.warmUp)
	clause.Flag("json", "Print one JSON object.").BoolVar(&c.asJSON)
}

func (c *command) run(*kingpin.ParseContext) error {
	if c.duration <= 0 {
		return &operator.ExitError{Code: operator.ExitBadInput, Message: "--duration must be over 0; write 10s"}
	}
	if c.load < 0 || c.service <= 0 || c.warmUp < 0 {
		return &operator.ExitError{Code: operator.ExitBadInput, Message: "--load and --warm-up must not be below 0 and --service-time must be over 0; write 0.8 and 20ms"}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := Run(ctx, Options{
		Deployment: Deployment(c.deployment), Duration: c.duration, Policy: c.policy,
		WarmUp: c.warmUp, Load: c.load, ServiceTime: c.service, Progress: c.err,
	})
	if errors.Is(err, context.Canceled) {
		return &operator.ExitError{Code: operator.ExitFailed, Message: "interrupted before the calls began"}
	}
	if err != nil {
		return &operator.ExitError{Code: operator.ExitFailed, Message: err.Error()}
	}
	if c.asJSON {
		err = json.NewEncoder(c.out).Encode(result)
	} else {
		result.WriteTable(c.out)
	}
	if err == nil && len(result.Violations) > 0 {
		err = errBroken
	}
	return err
}

// Policies lists the policies of placement that can be chosen.
func Policies() []string {
	return []string{
		string(placement.Predicted), string(placement.Random), string(placement.RoundRobin),
		string(placement.LeastReported), string(placement.PerConnection),
	}
}
