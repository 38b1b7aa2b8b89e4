// Package model defines the identifiers and small value types shared by the
// policy packages and the messages between nodes. The types only parse and
// format themselves.
package model

import (
	"encoding/hex"
	"errors"
	"net"
	"strconv"
	"time"
)

// Service is the name of a group of interchangeable targets, such as
// "permits".
type Service string

// Account is the name of a client account.
type Account string

// Domain is the name of a failure domain.
type Domain string

// Region is the name of a group of failure domains that share a network.
type Region string

// NodeAddr is the peer address of a node, "ip:port". It identifies the place
// on a VM, not the process: a replacement process may use the same address
// with another ProcessID and a higher Incarnation.
type NodeAddr string

// Valid reports whether the address has a host and a port to which connections can be opened.
func (a NodeAddr) Valid() bool {
	host, port, err := net.SplitHostPort(string(a))
	number, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && portErr == nil && host != "" && number > 0
}

// Revision is the number of an accepted configuration; 0 means none.
type Revision uint64

// Incarnation orders the processes that have used the same NodeAddr. A message
// from a lower incarnation never overrides one from a higher incarnation.
type Incarnation uint64

// processIDSize is the length of a ProcessID in bytes.
const processIDSize = 16

// ErrInvalidProcessID reports a text that is not a ProcessID.
var ErrInvalidProcessID = errors.New("a process id is 32 hexadecimal digits; copy it from `zinniafall status`")

// ProcessID is a random identifier that each process generates once, at
// startup.
type ProcessID [processIDSize]byte

// String returns the id as 32 hexadecimal digits.
func (p ProcessID) String() string { return hex.EncodeToString(p[:]) }

// ParseProcessID parses the format that String returns.
func ParseProcessID(text string) (ProcessID, error) {
	var id ProcessID
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != processIDSize {
		return id, ErrInvalidProcessID
	}
	copy(id[:], raw)
	return id, nil
}

// Run states whether a call reached a target.
type Run string

// The values of the Zinniafall-Run response header.
const (
	// RunNo means that no target received any byte of the call.
	RunNo Run = "no"
	// RunYes means that a target answered the call.
	RunYes Run = "yes"
	// RunUnknown means that the call may have run.
	RunUnknown Run = "unknown"
)

// TargetState is the state of a target as its owner knows it.
type TargetState uint8

// The states of the target chart, in the order of their values on the wire.
const (
	TargetAbsent TargetState = iota
	TargetCold
	TargetWarm
	TargetDraining
	TargetFailing
)

// String returns the name of the state in the target chart.
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

// Report is an owner's description of its own target. It is sent with each
// response, each refusal and each reply to a probe.
type Report struct {
	// Process identifies the owner that sent the report.
	Process ProcessID `cbor:"1,keyasint"`
	// Sequence increases with each report of a process, so that a report that
	// arrives late does not replace a newer one.
	Sequence uint64 `cbor:"2,keyasint"`
	// State is the state of the target.
	State TargetState `cbor:"3,keyasint"`
	// Slots is the number of calls that a warm target runs concurrently.
	Slots uint16 `cbor:"4,keyasint"`
	// Limit is the number of calls that the owner admits now: below Slots
	// while the target is cold, 0 while the target takes no new work.
	Limit uint16 `cbor:"5,keyasint"`
	// InFlight is the number of calls at the target.
	InFlight uint16 `cbor:"6,keyasint"`
	// Queued is the number of calls that wait at the owner.
	Queued uint16 `cbor:"7,keyasint"`
	// ServiceTime is the recent mean time that the target takes for a call.
	ServiceTime time.Duration `cbor:"8,keyasint"`
	// Revision is the configuration that the owner applies.
	Revision Revision `cbor:"9,keyasint"`
	// StartsIn is the time until the target is likely to let a further call start: it
	// states a limit that is used up, or is too slow to answer in time. 0 means now.
	StartsIn time.Duration `cbor:"10,keyasint,omitempty"`
}
