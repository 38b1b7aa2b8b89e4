package quota

import (
	"math/rand/v2"
	"slices"
	"time"

	"zinniafall/policy/model"
)

// Node is the part of one node in the quotas: as entry, as home and as supporter of
// other homes. It is not safe for concurrent use.
type Node struct {
	opts      Options
	hash      uint64
	rng       *rand.Rand
	tokenTime time.Duration
	// ready is when this process may be a home: what an earlier process at this address
	// promised has ended, and all members have heard of this one. Until SetMembers is
	// called first, it is unknownMembersTime away.
	ready time.Time
	// since is the time since when no other node acts on votes against this one, and
	// takenOverUntil when the last that may have done so ended. No other did from
	// majorityFrom until majorityUntil, in which a majority supported this one.
	since                       time.Time
	takenOverUntil              time.Time
	majorityFrom, majorityUntil time.Time
	majorityCounted             time.Time
	ends                        []time.Time // reused
	// removedAt is when a member was last removed.
	removedAt time.Time
	// fleetSize is the largest number of nodes that was known: a node that is cut off
	// must not take its part of the fallback for a larger one.
	fleetSize     int
	byNode        map[model.NodeAddr]*member
	members       []*member
	knownDigest   uint64
	toldDigest    uint64
	cursor        int
	skipSelfUntil time.Time

	domains  []model.Domain
	remote   map[model.Domain][]*remoteNode
	buckets  map[model.Account]*bucket
	short    map[model.Account]time.Time
	holdings map[model.Account]*holding

	// dirty are the nodes with something to send, asks and loanAsks what; inFlight are
	// the questions on their way.
	dirty     map[model.NodeAddr]bool
	asks      map[model.NodeAddr][]model.Account
	loanAsks  map[model.NodeAddr][]LoanAsk
	loanAsked map[loanKey]time.Time
	inFlight  map[model.NodeAddr]bool
	loansAt   time.Time
	swept     time.Time

	// started is when the members became known, and membersChanged when their list last
	// changed. starting holds the tokens that this process grants until it is ready, and
	// sample shows whether the other members are starting, too.
	started, membersChanged time.Time
	starting                map[model.Account]*startingBucket
	sample                  startSample
	// allStarted is set if all members in the last sample before ready were starting.
	allStarted bool

	granted, refused uint64
}

// unknownMembersTime is longer than any process waits for the list of the nodes.
const unknownMembersTime = 100 * 365 * 24 * time.Hour

// New returns the part of a process that starts now.
func New(now time.Time, options Options) *Node {
	if options.Window <= 0 {
		options.Window = DefaultWindow
	}
	if options.Overshoot <= 0 {
		options.Overshoot = DefaultOvershoot
	}
	if options.Slack <= 0 {
		options.Slack = DefaultSlack
	}
	options.Domains = max(options.Domains, 1)
	n := &Node{
		opts: options, hash: hashOf(string(options.Self)), rng: rand.New(rand.NewPCG(options.Seed, 1)),
		// Tokens that are spent late take half of the overshoot.
		tokenTime: min(maxTokenTime, time.Duration(options.Overshoot/2*float64(options.Window))),
		ready:     now.Add(unknownMembersTime), fleetSize: 1, swept: now,
		byNode: make(map[model.NodeAddr]*member), remote: make(map[model.Domain][]*remoteNode),
		buckets: make(map[model.Account]*bucket), short: make(map[model.Account]time.Time), holdings: make(map[model.Account]*holding),
		dirty: make(map[model.NodeAddr]bool), asks: make(map[model.NodeAddr][]model.Account), loanAsks: make(map[model.NodeAddr][]LoanAsk),
		loanAsked: make(map[loanKey]time.Time), inFlight: make(map[model.NodeAddr]bool),
	}
	n.since = n.ready
	n.starting = make(map[model.Account]*startingBucket)
	n.updateMembers(now)
	return n
}

