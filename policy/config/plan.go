package config

import (
	"bytes"
	"cmp"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

// Action says how an item changes.
type Action string

// The actions in a plan.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Edit is a difference between two documents in one item.
type Edit struct {
	Item
	Action Action `json:"action"`
	// Before and After are the item as operators wrote it. Before is empty
	// for an added item and After for a removed one.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Effect is a difference between the compiled settings of one account, failure
// domain or service, which may also result from an edit of its template.
type Effect struct {
	Item
	Action Action  `json:"action"`
	Fields []Field `json:"fields,omitempty"`
}

// Field is a setting before and after a change.
type Field struct {
	Name   string `json:"name"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Plan lists the differences that a change makes.
type Plan struct {
	Edits   []Edit   `json:"edits"`
	Effects []Effect `json:"effects"`
	// Stranded are the services that would have no target in service any
	// more.
	Stranded []StrandedService `json:"stranded,omitempty"`
}

// NewPlan compares two documents and their snapshots.
func NewPlan(before, after *Document, old, new *settings.Snapshot) Plan {
	return Plan{Edits: Edits(before, after), Effects: effects(old, new)}
}

// Edits lists the items that differ between two documents.
func Edits(before, after *Document) []Edit {
	edits := editsOf(KindTemplate, before.Templates, after.Templates)
	edits = append(edits, editsOf(KindAccount, before.Accounts, after.Accounts)...)
	edits = append(edits, editsOf(KindDomain, before.Domains, after.Domains)...)
	return append(edits, editsOf(KindService, before.Services, after.Services)...)
}

func editsOf[K ~string, V any](kind Kind, before, after map[K]V) []Edit {
	var edits []Edit
	for _, name := range sortedKeys(before, after) {
		edit := Edit{Item: Item{Kind: kind, Name: string(name)}, Before: encodeEntry(before, name), After: encodeEntry(after, name)}
		if bytes.Equal(edit.Before, edit.After) {
			continue
		}
		edit.Action = actionFor(edit.Before != nil, edit.After != nil)
		edits = append(edits, edit)
	}
	return edits
}

// sortedKeys returns the keys of both maps, sorted and without duplicates.
func sortedKeys[K cmp.Ordered, V any](before, after map[K]V) []K {
	all := slices.AppendSeq(slices.Collect(maps.Keys(before)), maps.Keys(after))
	slices.Sort(all)
	return slices.Compact(all)
}

// encodeEntry returns the JSON of an entry, or nil if there is no such entry.
func encodeEntry[K ~string, V any](m map[K]V, name K) json.RawMessage {
	value, ok := m[name]
	if !ok {
		return nil
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return json.RawMessage(fmt.Sprintf("%q", err.Error()))
	}
	return raw
}

func actionFor(before, after bool) Action {
	switch {
	case !before:
		return Added
	case !after:
		return Removed
	default:
		return Changed
	}
}

func effects(old, new *settings.Snapshot) []Effect {
	oldKeys, newKeys := keyPrefixes(old), keyPrefixes(new)
	all := effectsOf(KindAccount, old.Accounts, new.Accounts, func(name model.Account, a settings.Account, isNew bool) []Field {
		keys := oldKeys[name]
		if isNew {
			keys = newKeys[name]
		}
		return []Field{
			newField("weight", a.Weight), newField("rate_per_second", a.RatePerSecond),
			newField("concurrency", a.Concurrency), newField("keys", strings.Join(keys, " ")),
		}
	})
	all = append(all, effectsOf(KindDomain, old.Domains, new.Domains, func(_ model.Domain, d settings.Domain, _ bool) []Field {
		return []Field{newField("region", d.Region), newField("out", d.Out)}
	})...)
	return append(all, effectsOf(KindService, old.Services, new.Services, func(_ model.Service, s settings.Service, _ bool) []Field {
		return []Field{
			newField("idempotent_methods", s.IdempotentMethods), newField("non_idempotent_paths", s.NonIdempotentPaths),
			newField("timeout", s.Timeout), newField("measure_rate", s.MeasureRate),
		}
	})...)
}

func newField(name string, v any) Field { return Field{Name: name, After: fmt.Sprint(v)} }

// keyPrefixes returns the first bytes of the key hashes of each account, in
// hexadecimal.
func keyPrefixes(s *settings.Snapshot) map[model.Account][]string {
	const digits = 4
	keys := make(map[model.Account][]string)
	for hash, account := range s.AccountByKey {
		keys[account] = append(keys[account], hex.EncodeToString(hash[:digits]))
	}
	for _, list := range keys {
		slices.Sort(list)
	}
	return keys
}

// effectsOf compares the entries of two snapshots field by field.
func effectsOf[K ~string, V any](kind Kind, old, new map[K]V, fields func(K, V, bool) []Field) []Effect {
	var all []Effect
	for _, name := range sortedKeys(old, new) {
		oldEntry, inOld := old[name]
		newEntry, inNew := new[name]
		effect := Effect{Item: Item{Kind: kind, Name: string(name)}, Action: actionFor(inOld, inNew)}
		switch effect.Action {
		case Added:
			effect.Fields = fields(name, newEntry, true)
		case Changed:
			effect.Fields = changedFields(fields(name, oldEntry, false), fields(name, newEntry, true))
			if len(effect.Fields) == 0 {
				continue
			}
		}
		all = append(all, effect)
	}
	return all
}

// changedFields returns the fields that differ, with both values.
func changedFields(old, new []Field) []Field {
	var changed []Field
	for i, f := range new {
		if old[i].After != f.After {
			changed = append(changed, Field{Name: f.Name, Before: old[i].After, After: f.After})
		}
	}
	return changed
}
