package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"zinniafall/policy/model"
)

// Item names one template, account, failure domain or service.
type Item struct {
	Kind Kind   `cbor:"1,keyasint" json:"kind"`
	Name string `cbor:"2,keyasint" json:"name"`
}

// String gives the kind and the name.
func (i Item) String() string { return string(i.Kind) + " " + i.Name }

// Change is what an operator asks for: a whole document, or a change set that
// puts, removes and takes in or out of service.
type Change struct {
	// ID is drawn by the operator's command; a repeated command bears the same
	// one and is applied once.
	ID string `json:"change_id"`
	// Base is the revision that the operator saw. What was changed since then
	// by others is never overwritten.
	Base model.Revision `json:"base_revision"`
	// Summary is the operator's reason.
	Summary string `json:"summary,omitempty"`
	// Force allows a service's last failure domain to be taken out.
	Force bool `json:"force,omitempty"`
	// Document replaces the whole configuration when it is set.
	Document *Document `json:"document,omitempty"`
	// Set puts each of its entries, whole, in place of the one so named.
	Set *Document `json:"set,omitempty"`
	// Remove lists entries to remove.
	Remove []Item `json:"remove,omitempty"`
	// DomainsOut takes failure domains out of service (true) or back in.
	DomainsOut map[model.Domain]bool `json:"domains_out,omitempty"`

	// Author and Time are set by the node that commits.
	Author string    `json:"-"`
	Time   time.Time `json:"-"`
}

// The largest lengths of the texts of a change, in bytes.
const (
	maxChangeID = 64
	maxSummary  = 200
)

// ParseChange reads a change and returns every problem of form in it. The
// meaning is checked against the configuration that it is applied to.
func ParseChange(raw []byte) (Change, []Problem) {
	var change Change
	value, problem := decode(raw)
	if problem != nil {
		return change, []Problem{*problem}
	}
	object, ok := value.(map[string]any)
	if !ok {
		return change, []Problem{{Message: "not an object", Remedy: "Send a change as a JSON object"}}
	}
	var problems []Problem
	for _, member := range []string{"document", "set"} {
		if part, given := object[member]; given {
			problems = append(problems, validate(documentSchema(), part, "/"+member)...)
		}
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil && len(problems) == 0 {
		problems = append(problems, Problem{Message: err.Error(), Remedy: "Correct the member that the message names"})
	}
	problems = append(problems, change.form()...)
	return change, sorted(problems)
}

// form checks the members of the change itself.
func (c *Change) form() []Problem {
	var problems []Problem
	if c.ID == "" || len(c.ID) > maxChangeID {
		add(&problems, "/change_id", "missing or too long", fmt.Sprintf("Draw a random id of at most %d letters", maxChangeID))
	}
	if len(c.Summary) > maxSummary {
		add(&problems, "/summary", "too long", fmt.Sprintf("Keep it to %d bytes", maxSummary))
	}
	set := c.Set != nil || len(c.Remove) > 0 || len(c.DomainsOut) > 0
	if set == (c.Document != nil) {
		add(&problems, "/document", "a change is either a whole document or a change set", "Give document, or some of set, remove and domains_out")
	}
	for i, item := range c.Remove {
		if !slices.Contains([]Kind{KindTemplate, KindAccount, KindDomain, KindService}, item.Kind) {
			add(&problems, fmt.Sprintf("/remove/%d/kind", i), "unknown kind", "Use template, account, domain or service")
		}
	}
	return problems
}

// Apply returns the document that the change makes of another one, which it
// leaves as it was.
func (c *Change) Apply(before *Document) (*Document, []Problem) {
	if c.Document != nil {
		return c.Document, nil
	}
	after := &Document{
		Templates: copied(before.Templates),
		Accounts:  copied(before.Accounts),
		Domains:   copied(before.Domains),
		Services:  copied(before.Services),
	}
	if c.Set != nil {
		maps.Copy(after.Templates, c.Set.Templates)
		maps.Copy(after.Accounts, c.Set.Accounts)
		maps.Copy(after.Domains, c.Set.Domains)
		maps.Copy(after.Services, c.Set.Services)
	}
	var problems []Problem
	for i, item := range c.Remove {
		if !after.remove(item) {
			add(&problems, fmt.Sprintf("/remove/%d", i), "no "+item.String(), "Correct the name; `zinniafall list` shows the names")
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.DomainsOut)) {
		domain, ok := after.Domains[name]
		if !ok {
			add(&problems, "/domains_out/"+escape(string(name)), "no such failure domain", "Correct the name; `zinniafall domain list` shows the names")
			continue
		}
		domain.Out = c.DomainsOut[name]
		after.Domains[name] = domain
	}
	return after, problems
}

func copied[K comparable, V any](m map[K]V) map[K]V {
	result := make(map[K]V, len(m))
	maps.Copy(result, m)
	return result
}

// remove deletes an entry and reports whether there was one.
func (d *Document) remove(item Item) bool {
	var found bool
	switch item.Kind {
	case KindTemplate:
		_, found = d.Templates[item.Name]
		delete(d.Templates, item.Name)
	case KindAccount:
		_, found = d.Accounts[model.Account(item.Name)]
		delete(d.Accounts, model.Account(item.Name))
	case KindDomain:
		_, found = d.Domains[model.Domain(item.Name)]
		delete(d.Domains, model.Domain(item.Name))
	case KindService:
		_, found = d.Services[model.Service(item.Name)]
		delete(d.Services, model.Service(item.Name))
	}
	return found
}
