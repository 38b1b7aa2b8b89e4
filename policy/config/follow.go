package config

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniafall/policy/chart"
	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

// Events of the configuration chart.
const (
	eventHeard       chart.Event = "heard"
	eventFetched     chart.Event = "fetched"
	eventFetchFailed chart.Event = "fetch_failed"
	eventAccepted    chart.Event = "accepted"
	eventInvalid     chart.Event = "invalid"
)

// States of the configuration chart that this package tests for.
const (
	stateFetching chart.State = "fetching"
)

// LagRetryAfter is the Retry-After of a call that is refused because its node is behind: a
// fetch from another node takes milliseconds, and a failed one is repeated within a second.
const LagRetryAfter = 500 * time.Millisecond

// HeadStatus is the result of comparing a received head with the active one.
type HeadStatus uint8

// The possible statuses of a head.
const (
	// HeadCurrent: the head is the active one.
	HeadCurrent HeadStatus = iota
	// HeadStale: the head is older than the active one or, while none is
	// active, than a reported revision. It is ignored.
	HeadStale
	// HeadInvalid: the head was already rejected as invalid.
	HeadInvalid
	// HeadNewer: the head is newer; its missing parts must be fetched.
	HeadNewer
)

// Follower moves a node from one accepted configuration to a higher one and
// never back. It applies a configuration either completely or not at all.
type Follower struct {
	machine *chart.Machine
	// head is the active head and rawHead its encoding as received.
	head    *Head
	rawHead []byte
	// parts are the parts of the active head.
	parts    map[Sum][]byte
	compiled compiledParts
	snapshot *settings.Snapshot
	// highestSeen is the highest revision that was reported.
	highestSeen model.Revision
	// highestInvalid is the highest revision that was rejected as invalid.
	highestInvalid model.Revision
}

// NewFollower returns a follower without a configuration, at revision 0. If
// forbidden is not nil, it is called for each event that the chart does not
// allow.
func NewFollower(forbidden func(*chart.ForbiddenError)) *Follower {
	return &Follower{
		machine:  chart.Load(chart.Configuration).New(forbidden),
		head:     new(Head),
		parts:    make(map[Sum][]byte),
		snapshot: new(settings.Snapshot),
	}
}

// State returns the state in the configuration chart.
func (f *Follower) State() chart.State { return f.machine.State() }

// Snapshot returns the active configuration; its revision is 0 if there is
// none.
func (f *Follower) Snapshot() *settings.Snapshot { return f.snapshot }

// HighestSeen returns the highest revision that was reported.
func (f *Follower) HighestSeen() model.Revision { return f.highestSeen }

// HighestResolved returns the highest revision that is active or known to be
// invalid. A report of this revision or a lower one requires no action.
func (f *Follower) HighestResolved() model.Revision { return max(f.head.Revision, f.highestInvalid) }

// Behind reports whether a revision above HighestResolved was reported.
func (f *Follower) Behind() bool { return f.highestSeen > f.HighestResolved() }

// ObserveRevision records a revision that another node or the store has. It
// reports whether to fetch that revision.
func (f *Follower) ObserveRevision(revision model.Revision) bool {
	if revision <= f.highestSeen || revision <= f.head.Revision {
		return false
	}
	f.highestSeen = revision
	_ = f.machine.Send(eventHeard)
	return true
}

// FetchFailed records that a fetch failed. The active configuration stays in
// use.
func (f *Follower) FetchFailed() {
	if f.machine.Is(stateFetching) {
		_ = f.machine.Send(eventFetchFailed)
	}
}

// Inspect compares an encoded head with the active one. For HeadNewer it
// returns the parts to fetch; pass the same raw value to Apply with their
// contents.
func (f *Follower) Inspect(raw []byte) (HeadStatus, []Part, error) {
	head, err := DecodeHead(raw)
	if err != nil {
		return HeadStale, nil, err
	}
	status := f.headStatus(head)
	if status != HeadNewer {
		return status, nil, nil
	}
	f.ObserveRevision(head.Revision)
	var missing []Part
	for _, part := range head.Parts {
		if f.parts[part.Sum] == nil {
			missing = append(missing, part)
		}
	}
	return HeadNewer, missing, nil
}

// headStatus compares a decoded head with the active one.
func (f *Follower) headStatus(head *Head) HeadStatus {
	switch {
	case head.Revision < f.head.Revision:
		return HeadStale
	case f.head.Revision == 0 && head.Revision < f.highestSeen:
		// This process has just started. Before the restart it may have
		// applied the revision that is reported now, so a lower one would be
		// a step back.
		return HeadStale
	case head.Revision == f.head.Revision:
		return HeadCurrent
	case head.Revision == f.highestInvalid:
		return HeadInvalid
	default:
		return HeadNewer
	}
}

