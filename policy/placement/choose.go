package placement

import (
	"math"
	"slices"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// Bounds of the time that a caller is told to wait.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// jitter is the largest share by which a prediction is raised at random, so
// that targets that differ by less are used alike.
const jitter = 0.2

// Query describes one call to place.
type Query struct {
	Service model.Service
	// Connection identifies the caller's connection, for PerConnection.
	Connection uint64
	// Exclude lists the nodes that refused this call or must not run it.
	Exclude []model.NodeAddr
	// OwnDomainOnly confines the choice to the entry's own failure domain.
	OwnDomainOnly bool
}

// Choose returns the owner to send a call to. The problem is UnknownService
// when the service has no entry, NoTarget when none of its targets takes
// work, and Overloaded when those that do are all excluded; the last two
// carry RetryAfter.
func (p *Placer) Choose(now time.Time, q Query) (model.NodeAddr, *problem.Error) {
	at := p.since(now)
	svc := p.services[q.Service]
	if svc == nil {
		return "", problem.New(problem.UnknownService, model.RunNo, "no target announced the service "+string(q.Service))
	}
	p.touch(svc, at)
	t := p.pick(at, svc, &q)
	for t == nil && len(svc.members) < len(svc.ranked) && svc.demand.widen(p.options.SubsetSize) {
		p.resize(at)
		t = p.pick(at, svc, &q)
	}
	if t == nil {
		return "", p.refuse(at, svc)
	}
	return t.Node, nil
}

// pick applies the policy.
func (p *Placer) pick(at time.Duration, svc *service, q *Query) *target {
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

// refuse explains why no target was found.
func (p *Placer) refuse(at time.Duration, svc *service) *problem.Error {
	wait := svc.expectedWait(at)
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	for _, t := range svc.members {
		if t.accepts(at) {
			return problem.New(problem.Overloaded, model.RunNo, "all targets of "+string(svc.name)+" refused the call").After(wait)
		}
	}
	return problem.New(problem.NoTarget, model.RunNo, "no target of "+string(svc.name)+" takes new work").After(wait)
}

// usable reports whether the call may go to the target.
func usable(t *target, at time.Duration, q *Query) bool {
	return t.accepts(at) && (t.near || !q.OwnDomainOnly) && !slices.Contains(q.Exclude, t.Node)
}

// search is the state of one choice among random candidates.
type search struct {
	at       time.Duration
	query    *Query
	best     *target
	bestTime float64
	// spare is the best of the cold targets that were passed over; it is
	// used when there is no other candidate.
	spare     *target
	spareTime float64
	// trial is a cold target that was not passed over and has room. It is
	// taken whatever the others promise: a cold target proves itself by
	// calls, and by its few slots it would lose every comparison with idle
	// warm ones.
	trial *target
}

// pickPredicted compares candidates of the own failure domain and of others.
func (p *Placer) pickPredicted(at time.Duration, svc *service, q *Query) *target {
	s := search{at: at, query: q, bestTime: math.Inf(1), spareTime: math.Inf(1)}
	near := max(p.options.Choices/2, p.options.Choices-len(svc.region))
	lacking := p.draw(&s, svc.local, near)
	if s.trial == nil {
		p.draw(&s, svc.region, p.options.Choices-near+lacking)
	}
	if s.trial != nil {
		return s.trial
	}
	if s.bestTime > float64(p.options.RegionRoundTrip) {
		p.draw(&s, svc.far, p.options.Choices)
	}
	if s.best == nil {
		return s.spare
	}
	return s.best
}

// draw compares up to n usable targets in random order and returns how many
// it lacked.
func (p *Placer) draw(s *search, from []*target, n int) int {
	for i := range from {
		if n == 0 {
			return 0
		}
		j := i + p.random.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
		t := from[i]
		if !usable(t, s.at, s.query) {
			continue
		}
		predicted := t.predict(s.at) * (1 + jitter*p.random.Float64())
		if p.passOver(t, s.at) {
			if predicted < s.spareTime {
				s.spare, s.spareTime = t, predicted
			}
			continue
		}
		if t.cold(s.at) && t.hasRoom(s.at) {
			s.trial = t
			return 0
		}
		n--
		if predicted < s.bestTime {
			s.best, s.bestTime = t, predicted
		}
	}
	return n
}

// passOver leaves a cold target out of most draws, so that all entries
// together offer it only the share of its limit, even when it wins each
// comparison.
func (p *Placer) passOver(t *target, at time.Duration) bool {
	slots := float64(max(t.Slots, 1))
	draws := float64(p.options.Choices)
	return t.cold(at) && p.random.Float64()*slots*draws >= t.limit(at)
}

// pickRandom is the baseline Random.
func (p *Placer) pickRandom(at time.Duration, svc *service, q *Query) *target {
	first := p.random.IntN(max(len(svc.members), 1))
	return svc.scan(first, at, q)
}

// pickNext is the baseline RoundRobin.
func (s *service) pickNext(at time.Duration, q *Query) *target {
	s.next++
	return s.scan(s.next, at, q)
}

// scan returns the first usable member from a position on.
func (s *service) scan(first int, at time.Duration, q *Query) *target {
	for i := range s.members {
		t := s.members[(first+i)%len(s.members)]
		if usable(t, at, q) {
			return t
		}
	}
	return nil
}

// pickLeastReported is the baseline LeastReported.
func (p *Placer) pickLeastReported(at time.Duration, svc *service, q *Query) *target {
	var best *target
	lowest := math.Inf(1)
	if len(svc.members) == 0 {
		return nil
	}
	first := p.random.IntN(len(svc.members))
	for i := range svc.members {
		t := svc.members[(first+i)%len(svc.members)]
		if !usable(t, at, q) {
			continue
		}
		load := held(&t.report) / max(t.limit(at), 1)
		if load < lowest {
			best, lowest = t, load
		}
	}
	return best
}

// pickForConnection is the baseline PerConnection.
func (s *service) pickForConnection(at time.Duration, q *Query) *target {
	var best *target
	var highest uint64
	for _, t := range s.members {
		if !usable(t, at, q) {
			continue
		}
		if hash := mix(q.Connection, t.hash); best == nil || hash > highest {
			best, highest = t, hash
		}
	}
	return best
}
