package operatorapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"zinniafall/policy/config"
	"zinniafall/policy/model"
)

// readChange reads the change in a request, or responds with all its problems.
func readChange(w http.ResponseWriter, r *http.Request) (config.Change, bool) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		writeBodyError(w, err)
		return config.Change{}, false
	}
	change, problems := config.ParseChange(raw)
	if len(problems) > 0 {
		writeError(w, http.StatusBadRequest, &Error{
			Kind: BadInput, Detail: (&config.InvalidError{Problems: problems}).Error(),
			Remedy: "Correct each problem; nothing was changed", Problems: problems,
		})
		return change, false
	}
	change.Author, _ = r.Context().Value(author{}).(string)
	change.Time = time.Now()
	return change, true
}

// writeBodyError responds to a request whose body could not be read.
func writeBodyError(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		status = http.StatusRequestEntityTooLarge
	}
	writeError(w, status, &Error{Kind: BadInput, Detail: "reading the change: " + err.Error(), Remedy: "Send a whole change of a bounded size; nothing was changed"})
}

func (s *Server) plan(w http.ResponseWriter, r *http.Request) {
	change, ok := readChange(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.options.CommitTimeout)
	defer cancel()
	outcome, err := s.options.Configuration.Plan(ctx, change, s.options.Node.Placement())
	if err != nil {
		writeError(w, http.StatusInternalServerError, &Error{Kind: Internal, Detail: err.Error(), Remedy: "Ask another node"})
		return
	}
	writeJSON(w, statusOf(outcome.Result), ChangeResult{Outcome: outcome})
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	change, ok := readChange(w, r)
	if !ok {
		return
	}
	if !s.options.Node.MayCommit() {
		writeError(w, http.StatusServiceUnavailable, &Error{Kind: CutOff, Detail: "this node is cut off from more than half of the failure domains, so that it can't see what a change would do; nothing was changed", Remedy: "Give --node a node in another failure domain"})
		return
	}
	// The commit completes even if the operator's connection breaks.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), s.options.CommitTimeout)
	defer cancel()
	outcome := s.options.Configuration.Commit(ctx, change, s.options.Node.Placement())
	klog.Infof("operatorapi: change %s of %s: %s at revision %d", change.ID, change.Author, outcome.Result, outcome.Revision)
	result := ChangeResult{Outcome: outcome}
	status := statusOf(outcome.Result)
	if outcome.Result == config.ResultAccepted || outcome.Result == config.ResultUnchanged {
		result.InForce = s.awaitInForce(r.Context(), outcome.Revision)
		if !result.InForce.Complete() {
			status = http.StatusAccepted
		}
	}
	writeJSON(w, status, result)
}

// awaitInForce waits until every member has reported a revision as in force, or
// for InForceTimeout.
func (s *Server) awaitInForce(ctx context.Context, revision model.Revision) *InForce {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.options.InForceTimeout)
	defer cancel()
	ticker := time.NewTicker(inForceInterval)
	defer ticker.Stop()
	for {
		in, missing := s.options.Node.InForce(revision)
		status := &InForce{Nodes: len(in), Missing: missing, WaitedMS: time.Since(startedAt).Milliseconds()}
		if status.Complete() {
			return status
		}
		select {
		case <-ctx.Done():
			return status
		case <-ticker.C:
		}
	}
}

// statusOf returns the HTTP status for a result.
func statusOf(result config.Result) int {
	switch result {
	case config.ResultAccepted, config.ResultUnchanged, config.ResultPlanned:
		return http.StatusOK
	case config.ResultConflict:
		return http.StatusConflict
	case config.ResultRefused:
		return http.StatusUnprocessableEntity
	case config.ResultUnavailable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}
