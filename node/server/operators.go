package server

import (
	"encoding/hex"
	"net/http"

	"zinniafall/node/operatorapi"
	"zinniafall/policy/config"
	"zinniafall/policy/model"
	"zinniafall/policy/quarantine"
)

// operatorAPI returns the handler of the operators' API.
func (s *Server) operatorAPI() http.Handler {
	operators := make([]operatorapi.Operator, 0, len(s.settings.Operators.Tokens))
	for _, t := range s.settings.Operators.Tokens {
		var hash operatorapi.TokenHash
		_, _ = hex.Decode(hash[:], []byte(t.Hash))
		operators = append(operators, operatorapi.Operator{Name: t.Name, Token: hash})
	}
	return operatorapi.New(operatorapi.Options{
		Configuration: s.configuration.applier, Node: operatorView{s}, Operators: operators, Metrics: s.metrics,
	})
}

// operatorView implements the node interface of the operators' API.
type operatorView struct{ server *Server }

// Status describes the node and its members.
func (v operatorView) Status() operatorapi.Status {
	s := v.server
	status := operatorapi.Status{Node: s.self, Process: s.process.String(), State: "serving"}
	if reason := s.notReadyReason(); reason != "" {
		status.State = reason
	}
	for _, m := range s.overlay.Snapshot().Members {
		status.Members = append(status.Members, operatorapi.Member{
			Node: m.Node, Domain: m.Domain, Service: m.Service, State: m.Status.String() + ", target " + m.Target.String(),
		})
	}
	return status
}

// InForce returns the members that apply the revision and those that have not
// confirmed it.
func (v operatorView) InForce(revision model.Revision) (in, missing []model.NodeAddr) {
	return v.server.inForce(revision)
}

// Placement returns the failure domains in which each service has targets.
func (v operatorView) Placement() config.Placement { return v.server.placement() }

// MayCommit returns false while fewer than half of the failure domains were
// heard from lately. The first configuration is what names the domains, so
// that it may always be committed.
func (v operatorView) MayCommit() bool {
	return v.server.revision() == 0 || v.server.freshnessTracker.mayCommit()
}

// Quarantined lists the quarantined requests.
func (v operatorView) Quarantined() []operatorapi.Quarantined {
	var list []operatorapi.Quarantined
	for _, e := range v.server.suspects.entries() {
		if e.Status == quarantine.Quarantined {
			list = append(list, operatorapi.Quarantined{ID: e.Fingerprint.String(), Crashes: len(e.Crashes), Expires: e.Expires})
		}
	}
	return list
}

// LiftQuarantine lifts the quarantine of a request; it returns false when the
// request is not quarantined.
func (v operatorView) LiftQuarantine(id string) bool {
	fingerprint, err := quarantine.ParseFingerprint(id)
	if err != nil || v.server.suspects.Check(fingerprint) != quarantine.Quarantined {
		return false
	}
	v.server.suspects.lift(fingerprint)
	return true
}
