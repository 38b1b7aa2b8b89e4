package server

import (
	"context"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"k8s.io/klog/v2"

	"zinniafall/node/configuration"
	"zinniafall/node/peer"
	"zinniafall/node/platform"
	"zinniafall/policy/config"
	"zinniafall/policy/freshness"
	"zinniafall/policy/membership"
	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

const (
	// watchersPerDomain is the number of nodes of each failure domain that
	// watch the store.
	watchersPerDomain = 2
	// maxBundleBytes bounds the configuration bundle that this node fetches
	// from another.
	maxBundleBytes = 64 << 20
)

// configurationManager keeps the configuration of this node up to date and
// announces each new revision to its neighbors. A revision spreads from
// neighbor to neighbor, and each node fetches it from the one that announced
// it, so that no node serves all others.
type configurationManager struct {
	server  *Server
	applier *configuration.Applier
	store   *platform.Client
	cancel  context.CancelFunc
	done    chan struct{}
	// watching is true while this node is one of the watchers of its failure
	// domain.
	watching atomic.Bool

	mu sync.Mutex
	// changed is closed and replaced each time a configuration is applied.
	changed chan struct{}
}

func newConfigurationManager(s *Server) *configurationManager {
	m := &configurationManager{server: s, changed: make(chan struct{}), done: make(chan struct{})}
	m.store = platform.New(platform.Options{URL: s.settings.Store.URL, Seed: uint64(s.incarnation)})
	m.applier = configuration.New(configuration.Options{
		Store:   m.store,
		Peers:   m,
		OnApply: m.onApply,
		OnPoll:  m.onPoll,
		Metrics: s.metrics,
		Seed:    uint64(s.incarnation),
	})
	return m
}

// start runs the applier until stop.
func (m *configurationManager) start() {
	ctx, cancel := context.WithCancel(m.server.ctx)
	m.cancel = cancel
	go func() {
		defer close(m.done)
		_ = m.applier.Run(ctx)
	}()
}

// stop ends the applier and waits for it.
func (m *configurationManager) stop() {
	m.cancel()
	<-m.done
}

// current returns the snapshot that this node applies. It is never nil.
func (m *configurationManager) current() *settings.Snapshot { return m.applier.Current() }

// recordRevision records that another node stated the revision; the applier
// fetches it if it is newer.
func (m *configurationManager) recordRevision(revision model.Revision, from model.NodeAddr) {
	m.applier.ObserveRevision(revision, from)
}

// onApply wakes the callers of awaitRevision and announces the revision to the
// neighbors.
func (m *configurationManager) onApply(snapshot *settings.Snapshot) {
	m.mu.Lock()
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	m.server.onConfigurationChange(snapshot)
	m.server.control.announceRevision(snapshot.Revision)
}

// onPoll reports the result of a store read to the freshness tracker.
func (m *configurationManager) onPoll(poll configuration.Poll) {
	if poll.Reachable {
		m.server.freshnessTracker.recordConfirmation(time.Since(poll.StartedAt), poll.Confirmed)
	}
}

// awaitRevision waits until this node applies at least the revision and
// reports whether it does; it returns false when the context ends first.
func (m *configurationManager) awaitRevision(ctx context.Context, revision model.Revision) bool {
	for {
		m.mu.Lock()
		changed := m.changed
		m.mu.Unlock()
		if m.current().Revision >= revision {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// onMembersChange updates whether this node is one of the watchers of its
// failure domain, which are chosen from the members. Only watchers watch the
// store for new configurations.
func (m *configurationManager) onMembersChange(snapshot *membership.Snapshot) {
	watchers := freshness.Watchers(snapshot.Members, m.server.settings.Node.FailureDomain, watchersPerDomain)
	watching := slices.Contains(watchers, m.server.self)
	m.watching.Store(watching)
	m.applier.SetWatching(watching)
}

// fetchFromNeighbor fetches a revision that a beacon stated from a random
// neighbor, if it is newer than the current one.
func (m *configurationManager) fetchFromNeighbor(revision model.Revision) {
	if revision <= m.current().Revision {
		return
	}
	if neighbors := m.server.control.neighbors(); len(neighbors) > 0 {
		m.recordRevision(revision, neighbors[rand.IntN(len(neighbors))])
	}
}

// behind reports whether other nodes have a newer configuration.
func (m *configurationManager) behind() bool { return m.applier.Behind() }

// stallTimeout is the time without progress after which a bundle is given up.
const stallTimeout = 2 * time.Second

// progressReader calls progress whenever bytes were read.
type progressReader struct {
	io.Reader
	progress func()
}

func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.progress()
	}
	return n, err
}

// FetchConfiguration fetches from another node the bundle of what this node
// lacks above the revision it has.
func (m *configurationManager) FetchConfiguration(ctx context.Context, node model.NodeAddr, have model.Revision) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stalled := time.AfterFunc(stallTimeout, cancel)
	defer stalled.Stop()
	exchange, err := m.server.transport.Open(ctx, node, &peer.Request{Kind: peer.KindConfiguration, Revision: have})
	if err != nil {
		return nil, err
	}
	defer exchange.Close()
	answer, err := exchange.Receive()
	if err != nil {
		return nil, err
	}
	if answer.Problem != nil {
		return nil, answer.Problem
	}
	body := progressReader{exchange, func() { stalled.Reset(stallTimeout) }}
	bundle, err := io.ReadAll(io.LimitReader(body, maxBundleBytes+1))
	if err == nil && len(bundle) > maxBundleBytes {
		err = oops.In("configuration").Errorf("the configuration from %s is over %d bytes", node, maxBundleBytes)
	}
	return bundle, err
}

// serveConfiguration sends another node the bundle that it lacks.
func (s *Server) serveConfiguration(stream *peer.Stream) {
	bundle, err := s.configuration.applier.Bundle(stream.Request.Revision)
	if err != nil {
		klog.Errorf("configuration: The bundle could not be built: %v.", err)
		stream.Fail()
		return
	}
	if stream.Answer(&peer.Answer{Run: model.RunNo, Status: 200, Length: int64(len(bundle))}) != nil {
		stream.Fail()
		return
	}
	if _, err := stream.Write(bundle); err != nil {
		stream.Fail()
	}
}

// onConfigurationChange updates the parts of the node that depend on the
// configuration.
func (s *Server) onConfigurationChange(snapshot *settings.Snapshot) {
	s.owner.SetDomainOut(s.domainOut())
	s.updateTargetProbeRate()
	domains := make([]model.Domain, 0, len(snapshot.Domains))
	for domain := range snapshot.Domains {
		domains = append(domains, domain)
	}
	s.freshnessTracker.recordApplied(snapshot.Revision, domains)
	s.overlay.SetRevision(snapshot.Revision)
	s.updateTargets(s.overlay.Snapshot())
}

// updateTargetProbeRate passes the probe rate of the target's service to the
// owner, which enforces it.
func (s *Server) updateTargetProbeRate() {
	if rate := s.configuration.current().Services[s.target.service()].MeasureRate; rate > 0 {
		s.owner.SetProbeRate(rate)
	}
}

// Commit commits an operator's change as the next configuration.
func (s *Server) Commit(ctx context.Context, change config.Change) config.Outcome {
	return s.configuration.applier.Commit(ctx, change, s.placement())
}

// placement returns, for each service, the failure domain of each of its
// targets that accept calls.
func (s *Server) placement() config.Placement {
	placement := make(config.Placement)
	for service, members := range s.overlay.Snapshot().ByService {
		for _, m := range members {
			if acceptsCalls(m.Target) {
				placement[service] = append(placement[service], m.Domain)
			}
		}
	}
	return placement
}

// TargetCount returns the number of targets that accept calls and are known to
// this node.
func (s *Server) TargetCount() int {
	count := 0
	for _, members := range s.overlay.Snapshot().ByService {
		for _, m := range members {
			if acceptsCalls(m.Target) {
				count++
			}
		}
	}
	return count
}

// Revision returns the revision of the configuration that this node applies.
func (s *Server) Revision() model.Revision { return s.revision() }

// revisionBytes is the length of an encoded revision.
const revisionBytes = 8

func encodeRevision(revision model.Revision) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(revision))
}

// decodeRevision returns false for a payload that is no encoded revision.
func decodeRevision(payload []byte) (model.Revision, bool) {
	if len(payload) != revisionBytes {
		return 0, false
	}
	return model.Revision(binary.BigEndian.Uint64(payload)), true
}
