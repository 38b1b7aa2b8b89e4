package placement

import (
	"math"
	"time"

	"zinniafall/policy/model"
)

// Result says how a sent call ended.
type Result uint8

// The results of a call.
const (
	// Answered means that the target answered.
	Answered Result = iota
	// Failed means that the target answered with a server error, or broke
	// off its answer.
	Failed
	// Refused means that the owner refused the call before it ran.
	Refused
	// Unreachable means that the owner could not be reached or went silent.
	Unreachable
	// Abandoned means that the caller or the entry gave the call up.
	Abandoned
)

// Outcome is the end of one call as its entry saw it.
type Outcome struct {
	// Report came with the answer or refusal; nil when none came.
	Report *model.Report
	// Elapsed is the time since Sent.
	Elapsed time.Duration
	Result  Result
}

// RecordSent records that a call was sent to the node.
func (p *Placer) RecordSent(now time.Time, service model.Service, node model.NodeAddr) {
	if t := p.find(service, node); t != nil {
		t.send(p.since(now))
	}
}

// RecordFinished records the end of a call that Sent recorded.
func (p *Placer) RecordFinished(now time.Time, service model.Service, node model.NodeAddr, outcome Outcome) {
	t := p.find(service, node)
	if t == nil {
		return
	}
	at := p.since(now)
	t.end(at - outcome.Elapsed)
	t.service.demand.busy += outcome.Elapsed
	switch outcome.Result {
	case Answered:
		t.rate(at, 0)
	case Failed:
		t.rate(at, 1)
	case Unreachable:
		t.fail(at)
	}
	if outcome.Report != nil {
		t.hear(at, outcome.Report)
	}
}

// rate moves the failure rates of the target and its service.
func (t *target) rate(at time.Duration, failed float64) {
	recent := t.failureRate(at)
	t.failures = recent + failureWeight*(failed-recent)
	t.rated = at
	mean := &t.service.prior.failures
	*mean += priorWeight * (failed - *mean)
}

// RecordReport records the answer to a probe.
func (p *Placer) RecordReport(now time.Time, node model.NodeAddr, report model.Report) {
	if t := p.nodes[node]; t != nil {
		t.hear(p.since(now), &report)
	}
}

// find returns the target of a service at a node, or nil.
func (p *Placer) find(service model.Service, node model.NodeAddr) *target {
	svc := p.services[service]
	if svc == nil {
		return nil
	}
	return svc.targets[node]
}

// ExpectedWait returns the shortest predicted time to an answer from the
// service, 0 when none of its targets takes work.
func (p *Placer) ExpectedWait(now time.Time, service model.Service) time.Duration {
	svc := p.services[service]
	if svc == nil {
		return 0
	}
	return svc.expectedWait(p.since(now))
}

func (s *service) expectedWait(at time.Duration) time.Duration {
	shortest := math.Inf(1)
	for _, t := range s.members {
		if t.accepts(at) {
			shortest = min(shortest, t.predict(at))
		}
	}
	if math.IsInf(shortest, 1) {
		return 0
	}
	return time.Duration(shortest)
}
