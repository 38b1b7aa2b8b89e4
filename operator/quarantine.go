package operator

import (
	"encoding/hex"
	"fmt"
	"net/url"
	"time"

	"zinniafall/node/operatorapi"
)

func (c *CLI) addQuarantineCommands() {
	quarantine := c.App.Command("quarantine", "Show and lift the quarantine of requests that crash targets.")
	quarantine.Command("list", "List the quarantined requests.").Action(action(c.quarantineList))
	var id string
	lift := quarantine.Command("lift", "Lift the quarantine of a request.")
	lift.Arg("id", "Id of the request, from the list.").Required().StringVar(&id)
	lift.Action(action(func() error { return c.quarantineLift(id) }))
}

func (c *CLI) quarantineList() error {
	node, err := c.nodeClient()
	if err != nil {
		return err
	}
	var list operatorapi.QuarantineList
	if err := node.get("v1/quarantine", &list); err != nil {
		return err
	}
	return c.print(list, func(t *table) {
		t.row("ID", "SERVICE", "ACCOUNT", "CRASHES", "EXPIRES")
		for _, q := range list.Requests {
			t.row(q.ID, string(q.Service), string(q.Account), fmt.Sprint(q.Crashes), q.Expires.UTC().Format(time.RFC3339))
		}
	})
}

func (c *CLI) quarantineLift(id string) error {
	node, err := c.nodeClient()
	if err != nil {
		return err
	}
	var list operatorapi.QuarantineList
	if err := node.call(node.requests.New().Delete("v1/quarantine/"+url.PathEscape(id)), &list); err != nil {
		return err
	}
	return c.print(list, func(t *table) { t.row("lifted " + id) })
}

// newToken is the JSON output of the token command.
type newToken struct {
	Token string `json:"token"`
	Hash  string `json:"token_sha256"`
}

func (c *CLI) addTokenCommand() {
	c.App.Command("token", "Generate an operator's token and its hash for the nodes' settings.").Action(action(func() error {
		token, hash := operatorapi.NewToken()
		generated := newToken{Token: token, Hash: hex.EncodeToString(hash[:])}
		return c.print(generated, func(t *table) {
			t.row("token, for a file that only you can read:", generated.Token)
			t.row("token_sha256, for the nodes' settings:", generated.Hash)
		})
	}))
}
