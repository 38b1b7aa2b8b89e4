package placement

import (
	"math"
	"slices"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// minRetryAfter and maxRetryAfter bound the RetryAfter of a problem.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// predictionJitter is the largest share by which a prediction is raised at
// random, so that targets whose predictions differ by less get similar shares
// of the calls.
const predictionJitter = 0.2

// Query describes a call that needs a target.
type Query struct {
	Service model.Service
	// Connection identifies the caller's connection for PerConnection.
	Connection uint64
	// Exclude lists the nodes that refused this call or must not run it.
	Exclude []model.NodeAddr
	// OwnDomainOnly limits the choice to the entry's own failure domain.
	OwnDomainOnly bool
	// NoWait excludes the targets whose reports let no further call start now: their
	// owners would decline the call.
	NoWait bool
	// Closed includes the targets that are closed.
	Closed bool
}

// Choose returns the owner to send a call to. The problem is UnknownService
// when the service has no known target, NoTarget when none of its targets
// accepts calls, and Overloaded when those that do are all excluded. The last
// two carry RetryAfter.
func (p *Placer) Choose(now time.Time, q Query) (model.NodeAddr, *problem.Error) {
	at := p.elapsed(now)
	svc := p.services[q.Service]
	if svc == nil {
		return "", problem.New(problem.UnknownService, model.RunNo, "no target announced the service "+string(q.Service))
	}
	p.markUsed(svc, at)
	t := p.pickByPolicy(at, svc, &q)
	for t == nil && len(svc.members) < len(svc.ranked) && svc.demand.grow(p.options.SubsetSize) {
		p.resize(at)
		t = p.pickByPolicy(at, svc, &q)
	}
	if t == nil {
		return "", p.noTargetProblem(at, svc)
	}
	return t.Node, nil
}

// pickByPolicy returns a target chosen by the configured policy, or nil.
func (p *Placer) pickByPolicy(at time.Duration, svc *service, q *Query) *target {
	switch p.options.Policy {
	case Random:
		return p.pickRandom(at, svc, q)
	case RoundRobin:
		return svc.pickNext(at, q)
	case LeastReported:
		return p.pickLeastReported(at, svc, q)
	case PerConnection:
		return svc.pickForConnection(at, q)
	}
	return p.pickPredicted(at, svc, q)
}

// noTargetProblem returns the problem for a call that found no target.
func (p *Placer) noTargetProblem(at time.Duration, svc *service) *problem.Error {
	wait := svc.expectedWait(at)
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	for _, t := range svc.members {
		if t.accepts(at) {
			return problem.New(problem.Overloaded, model.RunNo, "all targets of "+string(svc.name)+" refused the call").After(wait)
		}
	}
	return problem.New(problem.NoTarget, model.RunNo, "no target of "+string(svc.name)+" takes new work").After(wait)
}

// isCandidate reports whether the call may go to the target.
func isCandidate(t *target, at time.Duration, q *Query) bool {
	return t.accepts(at) && (!t.Closed || q.Closed) && (t.ownDomain || !q.OwnDomainOnly) && (!q.NoWait || t.startsIn(at) == 0) && !slices.Contains(q.Exclude, t.Node)
}

// candidateSearch is the state of one choice among random candidates.
type candidateSearch struct {
	at       time.Duration
	query    *Query
	best     *target
	bestTime float64
	// coldFallback is the best of the cold targets that were skipped. It is
	// used when there is no other candidate.
	coldFallback     *target
	coldFallbackTime float64
	// coldTrial is a cold target that was not skipped and has room. It is
	// taken whatever is predicted for the others: a cold target shows its speed
	// only by answering calls, and with its few slots it would lose every
	// comparison with idle warm targets.
	coldTrial *target
}

// pickPredicted implements Predicted. It compares candidates of the entry's own
// failure domain with candidates of other domains in its region. Candidates of
// other regions are compared only if the best predicted time is above the round
// trip to another region. It takes a cold trial as soon as it finds one.
func (p *Placer) pickPredicted(at time.Duration, svc *service, q *Query) *target {
	s := candidateSearch{at: at, query: q, bestTime: math.Inf(1), coldFallbackTime: math.Inf(1)}
	ownDomainChoices := max(p.options.Choices/2, p.options.Choices-len(svc.ownRegion))
	missing := p.compareCandidates(&s, svc.local, ownDomainChoices)
	if s.coldTrial == nil {
		p.compareCandidates(&s, svc.ownRegion, p.options.Choices-ownDomainChoices+missing)
	}
	if s.coldTrial != nil {
		return s.coldTrial
	}
	if s.bestTime > float64(p.options.RegionRoundTrip) {
		p.compareCandidates(&s, svc.otherRegion, p.options.Choices)
	}
	switch {
	case s.coldTrial != nil:
		return s.coldTrial
	case s.best == nil:
		return s.coldFallback
	}
	return s.best
}

// compareCandidates compares up to n usable targets in random order and returns
// how many fewer than n there were. It stops early when it finds a cold target
// to try.
func (p *Placer) compareCandidates(s *candidateSearch, from []*target, n int) int {
	for i := range from {
		if n == 0 {
			return 0
		}
		j := i + p.random.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
		t := from[i]
		if !isCandidate(t, s.at, s.query) {
			continue
		}
		predicted := t.predictedTime(s.at) * (1 + predictionJitter*p.random.Float64())
		if p.skipCold(t, s.at) {
			if predicted < s.coldFallbackTime {
				s.coldFallback, s.coldFallbackTime = t, predicted
			}
			continue
		}
		if t.isCold(s.at) && t.hasRoom(s.at) {
			s.coldTrial = t
			return 0
		}
		n--
		if predicted < s.bestTime {
			s.best, s.bestTime = t, predicted
		}
	}
	return n
}

// skipCold reports whether to skip a cold target in this choice. It skips most
// of them at random, so that all entries together offer the target only a share
// of the calls in proportion to its limit, even when it wins each comparison.
func (p *Placer) skipCold(t *target, at time.Duration) bool {
	slots := float64(max(t.Slots, 1))
	draws := float64(p.options.Choices)
	return t.isCold(at) && p.random.Float64()*slots*draws >= t.limit(at)
}

// pickRandom implements the baseline Random.
func (p *Placer) pickRandom(at time.Duration, svc *service, q *Query) *target {
	first := p.random.IntN(max(len(svc.members), 1))
	return svc.firstCandidateFrom(first, at, q)
}

// pickNext implements the baseline RoundRobin.
func (s *service) pickNext(at time.Duration, q *Query) *target {
	s.nextMember++
	return s.firstCandidateFrom(s.nextMember, at, q)
}

// firstCandidateFrom returns the first usable member at or after a position,
// wrapping around.
func (s *service) firstCandidateFrom(first int, at time.Duration, q *Query) *target {
	for i := range s.members {
		t := s.members[(first+i)%len(s.members)]
		if isCandidate(t, at, q) {
			return t
		}
	}
	return nil
}

// pickLeastReported implements the baseline LeastReported.
func (p *Placer) pickLeastReported(at time.Duration, svc *service, q *Query) *target {
	var best *target
	lowest := math.Inf(1)
	if len(svc.members) == 0 {
		return nil
	}
	first := p.random.IntN(len(svc.members))
	for i := range svc.members {
		t := svc.members[(first+i)%len(svc.members)]
		if !isCandidate(t, at, q) {
			continue
		}
		load := heldCalls(&t.report) / max(t.limit(at), 1)
		if load < lowest {
			best, lowest = t, load
		}
	}
	return best
}

// pickForConnection implements the baseline PerConnection by rendezvous
// hashing.
func (s *service) pickForConnection(at time.Duration, q *Query) *target {
	var best *target
	var highest uint64
	for _, t := range s.members {
		if !isCandidate(t, at, q) {
			continue
		}
		if hash := hashConnection(q.Connection, t.hash); best == nil || hash > highest {
			best, highest = t, hash
		}
	}
	return best
}
