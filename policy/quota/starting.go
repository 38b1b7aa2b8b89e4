package quota

import (
	"slices"
	"time"

	"zinniafall/policy/model"
)

// When all processes of a failure domain start at the same time, none of them may be home
// until the support that their predecessors gave has expired, and every request would be
// refused until then. Such a process grants tokens to the others that are starting, if a
// sample of its failure domain shows that all members are: then no home can have a
// majority. A member that does not answer counts as running, because it may support a home
// that this process cannot reach.

const (
	// startingSample is the number of members that are asked whether they are starting.
	startingSample = 8
	// sampleTime is how long a sample is used.
	sampleTime = 500 * time.Millisecond
	// settleTime is how long the list of members must be unchanged: while it grows, each
	// part of the failure domain would take itself for all of it.
	settleTime = 200 * time.Millisecond
	// minStartingRate bounds the wait of an account with a low rate, in requests per
	// second.
	minStartingRate = 0.1
)

// memberStatus is what a sample shows of a member.
type memberStatus uint8

const (
	statusUnknown memberStatus = iota
	// statusStarting: the process is starting, or there is none.
	statusStarting
	statusRunning
)

// startSample is a sample of the members of the failure domain.
type startSample struct {
	takenAt time.Time
	digest  uint64 // of the members
	members map[model.NodeAddr]memberStatus
}

// status returns what the whole sample shows.
func (s *startSample) status() memberStatus {
	result := statusStarting
	for _, status := range s.members {
		switch status {
		case statusRunning:
			return statusRunning
		case statusUnknown:
			result = statusUnknown
		}
	}
	return result
}

// record records what a question to a member showed.
func (s *startSample) record(node model.NodeAddr, status memberStatus) {
	if s.members[node] == statusUnknown {
		if _, ok := s.members[node]; ok {
			s.members[node] = status
		}
	}
}

// domainStatus reports whether all members of the failure domain are starting, and takes a
// sample of them if there is no recent one.
func (n *Node) domainStatus(now time.Time) memberStatus {
	if len(n.members) == 0 || now.Sub(n.membersChanged) < settleTime {
		return statusRunning
	}
	if s := &n.sample; s.digest == n.knownDigest && now.Sub(s.takenAt) < sampleTime {
		return s.status()
	}
	n.sample = startSample{takenAt: now, digest: n.knownDigest, members: make(map[model.NodeAddr]memberStatus)}
	for _, at := range n.rng.Perm(len(n.members))[:min(startingSample, len(n.members))] {
		m := n.members[at]
		n.sample.members[m.node] = statusUnknown
		m.pinged = time.Time{} // an earlier question may have failed before the sample
		n.ping(now, m)
	}
	return statusUnknown
}

// startingBucket holds the tokens of an account that a process grants before it is ready.
type startingBucket struct {
	tokens float64
	at     time.Time
}

// grantsWhileStarting reports whether the node that answered grants tokens although it is
// not ready to be a home.
func (a *Answer) grantsWhileStarting() bool {
	return slices.ContainsFunc(a.Grants, func(g Grant) bool { return !g.NotHome })
}

// grantStarting grants tokens to a member that is starting, like this process.
func (n *Node) grantStarting(now time.Time, ask Ask) Grant {
	limit, known := n.opts.Limit(ask.Account)
	need := min(max(ask.Need, 0), maxExpected)
	if known && limit.Rate <= 0 {
		return Grant{Tokens: need}
	}
	status := n.domainStatus(now)
	n.allStarted = status == statusStarting
	if !known || status != statusStarting {
		return Grant{NotHome: true}
	}
	base, burst := n.share(limit)
	rate := base * startingPart
	b := n.starting[ask.Account]
	if b == nil {
		b = &startingBucket{at: n.started}
		n.starting[ask.Account] = b
	}
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*rate, max(burst, 1))
	b.at = now
	tokens := min(need, int(b.tokens))
	b.tokens -= float64(tokens)
	n.granted += uint64(tokens)
	if tokens == need {
		return Grant{Tokens: tokens}
	}
	wait := seconds((float64(need-tokens) - b.tokens) / max(rate, minStartingRate))
	return Grant{Tokens: tokens, Wait: max(wait, time.Millisecond), Pause: min(wait, comeBackTime)}
}
