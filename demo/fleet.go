package demo

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"zinniafall/node/operatorapi"
	"zinniafall/node/server"
	"zinniafall/node/static"
	"zinniafall/node/trust"
	"zinniafall/standin/store"
	"zinniafall/standin/target"
)

// member is a node and the target beside it.
type member struct {
	node    *server.Server
	target  *target.Target
	domain  string
	service string
	url     string
	stop    chan struct{}
}

// fleet is the whole deployment.
type fleet struct {
	plan   plan
	policy string
	store  *store.Store
	token  string
	// tokenHash is the operator's token as the nodes' settings hold it.
	tokenHash string
	secret    string
	nodes     []*member
	client    *http.Client
	started   time.Time
	renewal   sync.WaitGroup
}

// accountKey is the key with which a demo account proves itself.
func accountKey(name string) string { return "key-of-" + name }

func startFleet(p plan, policy string) (*fleet, error) {
	secret := make([]byte, trust.MinSecretBytes)
	_, _ = rand.Read(secret)
	f := &fleet{
		plan: p, policy: policy,
		secret: base64.StdEncoding.EncodeToString(secret),
		client: &http.Client{Timeout: readyTimeout}, started: time.Now(),
	}
	token, hash := operatorapi.NewToken()
	f.token, f.tokenHash = token, hex.EncodeToString(hash[:])
	var err error
	if f.store, err = store.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	domain := 0
	for _, g := range p.groups {
		for range g.count {
			m, err := f.startMember(g.service, p.domains[domain%len(p.domains)], uint64(domain))
			if err != nil {
				f.close()
				return nil, err
			}
			f.nodes = append(f.nodes, m)
			domain++
		}
	}
	return f, nil
}

func (f *fleet) startMember(service, domain string, seed uint64) (*member, error) {
	t, err := target.Start("127.0.0.1:0", target.Options{
		Service: service, Slots: f.plan.slots, Connections: connections, ServiceTime: f.plan.serviceTime, Seed: seed,
	})
	if err != nil {
		return nil, err
	}
	settings, err := f.settings(domain)
	if err != nil {
		return nil, err
	}
	node, err := server.Start(settings)
	if err != nil {
		t.Close()
		return nil, err
	}
	m := &member{node: node, target: t, domain: domain, service: service, url: "http://" + node.CallerAddr(), stop: make(chan struct{})}
	f.renewal.Add(1)
	go func() {
		defer f.renewal.Done()
		t.KeepAnnounced(f.client, "http://"+node.TargetAddr(), m.stop)
	}()
	return m, nil
}

// settings writes a node's settings in memory.
func (f *fleet) settings(domain string) (*static.Settings, error) {
	peers, err := freeUDP()
	if err != nil {
		return nil, err
	}
	known := "[]"
	if len(f.nodes) > 0 {
		known = fmt.Sprintf("[%q]", f.nodes[0].node.Node())
	}
	text := fmt.Sprintf(`{
		"node": {"failure_domain": %q, "region": %q},
		"callers": {"listen": "127.0.0.1:0"},
		"peers": {"listen": %q, "known": %s},
		"operators": {"listen": "127.0.0.1:0", "tokens": [{"name": "demo", "token_sha256": %q}]},
		"target": {"listen": "127.0.0.1:0"},
		"store": {"url": %q},
		"fleet": {"secrets": [%q]},
		"placement": {"policy": %q}
	}`, domain, f.plan.region, peers, known, f.tokenHash, f.store.URL(), f.secret, f.policy)
	return static.Parse([]byte(text))
}

// freeUDP finds a UDP port that is free now.
func freeUDP() (string, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String(), nil
}

// awaitReady waits until every node takes calls and sees every target.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, m := range f.nodes {
		for !f.ready(ctx, m) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("node %s was not ready in time; look at its log", m.node.Node())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func (f *fleet) ready(ctx context.Context, m *member) bool {
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.node.OperatorAddr()+"/readyz", nil)
	response, err := f.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK && m.node.TargetCount() == len(f.nodes)
}

// inDomain lists the members of a failure domain.
func (f *fleet) inDomain(domain string) []*member {
	var members []*member
	for _, m := range f.nodes {
		if m.domain == domain {
			members = append(members, m)
		}
	}
	return members
}

func (f *fleet) close() {
	for _, m := range f.nodes {
		close(m.stop)
	}
	f.renewal.Wait()
	f.client.CloseIdleConnections()
	var stops sync.WaitGroup
	for _, m := range f.nodes {
		stops.Add(1)
		go func() {
			defer stops.Done()
			m.node.Kill()
			m.target.Close()
		}()
	}
	stops.Wait()
	f.store.Close()
}
