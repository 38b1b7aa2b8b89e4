// Command zinniafall is the operators' command.
package main

import (
	"os"

	"zinniafall/operator"
)

func main() {
	os.Exit(operator.New(os.Stdout, os.Stderr).Run(os.Args[1:]))
}
