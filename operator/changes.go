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

// changeFlags are the flags shared by all commands that make a change.
type changeFlags struct {
	id      string
	summary string
	force   bool
	dryRun  bool
}

func addChangeFlags(command *kingpin.CmdClause) *changeFlags {
	f := addChangeFlagsWithoutID(command)
	command.Flag("change-id", "Id of the change, to repeat a command whose response was lost.").StringVar(&f.id)
	return f
}

func addChangeFlagsWithoutID(command *kingpin.CmdClause) *changeFlags {
	f := new(changeFlags)
	command.Flag("summary", "Reason for the change, kept in the history.").Short('m').StringVar(&f.summary)
	command.Flag("force", "Allow taking a service's last failure domain out of service.").BoolVar(&f.force)
	command.Flag("dry-run", "Show what would change without changing anything.").BoolVar(&f.dryRun)
	return f
}

func (c *CLI) addChangeCommands() {
	var planned string
	plan := c.App.Command("plan", "Show what applying a file would change.")
	plan.Arg("file", "File, or - for the standard input.").Required().StringVar(&planned)
	planFlags := addChangeFlags(plan)
	plan.Action(action(func() error {
		planFlags.dryRun = true
		return c.submitFile(planned, planFlags)
	}))

	var applied string
	apply := c.App.Command("apply", "Apply the changes in a file, or a whole configuration.")
	apply.Arg("file", "File, or - for the standard input.").Required().StringVar(&applied)
	applyFlags := addChangeFlags(apply)
	apply.Action(action(func() error { return c.submitFile(applied, applyFlags) }))

	var kind, name string
	remove := c.App.Command("remove", "Remove an entry.")
	remove.Arg("kind", "Kind of the entry.").Required().EnumVar(&kind, kindNames...)
	remove.Arg("name", "Name of the entry.").Required().StringVar(&name)
	removeFlags := addChangeFlags(remove)
	remove.Action(action(func() error {
		return c.edit(removeFlags, func(_ *config.Document, change *config.Change) error {
			change.Remove = []config.Item{{Kind: config.Kind(kind), Name: name}}
			return nil
		})
	}))
}

// submitFile submits the change in a file.
func (c *CLI) submitFile(name string, flags *changeFlags) error {
	raw, err := readInput(name)
	if err != nil {
		return exitErrorf(ExitBadInput, "reading the change: %v", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	decoder.DisallowUnknownFields()
	var change config.Change
	if err := decoder.Decode(&change); err != nil {
		return exitErrorf(ExitBadInput, "%s is not a change: %v; start from the output of `zinniafall get`", name, err)
	}
	if decoder.More() {
		return exitErrorf(ExitBadInput, "%s has trailing data after the change; remove it", name)
	}
	node, err := c.nodeClient()
	if err != nil {
		return err
	}
	if change.Base == 0 {
		if change.Base, err = baseRevision(node, change.Document != nil); err != nil {
			return err
		}
	}
	return c.submit(node, change, flags)
}

// baseRevision returns the revision in force, as the base of a change whose file
// names none. A whole configuration must name the revision that it was made from,
// unless none is in force yet.
func baseRevision(node *nodeClient, whole bool) (model.Revision, error) {
	var status operatorapi.Status
	if err := node.get("v1/status", &status); err != nil {
		return 0, err
	}
	if whole && status.Revision > 0 {
		return 0, exitErrorf(ExitBadInput, "the file names no base_revision, and revision %d is in force; start from the output of `zinniafall get`", status.Revision)
	}
	return status.Revision, nil
}

// edit reads the current configuration, lets fill add edits to a change based on
// it, and submits the change.
func (c *CLI) edit(flags *changeFlags, fill func(*config.Document, *config.Change) error) error {
	node, err := c.nodeClient()
	if err != nil {
		return err
	}
	var current operatorapi.Configuration
	if err := node.get("v1/config", &current); err != nil {
		return err
	}
	change := config.Change{Base: current.Base}
	if err := fill(current.Document, &change); err != nil {
		return err
	}
	return c.submit(node, change, flags)
}

// submit plans or applies a change and prints the outcome.
func (c *CLI) submit(node *nodeClient, change config.Change, flags *changeFlags) error {
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
	return c.printOutcome(change, applied)
}
