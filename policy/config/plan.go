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

// Action says what became of an item.
type Action string

// The actions of a plan.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Edit is a difference between two documents in one item.
type Edit struct {
	Item
	Action Action `json:"action"`
	// Before and After are the item as operators wrote it; one is missing for
	// an item that was added or removed.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Effect is a difference in what is in force for one account, failure domain
// or service, also where only its template was edited.
type Effect struct {
	Item
	Action Action  `json:"action"`
	Fields []Field `json:"fields,omitempty"`
}

// Field is one setting before and after a change.
type Field struct {
	Name   string `json:"name"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Plan is what a change does.
type Plan struct {
	Edits   []Edit   `json:"edits"`
	Effects []Effect `json:"effects"`
	// Stranded are the services that no in-service failure domain carries any
	// longer.
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
	for _, name := range names(before, after) {
		edit := Edit{Item: Item{Kind: kind, Name: string(name)}, Before: encoded(before, name), After: encoded(after, name)}
		if bytes.Equal(edit.Before, edit.After) {
			continue
		}
		edit.Action = action(edit.Before != nil, edit.After != nil)
		edits = append(edits, edit)
	}
	return edits
}

// names lists the keys of both maps in order.
func names[K cmp.Ordered, V any](before, after map[K]V) []K {
	all := slices.AppendSeq(slices.Collect(maps.Keys(before)), maps.Keys(after))
	slices.Sort(all)
	return slices.Compact(all)
}

// encoded returns the entry's JSON, or nil when there is none.
func encoded[K ~string, V any](m map[K]V, name K) json.RawMessage {
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

func action(before, after bool) Action {
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
	oldKeys, newKeys := keysOf(old), keysOf(new)
	all := effectsOf(KindAccount, old.Accounts, new.Accounts, func(name model.Account, a settings.Account, isNew bool) []Field {
		keys := oldKeys[name]
		if isNew {
			keys = newKeys[name]
		}
		return []Field{
			value("weight", a.Weight), value("rate_per_second", a.RatePerSecond),
			value("concurrency", a.Concurrency), value("keys", strings.Join(keys, " ")),
		}
	})
	all = append(all, effectsOf(KindDomain, old.Domains, new.Domains, func(_ model.Domain, d settings.Domain, _ bool) []Field {
		return []Field{value("region", d.Region), value("out", d.Out)}
	})...)
	return append(all, effectsOf(KindService, old.Services, new.Services, func(_ model.Service, s settings.Service, _ bool) []Field {
		return []Field{
			value("idempotent_methods", s.IdempotentMethods), value("non_idempotent_paths", s.NonIdempotentPaths),
			value("timeout", s.Timeout), value("measure_rate", s.MeasureRate),
		}
	})...)
}

func value(name string, v any) Field { return Field{Name: name, After: fmt.Sprint(v)} }

// keysOf lists the first digits of each account's key hashes.
func keysOf(s *settings.Snapshot) map[model.Account][]string {
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

// effectsOf compares the fields of what two snapshots hold by name.
func effectsOf[K ~string, V any](kind Kind, old, new map[K]V, fields func(K, V, bool) []Field) []Effect {
	var all []Effect
	for _, name := range names(old, new) {
		was, before := old[name]
		is, after := new[name]
		effect := Effect{Item: Item{Kind: kind, Name: string(name)}, Action: action(before, after)}
		switch effect.Action {
		case Added:
			effect.Fields = fields(name, is, true)
		case Changed:
			effect.Fields = differing(fields(name, was, false), fields(name, is, true))
			if len(effect.Fields) == 0 {
				continue
			}
		}
		all = append(all, effect)
	}
	return all
}

// differing pairs the fields whose values differ.
func differing(old, new []Field) []Field {
	var changed []Field
	for i, f := range new {
		if old[i].After != f.After {
			changed = append(changed, Field{Name: f.Name, Before: old[i].After, After: f.After})
		}
	}
	return changed
}
