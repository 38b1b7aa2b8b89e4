package callkey

import (
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// IssuerGone returns the refusal of a key whose issuing process no longer runs
// or cannot be reached. Nothing can run under the key; whether the call ran
// before is unknown.
func IssuerGone(key ParsedKey) *problem.Error {
	return problem.New(problem.KeyIssuerGone, model.RunUnknown, "process "+key.Process.String()+" at "+string(key.Node)+" issued the request key and cannot be asked")
}

func malformedKey() *problem.Error {
	return problem.New(problem.KeyInvalid, model.RunNo, "the request key is not one that a node issued")
}

// unknownSecret returns the refusal of a key whose MAC no accepted secret
// produced. The key may have been signed with a secret that is no longer
// accepted, so a call may have run under it.
func unknownSecret() *problem.Error {
	return problem.New(problem.KeyInvalid, model.RunUnknown, "no accepted secret signed the request key")
}

func accountMismatch() *problem.Error {
	return problem.New(problem.KeyMismatch, model.RunNo, "the request key was issued to another client account")
}

func neverIssued() *problem.Error {
	return problem.New(problem.KeyInvalid, model.RunNo, "the request key was never issued")
}

func expiredKey() *problem.Error {
	return problem.New(problem.KeyExpired, model.RunUnknown, "the request key is older than its time to live")
}

// requestMismatch reports an unknown outcome rather than not run, since a
// caller may have encoded the same payment in another way.
func requestMismatch() *problem.Error {
	return problem.New(problem.KeyMismatch, model.RunUnknown, "the request key was used for a request with another service, method, path or body")
}

func notRetained() *problem.Error {
	return problem.New(problem.AnswerNotRetained, model.RunYes, "the request ran once under this key")
}

func tableFull() *problem.Error {
	return problem.New(problem.KeyTableFull, model.RunNo, "the node has no room for another claim of the client account")
}

func draining() *problem.Error {
	return problem.New(problem.Draining, model.RunNo, "the node stops and starts no call under its request keys; ask another node for a key")
}

func refuse(e *problem.Error) Claim { return Claim{Verdict: Refuse, Refusal: e} }
