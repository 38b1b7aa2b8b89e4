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

// standIns are the stand-ins as processes of their own, to try the node with.
type standIns struct {
	listen     string
	announceTo string
	options    target.Options
	out        io.Writer
}

// announceTimeout bounds one announcement of a stand-in target.
const announceTimeout = 2 * time.Second

// AddStandIns adds `stand-in store` and `stand-in target` to the command line.
func AddStandIns(app *kingpin.Application, out io.Writer) {
	s := &standIns{out: out}
	clause := app.Command("stand-in", "Run a stand-in on loopback, to try nodes with.")
	platform := clause.Command("store", "Stand in for the platform's key-value service.").Action(s.runStore)
	platform.Flag("listen", "Address to listen on.").Default("127.0.0.1:8500").StringVar(&s.listen)
	end := clause.Command("target", "Stand in for a target; it answers what it was asked.").Action(s.runTarget)
	end.Flag("listen", "Address to listen on.").Default("127.0.0.1:9000").StringVar(&s.listen)
	end.Flag("announce-to", "URL at which the node takes announcements.").Default("http://127.0.0.1:7402").StringVar(&s.announceTo)
	end.Flag("service", "Service to belong to.").Required().StringVar(&s.options.Service)
	end.Flag("slots", "Calls run at once.").Default("12").IntVar(&s.options.Slots)
	end.Flag("service-time", "Mean time of a call.").Default("5ms").DurationVar(&s.options.ServiceTime)
	end.Flag("cold", "Start cold.").BoolVar(&s.options.Cold)
}

// untilSignal runs a stand-in until SIGINT or SIGTERM.
func untilSignal(run func(ctx context.Context)) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	run(ctx)
}

func (s *standIns) runStore(*kingpin.ParseContext) error {
	platform, err := store.Start(s.listen)
	if err != nil {
		return &operator.ExitError{Code: operator.ExitFailed, Message: err.Error()}
	}
	defer platform.Close()
	_, _ = fmt.Fprintf(s.out, "the store's stand-in listens on %s\n", platform.URL())
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
