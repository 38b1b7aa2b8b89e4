package demo

import (
	"context"
	"encoding/hex"
	"fmt"
	"time"

	"zinniafall/policy/config"
	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

// document is the deployment's configuration.
func (f *fleet) document() *config.Document {
	doc := &config.Document{
		Templates: map[string]config.Template{
			"domain":  {Kind: config.KindDomain, Body: map[string]any{"region": f.plan.region}},
			"service": {Kind: config.KindService, Body: map[string]any{"timeout_ms": callTimeout.Milliseconds(), "measure_rate": float64(measureRate)}},
			"account": {Kind: config.KindAccount, Body: map[string]any{"weight": 1}},
		},
		Accounts: make(map[model.Account]config.Account),
		Domains:  make(map[model.Domain]config.Domain),
		Services: make(map[model.Service]config.Service),
	}
	for _, name := range f.plan.domains {
		doc.Domains[model.Domain(name)] = config.Domain{Template: "domain"}
	}
	for _, g := range f.plan.groups {
		doc.Services[model.Service(g.service)] = config.Service{Template: "service"}
	}
	for _, name := range f.plan.accounts {
		hash := settings.HashKey(accountKey(name))
		doc.Accounts[model.Account(name)] = config.Account{Template: "account", KeyHashes: []string{hex.EncodeToString(hash[:])}}
	}
	return doc
}

func (f *fleet) configure(context.Context) error {
	return f.apply(1, f.document())
}

func (f *fleet) setDomain(_ context.Context, domain string, out bool) error {
	doc := f.document()
	d := doc.Domains[model.Domain(domain)]
	d.Out = out
	doc.Domains[model.Domain(domain)] = d
	return f.apply(model.Revision(time.Now().UnixNano()), doc)
}

func (f *fleet) apply(revision model.Revision, doc *config.Document) error {
	snapshot, problems := config.Compile(revision, doc)
	if len(problems) > 0 {
		return fmt.Errorf("%v", problems)
	}
	for _, m := range f.nodes {
		m.node.Apply(snapshot)
	}
	return nil
}
