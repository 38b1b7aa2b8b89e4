// Package operator implements the operators' command line. It talks to any one
// node over HTTP and stores nothing: each command reads what it needs, sends at
// most one change and reports the outcome by its output and exit code.
//
// Each change carries an id that the command generates. If a response is lost, the
// command resends the same change, and the id makes sure that it is applied once.
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
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command was refused or failed. Nothing was
	// changed unless the message says that it may have been.
	ExitFailed = 1
	// ExitBadInput means that the command line, a file or a parameter is invalid.
	ExitBadInput = 2
	// ExitConflict means that another operator made a conflicting change. Nothing
	// was changed.
	ExitConflict = 3
	// ExitNotInForce means that the change was accepted, but is not yet known to
	// be in force on every node.
	ExitNotInForce = 4
	// ExitUnreachable means that the node did not answer.
	ExitUnreachable = 5
)

// ExitError is an error that sets the exit code of the command.
type ExitError struct {
	Code    int
	Message string
}

// Error returns the message.
func (e *ExitError) Error() string { return e.Message }

func exitErrorf(code int, format string, args ...any) error {
	return &ExitError{Code: code, Message: fmt.Sprintf(format, args...)}
}

// CLI is the command line of one process.
type CLI struct {
	// App is the parser. Other packages add their commands to it.
	App *kingpin.Application
	out io.Writer
	err io.Writer

	node      string
	tokenFile string
	output    string
	timeout   time.Duration
	// issuedKey is a new account key, to be printed once the change that contains
	// its hash is accepted.
	issuedKey string
}

// The output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// defaultCallTimeout is long enough to commit a change and to wait until it is in
// force.
const defaultCallTimeout = 30 * time.Second

// New returns a command line that writes its output to out and errors to err.
func New(out, err io.Writer) *CLI {
	c := &CLI{App: kingpin.New("zinniafall", "Operates a zinniafall fleet through any of its nodes."), out: out, err: err}
	c.App.UsageWriter(out).ErrorWriter(err)
	c.App.HelpFlag.Short('h')
	c.App.Flag("node", "Operator address of any node, host:port or URL.").Envar("ZINNIAFALL_NODE").StringVar(&c.node)
	c.App.Flag("token-file", "File that holds the operator's token.").Envar("ZINNIAFALL_TOKEN_FILE").StringVar(&c.tokenFile)
	c.App.Flag("output", "Output format: text or json.").Short('o').Default(outputText).EnumVar(&c.output, outputText, outputJSON)
	c.App.Flag("timeout", "Timeout of one call to the node.").Default(defaultCallTimeout.String()).DurationVar(&c.timeout)
	c.addReadCommands()
	c.addChangeCommands()
	c.addDomainCommands()
	c.addAccountCommands()
	c.addQuarantineCommands()
	c.addTokenCommand()
	return c
}

// earlyExit is the panic value with which kingpin's exit, after printing help or a
// completion script, is passed up to Run.
type earlyExit struct{ code int }

// Run parses the arguments, runs the command and returns the exit code.
func (c *CLI) Run(args []string) (code int) {
	c.App.Terminate(func(code int) { panic(earlyExit{code}) })
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		exit, ok := cause.(earlyExit)
		if !ok {
			panic(cause)
		}
		code = exit.code
	}()
	_, err := c.App.Parse(args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(c.err, "zinniafall: %v\n", err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitBadInput
}

// readInput reads a file, or standard input if the name is "-".
func readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}
