package config

import (
	"slices"

	"zinniafall/policy/model"
)

// maxCommitSteps limits the reads and swaps of the head in one commit.
const maxCommitSteps = 32

// CommitAction is the next action that a Commit requests: ReadHead,
// WriteParts, SwapHead or Finished.
type CommitAction interface{ commitAction() }

// ReadHead requests the head and its document from the store itself. The reply
// is Read or Failed.
type ReadHead struct {
	// Attempt is the number of earlier reads. The caller uses it to back off.
	Attempt int
}

// WriteParts requests the creation of parts, of which some may already exist,
// and the deletion of old ones, which may fail. The reply is Written or
// Failed.
type WriteParts struct {
	Puts    []Put
	Deletes []string
}

// SwapHead requests a write of the head on condition that its store index is
// still Index; an Index of 0 requests its creation. The reply is Swapped or
// Failed.
type SwapHead struct {
	Value []byte
	Index uint64
}

// Finished ends the commit.
type Finished struct {
	Outcome
	// Deletes are parts that this commit wrote and no head uses.
	Deletes []string
}

func (ReadHead) commitAction()   {}
func (WriteParts) commitAction() {}
func (SwapHead) commitAction()   {}
func (Finished) commitAction()   {}

// Failure states whether a failed action may have had an effect.
type Failure uint8

// The kinds of failure.
const (
	// FailedWithoutEffect: the action had no effect.
	FailedWithoutEffect Failure = iota
	// FailedUnknown: the write may have taken effect or may still do so.
	FailedUnknown
)

// CommitOptions configure a Commit.
type CommitOptions struct {
	Change Change
	// Nonce is random and different for each commit.
	Nonce Nonce
	// MinRevision is the revision that the node applies. A read of the store
	// that returns a lower one is stale.
	MinRevision model.Revision
	// Placement lists the failure domains of the targets of each service.
	Placement Placement
}

// Commit is the state machine that commits one change. The swap of the head is
// the commit point. If the reply to a swap is lost, the commit only repeats
// the same swap or reads the head, until the outcome is certain: either the
// history contains the change, or the head has changed without it, so that the
// swap can no longer take effect.
//
// ResultUnchanged is returned only after a swap of the head for itself, which
// proves that the head was not a stale read.
type Commit struct {
	options CommitOptions
	steps   int
	reads   int
	next    *preparedHead
	current Current
	plan    Plan
	swap    *SwapHead
	// swapUncertain reports whether swap may have taken effect.
	swapUncertain bool
	// swapSent reports whether any swap was sent.
	swapSent bool
	// writtenKeys are the keys of all parts that the commit requested to
	// create.
	writtenKeys []string
}

// NewCommit returns a commit; Start returns its first action.
func NewCommit(options CommitOptions) *Commit {
	options.MinRevision = max(options.MinRevision, options.Change.Base)
	return &Commit{options: options}
}

// Start returns the first action.
func (c *Commit) Start() CommitAction { return c.readHead() }

// readHead requests the head unless the commit has taken too many steps.
func (c *Commit) readHead() CommitAction {
	if c.steps >= maxCommitSteps {
		return c.giveUp()
	}
	c.steps++
	c.reads++
	return ReadHead{Attempt: c.reads - 1}
}

// giveUp ends the commit after too many steps, or if the history is too short
// to tell the outcome. The result is ResultUnknown if a swap may have taken
// effect, otherwise ResultUnavailable.
func (c *Commit) giveUp() CommitAction {
	result := ResultUnavailable
	if c.swapUncertain {
		result = ResultUnknown
	}
	return Finished{Outcome: Outcome{Result: result, Revision: c.current.Revision(), Plan: c.plan}}
}

// finish ends the commit with a certain outcome.
func (c *Commit) finish(outcome Outcome) CommitAction {
	unused := slices.Clone(c.writtenKeys)
	if outcome.Result == ResultAccepted && c.next != nil {
		unused = slices.DeleteFunc(unused, c.next.uses)
	}
	return Finished{Outcome: outcome, Deletes: unused}
}

// Read handles the head and document that the store returned.
func (c *Commit) Read(current Current) CommitAction {
	if current.Revision() < c.options.MinRevision {
		return c.readHead() // stale read
	}
	if current.Head != nil {
		if a, ok := current.Head.HistoryEntry(c.options.Change.ID); ok {
			return c.finish(Outcome{Result: ResultAccepted, Revision: a.Revision, Repeated: !c.swapSent, Plan: c.plan})
		}
	}
	if c.swapUncertain {
		if current.Index <= c.swap.Index {
			return c.sendSwap()
		}
		if _, complete := current.Head.ChangesSince(c.current.Revision()); !complete {
			return c.giveUp() // the history is too short to tell
		}
		c.swapUncertain = false
	}
	c.current = current
	return c.decide()
}

// decide evaluates the change against the head that was read.
func (c *Commit) decide() CommitAction {
	after, outcome := Decide(c.current, c.options.Change, c.options.Placement)
	c.plan = outcome.Plan
	switch {
	case outcome.Result == ResultUnchanged && c.current.Head != nil:
		c.next = &preparedHead{head: c.current.Head, unchanged: true}
		return c.Written(nil)
	case outcome.Result != ResultPlanned:
		return c.finish(outcome)
	}
	return c.prepareHead(after)
}

// prepareHead prepares the next head and requests the creation of its parts.
func (c *Commit) prepareHead(after *Document) CommitAction {
	next, err := prepareHead(c.current, after, c.options.Change, c.plan.Edits, c.options.Nonce)
	if err != nil {
		return c.refuse(err)
	}
	c.next = next
	for _, put := range next.puts {
		c.writtenKeys = append(c.writtenKeys, put.Key)
	}
	return WriteParts{Puts: next.puts, Deletes: next.deletes}
}

// refuse ends the commit because the configuration cannot be encoded within
// the size of a store value.
func (c *Commit) refuse(err error) CommitAction {
	problem := Problem{Message: err.Error(), Remedy: "Make the configuration smaller"}
	return c.finish(Outcome{Result: ResultRefused, Revision: c.current.Revision(), Plan: c.plan, Problems: []Problem{problem}})
}

// Written handles the reply that all parts are in the store; deleted lists the
// keys that were deleted.
func (c *Commit) Written(deleted []string) CommitAction {
	c.next.removeDeleted(deleted)
	value, err := c.next.head.Encode()
	if err != nil {
		return c.refuse(err)
	}
	c.swap = &SwapHead{Value: value, Index: c.current.Index}
	if c.current.Head == nil {
		c.swap.Index = 0
	}
	return c.sendSwap()
}

// sendSwap requests the prepared swap, for the first time or again.
func (c *Commit) sendSwap() CommitAction {
	if c.steps >= maxCommitSteps {
		return c.giveUp()
	}
	c.steps++
	c.swapSent = true
	return *c.swap
}

// Swapped handles the store's reply to SwapHead.
func (c *Commit) Swapped(swapped bool) CommitAction {
	if !swapped {
		return c.readHead()
	}
	result := ResultAccepted
	if c.next.unchanged {
		result = ResultUnchanged
	}
	return c.finish(Outcome{Result: result, Revision: c.next.head.Revision, Plan: c.plan})
}

// Failed handles the failure of the last action.
func (c *Commit) Failed(last CommitAction, failure Failure) CommitAction {
	if _, swapping := last.(SwapHead); swapping && failure == FailedUnknown {
		c.swapUncertain = true
	}
	return c.readHead()
}
