package server

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/entry"
	"zinniafall/node/static"
	"zinniafall/policy/config"
	"zinniafall/policy/model"
	"zinniafall/policy/settings"
	"zinniafall/standin/store"
)

const (
	testService = "permits"
	testAccount = "amherst"
	testKey     = "the key of amherst"
	// testWait bounds the waits for conditions that must be met.
	testWait = 20 * time.Second
)

// testNode is a node and the target beside it.
type testNode struct {
	*Server
	// url is where callers reach the node.
	url    string
	target *httptest.Server
	// socket is the UDP address of the node itself, behind its relay.
	socket string
}

// testFleet is a fleet of a few nodes in this process.
type testFleet struct {
	t        testing.TB
	secret   string
	nodes    []*testNode
	store    *store.Store
	network  *network
	document *config.Document
	// changes is the number of committed changes.
	changes int
	// slots is the number of slots that the targets announce.
	slots int
}

func newTestFleet(t testing.TB) *testFleet {
	hash := settings.HashKey(testKey)
	platform, err := store.Start("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(platform.Close)
	return &testFleet{
		t: t, store: platform, network: newNetwork(), secret: base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{5}, 32)), slots: 4,
		document: &config.Document{
			Templates: map[string]config.Template{
				"domain":  {Kind: config.KindDomain, Body: map[string]any{"region": "test"}},
				"service": {Kind: config.KindService, Body: map[string]any{"timeout_ms": 5000}},
				"account": {Kind: config.KindAccount, Body: map[string]any{"weight": 1}},
			},
			Domains:  map[model.Domain]config.Domain{"a": {Template: "domain"}, "b": {Template: "domain"}, "c": {Template: "domain"}},
			Services: map[model.Service]config.Service{testService: {Template: "service"}},
			Accounts: map[model.Account]config.Account{testAccount: {Template: "account", KeyHashes: []string{hex.EncodeToString(hash[:])}}},
		},
	}
}

// add starts a node in the failure domain. The handler is that of its target;
// a node without a handler has no target.
func (f *testFleet) add(domain string, handler http.HandlerFunc) *testNode {
	relay := startRelay(f.t, f.network)
	node, err := Start(f.settings(domain, relay.conn.LocalAddr()))
	qt.Assert(f.t, err, qt.IsNil)
	relay.setNode(f.t, node.transport.Addr())
	c := &testNode{Server: node, url: "http://" + node.CallerAddr(), socket: node.transport.Addr()}
	f.t.Cleanup(node.Kill)
	f.nodes = append(f.nodes, c)
	if handler != nil {
		c.target = httptest.NewServer(handler)
		f.t.Cleanup(func() { closeTarget(c.target) })
		f.announce(c, "one")
	}
	return c
}

// closeTarget closes a target without waiting for its handlers: a test that fails
// while it blocks a handler would otherwise hang, and its failure would not be reported.
func closeTarget(server *httptest.Server) {
	_ = server.Listener.Close()
	server.CloseClientConnections()
}

// settings returns the settings of a node that joins through the first one.
func (f *testFleet) settings(domain string, advertise net.Addr) *static.Settings {
	known := "[]"
	if len(f.nodes) > 0 {
		known = fmt.Sprintf("[%q]", f.nodes[0].Node())
	}
	parsed, err := static.Parse([]byte(fmt.Sprintf(`{
		"node": {"failure_domain": %q, "region": "test"},
		"callers": {"listen": "127.0.0.1:0"},
		"peers": {"listen": "127.0.0.1:0", "advertise": %q, "known": %s},
		"operators": {"listen": "127.0.0.1:0", "tokens": [{"name": "kim", "token_sha256": %q}]},
		"target": {"listen": "127.0.0.1:0"},
		"store": {"url": %q},
		"fleet": {"secrets": [%q]}
	}`, domain, advertise, known, strings.Repeat("0", 64), f.store.URL(), f.secret)))
	qt.Assert(f.t, err, qt.IsNil)
	return parsed
}

// announce announces the node's target as the given instance.
func (f *testFleet) announce(c *testNode, instance string) {
	qt.Assert(f.t, f.tryAnnounce(c, instance), qt.IsNil)
}

