package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniafall/node/peer"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/proof"
	"zinniafall/policy/quota"
	"zinniafall/policy/strictcbor"
)

// maxQuotaElements bounds the arrays of a quota message: the members of a failure
// domain and the accounts of a question are the longest.
const maxQuotaElements = 16 << 10

// quotaTick is the time between calls of quota.Node.Tick.
const quotaTick = time.Second

var quotaDecoder = strictcbor.Decoder(strictcbor.Limits{Elements: maxQuotaElements})

// quotas enforces the quotas of accounts: it carries the messages of a quota.Node. It
// does nothing until the configuration has an account with a rate or another node asks.
type quotas struct {
	node *Node
	// clock counts while the VM is suspended: what other nodes promised must not last
	// longer here than there.
	clock  func() proof.Instant
	booted proof.Instant
	start  time.Time
	// membersChanged is set when the roster changed.
	membersChanged atomic.Bool
	used           sync.Once
	begun          atomic.Bool
	questions      atomic.Int64 // sent, also to this node itself

	mu     sync.Mutex
	policy *quota.Node
	// changed is closed when an answer arrived or a question failed.
	changed chan struct{}
}

func newQuotas(n *Node, clock func() proof.Instant) *quotas {
	if clock == nil {
		clock = systemBootTime
	}
	x := &quotas{node: n, clock: clock, booted: clock(), start: time.Now(), changed: make(chan struct{})}
	s := n.settings
	x.policy = quota.New(x.now(), quota.Options{
		Self: n.self, Domain: s.Domain, Domains: s.Domains, Window: s.QuotaWindow, Overshoot: s.QuotaOvershoot, Slack: s.QuotaSlack,
		Limit: x.limit, Seed: rand.Uint64(),
	})
	x.membersChanged.Store(true)
	return x
}

func (x *quotas) now() time.Time { return x.start.Add(time.Duration(x.clock() - x.booted)) }

func (x *quotas) counts() (granted, refused uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.policy.Counts()
}

// limit returns the quota of an account in the configuration in force.
func (x *quotas) limit(name model.Account) (quota.Limit, bool) {
	table := x.node.configuration.current()
	if table == nil {
		return quota.Limit{}, false
	}
	account, ok := table.Account(name)
	return quota.Limit{Rate: account.Rate, Burst: account.Burst}, ok
}

// begin prepares for quotas as soon as the configuration has an account with a rate: the time
// after which this node may be a home counts from when it knows the others.
func (x *quotas) begin() {
	table := x.node.configuration.current()
	if x.begun.Load() || table == nil || !x.node.fleet.isKnown() || !table.HasQuotas() {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.prepare(x.now())
}

// prepare applies changes of the roster, and starts what quotas need at their first use. The caller must hold x.mu.
func (x *quotas) prepare(now time.Time) {
	x.used.Do(func() {
		x.node.metrics.NewGauge(`zinniafall_quota_granted_total`, func() float64 { granted, _ := x.counts(); return float64(granted) })
		x.node.metrics.NewGauge(`zinniafall_quota_refused_total`, func() float64 { _, refused := x.counts(); return float64(refused) })
		x.node.metrics.NewGauge(`zinniafall_quota_questions_total`, func() float64 { return float64(x.questions.Load()) })
		x.node.goBackground(func() { x.tick(x.node.ctx) })
	})
	f := x.node.fleet
	// Without a list of all nodes this one might take itself for its whole failure domain.
	if !f.isKnown() || !x.membersChanged.Swap(false) {
		return
	}
	x.begun.Store(true)
	f.mu.Lock()
	records := f.roster.Records()
	f.mu.Unlock()
	members := make([]quota.Member, len(records))
	for i, r := range records {
		members[i] = quota.Member{Node: r.Node, Domain: r.Domain}
	}
	x.policy.SetMembers(now, members)
}

// tick removes what is no longer used until the context ends.
func (x *quotas) tick(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, quotaTick)
		x.mu.Lock()
		now := x.now()
		x.prepare(now)
		x.policy.Tick(now)
		x.mu.Unlock()
	}
}

