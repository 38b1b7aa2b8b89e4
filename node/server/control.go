package server

import (
	"time"

	"zinniafall/policy/membership"
)

const (
	// controlPause is the longest time between two looks of the control duty.
	// Each call looks again itself right before it starts.
	controlPause = 250 * time.Millisecond
	// expirePause is the time between looks for expired request keys.
	expirePause = time.Second
)

// controlDuty keeps the owner's view of this node's standing up to date and
// floods the beacons of a watcher.
func (s *Server) controlDuty() {
	timer := time.NewTicker(controlPause)
	defer timer.Stop()
	expired := time.Now()
	fresh := false
	s.owner.SetFresh(fresh)
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-timer.C:
		case <-s.judge.wake:
		}
		now := time.Now()
		if next := s.judge.fresh(); next != fresh {
			fresh = next
			s.owner.SetFresh(fresh)
		}
		if s.configuration.watching.Load() {
			s.speak(now)
		}
		if now.Sub(expired) >= expirePause {
			expired = now
			s.entry.Expire()
		}
	}
}

// speak floods the beacon of a watcher when one is due.
func (s *Server) speak(now time.Time) {
	if payload, ok := s.judge.due(); ok {
		s.overlay.FloodCreatedAt(now, membership.TopicBeacon, payload, true)
	}
}
