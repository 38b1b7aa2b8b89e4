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
	// domainCost is what a call to another failure domain is counted for. It
	// stands for the price of its bytes and for the round trip.
	domainCost = 20 * time.Millisecond
	// peerCost is the same for another node of the own failure domain.
	peerCost = time.Millisecond
	// repeatFraction is the part of the repeats allowed by the settings that
	// are paid for by successes; the rest is left to bursts.
	repeatFraction = 0.5
	// repeatFloor and repeatBurst are the parts of the slack that come with
	// time and that may be spent at once.
	repeatFloor = 0.3
	repeatBurst = 0.4
)

// entry takes in callers' requests and places them.
type entry struct {
	node *Node

	mu      sync.Mutex
	placer  *placement.Placer
	budgets map[model.Service]*retry.Budget
	placed  map[model.Service]bool
	evac    evacuation
	self    roster.Record
	nodes   int
}

func newEntry(n *Node) *entry {
	return &entry{
		node: n,
		placer: placement.New(placement.Options{
			Self: n.self, Domain: n.settings.Domain, Region: n.settings.Region, Seed: rand.Uint64(),
			PeerRoundTrip: peerCost, DomainRoundTrip: domainCost,
		}),
		budgets: make(map[model.Service]*retry.Budget),
		placed:  make(map[model.Service]bool),
	}
}

// setTargets gives placement the targets of all services. The last record is
// this node's own.
func (e *entry) setTargets(records []roster.Record, evac evacuation, changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	self := records[len(records)-1]
	if !changed && sameDomains(evac.Domains, e.evac.Domains) && self == e.self {
		return
	}
	e.self, e.evac, e.nodes = self, evac, len(records)
	byService := make(map[model.Service][]placement.Target)
	for service := range e.placed {
		byService[service] = nil
	}
	for _, r := range records {
		if r.Service != "" && !evac.out(r.Domain) {
			byService[r.Service] = append(byService[r.Service], targetOf(r))
		}
	}
	now := time.Now()
	for service, targets := range byService {
		e.placer.SetTargets(now, service, targets)
		e.placed[service] = len(targets) > 0
		if len(targets) == 0 {
			delete(e.placed, service)
		}
	}
	for _, b := range e.budgets {
		b.SetEntries(now, len(records))
	}
}

// budget returns the budget of repeats at a service. The caller holds the lock.
func (e *entry) budget(service model.Service) *retry.Budget {
	b := e.budgets[service]
	if b == nil {
		s := e.node.live.Load()
		window := max(s.RetryWindow.Seconds(), 1)
		b = retry.NewBudget(retry.Options{
			RetryFraction:      s.RetryRatio * repeatFraction,
			MinRefillPerSecond: s.RetrySlack * repeatFloor / window,
			Burst:              s.RetrySlack * repeatBurst,
			Entries:            max(e.nodes, 1),
		})
		e.budgets[service] = b
	}
	return b
}

// forgetBudgets makes the budgets anew, by changed settings.
func (e *entry) forgetBudgets() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.budgets)
}
