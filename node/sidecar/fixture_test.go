package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/accountkey"
	"zinniafall/policy/model"
	"zinniafall/policy/rollout"
	"zinniafall/policy/routing"
)

var testDialect = Dialect{
	RequestID: "X-Id", Deadline: "X-Deadline", Mark: "X-Mark", ExpectTarget: "X-Expect", Load: "X-Load",
	NotRun: "X-Not-Run", Origin: "X-Origin", TargetID: "X-Target", ColdLeft: "X-Cold", StatedLimit: "X-Limit", Leaving: "X-Leaving", Account: "X-Account",
}

// testOperators reads a configuration in JSON.
type testOperators struct{}

type testDocument struct {
	Revision model.Revision
	Routes   []routing.Route
	Services map[model.Service]routing.Service
	// Keys are the keys of the accounts by name.
	Keys map[model.Account][]string `json:",omitempty"`
}

func (testOperators) Prefix() string                  { return "ops/" }
func (testOperators) IsConfiguration(key string) bool { return key == "ops/config" }

func (testOperators) EvacuatedDomain(key string) (model.Domain, bool) {
	domain, ok := strings.CutPrefix(key, "ops/out/")
	return model.Domain(domain), ok
}

// Rollout reads an order in JSON at ops/rollout/SERVICE.
func (testOperators) Rollout(key string, value []byte) (model.Service, rollout.Order, bool, error) {
	service, ok := strings.CutPrefix(key, "ops/rollout/")
	var order rollout.Order
	if !ok {
		return "", order, false, nil
	}
	err := json.Unmarshal(value, &order)
	order.Service = model.Service(service)
	return order.Service, order, true, err
}

// RolloutStatus reports the phase at status/SERVICE.
func (testOperators) RolloutStatus(state rollout.State) (string, []byte) {
	return "status/" + string(state.Service), []byte(state.Phase)
}

// panicDocument is a document whose decoding panics.
const panicDocument = `"panic"`

func (testOperators) Decode(raw []byte) (*routing.Table, error) {
	if string(raw) == panicDocument {
		panic("a fault of the decoder")
	}
	var d testDocument
	if err := json.Unmarshal(raw, &d); err != nil {
		return nil, err
	}
	table, err := routing.NewTable(d.Revision, d.Routes, d.Services, routing.Limits{})
	if err != nil || d.Keys == nil {
		return table, err
	}
	var accounts []routing.AccountKeys
	for name, keys := range d.Keys {
		account := routing.AccountKeys{Account: routing.Account{Name: name, Priority: 3}}
		for _, key := range keys {
			account.Keys = append(account.Keys, accountkey.SumOf(key))
		}
		accounts = append(accounts, account)
	}
	return table.WithAccounts(accounts), nil
}

// configure writes a configuration with idempotent requests at /safe/ and
// others at /unsafe/.
func (s *memoryStore) configure(t testing.TB, revision model.Revision, services ...model.Service) {
	s.put("ops/config", newDocument(t, revision, services...), false)
}

// newDocument returns a configuration as configure writes it.
func newDocument(t testing.TB, revision model.Revision, services ...model.Service) []byte {
	d := testDocument{Revision: revision, Services: map[model.Service]routing.Service{}}
	for _, name := range services {
		d.Services[name] = routing.Service{HealthPath: "/health", ColdRate: 100}
		for path, safe := range map[string]bool{"safe": true, "unsafe": false} {
			d.Routes = append(d.Routes, routing.Route{
				Name: path, Host: string(name), Prefix: "/" + path + "/", Backends: []routing.Backend{{Service: name, Weight: 1}},
				Idempotent: safe, Timeout: 20 * time.Second, Objective: 10 * time.Second, MaxAttempts: 2,
			})
		}
	}
	raw, err := json.Marshal(d)
	qt.Assert(t, err, qt.IsNil)
	return raw
}

