package operator

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/dghubble/sling"

	"zinniafall/node/operatorapi"
	"zinniafall/policy/config"
)

// applyAttempts is the number of times that a change whose answer was lost is
// sent, the first included.
const applyAttempts = 3

// client calls one node.
type client struct{ base *sling.Sling }

// client reads the token and returns a client of the node.
func (c *CLI) client() (*client, error) {
	if c.node == "" {
		return nil, exit(ExitBadInput, "no node; give --node host:port or set ZINNIAFALL_NODE")
	}
	address := c.node
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	if parsed, err := url.Parse(address); err != nil || parsed.Host == "" {
		return nil, exit(ExitBadInput, "--node %q is not host:port or a URL", c.node)
	}
	if c.tokenFile == "" {
		return nil, exit(ExitBadInput, "no token; give --token-file FILE or set ZINNIAFALL_TOKEN_FILE")
	}
	token, err := os.ReadFile(c.tokenFile)
	if err != nil {
		return nil, exit(ExitBadInput, "reading the token: %v", err)
	}
	base := sling.New().
		Client(&http.Client{Timeout: c.timeout}).
		Base(strings.TrimSuffix(address, "/")+"/").
		Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	return &client{base}, nil
}

// get reads a value from the node.
func (c *client) get(path string, into any) error {
	return c.call(c.base.New().Get(path), into)
}

// call makes a call whose failure is an operatorapi.Error.
func (c *client) call(call *sling.Sling, into any) error {
	var failed operatorapi.Error
	response, err := call.Receive(into, &failed)
	if err != nil {
		return unreachable(err)
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	return refusal(response, &failed)
}

func unreachable(err error) error {
	return exit(ExitUnreachable, "the node did not answer: %v; give --node another node", err)
}

// refusal turns a node's error into an exit.
func refusal(response *http.Response, failed *operatorapi.Error) error {
	if failed.Kind == "" {
		return exit(ExitUnreachable, "the node answered %s; check that --node is a node's operator address", response.Status)
	}
	var text strings.Builder
	text.WriteString(failed.Error())
	for _, p := range failed.Problems {
		fmt.Fprintf(&text, "\n  %s", p)
	}
	code := ExitFailed
	if failed.Kind == operatorapi.BadInput {
		code = ExitBadInput
	}
	return exit(code, "%s", text.String())
}

// answer is what plan and apply return: an outcome or an error.
type answer struct {
	operatorapi.ChangeResult
	operatorapi.Error
	// Problems is in both; the outcome's and the error's have one form.
	Problems []config.Problem `json:"problems,omitempty"`
}

// change sends a change to be planned or applied. One whose answer was lost is
// sent again: its id makes the system apply it once.
func (c *client) change(path string, change config.Change) (operatorapi.ChangeResult, error) {
	var err error
	for range applyAttempts {
		var got answer
		var response *http.Response
		response, err = c.base.New().Post(path).BodyJSON(change).Receive(&got, &got)
		if err != nil && answerLost(err) {
			continue
		}
		if err != nil {
			break
		}
		if got.Result != "" {
			got.Outcome.Problems = got.Problems
			return got.ChangeResult, nil
		}
		got.Error.Problems = got.Problems
		return operatorapi.ChangeResult{}, refusal(response, &got.Error)
	}
	if answerLost(err) {
		return operatorapi.ChangeResult{}, exit(ExitUnreachable,
			"no answer to change %s, which may have been applied: %v; look for it in `zinniafall history`, or repeat the command with --change-id %s, which applies it once", change.ID, err, change.ID)
	}
	return operatorapi.ChangeResult{}, unreachable(err)
}

// answerLost reports that a call may have reached the node.
func answerLost(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false
	}
	var address *url.Error
	return errors.As(err, &address) || errors.Is(err, io.ErrUnexpectedEOF)
}
