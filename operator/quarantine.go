package operator

import (
	"encoding/hex"
	"fmt"
	"net/url"
	"time"

	"zinniafall/node/operatorapi"
)

func (c *CLI) addQuarantine() {
	quarantine := c.App.Command("quarantine", "See and lift the quarantine of requests that crash targets.")
	quarantine.Command("list", "List the quarantined requests.").Action(action(c.quarantineList))
	var id string
	lift := quarantine.Command("lift", "Admit a request again.")
	lift.Arg("id", "Id of the request, from the list.").Required().StringVar(&id)
	lift.Action(action(func() error { return c.quarantineLift(id) }))
}

func (c *CLI) quarantineList() error {
	node, err := c.client()
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
	node, err := c.client()
	if err != nil {
		return err
	}
	var list operatorapi.QuarantineList
	if err := node.call(node.base.New().Delete("v1/quarantine/"+url.PathEscape(id)), &list); err != nil {
		return err
	}
	return c.print(list, func(t *table) { t.row("lifted " + id) })
}

// newToken is what the token command prints.
type newToken struct {
	Token string `json:"token"`
	Hash  string `json:"token_sha256"`
}

func (c *CLI) addToken() {
	c.App.Command("token", "Draw an operator's token and the hash for the nodes' settings.").Action(action(func() error {
		token, hash := operatorapi.NewToken()
		drawn := newToken{Token: token, Hash: hex.EncodeToString(hash[:])}
		return c.print(drawn, func(t *table) {
			t.row("token, for a file that only you can read:", drawn.Token)
			t.row("token_sha256, for the nodes' settings:", drawn.Hash)
		})
	}))
}