// Apply applies the configuration of a head whose missing parts were fetched.
// The snapshot and the error are nil if the head is not newer than the active
// one. The error is an *IncompleteError if a part is missing or damaged and an
// *InvalidError if the document is invalid; the active configuration then
// stays in use.
func (f *Follower) Apply(raw []byte, contents [][]byte) (*settings.Snapshot, error) {
	head, err := DecodeHead(raw)
	if err != nil {
		f.FetchFailed()
		return nil, err
	}
	if f.headStatus(head) != HeadNewer {
		return nil, nil
	}
	f.ObserveRevision(head.Revision)
	if !f.machine.Is(stateFetching) {
		_ = f.machine.Send(eventHeard)
	}
	parts, err := f.collectParts(head, contents)
	if err != nil {
		f.FetchFailed()
		return nil, err
	}
	compiled, err := f.compiled.recompile(head, parts)
	if err != nil {
		f.FetchFailed()
		return nil, err
	}
	_ = f.machine.Send(eventFetched)
	snapshot, problems := compiled.mergeParts(head.Revision)
	if len(problems) > 0 {
		f.highestInvalid = head.Revision
		_ = f.machine.Send(eventInvalid)
		return nil, &InvalidError{Problems: problems}
	}
	_ = f.machine.Send(eventAccepted)
	f.head, f.rawHead, f.parts, f.compiled, f.snapshot = head, raw, parts, compiled, snapshot
	return snapshot, nil
}

// collectParts returns the content of each part of a head, from the active
// configuration or from the fetched contents.
func (f *Follower) collectParts(head *Head, contents [][]byte) (map[Sum][]byte, error) {
	fetched := make(map[Sum][]byte, len(contents))
	for _, data := range contents {
		fetched[sha256.Sum256(data)] = data
	}
	parts := make(map[Sum][]byte, len(head.Parts))
	for _, part := range head.Parts {
		data := f.parts[part.Sum]
		if data == nil {
			data = fetched[part.Sum]
		}
		if data == nil || len(data) != int(part.Size) {
			return nil, head.incompleteError(part, "missing or damaged")
		}
		parts[part.Sum] = data
	}
	return parts, nil
}

// Current returns the active configuration; its Index is 0.
func (f *Follower) Current() (Current, error) {
	if f.head.Revision == 0 {
		return Current{}, nil
	}
	doc, err := Assemble(f.head, f.parts)
	if err != nil {
		return Current{}, err
	}
	return Current{Head: f.head, Document: doc, Snapshot: f.snapshot}, nil
}

// Content returns the bytes of a part of the active configuration, or nil.
func (f *Follower) Content(sum Sum) []byte { return f.parts[sum] }

// History returns the latest changes up to the active revision, newest first.
func (f *Follower) History() []HistoryEntry { return f.head.Recent }

// Bundle carries a configuration from one node to another: the head and the
// parts that the receiver lacks.
type Bundle struct {
	Head  []byte   `cbor:"1,keyasint"`
	Parts [][]byte `cbor:"2,keyasint"`
}

// MaxBundleBytes is the size in bytes of the largest bundle that is decoded.
const MaxBundleBytes = MaxDocumentBytes + 2*MaxValueBytes

// Bundle encodes the active configuration for a node that has applied the
// revision have. It is nil if the active configuration is not newer.
func (f *Follower) Bundle(have model.Revision) ([]byte, error) {
	if f.head.Revision <= have {
		return nil, nil
	}
	bundle := Bundle{Head: f.rawHead}
	for _, part := range f.head.Parts {
		if part.Since > have {
			bundle.Parts = append(bundle.Parts, f.parts[part.Sum])
		}
	}
	return cbor.Marshal(bundle)
}

// DecodeBundle decodes a bundle. Inspect and Apply validate its contents.
func DecodeBundle(raw []byte) (Bundle, error) {
	var bundle Bundle
	if len(raw) > MaxBundleBytes {
		return bundle, &IncompleteError{Detail: fmt.Sprintf("bundle of %d bytes", len(raw))}
	}
	if err := cborDecoder.Unmarshal(raw, &bundle); err != nil {
		return bundle, &IncompleteError{Detail: err.Error()}
	}
	return bundle, nil
}
