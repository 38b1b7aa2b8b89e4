// Package operatorapi is the HTTP interface that operators use, on any node.
//
// Every change goes through one path: a config.Change is planned or applied.
// Applying commits it through the platform's store and then waits, for a
// bounded time, until the nodes that membership knows have told that they
// apply it. Each call proves itself with an operator's bearer token, of which
// the node keeps the SHA-256 only.
package operatorapi

import (
	"time"

	"zinniafall/policy/config"
	"zinniafall/policy/model"
)

// Configuration is the answer to GET /v1/config. It has the members of a
// change, so that it can be edited and applied.
type Configuration struct {
	Base     model.Revision   `json:"base_revision"`
	Document *config.Document `json:"document"`
}

// Entry is the answer to GET /v1/config/KIND/NAME, with the member that the
// kind calls for.
type Entry struct {
	Revision model.Revision   `json:"revision"`
	Name     string           `json:"name"`
	Template *config.Template `json:"template,omitempty"`
	Account  *config.Account  `json:"account,omitempty"`
	Domain   *config.Domain   `json:"domain,omitempty"`
	Service  *config.Service  `json:"service,omitempty"`
}

// List is the answer to GET /v1/config/KIND.
type List struct {
	Revision model.Revision `json:"revision"`
	Items    []ListItem     `json:"items"`
}

// ListItem is one entry of a list.
type ListItem struct {
	Name string `json:"name"`
	// Template that the entry is made from, or the kind of a template.
	Template string `json:"template"`
	// Detail in a few words, such as "out".
	Detail string `json:"detail,omitempty"`
}

// DomainList is the answer to GET /v1/domains.
type DomainList struct {
	Revision model.Revision `json:"revision"`
	Domains  []DomainState  `json:"domains"`
}

// DomainState is a failure domain as it is in force.
type DomainState struct {
	Name   model.Domain `json:"name"`
	Region model.Region `json:"region"`
	Out    bool         `json:"out"`
	// Services with a target in the failure domain.
	Services []model.Service `json:"services"`
}

// History is the answer to GET /v1/history, the newest change first.
type History struct {
	Changes []config.HistoryEntry `json:"changes"`
}

// ChangeResult is the answer to POST /v1/apply and, without InForce, to POST
// /v1/plan.
type ChangeResult struct {
	config.Outcome
	// InForce is set when the change is accepted.
	InForce *InForce `json:"in_force,omitempty"`
}

// InForce says where a revision is in force.
type InForce struct {
	// Nodes is the number of nodes that apply the revision or a higher one.
	Nodes int `json:"nodes"`
	// Missing are the nodes that were not heard to do so in time.
	Missing []model.NodeAddr `json:"missing,omitempty"`
	// Waited is the time from the commit, in milliseconds.
	WaitedMS int64 `json:"waited_ms"`
}

// Complete reports that no node is missing.
func (f *InForce) Complete() bool { return f != nil && len(f.Missing) == 0 }

// Member is a node as the asked node knows it.
type Member struct {
	Node    model.NodeAddr `json:"node"`
	Domain  model.Domain   `json:"domain"`
	Service model.Service  `json:"service,omitempty"`
	State   string         `json:"state"`
}

// Status is the answer to GET /v1/status.
type Status struct {
	Node model.NodeAddr `json:"node"`
	// Process identifies the node's process.
	Process string `json:"process"`
	State   string `json:"state"`
	// Revision in force at the asked node.
	Revision model.Revision `json:"revision"`
	// MayCommit is false while the node is cut off from more than half of the
	// failure domains.
	MayCommit bool     `json:"may_commit"`
	Members   []Member `json:"members"`
}

// Quarantined is a request that is refused because it crashed targets.
type Quarantined struct {
	// ID to lift it by.
	ID      string        `json:"id"`
	Service model.Service `json:"service"`
	Account model.Account `json:"account"`
	// Crashes is the number of targets that it crashed.
	Crashes int       `json:"crashes"`
	Expires time.Time `json:"expires"`
}

// QuarantineList is the answer to GET /v1/quarantine.
type QuarantineList struct {
	Requests []Quarantined `json:"requests"`
}

// ErrorKind names the cause of an Error.
type ErrorKind string

// The kinds of error.
const (
	Unauthenticated ErrorKind = "unauthenticated"
	BadInput        ErrorKind = "bad-input"
	NotFound        ErrorKind = "not-found"
	CutOff          ErrorKind = "cut-off"
	Internal        ErrorKind = "internal"
)

// Error is the body of an answer that is not a success and not an Applied.
type Error struct {
	Kind   ErrorKind `json:"kind"`
	Detail string    `json:"detail"`
	Remedy string    `json:"remedy"`
	// Problems of bad input, every one found.
	Problems []config.Problem `json:"problems,omitempty"`
}

// Error gives the detail and the remedy.
func (e *Error) Error() string { return e.Detail + ". " + e.Remedy + "." }
