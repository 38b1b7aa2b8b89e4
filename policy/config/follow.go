package config

import (
	"crypto/sha256"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"zinniafall/policy/chart"
	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

// The events of the configuration chart.
const (
	eventHeard       chart.Event = "heard"
	eventFetched     chart.Event = "fetched"
	eventFetchFailed chart.Event = "fetch_failed"
	eventAccepted    chart.Event = "accepted"
	eventInvalid     chart.Event = "invalid"
)

// The states of the configuration chart that the code asks about.
const (
	stateFetching chart.State = "fetching"
)

// HeadStatus says what a head that was read means to a follower.
type HeadStatus uint8

// The steps after a head was read.
const (
	// HeadCurrent: the head is the one in force here.
	HeadCurrent HeadStatus = iota
	// HeadStale: the head is lower than the one in force; it is ignored.
	HeadStale
	// HeadInvalid: the head was refused before.
	HeadInvalid
	// HeadNewer: the head is newer; its missing parts are to be fetched.
	HeadNewer
)

// Follower takes a node from one accepted configuration to a higher one, never
// back. A configuration is applied whole or not at all.
type Follower struct {
	machine *chart.Machine
	// head in force, as decoded and as received.
	head *Head
	raw  []byte
	// parts of the head in force.
	parts    map[Sum][]byte
	compiled compiledParts
	snapshot *settings.Snapshot
	// wanted is the highest revision heard of.
	wanted model.Revision
	// invalid is the highest revision that was refused.
	invalid model.Revision
}

// NewFollower returns a follower with no configuration, revision 0. The
// function forbidden, which may be nil, is told of events that the chart does
// not allow.
func NewFollower(forbidden func(*chart.ForbiddenError)) *Follower {
	return &Follower{
		machine:  chart.Load(chart.Configuration).New(forbidden),
		head:     new(Head),
		parts:    make(map[Sum][]byte),
		snapshot: new(settings.Snapshot),
	}
}

// State is the follower's state in the configuration chart.
func (f *Follower) State() chart.State { return f.machine.State() }

// Snapshot is the configuration in force; its revision is 0 when none is.
func (f *Follower) Snapshot() *settings.Snapshot { return f.snapshot }

// HighestSeen is the highest revision heard of.
func (f *Follower) HighestSeen() model.Revision { return f.wanted }

// HighestResolved is the highest revision that is in force or known to be invalid:
// hearing of it, or of a lower one, asks for nothing.
func (f *Follower) HighestResolved() model.Revision { return max(f.head.Revision, f.invalid) }

// Behind reports that a revision was heard of which is neither in force nor
// known to be invalid.
func (f *Follower) Behind() bool { return f.wanted > f.HighestResolved() }

// ObserveRevision takes a revision that another node or the store has; it reports
// whether to fetch it.
func (f *Follower) ObserveRevision(revision model.Revision) bool {
	if revision <= f.wanted || revision <= f.head.Revision {
		return false
	}
	f.wanted = revision
	_ = f.machine.Send(eventHeard)
	return true
}

// FetchFailed tells that a fetch brought nothing; the configuration in force
// stays.
func (f *Follower) FetchFailed() {
	if f.machine.Is(stateFetching) {
		_ = f.machine.Send(eventFetchFailed)
	}
}

// Inspect takes the value of a head and says what it means here. For StepFetch it
// returns the parts that are missing; Take is then given the same value.
func (f *Follower) Inspect(raw []byte) (HeadStatus, []Part, error) {
	head, err := DecodeHead(raw)
	if err != nil {
		return HeadStale, nil, err
	}
	step := f.step(head)
	if step != HeadNewer {
		return step, nil, nil
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

func (f *Follower) step(head *Head) HeadStatus {
	switch {
	case head.Revision < f.head.Revision:
		return HeadStale
	case f.head.Revision == 0 && head.Revision < f.wanted:
		// A process that has just started may have applied, before its
		// restart, what it hears of now.
		return HeadStale
	case head.Revision == f.head.Revision:
		return HeadCurrent
	case head.Revision == f.invalid:
		return HeadInvalid
	default:
		return HeadNewer
	}
}

// Apply applies the configuration of a head whose missing parts were fetched.
// The snapshot is nil, without an error, when the head is not newer than what
// is in force by now. The error is an *IncompleteError when a part is missing
// or damaged, and an *InvalidError when the whole is refused; the configuration
// in force then stays.
func (f *Follower) Apply(raw []byte, contents [][]byte) (*settings.Snapshot, error) {
	head, err := DecodeHead(raw)
	if err != nil {
		f.FetchFailed()
		return nil, err
	}
	if f.step(head) != HeadNewer {
		return nil, nil
	}
	f.ObserveRevision(head.Revision)
	if !f.machine.Is(stateFetching) {
		_ = f.machine.Send(eventHeard)
	}
	parts, err := f.collect(head, contents)
	if err != nil {
		f.FetchFailed()
		return nil, err
	}
	compiled, err := f.compiled.next(head, parts)
	if err != nil {
		f.FetchFailed()
		return nil, err
	}
	_ = f.machine.Send(eventFetched)
	snapshot, problems := compiled.join(head.Revision)
	if len(problems) > 0 {
		f.invalid = head.Revision
		_ = f.machine.Send(eventInvalid)
		return nil, &InvalidError{Problems: problems}
	}
	_ = f.machine.Send(eventAccepted)
	f.head, f.raw, f.parts, f.compiled, f.snapshot = head, raw, parts, compiled, snapshot
	return snapshot, nil
}

// collect finds each part of a head among the contents that were fetched and
// the parts that were held before.
func (f *Follower) collect(head *Head, contents [][]byte) (map[Sum][]byte, error) {
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
			return nil, head.incomplete(part, "missing or damaged")
		}
		parts[part.Sum] = data
	}
	return parts, nil
}

// Current returns the configuration in force for reading; its Index is 0.
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

// Content returns a part's bytes when they are held here.
func (f *Follower) Content(sum Sum) []byte { return f.parts[sum] }

// History lists the latest accepted changes up to the one in force, the newest
// first.
func (f *Follower) History() []HistoryEntry { return f.head.Recent }

// Bundle is a configuration on its way from one node to another: the head and
// the parts that the receiver lacks.
type Bundle struct {
	Head  []byte   `cbor:"1,keyasint"`
	Parts [][]byte `cbor:"2,keyasint"`
}

// MaxBundleBytes is the size in bytes of the largest bundle that is read.
const MaxBundleBytes = MaxDocumentBytes + 2*MaxValueBytes

// Bundle encodes what a node needs that applies the revision have. It is nil
// when this node has nothing newer.
func (f *Follower) Bundle(have model.Revision) ([]byte, error) {
	if f.head.Revision <= have {
		return nil, nil
	}
	bundle := Bundle{Head: f.raw}
	for _, part := range f.head.Parts {
		if part.Since > have {
			bundle.Parts = append(bundle.Parts, f.parts[part.Sum])
		}
	}
	return cbor.Marshal(bundle)
}

// DecodeBundle reads a bundle; its contents are checked by Look and
// Take.
func DecodeBundle(raw []byte) (Bundle, error) {
	var bundle Bundle
	if len(raw) > MaxBundleBytes {
		return bundle, &IncompleteError{Detail: fmt.Sprintf("bundle of %d bytes", len(raw))}
	}
	if err := decoding.Unmarshal(raw, &bundle); err != nil {
		return bundle, &IncompleteError{Detail: err.Error()}
	}
	return bundle, nil
}
