// Command zinniafall is the operators' command.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"zinniafall/demo"
)

func main() {
	app := kingpin.New("zinniafall", "Operates zinniafall.")
	play := app.Command("demo", "Run a whole deployment in this process and check the promises.")
	deployment := play.Flag("deployment", "The sizes to run at.").Default("new-england").Enum("new-england", "perth")
	duration := play.Flag("duration", "The time for which calls are offered.").Default("10s").Duration()
	policy := play.Flag("policy", "How entries choose targets.").Default("predicted").String()
	asJSON := play.Flag("json", "Print one JSON object.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := demo.Run(ctx, demo.Options{Deployment: demo.Deployment(*deployment), Duration: *duration, Policy: *policy, Progress: os.Stderr})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if *asJSON {
		_ = json.NewEncoder(os.Stdout).Encode(result)
	} else {
		result.WriteTable(os.Stdout)
	}
	if len(result.Broken) > 0 {
		os.Exit(1)
	}
}
