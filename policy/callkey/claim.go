package callkey

import (
	"container/list"
	"net/http"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// Verdict tells the node what to do with a keyed call.
type Verdict uint8

// The verdicts on a keyed call.
const (
	// Start gives the caller of Claim the only right to run the call. It ends
	// with exactly one of Complete, Release and Lose.
	Start Verdict = iota + 1
	// Wait means that the call runs now: wait for Done, then claim again.
	Wait
	// Replay means that the call ran; its answer is in the claim.
	Replay
	// Refuse means that the call is answered with the claim's refusal.
	Refuse
)

// Request is one sending of a keyed call.
type Request struct {
	// Key is the text of the key.
	Key string
	// Account is the client account that sent the call.
	Account model.Account
	// Fingerprint digests the service, method, path and body.
	Fingerprint [32]byte
}

// Claim is the decision on one sending of a keyed call.
type Claim struct {
	Verdict Verdict
	// Serial names the right to run that a Start gave. It is not the key's
	// serial: each Start has its own, so that a late end of an earlier start
	// never ends a newer one.
	Serial uint64
	// Answer is set on Replay.
	Answer *Answer
	// Refusal is set on Refuse.
	Refusal *problem.Error
	// Done is set on Wait and is closed when the running call has ended.
	Done <-chan struct{}
}

// Answer is a whole answer of a target.
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
	lost
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

// resent decides on a sending whose key is already claimed.
func (c *claim) resent(r Request) Claim {
	if c.fingerprint != r.Fingerprint {
		return refuse(otherRequest())
	}
	switch c.state {
	case running:
		return Claim{Verdict: Wait, Done: c.wait()}
	case lost:
		return refuse(c.refusal)
	}
	if c.answer == nil {
		return refuse(notRetained())
	}
	return Claim{Verdict: Replay, Answer: c.answer}
}

// wait returns the channel that end closes.
func (c *claim) wait() <-chan struct{} {
	if c.done == nil {
		c.done = make(chan struct{})
	}
	return c.done
}

// end sets the state and wakes those that wait.
func (c *claim) end(state claimState) {
	c.state = state
	if c.done != nil {
		close(c.done)
		c.done = nil
	}
}