// Counts returns the tokens granted as a home and the requests refused as an entry.
func (n *Node) Counts() (granted, refused uint64) { return n.granted, n.refused }

// Ready reports whether this process may be a home.
func (n *Node) Ready(now time.Time) bool { return !now.Before(n.ready) }

// TokenTime returns how long an answer is of use after its question was sent.
func (n *Node) TokenTime() time.Duration { return n.tokenTime }

// Outgoing returns the questions to send now: at most one at a time is on its way to
// each node.
func (n *Node) Outgoing(now time.Time) []Outgoing {
	if len(n.short) > 0 && now.Sub(n.loansAt) >= loanPollInterval {
		n.loansAt = now
		n.askLoans(now)
	}
	if len(n.dirty) == 0 {
		return nil
	}
	var out []Outgoing
	for node := range n.dirty {
		if !n.inFlight[node] {
			out = append(out, Outgoing{To: node, SentAt: now, Question: n.question(now, node)})
			n.inFlight[node] = true
		}
	}
	slices.SortFunc(out, func(a, b Outgoing) int {
		if a.To < b.To {
			return -1
		}
		return 1
	})
	return out
}

// question takes what is to be sent to a node.
func (n *Node) question(now time.Time, to model.NodeAddr) Question {
	q := Question{From: n.opts.Self, Domain: n.opts.Domain, Loans: n.loanAsks[to], Starting: now.Before(n.ready)}
	delete(n.loanAsks, to)
	delete(n.dirty, to)
	accounts := n.asks[to]
	if len(accounts) > maxAsks {
		n.asks[to] = accounts[maxAsks:]
		accounts = accounts[:maxAsks]
		n.dirty[to] = true
	} else {
		delete(n.asks, to)
	}
	for _, account := range accounts {
		h := n.holdings[account]
		if h == nil {
			continue
		}
		h.asking, h.asked = false, true
		q.Asks = append(q.Asks, Ask{Account: account, Need: len(h.waiting), Expected: n.expected(now, h), Refused: h.refused})
		h.refused = 0
	}
	if m := n.byNode[to]; m != nil {
		m.wantPing = false
		q.Digest, q.Seen = n.knownDigest, m.seen
		for _, other := range n.members {
			if other != m && now.Before(other.pollVotes) {
				q.Against = append(q.Against, other.node)
			}
		}
	}
	return q
}

// Receive answers a question. If wait is set, the answer depends on what the node is
// finding out: Receive has to be called again after the next Answered or Failed, and
// with final set after CheckTimeout. Outgoing returns what has to be sent.
func (n *Node) Receive(now time.Time, q Question, final bool) (a Answer, wait bool) {
	if !final && n.mustCheck(now, q) {
		return a, true
	}
	if q.Domain == n.opts.Domain && q.From != n.opts.Self && q.From != "" {
		n.answerMember(now, q, &a)
	}
	for _, node := range q.Against[:min(len(q.Against), maxAsks)] {
		a.Against = append(a.Against, q.Domain == n.opts.Domain && node != q.From && n.voteAgainst(now, node))
	}
	for _, ask := range q.Asks[:min(len(q.Asks), maxAsks)] {
		if q.Starting && now.Before(n.ready) && q.Domain == n.opts.Domain {
			a.Grants = append(a.Grants, n.grantStarting(now, ask))
			continue
		}
		a.Grants = append(a.Grants, n.grant(now, ask))
	}
	for _, ask := range q.Loans[:min(len(q.Loans), maxAsks)] {
		a.Loans = append(a.Loans, n.lend(now, q.Domain, ask))
	}
	a.Starting = max(n.ready.Sub(now), 0)
	return a, false
}

