package callkey

import (
	"fmt"
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

// Issuer hands out keys and decides on the calls sent under them. It is not
// safe for concurrent use. Every now must come from one monotonic clock.
type Issuer struct {
	opts       Options
	epoch      time.Time
	lastSerial uint64
	lastStart  uint64
	closed     bool
	claims     claimTable
	answers    answerStore
	starts     map[uint64]*claim
}

// NewIssuer returns an issuer for one process.
func NewIssuer(opts Options) *Issuer {
	opts = opts.withDefaults()
	return &Issuer{
		opts:    opts,
		claims:  newClaimTable(opts.TTL, opts.MaxClaims),
		answers: newAnswerStore(opts.MaxAnswerBytes, opts.MaxTotalBytes),
		starts:  make(map[uint64]*claim),
	}
}

// Issue returns n keys, from 1 to 256, that only the account can use. It
// refuses when the account could start no call under them.
func (i *Issuer) Issue(now time.Time, account model.Account, n int) ([]string, *problem.Error) {
	if n < 1 || n > maxBatch {
		return nil, problem.New(problem.BadRequest, model.RunNo, fmt.Sprintf("%d request keys were asked for; ask for 1 to %d", n, maxBatch))
	}
	if i.closed {
		return nil, draining()
	}
	if !i.claims.hasRoom(account) {
		return nil, tableFull()
	}
	if i.lastSerial == 0 {
		i.epoch = now
	}
	keys := make([]string, 0, n)
	for range n {
		text, err := i.issue(now, account)
		if err != nil {
			return nil, problem.New(problem.Internal, model.RunNo, err.Error())
		}
		keys = append(keys, text)
	}
	return keys, nil
}

func (i *Issuer) issue(now time.Time, account model.Account) (string, error) {
	i.lastSerial++
	return sign(Parsed{
		Node:    i.opts.Node,
		Process: i.opts.Process,
		Serial:  i.lastSerial,
		Issued:  now.Sub(i.epoch),
		Account: account,
	}, i.opts.Secrets[0])
}

// Claim decides on one sending of a keyed call. On Start the claim is
// recorded before Claim returns, so the node may give the call to an owner at
// once.
func (i *Issuer) Claim(now time.Time, r Request) Claim {
	key, refusal := i.check(now, r)
	if refusal != nil {
		return refuse(refusal)
	}
	if c := i.claims.find(key); c != nil {
		return i.resent(c, r)
	}
	if i.closed {
		return refuse(draining())
	}
	if !i.claims.hasRoom(r.Account) {
		return refuse(tableFull())
	}
	return i.start(key, r)
}

// check authenticates the key and refuses one that this issuer never starts
// a call under.
func (i *Issuer) check(now time.Time, r Request) (Parsed, *problem.Error) {
	key, err := Parse(r.Key, i.opts.Secrets)
	switch {
	case err != nil:
		return key, err
	case key.Account != r.Account:
		return key, problem.New(problem.KeyMismatch, model.RunNo, "the request key was issued to another client account")
	case key.Process != i.opts.Process:
		return key, IssuerGone(key)
	case key.Serial > i.lastSerial:
		return key, problem.New(problem.KeyInvalid, model.RunNo, "the request key was never issued")
	case i.claims.expired(key, now.Sub(i.epoch)):
		return key, problem.New(problem.KeyExpired, model.RunUnknown, "the request key is older than its time to live")
	}
	return key, nil
}

// resent decides on a sending whose key is already claimed.
func (i *Issuer) resent(c *claim, r Request) Claim {
	if c.fingerprint != r.Fingerprint {
		return refuse(problem.New(problem.KeyMismatch, model.RunUnknown, "the request key was used for a request with another service, method, path or body"))
	}
	switch c.state {
	case running:
		return Claim{Verdict: Wait, Done: c.wait()}
	case lost:
		return refuse(c.refusal)
	}
	if c.answer == nil {
		return refuse(problem.New(problem.AnswerNotRetained, model.RunYes, "the request ran once under this key"))
	}
	return Claim{Verdict: Replay, Answer: c.answer}
}

func (i *Issuer) start(key Parsed, r Request) Claim {
	i.lastStart++
	c := &claim{key: key.Serial, issued: key.Issued, start: i.lastStart, account: r.Account, fingerprint: r.Fingerprint}
	i.claims.add(c)
	i.starts[c.start] = c
	return Claim{Verdict: Start, Serial: c.start}
}

// Complete records that the call ran and keeps its answer, which must not be
// changed afterwards. A nil answer, or one over the limits, is not kept: a
// later sending is told that the call ran. It also resolves a lost call whose
// answer came late.
func (i *Issuer) Complete(_ time.Time, serial uint64, answer *Answer) {
	c, ok := i.starts[serial]
	if !ok {
		return
	}
	delete(i.starts, serial)
	c.end(completed)
	i.answers.keep(c, answer)
}

// Release records that the call was proven not to have run. The key may be
// used again. It does nothing for a call that was lost: what was once
// reported as unknown is not called not run.
func (i *Issuer) Release(_ time.Time, serial uint64) {
	c, ok := i.starts[serial]
	if !ok || c.state != running {
		return
	}
	delete(i.starts, serial)
	i.claims.remove(c)
	c.end(released)
}

// Lose records that the outcome of the call is unknown. Every later sending
// gets the refusal with an unknown outcome, and nothing runs under the key.
func (i *Issuer) Lose(_ time.Time, serial uint64, refusal *problem.Error) {
	c, ok := i.starts[serial]
	if !ok || c.state != running {
		return
	}
	unknown := *refusal
	unknown.Run = model.RunUnknown
	c.refusal = &unknown
	c.end(lost)
}

// Expire forgets the claims whose keys are past their time to live, and
// refuses these keys for ever. Call it about once a second.
func (i *Issuer) Expire(now time.Time) {
	if i.lastSerial == 0 {
		return
	}
	for _, c := range i.claims.expire(now.Sub(i.epoch)) {
		delete(i.starts, c.start)
		i.answers.drop(c)
		c.end(c.state)
	}
}

// Close starts a planned stop: no key is issued and no call started any more.
// Calls that run go on, and what is recorded is still answered.
func (i *Issuer) Close() { i.closed = true }

// IssuerGone is the refusal of a key whose issuing process no longer runs or
// cannot be reached. Nothing runs; whether the call ran before is unknown.
func IssuerGone(key Parsed) *problem.Error {
	return problem.New(problem.KeyIssuerGone, model.RunUnknown, "process "+key.Process.String()+" at "+string(key.Node)+" issued the request key and cannot be asked")
}

func refuse(e *problem.Error) Claim { return Claim{Verdict: Refuse, Refusal: e} }

func tableFull() *problem.Error {
	return problem.New(problem.KeyTableFull, model.RunNo, "the node has no room for another claim of the client account")
}

func draining() *problem.Error {
	return problem.New(problem.Draining, model.RunNo, "the node stops and starts no call under its request keys; ask another node for a key")
}
