package server

import (
	"encoding/hex"
	"net/http"

	"zinniafall/node/operatorapi"
	"zinniafall/policy/config"
	"zinniafall/policy/model"
	"zinniafall/policy/quarantine"
)

// operatorAPI is the handler of the operators' calls.
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

// operatorView is the node as operators see it.
type operatorView struct{ server *Server }

// Status describes the node and its members.
func (v operatorView) Status() operatorapi.Status {
	s := v.server
	status := operatorapi.Status{Node: s.self, Process: s.process.String(), State: "serving"}
	if reason := s.notReady(); reason != "" {
		status.State = reason
	}
	for _, m := range s.overlay.Snapshot().Members {
		status.Members = append(status.Members, operatorapi.Member{
			Node: m.Node, Domain: m.Domain, Service: m.Service, State: m.Status.String() + ", target " + m.Target.String(),
		})
	}
	return status
}

// InForce tells which members apply a revision and which were not heard to.
func (v operatorView) InForce(revision model.Revision) (in, missing []model.NodeAddr) {
	return v.server.inForce(revision)
}

// Placement tells in which failure domains services have targets.
func (v operatorView) Placement() config.Placement { return v.server.placement() }

// MayCommit is false while the node is cut off from half of the domains. The
// first configuration names the domains, so that it may always be committed.
func (v operatorView) MayCommit() bool {
	return v.server.revision() == 0 || v.server.judge.mayCommit()
}

// Quarantined lists the requests that are refused.
func (v operatorView) Quarantined() []operatorapi.Quarantined {
	var list []operatorapi.Quarantined
	for _, e := range v.server.suspects.entries() {
		if e.Status == quarantine.Quarantined {
			list = append(list, operatorapi.Quarantined{ID: e.Fingerprint.String(), Crashes: len(e.Crashes), Expires: e.Expires})
		}
	}
	return list
}

// LiftQuarantine admits a request again; false when there is none.
func (v operatorView) LiftQuarantine(id string) bool {
	fingerprint, err := quarantine.ParseFingerprint(id)
	if err != nil || v.server.suspects.Check(fingerprint) != quarantine.Quarantined {
		return false
	}
	v.server.suspects.lift(fingerprint)
	return true
}
