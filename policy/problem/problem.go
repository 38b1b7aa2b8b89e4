// Package problem defines the typed refusals and failures that callers,
// operators and nodes see. Each kind has one HTTP status, one statement about
// whether the call ran, and one remedy, so that the same cause reads the same
// wherever it shows.
package problem

import (
	"errors"
	"net/http"
	"time"

	"zinniafall/policy/model"
)

// Kind names the cause of a problem.
type Kind string

// The kinds of problem.
const (
	Unauthenticated   Kind = "unauthenticated"
	UnknownService    Kind = "unknown-service"
	BadRequest        Kind = "bad-request"
	BodyTooLarge      Kind = "body-too-large"
	DeadlineExceeded  Kind = "deadline-exceeded"
	Overloaded        Kind = "overloaded"
	AccountLimit      Kind = "account-limit"
	NoTarget          Kind = "no-target"
	DomainOut         Kind = "domain-out"
	Draining          Kind = "draining"
	NotFresh          Kind = "not-fresh"
	ConfigurationLag  Kind = "configuration-lag"
	OwnerUnreachable  Kind = "owner-unreachable"
	TargetFailed      Kind = "target-failed"
	AnswerCutOff      Kind = "answer-cut-off"
	Quarantined       Kind = "quarantined"
	KeyInvalid        Kind = "key-invalid"
	KeyExpired        Kind = "key-expired"
	KeyIssuerGone     Kind = "key-issuer-gone"
	KeyMismatch       Kind = "key-mismatch"
	KeyTableFull      Kind = "key-table-full"
	StoreUnavailable  Kind = "store-unavailable"
	ClaimBudgetSpent  Kind = "claim-budget-spent"
	AnswerNotRetained Kind = "answer-not-retained"
	Canceled          Kind = "canceled"
	Internal          Kind = "internal"
)

// class is what all problems of one kind have in common.
type class struct {
	status int
	remedy string
}

// statusClientClosed is the customary status for a request that its client
// closed; no client reads it, logs and metrics do.
const statusClientClosed = 499

var classes = map[Kind]class{
	Unauthenticated:   {http.StatusUnauthorized, "Send the account's key in the Zinniafall-Account-Key header; an operator can issue a new one."},
	UnknownService:    {http.StatusNotFound, "Name a configured service in the Host or Zinniafall-Service header."},
	BadRequest:        {http.StatusBadRequest, "Correct the header that the detail names and send the request again."},
	BodyTooLarge:      {http.StatusRequestEntityTooLarge, "Send a smaller body, or ask the operator to raise limits.body_bytes."},
	DeadlineExceeded:  {http.StatusGatewayTimeout, "Allow more time in Zinniafall-Timeout-Ms."},
	Overloaded:        {http.StatusServiceUnavailable, "Wait for the time in Retry-After before sending the request again."},
	AccountLimit:      {http.StatusTooManyRequests, "Wait for the time in Retry-After; an operator can raise the account's limit."},
	NoTarget:          {http.StatusServiceUnavailable, "Wait for a target of the service to announce itself."},
	DomainOut:         {http.StatusServiceUnavailable, "Send the request again; it goes to another failure domain."},
	Draining:          {http.StatusServiceUnavailable, "Send the request again through another node."},
	NotFresh:          {http.StatusServiceUnavailable, "Send the request again through another node; this one has lost contact with the others."},
	ConfigurationLag:  {http.StatusServiceUnavailable, "Send the request again; this node is fetching a newer configuration."},
	OwnerUnreachable:  {http.StatusBadGateway, "Check the outcome before sending a non-idempotent request again."},
	TargetFailed:      {http.StatusBadGateway, "Check the outcome before sending a non-idempotent request again."},
	AnswerCutOff:      {http.StatusBadGateway, "Discard the partial answer; check the outcome before sending a non-idempotent request again."},
	Quarantined:       {http.StatusServiceUnavailable, "Do not send this request again; an operator can lift the quarantine with `zinniafall quarantine lift`."},
	KeyInvalid:        {http.StatusBadRequest, "Ask a node for a new request key."},
	KeyExpired:        {http.StatusGone, "Check the outcome of the earlier request, then ask for a new request key."},
	KeyIssuerGone:     {http.StatusServiceUnavailable, "Check the outcome of the earlier request before starting it under a new key."},
	KeyMismatch:       {http.StatusUnprocessableEntity, "Use a new request key for a different request."},
	KeyTableFull:      {http.StatusServiceUnavailable, "Ask another node for a request key."},
	StoreUnavailable:  {http.StatusServiceUnavailable, "Use a request key issued by a node, which needs no store, or wait for the store."},
	ClaimBudgetSpent:  {http.StatusTooManyRequests, "Use a request key issued by a node, or wait for the time in Retry-After."},
	AnswerNotRetained: {http.StatusConflict, "The request ran, but its answer was not kept; check the outcome."},
	Canceled:          {statusClientClosed, "Nothing to do: the caller closed the request."},
	Internal:          {http.StatusInternalServerError, "Report this with the node's log."},
}

// Error is a problem as one call met it.
type Error struct {
	// Kind of the problem.
	Kind Kind `cbor:"1,keyasint" json:"kind"`
	// Run says whether the call reached a target.
	Run model.Run `cbor:"2,keyasint" json:"run"`
	// Detail says what was wrong in this case.
	Detail string `cbor:"3,keyasint" json:"detail"`
	// RetryAfter is the time to wait before the next try; 0 gives no advice.
	RetryAfter time.Duration `cbor:"4,keyasint" json:"-"`
}

// New returns a problem of one kind. Run must be RunNo only when it is
// certain that no target was given a byte of the call.
func New(kind Kind, run model.Run, detail string) *Error {
	return &Error{Kind: kind, Run: run, Detail: detail}
}

// After returns the problem with advice on when to try again.
func (e *Error) After(wait time.Duration) *Error {
	e.RetryAfter = wait
	return e
}

// Error returns the kind, the detail and the remedy in one line.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Detail + ". " + e.Remedy()
}

// Remedy says what the reader can do about the problem.
func (e *Error) Remedy() string { return classes[e.Kind].remedy }

// Status returns the HTTP status for the problem; an unknown kind is 500.
func (e *Error) Status() int {
	if c, ok := classes[e.Kind]; ok {
		return c.status
	}
	return http.StatusInternalServerError
}

// FromError returns the problem in the error's chain, or nil.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}
