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
	// maxBundle bounds the configuration that one node takes from another, in
	// bytes.
	maxBundle = 64 << 20
)

// configurationDuty keeps this node at the newest configuration and tells its
// neighbors of each new one. A revision spreads from neighbor to neighbor,
// each of which fetches it from the one that told it, so that no node is asked
// by all.
type configurationDuty struct {
	server  *Server
	applier *configuration.Applier
	store   *platform.Client
	cancel  context.CancelFunc
	done    chan struct{}
	// watching is true while this node is one of its domain's watchers.
	watching atomic.Bool

	mu      sync.Mutex
	changed chan struct{}
}

func newConfigurationDuty(s *Server) *configurationDuty {
	d := &configurationDuty{server: s, changed: make(chan struct{}), done: make(chan struct{})}
	d.store = platform.New(platform.Options{URL: s.settings.Store.URL, Seed: uint64(s.incarnation)})
	d.applier = configuration.New(configuration.Options{
		Store:   d.store,
		Peers:   d,
		OnApply: d.applied,
		OnPoll:  d.polled,
		Metrics: s.metrics,
		Seed:    uint64(s.incarnation),
	})
	return d
}

func (d *configurationDuty) start() {
	ctx, cancel := context.WithCancel(d.server.ctx)
	d.cancel = cancel
	go func() {
		defer close(d.done)
		_ = d.applier.Run(ctx)
	}()
}

func (d *configurationDuty) stop() {
	d.cancel()
	<-d.done
}

// current returns the snapshot that this node applies, never nil.
func (d *configurationDuty) current() *settings.Snapshot { return d.applier.Current() }

// hear takes the revision that another node's message carried.
func (d *configurationDuty) hear(revision model.Revision, from model.NodeAddr) {
	d.applier.ObserveRevision(revision, from)
}

// applied wakes those that wait for the revision and tells the neighbors.
func (d *configurationDuty) applied(snapshot *settings.Snapshot) {
	d.mu.Lock()
	close(d.changed)
	d.changed = make(chan struct{})
	d.mu.Unlock()
	d.server.configurationChanged(snapshot)
	d.server.control.announce(snapshot.Revision)
}

// polled hands the outcome of a watcher's read to the judge of freshness.
func (d *configurationDuty) polled(poll configuration.Poll) {
	if poll.Reachable {
		d.server.judge.confirmed(time.Since(poll.StartedAt), poll.Confirmed)
	}
}

// await waits until at least the revision is applied.
func (d *configurationDuty) await(ctx context.Context, revision model.Revision) bool {
	for {
		d.mu.Lock()
		changed := d.changed
		d.mu.Unlock()
		if d.current().Revision >= revision {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// membersChanged decides whether this node watches the store.
func (d *configurationDuty) membersChanged(snapshot *membership.Snapshot) {
	watchers := freshness.Watchers(snapshot.Members, d.server.settings.Node.FailureDomain, watchersPerDomain)
	watching := slices.Contains(watchers, d.server.self)
	d.watching.Store(watching)
	d.applier.SetWatching(watching)
}

// behind fetches a revision that a beacon named from a neighbor.
func (d *configurationDuty) behind(revision model.Revision) {
	if revision <= d.current().Revision {
		return
	}
	if neighbors := d.server.control.neighbors(); len(neighbors) > 0 {
		d.hear(revision, neighbors[rand.IntN(len(neighbors))])
	}
}

// FetchConfiguration asks another node for what this one lacks.
func (d *configurationDuty) FetchConfiguration(ctx context.Context, node model.NodeAddr, have model.Revision) ([]byte, error) {
	x, err := d.server.transport.Open(ctx, node, &peer.Request{Kind: peer.KindConfiguration, Revision: have})
	if err != nil {
		return nil, err
	}
	defer x.Close()
	answer, err := x.Receive()
	if err != nil {
		return nil, err
	}
	if answer.Problem != nil {
		return nil, answer.Problem
	}
	bundle, err := io.ReadAll(io.LimitReader(x, maxBundle+1))
	if err == nil && len(bundle) > maxBundle {
		err = oops.In("configuration").Errorf("the configuration from %s is over %d bytes", node, maxBundle)
	}
	return bundle, err
}

// serveConfiguration sends another node what it lacks.
func (s *Server) serveConfiguration(stream *peer.Stream) {
	bundle, err := s.configuration.applier.Bundle(stream.Request.Revision)
	if err != nil {
		klog.Errorf("configuration: A bundle could not be made: %v.", err)
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

// configurationChanged makes the parts of the node follow the snapshot.
func (s *Server) configurationChanged(snapshot *settings.Snapshot) {
	s.owner.SetDomainOut(s.domainOut())
	s.followMeasureRate()
	domains := make([]model.Domain, 0, len(snapshot.Domains))
	for domain := range snapshot.Domains {
		domains = append(domains, domain)
	}
	s.judge.applied(snapshot.Revision, domains)
	s.overlay.SetRevision(snapshot.Revision)
	s.placeTargets(s.overlay.Snapshot())
}

// followMeasureRate gives the owner the budget of the target's service.
func (s *Server) followMeasureRate() {
	if rate := s.configuration.current().Services[s.target.service()].MeasureRate; rate > 0 {
		s.owner.SetMeasureRate(rate)
	}
}

// Commit makes an operator's change the next configuration.
func (s *Server) Commit(ctx context.Context, change config.Change) config.Outcome {
	return s.configuration.applier.Commit(ctx, change, s.placement())
}

// placement says in which failure domains each service has targets.
func (s *Server) placement() config.Placement {
	placement := make(config.Placement)
	for service, members := range s.overlay.Snapshot().ByService {
		for _, m := range members {
			if takesWork(m.Target) {
				placement[service] = append(placement[service], m.Domain)
			}
		}
	}
	return placement
}

// Targets returns the number of targets that this node knows of.
func (s *Server) Targets() int {
	count := 0
	for _, members := range s.overlay.Snapshot().ByService {
		for _, m := range members {
			if takesWork(m.Target) {
				count++
			}
		}
	}
	return count
}

// Revision returns the configuration that this node applies.
func (s *Server) Revision() model.Revision { return s.revision() }

// revisionBytes is the length of an announced revision.
const revisionBytes = 8

func encodeRevision(revision model.Revision) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(revision))
}

func decodeRevision(payload []byte) (model.Revision, bool) {
	if len(payload) != revisionBytes {
		return 0, false
	}
	return model.Revision(binary.BigEndian.Uint64(payload)), true
}
