package rollout

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/storeera"
)

// Unlimited is the value of Grant.Starts that sets no limit.
const Unlimited = ^uint64(0)

// Order is an operator's order to move a service to a version.
type Order struct {
	Service model.Service
	Version string
	// Duration is the time until the deadline, from the order's write.
	Duration time.Duration
	// At is the position at which the order was written.
	At storeera.Position
}

// Phase is a phase of a rollout.
type Phase string

// The phases of a rollout, in their usual order.
const (
	Canary     Phase = "canary"
	Expand     Phase = "expand"
	Drain      Phase = "drain"
	Completed  Phase = "completed"
	RolledBack Phase = "rolled-back"
)

// Final reports whether a rollout ends with the phase.
func (p Phase) Final() bool { return p == Completed || p == RolledBack }

// valid reports whether the phase is one of this release.
func (p Phase) valid() bool {
	return p == Canary || p == Expand || p == Drain || p.Final()
}

// State is the state of a rollout, as the store holds it (JSON) and nodes pass it on (CBOR).
type State struct {
	Service model.Service `cbor:"1,keyasint" json:"service"`
	Version string        `cbor:"2,keyasint" json:"version"`
	// Stable are the versions that served before. An owner of a version that is neither
	// stable nor the new one is closed, unless Stable is empty.
	Stable []string `cbor:"3,keyasint,omitempty" json:"stable,omitempty"`
	// Era and Revision are the position of the order that the state answers.
	Era      uint64 `cbor:"4,keyasint" json:"era,string"`
	Revision uint64 `cbor:"5,keyasint" json:"revision,string"`
	Phase    Phase  `cbor:"6,keyasint" json:"phase"`
	// Step rises with each new state, also with one that could not be written.
	Step uint64 `cbor:"7,keyasint" json:"step,string"`
	// ElapsedMs is the time since the order when the state was decided.
	ElapsedMs  int64 `cbor:"8,keyasint" json:"elapsed_ms"`
	DurationMs int64 `cbor:"9,keyasint" json:"duration_ms"`
	// Grants are for the owners of the new version, in Canary and Expand.
	Grants []Grant `cbor:"10,keyasint,omitempty" json:"grants,omitempty"`
	// Reason says why the version was rolled back.
	Reason string `cbor:"11,keyasint,omitempty" json:"reason,omitempty"`
	// Granted is the number of starts that all limited grants for the version allowed,
	// including those of owners that are no longer in Grants.
	Granted uint64 `cbor:"12,keyasint,omitempty" json:"granted,omitempty,string"`
	// Replaced are the versions of rollouts that other orders replaced.
	Replaced []Replaced `cbor:"13,keyasint,omitempty" json:"replaced,omitempty"`
	// Requests is the number of the service's starts that were counted since the order.
	Requests uint64 `cbor:"14,keyasint,omitempty" json:"requests,omitempty,string"`
	// Proven is set if the version served before the order: its owners are then open in all
	// running phases, without grants.
	Proven bool `cbor:"15,keyasint,omitempty" json:"proven,omitempty"`
	// Limits are for the owners' circuit breakers.
	Limits []RouteLimit `cbor:"16,keyasint,omitempty" json:"limits,omitempty"`
	// Draft marks a rollback that is not written yet. It closes the new version, but does not
	// open old owners that the drain closed: another controller may have completed the
	// rollout with their reports.
	Draft bool `cbor:"17,keyasint,omitempty" json:"-"`
}

// AsDraft returns a rollback that is not written yet as owners and controllers may be told
// of it.
func (s State) AsDraft() State {
	s.Draft = s.Phase == RolledBack
	return s
}

// RouteLimit is the pace-corrected time above which an answer on a route is bad.
type RouteLimit struct {
	Route string `cbor:"1,keyasint" json:"route"`
	Ms    int64  `cbor:"2,keyasint" json:"ms"`
}

// Replaced is a version whose rollout was replaced by one to another version. Its targets
// receive no requests, and its grants count if it is ordered again.
type Replaced struct {
	Version string `cbor:"1,keyasint" json:"version"`
	Granted uint64 `cbor:"2,keyasint" json:"granted,string"`
}

// Position returns the position of the order that the state answers.
func (s State) Position() storeera.Position {
	return storeera.Position{Era: s.Era, Revision: s.Revision}
}

// For returns the state with the grants of one node only: what its owner needs, and all that
// a poll has to carry. Controllers need the whole state.
func (s State) For(node model.NodeAddr) State {
	s.Grants = slices.DeleteFunc(slices.Clone(s.Grants), func(g Grant) bool { return g.Node != node })
	return s
}

