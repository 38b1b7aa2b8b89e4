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

// errViolation is the error of a run that violated a guarantee.
var errViolation = &operator.ExitError{Code: operator.ExitFailed, Message: "the run violated a guarantee; see the rows marked BROKEN"}

// command holds the flags of the demo command.
type command struct {
	deployment  string
	duration    time.Duration
	policy      string
	load        float64
	serviceTime time.Duration
	warmUp      time.Duration
	asJSON      bool
	out, err    io.Writer
}

// AddCommand adds the demo command to app.
func AddCommand(app *kingpin.Application, out, err io.Writer) {
	c := &command{out: out, err: err}
	clause := app.Command("demo", "Run a whole deployment in this process and check its guarantees.").Action(c.run)
	clause.Flag("deployment", "The deployment to run.").Default(string(NewEngland)).EnumVar(&c.deployment, string(NewEngland), string(Perth))
	clause.Flag("duration", "How long calls are offered.").Default("10s").DurationVar(&c.duration)
	clause.Flag("policy", "How entries choose targets.").Default(string(placement.Predicted)).EnumVar(&c.policy, Policies()...)
	clause.Flag("load", "The share of the targets' capacity that all accounts offer together, e.g. 0.8; 0 is the deployment's default.").Default("0").Float64Var(&c.load)
	clause.Flag("service-time", "The mean time of a call at a target; a longer one lowers the capacity in calls a second.").
		Default(defaultServiceTime.String()).DurationVar(&c.serviceTime)
	clause.Flag("warm-up", "How long calls are offered before measuring starts.").Default("0s").DurationVar(&c.warmUp)
	clause.Flag("json", "Print one JSON object.").BoolVar(&c.asJSON)
}

func (c *command) run(*kingpin.ParseContext) error {
	if c.duration <= 0 {
		return &operator.ExitError{Code: operator.ExitBadInput, Message: "--duration must be greater than 0, for example 10s"}
	}
	if c.load < 0 || c.serviceTime <= 0 || c.warmUp < 0 {
		return &operator.ExitError{Code: operator.ExitBadInput, Message: "--load and --warm-up must not be negative and --service-time must be greater than 0, for example --load 0.8 and --service-time 20ms"}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := Run(ctx, Options{
		Deployment: Deployment(c.deployment), Duration: c.duration, Policy: c.policy,
		WarmUp: c.warmUp, Load: c.load, ServiceTime: c.serviceTime, Progress: c.err,
	})
	if errors.Is(err, context.Canceled) {
		return &operator.ExitError{Code: operator.ExitFailed, Message: "interrupted before calls started"}
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
		err = errViolation
	}
	return err
}

// Policies lists the placement policies that a run can use.
func Policies() []string {
	return []string{
		string(placement.Predicted), string(placement.Random), string(placement.RoundRobin),
		string(placement.LeastReported), string(placement.PerConnection),
	}
}
