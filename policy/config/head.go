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
	// HeadKey is the store key of the head.
	HeadKey = "zinniafall/configuration/head"
	// partKeyPrefix is the prefix of the store keys of parts.
	partKeyPrefix = "zinniafall/configuration/parts/"
	// MaxValueBytes is the size in bytes of the largest value that is written
	// to the store.
	MaxValueBytes = 1 << 20
	// HistoryLength is the number of accepted changes that a head lists. A
	// change based on a revision older than all of them is rejected.
	HistoryLength = 64
	// maxHistoryItems limits the items that one history entry lists.
	maxHistoryItems = 16
	// retentionRevisions is the number of revisions for which an unused part
	// is kept, for nodes that still read an older head.
	retentionRevisions = 8
	// maxDeletesPerCommit limits the parts that one commit deletes.
	maxDeletesPerCommit = 32
	// maxRetiredParts limits the parts to delete that a head lists.
	maxRetiredParts = 4096
	// keyDigestSize is the number of bytes of a Sum that a store key
	// contains.
	keyDigestSize = 8
)

// Nonce makes the keys of the parts that one commit writes unique, so that a
// part is written once, may be listed by later heads, and is deleted once.
type Nonce [8]byte

// Sum is the SHA-256 of a part.
type Sum [sha256.Size]byte

// Head is the value whose compare-and-swap in the store accepts a
// configuration.
type Head struct {
	Revision model.Revision `cbor:"1,keyasint"`
	// Parts are the parts of the document, each stored as a value of its own.
	Parts []Part `cbor:"2,keyasint"`
	// Recent are the latest changes, newest first; the first one is that of
	// this revision.
	Recent []HistoryEntry `cbor:"3,keyasint"`
	// Retired are the parts that are no longer used and not yet deleted.
	Retired []Retired `cbor:"4,keyasint"`
	// Buckets is the number of hash buckets of each section.
	Buckets Buckets `cbor:"5,keyasint"`
}

// Part is a reference to a part of the document.
type Part struct {
	Section Section `cbor:"1,keyasint"`
	Bucket  uint16  `cbor:"2,keyasint"`
	// Since is the first revision with this content.
	Since model.Revision `cbor:"3,keyasint"`
	Nonce Nonce          `cbor:"4,keyasint"`
	Sum   Sum            `cbor:"5,keyasint"`
	Size  uint32         `cbor:"6,keyasint"`
}

// Key returns the store key of the part.
func (p Part) Key() string { return partKey(p.Nonce, p.digest()) }

// digest returns the beginning of the sum, which the store key contains.
func (p Part) digest() (d [keyDigestSize]byte) {
	copy(d[:], p.Sum[:])
	return d
}

func partKey(nonce Nonce, digest [keyDigestSize]byte) string {
	return partKeyPrefix + hex.EncodeToString(nonce[:]) + "/" + hex.EncodeToString(digest[:])
}

// Retired identifies a part that is no longer used.
type Retired struct {
	Nonce  Nonce               `cbor:"1,keyasint"`
	Digest [keyDigestSize]byte `cbor:"2,keyasint"`
	// At is the first revision that does not use the part.
	At model.Revision `cbor:"3,keyasint"`
}

// Key returns the store key of the part.
func (r Retired) Key() string { return partKey(r.Nonce, r.Digest) }

// HistoryEntry is an accepted change in the history of a head.
type HistoryEntry struct {
	Revision model.Revision `cbor:"1,keyasint" json:"revision"`
	ChangeID string         `cbor:"2,keyasint" json:"change_id"`
	Author   string         `cbor:"3,keyasint" json:"author"`
	// UnixMilli is the time of the commit by the clock of the committing
	// node.
	UnixMilli int64  `cbor:"4,keyasint" json:"unix_ms"`
	Summary   string `cbor:"5,keyasint" json:"summary,omitempty"`
	// Items are the items that the change touched; More is the number of
	// omitted ones.
	Items []Item `cbor:"6,keyasint" json:"items"`
	More  int    `cbor:"7,keyasint" json:"more,omitempty"`
}

// Time returns the time of the commit.
func (a HistoryEntry) Time() time.Time { return time.UnixMilli(a.UnixMilli) }

// IncompleteError rejects a head or bundle that cannot be decoded or has a
// missing or damaged part.
type IncompleteError struct {
	Revision model.Revision
	Detail   string
}

// Error returns the revision, the cause and the remedy.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("configuration %d is incomplete: %s; the active configuration stays in use; apply the change again if this error persists", e.Revision, e.Detail)
}

// cborDecoder decodes messages from the network and the store within fixed
// limits.
var cborDecoder = strictcbor.Decoder(strictcbor.Limits{KnownFields: true})

// Encode returns the value to store under HeadKey.
func (h *Head) Encode() ([]byte, error) {
	raw, err := cbor.Marshal(h)
	if err == nil && len(raw) > MaxValueBytes {
		err = fmt.Errorf("the head of the configuration has %d bytes, more than a value of the store may have; remove accounts", len(raw))
	}
	return raw, err
}

// DecodeHead decodes a head. The error is an *IncompleteError.
func DecodeHead(raw []byte) (*Head, error) {
	head := new(Head)
	if err := cborDecoder.Unmarshal(raw, head); err != nil {
		return nil, &IncompleteError{Detail: err.Error()}
	}
	if head.Revision == 0 || len(head.Recent) == 0 || head.Recent[0].Revision != head.Revision {
		return nil, &IncompleteError{Revision: head.Revision, Detail: "the history of the head does not begin with its own revision"}
	}
	return head, nil
}

// HistoryEntry returns the history entry of a change.
func (h *Head) HistoryEntry(changeID string) (HistoryEntry, bool) {
	i := slices.IndexFunc(h.Recent, func(a HistoryEntry) bool { return a.ChangeID == changeID })
	if i < 0 {
		return HistoryEntry{}, false
	}
	return h.Recent[i], true
}

// ChangesSince returns the changes after a revision, oldest first. The result
// complete is false if the history does not reach back to that revision.
func (h *Head) ChangesSince(base model.Revision) (changes []HistoryEntry, complete bool) {
	for _, a := range slices.Backward(h.Recent) {
		if a.Revision > base {
			changes = append(changes, a)
		}
	}
	return changes, model.Revision(len(changes)) == h.Revision-min(base, h.Revision)
}