// Closes reports whether the state gives the target of an owner no calls, so that entries
// place them elsewhere. Its Grants may be missing in Expand, and then count as given.
func (s State) Closes(node model.NodeAddr, process model.ProcessID, version string) bool {
	switch {
	case s.Phase == "":
		return false
	case version != s.Version && len(s.Stable) > 0 && !slices.Contains(s.Stable, version):
		return true
	case version != s.Version:
		return s.Phase == Drain || s.Phase == Completed
	case s.Proven && !s.Phase.Final():
		return false
	}
	granted := slices.ContainsFunc(s.Grants, func(g Grant) bool { return g.Node == node && g.Process == process })
	switch s.Phase {
	case RolledBack:
		return true
	case Canary:
		return !granted
	case Expand:
		return len(s.Grants) > 0 && !granted
	}
	return false
}

// Newer reports whether a replaces b: it answers a later order, or has a final phase where b
// does not, or has a higher step. A final phase outweighs the step, since it never returns to
// a running one for the same order; of two final phases, Completed wins, because the platform
// stops the old targets as soon as it is written.
func Newer(a, b State) bool {
	if c := a.Position().Compare(b.Position()); c != 0 {
		return c > 0
	}
	c := cmp.Or(cmp.Compare(finality(a.Phase), finality(b.Phase)), cmp.Compare(a.Step, b.Step))
	return c > 0 || c == 0 && b.Draft && !a.Draft
}

// finality orders phases by how little they may be replaced.
func finality(p Phase) int {
	switch p {
	case Completed:
		return 2
	case RolledBack:
		return 1
	default:
		return 0
	}
}

// Grant allows an owner's process a number of starts.
type Grant struct {
	Node    model.NodeAddr  `cbor:"1,keyasint"`
	Process model.ProcessID `cbor:"2,keyasint"`
	// Starts is cumulative over the process; Unlimited sets no limit.
	Starts uint64 `cbor:"3,keyasint"`
}

// grantDocument is the JSON representation of a Grant. Starts is a string because a store
// that reads numbers as floating-point ones would round Unlimited.
type grantDocument struct {
	Node    model.NodeAddr `json:"node"`
	Process string         `json:"process"`
	Starts  uint64         `json:"starts,string"`
}

// MarshalJSON returns the grant with the process in hexadecimal digits.
func (g Grant) MarshalJSON() ([]byte, error) {
	return json.Marshal(grantDocument{g.Node, g.Process.String(), g.Starts})
}

// UnmarshalJSON reads what MarshalJSON returns.
func (g *Grant) UnmarshalJSON(raw []byte) error {
	var d grantDocument
	if err := json.Unmarshal(raw, &d); err != nil {
		return err
	}
	process, err := model.ParseProcessID(d.Process)
	if err != nil {
		return err
	}
	*g = Grant{d.Node, process, d.Starts}
	return nil
}

// Evidence is what one owner of the service reports. Counts are cumulative since its
// process began.
type Evidence struct {
	Node    model.NodeAddr    `cbor:"1,keyasint"`
	Process model.ProcessID   `cbor:"2,keyasint"`
	Version string            `cbor:"3,keyasint,omitempty"`
	State   model.TargetState `cbor:"4,keyasint"`
	// Starts counts the calls that went to the target.
	Starts   uint64 `cbor:"5,keyasint"`
	InFlight int    `cbor:"6,keyasint,omitempty"`
	Queued   int    `cbor:"7,keyasint,omitempty"`
	// Closed is set while the owner's gate is closed for this rollout by its phase or
	// version. A gate whose grant is used up is not Closed.
	Closed bool `cbor:"8,keyasint,omitempty"`
	// Step is that of the newest State that the owner applies, and Era and Revision are the
	// position of its order.
	Step     uint64          `cbor:"9,keyasint,omitempty"`
	Routes   []RouteEvidence `cbor:"10,keyasint,omitempty"`
	Era      uint64          `cbor:"11,keyasint,omitempty"`
	Revision uint64          `cbor:"12,keyasint,omitempty"`
	// Slots is the number of calls that the warm target runs at once; 0 if not stated.
	Slots int `cbor:"13,keyasint,omitempty"`
	// Domain is the owner's failure domain. Canaries are spread over domains.
	Domain model.Domain `cbor:"14,keyasint,omitempty"`
	// Phase is that of the newest State that the owner applies. A controller that hears of a
	// rollback rolls back, too.
	Phase Phase `cbor:"15,keyasint,omitempty"`
	// Loads counts the answers by the load at which their calls started.
	Loads LoadEvidence `cbor:"16,keyasint,omitempty"`
	// OutOfService is set by the controller's node, not by the owner, if the domain is out
	// of service.
	OutOfService bool `cbor:"-"`
}

// RouteEvidence counts the answers on one route.
type RouteEvidence struct {
	Route    string `cbor:"1,keyasint"`
	Answers  uint64 `cbor:"2,keyasint"`
	Failures uint64 `cbor:"3,keyasint"`
	// Times is a histogram of the pace-corrected times of answers that did not fail, while
	// the target was warm.
	Times Histogram `cbor:"4,keyasint"`
}
