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

// The defaults of members that the body of a template omits.
const (
	defaultWeight      = 1
	defaultTimeout     = 10 * time.Second
	defaultMeasureRate = 5.0 // requests per second to one target
)

// defaultIdempotentMethods are the methods whose calls may run more than once
// unless a template says otherwise. PUT and DELETE are not among them because
// a cancellation may be sent as a DELETE.
var defaultIdempotentMethods = []string{"GET", "HEAD", "OPTIONS"}

// Check returns every semantic problem of a document.
func Check(doc *Document) []Problem {
	_, problems := Compile(0, doc)
	return problems
}

// Compile validates a document and builds its snapshot. The snapshot is nil if
// there is any problem.
func Compile(revision model.Revision, doc *Document) (*settings.Snapshot, []Problem) {
	set := newTemplateSet(doc.Templates)
	return mergeParts(revision, set, []*compiledPart{set.compile(doc)})
}

// compiledPart holds the compiled accounts, failure domains and services of
// one part of a document, for one set of templates.
type compiledPart struct {
	domains  map[model.Domain]settings.Domain
	services map[model.Service]settings.Service
	accounts map[model.Account]settings.Account
	keys     []accountKey
	problems []Problem
}

// accountKey is the hash of an account key and the path of that hash in the
// document.
type accountKey struct {
	hash    settings.KeyHash
	account model.Account
	path    string
}

// compile validates and compiles the instances of a part.
func (s *templateSet) compile(doc *Document) *compiledPart {
	c := &compiler{templates: s.templates, part: &compiledPart{
		domains:  make(map[model.Domain]settings.Domain, len(doc.Domains)),
		services: make(map[model.Service]settings.Service, len(doc.Services)),
		accounts: make(map[model.Account]settings.Account, len(doc.Accounts)),
	}}
	for name, d := range doc.Domains {
		c.addDomain(name, d)
	}
	for name, s := range doc.Services {
		c.addService(name, s)
	}
	for _, name := range slices.Sorted(maps.Keys(doc.Accounts)) {
		c.addAccount(name, doc.Accounts[name])
	}
	return c.part
}

// mergeParts merges compiled parts into a snapshot and detects keys that
// several accounts share.
func mergeParts(revision model.Revision, set *templateSet, parts []*compiledPart) (*settings.Snapshot, []Problem) {
	snapshot := &settings.Snapshot{
		Revision:     revision,
		Domains:      make(map[model.Domain]settings.Domain),
		Services:     make(map[model.Service]settings.Service),
		Accounts:     make(map[model.Account]settings.Account),
		AccountByKey: make(map[settings.KeyHash]model.Account),
	}
	problems := slices.Clone(set.problems)
	for _, part := range parts {
		problems = append(problems, part.problems...)
		maps.Copy(snapshot.Domains, part.domains)
		maps.Copy(snapshot.Services, part.services)
		maps.Copy(snapshot.Accounts, part.accounts)
		for _, key := range part.keys {
			other, taken := snapshot.AccountByKey[key.hash]
			if taken {
				addProblem(&problems, key.path, fmt.Sprintf("account %q has the same key", other), keyRemedy)
				continue
			}
			snapshot.AccountByKey[key.hash] = key.account
		}
	}
	if len(problems) > 0 {
		return nil, sortedUnique(problems)
	}
	return snapshot, nil
}

// keyRemedy is the remedy for an invalid or duplicate key.
const keyRemedy = "Make a key with `zinniafall account key`"

// compiler collects a compiled part and the problems found in it.
type compiler struct {
	templates map[string]*compiledTemplate
	part      *compiledPart
}

// addProblem records a problem.
func (c *compiler) addProblem(path, message, remedy string) {
	addProblem(&c.part.problems, path, message, remedy)
}

// bind applies the parameters to the template and decodes the resulting body
// into out. It reports whether there was no problem.
func (c *compiler) bind(path string, want Kind, name string, parameters map[string]any, out any) bool {
	t, ok := c.templates[name]
	if !ok {
		c.addProblem(path+"/template", fmt.Sprintf("no template %q", name), "Add the template or name another")
		return false
	}
	if t.Kind != want {
		c.addProblem(path+"/template", fmt.Sprintf("template %q makes a %s", name, t.Kind), fmt.Sprintf("Name a template of kind %s", want))
		return false
	}
	if t.schema == nil {
		return false // the problems of the template itself are reported once
	}
	if parameters == nil {
		parameters = map[string]any{}
	}
	if found := validate(t.schema, parameters, path+"/parameters"); len(found) > 0 {
		c.part.problems = append(c.part.problems, found...)
		return false
	}
	body := t.body(parameters)
	if found := validate(bodySchemas()[want], body, ""); len(found) > 0 {
		c.addBodyProblems(path, name, t, found)
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
		c.addProblem(path, err.Error(), "Correct the type of the value")
		return false
	}
	return true
}

// accountBody is the body of an account after binding. Its integers are
// decoded as floats because JSON may write them with a zero fraction, such as
// 1.0.
type accountBody struct {
	Weight        float64 `json:"weight"`
	RatePerSecond float64 `json:"rate_per_second"`
	Concurrency   float64 `json:"concurrency"`
}

func (c *compiler) addAccount(name model.Account, a Account) {
	path := "/accounts/" + escape(string(name))
	body := accountBody{Weight: defaultWeight}
	if c.bind(path, KindAccount, a.Template, a.Parameters, &body) {
		c.part.accounts[name] = settings.Account{
			Weight:        int(body.Weight),
			RatePerSecond: body.RatePerSecond,
			Concurrency:   int(body.Concurrency),
		}
	}
	for i, text := range a.KeyHashes {
		c.addKey(fmt.Sprintf("%s/key_hashes/%d", path, i), name, text)
	}
}

func (c *compiler) addKey(path string, name model.Account, text string) {
	raw, err := hex.DecodeString(text)
	var hash settings.KeyHash
	if err != nil || len(raw) != len(hash) {
		c.addProblem(path, "not a SHA-256 in hexadecimal", keyRemedy)
		return
	}
	copy(hash[:], raw)
	c.part.keys = append(c.part.keys, accountKey{hash: hash, account: name, path: path})
}

// domainBody is the body of a failure domain after binding.
type domainBody struct {
	Region model.Region `json:"region"`
}

func (c *compiler) addDomain(name model.Domain, d Domain) {
	var body domainBody
	if c.bind("/domains/"+escape(string(name)), KindDomain, d.Template, d.Parameters, &body) {
		c.part.domains[name] = settings.Domain{Region: body.Region, Out: d.Out}
	}
}

// serviceBody is the body of a service after binding.
type serviceBody struct {
	IdempotentMethods  []string `json:"idempotent_methods"`
	NonIdempotentPaths []string `json:"non_idempotent_paths"`
	TimeoutMS          float64  `json:"timeout_ms"`
	MeasureRate        float64  `json:"measure_rate"`
}

func (c *compiler) addService(name model.Service, s Service) {
	body := serviceBody{
		IdempotentMethods: slices.Clone(defaultIdempotentMethods),
		TimeoutMS:         float64(defaultTimeout / time.Millisecond),
		MeasureRate:       defaultMeasureRate,
	}
	if c.bind("/services/"+escape(string(name)), KindService, s.Template, s.Parameters, &body) {
		c.part.services[name] = settings.Service{
			IdempotentMethods:  body.IdempotentMethods,
			NonIdempotentPaths: body.NonIdempotentPaths,
			Timeout:            time.Duration(body.TimeoutMS) * time.Millisecond,
			MeasureRate:        body.MeasureRate,
		}
	}
}
