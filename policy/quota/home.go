package quota

import (
	"math"
	"slices"
	"time"

	"zinniafall/policy/model"
)

// bucket is the share of an account's quota that this node has as a home.
type bucket struct {
	hash   uint64
	tokens float64
	// at is the time up to which tokens were added, since the start of the time in which
	// no other node was home.
	at, since time.Time
	// unlent is the part of the share that the home before cannot have lent.
	unlent float64
	demand demand
	// refusedUntil is when the rate has room for all requests refused so far.
	refusedUntil time.Time
	// lent and borrowed have at most a few loans for each failure domain.
	lent, borrowed loans
	usedAt         time.Time
}

// loan is rate lent to, or borrowed from, a failure domain.
type loan struct {
	domain model.Domain
	rate   float64
	until  time.Time
}

// demand estimates a rate from counts. The weight of a count falls by e in the time
// constant.
type demand struct {
	rate float64
	at   time.Time
}

func (d *demand) add(now time.Time, count float64, constant time.Duration) {
	d.rate = d.get(now, constant) + count/constant.Seconds()
	d.at = now
}

func (d *demand) get(now time.Time, constant time.Duration) float64 {
	if d.rate == 0 {
		return 0
	}
	return d.rate * math.Exp(-float64(now.Sub(d.at))/float64(constant))
}

// share returns this failure domain's base share of a quota. The burst has a part of the
// slack: a small account whose few requests come in groups would otherwise be refused
// where its failure domain's share of the burst is one or two tokens, far below its quota.
func (n *Node) share(limit Limit) (rate, burst float64) {
	domains := float64(n.opts.Domains)
	return max(limit.Rate, 0) / domains, (max(limit.Burst, 0) + burstSlackPart*n.opts.Slack) / domains
}

// loans are those to or from several failure domains. Of several with one failure
// domain the highest counts: the lender does not know which answers arrived, and the
// borrower may use what the lender still keeps.
type loans []loan

// at returns the rate of all loans at a time.
func (l loans) at(at time.Time) float64 {
	total := 0.0
	for i, x := range l {
		if at.Before(x.until) && !slices.ContainsFunc(l, func(y loan) bool { return y.domain == x.domain && at.Before(y.until) && y.rate > x.rate }) &&
			!slices.ContainsFunc(l[:i], func(y loan) bool { return y.domain == x.domain && at.Before(y.until) && y.rate == x.rate }) {
			total += x.rate
		}
	}
	return total
}

// with returns the loans with another, without those that it covers.
func (l loans) with(added loan) loans {
	l = slices.DeleteFunc(l, func(x loan) bool {
		return x.domain == added.domain && x.rate <= added.rate && !x.until.After(added.until)
	})
	return append(l, added)
}

// lasting returns the loans that have not ended.
func (l loans) lasting(now time.Time) loans {
	l = slices.DeleteFunc(l, func(x loan) bool { return !now.Before(x.until) })
	if len(l) == 0 {
		return nil
	}
	return l
}

// unlent returns the part of a share that is in use nowhere else when this node becomes home:
// the home before may have lent maxLent of it. After a start of all processes at once, the
// borrowers of most loans are gone as well. A process that has known no other member was
// preceded only by one at its address, whose loans ended before it was ready.
func (n *Node) unlent(since time.Time) float64 {
	if (n.allStarted || len(n.byNode) == 0) && !since.After(n.ready.Add(leaseTime)) {
		return startingPart
	}
	return 1 - maxLent
}

// settled returns when loans of the home before have ended.
func (b *bucket) settled() time.Time { return b.since.Add(loanTime + loanMargin) }

// rateAt returns the rate at which tokens are added. The home before may have lent
// a part of its share, which is in use elsewhere until settled.
func (b *bucket) rateAt(at time.Time, base float64) float64 {
	own := base
	if at.Before(b.settled()) {
		own *= b.unlent
	}
	return max(own-b.lent.at(at), 0) + b.borrowed.at(at)
}

// refill adds the tokens up to now, piece by piece where the rate changed.
func (b *bucket) refill(now time.Time, base, most float64) {
	for b.at.Before(now) {
		next := now
		consider := func(end time.Time) {
			if end.After(b.at) && end.Before(next) {
				next = end
			}
		}
		consider(b.settled())
		for _, l := range b.lent {
			consider(l.until)
		}
		for _, l := range b.borrowed {
			consider(l.until)
		}
		b.tokens = min(b.tokens+next.Sub(b.at).Seconds()*b.rateAt(b.at, base), most)
		b.at = next
	}
	b.tokens = min(b.tokens, most)
	b.lent = b.lent.lasting(now)
	b.borrowed = b.borrowed.lasting(now)
}

