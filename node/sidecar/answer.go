package sidecar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"zinniafall/node/front"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

const (
	// minUnreadyRetryAfter is the shortest Retry-After of a node that has no
	// configuration yet.
	minUnreadyRetryAfter = 300 * time.Millisecond
	// defaultRetryAfter is used when the problem states no retry delay.
	defaultRetryAfter = 150 * time.Millisecond
	// retryAfterDivisor limits Retry-After to this part of the caller's
	// remaining time; callers ignore a longer delay.
	retryAfterDivisor = 3
	// retryAfterSpread is the part of that limit by which it varies at random for callers
	// with an account.
	retryAfterSpread = 0.25
)

// problemBody is the JSON form of a problem.
type problemBody struct {
	Kind   problem.Kind `json:"kind"`
	Detail string       `json:"detail"`
	Run    model.Run    `json:"run"`
	Remedy string       `json:"remedy"`
}

// refusalResponse answers a request that no target answered. Only a request
// that has not run and will not run gets a status that says so. If the context
// has ended, the response only states Abort.
func (n *Node) refusalResponse(ctx context.Context, p *problem.Error, c *call) *front.Response {
	if ctx.Err() != nil {
		return &front.Response{Abort: true}
	}
	status := statusOf(p)
	r := n.problemResponse(status, p)
	if c != nil && c.id != "" {
		r.Header.Set(n.dialect.RequestID, c.id)
	}
	if status == http.StatusUnauthorized {
		r.Header.Set("WWW-Authenticate", "Bearer")
	}
	switch status {
	case http.StatusTooManyRequests:
		r.Header.Set("Retry-After", secondsText(p.RetryAfter))
	case http.StatusServiceUnavailable:
		wait := p.RetryAfter
		if wait <= 0 {
			wait = defaultRetryAfter
		}
		if c != nil && !c.deadline.IsZero() {
			longest := max(time.Until(c.deadline)/retryAfterDivisor, 0)
			if c.account != "" {
				// Without a spread, the calls of a burst that one refusal ends would
				// come back together.
				longest -= time.Duration(retryAfterSpread * rand.Float64() * float64(longest))
			}
			wait = min(wait, longest)
		}
		r.Header.Set("Retry-After", secondsText(wait))
	}
	return r
}

func secondsText(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// statusOf returns the HTTP status for a problem. A request that may have run gets 502 or 504,
// whatever became of its last attempt. One that has not is refused with 503, unless it can never
// be served or its account is over its limit. Only 503 and 429 promise that it will not run.
func statusOf(p *problem.Error) int {
	switch {
	case p.Run != model.RunNo && p.Kind == problem.DeadlineExceeded:
		return http.StatusGatewayTimeout
	case p.Run != model.RunNo:
		return http.StatusBadGateway
	case p.Kind == problem.UnknownService:
		return http.StatusNotFound
	case p.Kind == problem.BadRequest, p.Kind == problem.BodyTooLarge, p.Kind == problem.Unauthenticated, p.Kind == problem.AccountLimit:
		return p.Status()
	}
	return http.StatusServiceUnavailable
}

func (n *Node) problemResponse(status int, p *problem.Error) *front.Response {
	body, err := json.Marshal(problemBody{Kind: p.Kind, Detail: p.Detail, Run: p.Run, Remedy: p.Remedy()})
	if err != nil {
		n.log.Error("problem not encoded", "part", "entry", "error", err.Error())
	}
	return &front.Response{Status: status, Header: http.Header{"Content-Type": {"application/problem+json"}}, Body: body}
}

// rejectMalformed answers a malformed request.
func (n *Node) rejectMalformed(status int, detail string) *front.Response {
	n.log.Info("request rejected", "part", "entry", "status", status, "reason", detail)
	requestsRejected.Inc()
	return n.problemResponse(status, problem.New(problem.BadRequest, model.RunNo, detail))
}

// splitNames splits a comma-separated list of header field names.
func splitNames(text string) []string {
	names := strings.Split(text, ",")
	for i := range names {
		names[i] = strings.TrimSpace(names[i])
	}
	return names
}
