package config

import (
	"slices"

	"zinniafall/policy/model"
)

// maxCommitSteps bounds the actions of one commit.
const maxCommitSteps = 32

// CommitAction is what a Commit asks for next: ReadHead, WriteParts, SwapHead
// or Finished.
type CommitAction interface{ commitAction() }

// ReadHead asks for the head and its document from the store itself. It is
// answered by Read or Failed.
type ReadHead struct {
	// Attempt counts the reads before this one; the caller waits longer the
	// higher it is.
	Attempt int
}

// WriteParts asks to create parts, an existing one being as good, and to delete
// old ones as far as the store answers. It is answered by Written or Failed.
type WriteParts struct {
	Puts    []Put
	Deletes []string
}

// SwapHead asks to write the head if its index still is Index; 0 asks to
// create it. It is answered by Swapped or Failed.
type SwapHead struct {
	Value []byte
	Index uint64
}

// Finished ends the commit.
type Finished struct {
	Outcome
	// Deletes are parts that this commit wrote and that no head uses.
	Deletes []string
}

func (ReadHead) commitAction()   {}
func (WriteParts) commitAction() {}
func (SwapHead) commitAction()   {}
func (Finished) commitAction()   {}

// Failure says what is known of a failed action.
type Failure uint8

// The failures of an action.
const (
	// FailedWithoutEffect: the action had no effect.
	FailedWithoutEffect Failure = iota
	// FailedUnknown: the write may have taken effect, or may yet.
	FailedUnknown
)

// CommitOptions set up a Commit.
type CommitOptions struct {
	Change Change
	// Nonce is drawn anew for each commit.
	Nonce Nonce
	// MinRevision is the revision that the node applies: a lower one that the store
	// returns is from the past.
	MinRevision model.Revision
	// Placement of the services' targets.
	Placement Placement
}

// Commit decides the steps of committing one change. The swap of the head is
// the commit point. While a swap's answer is lost, the commit only repeats
// that same swap or reads: it is settled by finding the change in the history,
// or by a head that moved on without it, after which the swap can no longer
// take effect. That nothing needs to change is only said once a swap of the
// head for itself has proved that it was not read from the past.
type Commit struct {
	options CommitOptions
	steps   int
	reads   int
	next    *prepared
	now     Current
	plan    Plan
	swap    *SwapHead
	// doubt is true while swap may have taken effect.
	doubt bool
	// sent is true once any swap was sent.
	sent bool
	// written are the keys of all parts that the commit asked to create.
	written []string
}

// NewCommit returns a commit; Start gives its first action.
func NewCommit(options CommitOptions) *Commit {
	options.MinRevision = max(options.MinRevision, options.Change.Base)
	return &Commit{options: options}
}

// Start returns the first action.
func (c *Commit) Start() CommitAction { return c.read() }

// read asks for the head unless the commit has taken too many steps.
func (c *Commit) read() CommitAction {
	if c.steps >= maxCommitSteps {
		return c.giveUp()
	}
	c.steps++
	c.reads++
	return ReadHead{Attempt: c.reads - 1}
}

func (c *Commit) giveUp() CommitAction {
	result := ResultUnavailable
	if c.doubt {
		result = ResultUnknown
	}
	return Finished{Outcome: Outcome{Result: result, Revision: c.now.Revision(), Plan: c.plan}}
}

// finish ends the commit with an outcome that is certain.
func (c *Commit) finish(outcome Outcome) CommitAction {
	unused := slices.Clone(c.written)
	if outcome.Result == ResultAccepted && c.next != nil {
		unused = slices.DeleteFunc(unused, c.next.uses)
	}
	return Finished{Outcome: outcome, Deletes: unused}
}

// Read takes the head and document that the store returned.
func (c *Commit) Read(now Current) CommitAction {
	if now.Revision() < c.options.MinRevision {
		return c.read() // from the past
	}
	if now.Head != nil {
		if a, ok := now.Head.HistoryEntry(c.options.Change.ID); ok {
			return c.finish(Outcome{Result: ResultAccepted, Revision: a.Revision, Repeated: !c.sent, Plan: c.plan})
		}
	}
	if c.doubt {
		if now.Index <= c.swap.Index {
			return c.swapAgain()
		}
		if _, complete := now.Head.ChangesSince(c.now.Revision()); !complete {
			return c.giveUp() // the history no longer tells
		}
		c.doubt = false
	}
	c.now = now
	return c.decide()
}

// decide works out the change on what was read.
func (c *Commit) decide() CommitAction {
	after, outcome := Decide(c.now, c.options.Change, c.options.Placement)
	c.plan = outcome.Plan
	switch {
	case outcome.Result == ResultUnchanged && c.now.Head != nil:
		c.next = &prepared{head: c.now.Head, unchanged: true}
		return c.Written(nil)
	case outcome.Result != ResultPlanned:
		return c.finish(outcome)
	}
	return c.prepare(after)
}

func (c *Commit) prepare(after *Document) CommitAction {
	next, err := prepare(c.now, after, c.options.Change, c.plan.Edits, c.options.Nonce)
	if err != nil {
		return c.refuse(err)
	}
	c.next = next
	for _, put := range next.puts {
		c.written = append(c.written, put.Key)
	}
	return WriteParts{Puts: next.puts, Deletes: next.deletes}
}

func (c *Commit) refuse(err error) CommitAction {
	problem := Problem{Message: err.Error(), Remedy: "Make the configuration smaller"}
	return c.finish(Outcome{Result: ResultRefused, Revision: c.now.Revision(), Plan: c.plan, Problems: []Problem{problem}})
}

// Written tells that all parts are in the store, and which were deleted.
func (c *Commit) Written(deleted []string) CommitAction {
	c.next.forget(deleted)
	value, err := c.next.head.Encode()
	if err != nil {
		return c.refuse(err)
	}
	c.swap = &SwapHead{Value: value, Index: c.now.Index}
	if c.now.Head == nil {
		c.swap.Index = 0
	}
	return c.swapAgain()
}

func (c *Commit) swapAgain() CommitAction {
	if c.steps >= maxCommitSteps {
		return c.giveUp()
	}
	c.steps++
	c.sent = true
	return *c.swap
}

// Swapped tells the store's answer to SwapHead.
func (c *Commit) Swapped(swapped bool) CommitAction {
	if !swapped {
		return c.read()
	}
	result := ResultAccepted
	if c.next.unchanged {
		result = ResultUnchanged
	}
	return c.finish(Outcome{Result: result, Revision: c.next.head.Revision, Plan: c.plan})
}

// Failed tells that the last action failed.
func (c *Commit) Failed(last CommitAction, failure Failure) CommitAction {
	if _, swapping := last.(SwapHead); swapping && failure == FailedUnknown {
		c.doubt = true
	}
	return c.read()
}
