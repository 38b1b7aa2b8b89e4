// Package routing decides which service a request goes to. A Table is one
// accepted configuration: it is checked when it is built and never changes
// afterwards, so that readers need no lock. Among the routes of a host the one
// with the longest prefix of the path wins; a route with several backends
// spreads its requests by their weights.
package routing

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"zinniafall/policy/model"
)

// Route says where requests of one host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Backends share the requests by weight; a plain route has one.
	Backends []Backend
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time for which a caller is kept waiting; 0 sets
	// no bound besides the caller's own deadline.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most to the
	// caller; 0 when none is configured.
	Objective time.Duration
	// MaxAttempts bounds the targets that one request is sent to.
	MaxAttempts int
	// Priority orders requests that compete for a target; 0 is the highest.
	Priority int
}

// Backend is one service of a route.
type Backend struct {
	Service model.Service
	// Weight is the backend's share relative to the others'.
	Weight float64
}

// Service is what the configuration says about the targets of a service.
type Service struct {
	// HealthPath answers for the target's health and load.
	HealthPath string
	// MaxConnections bounds the connections to one target, from all callers.
	MaxConnections int
	// WarmUp is how long a target stays cold after its start.
	WarmUp time.Duration
	// ColdRate is the rate that a cold target bears, in requests a second.
	ColdRate float64
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one configuration.
type Table struct {
	Revision model.Revision
	Services map[model.Service]Service
	Limits   Limits

	routes []Route
	byHost map[string][]*Route
}

// ErrUnknownService reports a route table that cannot serve.
var ErrUnknownService = errors.New("the configuration has no service for the route; name a configured service")

// NewTable checks the routes against the services and returns the table. The
// error names every problem.
func NewTable(revision model.Revision, routes []Route, services map[model.Service]Service, limits Limits) (*Table, error) {
	t := &Table{
		Revision: revision, Services: services, Limits: limits,
		routes: slices.Clone(routes), byHost: make(map[string][]*Route, len(routes)),
	}
	var problems []error
	for i := range t.routes {
		r := &t.routes[i]
		if err := t.check(r); err != nil {
			problems = append(problems, fmt.Errorf("route %q: %w", r.Name, err))
			continue
		}
		host := normalHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, errors.Join(problems...)
}

func (t *Table) check(r *Route) error {
	switch {
	case r.Host == "":
		return errors.New("host is missing")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.Timeout < 0 || r.Objective < 0:
		return errors.New("a time is below zero")
	case r.MaxAttempts < 1:
		return fmt.Errorf("%d attempts are allowed; allow at least 1", r.MaxAttempts)
	}
	total := 0.0
	for _, b := range r.Backends {
		if _, ok := t.Services[b.Service]; !ok {
			return fmt.Errorf("service %q: %w", b.Service, ErrUnknownService)
		}
		if b.Weight < 0 {
			return fmt.Errorf("service %q has the weight %v, below zero", b.Service, b.Weight)
		}
		total += b.Weight
	}
	if total <= 0 {
		return errors.New("no backend has a weight above zero")
	}
	return nil
}

// Routes returns the number of routes.
func (t *Table) Routes() int { return len(t.routes) }

// Match returns the route of a request, or nil when none matches.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// PickService returns the service for one request, given a number drawn evenly from
// [0, 1).
func (r *Route) PickService(draw float64) model.Service {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	at := draw * total
	for _, b := range r.Backends {
		if at < b.Weight {
			return b.Service
		}
		at -= b.Weight
	}
	return r.Backends[0].Service
}

// normalHost drops the port and the letter case of a Host field.
func normalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
