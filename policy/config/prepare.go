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

// preparedHead is a head to write to the store, with the parts to create
// before and the parts to delete.
type preparedHead struct {
	head    *Head
	puts    []Put
	deletes []string
	// unchanged reports whether the head is the current one.
	unchanged bool
}

// uses reports whether the head lists the part with the key.
func (p *preparedHead) uses(key string) bool {
	return slices.ContainsFunc(p.head.Parts, func(part Part) bool { return part.Key() == key })
}

// prepareHead builds the head that succeeds the current one.
func prepareHead(current Current, after *Document, change Change, edits []Edit, nonce Nonce) (*preparedHead, error) {
	old := current.Head
	if old == nil {
		old = new(Head)
	}
	contents, buckets, err := splitDocument(after, old.Buckets)
	if err != nil {
		return nil, err
	}
	revision := old.Revision + 1
	next := &preparedHead{head: &Head{Revision: revision, Buckets: buckets}}
	for _, f := range contents {
		next.addPart(old, f, revision, nonce)
	}
	next.head.Recent = append([]HistoryEntry{newHistoryEntry(revision, change, edits)}, old.Recent...)
	next.head.Recent = next.head.Recent[:min(len(next.head.Recent), HistoryLength)]
	next.retireParts(old)
	return next, nil
}

// addPart adds a part to the head. It reuses the part of the old head with the
// same content, if there is one.
func (p *preparedHead) addPart(old *Head, f partContent, revision model.Revision, nonce Nonce) {
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

// retireParts adds the parts that the new head no longer lists to its retired
// parts, and selects those to delete: the ones unused for retentionRevisions, and
// all that are beyond maxRetiredParts, since the head does not list them any more.
// No commit can list a retired part again, since it would have to be based on a head
// that lists it.
func (p *preparedHead) retireParts(old *Head) {
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
	excess := len(p.head.Retired) - maxRetiredParts
	for i, r := range p.head.Retired {
		expired := r.At+retentionRevisions <= p.head.Revision
		if i < excess || expired && len(p.deletes) < maxDeletesPerCommit {
			p.deletes = append(p.deletes, r.Key())
		}
	}
}

// removeDeleted removes deleted parts from the retired parts of the head. Of the
// rest it keeps the newest maxRetiredParts; older ones, whose deletion failed, are
// never deleted.
func (p *preparedHead) removeDeleted(deleted []string) {
	p.head.Retired = slices.DeleteFunc(p.head.Retired, func(r Retired) bool {
		return slices.Contains(deleted, r.Key())
	})
	if excess := len(p.head.Retired) - maxRetiredParts; excess > 0 {
		p.head.Retired = p.head.Retired[excess:]
	}
}

// newHistoryEntry returns the history entry of a change.
func newHistoryEntry(revision model.Revision, change Change, edits []Edit) HistoryEntry {
	a := HistoryEntry{
		Revision: revision, ChangeID: change.ID, Author: change.Author,
		UnixMilli: change.Time.UnixMilli(), Summary: change.Summary,
	}
	for _, edit := range edits[:min(len(edits), maxHistoryItems)] {
		a.Items = append(a.Items, edit.Item)
	}
	a.More = len(edits) - len(a.Items)
	return a
}
