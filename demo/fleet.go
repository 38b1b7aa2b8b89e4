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

// member is a node and its target.
type member struct {
	node    *server.Server
	target  *target.Target
	domain  string
	service string
	url     string
	stop    chan struct{}
}

// fleet is a running deployment: the store, the nodes and their targets.
type fleet struct {
	spec   spec
	policy string
	store  *store.Store
	token  string
	// tokenHash is the SHA-256 of token in hexadecimal, as node settings hold it.
	tokenHash  string
	secret     string
	members    []*member
	client     *http.Client
	started    time.Time
	announcers sync.WaitGroup
}

// accountKey returns the key that authenticates a client account of the demo.
func accountKey(name string) string { return "key-of-" + name }

// startFleet starts the store and all nodes and targets of the deployment, and
// spreads the targets over the failure domains in turn.
func startFleet(s spec, policy string) (*fleet, error) {
	secret := make([]byte, trust.MinSecretBytes)
	_, _ = rand.Read(secret)
	f := &fleet{
		spec: s, policy: policy,
		secret: base64.StdEncoding.EncodeToString(secret),
		client: &http.Client{Timeout: readyTimeout}, started: time.Now(),
	}
	token, hash := operatorapi.NewToken()
	f.token, f.tokenHash = token, hex.EncodeToString(hash[:])
	var err error
	if f.store, err = store.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	index := 0
	for _, g := range s.groups {
		for range g.count {
			m, err := f.startMember(g.service, s.domains[index%len(s.domains)], uint64(index))
			if err != nil {
				f.close()
				return nil, err
			}
			f.members = append(f.members, m)
			index++
		}
	}
	return f, nil
}

// startMember starts a target and its node. The target announces itself to the
// node until the member's stop channel is closed.
func (f *fleet) startMember(service, domain string, seed uint64) (*member, error) {
	t, err := target.Start("127.0.0.1:0", target.Options{
		Service: service, Slots: f.spec.slots, Connections: maxConnections, ServiceTime: f.spec.serviceTime, Seed: seed,
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
	f.announcers.Add(1)
	go func() {
		defer f.announcers.Done()
		t.KeepAnnounced(f.client, "http://"+node.TargetAddr(), m.stop)
	}()
	return m, nil
}

// settings returns the settings of a new node in the failure domain.
func (f *fleet) settings(domain string) (*static.Settings, error) {
	peerAddr, err := freeUDPAddr()
	if err != nil {
		return nil, err
	}
	known := "[]"
	if len(f.members) > 0 {
		known = fmt.Sprintf("[%q]", f.members[0].node.Node())
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
	}`, domain, f.spec.region, peerAddr, known, f.tokenHash, f.store.URL(), f.secret, f.policy)
	return static.Parse([]byte(text))
}

// freeUDPAddr returns a loopback address with a UDP port that is currently free.
func freeUDPAddr() (string, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String(), nil
}

// awaitReady waits until every node is ready and knows every target.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, m := range f.members {
		for !f.isReady(ctx, m) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("node %s did not become ready in time; see its log", m.node.Node())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// isReady reports whether the node of m is ready and knows every target.
func (f *fleet) isReady(ctx context.Context, m *member) bool {
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.node.OperatorAddr()+"/readyz", nil)
	response, err := f.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK && m.node.TargetCount() == len(f.members)
}

// inDomain returns the members in a failure domain.
func (f *fleet) inDomain(domain string) []*member {
	var members []*member
	for _, m := range f.members {
		if m.domain == domain {
			members = append(members, m)
		}
	}
	return members
}

func (f *fleet) close() {
	for _, m := range f.members {
		close(m.stop)
	}
	f.announcers.Wait()
	f.client.CloseIdleConnections()
	var stops sync.WaitGroup
	for _, m := range f.members {
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
