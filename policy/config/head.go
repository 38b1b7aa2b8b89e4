package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniafall/policy/model"
	"zinniafall/policy/strictcbor"
)

const (
	// HeadKey is the store's key of the head.
	HeadKey = "zinniafall/configuration/head"
	// partPrefix begins the store's keys of parts.
	partPrefix = "zinniafall/configuration/parts/"
	// MaxValueBytes is the largest value in bytes that is written to the store.
	MaxValueBytes = 1 << 20
	// HistoryLength is the number of accepted changes that a head remembers. A
	// change whose base is older than all of them is refused.
	HistoryLength = 64
	// maxItems bounds the items that one remembered change lists.
	maxItems = 16
	// retiredFor is the number of revisions for which a part that is no longer
	// used is kept for nodes that still read an older head.
	retiredFor = 8
	// maxDeletes bounds the parts that one commit deletes.
	maxDeletes = 32
	// maxRetired bounds the parts that a head remembers to delete.
	maxRetired = 4096
	// digestSize is the number of a sum's bytes that a key holds.
	digestSize = 8
)

// Nonce tells apart the parts that different commits wrote, so that a part is
// written once, used by the heads that follow and deleted once.
type Nonce [8]byte

// Sum is the SHA-256 of a part.
type Sum [sha256.Size]byte

// Head is the one value that decides which configuration is accepted.
type Head struct {
	Revision model.Revision `cbor:"1,keyasint"`
	// Parts of the document, each a value of its own.
	Parts []Part `cbor:"2,keyasint"`
	// Recent are the latest changes, this revision's first.
	Recent []HistoryEntry `cbor:"3,keyasint"`
	// Retired are parts that no longer are used and not yet deleted.
	Retired []Retired `cbor:"4,keyasint"`
	// Buckets is the number of parts that each section is hashed into.
	Buckets Buckets `cbor:"5,keyasint"`
}

// Part is a reference to a part of the document.
type Part struct {
	Section Section `cbor:"1,keyasint"`
	Bucket  uint16  `cbor:"2,keyasint"`
	// Since is the revision that first had this content.
	Since model.Revision `cbor:"3,keyasint"`
	Nonce Nonce          `cbor:"4,keyasint"`
	Sum   Sum            `cbor:"5,keyasint"`
	Size  uint32         `cbor:"6,keyasint"`
}

// Key is the store's key of the part.
func (p Part) Key() string { return partKey(p.Nonce, p.digest()) }

// digest is the beginning of the part's sum.
func (p Part) digest() (d [digestSize]byte) {
	copy(d[:], p.Sum[:])
	return d
}

func partKey(nonce Nonce, digest [digestSize]byte) string {
	return partPrefix + hex.EncodeToString(nonce[:]) + "/" + hex.EncodeToString(digest[:])
}

// Retired is a part that is no longer used.
type Retired struct {
	Nonce  Nonce            `cbor:"1,keyasint"`
	Digest [digestSize]byte `cbor:"2,keyasint"`
	// At is the revision that stopped using it.
	At model.Revision `cbor:"3,keyasint"`
}

// Key is the store's key of the part.
func (r Retired) Key() string { return partKey(r.Nonce, r.Digest) }

// HistoryEntry is a change as history remembers it.
type HistoryEntry struct {
	Revision model.Revision `cbor:"1,keyasint" json:"revision"`
	ChangeID string         `cbor:"2,keyasint" json:"change_id"`
	Author   string         `cbor:"3,keyasint" json:"author"`
	// UnixMilli is the time by the clock of the node that committed.
	UnixMilli int64  `cbor:"4,keyasint" json:"unix_ms"`
	Summary   string `cbor:"5,keyasint" json:"summary,omitempty"`
	// Items are what the change touched; More counts those left out.
	Items []Item `cbor:"6,keyasint" json:"items"`
	More  int    `cbor:"7,keyasint" json:"more,omitempty"`
}

// Time is when the change was committed.
func (a HistoryEntry) Time() time.Time { return time.UnixMilli(a.UnixMilli) }

// IncompleteError refuses a head or its parts: some are missing, damaged or of
// a wrong form.
type IncompleteError struct {
	Revision model.Revision
	Detail   string
}

// Error names the revision, what is wrong and the remedy.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("configuration %d is incomplete: %s; the one in force is kept, apply the change again if this stays", e.Revision, e.Detail)
}

// decoding bounds what a decoder takes from the network or the store.
var decoding = strictcbor.Decoder(strictcbor.Limits{KnownFields: true})

// Encode returns the value to write at HeadKey.
func (h *Head) Encode() ([]byte, error) {
	raw, err := cbor.Marshal(h)
	if err == nil && len(raw) > MaxValueBytes {
		err = fmt.Errorf("the list of parts has %d bytes, more than a value of the store holds; remove accounts", len(raw))
	}
	return raw, err
}

// DecodeHead reads a head.
func DecodeHead(raw []byte) (*Head, error) {
	head := new(Head)
	if err := decoding.Unmarshal(raw, head); err != nil {
		return nil, &IncompleteError{Detail: err.Error()}
	}
	if head.Revision == 0 || len(head.Recent) == 0 || head.Recent[0].Revision != head.Revision {
		return nil, &IncompleteError{Revision: head.Revision, Detail: "the head's history does not begin with its revision"}
	}
	return head, nil
}

// HistoryEntry finds a change in the head's history.
func (h *Head) HistoryEntry(changeID string) (HistoryEntry, bool) {
	i := slices.IndexFunc(h.Recent, func(a HistoryEntry) bool { return a.ChangeID == changeID })
	if i < 0 {
		return HistoryEntry{}, false
	}
	return h.Recent[i], true
}

// ChangesSince returns the changes after a revision, oldest first; complete is false
// when the history does not reach back that far.
func (h *Head) ChangesSince(base model.Revision) (changes []HistoryEntry, complete bool) {
	for _, a := range slices.Backward(h.Recent) {
		if a.Revision > base {
			changes = append(changes, a)
		}
	}
	return changes, model.Revision(len(changes)) == h.Revision-min(base, h.Revision)
}