// mustCheck reports whether it has to be found out whether this node is home of an
// account of the question.
func (n *Node) mustCheck(now time.Time, q Question) bool {
	check := func(account model.Account) bool {
		limit, known := n.opts.Limit(account)
		if !known || limit.Rate <= 0 {
			return false
		}
		state, _, _ := n.homeFor(now, hashOf(string(account)))
		return state == unchecked
	}
	wait := q.Starting && now.Before(n.ready) && len(q.Asks) > 0 && n.domainStatus(now) == statusUnknown
	for _, ask := range q.Asks[:min(len(q.Asks), maxAsks)] {
		wait = check(ask.Account) || wait
	}
	for _, ask := range q.Loans[:min(len(q.Loans), maxAsks)] {
		wait = check(ask.Account) || wait
	}
	return wait
}

// answerMember answers a member's question for support.
func (n *Node) answerMember(now time.Time, q Question, a *Answer) {
	m := n.member(q.From)
	isNew := !m.present(now)
	m.heardAt = now
	if isNew {
		n.updateMembers(now)
	}
	// What this process agreed to before it started is not known; it has ended when this
	// one is ready.
	if end := later(m.votedAt.Add(leaseTime+leaseMargin), n.ready); now.Sub(end) < memberTime {
		a.TakenOver, a.Since = true, max(now.Sub(end), 0)
	}
	a.Support = n.support(now, m)
	if q.Digest != n.toldDigest && q.Seen != n.toldDigest {
		a.Members = n.namedMembers(now)
	}
}

// Answered applies the answer to a question that Outgoing returned.
func (n *Node) Answered(now time.Time, o Outgoing, a Answer) {
	delete(n.inFlight, o.To)
	if m := n.byNode[o.To]; m != nil {
		n.memberAnswered(now, m, o, a)
	} else if o.To == n.opts.Self && a.Starting > 0 && !a.grantsWhileStarting() {
		n.skipSelfUntil = now.Add(min(a.Starting, skipUnready))
	} else if r := n.remoteOf(o.To); r != nil {
		r.failures = 0
	}
	if len(o.Question.Loans) > 0 {
		from := n.domainOf(o.To)
		for i, ask := range o.Question.Loans[:min(len(o.Question.Loans), len(a.Loans))] {
			n.borrow(now, o.SentAt, from, ask.Account, a.Loans[i].Rate)
		}
	}
	for i, ask := range o.Question.Asks {
		grant := Grant{NotHome: true}
		if i < len(a.Grants) {
			grant = a.Grants[i]
		}
		if grant.NotHome {
			n.redirect(now, o.To, grant.Home)
		}
		n.applyGrant(now, o.SentAt, ask, grant)
	}
}

// memberAnswered applies what a member says about itself and others.
func (n *Node) memberAnswered(now time.Time, m *member, o Outgoing, a Answer) {
	m.answeredAt = later(m.answeredAt, o.SentAt)
	m.failures, m.silentSince = 0, time.Time{}
	if len(a.Members) > 0 {
		n.learn(now, a.Members)
		digest := uint64(0)
		for _, node := range a.Members {
			digest ^= hashOf(string(node))
		}
		m.seen = digest
	}
	if a.Starting > 0 {
		m.setDown(now, o.SentAt.Add(min(a.Starting, downTime)))
		n.sample.record(m.node, statusStarting)
	} else {
		n.sample.record(m.node, statusRunning)
	}
	if a.Starting > 0 && !a.grantsWhileStarting() {
		m.skipUntil = now.Add(min(a.Starting, skipUnready))
	}
	if a.TakenOver {
		n.takenOverUntil = later(n.takenOverUntil, now.Add(-max(a.Since, 0)))
	}
	if a.Support {
		m.supportedAt = later(m.supportedAt, o.SentAt)
	}
	if now.Sub(n.majorityCounted) >= countInterval || !now.Before(n.majorityUntil) {
		n.majorityCounted = now
		n.countMajority(now)
	}
	for i, node := range o.Question.Against {
		if i < len(a.Against) && a.Against[i] {
			gone := n.member(node)
			if gone.votes == nil {
				gone.votes = make(map[model.NodeAddr]time.Time)
			}
			gone.votes[m.node] = later(gone.votes[m.node], o.SentAt)
			n.countVotes(now, gone)
		}
	}
}

