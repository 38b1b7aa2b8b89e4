// Package operatorapi provides the HTTP API for operators, which every node
// serves.
//
// All changes are made by planning or applying a config.Change. Applying commits
// the change through the platform's store and then waits, for a bounded time,
// until all live members have reported it as in force. Each request is
// authenticated by an operator's bearer token, of which the node stores only the
// SHA-256.
package operatorapi

import (
	"time"

	"zinniafall/policy/config"
	"zinniafall/policy/model"
)

// Configuration is the response to GET /v1/config. Its members are those of a
// change, so that it can be edited and applied.
type Configuration struct {
	Base     model.Revision   `json:"base_revision"`
	Document *config.Document `json:"document"`
}

// Entry is the response to GET /v1/config/KIND/NAME. Only the member for the
// kind is set.
type Entry struct {
	Revision model.Revision   `json:"revision"`
	Name     string           `json:"name"`
	Template *config.Template `json:"template,omitempty"`
	Account  *config.Account  `json:"account,omitempty"`
	Domain   *config.Domain   `json:"domain,omitempty"`
	Service  *config.Service  `json:"service,omitempty"`
}

// List is the response to GET /v1/config/KIND.
type List struct {
	Revision model.Revision `json:"revision"`
	Items    []ListItem     `json:"items"`
}

// ListItem is one entry of a list.
type ListItem struct {
	Name string `json:"name"`
	// Template is the template of the entry, or the kind if it is a template.
	Template string `json:"template"`
	// Detail is a short description, such as "out".
	Detail string `json:"detail,omitempty"`
}

// DomainList is the response to GET /v1/domains.
type DomainList struct {
	Revision model.Revision `json:"revision"`
	Domains  []DomainState  `json:"domains"`
}

// DomainState is the state of a failure domain in the configuration in force.
type DomainState struct {
	Name   model.Domain `json:"name"`
	Region model.Region `json:"region"`
	Out    bool         `json:"out"`
	// Services are the services with a target in the failure domain.
	Services []model.Service `json:"services"`
}

// History is the response to GET /v1/history, with the newest change first.
type History struct {
	Changes []config.HistoryEntry `json:"changes"`
}

// ChangeResult is the response to POST /v1/apply and, without InForce, to POST
// /v1/plan.
type ChangeResult struct {
	config.Outcome
	// InForce is set when the change was accepted or changes nothing.
	InForce *InForce `json:"in_force,omitempty"`
}

// InForce reports where a revision is in force.
type InForce struct {
	// Nodes is the number of nodes on which the revision or a higher one is in
	// force.
	Nodes int `json:"nodes"`
	// Missing are the nodes that did not report it as in force in time.
	Missing []model.NodeAddr `json:"missing,omitempty"`
	// WaitedMS is the time since the commit in milliseconds.
	WaitedMS int64 `json:"waited_ms"`
}

// Complete reports whether no node is missing.
func (f *InForce) Complete() bool { return f != nil && len(f.Missing) == 0 }

// Member is a member of the fleet as known to the node that responds.
type Member struct {
	Node    model.NodeAddr `json:"node"`
	Domain  model.Domain   `json:"domain"`
	Service model.Service  `json:"service,omitempty"`
	State   string         `json:"state"`
}

// Status is the response to GET /v1/status.
type Status struct {
	Node model.NodeAddr `json:"node"`
	// Process identifies the node's process.
	Process string `json:"process"`
	State   string `json:"state"`
	// Revision is the revision in force at the node that responds.
	Revision model.Revision `json:"revision"`
	// MayCommit is false while the node is cut off from more than half of the
	// failure domains.
	MayCommit bool     `json:"may_commit"`
	Members   []Member `json:"members"`
}

// Quarantined is a request in quarantine: it is refused because it crashed
// targets.
type Quarantined struct {
	// ID identifies the quarantine, for lifting it.
	ID      string        `json:"id"`
	Service model.Service `json:"service"`
	Account model.Account `json:"account"`
	// Crashes is the number of targets that the request crashed.
	Crashes int       `json:"crashes"`
	Expires time.Time `json:"expires"`
}

// QuarantineList is the response to GET /v1/quarantine and to DELETE
// /v1/quarantine/ID.
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

// Error is the body of an unsuccessful response that is not a
// ChangeResult.
type Error struct {
	Kind   ErrorKind `json:"kind"`
	Detail string    `json:"detail"`
	Remedy string    `json:"remedy"`
	// Problems are all problems found in bad input.
	Problems []config.Problem `json:"problems,omitempty"`
}

// Error returns the detail and the remedy.
func (e *Error) Error() string { return e.Detail + ". " + e.Remedy + "." }
