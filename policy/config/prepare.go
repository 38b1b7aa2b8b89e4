package config

import (
	"crypto/sha256"
	"slices"

	"zinniafall/policy/model"
)

// Put is a part to create in the store.
type Put struct {
	Key   string
	Value []byte
}

// prepared is a head that is ready to be swapped in, once its parts are
// written.
type prepared struct {
	head    *Head
	puts    []Put
	deletes []string
	// unchanged is true when the head is the current one.
	unchanged bool
}

// uses reports whether the head lists the part with the key.
func (p *prepared) uses(key string) bool {
	return slices.ContainsFunc(p.head.Parts, func(part Part) bool { return part.Key() == key })
}

// prepare builds the head that follows the current one.
func prepare(now Current, after *Document, change Change, edits []Edit, nonce Nonce) (*prepared, error) {
	old := now.Head
	if old == nil {
		old = new(Head)
	}
	fragments, buckets, err := split(after, old.Buckets)
	if err != nil {
		return nil, err
	}
	revision := old.Revision + 1
	next := &prepared{head: &Head{Revision: revision, Buckets: buckets}}
	for _, f := range fragments {
		next.addPart(old, f, revision, nonce)
	}
	next.head.Recent = append([]HistoryEntry{accepted(revision, change, edits)}, old.Recent...)
	next.head.Recent = next.head.Recent[:min(len(next.head.Recent), HistoryLength)]
	next.retire(old)
	return next, nil
}

// addPart reuses the old head's part with the same content, or makes one.
func (p *prepared) addPart(old *Head, f fragment, revision model.Revision, nonce Nonce) {
	part := Part{
		Section: f.section, Bucket: f.bucket, Since: revision, Nonce: nonce,
		Sum: sha256.Sum256(f.data), Size: uint32(len(f.data)),
	}
	same := slices.IndexFunc(old.Parts, func(o Part) bool {
		return o.Section == part.Section && o.Bucket == part.Bucket && o.Sum == part.Sum
	})
	if same >= 0 {
		p.head.Parts = append(p.head.Parts, old.Parts[same])
		return
	}
	p.head.Parts = append(p.head.Parts, part)
	p.puts = append(p.puts, Put{Key: part.Key(), Value: f.data})
}

// retire remembers the parts that the new head leaves out, and picks those
// that have been out of use for long enough to delete. No commit ever uses
// them again: it would have to start from a head that lists them.
func (p *prepared) retire(old *Head) {
	used := make(map[string]bool, len(p.head.Parts))
	for _, part := range p.head.Parts {
		used[part.Key()] = true
	}
	p.head.Retired = slices.Clone(old.Retired)
	for _, part := range old.Parts {
		if !used[part.Key()] {
			p.head.Retired = append(p.head.Retired, Retired{Nonce: part.Nonce, Digest: part.digest(), At: p.head.Revision})
		}
	}
	for _, r := range p.head.Retired {
		if r.At+retiredFor <= p.head.Revision && len(p.deletes) < maxDeletes {
			p.deletes = append(p.deletes, r.Key())
		}
	}
}

// forget drops retired parts that were deleted.
func (p *prepared) forget(deleted []string) {
	p.head.Retired = slices.DeleteFunc(p.head.Retired, func(r Retired) bool {
		return slices.Contains(deleted, r.Key())
	})
	if excess := len(p.head.Retired) - maxRetired; excess > 0 {
		p.head.Retired = p.head.Retired[excess:]
	}
}

// accepted is the history entry of a change.
func accepted(revision model.Revision, change Change, edits []Edit) HistoryEntry {
	a := HistoryEntry{
		Revision: revision, ChangeID: change.ID, Author: change.Author,
		UnixMilli: change.Time.UnixMilli(), Summary: change.Summary,
	}
	for _, edit := range edits[:min(len(edits), maxItems)] {
		a.Items = append(a.Items, edit.Item)
	}
	a.More = len(edits) - len(a.Items)
	return a
}
