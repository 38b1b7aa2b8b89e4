package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
)

// Kind classifies an Error.
type Kind string

// The kinds of error.
const (
	// Unavailable: the service did not respond; a write had no effect.
	Unavailable Kind = "store-unavailable"
	// OutcomeUnknown: the write may have taken effect, or may still do so.
	OutcomeUnknown Kind = "store-outcome-unknown"
	// Refused: the service rejected the call as invalid.
	Refused Kind = "store-refused"
)

var remedies = map[Kind]string{
	Unavailable:    "Wait for the platform's key-value service; calls are still served with the configuration in force",
	OutcomeUnknown: "Read the key back before writing again",
	Refused:        "Check the service's address in the settings and that the value is under 1 MB",
}

// Error reports a failed call of the service.
type Error struct {
	Kind Kind
	// Op is the operation that failed, such as "cas".
	Op string
	// Key is the key of the call, or its lease ID.
	Key string
	// Err is the cause.
	Err error
}

// Error returns the kind, the call, the cause and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s %q: %v. %s.", e.Kind, e.Op, e.Key, e.Err, remedies[e.Kind])
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsUnavailable reports whether err is an Error of the kind Unavailable.
func IsUnavailable(err error) bool { return hasKind(err, Unavailable) }

// IsOutcomeUnknown reports whether err is an Error of the kind OutcomeUnknown.
func IsOutcomeUnknown(err error) bool { return hasKind(err, OutcomeUnknown) }

func hasKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// statusError is an unexpected HTTP status of a response.
type statusError int

func (e statusError) Error() string {
	return fmt.Sprintf("unexpected response status %d %s", int(e), http.StatusText(int(e)))
}

// kindOf classifies a failed attempt. A write is Unavailable only if no byte of it
// can have reached the service.
func kindOf(err error, write bool) Kind {
	var status statusError
	if errors.As(err, &status) && status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
		return Refused
	}
	if write && !neverSent(err) {
		return OutcomeUnknown
	}
	return Unavailable
}

// neverSent reports whether the call failed before any byte of it was sent.
func neverSent(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, errNotStarted)
}

// errNotStarted marks an attempt that failed before its request was sent: its
// context had ended or the request could not be built.
var errNotStarted = errors.New("not started")

// notStarted returns errNotStarted with the cause of the context's end.
func notStarted(ctx context.Context) error {
	return fmt.Errorf("%w: %w", errNotStarted, context.Cause(ctx))
}
