package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"zinniafall/policy/distribution"
	"zinniafall/policy/model"
	"zinniafall/policy/routing"
	"zinniafall/policy/storeera"
)

const (
	// sourceStore is the source of what the store shows, in the log.
	sourceStore = "store"
	// maxLoggedProblems bounds the log lines about one configuration.
	maxLoggedProblems = 10
)

// evacuation is the set of failure domains out of service at a position of the store.
type evacuation = storeera.Statement

// configuration holds the newest configuration that this node has. It is never
// replaced by an older one, unless storeera.Configuration decides so.
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
	evac      storeera.Evacuations
	// order decides which configuration is in force. shown is the document that the
	// store shows, while that is another one.
	order storeera.Configuration
	shown []byte
	// unreadable is set while the store shows a configuration that cannot be decoded.
	unreadable bool
	puller     *distribution.Puller
	// storeReads is held during reads of the store besides those of the follower of the
	// operators' keys, so that they do not transfer the configuration twice at a time.
	storeReads sync.Mutex
	// answeredAt is the earliest time at which the store can have given its last answer to the
	// follower of the operators' keys. It is the start of the node before the first one.
	answeredAt time.Time
	// rejected is the last document that was not valid. The same one is not decoded again.
	rejected struct {
		sum distribution.Sum
		err error
	}
	// needsWhole is set if the last updates were not usable.
	needsWhole atomic.Bool
	// reports signals pull that another node reported a newer configuration.
	reports chan struct{}
}

func newConfiguration(n *Node) *configuration {
	now := time.Now()
	return &configuration{node: n, startedAt: now, answeredAt: now, changed: make(chan struct{}), puller: distribution.NewPuller(rand.Uint64()), reports: make(chan struct{}, 1)}
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

// hasAccounts reports whether callers authenticate.
func (c *configuration) hasAccounts() bool {
	t := c.current()
	return t != nil && t.HasAccounts()
}

// storeShowsLater reports whether the store shows a later configuration than the one in
// force, or an unreadable one, which may have withdrawn any key.
func (c *configuration) storeShowsLater() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreadable || c.order.ShowsLater()
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
	return c.evac.Statement()
}

// applyIfNewer decodes a document of another node and puts it in force if it is valid and
// newer. updates are those by which the node sent it, if any, and revision is the one that
// the document has there, or 0 if that is its version. It wakes the callers of
// awaitRevision. It returns the reason if the document is not valid.
func (c *configuration) applyIfNewer(document []byte, updates []distribution.Update, revision model.Revision, source string) error {
	return c.apply(document, updates, source, func(version model.Revision) (model.Revision, bool) {
		if storeera.Version(revision) != version {
			revision = version
		}
		return revision, revision > c.order.Revision()
	})
}

// applyStored puts the configuration that the store showed in force if
// storeera.Configuration decides so, and otherwise keeps it for applyPending.
func (c *configuration) applyStored(asked time.Time, at Position, item Item) {
	_ = c.apply(item.Value, nil, sourceStore, func(version model.Revision) (model.Revision, bool) {
		revision, apply := c.order.Shown(asked, at, item.Revision, storeera.Content{Version: version, Sum: uint64(distribution.SumOf(item.Value))})
		c.shown, c.unreadable = nil, false
		if c.order.Pending() {
			c.shown = item.Value
		}
		return revision, apply
	})
}

// applyPending puts the configuration that the store has shown for a while in force if
// storeera.Configuration decides so.
func (c *configuration) applyPending(asked time.Time, at Position) {
	c.mu.Lock()
	revision, apply := c.order.Unchanged(asked, at)
	document := c.shown
	c.mu.Unlock()
	if apply && document != nil {
		_ = c.applyIfNewer(document, nil, revision, sourceStore)
	}
}

