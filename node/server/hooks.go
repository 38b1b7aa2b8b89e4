package server

import (
	"context"
	"time"

	"zinniafall/node/peer"
	"zinniafall/node/target"
	"zinniafall/policy/calltoken"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/settings"
)

// AwaitRevision waits until this node applies at least the revision that the sender
// of a call applies, so that no call is decided on an older configuration.
func (s *Server) AwaitRevision(ctx context.Context, revision model.Revision, from model.NodeAddr) *problem.Error {
	if s.revision() >= revision {
		return nil
	}
	s.configuration.recordRevision(revision, from)
	if s.configuration.awaitRevision(ctx, revision) {
		return nil
	}
	return problem.New(problem.ConfigurationLag, model.RunNo, "this node has not got the configuration of the call's entry yet").After(catchUpRetryAfter)
}

// catchUpRetryAfter is the retry advice for a call that is refused because
// this node lags behind or is not fresh.
const catchUpRetryAfter = 200 * time.Millisecond

// CheckStart is called right before a request is sent to the target. It checks
// freshness and the failure domain again, since the process may have been
// paused after admission.
func (s *Server) CheckStart() *problem.Error {
	if !s.freshnessTracker.fresh() {
		return problem.New(problem.NotFresh, model.RunNo, "this node has lost contact with the others").After(catchUpRetryAfter)
	}
	if s.domainOut() {
		return problem.New(problem.DomainOut, model.RunNo, "the failure domain is out of service")
	}
	return nil
}

// Target returns the runner for the target and its service.
func (s *Server) Target() (*target.Runner, model.Service) { return s.target.current() }

// CallToken returns the token that lets the target make nested calls.
func (s *Server) CallToken(request *peer.Request) string {
	return s.tokens.Sign(calltoken.Token{
		Account: request.Account, Depth: request.Depth + 1, Allowance: request.Allowance,
		Expires: time.Now().Add(request.Timeout).UnixMilli(),
	})
}

func (s *Server) revision() model.Revision { return s.configuration.current().Revision }

func (s *Server) account(name model.Account) settings.Account {
	return s.configuration.current().Accounts[name]
}

func (s *Server) domainOut() bool {
	return s.configuration.current().Domains[s.settings.Node.FailureDomain].Out
}

// onTargetState publishes a change of the target's state to the members. They
// learn only whether the target accepts calls; whether it is cold or failing
// is part of the load reports. The member record is filled with the state that
// holds when it is written, so that of two changes in a row the later one
// remains, whichever is written last.
func (s *Server) onTargetState(state model.TargetState) {
	if s.overlay == nil || !s.target.setPublished(publishedState(state)) {
		return
	}
	go s.overlay.UpdateSelf(s.target.fillMember)
}

// publishedState returns the state that members learn for a target in the
// state.
func publishedState(state model.TargetState) model.TargetState {
	switch state {
	case model.TargetAbsent, model.TargetDraining:
		return state
	default:
		return model.TargetWarm
	}
}
