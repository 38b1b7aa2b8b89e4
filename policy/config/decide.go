package config

import (
	"slices"

	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

// Current is the accepted configuration as it was read.
type Current struct {
	// Head is nil if no configuration was ever accepted.
	Head *Head
	// Index is the store index of the last change of the head.
	Index uint64
	// Document is the document of the head.
	Document *Document
	// Snapshot is the compiled document, or nil if it was not compiled yet.
	Snapshot *settings.Snapshot
}

// snapshot returns the compiled document. It is empty if there is no document
// or the document is invalid.
func (c Current) snapshot() *settings.Snapshot {
	if c.Snapshot != nil {
		return c.Snapshot
	}
	if c.Document == nil {
		return new(settings.Snapshot)
	}
	snapshot, invalid := Compile(c.Revision(), c.Document)
	if len(invalid) > 0 {
		return new(settings.Snapshot)
	}
	return snapshot
}

// Revision returns the revision of the head, 0 if there is none.
func (c Current) Revision() model.Revision {
	if c.Head == nil {
		return 0
	}
	return c.Head.Revision
}

// Result is the result of a change.
type Result string

// The results of a change.
const (
	// ResultAccepted: the change was committed as a revision of its own.
	ResultAccepted Result = "accepted"
	// ResultUnchanged: the change makes no difference to the current
	// configuration.
	ResultUnchanged Result = "unchanged"
	// ResultPlanned: the change would be accepted; nothing was committed.
	ResultPlanned Result = "planned"
	// ResultRefused: the change is invalid or strands a service.
	ResultRefused Result = "refused"
	// ResultConflict: the same items were changed by others since the base
	// revision.
	ResultConflict Result = "conflict"
	// ResultUnavailable: nothing was changed because the store did not
	// answer.
	ResultUnavailable Result = "unavailable"
	// ResultUnknown: the change may have been accepted. Repeating the command
	// with the same change id determines the outcome and applies the change
	// at most once.
	ResultUnknown Result = "unknown"
)

// Outcome is the result of a change with the details for the operator.
type Outcome struct {
	Result Result `json:"result"`
	// Revision is that of the change if it was accepted, otherwise the one in
	// the store.
	Revision model.Revision `json:"revision"`
	// Repeated reports whether an earlier command committed this change.
	Repeated bool `json:"repeated,omitempty"`
	// Plan lists the differences that the change makes to the configuration
	// in the store.
	Plan Plan `json:"plan"`
	// Problems are the reasons for ResultRefused.
	Problems []Problem `json:"problems,omitempty"`
	// Theirs are the changes by others that cause a conflict.
	Theirs []HistoryEntry `json:"theirs,omitempty"`
}

// Decide evaluates a change against the current configuration without
// committing it. The document is nil unless the result is ResultPlanned.
func Decide(current Current, change Change, placement Placement) (*Document, Outcome) {
	outcome := Outcome{Revision: current.Revision(), Theirs: conflictingChanges(current, change)}
	before := current.Document
	if before == nil {
		before = new(Document)
	}
	after, problems := change.Apply(before)
	if len(outcome.Theirs) > 0 {
		outcome.Result = ResultConflict
		outcome.Plan.Edits = Edits(before, after)
		return nil, outcome
	}
	snapshot, found := Compile(current.Revision()+1, after)
	if problems = append(problems, found...); len(problems) > 0 {
		outcome.Result, outcome.Problems = ResultRefused, sortedUnique(problems)
		return nil, outcome
	}
	old := current.snapshot()
	outcome.Plan = NewPlan(before, after, old, snapshot)
	outcome.Plan.Stranded = StrandedServices(placement, old, snapshot)
	switch {
	case len(outcome.Plan.Edits) == 0:
		outcome.Result = ResultUnchanged
	case len(outcome.Plan.Stranded) > 0 && !change.Force:
		outcome.Result, outcome.Problems = ResultRefused, strandedProblems(outcome.Plan.Stranded)
	default:
		outcome.Result = ResultPlanned
		return after, outcome
	}
	return nil, outcome
}

func strandedProblems(stranded []StrandedService) []Problem {
	var problems []Problem
	for _, s := range stranded {
		addProblem(&problems, "/services/"+escape(string(s.Service)), s.String(),
			"Bring another failure domain in first, or repeat the command with --force: calls of the service then fail")
	}
	return problems
}

// conflictingChanges lists the changes since the base revision that the change
// would overwrite: all of them for a whole document, those of the same items
// for a change set. A change whose history entry omits items conflicts, since
// the omitted ones are unknown. If the history does not reach back to the base,
// all changes in it conflict.
func conflictingChanges(current Current, change Change) []HistoryEntry {
	if current.Head == nil {
		return nil
	}
	since, complete := current.Head.ChangesSince(change.Base)
	if change.Document != nil || !complete {
		return since
	}
	items := change.Items()
	var theirs []HistoryEntry
	for _, a := range since {
		if a.More > 0 || overlap(a.Items, items) {
			theirs = append(theirs, a)
		}
	}
	return theirs
}

func overlap(a, b []Item) bool {
	return slices.ContainsFunc(a, func(item Item) bool { return slices.Contains(b, item) })
}

// Items lists the items that a change set touches, in no particular order.
func (c *Change) Items() []Item {
	items := slices.Clone(c.Remove)
	for name := range c.DomainsOut {
		items = append(items, Item{Kind: KindDomain, Name: string(name)})
	}
	if c.Set == nil {
		return items
	}
	items = append(items, itemsOf(KindTemplate, c.Set.Templates)...)
	items = append(items, itemsOf(KindAccount, c.Set.Accounts)...)
	items = append(items, itemsOf(KindDomain, c.Set.Domains)...)
	return append(items, itemsOf(KindService, c.Set.Services)...)
}

func itemsOf[K ~string, V any](kind Kind, entries map[K]V) []Item {
	items := make([]Item, 0, len(entries))
	for name := range entries {
		items = append(items, Item{Kind: kind, Name: string(name)})
	}
	return items
}
