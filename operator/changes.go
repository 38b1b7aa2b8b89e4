package operator

import (
	"bytes"
	"crypto/rand"
	"encoding/json"

	"github.com/alecthomas/kingpin/v2"

	"zinniafall/node/operatorapi"
	"zinniafall/policy/config"
	"zinniafall/policy/model"
)

// changeFlags are the flags of every command that makes a change.
type changeFlags struct {
	id      string
	summary string
	force   bool
	dryRun  bool
}

func addChangeFlags(command *kingpin.CmdClause) *changeFlags {
	f := addChangeFlagsWithoutID(command)
	command.Flag("change-id", "Id of the change, to repeat a command whose answer was lost.").StringVar(&f.id)
	return f
}

func addChangeFlagsWithoutID(command *kingpin.CmdClause) *changeFlags {
	f := new(changeFlags)
	command.Flag("summary", "Reason, kept in the history.").Short('m').StringVar(&f.summary)
	command.Flag("force", "Take out a service's last failure domain.").BoolVar(&f.force)
	command.Flag("dry-run", "Show what would change and change nothing.").BoolVar(&f.dryRun)
	return f
}

func (c *CLI) addChanges() {
	var planned string
	plan := c.App.Command("plan", "Show what a file of changes, or a whole configuration, would change.")
	plan.Arg("file", "File, or - for the standard input.").Required().StringVar(&planned)
	planFlags := addChangeFlags(plan)
	plan.Action(action(func() error {
		planFlags.dryRun = true
		return c.file(planned, planFlags)
	}))

	var applied string
	apply := c.App.Command("apply", "Make the changes of a file, or put a whole configuration in force.")
	apply.Arg("file", "File, or - for the standard input.").Required().StringVar(&applied)
	applyFlags := addChangeFlags(apply)
	apply.Action(action(func() error { return c.file(applied, applyFlags) }))

	var kind, name string
	remove := c.App.Command("remove", "Remove an entry.")
	remove.Arg("kind", "Kind of the entry.").Required().EnumVar(&kind, kinds...)
	remove.Arg("name", "Name of the entry.").Required().StringVar(&name)
	removeFlags := addChangeFlags(remove)
	remove.Action(action(func() error {
		return c.edit(removeFlags, func(_ *config.Document, change *config.Change) error {
			change.Remove = []config.Item{{Kind: config.Kind(kind), Name: name}}
			return nil
		})
	}))
}

// file sends the change in a file.
func (c *CLI) file(name string, flags *changeFlags) error {
	raw, err := readInput(name)
	if err != nil {
		return exit(ExitBadInput, "reading the change: %v", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	decoder.DisallowUnknownFields()
	var change config.Change
	if err := decoder.Decode(&change); err != nil {
		return exit(ExitBadInput, "%s is not a change: %v; start from the output of `zinniafall get`", name, err)
	}
	if decoder.More() {
		return exit(ExitBadInput, "%s has something after the change; remove it", name)
	}
	node, err := c.client()
	if err != nil {
		return err
	}
	if change.Base == 0 {
		if change.Base, err = base(node, change.Document != nil); err != nil {
			return err
		}
	}
	return c.send(node, change, flags)
}

// base finds the revision for a file that names none. A whole configuration
// must name the one that it was made from, unless there is none yet.
func base(node *client, whole bool) (model.Revision, error) {
	var status operatorapi.Status
	if err := node.get("v1/status", &status); err != nil {
		return 0, err
	}
	if whole && status.Revision > 0 {
		return 0, exit(ExitBadInput, "the file names no base_revision, and revision %d is in force; start from the output of `zinniafall get`", status.Revision)
	}
	return status.Revision, nil
}

// edit reads the configuration, lets the function fill a change set that is
// based on it, and sends that.
func (c *CLI) edit(flags *changeFlags, fill func(*config.Document, *config.Change) error) error {
	node, err := c.client()
	if err != nil {
		return err
	}
	var now operatorapi.Configuration
	if err := node.get("v1/config", &now); err != nil {
		return err
	}
	change := config.Change{Base: now.Base}
	if err := fill(now.Document, &change); err != nil {
		return err
	}
	return c.send(node, change, flags)
}

// send plans or applies a change and prints the outcome.
func (c *CLI) send(node *client, change config.Change, flags *changeFlags) error {
	if flags.id != "" {
		change.ID = flags.id
	}
	if change.ID == "" {
		change.ID = rand.Text()
	}
	if flags.summary != "" {
		change.Summary = flags.summary
	}
	change.Force = change.Force || flags.force
	path := "v1/apply"
	if flags.dryRun {
		path = "v1/plan"
	}
	applied, err := node.change(path, change)
	if err != nil {
		return err
	}
	return c.outcome(change, applied)
}
