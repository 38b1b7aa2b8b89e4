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
	// testWait bounds the waits for something that must happen.
	testWait = 20 * time.Second
)

// cell is a node and the target beside it.
type cell struct {
	*Server
	url    string
	target *httptest.Server
	// socket is the node's own UDP address, behind its relay.
	socket string
}

// testFleet is a few nodes that know each other.
type testFleet struct {
	t        testing.TB
	secret   string
	cells    []*cell
	store    *store.Store
	links    *links
	document *config.Document
	changes  int
	// slots that targets announce.
	slots int
}

func newTestFleet(t testing.TB) *testFleet {
	hash := settings.HashKey(testKey)
	platform, err := store.Start("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(platform.Close)
	return &testFleet{
		t: t, store: platform, links: newLinks(), secret: base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{5}, 32)), slots: 4,
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

// add starts a node in the failure domain; the handler is its target's, nil
// for a node whose target is absent.
func (f *testFleet) add(domain string, handler http.HandlerFunc) *cell {
	relay := startRelay(f.t, f.links)
	node, err := Start(f.settings(domain, relay.conn.LocalAddr()))
	qt.Assert(f.t, err, qt.IsNil)
	relay.serve(f.t, node.transport.Addr())
	c := &cell{Server: node, url: "http://" + node.CallerAddr(), socket: node.transport.Addr()}
	f.t.Cleanup(node.Kill)
	f.cells = append(f.cells, c)
	if handler != nil {
		c.target = httptest.NewServer(handler)
		f.t.Cleanup(func() { c.target.Close() })
		f.announce(c, "one")
	}
	return c
}

func (f *testFleet) settings(domain string, advertise net.Addr) *static.Settings {
	known := "[]"
	if len(f.cells) > 0 {
		known = fmt.Sprintf("[%q]", f.cells[0].Node())
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

func (f *testFleet) announce(c *cell, instance string) {
	qt.Assert(f.t, f.tryAnnounce(c, instance), qt.IsNil)
}

// tryAnnounce announces the cell's target; it fails when the node is gone.
func (f *testFleet) tryAnnounce(c *cell, instance string) error {
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
		return fmt.Errorf("the announcement was answered %d", response.StatusCode)
	}
	return nil
}

// apply commits the document through the first node and waits until all nodes
// apply it.
func (f *testFleet) apply() {
	f.commit(config.Change{Document: f.document})
}

func (f *testFleet) commit(change config.Change) {
	f.changes++
	change.ID = fmt.Sprintf("change-%d", f.changes)
	change.Base = f.cells[0].Revision()
	outcome := f.cells[0].Commit(context.Background(), change)
	qt.Assert(f.t, outcome.Result, qt.Equals, config.ResultAccepted, qt.Commentf("%+v", outcome))
	for _, c := range f.cells {
		f.eventually(func() bool { return c.Revision() >= outcome.Revision })
	}
}

// ready applies the configuration and waits until all nodes know all targets.
func (f *testFleet) ready() {
	f.apply()
	targets := 0
	for _, c := range f.cells {
		if c.target != nil {
			targets++
		}
	}
	for _, c := range f.cells {
		f.eventually(func() bool { return c.TargetCount() == targets })
	}
}

// eventually waits for a condition that must come true.
func (f *testFleet) eventually(condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(testWait)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatal("the condition did not come true in time")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// got is what a caller received.
type got struct {
	status int
	run    string
	kind   string
	body   string
	err    error
	// retryAfter is the advice in the header, in seconds.
	retryAfter int
}

// ask is one request of a caller.
type ask struct {
	method, path, body string
	key                string
	header             http.Header
	client             *http.Client
}

func (c *cell) call(a ask) got {
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
	return receive(client.Do(request))
}

// receive reads an answer to its end.
func receive(response *http.Response, err error) got {
	if err != nil {
		return got{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	g := got{status: response.StatusCode, run: response.Header.Get(entry.HeaderRun), body: string(body), err: err}
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

// requestKey asks the node for a request key.
func (c *cell) requestKey(t testing.TB) string {
	g := c.call(ask{method: http.MethodPost, path: entry.KeysPath})
	var issued struct {
		Keys []string `json:"keys"`
	}
	qt.Assert(t, json.Unmarshal([]byte(g.body), &issued), qt.IsNil)
	qt.Assert(t, issued.Keys, qt.HasLen, 1)
	return issued.Keys[0]
}
