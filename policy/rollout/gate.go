package rollout

import (
	"slices"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

const (
	// unknownVersionTime is how long an owner whose target has stated no version stays
	// closed. A heartbeat with the version comes well within it.
	unknownVersionTime = 2 * time.Second
	// The circuit breaker opens after breakerBad bad answers among the last breakerWindow.
	breakerBad    = 6
	breakerWindow = 10
)

// Gate decides whether the calls of one owner may start. It is not safe for concurrent use.
type Gate struct {
	state   State
	node    model.NodeAddr
	process model.ProcessID
	version string
	// unknownSince is when a state was first applied without a known version.
	unknownSince time.Time

	// held is set while the rollback out of a drain is not written.
	held bool

	starts, ended uint64
	routes        map[string]*RouteEvidence
	loads         LoadEvidence

	// recent holds the last answers of the new version, true for a bad one.
	recent []bool
	// tripped is set while the circuit breaker is open; trippedStep and trippedAt are the
	// state's step and the grant then.
	tripped     bool
	trippedStep uint64
	trippedAt   uint64
}

// NewGate returns a gate that is open until a state is applied.
func NewGate() *Gate { return &Gate{routes: map[string]*RouteEvidence{}} }

// State returns the newest state that was applied.
func (g *Gate) State() State { return g.state }

// Apply applies a state, unless a newer one is in force. The node and process identify the
// owner's own Grant; the version is that of its target, "" while unknown. An owner also calls
// Apply with the last state when the version becomes known.
func (g *Gate) Apply(now time.Time, state State, node model.NodeAddr, process model.ProcessID, version string) {
	if version != "" || g.version == "" {
		g.version = version
	}
	if version == "" && g.unknownSince.IsZero() {
		g.unknownSince = now
	}
	g.node, g.process = node, process
	if g.state.Phase != "" && !Newer(state, g.state) || state.Validate() != nil {
		return
	}
	if state.Position() != g.state.Position() && state.Version != g.state.Version {
		g.tripped, g.recent = false, nil
	}
	samePosition := state.Position() == g.state.Position()
	g.held = state.Draft && samePosition && (g.held || g.state.Phase == Drain)
	g.state = state
	if g.tripped && (!g.limited() || state.Step > g.trippedStep && g.grant() > g.trippedAt) {
		g.tripped, g.recent = false, nil
	}
}

// limited reports whether the new version is limited by grants and the circuit breaker.
func (g *Gate) limited() bool {
	return (g.state.Phase == Canary || g.state.Phase == Expand) && !g.state.Proven
}

// grant returns the number of starts that the owner's process may have in all.
func (g *Gate) grant() uint64 {
	for _, grant := range g.state.Grants {
		if grant.Node == g.node && grant.Process == g.process {
			return grant.Starts
		}
	}
	return 0
}

// closed reports whether the phase or the version closes the gate, whatever its grant, and
// whether the number of starts is limited by it otherwise.
func (g *Gate) closed(now time.Time) (closed, limited bool) {
	s := &g.state
	switch {
	case s.Phase == "":
		return false, false
	case g.version == "" && !slices.Contains(s.Stable, ""):
		return now.Sub(g.unknownSince) < unknownVersionTime, false
	case g.version == s.Version:
		return s.Phase == RolledBack, g.limited()
	case len(s.Stable) > 0 && !slices.Contains(s.Stable, g.version):
		return true, false
	default:
		return s.Phase == Drain || s.Phase == Completed || g.held, false
	}
}

// Open reports whether one more call may start.
func (g *Gate) Open(now time.Time) (bool, *problem.Error) {
	closed, limited := g.closed(now)
	switch {
	case closed:
		return false, problem.New(problem.Draining, model.RunNo, "a rollout closed this target's version")
	case g.tripped:
		return false, problem.New(problem.Draining, model.RunNo, "the new version's answers here were bad")
	case limited && g.starts >= g.grant():
		return false, problem.New(problem.Draining, model.RunNo, "the rollout's grant for this target is used up")
	}
	return true, nil
}

// Start describes a call that goes to the target.
type Start struct {
	Route string
	// Running is the number of calls in progress at the target, this one included.
	Running int
	// Cold is set if the target is cold.
	Cold bool
}

// Started records that a call goes to the target.
func (g *Gate) Started(_ time.Time, start Start) {
	g.starts++
	g.route(start.Route)
}

// route returns the counts of a route, nil if there are too many routes.
func (g *Gate) route(route string) *RouteEvidence {
	r := g.routes[route]
	if r == nil && len(g.routes) < maxRoutes && validName(route) {
		r = &RouteEvidence{Route: route}
		g.routes[route] = r
	}
	return r
}

// Ended records the end of a call. The duration is its time at the usual pace.
func (g *Gate) Ended(_ time.Time, start Start, duration time.Duration, failed bool) {
	g.ended = min(g.ended+1, g.starts)
	bad := failed || !start.Cold && g.slow(start.Route, duration)
	load := &g.loads[levelOf(start.Running)]
	load.Answers++
	if bad {
		load.Bad++
	}
	r := g.route(start.Route)
	if r == nil {
		return
	}
	r.Answers++
	if failed {
		r.Failures++
	} else if !start.Cold {
		r.Times.Add(duration)
	}
	if g.version == g.state.Version && g.limited() {
		g.observe(bad)
	}
}

// slow reports whether a time is above the route's limit, as Histogram.Above counts it.
func (g *Gate) slow(route string, duration time.Duration) bool {
	for _, l := range g.state.Limits {
		if l.Route == route && l.Ms > 0 {
			return binOf(duration) > binOf(time.Duration(l.Ms)*time.Millisecond)
		}
	}
	return false
}

// observe passes an answer of the new version to the circuit breaker.
func (g *Gate) observe(bad bool) {
	g.recent = append(g.recent, bad)
	g.recent = g.recent[max(len(g.recent)-breakerWindow, 0):]
	n := 0
	for _, b := range g.recent {
		if b {
			n++
		}
	}
	if n >= breakerBad && !g.tripped {
		g.tripped, g.trippedStep, g.trippedAt = true, g.state.Step, g.grant()
	}
}

// Evidence returns the owner's report. The caller adds the state of the target, its slots,
// its failure domain and the number of queued calls.
func (g *Gate) Evidence() Evidence {
	e := Evidence{
		Node: g.node, Process: g.process, Version: g.version, Starts: g.starts,
		InFlight: int(g.starts - g.ended), Loads: g.loads, Phase: g.state.Phase, Step: g.state.Step, Era: g.state.Era, Revision: g.state.Revision,
	}
	closed, _ := g.closed(g.unknownSince)
	e.Closed = closed && (g.version != "" || slices.Contains(g.state.Stable, ""))
	for _, r := range g.routes {
		e.Routes = append(e.Routes, *r)
	}
	slices.SortFunc(e.Routes, func(a, b RouteEvidence) int {
		if a.Route < b.Route {
			return -1
		}
		return 1
	})
	return e
}
