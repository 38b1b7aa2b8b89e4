package server

import (
	"time"

	"zinniafall/policy/membership"
)

const (
	// controlInterval is the longest time between two passes of the control
	// loop. Each call checks freshness itself right before it starts.
	controlInterval = 250 * time.Millisecond
	// keyExpiryInterval is the time between two removals of expired request
	// keys.
	keyExpiryInterval = time.Second
)

// controlLoop keeps the owner informed of whether this node is fresh, floods
// beacons while this node is a watcher, and expires request keys.
func (s *Server) controlLoop() {
	timer := time.NewTicker(controlInterval)
	defer timer.Stop()
	lastExpiry := time.Now()
	fresh := false
	s.owner.SetFresh(fresh)
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-timer.C:
		case <-s.freshnessTracker.wake:
		}
		now := time.Now()
		if next := s.freshnessTracker.fresh(); next != fresh {
			fresh = next
			s.owner.SetFresh(fresh)
		}
		if s.configuration.watching.Load() {
			s.floodBeacon(now)
		}
		if now.Sub(lastExpiry) >= keyExpiryInterval {
			lastExpiry = now
			s.entry.ExpireKeys()
		}
	}
}

// floodBeacon floods a watcher's beacon when one is due.
func (s *Server) floodBeacon(now time.Time) {
	if payload, ok := s.freshnessTracker.dueBeacon(); ok {
		s.overlay.FloodCreatedAt(now, membership.TopicBeacon, payload, true)
	}
}
