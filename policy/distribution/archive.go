package distribution

import (
	"errors"
	"fmt"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"

	"zinniafall/policy/model"
)

const (
	// MaxDocumentBytes is the size of the largest configuration that a node accepts,
	// wherever it comes from. It protects the node's memory and is the same on all nodes:
	// a configuration that some of them reject would leave the others ahead for good.
	MaxDocumentBytes = 8 << 20
	// maxSteps and maxStepBytes bound the updates that an Archive keeps for nodes
	// that are a few configurations behind.
	maxSteps     = 8
	maxStepBytes = 256 << 10
	// minBaseBytes is the size below which a document is not used as a dictionary.
	minBaseBytes = 256
	// smallDocumentBytes is the combined size of a document and its base up to which the
	// fastest level of compression is used.
	smallDocumentBytes = 64 << 10
	// dictionaryID marks updates that need their base.
	dictionaryID = 1
	// maxWindowBytes lets an update refer to all of its base.
	maxWindowBytes = 2 * MaxDocumentBytes
)

// Sum identifies the content of a configuration; 0 means none.
type Sum uint64

// SumOf returns the Sum of a document.
func SumOf(document []byte) Sum { return Sum(xxhash.Sum64(document)) }

// ErrUpdateInvalid reports an update that does not lead to the configuration that it
// names, or does not apply to the one in force.
var ErrUpdateInvalid = errors.New("the update of the configuration is not usable; fetch the whole configuration")

// ErrDocumentTooLarge reports a configuration of more than MaxDocumentBytes.
var ErrDocumentTooLarge = fmt.Errorf("the configuration is larger than %d bytes; split it or remove what is not used", MaxDocumentBytes)

// CheckSize returns ErrDocumentTooLarge for a document above the limit.
func CheckSize(document []byte) error {
	if len(document) > MaxDocumentBytes {
		return fmt.Errorf("%w: it has %d bytes", ErrDocumentTooLarge, len(document))
	}
	return nil
}

// Update leads from one configuration to a later one. Data is the later document,
// compressed with zstd with the earlier one as its dictionary, so that a small change of
// a large configuration is small.
type Update struct {
	// Base is the configuration that the update applies to, or 0 if it needs none.
	Base     Sum            `cbor:"1,keyasint,omitempty"`
	Revision model.Revision `cbor:"2,keyasint"`
	Sum      Sum            `cbor:"3,keyasint"`
	Data     []byte         `cbor:"4,keyasint"`
}

// newUpdate returns the update from base, which may be nil, to a document.
func newUpdate(base []byte, revision model.Revision, document []byte) (Update, error) {
	// The fastest level misses most matches with a large dictionary whose text hardly
	// repeats itself.
	level := zstd.SpeedFastest
	if len(base)+len(document) > smallDocumentBytes {
		level = zstd.SpeedBetterCompression
	}
	options := []zstd.EOption{
		zstd.WithEncoderLevel(level), zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(windowSize(len(base) + len(document))),
	}
	update := Update{Revision: revision, Sum: SumOf(document)}
	if len(base) >= minBaseBytes {
		update.Base = SumOf(base)
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return Update{}, err
	}
	update.Data = encoder.EncodeAll(document, nil)
	return update, encoder.Close()
}

// windowSize returns the smallest power of two that covers a base and its document.
func windowSize(bytes int) int {
	return min(max(1<<bits.Len(uint(bytes)), zstd.MinWindowSize), maxWindowBytes)
}

// Apply returns the document and the revision to which consecutive updates lead from a
// document, which may be nil.
func Apply(document []byte, updates []Update) ([]byte, model.Revision, error) {
	if len(updates) > maxSteps {
		return nil, 0, fmt.Errorf("%w: it has %d steps", ErrUpdateInvalid, len(updates))
	}
	var revision model.Revision
	for _, update := range updates {
		options := []zstd.DOption{
			zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(MaxDocumentBytes), zstd.WithDecoderMaxWindow(maxWindowBytes),
		}
		if update.Base != 0 {
			if SumOf(document) != update.Base {
				return nil, 0, fmt.Errorf("%w: it applies to another configuration", ErrUpdateInvalid)
			}
			options = append(options, zstd.WithDecoderDictRaw(dictionaryID, document))
		}
		decoder, err := zstd.NewReader(nil, options...)
		if err != nil {
			return nil, 0, err
		}
		next, err := decoder.DecodeAll(update.Data, nil)
		decoder.Close()
		if errors.Is(err, zstd.ErrDecoderSizeExceeded) {
			return nil, 0, fmt.Errorf("%w: %w", ErrUpdateInvalid, ErrDocumentTooLarge)
		}
		if err != nil {
			return nil, 0, errors.Join(ErrUpdateInvalid, err)
		}
		if SumOf(next) != update.Sum {
			return nil, 0, fmt.Errorf("%w: it leads to %d bytes with another content", ErrUpdateInvalid, len(next))
		}
		document, revision = next, update.Revision
	}
	return document, revision, nil
}

// Archive holds the configuration in force with the updates that led to it, encoded
// for other nodes. It is not safe for concurrent use.
type Archive struct {
	document []byte
	revision model.Revision
	sum      Sum
	// steps are consecutive; the last one leads to the document.
	steps []Update
	// whole is the document encoded without a base, or nil until it is needed.
	whole *Update
}

// Document returns the configuration in force, or nil.
func (a *Archive) Document() []byte { return a.document }

// Revision returns the revision of the configuration in force, or 0.
func (a *Archive) Revision() model.Revision { return a.revision }

// Sum returns the Sum of the configuration in force.
func (a *Archive) Sum() Sum { return a.sum }

// Put replaces the configuration. The updates are those with which another node sent
// it, or nil if it came as a document. The error reports that an update could not be
// encoded; the configuration is replaced all the same.
func (a *Archive) Put(revision model.Revision, document []byte, updates []Update) error {
	before, sum := a.document, a.sum
	a.document, a.revision, a.sum, a.whole = document, revision, SumOf(document), nil
	switch {
	case len(updates) == 1 && updates[0].Base == 0:
		a.steps, a.whole = nil, &updates[0]
		return nil
	case len(updates) == 0 && len(before) >= minBaseBytes:
		update, err := newUpdate(before, revision, document)
		if err != nil {
			a.steps = nil
			return err
		}
		updates = []Update{update}
	}
	if len(updates) == 0 || updates[0].Base != sum {
		a.steps = nil
	}
	a.steps = append(slices.Clip(a.steps), updates...)
	for len(a.steps) > maxSteps || size(a.steps) > maxStepBytes {
		a.steps = a.steps[1:]
	}
	return nil
}

// UpdatesFrom returns the updates that lead to the configuration in force from the one
// with the given Sum: none if it is the same.
func (a *Archive) UpdatesFrom(base Sum) ([]Update, error) {
	if base == a.sum {
		return nil, nil
	}
	for i, step := range a.steps {
		if step.Base == base {
			return a.steps[i:], nil
		}
	}
	if a.whole == nil {
		update, err := newUpdate(nil, a.revision, a.document)
		if err != nil {
			return nil, err
		}
		a.whole = &update
	}
	return []Update{*a.whole}, nil
}

// size returns the number of bytes of the updates' data.
func size(updates []Update) int {
	total := 0
	for _, update := range updates {
		total += len(update.Data)
	}
	return total
}
