// Package demo runs a whole deployment in one process over loopback: a stand-in
// for the store, as many nodes and stand-in targets as in a real deployment, and
// callers of several client accounts, one of them heavy. Under load, one target
// restarts cold, another becomes a straggler, and a failure domain is taken out
// of service and brought back. Afterwards the guarantees are checked against
// what the targets saw.
package demo

import (
	"fmt"
	"time"
)

// Deployment is the name of a predefined deployment.
type Deployment string

// The deployments.
const (
	NewEngland Deployment = "new-england"
	Perth      Deployment = "perth"
)

// targetGroup describes the targets of one service.
type targetGroup struct {
	service string
	count   int
}

// spec describes the topology, capacity and load of a deployment.
type spec struct {
	region   string
	domains  []string
	groups   []targetGroup
	slots    int
	accounts []string
	// load is the share of the capacity that is offered.
	load float64
	// serviceTime is the mean time of a call at a target.
	serviceTime time.Duration
	// outDomain is the failure domain that the scenario takes out of service.
	outDomain string
}

// maxConnections is the connection limit of each target.
const maxConnections = 260

// defaultServiceTime is the mean time of a call at a target, unless the options
// set another.
const defaultServiceTime = 20 * time.Millisecond

func specFor(d Deployment) (spec, error) {
	switch d {
	case NewEngland:
		return spec{
			region:    "new-england",
			domains:   []string{"ne-a", "ne-b", "ne-c", "ne-d"},
			groups:    []targetGroup{{"calendar", 6}, {"bookings", 4}, {"permits", 4}},
			slots:     12,
			accounts:  []string{"amherst", "barre", "colrain", "deerfield", "easton", "framingham"},
			load:      0.18,
			outDomain: "ne-b",
		}, nil
	case Perth:
		return spec{
			region:    "perth",
			domains:   []string{"perth-north", "perth-south", "perth-east"},
			groups:    []targetGroup{{"trench-records", 6}, {"defect-desk", 4}, {"signoff-ledger", 3}},
			slots:     6,
			accounts:  []string{"alder", "brockton", "carr"},
			load:      0.24,
			outDomain: "perth-east",
		}, nil
	}
	return spec{}, fmt.Errorf("unknown deployment %q; use new-england or perth", d)
}

// capacity returns how many calls per second a service can run when all its
// targets are warm.
func (s spec) capacity(g targetGroup) float64 {
	return float64(g.count*s.slots) / s.serviceTime.Seconds()
}

// totalCapacity returns the capacity of all services, in calls per second.
func (s spec) totalCapacity() float64 {
	total := 0.0
	for _, g := range s.groups {
		total += s.capacity(g)
	}
	return total
}

// withOptions returns the spec with the load and service time of the options, or
// with the defaults where the options set none.
func (s spec) withOptions(opts Options) spec {
	s.serviceTime = defaultServiceTime
	if opts.ServiceTime > 0 {
		s.serviceTime = opts.ServiceTime
	}
	if opts.Load > 0 {
		s.load = opts.Load
	}
	return s
}
