package config

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

// The values of a body's members that a template leaves out.
const (
	defaultWeight      = 1
	defaultTimeout     = 10 * time.Second
	defaultMeasureRate = 5.0 // requests a second at one target
)

// defaultIdempotentMethods may run more than once unless a template says
// otherwise. PUT and DELETE are left out: a cancellation may be a DELETE.
var defaultIdempotentMethods = []string{"GET", "HEAD", "OPTIONS"}

// Check returns every problem of meaning in a document.
func Check(doc *Document) []Problem {
	_, problems := Compile(0, doc)
	return problems
}

// Compile checks a document and builds its snapshot. The snapshot is nil when
// there is any problem.
func Compile(revision model.Revision, doc *Document) (*settings.Snapshot, []Problem) {
	c := &compiler{
		templates: make(map[string]*compiledTemplate, len(doc.Templates)),
		snapshot: &settings.Snapshot{
			Revision:     revision,
			Domains:      make(map[model.Domain]settings.Domain, len(doc.Domains)),
			Services:     make(map[model.Service]settings.Service, len(doc.Services)),
			Accounts:     make(map[model.Account]settings.Account, len(doc.Accounts)),
			AccountByKey: make(map[settings.KeyHash]model.Account, len(doc.Accounts)),
		},
	}
	for _, name := range slices.Sorted(maps.Keys(doc.Templates)) {
		c.template(name, doc.Templates[name])
	}
	for _, name := range slices.Sorted(maps.Keys(doc.Domains)) {
		c.domain(name, doc.Domains[name])
	}
	for _, name := range slices.Sorted(maps.Keys(doc.Services)) {
		c.service(name, doc.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(doc.Accounts)) {
		c.account(name, doc.Accounts[name])
	}
	if len(c.problems) > 0 {
		return nil, sorted(c.problems)
	}
	return c.snapshot, nil
}

// compiler collects a snapshot and the problems met on the way.
type compiler struct {
	templates map[string]*compiledTemplate
	snapshot  *settings.Snapshot
	problems  []Problem
}

// bind fills the template with parameters and decodes the body into out. It
// reports whether no problem was met.
func (c *compiler) bind(path string, want Kind, name string, parameters map[string]any, out any) bool {
	t, ok := c.templates[name]
	if !ok {
		add(&c.problems, path+"/template", fmt.Sprintf("no template %q", name), "Add the template or name another")
		return false
	}
	if t.Kind != want {
		add(&c.problems, path+"/template", fmt.Sprintf("template %q makes a %s", name, t.Kind), fmt.Sprintf("Name a template of kind %s", want))
		return false
	}
	if t.schema == nil {
		return false // the template's own problems are reported once
	}
	if parameters == nil {
		parameters = map[string]any{}
	}
	if found := validate(t.schema, parameters, path+"/parameters"); len(found) > 0 {
		c.problems = append(c.problems, found...)
		return false
	}
	body := t.body(parameters)
	if found := validate(bodySchemas()[want], body, ""); len(found) > 0 {
		c.bodyProblems(path, name, t, found)
		return false
	}
	return c.decodeBody(path, body, out)
}

func (c *compiler) decodeBody(path string, body map[string]any, out any) bool {
	raw, err := json.Marshal(body)
	if err == nil {
		err = json.Unmarshal(raw, out)
	}
	if err != nil {
		add(&c.problems, path, err.Error(), "Correct the type of the value")
		return false
	}
	return true
}

// accountBody is the bound body of an account; whole numbers may be written
// with a fraction of zero.
type accountBody struct {
	Weight        float64 `json:"weight"`
	RatePerSecond float64 `json:"rate_per_second"`
	Concurrency   float64 `json:"concurrency"`
}

func (c *compiler) account(name model.Account, a Account) {
	path := "/accounts/" + escape(string(name))
	body := accountBody{Weight: defaultWeight}
	if c.bind(path, KindAccount, a.Template, a.Parameters, &body) {
		c.snapshot.Accounts[name] = settings.Account{
			Weight:        int(body.Weight),
			RatePerSecond: body.RatePerSecond,
			Concurrency:   int(body.Concurrency),
		}
	}
	for i, text := range a.KeyHashes {
		c.key(fmt.Sprintf("%s/key_hashes/%d", path, i), name, text)
	}
}

func (c *compiler) key(path string, name model.Account, text string) {
	raw, err := hex.DecodeString(text)
	var hash settings.KeyHash
	if err != nil || len(raw) != len(hash) {
		add(&c.problems, path, "not a SHA-256 in hexadecimal", "Make a key with `zinniafall account key`")
		return
	}
	copy(hash[:], raw)
	if other, taken := c.snapshot.AccountByKey[hash]; taken {
		add(&c.problems, path, fmt.Sprintf("account %q has the same key", other), "Make another key with `zinniafall account key`")
		return
	}
	c.snapshot.AccountByKey[hash] = name
}

// domainBody is the bound body of a failure domain.
type domainBody struct {
	Region model.Region `json:"region"`
}

func (c *compiler) domain(name model.Domain, d Domain) {
	var body domainBody
	if c.bind("/domains/"+escape(string(name)), KindDomain, d.Template, d.Parameters, &body) {
		c.snapshot.Domains[name] = settings.Domain{Region: body.Region, Out: d.Out}
	}
}

// serviceBody is the bound body of a service.
type serviceBody struct {
	IdempotentMethods  []string `json:"idempotent_methods"`
	NonIdempotentPaths []string `json:"non_idempotent_paths"`
	TimeoutMS          float64  `json:"timeout_ms"`
	MeasureRate        float64  `json:"measure_rate"`
}

func (c *compiler) service(name model.Service, s Service) {
	body := serviceBody{
		IdempotentMethods: slices.Clone(defaultIdempotentMethods),
		TimeoutMS:         float64(defaultTimeout / time.Millisecond),
		MeasureRate:       defaultMeasureRate,
	}
	if c.bind("/services/"+escape(string(name)), KindService, s.Template, s.Parameters, &body) {
		c.snapshot.Services[name] = settings.Service{
			IdempotentMethods:  body.IdempotentMethods,
			NonIdempotentPaths: body.NonIdempotentPaths,
			Timeout:            time.Duration(body.TimeoutMS) * time.Millisecond,
			MeasureRate:        body.MeasureRate,
		}
	}
}
