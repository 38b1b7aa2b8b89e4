package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"k8s.io/klog/v2"

	"zinniafall/node/configuration"
	"zinniafall/node/operatorapi"
	"zinniafall/node/platform"
	"zinniafall/policy/config"
	"zinniafall/policy/model"
	"zinniafall/policy/settings"
	"zinniafall/standin/store"
)

const sampleDocument = `{
  "templates": {
    "town": {"kind": "account", "parameters": {"weight": {"type": "integer", "default": 1, "minimum": 1, "maximum": 10}},
      "body": {"weight": {"parameter": "weight"}}},
    "zone": {"kind": "domain", "body": {"region": "new-england"}},
    "booking": {"kind": "service", "body": {}}
  },
  "accounts": {"lenox": {"template": "town"}},
  "domains": {"ne-a": {"template": "zone"}, "ne-b": {"template": "zone"}},
  "services": {"permits": {"template": "booking"}}
}`

// fakeNode fakes the membership and the quarantine of a node.
type fakeNode struct {
	missing     []model.NodeAddr
	cutOff      bool
	quarantined []operatorapi.Quarantined
}

func (n *fakeNode) Status() operatorapi.Status { return operatorapi.Status{Node: "192.0.2.1:7000"} }

func (n *fakeNode) InForce(model.Revision) (in, missing []model.NodeAddr) {
	return []model.NodeAddr{"192.0.2.1:7000"}, n.missing
}

func (n *fakeNode) Placement() config.Placement {
	return config.Placement{"permits": {"ne-a", "ne-b"}}
}

func (n *fakeNode) MayCommit() bool                        { return !n.cutOff }
func (n *fakeNode) Quarantined() []operatorapi.Quarantined { return n.quarantined }

func (n *fakeNode) LiftQuarantine(id string) bool {
	before := len(n.quarantined)
	n.quarantined = nil
	return before > 0 && id == "q1"
}

// noPeers is a peer client for a node that has no peers.
type noPeers struct{}

func (noPeers) FetchConfiguration(context.Context, model.NodeAddr, model.Revision) ([]byte, error) {
	return nil, io.EOF
}

// harness is a node with an operator API, and an operator's token for it.
type harness struct {
	t       testing.TB
	store   *store.Store
	applier *configuration.Applier
	node    *fakeNode
	server  *httptest.Server
	token   string
	// responsesToDrop is the number of POST requests whose responses the server
	// drops after handling them.
	responsesToDrop int
}

func newHarness(t testing.TB) *harness {
	h := newEmptyHarness(t, 0)
	h.applySample()
	return h
}

// applySample applies the sample document.
func (h *harness) applySample() {
	code, output := h.run("apply", h.writeFile(`{"document": `+sampleDocument+`}`))
	qt.Assert(h.t, code, qt.Equals, ExitOK, qt.Commentf("%s", output))
}

// newEmptyHarness returns a harness without a configuration.
func newEmptyHarness(t testing.TB, commitTimeout time.Duration) *harness {
	h := &harness{t: t, store: store.New(), node: &fakeNode{}}
	h.applier = configuration.New(configuration.Options{
		Store: platform.New(platform.Options{URL: h.store.URL(), Transport: h.store.Transport()}),
		Peers: noPeers{},
	})
	token, hash := operatorapi.NewToken()
	api := operatorapi.New(operatorapi.Options{
		Configuration: h.applier, Node: h.node, InForceTimeout: 1, CommitTimeout: commitTimeout,
		Operators: []operatorapi.Operator{{Name: "other", Token: operatorapi.HashToken("other")}, {Name: "ana", Token: hash}},
	})
	h.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.responsesToDrop == 0 || r.Method != http.MethodPost {
			api.ServeHTTP(w, r)
			return
		}
		h.responsesToDrop--
		api.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(h.server.Close)
	t.Cleanup(h.store.Close)
	h.token = h.writeFile(token)
	return h
}

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

func (h *harness) writeFile(text string) string {
	name := filepath.Join(h.t.TempDir(), "file")
	qt.Assert(h.t, os.WriteFile(name, []byte(text), 0o600), qt.IsNil)
	return name
}

