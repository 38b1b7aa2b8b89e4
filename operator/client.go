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

// applyAttempts is how often a change is sent in total while its responses are
// lost.
const applyAttempts = 3

// nodeClient calls the operator API of one node.
type nodeClient struct{ requests *sling.Sling }

// nodeClient returns a client for the node and token that the flags name.
func (c *CLI) nodeClient() (*nodeClient, error) {
	if c.node == "" {
		return nil, exitErrorf(ExitBadInput, "no node; give --node host:port or set ZINNIAFALL_NODE")
	}
	address := c.node
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	if parsed, err := url.Parse(address); err != nil || parsed.Host == "" {
		return nil, exitErrorf(ExitBadInput, "--node %q is not host:port or a URL", c.node)
	}
	if c.tokenFile == "" {
		return nil, exitErrorf(ExitBadInput, "no token; give --token-file FILE or set ZINNIAFALL_TOKEN_FILE")
	}
	token, err := os.ReadFile(c.tokenFile)
	if err != nil {
		return nil, exitErrorf(ExitBadInput, "reading the token: %v", err)
	}
	requests := sling.New().
		Client(&http.Client{Timeout: c.timeout}).
		Base(strings.TrimSuffix(address, "/")+"/").
		Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	return &nodeClient{requests}, nil
}

// get decodes the node's response to a GET request into into.
func (c *nodeClient) get(path string, into any) error {
	return c.call(c.requests.New().Get(path), into)
}

// call sends a request and decodes the response into into. An error response is
// decoded as an operatorapi.Error.
func (c *nodeClient) call(call *sling.Sling, into any) error {
	var failed operatorapi.Error
	response, err := call.Receive(into, &failed)
	if err != nil {
		return unreachableError(err)
	}
	if response.StatusCode >= http.StatusOK && response.StatusCode < http.StatusMultipleChoices {
		return nil
	}
	return refusalError(response, &failed)
}

func unreachableError(err error) error {
	return exitErrorf(ExitUnreachable, "the node did not answer: %v; give --node another node", err)
}

// refusalError returns the exit error for an error response of the node.
func refusalError(response *http.Response, failed *operatorapi.Error) error {
	if failed.Kind == "" {
		return exitErrorf(ExitUnreachable, "the node answered %s; check that --node is a node's operator address", response.Status)
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
	return exitErrorf(code, "%s", text.String())
}

// changeResponse is the response to a plan or apply request: an outcome or an
// error.
type changeResponse struct {
	operatorapi.ChangeResult
	operatorapi.Error
	// Problems is a member of both outcomes and errors, with the same form.
	Problems []config.Problem `json:"problems,omitempty"`
}

// change sends a change to be planned or applied. It resends a change whose
// response was lost, which is safe because the id makes the node apply it once.
func (c *nodeClient) change(path string, change config.Change) (operatorapi.ChangeResult, error) {
	var err error
	for range applyAttempts {
		var received changeResponse
		var response *http.Response
		response, err = c.requests.New().Post(path).BodyJSON(change).Receive(&received, &received)
		if err != nil && responseLost(err) {
			continue
		}
		if err != nil {
			break
		}
		if received.Result != "" {
			received.Outcome.Problems = received.Problems
			return received.ChangeResult, nil
		}
		received.Error.Problems = received.Problems
		return operatorapi.ChangeResult{}, refusalError(response, &received.Error)
	}
	if responseLost(err) {
		return operatorapi.ChangeResult{}, exitErrorf(ExitUnreachable,
			"no response to change %s, which may have been applied: %v; look for it in `zinniafall history`, or repeat the command with --change-id %s, which applies it once", change.ID, err, change.ID)
	}
	return operatorapi.ChangeResult{}, unreachableError(err)
}

// responseLost reports whether a call that failed with err may have reached the
// node.
func responseLost(err error) bool {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return false
	}
	var urlErr *url.Error
	return errors.As(err, &urlErr) || errors.Is(err, io.ErrUnexpectedEOF)
}