// testTarget is a target that records the requests that it runs.
type testTarget struct {
	server *httptest.Server
	id     string
	slots  int // set before the target serves

	serving atomic.Pointer[http.HandlerFunc]

	mu     sync.Mutex
	ran    []*http.Request
	handle http.HandlerFunc
	limit  string // the stated limit; none if empty
	// leaving makes the target say in each answer that it leaves, and unhealthy
	// that it answers health requests with 503.
	leaving, unhealthy bool
	// mute makes it not answer health requests, anonymous answer them without its ID.
	mute, anonymous bool
	muted           int // health requests that were not answered
}

func newTestTarget(t testing.TB, id string) *testTarget {
	target := &testTarget{id: id, slots: 8}
	target.swapHandler(target.serve)
	target.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { (*target.serving.Load())(w, r) }))
	t.Cleanup(func() { closeTarget(target.server) })
	return target
}

// closeTarget closes a target without waiting for its handlers: a test that fails
// while it blocks a handler would otherwise hang, and its failure would not be reported.
func closeTarget(server *httptest.Server) {
	_ = server.Listener.Close()
	server.CloseClientConnections()
}

// swapHandler makes the target answer all requests, health requests as well, by a handler.
func (x *testTarget) swapHandler(h http.HandlerFunc) { x.serving.Store(&h) }

func (x *testTarget) addr() string { return x.server.Listener.Addr().String() }

func (x *testTarget) serve(w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	id, limit, leaving, unhealthy, mute, anonymous := x.id, x.limit, x.leaving, x.unhealthy, x.mute, x.anonymous
	x.mu.Unlock()
	if leaving {
		w.Header().Set("X-Leaving", "1")
	}
	if limit != "" {
		w.Header().Set("X-Limit", limit)
	}
	if !anonymous {
		w.Header().Set("X-Target", id)
	}
	w.Header().Set("X-Load", fmt.Sprintf("0,0,%d", x.slots))
	if r.URL.Path == "/health" {
		if mute {
			x.mu.Lock()
			x.muted++
			x.mu.Unlock()
			<-r.Context().Done()
			return
		}
		if unhealthy {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if want := r.Header.Get("X-Expect"); want != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Mark", "mark of "+id)
	x.mu.Lock()
	x.ran = append(x.ran, r)
	handle := x.handle
	x.mu.Unlock()
	if handle != nil {
		handle(w, r)
		return
	}
	_, _ = io.WriteString(w, "from "+id)
}

// stopHealth makes the target answer no further health request, and waits until its node has
// handled the last answer: the node sends one such request at a time.
func (x *testTarget) stopHealth(t testing.TB) {
	x.mu.Lock()
	x.mute = true
	x.mu.Unlock()
	eventually(t, "a health request without an answer", func() bool {
		x.mu.Lock()
		defer x.mu.Unlock()
		return x.muted > 0
	})
}

func (x *testTarget) onRequest(handle http.HandlerFunc) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.handle = handle
}

func (x *testTarget) requests() []*http.Request {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.ran)
}

func resetConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func shedCall(w http.ResponseWriter, _ *http.Request) {
	w.Header().Del("X-Mark")
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func failCall(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }

// logBuffer collects the log of a node.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// lines returns the decoded log lines of a part.
func (b *logBuffer) lines(part string) []map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []map[string]any
	for _, text := range strings.Split(b.text.String(), "\n") {
		var line map[string]any
		if json.Unmarshal([]byte(text), &line) == nil && line["part"] == part {
			out = append(out, line)
		}
	}
	return out
}

// testNode is a node with its target and its log.
type testNode struct {
	*Node
	t      testing.TB
	target *testTarget
	log    *logBuffer
}

// lastPort counts the ports given out. They are below the ports that the system
// uses for outgoing connections, so that no other connection takes an address
// before its node does.
var lastPort atomic.Int32

