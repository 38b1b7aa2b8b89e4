// Package problem defines the errors that callers, operators and nodes see.
// Each kind has one HTTP status and one remedy, and each error states whether
// the call ran, so that the same cause is reported in the same way everywhere.
package problem

import (
	"context"
	"errors"
	"net/http"
	"time"

	"zinniafall/policy/model"
)

// Kind identifies the cause of a problem.
type Kind string

// The kinds of problem.
const (
	Unauthenticated   Kind = "unauthenticated"
	UnknownService    Kind = "unknown-service"
	RouteUnsupported  Kind = "route-unsupported"
	BadRequest        Kind = "bad-request"
	BodyTooLarge      Kind = "body-too-large"
	DeadlineExceeded  Kind = "deadline-exceeded"
	Overloaded        Kind = "overloaded"
	AccountLimit      Kind = "account-limit"
	AccountShare      Kind = "account-share"
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

// kindInfo holds what all problems of one kind share.
type kindInfo struct {
	status int
	remedy string
}

// statusClientClosedRequest is the conventional, non-standard status for a
// request that the client closed. It appears only in logs and metrics, since
// no client reads it.
const statusClientClosedRequest = 499

var kindInfos = map[Kind]kindInfo{
	Unauthenticated:   {http.StatusUnauthorized, "Send the account's key, in the Zinniafall-Account-Key header to `zinniafalld run`, as Authorization: Bearer KEY to `zinniafalld sidecar`; an operator can issue a new one."},
	UnknownService:    {http.StatusNotFound, "Name a configured service in the Host or Zinniafall-Service header."},
	RouteUnsupported:  {http.StatusServiceUnavailable, "Correct the route in the configuration, or run a release of the node that supports it."},
	BadRequest:        {http.StatusBadRequest, "Correct the header that the detail names and send the request again."},
	BodyTooLarge:      {http.StatusRequestEntityTooLarge, "Send a smaller body, or ask the operator to raise limits.body_bytes."},
	DeadlineExceeded:  {http.StatusGatewayTimeout, "Allow more time in Zinniafall-Timeout-Ms."},
	Overloaded:        {http.StatusServiceUnavailable, "Wait for the time in Retry-After before sending the request again."},
	AccountLimit:      {http.StatusTooManyRequests, "Wait for the time in Retry-After; an operator can raise the account's limit."},
	AccountShare:      {http.StatusServiceUnavailable, "Wait for the time in Retry-After; other accounts have a right to the slots that are left."},
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
	Canceled:          {statusClientClosedRequest, "Nothing to do: the caller closed the request."},
	Internal:          {http.StatusInternalServerError, "Report this with the node's log."},
}

// Error is one occurrence of a problem in a call.
type Error struct {
	// Kind is the cause.
	Kind Kind `cbor:"1,keyasint" json:"kind"`
	// Run states whether the call reached a target.
	Run model.Run `cbor:"2,keyasint" json:"run"`
	// Detail describes this occurrence.
	Detail string `cbor:"3,keyasint" json:"detail"`
	// RetryAfter is how long to wait before retrying; 0 gives no advice.
	RetryAfter time.Duration `cbor:"4,keyasint" json:"-"`
}

// Ended returns the problem of a call whose context ended with the given error:
// DeadlineExceeded if its time was over, Canceled if its caller left. during is what
// was going on.
func Ended(cause error, run model.Run, during string) *Error {
	if errors.Is(cause, context.DeadlineExceeded) {
		return New(DeadlineExceeded, run, "the deadline passed while "+during)
	}
	return New(Canceled, run, "the caller left while "+during)
}

// New returns a problem of the given kind. Pass model.RunNo only if no target
// can have received any byte of the call.
func New(kind Kind, run model.Run, detail string) *Error {
	return &Error{Kind: kind, Run: run, Detail: detail}
}

// After sets the time to wait before retrying and returns e.
func (e *Error) After(wait time.Duration) *Error {
	e.RetryAfter = wait
	return e
}

// Error returns the kind, the detail and the remedy on one line.
func (e *Error) Error() string {
	return string(e.Kind) + ": " + e.Detail + ". " + e.Remedy()
}

// Remedy returns what the reader can do about the problem.
func (e *Error) Remedy() string { return kindInfos[e.Kind].remedy }

// Status returns the HTTP status of the problem, 500 for an unknown kind.
func (e *Error) Status() int {
	if c, ok := kindInfos[e.Kind]; ok {
		return c.status
	}
	return http.StatusInternalServerError
}

// FromError returns the first problem in the chain of err, or nil if there is
// none.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}
