// Package model holds the identifiers and small value types that every
// decision package and every message between nodes share. It has no behavior
// beyond parsing and formatting.
package model

import (
	"encoding/hex"
	"errors"
	"time"
)

// Service names a group of interchangeable targets, such as "permits".
type Service string

// Account names a client account.
type Account string

// Domain names a failure domain.
type Domain string

// Region names a group of failure domains that share a network.
type Region string

// NodeAddr is the peer address of a node, "ip:port". It names the slot on a
// VM, not the process: a replaced process may come back at the same address
// with another ProcessID and a higher Incarnation.
type NodeAddr string

// Revision numbers the accepted configurations; 0 means none.
type Revision uint64

// Incarnation orders the processes that used one NodeAddr. A message from a
// lower incarnation never overrides one from a higher incarnation.
type Incarnation uint64

// processIDSize is the length of a ProcessID in bytes.
const processIDSize = 16

// ErrInvalidProcessID reports text that is not a ProcessID.
var ErrInvalidProcessID = errors.New("a process id is 32 hexadecimal digits; copy it from `zinniafall status`")

// ProcessID is a random identity drawn once by each process at its start.
type ProcessID [processIDSize]byte

// String returns the id as 32 hexadecimal digits.
func (p ProcessID) String() string { return hex.EncodeToString(p[:]) }

// ParseProcessID reads the form that String returns.
func ParseProcessID(text string) (ProcessID, error) {
	var id ProcessID
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != processIDSize {
		return id, ErrInvalidProcessID
	}
	copy(id[:], raw)
	return id, nil
}

// Run says whether a call reached a target.
type Run string

// The values of the Zinniafall-Run answer header.
const (
	// RunNo means that no target was given any byte of the call.
	RunNo Run = "no"
	// RunYes means that a target answered the call.
	RunYes Run = "yes"
	// RunUnknown means that the call may have run.
	RunUnknown Run = "unknown"
)

// TargetState is what an owner knows of its target.
type TargetState uint8

// The states of the target chart, in the order of their wire values.
const (
	TargetAbsent TargetState = iota
	TargetCold
	TargetWarm
	TargetDraining
	TargetFailing
)

// String returns the name that the target chart uses.
func (s TargetState) String() string {
	switch s {
	case TargetCold:
		return "cold"
	case TargetWarm:
		return "warm"
	case TargetDraining:
		return "draining"
	case TargetFailing:
		return "failing"
	default:
		return "absent"
	}
}

// Report is an owner's statement about its own target. It rides on each
// answer and refusal and on the answer to a probe.
type Report struct {
	// Process identifies the owner that made the report.
	Process ProcessID `cbor:"1,keyasint"`
	// Sequence rises with each report of one process, so that a late report
	// never replaces a newer one.
	Sequence uint64 `cbor:"2,keyasint"`
	// State of the target.
	State TargetState `cbor:"3,keyasint"`
	// Slots is the number of calls that the target runs at once when warm.
	Slots uint16 `cbor:"4,keyasint"`
	// Limit is the number of calls that the owner admits now; below Slots
	// while the target is cold, 0 when it takes no new work.
	Limit uint16 `cbor:"5,keyasint"`
	// InFlight counts the calls at the target.
	InFlight uint16 `cbor:"6,keyasint"`
	// Queued counts the calls that wait at the owner.
	Queued uint16 `cbor:"7,keyasint"`
	// ServiceTime is the recent mean time that the target takes for a call.
	ServiceTime time.Duration `cbor:"8,keyasint"`
	// Revision is the configuration that the owner applies.
	Revision Revision `cbor:"9,keyasint"`
}
