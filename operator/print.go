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

// table writes rows of tab-separated cells.
type table struct{ writer io.Writer }

func (t *table) row(cells ...string) { fmt.Fprintln(t.writer, strings.Join(cells, "\t")) }

// print prints value as JSON, or in text format as the table that text writes.
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

// changeOutput is the JSON output of a change: its outcome, and the account key
// that it issued, if any.
type changeOutput struct {
	operatorapi.ChangeResult
	AccountKey string `json:"account_key,omitempty"`
}

// printOutcome prints the outcome of a change and returns the matching exit error.
func (c *CLI) printOutcome(change config.Change, applied operatorapi.ChangeResult) error {
	output := changeOutput{ChangeResult: applied}
	if applied.Result == config.ResultAccepted {
		output.AccountKey = c.issuedKey
	}
	err := c.print(output, func(t *table) {
		t.plan(applied.Plan)
		t.result(applied)
		if output.AccountKey != "" {
			t.row("account key, shown this once: " + output.AccountKey)
		}
	})
	if err != nil {
		return err
	}
	return exitForResult(change, applied)
}

// exitForResult returns the exit error for the result of a change, nil for success.
func exitForResult(change config.Change, applied operatorapi.ChangeResult) error {
	switch applied.Result {
	case config.ResultAccepted, config.ResultUnchanged:
		if !applied.InForce.Complete() {
			return exitErrorf(ExitNotInForce, "revision %d is accepted, but not confirmed to be in force on every node; check with `zinniafall status`", applied.Revision)
		}
		return nil
	case config.ResultPlanned:
		return nil
	case config.ResultConflict:
		return exitErrorf(ExitConflict, "another operator made a conflicting change since revision %d; nothing was changed; read the current configuration with `zinniafall get` and apply your change to it", change.Base)
	case config.ResultRefused:
		return exitErrorf(ExitFailed, "refused; nothing was changed")
	case config.ResultUnavailable:
		return exitErrorf(ExitFailed, "the platform's store does not answer or returns stale data; nothing was changed and the configuration in force stays; repeat the command once the store has recovered")
	default:
		return exitErrorf(ExitFailed, "the store did not confirm whether change %s took effect; repeat the command with --change-id %s, which applies it once", change.ID, change.ID)
	}
}

// plan prints the edits of a change and their effects.
func (t *table) plan(plan config.Plan) {
	if len(plan.Edits) > 0 {
		t.row("EDIT", "", "BEFORE", "AFTER")
	}
	for _, e := range plan.Edits {
		t.row(string(e.Action), e.Item.String(), truncate(string(e.Before)), truncate(string(e.After)))
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

// truncate shortens text to the width of a column.
func truncate(text string) string {
	const width = 60
	if len(text) <= width {
		return text
	}
	return text[:width] + "..."
}

// result prints the outcome of a change, with the changes by others that conflict
// with it, and the nodes on which it is in force. InForce is set only if the change
// was applied with the result accepted or unchanged.
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