// run runs a command and returns its exit code and everything that it printed.
func (h *harness) run(args ...string) (int, string) {
	var out bytes.Buffer
	code := New(&out, &out).Run(append([]string{"--node", h.server.URL, "--token-file", h.token}, args...))
	return code, out.String()
}

func TestCommands(t *testing.T) {
	for _, test := range []struct {
		name   string
		args   []string
		code   int
		output string
		before func(*harness)
	}{
		{"get", []string{"get"}, ExitOK, `"base_revision": 1`, nil},
		{"get an entry", []string{"get", "domain", "ne-a"}, ExitOK, `"template": "zone"`, nil},
		{"get without a name", []string{"get", "domain"}, ExitBadInput, "give the name", nil},
		{"get an unknown entry", []string{"get", "domain", "ne-z"}, ExitFailed, "no domain ne-z", nil},
		{"list", []string{"list", "domain"}, ExitOK, "ne-b", nil},
		{"list an unknown kind", []string{"list", "pears"}, ExitBadInput, "pears", nil},
		{"history", []string{"history"}, ExitOK, "ana", nil},
		{"status", []string{"status"}, ExitOK, "192.0.2.1:7000", nil},
		{"domain list", []string{"domain", "list"}, ExitOK, "permits", nil},
		{"domain out", []string{"domain", "out", "ne-a"}, ExitOK, "accepted at revision 2", nil},
		{"domain in of a domain in service", []string{"domain", "in", "ne-a"}, ExitOK, "unchanged at revision 1", nil},
		{"domain out, dry run", []string{"domain", "out", "ne-a", "--dry-run"}, ExitOK, "planned at revision 1", nil},
		{"unknown domain out", []string{"domain", "out", "ne-z"}, ExitFailed, "no such failure domain", nil},
		{"last domain out", []string{"domain", "out", "ne-b"}, ExitFailed, "service permits would have no target in service", (*harness).takeDomainOut},
		{"last domain out by force", []string{"domain", "out", "ne-b", "--force"}, ExitOK, "accepted at revision 3", (*harness).takeDomainOut},
		{"not in force on every node", []string{"domain", "out", "ne-a"}, ExitNotInForce, "not heard from", func(h *harness) { h.node.missing = []model.NodeAddr{"192.0.2.9:7000"} }},
		{"through a cut-off node", []string{"domain", "out", "ne-a"}, ExitFailed, "another failure domain", func(h *harness) { h.node.cutOff = true }},
		{"account create", []string{"account", "create", "stow", "-t", "town", "-p", "weight=3"}, ExitOK, "accepted at revision 2", nil},
		{"account create twice", []string{"account", "create", "lenox", "-t", "town"}, ExitBadInput, "account lenox already exists", nil},
		{"parameter of the wrong type", []string{"account", "set", "lenox", "-p", "weight=three"}, ExitFailed, "/accounts/lenox/parameters/weight", nil},
		{"account set", []string{"account", "set", "lenox", "-p", "weight=3"}, ExitOK, "weight", nil},
		{"account set of an unknown account", []string{"account", "set", "stow"}, ExitBadInput, "no account stow", nil},
		{"remove", []string{"remove", "account", "lenox"}, ExitOK, "removed", nil},
		{"remove a template in use", []string{"remove", "template", "town"}, ExitFailed, `no template "town"`, nil},
		{"quarantine list", []string{"quarantine", "list"}, ExitOK, "q1", (*harness).addQuarantined},
		{"quarantine lift", []string{"quarantine", "lift", "q1"}, ExitOK, "lifted q1", (*harness).addQuarantined},
		{"quarantine lift of an unknown request", []string{"quarantine", "lift", "q2"}, ExitFailed, "no quarantined request", nil},
		{"unknown command", []string{"pear"}, ExitBadInput, "pear", nil},
		{"help", []string{"--help"}, ExitOK, "domain", nil},
		{"completion", []string{"--completion-script-bash"}, ExitOK, "", nil}, // kingpin writes it to os.Stdout
		{"wrong token", []string{"status"}, ExitFailed, "operator's token", func(h *harness) { h.token = h.writeFile("wrong") }},
		{"missing token file", []string{"status"}, ExitBadInput, "reading the token", func(h *harness) { h.token = "/none" }},
		{"node unreachable", []string{"status"}, ExitUnreachable, "another node", func(h *harness) { h.server.Close() }},
		{"one response lost", []string{"domain", "out", "ne-a"}, ExitOK, "accepted by an earlier command at revision 2", func(h *harness) { h.responsesToDrop = 1 }},
		{"every response lost", []string{"domain", "out", "ne-a"}, ExitUnreachable, "--change-id", func(h *harness) { h.responsesToDrop = 9 }},
		{"repeated with the same change id", []string{"domain", "out", "ne-a", "--change-id", "x"}, ExitOK, "accepted by an earlier command at revision 2", (*harness).takeDomainOut},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			if test.before != nil {
				test.before(h)
			}
			code, output := h.run(test.args...)
			qt.Assert(t, code, qt.Equals, test.code, qt.Commentf("%s", output))
			qt.Assert(t, output, qt.Contains, test.output)
		})
	}
}

