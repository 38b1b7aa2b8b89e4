package config

import (
	"slices"

	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

// Current is the accepted configuration as it was read.
type Current struct {
	// Head is nil when nothing was ever accepted.
	Head *Head
	// Index of the head's last change in the store.
	Index uint64
	// Document of the head.
	Document *Document
	// Snapshot of the document, when it is at hand.
	Snapshot *settings.Snapshot
}

// snapshot compiles the document unless that was done before. An invalid
// document counts as none.
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

// Revision is the head's revision, 0 when there is none.
func (c Current) Revision() model.Revision {
	if c.Head == nil {
		return 0
	}
	return c.Head.Revision
}

// Result is how a change ended.
type Result string

// The results of a change.
const (
	// ResultAccepted: the change is committed under a revision of its own.
	ResultAccepted Result = "accepted"
	// ResultUnchanged: the configuration already is as the change wants it.
	ResultUnchanged Result = "unchanged"
	// ResultPlanned: the change would be accepted; nothing was committed.
	ResultPlanned Result = "planned"
	// ResultRefused: the change is invalid or strands a service.
	ResultRefused Result = "refused"
	// ResultConflict: others changed the same items since the base revision.
	ResultConflict Result = "conflict"
	// ResultUnavailable: nothing was changed, since the store did not answer.
	ResultUnavailable Result = "unavailable"
	// ResultUnknown: the change may be accepted; the same command, repeated
	// with the same change id, finds out and applies it once.
	ResultUnknown Result = "unknown"
)

// Outcome is how a change ended, with what an operator needs to know.
type Outcome struct {
	Result Result `json:"result"`
	// Revision of the change when it is accepted, else the one in the store.
	Revision model.Revision `json:"revision"`
	// Repeated is true when an earlier command had committed this change.
	Repeated bool `json:"repeated,omitempty"`
	// Plan is what the change does to the configuration in the store.
	Plan Plan `json:"plan"`
	// Problems of a refused change.
	Problems []Problem `json:"problems,omitempty"`
	// Theirs are the changes of others that a conflict is about.
	Theirs []HistoryEntry `json:"theirs,omitempty"`
}

// Decide says what a change does to the current configuration, without
// committing it. The document is nil unless the result is ResultPlanned.
func Decide(now Current, change Change, placement Placement) (*Document, Outcome) {
	outcome := Outcome{Revision: now.Revision(), Theirs: conflicts(now, change)}
	before := now.Document
	if before == nil {
		before = new(Document)
	}
	after, problems := change.Apply(before)
	if len(outcome.Theirs) > 0 {
		outcome.Result = ResultConflict
		outcome.Plan.Edits = Edits(before, after)
		return nil, outcome
	}
	snapshot, found := Compile(now.Revision()+1, after)
	if problems = append(problems, found...); len(problems) > 0 {
		outcome.Result, outcome.Problems = ResultRefused, sorted(problems)
		return nil, outcome
	}
	old := now.snapshot()
	outcome.Plan = NewPlan(before, after, old, snapshot)
	outcome.Plan.Stranded = StrandedServices(placement, old, snapshot)
	switch {
	case len(outcome.Plan.Edits) == 0:
		outcome.Result = ResultUnchanged
	case len(outcome.Plan.Stranded) > 0 && !change.Force:
		outcome.Result, outcome.Problems = ResultRefused, strandingProblems(outcome.Plan.Stranded)
	default:
		outcome.Result = ResultPlanned
		return after, outcome
	}
	return nil, outcome
}

func strandingProblems(stranded []StrandedService) []Problem {
	var problems []Problem
	for _, s := range stranded {
		add(&problems, "/services/"+escape(string(s.Service)), s.String(),
			"Bring another failure domain in first, or repeat the command with --force: calls of the service then fail")
	}
	return problems
}

// conflicts lists the changes since the base that the change would overwrite:
// every one for a whole document, those of the same items for a change set.
// When the history does not reach back to the base, each counts.
func conflicts(now Current, change Change) []HistoryEntry {
	if now.Head == nil {
		return nil
	}
	since, complete := now.Head.ChangesSince(change.Base)
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

// Items lists what a change set touches, in no particular order.
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
