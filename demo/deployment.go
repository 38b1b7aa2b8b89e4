// Package demo runs a whole deployment in one process over loopback: the
// stand-in of the store, a node beside each stand-in target at the sizes of a
// real deployment, and callers of several client accounts, one of them heavy.
// While calls flow a target starts cold, another one straggles, and a failure
// domain is taken out of service and brought back. Afterwards the promises
// are checked against what the targets saw.
package demo

import (
	"fmt"
	"time"
)

// Deployment names a set of sizes.
type Deployment string

// The deployments.
const (
	NewEngland Deployment = "new-england"
	Perth      Deployment = "perth"
)

// group is the targets of one service.
type group struct {
	service string
	count   int
}

// plan is a deployment's sizes.
type plan struct {
	region   string
	domains  []string
	groups   []group
	slots    int
	accounts []string
	// load is the share of capacity that is offered by default.
	load float64
	// serviceTime is the mean time of a call at a target.
	serviceTime time.Duration
	// outDomain is taken out of service during the run.
	outDomain string
}

// connections is the limit of connections of each target.
const connections = 260

// defaultServiceTime is the mean time of a call at a target.
const defaultServiceTime = 20 * time.Millisecond

func planOf(d Deployment) (plan, error) {
	switch d {
	case NewEngland:
		return plan{
			region:    "new-england",
			domains:   []string{"ne-a", "ne-b", "ne-c", "ne-d"},
			groups:    []group{{"calendar", 6}, {"bookings", 4}, {"permits", 4}},
			slots:     12,
			accounts:  []string{"amherst", "barre", "colrain", "deerfield", "easton", "framingham"},
			load:      0.18,
			outDomain: "ne-b",
		}, nil
	case Perth:
		return plan{
			region:    "perth",
			domains:   []string{"perth-north", "perth-south", "perth-east"},
			groups:    []group{{"trench-records", 6}, {"defect-desk", 4}, {"signoff-ledger", 3}},
			slots:     6,
			accounts:  []string{"alder", "brockton", "carr"},
			load:      0.24,
			outDomain: "perth-east",
		}, nil
	}
	return plan{}, fmt.Errorf("deployment %q is not known; use new-england or perth", d)
}

// capacity returns the calls a second that a service bears when all its
// targets are warm.
func (p plan) capacity(g group) float64 {
	return float64(g.count*p.slots) / p.serviceTime.Seconds()
}

// totalCapacity returns the calls a second that all services bear together.
func (p plan) totalCapacity() float64 {
	total := 0.0
	for _, g := range p.groups {
		total += p.capacity(g)
	}
	return total
}

// with returns the plan with the options' load and service time.
func (p plan) with(opts Options) plan {
	p.serviceTime = defaultServiceTime
	if opts.ServiceTime > 0 {
		p.serviceTime = opts.ServiceTime
	}
	if opts.Load > 0 {
		p.load = opts.Load
	}
	return p
}
