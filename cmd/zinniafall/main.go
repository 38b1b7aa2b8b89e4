// Command zinniafall is the operators' command line. It also runs the demo, the
// experiment and the stand-ins.
package main

import (
	"os"

	"zinniafall/demo"
	"zinniafall/experiment"
	"zinniafall/operator"
)

func main() {
	cli := operator.New(os.Stdout, os.Stderr)
	demo.AddCommand(cli.App, os.Stdout, os.Stderr)
	demo.AddStandIns(cli.App, os.Stdout)
	experiment.AddCommand(cli.App, os.Stdout, os.Stderr)
	os.Exit(cli.Run(os.Args[1:]))
}
