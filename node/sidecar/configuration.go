package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"zinniafall/policy/distribution"
	"zinniafall/policy/model"
	"zinniafall/policy/routing"
)

const (
	// catchUpTimeout bounds the wait for a configuration that another node has.
	catchUpTimeout = 400 * time.Millisecond
	// maxLoggedProblems bounds the log lines about one configuration.
	maxLoggedProblems = 10
)

// evacuation is the set of failure domains out of service at a revision of the
// store.
type evacuation struct {
	Revision uint64         `cbor:"1,keyasint"`
	Domains  []model.Domain `cbor:"2,keyasint,omitempty"`
}

func (e evacuation) contains(domain model.Domain) bool {
	for _, d := range e.Domains {
		if d == domain {
			return true
		}
	}
	return false
}

// configuration holds the newest configuration that this node has. It is never
// replaced by an older one.
type configuration struct {
	node      *Node
	startedAt time.Time

	// applying is held while a configuration is decoded and put in force.
	applying sync.Mutex

	// sending protects what transfers to other nodes need, which may be encoded
	// while it is held.
	sending sync.Mutex
	archive distribution.Archive
	sender  distribution.Sender

	// mu is held for short times only, since each call takes it.
	mu        sync.Mutex
	table     *routing.Table
	appliedAt time.Time
	changed   chan struct{}
	evac      evacuation
	puller    *distribution.Puller
	// needsWhole is set if the last updates were not usable.
	needsWhole atomic.Bool
	// reports signals pull that another node reported a newer configuration.
	reports chan struct{}
}

func newConfiguration(n *Node) *configuration {
	return &configuration{node: n, startedAt: time.Now(), changed: make(chan struct{}), puller: distribution.NewPuller(rand.Uint64()), reports: make(chan struct{}, 1)}
}

// current returns the table in force, or nil before the first configuration.
func (c *configuration) current() *routing.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

// revision returns the revision in force, or 0 before the first configuration.
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
	return now.Sub(c.appliedAt)
}

// retryAfter returns the Retry-After of a node that has no configuration yet: at
// least minUnreadyRetryAfter, and half the time for which the node has waited,
// since the cause is likely to last that much longer. A caller that comes back
// too early uses up one of its attempts.
func (c *configuration) retryAfter(now time.Time) time.Duration {
	return max(minUnreadyRetryAfter, now.Sub(c.startedAt)/2)
}

// currentEvacuation returns the newest known set of failure domains out of
// service.
func (c *configuration) currentEvacuation() evacuation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evac
}

// applyIfNewer decodes a document and puts it in force if it is valid and newer. updates
// are those by which another node sent it, if any. It wakes the callers of
// waitForRevision.
func (c *configuration) applyIfNewer(document []byte, updates []distribution.Update, source string) {
	c.applying.Lock()
	defer c.applying.Unlock()
	c.sending.Lock()
	same := c.archive.Sum() == distribution.SumOf(document) && c.archive.Revision() > 0
	c.sending.Unlock()
	if same {
		return // the store and other nodes may both send it
	}
	began := time.Now()
	table, err := c.node.operatorKeys.Decode(document)
	decodeTime := time.Since(began)
	if err != nil {
		c.node.log.Warn("configuration rejected", "part", "configuration", "source", source,
			"error", err.Error(), "revision_in_force", c.revision())
		configurationsRejected.Inc()
		return
	}
	if inForce := c.revision(); table.Revision <= inForce {
		if table.Revision < inForce {
			c.node.log.Info("older configuration ignored", "part", "configuration", "source", source,
				"revision", table.Revision, "revision_in_force", inForce)
		}
		return
	}
	c.sending.Lock()
	err = c.archive.Put(table.Revision, document, updates)
	c.sending.Unlock()
	if err != nil {
		c.node.log.Warn("update of the configuration not encoded", "part", "configuration", "revision", table.Revision, "error", err.Error())
	}
	c.mu.Lock()
	c.table, c.appliedAt = table, time.Now()
	close(c.changed)
	c.changed = make(chan struct{})
	var reportedFor time.Duration
	if reported, since := c.puller.Newest(); reported >= table.Revision {
		reportedFor = c.appliedAt.Sub(since)
	}
	c.mu.Unlock()
	c.node.log.Info("configuration applied", "part", "configuration", "source", source,
		"revision", table.Revision, "routes", table.Routes(), "services", len(table.Services),
		"bytes", len(document), "decode_ms", decodeTime.Seconds()*1000, "reported_ms", reportedFor.Milliseconds())
	c.logProblems(table)
	c.node.configurationChanged(table)
}

