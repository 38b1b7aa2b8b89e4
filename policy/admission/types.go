package admission

import (
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// Ticket names one offered call. The caller of the package picks it and never
// uses it twice in one Owner.
type Ticket uint64

// Announcement is what a target says of itself, first and at each renewal.
type Announcement struct {
	// Instance names the target's process. Another instance at the same
	// address is a new process and starts cold.
	Instance string
	// Slots is the number of calls that the target runs at once when warm.
	Slots int
	// Connections bounds the connections to the target, and with them the
	// calls in flight; 0 means the Options value.
	Connections int
	// Cold is true while the target says that it has just started.
	Cold bool
	// Lease is the time until the announcement lapses unless it is renewed;
	// 0 means the Options value.
	Lease time.Duration
}

// Call is a call that asks to be admitted.
type Call struct {
	Ticket  Ticket
	Account model.Account
	// Deadline is the time after which nobody waits for the answer. The zero
	// time means that only Options.MaxWait bounds the wait.
	Deadline time.Time
	// Isolated is true for a request that is suspected of crashing targets.
	// It runs only while no other isolated call is in flight at the target.
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

// Decision answers an Offer.
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

// Result says how a call that was in flight ended.
type Result uint8

// The results.
const (
	// Completed means that the target answered the call.
	Completed Result = iota + 1
	// Failed means that the target answered with a status of 500 or above
	// that is not a Shed.
	Failed
	// Shed means that the target answered 503 with Retry-After: it has more
	// work than it can take.
	Shed
	// Crashed means that the target's connection was refused or reset.
	Crashed
	// Abandoned means that the caller left before the target answered. It
	// says nothing about the target, except that the call took that long.
	Abandoned
)

// Outcome is what the node saw of a call that was in flight.
type Outcome struct {
	Result Result
	// ServiceTime is the time between the first byte to the target and the
	// last byte from it.
	ServiceTime time.Duration
}
