package placement

import (
	"math"
	"time"

	"zinniafall/policy/model"
)

// Result classifies the end of a call.
type Result uint8

// The results of a call.
const (
	// Answered means that the target answered.
	Answered Result = iota
	// Failed means that the target answered with a server error or cut off
	// its answer.
	Failed
	// Refused means that the owner refused the call before it ran.
	Refused
	// Unreachable means that the owner could not be reached or stopped
	// responding.
	Unreachable
	// Abandoned means that the caller or the entry canceled the call.
	Abandoned
)

// Outcome describes the end of one call as its entry observed it.
type Outcome struct {
	// Report is the load report that came with the answer or refusal, or
	// nil.
	Report *model.Report
	// Elapsed is the time since RecordSent.
	Elapsed time.Duration
	Result  Result
}

// RecordSent records that a call was sent to the node.
func (p *Placer) RecordSent(now time.Time, service model.Service, node model.NodeAddr) {
	if t := p.findTarget(service, node); t != nil {
		t.addCall(p.elapsed(now))
	}
}

// RecordFinished records the end of a call that RecordSent recorded.
func (p *Placer) RecordFinished(now time.Time, service model.Service, node model.NodeAddr, outcome Outcome) {
	t := p.findTarget(service, node)
	if t == nil {
		return
	}
	at := p.elapsed(now)
	t.removeCall(at - outcome.Elapsed)
	t.service.demand.busyTime += outcome.Elapsed
	switch outcome.Result {
	case Answered:
		t.recordResult(at, 0)
	case Failed:
		t.recordResult(at, 1)
	case Unreachable:
		t.backOff(at)
	}
	if outcome.Report != nil {
		t.applyReport(at, outcome.Report)
	}
}

// recordResult adds a result, 1 for a failed call and 0 for an answered one, to
// the failure rates of the target and its service.
func (t *target) recordResult(at time.Duration, failed float64) {
	recent := t.failureRate(at)
	t.failedShare = recent + failureWeight*(failed-recent)
	t.failedShareAt = at
	mean := &t.service.serviceMeans.failedShare
	*mean += meansWeight * (failed - *mean)
}

// RecordReport stores a load report that arrived outside a call, such as the
// answer to a probe.
func (p *Placer) RecordReport(now time.Time, node model.NodeAddr, report model.Report) {
	if t := p.nodes[node]; t != nil {
		t.applyReport(p.elapsed(now), &report)
	}
}

// findTarget returns the target of a service at a node, or nil.
func (p *Placer) findTarget(service model.Service, node model.NodeAddr) *target {
	svc := p.services[service]
	if svc == nil {
		return nil
	}
	return svc.targets[node]
}

// ExpectedWait returns the shortest predicted time to an answer from the
// service, or 0 when none of its targets accepts calls.
func (p *Placer) ExpectedWait(now time.Time, service model.Service) time.Duration {
	svc := p.services[service]
	if svc == nil {
		return 0
	}
	return svc.expectedWait(p.elapsed(now))
}

func (s *service) expectedWait(at time.Duration) time.Duration {
	shortest := math.Inf(1)
	for _, t := range s.members {
		if t.accepts(at) {
			shortest = min(shortest, t.predictedTime(at))
		}
	}
	if math.IsInf(shortest, 1) {
		return 0
	}
	return time.Duration(shortest)
}