func (h *harness) takeDomainOut() {
	code, output := h.run("domain", "out", "ne-a", "--change-id", "x")
	qt.Assert(h.t, code, qt.Equals, ExitOK, qt.Commentf("%s", output))
}

func (h *harness) addQuarantined() {
	h.node.quarantined = []operatorapi.Quarantined{{ID: "q1", Service: "permits"}}
}

func TestApplyFile(t *testing.T) {
	for _, test := range []struct {
		name, text, output string
		code               int
	}{
		{"change set", `{"set": {"services": {"calendar": {"template": "booking"}}}}`, "accepted at revision 2", ExitOK},
		{"no change", `{"base_revision": 1, "domains_out": {"ne-a": false}}`, "unchanged", ExitOK},
		{"whole document without a base revision", `{"document": ` + sampleDocument + `}`, "base_revision", ExitBadInput},
		{"unknown member", `{"sets": {}}`, "unknown field", ExitBadInput},
		{"invalid JSON", `{`, "is not a change", ExitBadInput},
		{"trailing data", `{"set": {}} {}`, "trailing data after the change", ExitBadInput},
		{"empty change", `{}`, "a change is either", ExitBadInput},
		{"bad name", `{"set": {"services": {"Calendar!": {"template": "booking"}}}}`, "/set/services/Calendar!", ExitBadInput},
		{"template of the wrong kind", `{"set": {"services": {"calendar": {"template": "town"}}}}`, "/services/calendar/template", ExitFailed},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t)
			code, output := h.run("apply", h.writeFile(test.text))
			qt.Assert(t, code, qt.Equals, test.code, qt.Commentf("%s", output))
			qt.Assert(t, output, qt.Contains, test.output)
			if test.code != ExitOK {
				qt.Assert(t, h.applier.Current().Revision, qt.Equals, model.Revision(1))
			}
		})
	}
}

// The output of get can be edited and applied. If another operator made a change in
// between, apply reports a conflict.
func TestApplyEditedConfigurationAndConflict(t *testing.T) {
	h := newHarness(t)
	code, got := h.run("get")
	qt.Assert(t, code, qt.Equals, ExitOK)
	edited := h.writeFile(strings.Replace(got, `"template": "town"`, `"template": "town", "parameters": {"weight": 5}`, 1))
	code, output := h.run("plan", edited)
	qt.Assert(t, code, qt.Equals, ExitOK)
	qt.Assert(t, output, qt.Contains, "account lenox")
	h.takeDomainOut()
	code, output = h.run("apply", edited)
	qt.Assert(t, code, qt.Equals, ExitConflict)
	qt.Assert(t, output, qt.Contains, "account lenox") // the rejected change
	qt.Assert(t, output, qt.Contains, "domain ne-a")   // the other operator's change
	qt.Assert(t, h.applier.Current().Domains["ne-a"].Out, qt.IsTrue)
	qt.Assert(t, h.applier.Current().Accounts["lenox"].Weight, qt.Equals, 1)
}

