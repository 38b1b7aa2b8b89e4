package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniafall/policy/model"
)

// member is another node of this node's failure domain.
type member struct {
	node model.NodeAddr
	hash uint64
	// inRoster, rosterUntil, heardAt and toldUntil make the node a member: the roster has
	// it or had it lately, it sent a question, or another node named it.
	inRoster    bool
	rosterUntil time.Time
	heardAt     time.Time
	toldUntil   time.Time
	seen        uint64 // the digest of the list that it sent last

	// supportedAt is when the newest question was sent whose answer supports this node.
	supportedAt time.Time
	// leasedAt is when this node last supported the member as a home, and votedAt when it
	// last agreed that another node takes over from it.
	leasedAt, votedAt time.Time
	// answeredAt is when the newest question was sent that it answered, silentSince when
	// the first was sent after it that was not.
	answeredAt, silentSince time.Time
	// downSince and downUntil limit the time in which it cannot be a home or support one.
	downSince, downUntil time.Time
	// goneSince and goneUntil limit the time in which it is proved not to be a home.
	goneSince, goneUntil time.Time
	// votes has the times at which questions were sent that others answered by agreeing
	// that this node takes over from it.
	votes map[model.NodeAddr]time.Time
	// pollVotes asks for votes until then.
	pollVotes time.Time
	votesAt   time.Time

	// skipUntil is the end of the time in which this node, as an entry, does not ask it.
	skipUntil time.Time
	failures  int
	failedAt  time.Time
	pinged    time.Time
	wantPing  bool
}

func hashOf(text string) uint64 { return xxhash.Sum64String(text) }

