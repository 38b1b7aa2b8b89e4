// Package routing selects the service for a request. A Table holds one
// accepted configuration. It is validated when it is built and never modified
// afterwards, so that readers need no lock. Of the routes of a host, the one
// with the longest matching path prefix is used. A route with several backends
// distributes its requests by weight.
//
// A route that this release cannot serve stays in the table, marked as
// unsupported: its requests must neither be refused as unknown nor fall through
// to a route with a shorter prefix, which may lead to another service. The other
// routes are served. A route without a usable host and prefix invalidates the
// whole table, since nobody can tell which requests it covers.
package routing

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// unsupportedRetryAfter is the Retry-After of a route that this release does not
// support. Load plays no part: only a change of the configuration or of the release
// helps, and neither happens within the time of a request.
const unsupportedRetryAfter = 5 * time.Second

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Backends share the requests by weight; a plain route has one.
	Backends []Backend
	// Idempotent reports whether a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits; 0 means no limit
	// besides the deadline of the caller.
	Timeout time.Duration
	// Objective is the latency objective: the time within which a response is
	// worth most to the caller. It is 0 if none is configured.
	Objective time.Duration
	// MaxAttempts limits the number of targets to which one request is sent.
	MaxAttempts int
	// Priority orders requests that compete for a target; 0 is the highest
	// priority.
	Priority int
	// AllowAnonymous reports whether a request needs no key of an account.
	AllowAnonymous bool
	// Bulk reports whether request bodies are large.
	Bulk bool
	// Unsupported is why this release cannot serve the route's requests, or
	// empty if it can.
	Unsupported string
}

// Backend is a service of a route.
type Backend struct {
	Service model.Service
	// Weight is the backend's share relative to the other backends.
	Weight float64
}

// Service is the configuration that applies to the targets of a service.
type Service struct {
	// HealthPath is the path that returns the target's health and load.
	HealthPath string
	// MaxConnections limits the connections to one target from all callers
	// together.
	MaxConnections int
	// WarmUp is how long a target stays cold after it starts.
	WarmUp time.Duration
	// ColdRate is the load that a cold target can handle, in requests per
	// second.
	ColdRate float64
}

// Limits restrict the size of a request and the time that its caller may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is the routing table of one configuration.
type Table struct {
	Revision model.Revision
	Services map[model.Service]Service
	Limits   Limits
	// Problems lists the parts of the configuration that are not in force as
	// written, such as unsupported routes.
	Problems []error

	routes []Route
	// accounts are nil if the configuration states no account.
	accounts *accounts
	// byHost holds the routes by host and prefix.
	byHost map[string]map[string]*Route
}

// ErrUnknownService reports a backend whose service is not configured.
var ErrUnknownService = errors.New("the configuration has no service for the route; name a configured service")

// NewTable returns the table of the routes and services. An error lists the
// routes without a usable host or prefix. Any other invalid route is marked as
// unsupported and reported in Problems.
func NewTable(revision model.Revision, routes []Route, services map[model.Service]Service, limits Limits) (*Table, error) {
	t := &Table{
		Revision: revision, Services: services, Limits: limits,
		routes: slices.Clone(routes), byHost: make(map[string]map[string]*Route),
	}
	var unplaced []error
	for i := range t.routes {
		r := &t.routes[i]
		if err := r.validateMatch(); err != nil {
			unplaced = append(unplaced, fmt.Errorf("route %q: %w", r.Name, err))
			continue
		}
		if r.Unsupported == "" {
			if err := t.validateRoute(r); err != nil {
				r.Unsupported = err.Error()
			}
		}
		if r.Unsupported != "" {
			t.Problems = append(t.Problems, fmt.Errorf("route %q: %s", r.Name, r.Unsupported))
		}
		host := normalizeHost(r.Host)
		if t.byHost[host] == nil {
			t.byHost[host] = make(map[string]*Route)
		}
		if t.byHost[host][r.Prefix] == nil { // of two equal prefixes, the first counts
			t.byHost[host][r.Prefix] = r
		}
	}
	if len(unplaced) > 0 {
		return nil, errors.Join(unplaced...)
	}
	return t, nil
}

// Refusal returns the problem with which all requests of the route are refused before
// any target gets them, or nil if they are served.
func (r *Route) Refusal() *problem.Error {
	if r.Unsupported == "" {
		return nil
	}
	return problem.New(problem.RouteUnsupported, model.RunNo, "the route cannot be served: "+r.Unsupported).After(unsupportedRetryAfter)
}

// validateMatch checks the fields that decide which requests the route matches.
func (r *Route) validateMatch() error {
	switch {
	case r.Host == "":
		return errors.New("host is missing")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	}
	return nil
}

// validateRoute checks the fields that decide how the route's requests are
// served.
func (t *Table) validateRoute(r *Route) error {
	switch {
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

// Match returns the route for a request, or nil if none matches. Each prefix ends with a
// slash, so that the longest one that matches is found in as many steps as the path has
// slashes.
func (t *Table) Match(host, path string) *Route {
	prefixes := t.byHost[normalizeHost(host)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// PickService returns the service for one request. The argument is a random
// number, uniformly distributed in [0, 1).
func (r *Route) PickService(random float64) model.Service {
	total := 0.0
	for _, b := range r.Backends {
		total += b.Weight
	}
	position := random * total
	for _, b := range r.Backends {
		if position < b.Weight {
			return b.Service
		}
		position -= b.Weight
	}
	return r.Backends[0].Service
}

// normalizeHost returns a Host header field in lower case and without its
// port.
func normalizeHost(host string) string {
	if strings.IndexByte(host, ':') >= 0 { // SplitHostPort allocates an error otherwise
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}
