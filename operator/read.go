package operator

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"zinniafall/node/operatorapi"
	"zinniafall/policy/config"
)

// kindNames are the kinds of configuration entries, as command-line arguments.
var kindNames = []string{string(config.KindTemplate), string(config.KindAccount), string(config.KindDomain), string(config.KindService)}

// action wraps run in a kingpin action.
func action(run func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error { return run() }
}

func (c *CLI) addReadCommands() {
	var kind, name string
	get := c.App.Command("get", "Print the whole configuration, or one entry, as JSON.")
	get.Arg("kind", "Kind of the entry: "+strings.Join(kindNames, ", ")+".").EnumVar(&kind, kindNames...)
	get.Arg("name", "Name of the entry.").StringVar(&name)
	get.Action(action(func() error { return c.get(kind, name) }))

	var listed string
	list := c.App.Command("list", "List the entries of a kind.")
	list.Arg("kind", "Kind of the entries.").Required().EnumVar(&listed, kindNames...)
	list.Action(action(func() error { return c.list(listed) }))

	c.App.Command("history", "Show the latest changes.").Action(action(c.history))
	c.App.Command("status", "Show the queried node and the nodes that it knows.").Action(action(c.status))
}

func (c *CLI) get(kind, name string) error {
	node, err := c.nodeClient()
	if err != nil {
		return err
	}
	if kind == "" {
		var whole operatorapi.Configuration
		if err := node.get("v1/config", &whole); err != nil {
			return err
		}
		return c.printJSON(whole)
	}
	if name == "" {
		return exitErrorf(ExitBadInput, "give the name of the %s; `zinniafall list %s` shows the names", kind, kind)
	}
	var entry operatorapi.Entry
	if err := node.get("v1/config/"+kind+"/"+url.PathEscape(name), &entry); err != nil {
		return err
	}
	return c.printJSON(entry)
}

func (c *CLI) list(kind string) error {
	node, err := c.nodeClient()
	if err != nil {
		return err
	}
	var list operatorapi.List
	if err := node.get("v1/config/"+kind, &list); err != nil {
		return err
	}
	return c.print(list, func(t *table) {
		t.row("NAME", "TEMPLATE", "")
		for _, item := range list.Items {
			t.row(item.Name, item.Template, item.Detail)
		}
	})
}

func (c *CLI) history() error {
	node, err := c.nodeClient()
	if err != nil {
		return err
	}
	var history operatorapi.History
	if err := node.get("v1/history", &history); err != nil {
		return err
	}
	return c.print(history, func(t *table) { t.changes(history.Changes) })
}

// changes prints the changes of a history.
func (t *table) changes(changes []config.HistoryEntry) {
	t.row("REVISION", "TIME", "AUTHOR", "CHANGED", "SUMMARY")
	for _, a := range changes {
		t.row(fmt.Sprint(a.Revision), a.Time().UTC().Format(time.RFC3339), a.Author, changedItems(a), a.Summary)
	}
}

// changedItems lists the items that a change affected.
func changedItems(a config.HistoryEntry) string {
	var names []string
	for _, item := range a.Items {
		names = append(names, item.String())
	}
	if a.More > 0 {
		names = append(names, fmt.Sprintf("and %d more", a.More))
	}
	return strings.Join(names, ", ")
}

func (c *CLI) status() error {
	node, err := c.nodeClient()
	if err != nil {
		return err
	}
	var status operatorapi.Status
	if err := node.get("v1/status", &status); err != nil {
		return err
	}
	return c.print(status, func(t *table) {
		t.row("node", string(status.Node))
		t.row("process", status.Process)
		t.row("state", status.State)
		t.row("revision", fmt.Sprint(status.Revision))
		t.row("may commit", fmt.Sprint(status.MayCommit))
		t.row()
		t.row("NODE", "DOMAIN", "SERVICE", "STATE")
		for _, m := range status.Members {
			t.row(string(m.Node), string(m.Domain), string(m.Service), m.State)
		}
	})
}