// score ranks nodes for an account: the one with the highest is first. The mixing is
// that of splitmix64.
func score(node, account uint64) uint64 {
	z := node ^ account
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func (m *member) present(now time.Time) bool { return m.known(now) || now.Before(m.toldUntil) }

// known reports whether this node knows of the member other than from reports of others. One that
// the roster has dropped may still be alive and support others.
func (m *member) known(now time.Time) bool {
	return m.inRoster || now.Before(m.rosterUntil) || !m.heardAt.IsZero() && now.Sub(m.heardAt) < memberTime
}

func (m *member) down(now time.Time) bool { return now.Before(m.downUntil) }

// excluded reports whether the member does not count in a majority. The support that it
// gave before it went down must have ended for all.
func (m *member) excluded(now time.Time) bool {
	return m.down(now) && now.Sub(m.downSince) >= leaseTime+leaseMargin
}

// setGone extends the time in which the member is proved not to be a home.
func (m *member) setGone(now, until time.Time) {
	if !now.Before(m.goneUntil) {
		m.goneSince = now
	}
	if until.After(m.goneUntil) {
		m.goneUntil = until
	}
}

// setDown records that the member's process is gone or not ready.
func (m *member) setDown(now, until time.Time) {
	if now.Sub(m.downUntil) > leaseTime {
		m.downSince = now // a process that ran since would have been ready
	}
	if until.After(m.downUntil) {
		m.downUntil = until
	}
	if until.After(now) {
		m.setGone(now, until)
	}
}

// SetMembers sets the nodes of the roster, without or with this one. Before the first call
// this process does not know who else may be home, and is none.
func (n *Node) SetMembers(now time.Time, members []Member) {
	if n.started.IsZero() {
		n.started, n.ready = now, now.Add(leaseTime+leaseMargin)
		n.since = n.ready
	}
	for _, m := range n.members {
		if m.inRoster {
			m.inRoster, m.rosterUntil = false, now.Add(memberTime)
		}
	}
	clear(n.remote)
	size := 1
	for _, r := range members {
		if r.Node != n.opts.Self {
			size++
		}
		switch {
		case r.Node == n.opts.Self:
		case r.Domain == n.opts.Domain:
			n.member(r.Node).inRoster = true
		default:
			n.remote[r.Domain] = append(n.remote[r.Domain], &remoteNode{node: r.Node, hash: hashOf(string(r.Node))})
		}
	}
	n.domains = n.domains[:0]
	for d := range n.remote {
		n.domains = append(n.domains, d)
	}
	slices.Sort(n.domains)
	n.fleetSize = max(n.fleetSize, size)
	n.opts.Domains = max(n.opts.Domains, len(n.domains)+1)
	n.updateMembers(now)
}

// member returns the record of a node of this node's failure domain, and adds it if
// needed.
func (n *Node) member(node model.NodeAddr) *member {
	m := n.byNode[node]
	if m == nil {
		m = &member{node: node, hash: hashOf(string(node))}
		n.byNode[node] = m
	}
	return m
}

// updateMembers updates the members present and the digests after a change. A node
// that is no longer a member may have been a home until now: this node's buckets of its
// accounts are dropped, and new buckets count from now.
func (n *Node) updateMembers(now time.Time) {
	present := make([]*member, 0, len(n.byNode))
	removed := false
	known, told := n.hash, n.hash
	for node, m := range n.byNode {
		switch {
		case m.present(now):
			present = append(present, m)
			known ^= m.hash
			if m.known(now) {
				told ^= m.hash
			}
		case now.Sub(m.votedAt) > memberTime && now.Sub(m.leasedAt) > memberTime:
			delete(n.byNode, node)
		}
	}
	for _, m := range n.members {
		removed = removed || !m.present(now)
	}
	if removed {
		n.dropForeign(now)
		n.removedAt = now
	}
	slices.SortFunc(present, func(a, b *member) int { return cmp.Compare(a.node, b.node) })
	if known != n.knownDigest && !now.Before(n.ready) {
		n.knownDigest, n.members = known, present
		n.countMajority(now) // more may be needed
	}
	if known != n.knownDigest {
		n.membersChanged = now
	}
	n.members, n.knownDigest, n.toldDigest = present, known, told
}

// dropForeign drops the buckets of accounts of which another member may be home.
func (n *Node) dropForeign(now time.Time) {
	for account, b := range n.buckets {
		own := score(n.hash, b.hash)
		for _, m := range n.members {
			if score(m.hash, b.hash) > own && (!now.Before(m.goneUntil) || m.goneSince.After(b.since)) {
				delete(n.buckets, account)
				break
			}
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// learn adds members that another node named.
func (n *Node) learn(now time.Time, nodes []model.NodeAddr) {
	for _, node := range nodes {
		if node != n.opts.Self && node != "" {
			n.member(node).toldUntil = now.Add(memberTime)
		}
	}
	n.updateMembers(now)
}

// namedMembers returns the members that this node knows of other than from reports of others, and
// itself.
func (n *Node) namedMembers(now time.Time) []model.NodeAddr {
	names := []model.NodeAddr{n.opts.Self}
	for _, m := range n.members {
		if m.known(now) {
			names = append(names, m.node)
		}
	}
	return names
}

// supporters returns the number of members, with this node, that support it as a home
// after the given time, and how many are needed until firm: members that are excluded
// are not counted.
func (n *Node) supporters(now, until time.Time) (have, need int, firm time.Time) {
	total := 1
	have = 1
	firm = now.Add(leaseTime)
	for _, m := range n.members {
		if m.excluded(now) {
			firm = earlier(firm, m.downUntil)
			continue
		}
		total++
		if m.supportedAt.Add(leaseTime).After(until) {
			have++
		}
	}
	return have, total/2 + 1, firm
}

// hasMajority reports whether a majority supports this node as a home. It notes since
// when that is so without a gap: in a gap, another node may have taken over.
func (n *Node) hasMajority(now time.Time) bool {
	if !now.Before(n.majorityUntil) {
		n.countMajority(now)
	}
	return now.Before(n.majorityUntil)
}

// countMajority finds out until when a majority supports this node.
func (n *Node) countMajority(now time.Time) {
	have, need, firm := n.supporters(now, now)
	if have < need {
		n.majorityUntil = earlier(n.majorityUntil, now)
		return
	}
	if !now.Before(n.majorityUntil) {
		n.majorityFrom = now
	}
	n.majorityUntil = earlier(n.majorityLasts(now, need), firm)
	if end := earlier(n.takenOverUntil, n.majorityFrom); end.After(n.since) {
		n.since = end
	}
}

// majorityLasts returns when the support of as many nodes as are needed ends.
func (n *Node) majorityLasts(now time.Time, need int) time.Time {
	n.ends = n.ends[:0]
	for _, m := range n.members {
		if end := m.supportedAt.Add(leaseTime); end.After(now) && !m.excluded(now) {
			n.ends = append(n.ends, end)
		}
	}
	if need < 2 {
		return now.Add(leaseTime) // this node alone
	}
	slices.SortFunc(n.ends, func(a, b time.Time) int { return b.Compare(a) })
	return n.ends[need-2]
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// renewMajority marks members to be asked for their support if the majority would
// otherwise lapse soon.
func (n *Node) renewMajority(now time.Time) {
	until := now.Add(renewTime)
	if until.Before(n.majorityUntil) {
		return
	}
	have, need, _ := n.supporters(now, until)
	if have >= need {
		return
	}
	missing := need - have + spareSupporters
	for _, m := range n.members {
		if now.Sub(m.pinged) < probeInterval && !m.down(now) && !m.supportedAt.Add(leaseTime).After(until) {
			missing-- // its answer is under way
		}
	}
	for range n.members {
		if missing <= 0 {
			return
		}
		n.cursor++
		m := n.members[n.cursor%len(n.members)]
		if m.down(now) || now.Sub(m.pinged) < probeInterval || m.supportedAt.Add(leaseTime).After(until) {
			continue
		}
		missing--
		n.ping(now, m)
	}
}

// ping sends the member a question soon, even if there is nothing to ask for.
func (n *Node) ping(now time.Time, m *member) {
	if now.Sub(m.pinged) >= probeInterval {
		m.pinged, m.wantPing = now, true
		n.dirty[m.node] = true
	}
}

// homeState is whether a node is home of an account.
type homeState int

const (
	isHome homeState = iota
	// otherHome: a node ranked before this one may be home.
	otherHome
	// unchecked: whether the node ranked before this one is gone, or a majority supports
	// this one, is being found out.
	unchecked
	notReady
)

// homeFor returns whether this node is home of an account and, if so, since when no
// other was. If another node is or may be, it returns that.
func (n *Node) homeFor(now time.Time, account uint64) (homeState, time.Time, model.NodeAddr) {
	if now.Before(n.ready) {
		return notReady, time.Time{}, ""
	}
	since := n.since
	own := score(n.hash, account)
	var before *member
	for _, m := range n.members {
		s := score(m.hash, account)
		if s > own && !now.Before(m.goneUntil) && len(m.votes) > 0 {
			n.countVotes(now, m)
		}
		switch {
		case s < own:
		case now.Before(m.goneUntil):
			since = later(since, m.goneSince)
			if m.goneUntil.Sub(now) < renewGoneTime {
				n.check(now, m)
			}
		case before == nil || s > score(before.hash, account):
			before = m
		}
	}
	if before != nil {
		if now.Sub(before.answeredAt) < probeInterval {
			return otherHome, since, before.node
		}
		n.check(now, before)
		return unchecked, since, before.node
	}
	n.renewMajority(now)
	if !n.hasMajority(now) {
		return unchecked, since, ""
	}
	return isHome, later(since, n.since), ""
}

// check finds out whether a member is gone: by a question to it, and by votes if it is
// silent.
func (n *Node) check(now time.Time, m *member) {
	n.ping(now, m)
	// A vote keeps the member from being home for a while: none is asked for before a
	// question to it has failed.
	silent := !m.silentSince.IsZero() && now.Sub(m.silentSince) >= silenceTime
	if m.down(now) || !silent || now.Sub(m.votesAt) < 2*probeInterval {
		return
	}
	m.pollVotes, m.votesAt = now.Add(2*probeInterval), now
	if m.votes == nil {
		m.votes = make(map[model.NodeAddr]time.Time)
	}
	for _, other := range n.members {
		if other != m && !other.down(now) {
			n.ping(now, other)
		}
	}
	n.countVotes(now, m)
}

// voteAgainst decides whether this node agrees that another takes over from a member.
func (n *Node) voteAgainst(now time.Time, node model.NodeAddr) bool {
	if node == n.opts.Self || now.Before(n.ready) {
		return false
	}
	m := n.member(node)
	// A node that was heard from lately is alive; it gets this node's support again once
	// the votes have lapsed.
	if now.Sub(m.leasedAt) <= leaseTime+leaseMargin || now.Sub(m.answeredAt) < silenceTime || now.Sub(m.heardAt) < silenceTime {
		return false
	}
	m.votedAt = now
	return true
}

// support decides whether this node supports a member as a home.
func (n *Node) support(now time.Time, m *member) bool {
	if now.Before(n.ready) || now.Sub(m.votedAt) <= leaseTime+leaseMargin {
		return false
	}
	m.leasedAt = now
	return true
}

// countVotes takes over from a member that a majority, with this node, does not reach.
func (n *Node) countVotes(now time.Time, m *member) {
	var valid []time.Time
	for node, sentAt := range m.votes {
		if voter := n.byNode[node]; voter != nil && !voter.excluded(now) && now.Before(sentAt.Add(leaseTime)) {
			valid = append(valid, sentAt)
		}
	}
	if n.voteAgainst(now, m.node) {
		valid = append(valid, now)
	}
	_, need, firm := n.supporters(now, now)
	if len(valid) < need {
		return
	}
	slices.SortFunc(valid, func(a, b time.Time) int { return b.Compare(a) })
	m.setGone(now, earlier(valid[need-1].Add(leaseTime), firm))
}
