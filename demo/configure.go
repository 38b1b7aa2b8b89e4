package demo

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/dghubble/sling"

	"zinniafall/node/operatorapi"
	"zinniafall/policy/config"
	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

// document returns the configuration of the deployment.
func (f *fleet) document() *config.Document {
	doc := &config.Document{
		Templates: map[string]config.Template{
			"domain":  {Kind: config.KindDomain, Body: map[string]any{"region": f.spec.region}},
			"service": {Kind: config.KindService, Body: map[string]any{"timeout_ms": callTimeout.Milliseconds(), "measure_rate": float64(measureRate)}},
			"account": {Kind: config.KindAccount, Body: map[string]any{"weight": 1}},
		},
		Accounts: make(map[model.Account]config.Account),
		Domains:  make(map[model.Domain]config.Domain),
		Services: make(map[model.Service]config.Service),
	}
	for _, name := range f.spec.domains {
		doc.Domains[model.Domain(name)] = config.Domain{Template: "domain"}
	}
	for _, g := range f.spec.groups {
		doc.Services[model.Service(g.service)] = config.Service{Template: "service"}
	}
	for _, name := range f.spec.accounts {
		hash := settings.HashKey(accountKey(name))
		doc.Accounts[model.Account(name)] = config.Account{Template: "account", KeyHashes: []string{hex.EncodeToString(hash[:])}}
	}
	return doc
}

// configure applies the configuration of the deployment.
func (f *fleet) configure(ctx context.Context) error {
	return f.commit(ctx, config.Change{ID: "demo-start", Document: f.document()})
}

// setDomain takes a failure domain out of service or brings it back.
func (f *fleet) setDomain(ctx context.Context, domain string, out bool) error {
	id := fmt.Sprintf("demo-%s-%t", domain, out)
	return f.commit(ctx, config.Change{ID: id, DomainsOut: map[model.Domain]bool{model.Domain(domain): out}})
}

// commit applies a change through the operator API of one node, which answers
// once the change is in force.
func (f *fleet) commit(ctx context.Context, change config.Change) error {
	node := f.members[0].node
	change.Base = node.Revision()
	request, err := sling.New().Post("http://"+node.OperatorAddr()+"/v1/apply").
		Set("Authorization", "Bearer "+f.token).BodyJSON(change).Request()
	if err != nil {
		return err
	}
	response, err := f.client.Do(request.WithContext(ctx))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var applied operatorapi.ChangeResult
	if err := json.NewDecoder(response.Body).Decode(&applied); err != nil {
		return err
	}
	if applied.Result != config.ResultAccepted {
		return fmt.Errorf("the change was not accepted: %d %s %v", response.StatusCode, applied.Result, applied.Problems)
	}
	return nil
}