// bucket returns the bucket of an account of which this node is home since the given
// time. A bucket from before that is not continued, since another node may have
// granted meanwhile.
func (n *Node) bucket(now time.Time, account model.Account, hash uint64, since time.Time, limit Limit) *bucket {
	rate, burst := n.share(limit)
	b := n.buckets[account]
	if b != nil {
		b.refill(now, rate, burst)
	}
	if b == nil || b.since.Before(since) {
		if b == nil {
			since = later(since, n.removedAt)
		}
		fresh := &bucket{hash: hash, since: since, at: since, unlent: n.unlent(since), tokens: min(burst, n.opts.Slack*startPart/float64(n.opts.Domains))}
		fresh.refill(now, rate, burst)
		if b != nil {
			// What this node itself granted and lent before that counts as well.
			fresh.tokens, fresh.lent, fresh.demand, fresh.refusedUntil = min(fresh.tokens, b.tokens), b.lent, b.demand, b.refusedUntil
		}
		b = fresh
		n.buckets[account] = b
	}
	b.usedAt = now
	return b
}

// isFull reports whether a bucket can be dropped: a new one would be full as well.
func (n *Node) isFull(now time.Time, account model.Account, b *bucket) bool {
	limit, known := n.opts.Limit(account)
	rate, burst := n.share(limit)
	b.refill(now, rate, burst)
	return !known || limit.Rate <= 0 || b.tokens >= burst
}

// grant decides on an ask.
func (n *Node) grant(now time.Time, ask Ask) Grant {
	limit, known := n.opts.Limit(ask.Account)
	need, expected := max(ask.Need, 0), ask.Expected
	if !(expected > 0 && expected < maxExpected) { // also not NaN
		expected = 0
	}
	need = min(need, maxExpected)
	if known && limit.Rate <= 0 {
		return Grant{Tokens: need + int(expected)}
	}
	hash := hashOf(string(ask.Account))
	state, since, other := n.homeFor(now, hash)
	if state != isHome || !known {
		return Grant{NotHome: true, Home: other}
	}
	b := n.bucket(now, ask.Account, hash, since, limit)
	base, burst := n.share(limit)
	tokens := min(need, int(b.tokens))
	unmet := need - tokens
	b.tokens -= float64(tokens)
	if unmet == 0 {
		ahead := n.grantAhead(now, b, base, burst, expected)
		b.tokens -= float64(ahead)
		tokens += ahead
	}
	refused := unmet + min(max(ask.Refused, 0), maxExpected)
	b.demand.add(now, float64(tokens+refused), homeDemandTime)
	n.noteShortage(now, ask.Account, b, base, burst)
	n.granted += uint64(tokens)
	grant := Grant{Tokens: tokens}
	if refused > 0 {
		rate := max(b.rateAt(now, base), base/4)
		b.refusedUntil = later(b.refusedUntil, now).Add(seconds(float64(refused) / rate))
		if last := now.Add(maxRetryAfter); b.refusedUntil.After(last) {
			b.refusedUntil = last
		}
	}
	if unmet > 0 {
		grant.Wait = max(b.refusedUntil.Sub(now), time.Millisecond)
		grant.Pause = max(min(comeBackTime, seconds(burst/2/max(b.rateAt(now, base), base))), minComeBack)
	}
	return grant
}

// maxExpected bounds the figures of an ask.
const maxExpected = 1 << 20

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}

// grantAhead returns the tokens that an entry gets beyond its need. While the account
// is far from its quota it is as many as the entry expects to use, otherwise so many
// that nearly none of them lapse, and never more than a part of what is left to others.
func (n *Node) grantAhead(now time.Time, b *bucket, base, burst, expected float64) int {
	if b.tokens < burst/2 || b.demand.get(now, homeDemandTime) > b.rateAt(now, base)*calmPart {
		expected -= lapseMargin * math.Sqrt(expected)
	}
	return int(max(min(math.Round(expected), b.tokens/4), 0))
}

// wanted returns the rate that the account's requests in this failure domain call for:
// more than the demand while the bucket is less than half full, and less above that.
func (b *bucket) wanted(now time.Time, burst float64) float64 {
	fill := max(b.tokens, 0) / burst
	return b.demand.get(now, homeDemandTime) * (1 + refillPart*(1-2*fill))
}

// noteShortage marks an account to borrow rate for if it wants more than its share.
func (n *Node) noteShortage(now time.Time, account model.Account, b *bucket, base, burst float64) {
	if b.wanted(now, burst) > base {
		n.short[account] = now
	}
}

