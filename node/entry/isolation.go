package entry

import (
	"slices"

	"zinniafall/node/peer"
	"zinniafall/policy/model"
	"zinniafall/policy/placement"
	"zinniafall/policy/problem"
	"zinniafall/policy/quarantine"
)

// ownerRanking selects the single owner that may run a suspected request, so
// that copies of it never run at two targets at the same time.
type ownerRanking struct {
	processes []model.ProcessID
	nodes     map[model.ProcessID]model.NodeAddr
}

func newOwnerRanking(targets []placement.Target) ownerRanking {
	r := ownerRanking{nodes: make(map[model.ProcessID]model.NodeAddr, len(targets))}
	for _, t := range targets {
		r.processes = append(r.processes, t.Process)
		r.nodes[t.Process] = t.Node
	}
	return r
}

// owner returns the owner for the request, or a refusal if that owner is
// excluded.
func (r ownerRanking) owner(f quarantine.Fingerprint, exclude []model.NodeAddr) (model.NodeAddr, *problem.Error) {
	if len(r.processes) == 0 {
		return "", problem.New(problem.NoTarget, model.RunNo, "no target of the service takes work")
	}
	node := r.nodes[quarantine.RankOwners(f, r.processes)[0]]
	if slices.Contains(exclude, node) {
		return "", problem.New(problem.Overloaded, model.RunNo, "a target died with this request in flight, and the one that may try it does not take it now")
	}
	return node, nil
}

// fingerprintBodyPrefix is the length in bytes of the prefix of a body that
// is part of the fingerprint.
const fingerprintBodyPrefix = 4 << 10

func fingerprintOf(request *peer.Request) quarantine.Fingerprint {
	prefix := request.Body[:min(len(request.Body), fingerprintBodyPrefix)]
	return quarantine.FingerprintOf(request.Account, request.Service, request.Method, request.URI, prefix)
}

// checkQuarantine refuses a quarantined request and isolates a suspected one.
// It is called before each attempt, because a crash notice may arrive between
// attempts. A call under a request key is checked only after its issuer has
// granted the claim, so that the refusal holds for every request sent under
// the key.
func (e *Entry) checkQuarantine(request *peer.Request) *problem.Error {
	suspects := e.opts.Suspects
	switch suspects.Check(request.Fingerprint) {
	case quarantine.Quarantined:
		return suspects.Refusal(request.Fingerprint)
	case quarantine.Suspect:
		request.Isolated = true
		request.Notices = suspects.NoticesFor(request.Fingerprint)
	}
	return nil
}
