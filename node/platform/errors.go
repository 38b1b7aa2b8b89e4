package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
)

// Kind names the cause of an Error.
type Kind string

// The kinds of error.
const (
	// Unavailable: the service did not answer; a write had no effect.
	Unavailable Kind = "store-unavailable"
	// OutcomeUnknown: the write may have taken effect, or may yet.
	OutcomeUnknown Kind = "store-outcome-unknown"
	// Refused: the service answered that the call is wrong.
	Refused Kind = "store-refused"
)

var remedies = map[Kind]string{
	Unavailable:    "Wait for the platform's key-value service; calls are still served with the configuration in force",
	OutcomeUnknown: "Read the key back before writing again",
	Refused:        "Check the service's address in the settings and that the value is under 1 MB",
}

// Error is a failed call of the service.
type Error struct {
	Kind Kind
	// Op is the method that failed, such as "cas".
	Op string
	// Key that the call was about.
	Key string
	// Err is the cause.
	Err error
}

// Error names the call, the cause and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s %q: %v. %s.", e.Kind, e.Op, e.Key, e.Err, remedies[e.Kind])
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsUnavailable reports an error of the kind Unavailable.
func IsUnavailable(err error) bool { return hasKind(err, Unavailable) }

// IsOutcomeUnknown reports an error of the kind OutcomeUnknown.
func IsOutcomeUnknown(err error) bool { return hasKind(err, OutcomeUnknown) }

func hasKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// statusError is an answer with an unexpected status.
type statusError int

func (e statusError) Error() string {
	return fmt.Sprintf("answered with status %d %s", int(e), http.StatusText(int(e)))
}

// kindOf classifies a failed try. A write is Unavailable only when it cannot
// have reached the service.
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

// neverSent reports that no byte of the call left this process.
func neverSent(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, errNotStarted)
}

// errNotStarted marks a try that its context ended before it began.
var errNotStarted = errors.New("not started")

// notStarted wraps the end of a context before a try.
func notStarted(ctx context.Context) error {
	return fmt.Errorf("%w: %w", errNotStarted, context.Cause(ctx))
}
