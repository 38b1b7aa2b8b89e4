package entry

import (
	"slices"

	"zinniafall/node/peer"
	"zinniafall/policy/model"
	"zinniafall/policy/placement"
	"zinniafall/policy/problem"
	"zinniafall/policy/quarantine"
)

// isolation finds the one owner that runs a suspected request, so that copies
// of it never reach two targets at once.
type isolation struct {
	processes []model.ProcessID
	nodes     map[model.ProcessID]model.NodeAddr
}

func newIsolation(targets []placement.Target) isolation {
	i := isolation{nodes: make(map[model.ProcessID]model.NodeAddr, len(targets))}
	for _, t := range targets {
		i.processes = append(i.processes, t.Process)
		i.nodes[t.Process] = t.Node
	}
	return i
}

// owner returns the owner for the request. It refuses when that owner is among
// the excluded ones.
func (i isolation) owner(f quarantine.Fingerprint, exclude []model.NodeAddr) (model.NodeAddr, *problem.Error) {
	if len(i.processes) == 0 {
		return "", problem.New(problem.NoTarget, model.RunNo, "no target of the service takes work")
	}
	node := i.nodes[quarantine.RankOwners(f, i.processes)[0]]
	if slices.Contains(exclude, node) {
		return "", problem.New(problem.Overloaded, model.RunNo, "a target died with this request in flight, and the one that may try it does not take it now")
	}
	return node, nil
}

// fingerprintBody is the length in bytes of the part of a body that identifies
// equal requests.
const fingerprintBody = 4 << 10

func fingerprintOf(request *peer.Request) quarantine.Fingerprint {
	prefix := request.Body[:min(len(request.Body), fingerprintBody)]
	return quarantine.FingerprintOf(request.Account, request.Service, request.Method, request.URI, prefix)
}

// judge refuses a request that crashed targets and isolates one that may have.
// It is asked before each attempt, since the news of a crash may come between
// two of them. A call under a request key is judged only after its issuer gave
// it the right to start, so that the refusal is true of all its sendings.
func (e *Entry) judge(request *peer.Request) *problem.Error {
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
