package admission

import (
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// Ticket identifies one offered call. The user of the package chooses it and
// never uses it twice with one Owner.
type Ticket uint64

// Announcement is what a target reports about itself, first and at each
// renewal.
type Announcement struct {
	// Instance identifies the target's process. Another instance at the same
	// address is a new process and starts cold.
	Instance string
	// Slots is the number of calls that the target runs at once when warm.
	Slots int
	// Connections bounds the connections to the target, and so the calls in
	// flight; 0 means Options.Connections.
	Connections int
	// Cold is true while the target reports that it has just started.
	Cold bool
	// Lease is the time until the announcement expires unless it is renewed; 0
	// means Options.Lease.
	Lease time.Duration
}

// Call is a call that asks for admission.
type Call struct {
	Ticket  Ticket
	Account model.Account
	// Deadline is the time after which nobody waits for the answer. The zero
	// time means that only Options.MaxWait bounds the wait.
	Deadline time.Time
	// Isolated is true for a request that is suspected of crashing targets. It
	// runs only while no other isolated call is in flight at the target.
	Isolated bool
}

// Verdict is the answer to an offered call.
type Verdict uint8

// The verdicts.
const (
	// Start means that the call is in flight from now on.
	Start Verdict = iota + 1
	// Wait means that the call is queued; a Release ends the wait.
	Wait
	// Refuse means that the call does not run here.
	Refuse
)

// Decision is the result of Offer.
type Decision struct {
	Verdict Verdict
	// Refusal is set when the verdict is Refuse; its Run is always "no".
	Refusal *problem.Error
}

// Release ends the wait of a queued call.
type Release struct {
	Ticket Ticket
	// Refusal is nil when the call starts now; otherwise the call does not
	// run here and the refusal's Run is "no".
	Refusal *problem.Error
}

// Result states how a call that was in flight ended.
type Result uint8

// The results.
const (
	// Completed means that the target answered the call.
	Completed Result = iota + 1
	// Failed means that the target answered with a status of 500 or above that
	// is not Shed.
	Failed
	// Shed means that the target answered 503 with Retry-After: it is shedding
	// load.
	Shed
	// Crashed means that the connection to the target was refused or reset.
	Crashed
	// Abandoned means that the caller left before the target answered. It says
	// nothing about the target except that the call took at least that long.
	Abandoned
)

// Outcome is how the node saw a call end that was in flight.
type Outcome struct {
	Result Result
	// ServiceTime is the time between the first byte sent to the target and
	// the last byte received from it.
	ServiceTime time.Duration
}