// apply decodes a document and puts it in force if decide, which is called with its
// version while c.mu is held, returns the revision that it has and true. It returns the reason
// if the document is not valid, which has been logged.
func (c *configuration) apply(document []byte, updates []distribution.Update, source string, decide func(version model.Revision) (model.Revision, bool)) error {
	c.applying.Lock()
	defer c.applying.Unlock()
	c.sending.Lock()
	same := c.archive.Sum() == distribution.SumOf(document) && c.archive.Revision() > 0
	c.sending.Unlock()
	began := time.Now()
	var table *routing.Table
	err := c.checkDocument(document)
	switch {
	case err != nil:
	case same: // the store and other nodes may both send it
		inForce := *c.current()
		inForce.Revision = storeera.Version(inForce.Revision)
		table = &inForce
	default:
		table, err = c.decode(document)
	}
	decodeTime := time.Since(began)
	if err != nil {
		c.reject(document, source, err)
		return err
	}
	version := table.Revision
	c.mu.Lock()
	inForce := c.order.Revision()
	revision, ok := decide(version)
	c.mu.Unlock()
	if !ok {
		if version < storeera.Version(inForce) {
			c.node.log.Info("older configuration ignored", "part", "configuration", "source", source,
				"revision", version, "revision_in_force", inForce)
		}
		return nil
	}
	table.Revision = revision
	c.sending.Lock()
	err = c.archive.Put(table.Revision, document, updates)
	c.sending.Unlock()
	if err != nil {
		c.node.log.Warn("update of the configuration not encoded", "part", "configuration", "revision", table.Revision, "error", err.Error())
	}
	era, _ := c.node.store.Era()
	c.mu.Lock()
	c.order.Applied(era, revision, uint64(distribution.SumOf(document)))
	if !c.order.Pending() {
		c.shown = nil
	}
	c.table, c.appliedAt = table, time.Now()
	close(c.changed)
	c.changed = make(chan struct{})
	unconfirmedFor := c.puller.Unconfirmed(c.appliedAt)
	var reportedFor time.Duration
	if reported, since := c.puller.Newest(); reported >= table.Revision {
		reportedFor = c.appliedAt.Sub(since)
	}
	c.mu.Unlock()
	c.node.proofs.advance(table.Revision)
	attrs := []any{
		"part", "configuration", "source", source, "revision", table.Revision, "routes", table.Routes(), "services", len(table.Services),
		"bytes", len(document), "decode_ms", decodeTime.Seconds() * 1000, "reported_ms", reportedFor.Milliseconds(), "unconfirmed_ms", unconfirmedFor.Milliseconds(),
	}
	if table.HasAccounts() {
		attrs = append(attrs, "accounts", table.Accounts())
	}
	c.node.log.Info("configuration applied", attrs...)
	if limit := c.node.live.Load().StoreValueBytes; limit > 0 && len(document) > limit {
		c.node.log.Warn("configuration larger than the store promises to hold", "part", "configuration", "revision", table.Revision, "bytes", len(document), "store_value_bytes", limit)
	}
	c.logProblems(table)
	c.node.configurationChanged(table)
	return nil
}

// checkDocument returns the reason why a document is not decoded, if there is one.
func (c *configuration) checkDocument(document []byte) error {
	if err := distribution.CheckSize(document); err != nil {
		return err
	}
	if c.rejected.err != nil && c.rejected.sum == distribution.SumOf(document) {
		return c.rejected.err
	}
	return nil
}

// reject logs and counts a document that is not valid, and remembers it.
func (c *configuration) reject(document []byte, source string, err error) {
	configurationsRejected.Inc()
	c.mu.Lock()
	c.unreadable = c.unreadable || source == sourceStore
	c.mu.Unlock()
	sum := distribution.SumOf(document)
	if c.rejected.err != nil && c.rejected.sum == sum {
		return
	}
	c.rejected.sum, c.rejected.err = sum, err
	c.node.log.Warn("configuration rejected", "part", "configuration", "source", source, "bytes", len(document),
		"error", err.Error(), "revision_in_force", c.revision())
}

