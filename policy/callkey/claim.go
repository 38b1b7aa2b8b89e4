package callkey

import (
	"container/list"
	"net/http"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// Verdict is the action that a Claim asks for.
type Verdict uint8

// The verdicts on a keyed call.
const (
	// Start gives the caller of Claim the exclusive right to run the call. It
	// must end the run with exactly one of Complete, Release and MarkUnknown.
	Start Verdict = iota + 1
	// Wait means that the call is running: wait for Done, then claim again.
	Wait
	// Replay means that the call ran and that Answer holds its answer.
	Replay
	// Refuse means that the call is to be answered with Refusal.
	Refuse
)

// Request is one request of a keyed call; a resend is another one.
type Request struct {
	// Key is the request key in text form.
	Key string
	// Account is the client account that sent the call.
	Account model.Account
	// Fingerprint is a digest of the service, method, path and body.
	Fingerprint [32]byte
}

// Claim is the decision on a Request.
type Claim struct {
	Verdict Verdict
	// Serial identifies the run that a Start allows. It is not the key's
	// serial: each Start has its own, so that a delayed end of an earlier run
	// never ends a newer one.
	Serial uint64
	// Answer is set on Replay.
	Answer *Answer
	// Refusal is set on Refuse.
	Refusal *problem.Error
	// Done is set on Wait and is closed when the running call ends.
	Done <-chan struct{}
}

// Answer is a complete answer of a target.
type Answer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

// claimState is the state of one claim.
type claimState uint8

const (
	running claimState = iota
	completed
	outcomeUnknown
	released
)

// claim records that a call was started under a key.
type claim struct {
	key         uint64
	issued      time.Duration
	start       uint64
	account     model.Account
	fingerprint [32]byte
	state       claimState
	refusal     *problem.Error
	answer      *Answer
	retained    *list.Element
	done        chan struct{}
}

// decideResend decides on a request whose key is already claimed.
func (c *claim) decideResend(r Request) Claim {
	if c.fingerprint != r.Fingerprint {
		return refuse(requestMismatch())
	}
	switch c.state {
	case running:
		return Claim{Verdict: Wait, Done: c.doneChannel()}
	case outcomeUnknown:
		return refuse(c.refusal)
	}
	if c.answer == nil {
		return refuse(notRetained())
	}
	return Claim{Verdict: Replay, Answer: c.answer}
}

// doneChannel returns the channel that finish closes.
func (c *claim) doneChannel() <-chan struct{} {
	if c.done == nil {
		c.done = make(chan struct{})
	}
	return c.done
}

// finish sets the state and wakes all waiting requests.
func (c *claim) finish(state claimState) {
	c.state = state
	if c.done != nil {
		close(c.done)
		c.done = nil
	}
}