func freeAddr() string {
	for {
		const first, count = 20000, 10000
		addr := fmt.Sprintf("127.0.0.1:%d", first+(int(lastPort.Add(1))+os.Getpid()*37)%count)
		l, err := net.Listen("tcp", addr)
		if err == nil {
			_ = l.Close()
			return addr
		}
	}
}

// startNode starts a node beside a target.
func startNode(t testing.TB, store Store, domain model.Domain, service model.Service, target *testTarget) *testNode {
	return startNodeAt(t, store, domain, service, target, freeAddr())
}

func startNodeAt(t testing.TB, store Store, domain model.Domain, service model.Service, target *testTarget, peerAddr string) *testNode {
	return startNodeWith(t, store, domain, service, target, peerAddr, func(*Options) {})
}

// startNodeWith starts a node with changed options.
func startNodeWith(t testing.TB, store Store, domain model.Domain, service model.Service, target *testTarget, peerAddr string, change func(*Options)) *testNode {
	log := &logBuffer{}
	opts := Options{
		Settings: Settings{
			Name: string(domain) + "/" + target.id, Domain: domain, Region: "r", Callers: freeAddr(), Peers: peerAddr,
			Metrics: freeAddr(), Readiness: freeAddr(), Announcements: freeAddr(), Target: target.addr(), Service: service, Store: "127.0.0.1:1",
			RetryRatio: 1, RetryWindow: time.Second, RetrySlack: 1000, GracePeriod: 20 * time.Second,
		},
		AdvertisedAddr: peerAddr, Dialect: testDialect, Store: store, OperatorKeys: testOperators{}, Log: log,
		ControlHandlers: func(*Node) (http.Handler, http.Handler) { return http.NotFoundHandler(), http.NotFoundHandler() },
	}
	change(&opts)
	n, err := Start(opts)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(n.Kill)
	return &testNode{n, t, target, log}
}

// eventually waits for a condition, and fails the test if it does not hold
// within about 15 s.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("condition not met: %s", what)
}

// waitForTargets waits until the node places calls on the given number of
// targets of a service.
func (n *testNode) waitForTargets(service model.Service, targets int) {
	n.t.Helper()
	eventually(n.t, fmt.Sprintf("%s has %d targets of %s", n.settings.Name, targets, service), func() bool {
		return n.fleet.targetCount(service) == targets && n.configuration.current() != nil && n.targetsReady(service)
	})
}

// targetsReady reports whether the node's records show all targets of a service
// as ready: the state of a target found by its health arrives with the next
// greeting.
func (n *testNode) targetsReady(service model.Service) bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for _, r := range n.fleet.roster.Records() {
		if r.Service == service && r.State != model.TargetWarm && r.State != model.TargetAbsent {
			return false
		}
	}
	return true
}

// waitForOwnTarget waits until the node's own target accepts calls.
func (n *testNode) waitForOwnTarget() {
	n.t.Helper()
	eventually(n.t, n.settings.Name+" has its target", func() bool { return n.owner.report().Limit > 0 })
}

type answer struct {
	status int
	body   string
	header http.Header
}

func (n *testNode) call(method, host, path string) answer {
	n.t.Helper()
	a, err := n.tryCall(n.t.Context(), method, host, path)
	qt.Assert(n.t, err, qt.IsNil)
	return a
}

func (n *testNode) tryCall(ctx context.Context, method, host, path string) (answer, error) {
	return n.tryCallWith(ctx, method, host, path, nil)
}

// tryCallWith sends further header fields.
func (n *testNode) tryCallWith(ctx context.Context, method, host, path string, header http.Header) (answer, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.settings.Callers+path, nil)
	if err != nil {
		return answer{}, err
	}
	r.Host = host
	r.Header.Set("X-Id", fmt.Sprintf("%s-%d", path, time.Now().UnixNano()))
	r.Header.Set("X-Deadline", "15000")
	r.Header.Set("X-Origin", "forged")
	maps.Copy(r.Header, header)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, string(body), response.Header}, err
}
