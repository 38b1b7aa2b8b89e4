package routing

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
)

func services(names ...model.Service) map[model.Service]Service {
	out := make(map[model.Service]Service)
	for _, n := range names {
		out[n] = Service{}
	}
	return out
}

func route(host, prefix string, backends ...Backend) Route {
	return Route{Name: host + prefix, Host: host, Prefix: prefix, Backends: backends, MaxAttempts: 1, Timeout: time.Second}
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	table, err := NewTable(1, []Route{
		route("a.example", "/", Backend{"one", 1}),
		route("a.example", "/x/y/", Backend{"three", 1}),
		route("a.example", "/x/", Backend{"two", 1}),
	}, services("one", "two", "three"), Limits{})
	qt.Assert(t, err, qt.IsNil)
	for path, want := range map[string]model.Service{"/": "one", "/x/1": "two", "/x/y/2": "three", "/x/yz": "two"} {
		qt.Assert(t, table.Match("A.example:80", path).PickService(0), qt.Equals, want, qt.Commentf("path %s", path))
	}
	qt.Assert(t, table.Match("b.example", "/"), qt.IsNil)
}

func TestPickServiceFollowsWeights(t *testing.T) {
	r := route("a", "/", Backend{"one", 90}, Backend{"two", 10})
	counts := map[model.Service]int{}
	for i := range 1000 {
		counts[r.PickService(float64(i)/1000)]++
	}
	qt.Assert(t, counts["one"], qt.Equals, 900)
	qt.Assert(t, counts["two"], qt.Equals, 100)
}

// A route that cannot be served keeps its place in the table: its requests must
// not reach the service of the shorter prefix.
func TestInvalidRouteIsUnsupportedAndTheOthersAreServed(t *testing.T) {
	valid := route("a", "/x/", Backend{"one", 1})
	for name, invalidate := range map[string]func(*Route){
		"unknown service":   func(r *Route) { r.Backends = []Backend{{"missing", 1}} },
		"zero weight":       func(r *Route) { r.Backends = []Backend{{"one", 0}} },
		"weight below zero": func(r *Route) { r.Backends = []Backend{{"one", -1}} },
		"no backend":        func(r *Route) { r.Backends = nil },
		"time below zero":   func(r *Route) { r.Timeout = -1 },
		"no attempts":       func(r *Route) { r.MaxAttempts = 0 },
		"marked as such":    func(r *Route) { r.Unsupported = "a type of a later release" },
	} {
		r := valid
		invalidate(&r)
		table, err := NewTable(1, []Route{r, route("a", "/", Backend{"one", 1})}, services("one"), Limits{})
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", name))
		qt.Assert(t, table.Problems, qt.HasLen, 1, qt.Commentf("%s", name))
		refusal := table.Match("a", "/x/1").Refusal()
		qt.Assert(t, refusal != nil && refusal.Run == model.RunNo && refusal.RetryAfter > 0, qt.IsTrue, qt.Commentf("%s: %v", name, refusal))
		qt.Assert(t, table.Match("a", "/y").Refusal() == nil, qt.IsTrue, qt.Commentf("%s", name))
	}
}

func TestNewTableRejectsRoutesWithoutAPlace(t *testing.T) {
	valid := route("a", "/x/", Backend{"one", 1})
	for name, invalidate := range map[string]func(*Route){
		"no trailing slash": func(r *Route) { r.Prefix = "/x" },
		"no leading slash":  func(r *Route) { r.Prefix = "x/" },
		"no prefix":         func(r *Route) { r.Prefix = "" },
		"no host":           func(r *Route) { r.Host = "" },
		"unsupported, too":  func(r *Route) { r.Host, r.Unsupported = "", "a type of a later release" },
	} {
		r := valid
		invalidate(&r)
		_, err := NewTable(1, []Route{r, route("a", "/", Backend{"one", 1})}, services("one"), Limits{})
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%s", name))
	}
}

// TestMatchEqualsAScanOfAllRoutes compares Match with the definition: of the prefixes that
// begin the path the longest counts, of equal ones the first.
func TestMatchEqualsAScanOfAllRoutes(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	path := func() string {
		p := "/"
		for range rng.IntN(5) {
			p += []string{"a", "b", "", "ab"}[rng.IntN(4)] + "/"
		}
		return p
	}
	for range 200 {
		var routes []Route
		for i := range 1 + rng.IntN(20) {
			r := route("h", path(), Backend{"one", 1})
			r.Name = strconv.Itoa(i)
			routes = append(routes, r)
		}
		table, err := NewTable(1, routes, services("one"), Limits{})
		qt.Assert(t, err, qt.IsNil)
		for range 50 {
			target := path() + []string{"", "x", "a"}[rng.IntN(3)]
			var want *Route
			for i, r := range routes {
				if strings.HasPrefix(target, r.Prefix) && (want == nil || len(r.Prefix) > len(want.Prefix)) {
					want = &routes[i]
				}
			}
			got := table.Match("h", target)
			qt.Assert(t, got == nil, qt.Equals, want == nil, qt.Commentf("%s", target))
			if want != nil {
				qt.Assert(t, got.Name, qt.Equals, want.Name, qt.Commentf("%s", target))
			}
		}
	}
}
