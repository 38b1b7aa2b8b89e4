package server

import (
	"context"
	"sync"
	"sync/atomic"

	"zinniafall/node/peer"
	"zinniafall/policy/membership"
	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

// configurationDuty holds the snapshot that this node applies.
type configurationDuty struct {
	server   *Server
	snapshot atomic.Pointer[settings.Snapshot]

	mu      sync.Mutex
	changed chan struct{}
}

func newConfigurationDuty(s *Server) *configurationDuty {
	d := &configurationDuty{server: s, changed: make(chan struct{})}
	d.snapshot.Store(&settings.Snapshot{})
	return d
}

func (d *configurationDuty) start() {}
func (d *configurationDuty) stop()  {}

// current returns the snapshot that this node applies, never nil.
func (d *configurationDuty) current() *settings.Snapshot { return d.snapshot.Load() }

// apply puts a newer snapshot in force.
func (d *configurationDuty) apply(next *settings.Snapshot) {
	d.mu.Lock()
	if next.Revision > d.current().Revision {
		d.snapshot.Store(next)
		close(d.changed)
		d.changed = make(chan struct{})
	}
	d.mu.Unlock()
	d.server.configurationChanged()
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

func (d *configurationDuty) hear(model.Revision, model.NodeAddr) {}
func (d *configurationDuty) flooded(membership.Delivered)        {}
func (d *configurationDuty) membersChanged(*membership.Snapshot) {}
func (s *Server) serveConfiguration(stream *peer.Stream)         { stream.Fail() }

// configurationChanged makes the parts of the node follow the snapshot.
func (s *Server) configurationChanged() {
	s.owner.SetDomainOut(s.domainOut())
	service, _ := s.target.identity()
	if rate := s.configuration.current().Services[service].MeasureRate; rate > 0 {
		s.owner.SetMeasureRate(rate)
	}
	s.placeTargets(s.overlay.Snapshot())
}

// Apply puts a compiled configuration in force at this node.
func (s *Server) Apply(snapshot *settings.Snapshot) { s.configuration.apply(snapshot) }

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