// redirect applies that a node said that it is not home. The node that it names is
// asked next, unless this one could not reach it.
func (n *Node) redirect(now time.Time, from, home model.NodeAddr) {
	switch {
	case from == n.opts.Self:
		n.skipSelfUntil = later(n.skipSelfUntil, now.Add(skipUnready))
	case n.byNode[from] != nil:
		m := n.byNode[from]
		m.skipUntil = later(m.skipUntil, now.Add(skipUnready))
	default:
		if r := n.remoteOf(from); r != nil {
			r.skipUntil = later(r.skipUntil, now.Add(skipUnready))
		}
		return
	}
	if home == "" || home == n.opts.Self {
		return
	}
	m := n.byNode[home]
	switch {
	case m == nil || !m.present(now):
		n.learn(now, []model.NodeAddr{home})
	case now.Sub(m.failedAt) > skipTime && m.failures > 0:
		m.skipUntil, m.failures = now, 0 // another node reaches it
	}
}

// Failed applies that a question was not answered. Refused is set if the connection was
// refused, so that no process is there.
func (n *Node) Failed(now time.Time, o Outgoing, refused bool) {
	delete(n.inFlight, o.To)
	if m := n.byNode[o.To]; m != nil {
		switch {
		case refused:
			m.setDown(now, o.SentAt.Add(downTime))
			n.sample.record(m.node, statusStarting)
		case m.silentSince.IsZero():
			m.silentSince = o.SentAt
		}
		if !refused {
			n.sample.record(m.node, statusRunning)
		}
		m.skipUntil, m.failures, m.failedAt = now.Add(skipFor(m.failures)), m.failures+1, now
	} else if r := n.remoteOf(o.To); r != nil {
		r.skipUntil, r.failures = now.Add(skipFor(r.failures)), r.failures+1
	}
	// What was to be asked next goes to other nodes, too.
	queued := n.asks[o.To]
	delete(n.asks, o.To)
	for _, account := range queued {
		if h := n.holdings[account]; h != nil {
			h.asking = false
			n.settle(now, account, h)
		}
	}
	for _, ask := range o.Question.Asks {
		if h := n.holdings[ask.Account]; h != nil {
			h.asked = false
			h.refused += ask.Refused
			n.settle(now, ask.Account, h)
		}
	}
}

// skipFor returns how long a node is not asked after a number of earlier failures in a
// row.
func skipFor(failures int) time.Duration {
	return min(skipTime<<min(failures, 8), maxSkipTime)
}

func (n *Node) remoteOf(node model.NodeAddr) *remoteNode {
	for _, nodes := range n.remote {
		for _, r := range nodes {
			if r.node == node {
				return r
			}
		}
	}
	return nil
}

func (n *Node) domainOf(node model.NodeAddr) model.Domain {
	for domain, nodes := range n.remote {
		for _, r := range nodes {
			if r.node == node {
				return domain
			}
		}
	}
	return ""
}

// Tick removes what is no longer used. Call it about once a second.
func (n *Node) Tick(now time.Time) {
	n.updateMembers(now)
	if now.Sub(n.swept) < sweepInterval {
		return
	}
	n.swept = now
	if !now.Before(n.ready) {
		clear(n.starting)
	}
	for account, h := range n.holdings {
		if now.Sub(h.usedAt) > holdingTime && len(h.waiting) == 0 && !h.asking && !h.asked {
			delete(n.holdings, account)
		}
	}
	for account, b := range n.buckets {
		if now.Sub(b.usedAt) > bucketTime && n.isFull(now, account, b) {
			delete(n.buckets, account)
		}
	}
	for key, at := range n.loanAsked {
		if now.Sub(at) > shortTime {
			delete(n.loanAsked, key)
		}
	}
}