func TestAccountKey(t *testing.T) {
	h := newHarness(t)
	code, output := h.run("account", "key", "lenox", "--output", "json")
	qt.Assert(t, code, qt.Equals, ExitOK)
	var printed changeOutput
	qt.Assert(t, json.Unmarshal([]byte(output), &printed), qt.IsNil)
	qt.Assert(t, h.applier.Current().AccountByKey[settings.HashKey(printed.AccountKey)], qt.Equals, model.Account("lenox"))
	_, got := h.run("get")
	qt.Assert(t, got, qt.Not(qt.Contains), printed.AccountKey)
	for _, args := range [][]string{{"key", "lenox", "--replace"}, {"retire-keys", "lenox"}} {
		oldKeys := h.applier.Current().AccountByKey
		qt.Assert(t, oldKeys, qt.HasLen, 1)
		if args[0] == "retire-keys" {
			code, _ = h.run("account", "key", "lenox")
			qt.Assert(t, code, qt.Equals, ExitOK)
			qt.Assert(t, h.applier.Current().AccountByKey, qt.HasLen, 2)
		}
		code, _ = h.run(append([]string{"account"}, args...)...)
		qt.Assert(t, code, qt.Equals, ExitOK)
		qt.Assert(t, h.applier.Current().AccountByKey, qt.HasLen, 1)
		for hash := range oldKeys {
			_, held := h.applier.Current().AccountByKey[hash]
			qt.Assert(t, held, qt.IsFalse)
		}
	}
	code, output = h.run("account", "key", "none")
	qt.Assert(t, code, qt.Equals, ExitBadInput)
	qt.Assert(t, output, qt.Not(qt.Contains), "shown this once")
}

// Guards against a command that reports success by an answer whose status is none.
func TestAnswerWithoutAStatusIsNoSuccess(t *testing.T) {
	h := newHarness(t)
	h.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}")
			_ = conn.Close()
		}
	})
	code, output := h.run("status")
	qt.Assert(t, code, qt.Equals, ExitUnreachable, qt.Commentf("%s", output))
}

func TestCommandsWhileStoreIsDown(t *testing.T) {
	h := newEmptyHarness(t, 2*time.Second)
	h.applySample()
	h.store.SetDown(true)
	for _, command := range [][]string{{"get"}, {"status"}, {"domain", "out", "ne-a", "--dry-run"}} {
		code, _ := h.run(command...)
		qt.Assert(t, code, qt.Equals, ExitOK)
	}
	// The change is not accepted, so the key must not be printed: it would not work.
	code, output := h.run("account", "key", "lenox")
	qt.Assert(t, code, qt.Equals, ExitFailed)
	qt.Assert(t, output, qt.Contains, "nothing was changed")
	qt.Assert(t, output, qt.Not(qt.Contains), "shown this once")
}

// The example files in docs/operators.md are valid.
func TestExamplesInOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/operators.md")
	qt.Assert(t, err, qt.IsNil)
	examples := 0
	for _, block := range strings.Split(string(page), "\n\n") {
		if !strings.HasPrefix(block, "    {") {
			continue
		}
		var change config.Change
		qt.Assert(t, json.Unmarshal([]byte(block), &change), qt.IsNil)
		change.ID = "page"
		raw, err := json.Marshal(change)
		qt.Assert(t, err, qt.IsNil)
		_, problems := config.ParseChange(raw)
		qt.Assert(t, problems, qt.HasLen, 0)
		if change.Document != nil {
			code, output := newEmptyHarness(t, 0).run("apply", "--change-id", "page", "-o", "json", newEmptyHarness(t, 0).writeFile(block))
			qt.Assert(t, code, qt.Equals, ExitOK, qt.Commentf("%s", output))
		}
		examples++
	}
	qt.Assert(t, examples, qt.Equals, 2)
}
