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

// readChange reads the change of a call, or answers with every problem in it.
func readChange(w http.ResponseWriter, r *http.Request) (config.Change, bool) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		badBody(w, err)
		return config.Change{}, false
	}
	change, problems := config.ParseChange(raw)
	if len(problems) > 0 {
		fail(w, http.StatusBadRequest, &Error{
			Kind: BadInput, Detail: (&config.InvalidError{Problems: problems}).Error(),
			Remedy: "Correct each problem; nothing was changed", Problems: problems,
		})
		return change, false
	}
	change.Author, _ = r.Context().Value(author{}).(string)
	change.Time = time.Now()
	return change, true
}

func badBody(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		status = http.StatusRequestEntityTooLarge
	}
	fail(w, status, &Error{Kind: BadInput, Detail: "reading the change: " + err.Error(), Remedy: "Send a whole change of a bounded size; nothing was changed"})
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
		fail(w, http.StatusInternalServerError, &Error{Kind: Internal, Detail: err.Error(), Remedy: "Ask another node"})
		return
	}
	reply(w, statusOf(outcome.Result), ChangeResult{Outcome: outcome})
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	change, ok := readChange(w, r)
	if !ok {
		return
	}
	if !s.options.Node.MayCommit() {
		fail(w, http.StatusServiceUnavailable, &Error{Kind: CutOff, Detail: "this node is cut off from more than half of the failure domains, so that it can't see what a change would do; nothing was changed", Remedy: "Give --node a node in another failure domain"})
		return
	}
	// A commit goes on to its end when the operator's connection breaks.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), s.options.CommitTimeout)
	defer cancel()
	outcome := s.options.Configuration.Commit(ctx, change, s.options.Node.Placement())
	klog.Infof("operatorapi: change %s of %s: %s at revision %d", change.ID, change.Author, outcome.Result, outcome.Revision)
	answer := ChangeResult{Outcome: outcome}
	status := statusOf(outcome.Result)
	if outcome.Result == config.ResultAccepted || outcome.Result == config.ResultUnchanged {
		answer.InForce = s.awaitInForce(r.Context(), outcome.Revision)
		if !answer.InForce.Complete() {
			status = http.StatusAccepted
		}
	}
	reply(w, status, answer)
}

// awaitInForce waits until every member has told that it applies a revision,
// or until the time is up.
func (s *Server) awaitInForce(ctx context.Context, revision model.Revision) *InForce {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.options.InForceTimeout)
	defer cancel()
	ticker := time.NewTicker(inForceInterval)
	defer ticker.Stop()
	for {
		in, missing := s.options.Node.InForce(revision)
		found := &InForce{Nodes: len(in), Missing: missing, WaitedMS: time.Since(began).Milliseconds()}
		if found.Complete() {
			return found
		}
		select {
		case <-ctx.Done():
			return found
		case <-ticker.C:
		}
	}
}

// statusOf is the HTTP status for a result.
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
