// Package operator is the operators' command line. It speaks to any one node
// over HTTP and keeps nothing: each command reads what it needs, sends at most
// one change, and tells the outcome by its output and its exit code.
//
// A change bears an id that the command draws. When an answer is lost, the
// command sends the same change again, which the system applies once.
package operator

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// The exit codes of the command.
const (
	// ExitOK: done.
	ExitOK = 0
	// ExitFailed: refused or failed; nothing was changed unless the message
	// says that it may have been.
	ExitFailed = 1
	// ExitBadInput: the command line, a file or a parameter is wrong.
	ExitBadInput = 2
	// ExitConflict: another operator changed the same; nothing was changed.
	ExitConflict = 3
	// ExitNotInForce: accepted, but not yet heard to be in force on each node.
	ExitNotInForce = 4
	// ExitUnreachable: the node did not answer.
	ExitUnreachable = 5
)

// ExitError ends the command with a code and a message.
type ExitError struct {
	Code    int
	Message string
}

// Error is the message.
func (e *ExitError) Error() string { return e.Message }

func exit(code int, format string, args ...any) error {
	return &ExitError{Code: code, Message: fmt.Sprintf(format, args...)}
}

// CLI is one run of the command.
type CLI struct {
	// App is the parser, to which further commands may be added.
	App *kingpin.Application
	out io.Writer
	err io.Writer

	node      string
	tokenFile string
	output    string
	timeout   time.Duration
	// issued is the account key to print once the system has accepted it.
	issued string
}

// The forms of output.
const (
	outputText = "text"
	outputJSON = "json"
)

// defaultCallTimeout allows for a commit and the wait until it is in force.
const defaultCallTimeout = 30 * time.Second

// New returns a command that writes to out and, for errors, to err.
func New(out, err io.Writer) *CLI {
	c := &CLI{App: kingpin.New("zinniafall", "Operates a zinniafall fleet through any of its nodes."), out: out, err: err}
	c.App.UsageWriter(out).ErrorWriter(err)
	c.App.HelpFlag.Short('h')
	c.App.Flag("node", "Operator address of any node, host:port or URL.").Envar("ZINNIAFALL_NODE").StringVar(&c.node)
	c.App.Flag("token-file", "File that holds the operator's token.").Envar("ZINNIAFALL_TOKEN_FILE").StringVar(&c.tokenFile)
	c.App.Flag("output", "Form of the output: text or json.").Short('o').Default(outputText).EnumVar(&c.output, outputText, outputJSON)
	c.App.Flag("timeout", "Longest time for one call of the node.").Default(defaultCallTimeout.String()).DurationVar(&c.timeout)
	c.addReading()
	c.addChanges()
	c.addDomains()
	c.addAccounts()
	c.addQuarantine()
	c.addToken()
	return c
}

// terminated ends the run early, after help or a version was printed.
type terminated struct{ code int }

// Run parses and runs a command and returns the exit code.
func (c *CLI) Run(args []string) (code int) {
	c.App.Terminate(func(code int) { panic(terminated{code}) })
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		ended, ok := cause.(terminated)
		if !ok {
			panic(cause)
		}
		code = ended.code
	}()
	_, err := c.App.Parse(args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(c.err, "zinniafall: %v\n", err)
	var ended *ExitError
	if errors.As(err, &ended) {
		return ended.Code
	}
	return ExitBadInput
}

// readInput reads a file, or the standard input for "-".
func readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}
