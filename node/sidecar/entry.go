package sidecar

import (
	"math/rand/v2"
	"sync"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/placement"
	"zinniafall/policy/retry"
	"zinniafall/policy/roster"
)

const (
	// domainRoundTrip is the cost of a call to another failure domain in
	// placement. It stands for the price of the transferred bytes and for the
	// round trip.
	domainRoundTrip = 20 * time.Millisecond
	// peerRoundTrip is the cost of a call to another node of the same failure
	// domain.
	peerRoundTrip = time.Millisecond
	// retryFraction is the part of the configured retry budget that is funded
	// by calls; the rest is reserved for bursts, and for the calls that targets make
	// in repeated runs.
	retryFraction = 0.4
	// rerunPart is the part of the retries that may be of calls that may have run. A repeated
	// run makes its own calls again, which count as repeats at the services that they go to,
	// beside the retries there.
	rerunPart = 0.5
	// retryRefillFraction is the part of the retry slack that is refilled over
	// time, and retryBurstFraction the part that may be spent at once.
	retryRefillFraction = 0.3
	retryBurstFraction  = 0.4
)

// entry places callers' requests on owners.
type entry struct {
	node *Node

	mu             sync.Mutex
	placer         *placement.Placer
	budgets        map[model.Service]*retry.Budget
	placedServices map[model.Service]bool
	shareRefusals  placement.ShareRefusals
	evac           evacuation
	self           roster.Record
	nodeCount      int
}

func newEntry(n *Node) *entry {
	return &entry{
		node: n,
		placer: placement.New(placement.Options{
			Self: n.self, Domain: n.settings.Domain, Region: n.settings.Region, Seed: rand.Uint64(),
			PeerRoundTrip: peerRoundTrip, DomainRoundTrip: domainRoundTrip,
		}),
		budgets:        make(map[model.Service]*retry.Budget),
		placedServices: make(map[model.Service]bool),
	}
}

// setTargets updates the targets of all services in placement. The last record
// is this node's own. changed reports whether the other records changed; without
// any change, setTargets does nothing.
func (e *entry) setTargets(records []roster.Record, evac evacuation, changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	self := records[len(records)-1]
	if !changed && sameDomains(evac.Domains, e.evac.Domains) && self == e.self {
		return
	}
	e.self, e.evac, e.nodeCount = self, evac, len(records)
	byService := make(map[model.Service][]placement.Target)
	for service := range e.placedServices {
		byService[service] = nil
	}
	for _, r := range records {
		if r.Service != "" && !evac.Contains(r.Domain) {
			target := placementTarget(r)
			target.Closed = e.node.rollouts.closes(r)
			byService[r.Service] = append(byService[r.Service], target)
		}
	}
	now := time.Now()
	for service, targets := range byService {
		e.placer.SetTargets(now, service, targets)
		e.placedServices[service] = len(targets) > 0
		if len(targets) == 0 {
			delete(e.placedServices, service)
		}
	}
	for _, b := range e.budgets {
		b.SetEntries(now, len(records))
	}
}

// budget returns the retry budget of a service. The caller must hold e.mu.
func (e *entry) budget(service model.Service) *retry.Budget {
	b := e.budgets[service]
	if b == nil {
		s := e.node.live.Load()
		window := max(s.RetryWindow.Seconds(), 1)
		b = retry.NewBudget(retry.Options{
			RetryFraction:      s.RetryRatio * retryFraction,
			RerunPart:          rerunPart,
			MinRefillPerSecond: s.RetrySlack * retryRefillFraction / window,
			Burst:              s.RetrySlack * retryBurstFraction,
			Entries:            max(e.nodeCount, 1),
		})
		e.budgets[service] = b
	}
	return b
}

// resetBudgets drops all budgets so that they are created from the changed
// settings.
func (e *entry) resetBudgets() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.budgets)
}
