package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"zinniafall/node/operatorapi"
	"zinniafall/policy/config"
)

// table prints rows in columns.
type table struct{ writer io.Writer }

func (t *table) row(cells ...string) { fmt.Fprintln(t.writer, strings.Join(cells, "\t")) }

// print prints a value as JSON or as the text that the function writes.
func (c *CLI) print(value any, text func(*table)) error {
	if c.output == outputJSON {
		return c.printJSON(value)
	}
	writer := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	text(&table{writer})
	return writer.Flush()
}

func (c *CLI) printJSON(value any) error {
	encoder := json.NewEncoder(c.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printed is an outcome with the account key that it put in force.
type printed struct {
	operatorapi.ChangeResult
	AccountKey string `json:"account_key,omitempty"`
}

// outcome prints how a change ended and returns the exit that fits it.
func (c *CLI) outcome(change config.Change, applied operatorapi.ChangeResult) error {
	shown := printed{ChangeResult: applied}
	if applied.Result == config.ResultAccepted {
		shown.AccountKey = c.issued
	}
	err := c.print(shown, func(t *table) {
		t.plan(applied.Plan)
		t.result(applied)
		if shown.AccountKey != "" {
			t.row("account key, shown this once: " + shown.AccountKey)
		}
	})
	if err != nil {
		return err
	}
	return exitOf(change, applied)
}

// exitOf is the exit that fits an outcome.
func exitOf(change config.Change, applied operatorapi.ChangeResult) error {
	switch applied.Result {
	case config.ResultAccepted, config.ResultUnchanged:
		if !applied.InForce.Complete() {
			return exit(ExitNotInForce, "revision %d is accepted, but not heard to be in force on every node; look again with `zinniafall status`", applied.Revision)
		}
		return nil
	case config.ResultPlanned:
		return nil
	case config.ResultConflict:
		return exit(ExitConflict, "another operator changed the same since revision %d; nothing was changed; read the present configuration with `zinniafall get` and apply your change to it", change.Base)
	case config.ResultRefused:
		return exit(ExitFailed, "refused; nothing was changed")
	case config.ResultUnavailable:
		return exit(ExitFailed, "the platform's store does not answer, or answers from the past; nothing was changed; the configuration in force stays, repeat the command once the store is back")
	default:
		return exit(ExitFailed, "the store did not say whether change %s took effect; repeat the command with --change-id %s, which applies it once", change.ID, change.ID)
	}
}

// plan prints what a change does.
func (t *table) plan(plan config.Plan) {
	if len(plan.Edits) > 0 {
		t.row("EDIT", "", "BEFORE", "AFTER")
	}
	for _, e := range plan.Edits {
		t.row(string(e.Action), e.Item.String(), short(string(e.Before)), short(string(e.After)))
	}
	if len(plan.Effects) > 0 {
		t.row("EFFECT", "", "SETTING", "BEFORE", "AFTER")
	}
	for _, e := range plan.Effects {
		if len(e.Fields) == 0 {
			t.row(string(e.Action), e.Item.String())
		}
		for _, f := range e.Fields {
			t.row(string(e.Action), e.Item.String(), f.Name, f.Before, f.After)
		}
	}
	for _, s := range plan.Stranded {
		t.row("warning", s.String())
	}
}

// short cuts a text for a column.
func short(text string) string {
	const width = 60
	if len(text) <= width {
		return text
	}
	return text[:width] + "..."
}

// result prints the outcome itself.
func (t *table) result(applied operatorapi.ChangeResult) {
	for _, p := range applied.Problems {
		t.row("problem", p.String())
	}
	if len(applied.Theirs) > 0 {
		t.row("the other changes:")
		t.changes(applied.Theirs)
	}
	note := ""
	if applied.Repeated {
		note = " by an earlier command"
	}
	t.row(fmt.Sprintf("%s%s at revision %d", applied.Result, note, applied.Revision))
	if applied.InForce == nil {
		return
	}
	t.row(fmt.Sprintf("in force on %d nodes after %d ms", applied.InForce.Nodes, applied.InForce.WaitedMS))
	for _, node := range applied.InForce.Missing {
		t.row("not heard from", string(node))
	}
}