// tryAnnounce announces the node's target; it returns an error when the node
// has stopped.
func (f *testFleet) tryAnnounce(c *testNode, instance string) error {
	body, _ := json.Marshal(Announcement{
		Service: testService, Address: c.target.Listener.Addr().String(), Instance: instance,
		Slots: f.slots, LeaseMs: 60_000,
	})
	request, _ := http.NewRequest(http.MethodPut, "http://"+c.TargetAddr()+"/v1/target", bytes.NewReader(body))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("the announcement was answered with status %d", response.StatusCode)
	}
	return nil
}

// apply commits the document through the first node and waits until all nodes
// apply it.
func (f *testFleet) apply() {
	f.commit(config.Change{Document: f.document})
}

// commit commits a change through the first node and waits until all nodes
// apply it.
func (f *testFleet) commit(change config.Change) {
	f.changes++
	change.ID = fmt.Sprintf("change-%d", f.changes)
	change.Base = f.nodes[0].Revision()
	outcome := f.nodes[0].Commit(context.Background(), change)
	qt.Assert(f.t, outcome.Result, qt.Equals, config.ResultAccepted, qt.Commentf("%+v", outcome))
	for _, c := range f.nodes {
		f.eventually(func() bool { return c.Revision() >= outcome.Revision })
	}
}

// ready applies the configuration and waits until each node has all targets.
func (f *testFleet) ready() {
	f.apply()
	targets := 0
	for _, c := range f.nodes {
		if c.target != nil {
			targets++
		}
	}
	for _, c := range f.nodes {
		f.eventually(func() bool { return c.TargetCount() == targets })
	}
}

// eventually polls a condition and fails the test when it is not met in time.
func (f *testFleet) eventually(condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(testWait)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatal("the condition was not met in time")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// callResult is what a caller received.
type callResult struct {
	status int
	run    string
	kind   string
	body   string
	err    error
	// retryAfter is the value of the Retry-After header, in seconds.
	retryAfter int
}

// callRequest is a request of a caller.
type callRequest struct {
	method, path, body string
	// key is the request key, if any.
	key    string
	header http.Header
	// client is the HTTP client, http.DefaultClient if nil.
	client *http.Client
}

// call sends a request through the node.
func (c *testNode) call(a callRequest) callResult {
	request, _ := http.NewRequestWithContext(context.Background(), a.method, c.url+a.path, strings.NewReader(a.body))
	for name, values := range a.header {
		request.Header[name] = values
	}
	request.Header.Set(entry.HeaderService, testService)
	if request.Header.Get(entry.HeaderAccountKey) == "" {
		request.Header.Set(entry.HeaderAccountKey, testKey)
	}
	if a.key != "" {
		request.Header.Set(entry.HeaderRequestKey, a.key)
	}
	client := a.client
	if client == nil {
		client = http.DefaultClient
	}
	return readResult(client.Do(request))
}

// readResult reads an answer to its end.
func readResult(response *http.Response, err error) callResult {
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	g := callResult{status: response.StatusCode, run: response.Header.Get(entry.HeaderRun), body: string(body), err: err}
	g.retryAfter, _ = strconv.Atoi(response.Header.Get("Retry-After"))
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		var p struct {
			Kind string `json:"kind"`
		}
		_ = json.Unmarshal(body, &p)
		g.kind = p.Kind
	}
	return g
}

// requestKey obtains a request key from the node.
func (c *testNode) requestKey(t testing.TB) string {
	g := c.call(callRequest{method: http.MethodPost, path: entry.KeysPath})
	var issued struct {
		Keys []string `json:"keys"`
	}
	qt.Assert(t, json.Unmarshal([]byte(g.body), &issued), qt.IsNil)
	qt.Assert(t, issued.Keys, qt.HasLen, 1)
	return issued.Keys[0]
}

// restart starts a node in the place of one that was killed, beside the same target.
func (f *testFleet) restart(old *testNode) *testNode {
	node, err := Start(old.settings)
	qt.Assert(f.t, err, qt.IsNil)
	f.t.Cleanup(node.Kill)
	return &testNode{Server: node, url: "http://" + node.CallerAddr(), target: old.target, socket: node.transport.Addr()}
}