// take takes a token for a call of an account. It waits for the account's home for at
// most quota.AnswerTimeout.
func (x *quotas) take(ctx context.Context, account model.Account) *problem.Error {
	if limit, ok := x.limit(account); !ok || limit.Rate <= 0 {
		return nil
	}
	answered := make(chan quota.Verdict, 1)
	x.mu.Lock()
	now := x.now()
	x.prepare(now)
	verdict, waiter := x.policy.Take(now, account, func(v quota.Verdict) { answered <- v })
	out := x.policy.Outgoing(now)
	x.mu.Unlock()
	x.send(out)
	if waiter != nil {
		verdict = x.await(ctx, waiter, answered)
	}
	switch {
	case verdict.Granted:
		return nil
	case ctx.Err() != nil:
		return problem.Ended(ctx.Err(), model.RunNo, "the account's quota was asked for")
	}
	detail := "the quota of account " + string(account) + " is used up"
	if verdict.Fallback {
		detail = "no node that grants the quota of account " + string(account) + " was reached, and this node's part for that case is used up"
	}
	return problem.New(problem.AccountLimit, model.RunNo, detail).After(verdict.RetryAfter)
}

// await waits for the verdict on a request.
func (x *quotas) await(ctx context.Context, waiter *quota.Waiter, answered chan quota.Verdict) quota.Verdict {
	timer := time.NewTimer(quota.AnswerTimeout)
	defer timer.Stop()
	select {
	case v := <-answered:
		return v
	case <-timer.C:
	case <-ctx.Done():
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	select {
	case v := <-answered:
		return v
	default:
		return x.policy.GiveUp(x.now(), waiter, ctx.Err() != nil)
	}
}

// send sends questions in the background.
func (x *quotas) send(out []quota.Outgoing) {
	for _, o := range out {
		x.node.goBackground(func() { x.deliver(o) })
	}
}

// deliver sends a question and applies its answer.
func (x *quotas) deliver(o quota.Outgoing) {
	x.questions.Add(1)
	var answer quota.Answer
	var err error
	if o.To == x.node.self {
		answer = x.answer(x.node.ctx, o.Question)
	} else {
		answer, err = x.ask(o)
	}
	x.mu.Lock()
	now := x.now()
	if err == nil {
		x.policy.Answered(now, o, answer)
	} else {
		x.policy.Failed(now, o, errors.Is(err, syscall.ECONNREFUSED))
	}
	close(x.changed)
	x.changed = make(chan struct{})
	out := x.policy.Outgoing(now)
	x.mu.Unlock()
	x.send(out)
}

// ask sends a question to another node. A connection that ends is opened again once: if
// the process is gone, that is refused.
func (x *quotas) ask(o quota.Outgoing) (quota.Answer, error) {
	ctx, cancel := context.WithTimeout(x.node.ctx, x.policy.TokenTime())
	defer cancel()
	payload, err := cbor.Marshal(o.Question)
	if err != nil {
		return quota.Answer{}, err
	}
	answer, err := x.exchange(ctx, o.To, payload)
	if errors.Is(err, peer.ErrOutcomeUnknown) && ctx.Err() == nil {
		answer, err = x.exchange(ctx, o.To, payload)
	}
	return answer, err
}

func (x *quotas) exchange(ctx context.Context, to model.NodeAddr, payload []byte) (quota.Answer, error) {
	var answer quota.Answer
	exchange, err := x.node.client.Open(ctx, to, &peer.Request{Kind: peer.KindQuota, Inline: true, Body: payload, From: x.node.self})
	if err != nil {
		return answer, err
	}
	defer exchange.Close()
	received, err := exchange.Receive()
	if err != nil {
		return answer, err
	}
	if received.Problem != nil {
		return answer, received.Problem // a node of an earlier release
	}
	return answer, quotaDecoder.Unmarshal(received.Body, &answer)
}

// serve answers another node's question.
func (x *quotas) serve(ctx context.Context, stream streamWriter, payload []byte) {
	var question quota.Question
	if err := quotaDecoder.Unmarshal(payload, &question); err != nil {
		_ = stream.Answer(&peer.Answer{Run: model.RunNo, Problem: problem.New(problem.BadRequest, model.RunNo, "the question for a quota is not readable")})
		return
	}
	body, err := cbor.Marshal(x.answer(ctx, question))
	if err != nil || stream.Answer(&peer.Answer{Run: model.RunNo, Status: 200, Inline: true, Body: body}) != nil {
		stream.Fail()
	}
}

// answer decides on a question. It waits for what the answer depends on for at most
// quota.CheckTimeout.
func (x *quotas) answer(ctx context.Context, question quota.Question) quota.Answer {
	timer := time.NewTimer(quota.CheckTimeout)
	defer timer.Stop()
	final := false
	for {
		x.mu.Lock()
		now := x.now()
		x.prepare(now)
		answer, wait := x.policy.Receive(now, question, final)
		out, changed := x.policy.Outgoing(now), x.changed
		x.mu.Unlock()
		x.send(out)
		if !wait {
			return answer
		}
		select {
		case <-changed:
		case <-timer.C:
			final = true
		case <-ctx.Done():
			final = true
		}
	}
}
