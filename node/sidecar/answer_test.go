package sidecar

import (
	"net/http"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// Guards against a status that promises callers that their request will not run, although it
// may have run: they send it again. One that says that it was not accepted is as wrong.
func TestOnlyACallThatHasNotRunGetsAStatusThatSaysSo(t *testing.T) {
	promises := []int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
		http.StatusUnauthorized, http.StatusNotFound, http.StatusBadRequest, http.StatusRequestEntityTooLarge,
	}
	for _, kind := range []problem.Kind{
		problem.Unauthenticated, problem.UnknownService, problem.RouteUnsupported, problem.BadRequest, problem.BodyTooLarge,
		problem.DeadlineExceeded, problem.Overloaded, problem.AccountLimit, problem.AccountShare, problem.NoTarget,
		problem.DomainOut, problem.Draining, problem.NotFresh, problem.ConfigurationLag, problem.OwnerUnreachable,
		problem.TargetFailed, problem.AnswerCutOff, problem.Quarantined, problem.StoreUnavailable, problem.Canceled, problem.Internal,
	} {
		for _, run := range []model.Run{model.RunYes, model.RunUnknown} {
			status := statusOf(problem.New(kind, run, ""))
			qt.Check(t, slices.Contains(promises, status), qt.IsFalse, qt.Commentf("%s, run: %s: %d", kind, run, status))
		}
	}
	qt.Check(t, statusOf(problem.New(problem.AccountLimit, model.RunNo, "")), qt.Equals, http.StatusTooManyRequests)
}