// logProblems logs the parts of a configuration that are not in force as written,
// up to maxLoggedProblems of them, and their number.
func (c *configuration) logProblems(table *routing.Table) {
	for _, p := range table.Problems[:min(len(table.Problems), maxLoggedProblems)] {
		c.node.log.Warn("part of the configuration not understood", "part", "configuration", "revision", table.Revision, "error", p.Error())
	}
	if n := len(table.Problems); n > maxLoggedProblems {
		c.node.log.Warn("further parts of the configuration not understood", "part", "configuration", "revision", table.Revision, "parts", n-maxLoggedProblems)
	}
}

// listed applies a list of all operators' keys.
func (c *configuration) listed(items []Item, revision uint64) {
	evac := evacuation{Revision: revision}
	for _, item := range items {
		if domain, ok := c.node.operatorKeys.EvacuatedDomain(item.Key); ok {
			evac.Domains = append(evac.Domains, domain)
		}
		if c.node.operatorKeys.IsConfiguration(item.Key) {
			c.applyIfNewer(item.Value, nil, "store")
		}
	}
	c.setEvacuation(evac, "store")
}

// applyChanges applies changes of the operators' keys. If the configuration's key
// is removed, the configuration stays in force.
func (c *configuration) applyChanges(items []Item, revision uint64) {
	evac := evacuation{Revision: revision, Domains: c.currentEvacuation().Domains}
	for _, item := range items {
		if domain, ok := c.node.operatorKeys.EvacuatedDomain(item.Key); ok {
			evac.Domains = withDomain(evac.Domains, domain, !item.Removed)
		}
		if c.node.operatorKeys.IsConfiguration(item.Key) && !item.Removed {
			c.applyIfNewer(item.Value, nil, "store")
		}
	}
	c.setEvacuation(evac, "store")
}

// withDomain returns the domains with the given one added or removed.
func withDomain(domains []model.Domain, domain model.Domain, include bool) []model.Domain {
	out := make([]model.Domain, 0, len(domains)+1)
	for _, d := range domains {
		if d != domain {
			out = append(out, d)
		}
	}
	if include {
		out = append(out, domain)
	}
	return out
}

// setEvacuation replaces the set if the given one is newer. It notifies the node
// only if the domains differ.
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

// sameDomains reports whether two sets of domains are equal.
func sameDomains(a, b []model.Domain) bool {
	if len(a) != len(b) {
		return false
	}
	for _, d := range a {
		if !(evacuation{Domains: b}).contains(d) {
			return false
		}
	}
	return true
}

// recordReported records the revision that another node reported. pull fetches the
// configuration if it is newer than this node's.
func (c *configuration) recordReported(revision model.Revision, from model.NodeAddr) {
	have := c.revision()
	if revision <= have || from == c.node.self {
		return
	}
	near := c.node.fleet.inOwnDomain(from)
	c.mu.Lock()
	c.puller.Report(time.Now(), from, near, revision, have)
	c.mu.Unlock()
	notify(c.reports)
}

// newestReported returns the newest revision that another node reported.
func (c *configuration) newestReported() model.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	reported, _ := c.puller.Newest()
	return reported
}

// behind reports whether other nodes have a newer configuration than this one, and
// when a caller that needs it should come back.
func (c *configuration) behind(now time.Time) (retryAfter time.Duration, ok bool) {
	have := c.revision()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.puller.RetryAfter(now), c.puller.Behind(now, have)
}

// nextChange returns a channel that is closed when the next configuration is in force.
func (c *configuration) nextChange() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// waitForRevision waits until the revision or a later one is in force. It
// reports false when the wait times out.
func (c *configuration) waitForRevision(ctx context.Context, revision model.Revision) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for {
		changed := c.nextChange()
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
