package callkey

import (
	"fmt"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// Issuer issues keys and decides on the calls sent under them. It is not safe
// for concurrent use. All times passed to it must come from one monotonic
// clock.
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
// refuses when the account could not start a call under them.
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

// issue returns the next key in text form.
func (i *Issuer) issue(now time.Time, account model.Account) (string, error) {
	i.lastSerial++
	return sign(ParsedKey{
		Node:    i.opts.Node,
		Process: i.opts.Process,
		Serial:  i.lastSerial,
		Issued:  now.Sub(i.epoch),
		Account: account,
	}, i.opts.Secrets[0])
}

// Claim decides on a request of a keyed call. On Start the claim is recorded
// before Claim returns, so the node may send the call to an owner immediately.
func (i *Issuer) Claim(now time.Time, r Request) Claim {
	key, refusal := i.check(now, r)
	if refusal != nil {
		return refuse(refusal)
	}
	if c := i.claims.find(key); c != nil {
		return c.decideResend(r)
	}
	if i.closed {
		return refuse(draining())
	}
	if !i.claims.hasRoom(r.Account) {
		return refuse(tableFull())
	}
	return i.start(key, r)
}

// check authenticates the key and refuses a key under which this issuer never
// starts a call.
func (i *Issuer) check(now time.Time, r Request) (ParsedKey, *problem.Error) {
	key, err := Parse(r.Key, i.opts.Secrets)
	switch {
	case err != nil:
		return key, err
	case key.Account != r.Account:
		return key, accountMismatch()
	case key.Process != i.opts.Process:
		return key, IssuerGone(key)
	case key.Serial > i.lastSerial:
		return key, neverIssued()
	case i.claims.expired(key, now.Sub(i.epoch)):
		return key, expiredKey()
	}
	return key, nil
}

// start records a claim on the key and allows its run.
func (i *Issuer) start(key ParsedKey, r Request) Claim {
	i.lastStart++
	c := &claim{key: key.Serial, issued: key.Issued, start: i.lastStart, account: r.Account, fingerprint: r.Fingerprint}
	i.claims.add(c)
	i.starts[c.start] = c
	return Claim{Verdict: Start, Serial: c.start}
}

// Complete records that the call ran and retains its answer, which must not be
// modified afterwards. A nil answer, or one over the limits, is not retained;
// a resend is then told only that the call ran. Complete also resolves a call
// with an unknown outcome whose answer arrived late.
func (i *Issuer) Complete(_ time.Time, serial uint64, answer *Answer) {
	c, ok := i.starts[serial]
	if !ok {
		return
	}
	delete(i.starts, serial)
	c.finish(completed)
	i.answers.keep(c, answer)
}

// Release records that the call is known not to have run, which makes its key
// usable again. It does nothing for a call that was marked unknown: an outcome
// that was reported as unknown is never reported as not run later.
func (i *Issuer) Release(_ time.Time, serial uint64) {
	c, ok := i.starts[serial]
	if !ok || c.state != running {
		return
	}
	delete(i.starts, serial)
	i.claims.remove(c)
	c.finish(released)
}

// MarkUnknown records that the outcome of the call is unknown. Every resend
// gets the refusal with an unknown outcome, and no further call runs under the
// key.
func (i *Issuer) MarkUnknown(_ time.Time, serial uint64, refusal *problem.Error) {
	c, ok := i.starts[serial]
	if !ok || c.state != running {
		return
	}
	unknown := *refusal
	unknown.Run = model.RunUnknown
	c.refusal = &unknown
	c.finish(outcomeUnknown)
}

// Expire drops the claims whose keys are past their time to live and refuses
// these keys permanently. Call it about once a second.
func (i *Issuer) Expire(now time.Time) {
	if i.lastSerial == 0 {
		return
	}
	for _, c := range i.claims.expire(now.Sub(i.epoch)) {
		delete(i.starts, c.start)
		i.answers.remove(c)
		c.finish(c.state)
	}
}

// Close begins a planned stop: the issuer issues no more keys and starts no
// more calls. Running calls continue, and resends are still answered from the
// recorded claims.
func (i *Issuer) Close() { i.closed = true }
