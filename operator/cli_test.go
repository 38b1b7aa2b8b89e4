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

const whole = `{
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

// fakeNode stands for membership and quarantine.
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

// noPeers is a node without others.
type noPeers struct{}

func (noPeers) FetchConfiguration(context.Context, model.NodeAddr, model.Revision) ([]byte, error) {
	return nil, io.EOF
}

// bench is a node with its operator interface, and a token for it.
type bench struct {
	t       testing.TB
	store   *store.Store
	applier *configuration.Applier
	node    *fakeNode
	server  *httptest.Server
	token   string
	// cut makes the server cut this many answers.
	cut int
}

func newBench(t testing.TB) *bench {
	b := emptyBench(t, 0)
	b.start()
	return b
}

// start puts the sample in force.
func (b *bench) start() {
	code, output := b.run("apply", b.file(`{"document": `+whole+`}`))
	qt.Assert(b.t, code, qt.Equals, ExitOK, qt.Commentf("%s", output))
}

// emptyBench has no configuration yet.
func emptyBench(t testing.TB, commitTimeout time.Duration) *bench {
	b := &bench{t: t, store: store.New(), node: &fakeNode{}}
	b.applier = configuration.New(configuration.Options{
		Store: platform.New(platform.Options{URL: b.store.URL(), Transport: b.store.Transport()}),
		Peers: noPeers{},
	})
	token, hash := operatorapi.NewToken()
	api := operatorapi.New(operatorapi.Options{
		Configuration: b.applier, Node: b.node, InForceTimeout: 1, CommitTimeout: commitTimeout,
		Operators: []operatorapi.Operator{{Name: "other", Token: operatorapi.HashToken("other")}, {Name: "ana", Token: hash}},
	})
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if b.cut == 0 || r.Method != http.MethodPost {
			api.ServeHTTP(w, r)
			return
		}
		b.cut--
		api.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(b.server.Close)
	t.Cleanup(b.store.Close)
	b.token = b.file(token)
	return b
}

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

func (b *bench) file(text string) string {
	name := filepath.Join(b.t.TempDir(), "file")
	qt.Assert(b.t, os.WriteFile(name, []byte(text), 0o600), qt.IsNil)
	return name
}

// run runs a command and returns its exit code and all that it printed.
func (b *bench) run(args ...string) (int, string) {
	var out bytes.Buffer
	code := New(&out, &out).Run(append([]string{"--node", b.server.URL, "--token-file", b.token}, args...))
	return code, out.String()
}

func TestCommands(t *testing.T) {
	for _, test := range []struct {
		name   string
		args   []string
		code   int
		output string
		before func(*bench)
	}{
		{"get", []string{"get"}, ExitOK, `"base_revision": 1`, nil},
		{"get an entry", []string{"get", "domain", "ne-a"}, ExitOK, `"template": "zone"`, nil},
		{"get without a name", []string{"get", "domain"}, ExitBadInput, "give the name", nil},
		{"get what is not there", []string{"get", "domain", "ne-z"}, ExitFailed, "no domain ne-z", nil},
		{"list", []string{"list", "domain"}, ExitOK, "ne-b", nil},
		{"list an unknown kind", []string{"list", "pears"}, ExitBadInput, "pears", nil},
		{"history", []string{"history"}, ExitOK, "ana", nil},
		{"status", []string{"status"}, ExitOK, "192.0.2.1:7000", nil},
		{"domain list", []string{"domain", "list"}, ExitOK, "permits", nil},
		{"domain out", []string{"domain", "out", "ne-a"}, ExitOK, "accepted at revision 2", nil},
		{"domain in without need", []string{"domain", "in", "ne-a"}, ExitOK, "unchanged at revision 1", nil},
		{"domain out, dry run", []string{"domain", "out", "ne-a", "--dry-run"}, ExitOK, "planned at revision 1", nil},
		{"unknown domain out", []string{"domain", "out", "ne-z"}, ExitFailed, "no such failure domain", nil},
		{"last domain out", []string{"domain", "out", "ne-b"}, ExitFailed, "service permits would have no target in service", (*bench).takeOut},
		{"last domain out by force", []string{"domain", "out", "ne-b", "--force"}, ExitOK, "accepted at revision 3", (*bench).takeOut},
		{"not in force everywhere", []string{"domain", "out", "ne-a"}, ExitNotInForce, "not heard from", func(b *bench) { b.node.missing = []model.NodeAddr{"192.0.2.9:7000"} }},
		{"through a cut-off node", []string{"domain", "out", "ne-a"}, ExitFailed, "another failure domain", func(b *bench) { b.node.cutOff = true }},
		{"account create", []string{"account", "create", "stow", "-t", "town", "-p", "weight=3"}, ExitOK, "accepted at revision 2", nil},
		{"account create twice", []string{"account", "create", "lenox", "-t", "town"}, ExitBadInput, "there is an account", nil},
		{"parameter of the wrong type", []string{"account", "set", "lenox", "-p", "weight=three"}, ExitFailed, "/accounts/lenox/parameters/weight", nil},
		{"account set", []string{"account", "set", "lenox", "-p", "weight=3"}, ExitOK, "weight", nil},
		{"account set of none", []string{"account", "set", "stow"}, ExitBadInput, "no account stow", nil},
		{"remove", []string{"remove", "account", "lenox"}, ExitOK, "removed", nil},
		{"remove what is used", []string{"remove", "template", "town"}, ExitFailed, `no template "town"`, nil},
		{"quarantine list", []string{"quarantine", "list"}, ExitOK, "q1", (*bench).quarantine},
		{"quarantine lift", []string{"quarantine", "lift", "q1"}, ExitOK, "lifted q1", (*bench).quarantine},
		{"quarantine lift of none", []string{"quarantine", "lift", "q2"}, ExitFailed, "no quarantined request", nil},
		{"unknown command", []string{"pear"}, ExitBadInput, "pear", nil},
		{"help", []string{"--help"}, ExitOK, "domain", nil},
		{"completion", []string{"--completion-script-bash"}, ExitOK, "", nil}, // kingpin writes it to the process's output
		{"wrong token", []string{"status"}, ExitFailed, "operator's token", func(b *bench) { b.token = b.file("wrong") }},
		{"no token file", []string{"status"}, ExitBadInput, "reading the token", func(b *bench) { b.token = "/none" }},
		{"node gone", []string{"status"}, ExitUnreachable, "another node", func(b *bench) { b.server.Close() }},
		{"answer lost", []string{"domain", "out", "ne-a"}, ExitOK, "accepted by an earlier command at revision 2", func(b *bench) { b.cut = 1 }},
		{"every answer lost", []string{"domain", "out", "ne-a"}, ExitUnreachable, "--change-id", func(b *bench) { b.cut = 9 }},
		{"repeated by hand", []string{"domain", "out", "ne-a", "--change-id", "x"}, ExitOK, "accepted by an earlier command at revision 2", (*bench).takeOut},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t)
			if test.before != nil {
				test.before(b)
			}
			code, output := b.run(test.args...)
			qt.Assert(t, code, qt.Equals, test.code, qt.Commentf("%s", output))
			qt.Assert(t, output, qt.Contains, test.output)
		})
	}
}

func (b *bench) takeOut() {
	code, output := b.run("domain", "out", "ne-a", "--change-id", "x")
	qt.Assert(b.t, code, qt.Equals, ExitOK, qt.Commentf("%s", output))
}

func (b *bench) quarantine() {
	b.node.quarantined = []operatorapi.Quarantined{{ID: "q1", Service: "permits"}}
}

func TestFiles(t *testing.T) {
	for _, test := range []struct {
		name, text, output string
		code               int
	}{
		{"change set", `{"set": {"services": {"calendar": {"template": "booking"}}}}`, "accepted at revision 2", ExitOK},
		{"no change", `{"base_revision": 1, "domains_out": {"ne-a": false}}`, "unchanged", ExitOK},
		{"whole without a base", `{"document": ` + whole + `}`, "base_revision", ExitBadInput},
		{"unknown member", `{"sets": {}}`, "unknown field", ExitBadInput},
		{"no JSON", `{`, "is not a change", ExitBadInput},
		{"trailing data", `{"set": {}} {}`, "something after", ExitBadInput},
		{"nothing", `{}`, "a change is either", ExitBadInput},
		{"bad name", `{"set": {"services": {"Calendar!": {"template": "booking"}}}}`, "/set/services/Calendar!", ExitBadInput},
		{"meaning", `{"set": {"services": {"calendar": {"template": "town"}}}}`, "/services/calendar/template", ExitFailed},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t)
			code, output := b.run("apply", b.file(test.text))
			qt.Assert(t, code, qt.Equals, test.code, qt.Commentf("%s", output))
			qt.Assert(t, output, qt.Contains, test.output)
			if test.code != ExitOK {
				qt.Assert(t, b.applier.Current().Revision, qt.Equals, model.Revision(1))
			}
		})
	}
}

// What get prints can be edited and applied, unless another operator was
// faster.
func TestEditedConfigurationAndConflict(t *testing.T) {
	b := newBench(t)
	code, got := b.run("get")
	qt.Assert(t, code, qt.Equals, ExitOK)
	edited := b.file(strings.Replace(got, `"template": "town"`, `"template": "town", "parameters": {"weight": 5}`, 1))
	code, output := b.run("plan", edited)
	qt.Assert(t, code, qt.Equals, ExitOK)
	qt.Assert(t, output, qt.Contains, "account lenox")
	b.takeOut()
	code, output = b.run("apply", edited)
	qt.Assert(t, code, qt.Equals, ExitConflict)
	qt.Assert(t, output, qt.Contains, "account lenox") // mine
	qt.Assert(t, output, qt.Contains, "domain ne-a")   // theirs
	qt.Assert(t, b.applier.Current().Domains["ne-a"].Out, qt.IsTrue)
	qt.Assert(t, b.applier.Current().Accounts["lenox"].Weight, qt.Equals, 1)
}

func TestAccountKey(t *testing.T) {
	b := newBench(t)
	code, output := b.run("account", "key", "lenox", "--output", "json")
	qt.Assert(t, code, qt.Equals, ExitOK)
	var shown printed
	qt.Assert(t, json.Unmarshal([]byte(output), &shown), qt.IsNil)
	qt.Assert(t, b.applier.Current().AccountByKey[settings.HashKey(shown.AccountKey)], qt.Equals, model.Account("lenox"))
	_, got := b.run("get")
	qt.Assert(t, got, qt.Not(qt.Contains), shown.AccountKey)
	for _, end := range [][]string{{"key", "lenox", "--replace"}, {"retire-keys", "lenox"}} {
		old := b.applier.Current().AccountByKey
		qt.Assert(t, old, qt.HasLen, 1)
		if end[0] == "retire-keys" {
			code, _ = b.run("account", "key", "lenox")
			qt.Assert(t, code, qt.Equals, ExitOK)
			qt.Assert(t, b.applier.Current().AccountByKey, qt.HasLen, 2)
		}
		code, _ = b.run(append([]string{"account"}, end...)...)
		qt.Assert(t, code, qt.Equals, ExitOK)
		qt.Assert(t, b.applier.Current().AccountByKey, qt.HasLen, 1)
		for hash := range old {
			_, held := b.applier.Current().AccountByKey[hash]
			qt.Assert(t, held, qt.IsFalse)
		}
	}
	code, output = b.run("account", "key", "none")
	qt.Assert(t, code, qt.Equals, ExitBadInput)
	qt.Assert(t, output, qt.Not(qt.Contains), "shown this once")
}

func TestStoreDown(t *testing.T) {
	b := emptyBench(t, 2*time.Second)
	b.start()
	b.store.SetDown(true)
	for _, command := range [][]string{{"get"}, {"status"}, {"domain", "out", "ne-a", "--dry-run"}} {
		code, _ := b.run(command...)
		qt.Assert(t, code, qt.Equals, ExitOK)
	}
	// Nothing is accepted, and no key is shown that does not work.
	code, output := b.run("account", "key", "lenox")
	qt.Assert(t, code, qt.Equals, ExitFailed)
	qt.Assert(t, output, qt.Contains, "nothing was changed")
	qt.Assert(t, output, qt.Not(qt.Contains), "shown this once")
}

// The files on the operators' page are valid.
func TestOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../docs/operators.md")
	qt.Assert(t, err, qt.IsNil)
	applied := 0
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
			code, output := emptyBench(t, 0).run("apply", "--change-id", "page", "-o", "json", emptyBench(t, 0).file(block))
			qt.Assert(t, code, qt.Equals, ExitOK, qt.Commentf("%s", output))
		}
		applied++
	}
	qt.Assert(t, applied, qt.Equals, 2)
}