// decode decodes a document. A panic is an error: the same document reaches all nodes,
// and would end each process that starts.
func (c *configuration) decode(document []byte) (table *routing.Table, err error) {
	defer func() {
		if value := recover(); value != nil {
			c.node.logPanic(value, debug.Stack())
			err = fmt.Errorf("decoding panicked: %v", value)
		}
	}()
	return c.node.operatorKeys.Decode(document)
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
func (c *configuration) listed(asked time.Time, items []Item, at Position) {
	var domains []model.Domain
	var written *Item
	for i, item := range items {
		if domain, ok := c.node.operatorKeys.EvacuatedDomain(item.Key); ok {
			domains = append(domains, domain)
		}
		if c.node.operatorKeys.IsConfiguration(item.Key) {
			written = &items[i]
		}
	}
	c.updateEvacuation(sourceStore, func(e *storeera.Evacuations) { e.Listed(asked, at, domains) })
	if written == nil {
		return
	}
	if at.Era > 0 && c.current() == nil {
		c.askOthers()
	}
	c.applyStored(asked, at, *written)
}

// askOthers lets a node that starts get a newer configuration than that of the store from
// other nodes: the store may have returned from a copy, and the operators may not have
// repeated yet what it lost.
func (c *configuration) askOthers() {
	ctx, cancel := context.WithTimeout(c.node.ctx, storeera.MaxAskTime)
	defer cancel()
	c.node.fleet.greetSome(ctx)
	if reported := c.newestReported(); reported > 0 {
		c.awaitRevision(c.node.ctx, reported, storeera.MaxCatchUpTime)
	}
}

// applyChanges applies changes of the operators' keys. If the configuration's key
// is removed, the configuration stays in force.
func (c *configuration) applyChanges(asked time.Time, items []Item, at Position) {
	var changes []storeera.Change
	for _, item := range items {
		if domain, ok := c.node.operatorKeys.EvacuatedDomain(item.Key); ok {
			changes = append(changes, storeera.Change{Domain: domain, Ended: item.Removed})
		}
	}
	c.applyWritten(asked, items, at)
	c.updateEvacuation(sourceStore, func(e *storeera.Evacuations) { e.Changed(asked, at, changes) })
}

// applyWritten applies the configurations among changes of the operators' keys.
func (c *configuration) applyWritten(asked time.Time, items []Item, at Position) {
	isWritten := false
	for _, item := range items {
		if c.node.operatorKeys.IsConfiguration(item.Key) && !item.Removed {
			c.applyStored(asked, at, item)
			isWritten = true
		}
	}
	if !isWritten {
		c.applyPending(asked, at)
	}
}

// applyEvacuationOf applies the statement of another node about the failure domains out of
// service.
func (c *configuration) applyEvacuationOf(statement evacuation, source string) {
	c.updateEvacuation(source, func(e *storeera.Evacuations) { e.ApplyStatement(statement) })
}

// updateEvacuation changes the failure domains out of service. It notifies the node only
// if they differ afterwards.
func (c *configuration) updateEvacuation(source string, update func(*storeera.Evacuations)) {
	c.mu.Lock()
	before, restored := c.evac.Statement(), c.evac.Restored()
	update(&c.evac)
	after := c.evac.Statement()
	restored = c.evac.Restored() - restored
	c.mu.Unlock()
	evacuationsRestored.Add(restored)
	if sameDomains(before.Domains, after.Domains) {
		return
	}
	c.node.log.Info("failure domains out of service changed", "part", "configuration", "source", source,
		"domains", after.Domains, "of_earlier_era", after.Carried, "store_era", after.Era, "store_revision", after.Revision)
	c.node.evacuationChanged(after)
}

// sameDomains reports whether two sets of domains are equal.
func sameDomains(a, b []model.Domain) bool {
	if len(a) != len(b) {
		return false
	}
	for _, d := range a {
		if !slices.Contains(b, d) {
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
	now := time.Now()
	c.mu.Lock()
	first := c.puller.Report(now, from, near, revision, have)
	c.mu.Unlock()
	if first {
		c.node.fleet.recordSpread(now)
	}
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

// awaitRevision waits until the revision or a later one is in force. It reports false when
// the wait times out.
func (c *configuration) awaitRevision(ctx context.Context, revision model.Revision, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
