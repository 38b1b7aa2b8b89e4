package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"zinniafall/operator"
	"zinniafall/standin/store"
	"zinniafall/standin/target"
)

// standIns holds the flags of the commands that run a stand-in as a process of
// its own, for trying out nodes.
type standIns struct {
	listen     string
	announceTo string
	options    target.Options
	out        io.Writer
}

// announceTimeout is the timeout of one announcement of a stand-in target.
const announceTimeout = 2 * time.Second

// AddStandIns adds the commands stand-in store and stand-in target to app.
func AddStandIns(app *kingpin.Application, out io.Writer) {
	s := &standIns{out: out}
	clause := app.Command("stand-in", "Run a stand-in on loopback, for trying out nodes.")
	storeCommand := clause.Command("store", "Stand in for the platform's key-value service.").Action(s.runStore)
	storeCommand.Flag("listen", "Address to listen on.").Default("127.0.0.1:8500").StringVar(&s.listen)
	targetCommand := clause.Command("target", "Stand in for a target that echoes each request.").Action(s.runTarget)
	targetCommand.Flag("listen", "Address to listen on.").Default("127.0.0.1:9000").StringVar(&s.listen)
	targetCommand.Flag("announce-to", "URL at which the node takes announcements.").Default("http://127.0.0.1:7402").StringVar(&s.announceTo)
	targetCommand.Flag("service", "Service that the target belongs to.").Required().StringVar(&s.options.Service)
	targetCommand.Flag("slots", "Calls that run at the same time.").Default("12").IntVar(&s.options.Slots)
	targetCommand.Flag("service-time", "Mean time of a call.").Default("5ms").DurationVar(&s.options.ServiceTime)
	targetCommand.Flag("limit", "Requests per second that the target states in its answers; 0 states none.").Default("0").Float64Var(&s.options.Limit)
	targetCommand.Flag("cold", "Start cold.").BoolVar(&s.options.Cold)
}

// untilSignal calls run with a context that ends on SIGINT or SIGTERM.
func untilSignal(run func(ctx context.Context)) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	run(ctx)
}

func (s *standIns) runStore(*kingpin.ParseContext) error {
	standIn, err := store.Start(s.listen)
	if err != nil {
		return &operator.ExitError{Code: operator.ExitFailed, Message: err.Error()}
	}
	defer standIn.Close()
	_, _ = fmt.Fprintf(s.out, "the store's stand-in listens on %s\n", standIn.URL())
	untilSignal(func(ctx context.Context) { <-ctx.Done() })
	return nil
}

func (s *standIns) runTarget(*kingpin.ParseContext) error {
	t, err := target.Start(s.listen, s.options)
	if err != nil {
		return &operator.ExitError{Code: operator.ExitFailed, Message: err.Error()}
	}
	defer t.Close()
	client := &http.Client{Timeout: announceTimeout}
	_, _ = fmt.Fprintf(s.out, "a target of %s listens on %s\n", s.options.Service, t.Addr())
	untilSignal(func(ctx context.Context) { t.KeepAnnounced(client, s.announceTo, ctx.Done()) })
	return t.Drain(client, s.announceTo)
}
