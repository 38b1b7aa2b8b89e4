package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"zinniafall/demo"
	"zinniafall/operator"
)

// command holds the flags of the experiment command.
type command struct {
	opts     Options
	asJSON   bool
	out, err io.Writer
}

// AddCommand adds the experiment command to app.
func AddCommand(app *kingpin.Application, out, err io.Writer) {
	c := &command{out: out, err: err}
	clause := app.Command("experiment", "Run the demo repeatedly for several policies and loads and compare the results.").Action(c.run)
	deployments := []string{string(demo.NewEngland), string(demo.Perth)}
	clause.Flag("deployment", "The deployment to run; may be repeated.").Default(string(demo.NewEngland)).EnumsVar(&c.opts.Deployments, deployments...)
	clause.Flag("policy", "How entries choose targets; may be repeated.").Default(demo.Policies()...).EnumsVar(&c.opts.Policies, demo.Policies()...)
	clause.Flag("load", "The share of capacity that is offered; may be repeated.").Default("0.5", "0.8", "0.95", "1.3").Float64ListVar(&c.opts.Loads)
	clause.Flag("runs", "Runs of each combination.").Default("5").IntVar(&c.opts.Runs)
	clause.Flag("duration", "How long a run offers calls.").Default("8s").DurationVar(&c.opts.Duration)
	clause.Flag("warm-up", "How long a run offers calls before measuring starts.").Default("5s").DurationVar(&c.opts.WarmUp)
	clause.Flag("service-time", "The mean time of a call at a target; a longer one lowers the capacity in calls a second.").
		Default("120ms").DurationVar(&c.opts.ServiceTime)
	clause.Flag("json", "Print one JSON array.").BoolVar(&c.asJSON)
}

func (c *command) run(*kingpin.ParseContext) error {
	if err := c.opts.validate(); err != nil {
		return &operator.ExitError{Code: operator.ExitBadInput, Message: err.Error()}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	c.opts.Progress = c.err
	rows := Run(ctx, c.opts)
	if c.asJSON {
		return json.NewEncoder(c.out).Encode(rows)
	}
	WriteTable(c.out, rows)
	return nil
}

// validate returns an error for an option with which no run is possible.
func (o Options) validate() error {
	if o.Runs <= 0 || o.Duration <= 0 || o.ServiceTime <= 0 || o.WarmUp < 0 {
		return fmt.Errorf("--runs, --duration and --service-time must be greater than 0 and --warm-up must not be negative, for example 5, 8s, 120ms and 5s")
	}
	for _, load := range o.Loads {
		if load <= 0 {
			return fmt.Errorf("--load %v must be greater than 0, for example 0.8 for 80%% of capacity", load)
		}
	}
	return nil
}