// lend decides on a loan to the home of another failure domain.
func (n *Node) lend(now time.Time, to model.Domain, ask LoanAsk) Loan {
	limit, known := n.opts.Limit(ask.Account)
	if !known || limit.Rate <= 0 || !(ask.Rate > 0) || to == n.opts.Domain || n.opts.Domains < 2 {
		return Loan{}
	}
	hash := hashOf(string(ask.Account))
	state, since, _ := n.homeFor(now, hash)
	if state != isHome {
		return Loan{}
	}
	b := n.bucket(now, ask.Account, hash, since, limit)
	base, burst := n.share(limit)
	if now.Before(b.settled()) {
		return Loan{}
	}
	before, others := 0.0, 0.0
	for _, l := range b.lent {
		if l.domain == to {
			before = max(before, l.rate)
		}
	}
	others = b.lent.at(now) - before
	spare := base - b.wanted(now, burst) - others
	rate := min(ask.Rate, before+base*loanStep, base*maxLent-others, spare)
	if !(rate > base*minLoan) {
		return Loan{}
	}
	b.lent = b.lent.with(loan{domain: to, rate: rate, until: now.Add(loanTime + loanMargin)})
	return Loan{Rate: rate}
}

// minLoan is the part of a base share below which a loan is not worth its message.
const minLoan = 0.01

// borrow records a loan that was asked for at a time.
func (n *Node) borrow(now, sentAt time.Time, from model.Domain, account model.Account, rate float64) {
	b := n.buckets[account]
	limit, _ := n.opts.Limit(account)
	if b == nil || sentAt.Before(b.since) || limit.Rate <= 0 || !(rate >= 0 && rate <= limit.Rate) {
		return
	}
	base, burst := n.share(limit)
	b.refill(now, base, burst)
	if until := sentAt.Add(loanTime); rate > 0 && now.Before(until) {
		b.borrowed = b.borrowed.with(loan{domain: from, rate: rate, until: until})
	}
}

// remoteNode is a node of another failure domain.
type remoteNode struct {
	node      model.NodeAddr
	hash      uint64
	skipUntil time.Time
	failures  int
}

// reachable returns the first node in the ranking of an account, or the second if the
// first was found to be unreachable, or nil.
func reachable(now time.Time, nodes []*remoteNode, account uint64) *remoteNode {
	var first, second *remoteNode
	for _, r := range nodes {
		switch s := score(r.hash, account); {
		case first == nil || s > score(first.hash, account):
			first, second = r, first
		case second == nil || s > score(second.hash, account):
			second = r
		}
	}
	for _, r := range []*remoteNode{first, second} {
		if r != nil && !now.Before(r.skipUntil) {
			return r
		}
	}
	return nil
}

// shortTime is how long a home borrows for an account after it was short of tokens.
const shortTime = time.Second

// askLoans adds the questions for loans that are due. Each failure domain is asked in
// turn: those whose loan ends soon.
func (n *Node) askLoans(now time.Time) {
	for account, at := range n.short {
		b := n.buckets[account]
		limit, known := n.opts.Limit(account)
		if b == nil || !known || limit.Rate <= 0 || now.Sub(at) > shortTime {
			delete(n.short, account)
			continue
		}
		base, burst := n.share(limit)
		missing := b.wanted(now, burst) - base
		for _, domain := range n.domains {
			lent, asked := n.askLoan(now, account, b, domain, missing)
			missing -= lent
			if asked || missing <= base*minLoan {
				break
			}
		}
	}
}

// askLoan asks one failure domain for a loan if that is due, or returns the rate that
// it lends.
func (n *Node) askLoan(now time.Time, account model.Account, b *bucket, domain model.Domain, missing float64) (lent float64, asked bool) {
	for _, l := range b.borrowed {
		if l.domain == domain && l.until.Sub(now) > loanRenewTime {
			lent = max(lent, l.rate)
		}
	}
	if lent > 0 {
		return lent, false
	}
	key := loanKey{account, domain}
	if now.Sub(n.loanAsked[key]) < loanInterval {
		return 0, false
	}
	first := reachable(now, n.remote[domain], b.hash)
	if first == nil {
		return 0, false
	}
	n.loanAsked[key] = now
	n.loanAsks[first.node] = append(n.loanAsks[first.node], LoanAsk{Account: account, Rate: missing})
	n.dirty[first.node] = true
	return 0, true
}

type loanKey struct {
	account model.Account
	domain  model.Domain
}
