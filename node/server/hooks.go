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
	s.configuration.hear(revision, from)
	if s.configuration.await(ctx, revision) {
		return nil
	}
	return problem.New(problem.ConfigurationLag, model.RunNo, "this node has not got the configuration of the call's entry yet").After(catchUpRetry)
}

// catchUpRetry is the advice to a call that met an older configuration.
const catchUpRetry = 200 * time.Millisecond

// CheckStart is asked right before a request leaves for the target. It looks at
// the clock again, since the process may have been paused after the admission.
func (s *Server) CheckStart() *problem.Error {
	if !s.judge.fresh() {
		return problem.New(problem.NotFresh, model.RunNo, "this node has lost contact with the others").After(catchUpRetry)
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

// targetState makes a changed state of the target known. Whether it is cold
// or failing rides on reports; members only learn whether it takes work. The
// record is filled with what holds when it is written, so that two changes in
// a row leave the later one, whichever is written last.
func (s *Server) targetState(state model.TargetState) {
	if s.overlay == nil || !s.target.changeShared(sharedState(state)) {
		return
	}
	go s.overlay.UpdateSelf(s.target.fill)
}

func sharedState(state model.TargetState) model.TargetState {
	switch state {
	case model.TargetAbsent, model.TargetDraining:
		return state
	default:
		return model.TargetWarm
	}
}
