package sidecar

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"zinniafall/node/peer"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/routing"
)

const (
	// catchUpTime bounds the wait for a configuration that another node has.
	catchUpTime = 400 * time.Millisecond
	// maxDocument bounds a configuration, in bytes: the store's largest value.
	maxDocument = 1 << 20
)

// evacuation is the set of failure domains out of service at a revision of the
// store.
type evacuation struct {
	Revision uint64         `cbor:"1,keyasint"`
	Domains  []model.Domain `cbor:"2,keyasint,omitempty"`
}

func (e evacuation) out(domain model.Domain) bool {
	for _, d := range e.Domains {
		if d == domain {
			return true
		}
	}
	return false
}

// configuration is the newest configuration that this node knows. It never
// goes back to an older one.
type configuration struct {
	node  *Node
	began time.Time

	mu       sync.Mutex
	table    *routing.Table
	document []byte
	applied  time.Time
	changed  chan struct{}
	evac     evacuation
	fetching bool
}

func newConfiguration(n *Node) *configuration {
	return &configuration{node: n, began: time.Now(), changed: make(chan struct{})}
}

// current returns the table in force, nil before the first.
func (c *configuration) current() *routing.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

// revision returns the revision in force, 0 before the first.
func (c *configuration) revision() model.Revision {
	if t := c.current(); t != nil {
		return t.Revision
	}
	return 0
}

// age returns how long the table has been in force.
func (c *configuration) age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.applied)
}

// retryAfter is the advice of a node that has no configuration yet. What keeps
// it waiting is likely to last half as long again as it has; a caller that comes
// back too early spends one of its tries.
func (c *configuration) retryAfter(now time.Time) time.Duration {
	return max(retryUnready, now.Sub(c.began)/2)
}

func (c *configuration) evacuated() evacuation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evac
}

// offer takes a document and puts it in force if it is sound and newer.
func (c *configuration) offer(document []byte, source string) {
	table, err := c.node.operators.Decode(document)
	if err != nil {
		c.node.log.Warn("configuration rejected", "part", "configuration", "source", source,
			"error", err.Error(), "revision_in_force", c.revision())
		invalidConfigurations.Inc()
		return
	}
	c.mu.Lock()
	if c.table != nil && table.Revision <= c.table.Revision {
		inForce := c.table.Revision
		c.mu.Unlock()
		if table.Revision < inForce {
			c.node.log.Info("older configuration ignored", "part", "configuration", "source", source,
				"revision", table.Revision, "revision_in_force", inForce)
		}
		return
	}
	c.table, c.document, c.applied = table, document, time.Now()
	close(c.changed)
	c.changed = make(chan struct{})
	c.mu.Unlock()
	c.node.log.Info("configuration applied", "part", "configuration", "source", source,
		"revision", table.Revision, "routes", table.Routes(), "services", len(table.Services))
	c.node.configurationChanged(table)
}

// listed takes all of the operators' keys.
func (c *configuration) listed(items []Item, revision uint64) {
	evac := evacuation{Revision: revision}
	for _, item := range items {
		if domain, ok := c.node.operators.EvacuatedDomain(item.Key); ok {
			evac.Domains = append(evac.Domains, domain)
		}
		if c.node.operators.IsConfiguration(item.Key) {
			c.offer(item.Value, "store")
		}
	}
	c.setEvacuation(evac, "store")
}

// watched takes changes of the operators' keys.
func (c *configuration) watched(items []Item, revision uint64) {
	evac := evacuation{Revision: revision, Domains: c.evacuated().Domains}
	for _, item := range items {
		if domain, ok := c.node.operators.EvacuatedDomain(item.Key); ok {
			evac.Domains = with(evac.Domains, domain, !item.Removed)
		}
		if c.node.operators.IsConfiguration(item.Key) && !item.Removed {
			c.offer(item.Value, "store")
		}
	}
	c.setEvacuation(evac, "store")
}

// with returns the domains with or without one.
func with(domains []model.Domain, domain model.Domain, present bool) []model.Domain {
	out := make([]model.Domain, 0, len(domains)+1)
	for _, d := range domains {
		if d != domain {
			out = append(out, d)
		}
	}
	if present {
		out = append(out, domain)
	}
	return out
}

// setEvacuation takes a newer set.
func (c *configuration) setEvacuation(evac evacuation, source string) {
	c.mu.Lock()
	if evac.Revision <= c.evac.Revision {
		c.mu.Unlock()
		return
	}
	same := sameDomains(evac.Domains, c.evac.Domains)
	c.evac = evac
	c.mu.Unlock()
	if same {
		return
	}
	c.node.log.Info("failure domains out of service changed", "part", "configuration", "source", source,
		"domains", evac.Domains, "store_revision", evac.Revision)
	c.node.evacuationChanged(evac)
}

func sameDomains(a, b []model.Domain) bool {
	if len(a) != len(b) {
		return false
	}
	for _, d := range a {
		if !(evacuation{Domains: b}).out(d) {
			return false
		}
	}
	return true
}

// heard takes the revision that another node applies, and fetches what this
// one lacks.
func (c *configuration) heard(revision model.Revision, from model.NodeAddr) {
	if revision <= c.revision() || from == "" {
		return
	}
	c.mu.Lock()
	busy := c.fetching
	c.fetching = true
	c.mu.Unlock()
	if busy {
		return
	}
	c.node.goDuty(func() {
		defer func() {
			c.mu.Lock()
			c.fetching = false
			c.mu.Unlock()
		}()
		c.fetch(from)
	})
}

// fetch asks another node for its configuration.
func (c *configuration) fetch(from model.NodeAddr) {
	ctx, cancel := context.WithTimeout(c.node.ctx, time.Second)
	defer cancel()
	x, err := c.node.client.Open(ctx, from, &peer.Request{Kind: peer.KindConfiguration, Inline: true, From: c.node.self})
	if err != nil {
		c.node.log.Info("configuration not fetched", "part", "configuration", "from", from, "error", err.Error())
		return
	}
	defer x.Close()
	answer, err := x.Receive()
	if err == nil && answer.Problem != nil {
		err = answer.Problem
	}
	var document []byte
	if err == nil {
		document, err = io.ReadAll(io.LimitReader(x, maxDocument+1))
	}
	if err != nil {
		c.node.log.Info("configuration not fetched", "part", "configuration", "from", from, "error", err.Error())
		return
	}
	c.offer(document, string(from))
}

// await waits until at least the revision is in force.
func (c *configuration) await(ctx context.Context, revision model.Revision) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTime)
	defer cancel()
	for {
		c.mu.Lock()
		changed := c.changed
		c.mu.Unlock()
		if c.revision() >= revision {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// serve sends this node's configuration to another one.
func (c *configuration) serve(stream streamWriter) {
	c.mu.Lock()
	document := c.document
	c.mu.Unlock()
	if document == nil {
		_ = stream.Answer(&peer.Answer{Run: model.RunNo, Problem: problem.New(problem.ConfigurationLag, model.RunNo, "the node has no configuration yet")})
		return
	}
	if stream.Answer(&peer.Answer{Run: model.RunNo, Status: 200, Length: int64(len(document))}) != nil ||
		stream.SendBody(bytes.NewReader(document)) != nil {
		stream.Fail()
	}
}

// streamWriter is the answering side of an exchange.
type streamWriter interface {
	Answer(*peer.Answer) error
	SendBody(io.Reader) error
	Fail()
}
