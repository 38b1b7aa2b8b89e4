package config

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

// sample is a small valid document.
const sample = `{
  "templates": {
    "town": {"kind": "account",
      "parameters": {
        "weight": {"type": "integer", "default": 1, "minimum": 1, "maximum": 10},
        "rate": {"type": "number", "default": 50}},
      "body": {"weight": {"parameter": "weight"}, "rate_per_second": {"parameter": "rate"}, "concurrency": 4}},
    "zone": {"kind": "domain",
      "parameters": {"region": {"type": "string", "enum": ["new-england"]}},
      "body": {"region": {"parameter": "region"}}},
    "booking": {"kind": "service",
      "parameters": {"timeout_ms": {"type": "integer", "default": 2000}},
      "body": {"timeout_ms": {"parameter": "timeout_ms"}, "idempotent_methods": ["GET", "HEAD"]}}
  },
  "accounts": {
    "lenox": {"template": "town", "parameters": {"weight": 3}, "key_hashes": ["` + lenoxHash + `"]},
    "stow": {"template": "town"}
  },
  "domains": {
    "ne-a": {"template": "zone", "parameters": {"region": "new-england"}},
    "ne-b": {"template": "zone", "parameters": {"region": "new-england"}, "out": true}
  },
  "services": {"permits": {"template": "booking"}}
}`

// lenoxHash has the format of the SHA-256 of a key.
const lenoxHash = "0c2c4f0bd0a0f9a6c5a2b0dbb0dcea79e1bb1c77bcd0aaa7e3f5c1d6a9ad9cc2"

func mustParse(c testing.TB, text string) *Document {
	c.Helper()
	doc, problems := Parse([]byte(text))
	qt.Assert(c, problems, qt.HasLen, 0)
	return doc
}

func TestCompile(t *testing.T) {
	snapshot, problems := Compile(7, mustParse(t, sample))
	qt.Assert(t, problems, qt.HasLen, 0)
	var hash settings.KeyHash
	for key := range snapshot.AccountByKey {
		hash = key
	}
	qt.Assert(t, snapshot, qt.DeepEquals, &settings.Snapshot{
		Revision: 7,
		Domains:  map[model.Domain]settings.Domain{"ne-a": {Region: "new-england"}, "ne-b": {Region: "new-england", Out: true}},
		Services: map[model.Service]settings.Service{"permits": {
			IdempotentMethods: []string{"GET", "HEAD"}, Timeout: 2 * time.Second, MeasureRate: 5}},
		Accounts: map[model.Account]settings.Account{
			"lenox": {Weight: 3, RatePerSecond: 50, Concurrency: 4}, "stow": {Weight: 1, RatePerSecond: 50, Concurrency: 4}},
		AccountByKey: map[settings.KeyHash]model.Account{hash: "lenox"},
	})
}

