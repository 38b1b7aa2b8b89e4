package sidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"zinniafall/node/front"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

const (
	// retryUnready is the least advice of a node that has no configuration yet.
	retryUnready = 300 * time.Millisecond
	// retryDefault is the advice when the cause gives none.
	retryDefault = 150 * time.Millisecond
	// patienceShare is the part of the caller's remaining time that a wait may
	// take; callers ignore a longer one.
	patienceShare = 3
)

// refusalBody is the JSON form of a problem.
type refusalBody struct {
	Kind   problem.Kind `json:"kind"`
	Detail string       `json:"detail"`
	Run    model.Run    `json:"run"`
	Remedy string       `json:"remedy"`
}

// refusal answers a request that no target answered. Only a request that has
// not run and will not gets a status that says so.
func (n *Node) refusal(ctx context.Context, p *problem.Error, c *call) *front.Response {
	if ctx.Err() != nil {
		return &front.Response{Abort: true}
	}
	status := statusOf(p)
	r := n.problemResponse(status, p)
	if c != nil && c.id != "" {
		r.Header.Set(n.dialect.RequestID, c.id)
	}
	if status == http.StatusServiceUnavailable {
		wait := p.RetryAfter
		if wait <= 0 {
			wait = retryDefault
		}
		if c != nil && !c.deadline.IsZero() {
			wait = min(wait, max(time.Until(c.deadline)/patienceShare, 0))
		}
		r.Header.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	}
	return r
}

// statusOf returns the status for a problem. A request that has not run is
// refused with 503, unless it can never be served.
func statusOf(p *problem.Error) int {
	switch {
	case p.Kind == problem.UnknownService:
		return http.StatusNotFound
	case p.Kind == problem.BadRequest, p.Kind == problem.BodyTooLarge:
		return p.Status()
	case p.Run == model.RunNo:
		return http.StatusServiceUnavailable
	case p.Kind == problem.DeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func (n *Node) problemResponse(status int, p *problem.Error) *front.Response {
	body, err := json.Marshal(refusalBody{Kind: p.Kind, Detail: p.Detail, Run: p.Run, Remedy: p.Remedy()})
	if err != nil {
		n.log.Error("problem not encoded", "part", "entry", "error", err.Error())
	}
	return &front.Response{Status: status, Header: http.Header{"Content-Type": {"application/problem+json"}}, Body: body}
}

// reject answers what is not a proper request.
func (n *Node) reject(status int, detail string) *front.Response {
	n.log.Info("request rejected", "part", "entry", "status", status, "reason", detail)
	rejected.Inc()
	return n.problemResponse(status, problem.New(problem.BadRequest, model.RunNo, detail))
}

// splitList splits a header field's list of names.
func splitList(text string) []string {
	names := strings.Split(text, ",")
	for i := range names {
		names[i] = strings.TrimSpace(names[i])
	}
	return names
}