func TestParseRejectsInvalidDocuments(t *testing.T) {
	replaced := func(old, new string) string { return strings.Replace(sample, old, new, 1) }
	for _, test := range []struct{ name, text, path, message string }{
		{"incomplete JSON", "{", "", "not one JSON value.*"},
		{"trailing data", sample + "{}", "", "not one JSON value.*"},
		{"not an object", "[]", "", "got array, want object"},
		{"deep nesting", strings.Repeat("[", 20000), "", "not one JSON value.*"},
		{"repeated member", replaced(`"stow"`, `"lenox"`), "/accounts/lenox", "the member appears twice"},
		{"unknown section", replaced(`"services"`, `"servces"`), "/servces", "unknown member"},
		{"unknown field", replaced(`"template": "booking"`, `"template": "booking", "x": 1`), "/services/permits/x", "unknown member"},
		{"bad name", replaced(`"stow"`, `"Stow!"`), "/accounts/Stow!", "not a valid name"},
		{"wrong type", replaced(`"out": true`, `"out": "yes"`), "/domains/ne-b/out", "got string, want boolean"},
		{"missing template member", replaced(`{"template": "booking"}`, `{}`), "/services/permits/template", "missing"},
		{"unknown template", replaced(`"template": "booking"`, `"template": "bookings"`), "/services/permits/template", `no template "bookings"`},
		{"template of another kind", replaced(`"template": "booking"`, `"template": "town"`), "/services/permits/template", `template "town" makes a account`},
		{"parameter of the wrong type", replaced(`{"weight": 3}`, `{"weight": "3"}`), "/accounts/lenox/parameters/weight", "got string, want integer"},
		{"parameter out of range", replaced(`{"weight": 3}`, `{"weight": 11}`), "/accounts/lenox/parameters/weight", "maximum: got 11, want 10"},
		{"fractional integer", replaced(`{"weight": 3}`, `{"weight": 1.5}`), "/accounts/lenox/parameters/weight", "got number, want integer"},
		{"unknown parameter", replaced(`{"weight": 3}`, `{"wait": 3}`), "/accounts/lenox/parameters/wait", "unknown member"},
		{"missing parameter", replaced(`"parameters": {"region": "new-england"}}`, `"parameters": {}}`), "/domains/ne-a/parameters/region", "missing"},
		{"not in the enum", replaced(`{"region": "new-england"}`, `{"region": "perth"}`), "/domains/ne-a/parameters/region", ".*'new-england'"},
		{"default outside the range", replaced(`"default": 1,`, `"default": 0,`), "/templates/town/parameters/weight/default", "minimum: got 0, want 1"},
		{"minimum above maximum", replaced(`"minimum": 1, "maximum": 10`, `"minimum": 10, "maximum": 1`), "/templates/town/parameters/weight/minimum", "the minimum is above the maximum"},
		{"undeclared reference", replaced(`{"parameter": "rate"}`, `{"parameter": "rat"}`), "/templates/town/body/rate_per_second", `no parameter "rat"`},
		{"unknown body member", replaced(`"concurrency"`, `"concurency"`), "/templates/town/body/concurency", "unknown member"},
		{"body value out of range", replaced(`"concurrency": 4`, `"concurrency": -1`), "/templates/town/body/concurrency", "minimum: got -1, want 0"},
		{"value out of range after binding", replaced(`"parameters": {"weight": 3}`, `"parameters": {"rate": -3}`), "/accounts/lenox/parameters/rate", "minimum: got -3, want 0"},
		{"bad key hash", replaced(lenoxHash, "00"), "/accounts/lenox/key_hashes/0", ".*does not match pattern.*"},
		{"same key for two accounts", replaced(`"stow": {"template": "town"`, `"stow": {"template": "town", "key_hashes": ["`+lenoxHash+`"]`), "/accounts/stow/key_hashes/0", `account "lenox" has the same key`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, problems := Parse([]byte(test.text))
			for _, p := range problems {
				if p.Path == test.path {
					qt.Assert(t, p.Message, qt.Matches, test.message)
					qt.Assert(t, p.Remedy, qt.Not(qt.Equals), "")
					return
				}
			}
			t.Fatalf("no problem at %q among %v", test.path, problems)
		})
	}
}

func TestParseReportsEveryProblem(t *testing.T) {
	text := strings.NewReplacer(`"weight": 3`, `"weight": 11`, `"template": "booking"`, `"template": "none", "x": 1`, `"out": true`, `"in": true`).Replace(sample)
	_, problems := Parse([]byte(text))
	var paths []string
	for _, p := range problems {
		paths = append(paths, p.Path)
	}
	qt.Assert(t, paths, qt.DeepEquals, []string{"/accounts/lenox/parameters/weight", "/domains/ne-b/in", "/services/permits/template", "/services/permits/x"})
}

func TestDefaultsAreNotSharedBetweenServices(t *testing.T) {
	doc := mustParse(t, `{"templates":{"plain":{"kind":"service","body":{}}},"services":{"a":{"template":"plain"},"b":{"template":"plain"}}}`)
	snapshot, _ := Compile(1, doc)
	snapshot.Services["a"].IdempotentMethods[0] = "changed"
	qt.Assert(t, snapshot.Services["b"].IdempotentMethods, qt.DeepEquals, []string{"GET", "HEAD", "OPTIONS"})
}
