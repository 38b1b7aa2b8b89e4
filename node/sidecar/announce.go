package sidecar

import (
	"fmt"
	"net/netip"
	"time"

	"zinniafall/policy/dispatch"
	"zinniafall/policy/model"
)

const (
	// maxHealthAge is the age up to which a health answer shows which target has the address,
	// and an unhealthy one makes an announcement suspect. suspectPeriod is how long it stays
	// suspect: announcements come every second or two, and delayed ones arrive together.
	maxHealthAge  = time.Second
	suspectPeriod = time.Second
	// announcementWait is how long a target that replaces another one may be known by its health
	// answers before it is used without an announcement: its first one names its service.
	announcementWait = 1500 * time.Millisecond
	// maxVersionBytes bounds the length of the version that a target may announce.
	maxVersionBytes = 256
	// maxSlots bounds the number of slots that a target may announce.
	maxSlots = 10_000
)

// Announcement is the state that a target reports about itself.
type Announcement struct {
	ID      string
	Address string
	Service model.Service
	// Version is the version of the target, or "" if it states none.
	Version string
	Slots   int
	// Draining is true when the target is about to stop.
	Draining bool
	// ColdLeft is the remaining time for which the target is cold.
	ColdLeft time.Duration
	// Sequence increases with each announcement of one process.
	Sequence int64
	// Born is the start of the target's process, in Unix milliseconds.
	Born int64
}

// healthAnswer identifies the target that a health answer came from.
type healthAnswer struct {
	id string
	at time.Time
}

// isRecent reports whether there is an answer that is no older than maxHealthAge.
func (h healthAnswer) isRecent() bool { return h.id != "" && time.Since(h.at) < maxHealthAge }

// recordAnnouncement applies an announcement. It returns an error if the announcement is
// invalid, and ErrDepartureNotStored if it is that of a departure and the store does not have
// it yet. Stale announcements are ignored without an error.
func (t *target) recordAnnouncement(a Announcement) error {
	if a.Service != t.ownService() {
		_ = t.node.RefreshSettings() // they may name another service since the last read
	}
	if err := t.validate(a); err != nil {
		t.node.log.Warn("announcement rejected", "part", "target", "target", a.ID, "error", err.Error())
		return err
	}
	t.applyAnnouncement(a)
	t.mu.Lock()
	departs := a.Draining && t.withdrawn(a.ID, a.Born)
	t.mu.Unlock()
	if !departs {
		return nil
	}
	return t.confirmDeparture(a.ID, a.Born)
}

func (t *target) applyAnnouncement(a Announcement) {
	t.mu.Lock()
	if t.isStale(a) {
		newestStartMs, newestSequence, shown := t.newestStartMs, t.sequence, t.shown.id
		t.keepUnconfirmed(a)
		t.mu.Unlock()
		t.node.log.Info("announcement not applied", "part", "target", "target", a.ID, "born", a.Born, "sequence", a.Sequence,
			"draining", a.Draining, "newest_born", newestStartMs, "newest_sequence", newestSequence, "health_shows", shown)
		return
	}
	if a.Draining && !t.withdrawn(a.ID, a.Born) {
		t.keepWithdrawal(a.ID, a.Born)
	}
	isNew := a.ID != t.id || a.Born != t.startedMs
	a.Draining = a.Draining || t.isLeaving(a, isNew)
	foundBefore := t.id == a.ID && t.foundByHealth
	restarted := t.id != "" && isNew && !foundBefore
	wasLeaving := t.leaving
	t.foundByHealth = false
	t.id, t.startedMs, t.newestStartMs, t.sequence = a.ID, a.Born, a.Born, a.Sequence
	t.service, t.version, t.slots = a.Service, a.Version, a.Slots
	t.leaving = a.Draining
	if t.addr != a.Address {
		t.addr = a.Address
		t.replacePools()
	} else if restarted {
		t.replacePools()
	}
	t.mu.Unlock()
	if isNew || wasLeaving != a.Draining {
		t.node.log.Info("target announced", "part", "target", "target", a.ID, "service", a.Service, "slots", a.Slots,
			"draining", a.Draining, "cold_left_ms", a.ColdLeft.Milliseconds(), "born", a.Born, "sequence", a.Sequence, "known_before", foundBefore)
	}
	t.applyState(a.ColdLeft)
}

// isLeaving reports whether a target that announces itself as ready is leaving
// nevertheless. A restarted node has no record of withdrawals sent to its
// predecessor, and the announcement may be delayed. If the target's own health
// answer says that it is not ready, the node waits for a later announcement.
// isNew is true if the last announcement was of another process. The caller must
// hold t.mu.
func (t *target) isLeaving(a Announcement, isNew bool) bool {
	if t.withdrawn(a.ID, a.Born) || t.mayHaveLeft(a.ID) {
		return true
	}
	now := time.Now()
	switch {
	case isNew && t.lastUnhealthy.id == a.ID && now.Sub(t.lastUnhealthy.at) < maxHealthAge:
		t.suspectSince = now
	case isNew:
		t.suspectSince = time.Time{}
	}
	if t.suspectSince.IsZero() {
		return false
	}
	if now.Sub(t.suspectSince) < suspectPeriod {
		return true
	}
	t.suspectSince = time.Time{}
	return false
}

// isStale reports whether an announcement is that of another process than the target. The
// health answers show which process has the address. The starts that announcements state
// decide only between processes of one ID, and where no health answer is recent: they are
// times of day, which may jump. The caller must hold t.mu.
func (t *target) isStale(a Announcement) bool {
	switch {
	case a.ID == t.id && a.Born == t.startedMs && !t.foundByHealth:
		return a.Sequence <= t.sequence
	case a.ID == t.id:
		return a.Born < t.startedMs
	case t.shown.isRecent():
		return a.ID != t.shown.id
	case t.foundByHealth:
		return a.Born <= t.newestStartMs
	}
	return a.Born < t.newestStartMs
}

// keepUnconfirmed keeps an announcement that was not applied, since the next health answer may
// show that it is the target's. A departure binds whether the target is known or not. The
// caller must hold t.mu.
func (t *target) keepUnconfirmed(a Announcement) {
	if a.ID == t.id && !a.Draining {
		return // an earlier state of the target
	}
	if a.Draining && a.ID != t.id && !t.withdrawn(a.ID, a.Born) {
		t.keepWithdrawal(a.ID, a.Born)
	}
	t.unconfirmed = a
	t.probeNow()
}

// confirm returns the announcement that a health answer of a target shows to be that of the
// process which answers, if there is one. departs is true if it is one of the ID that the
// target has, which states an earlier start and that it drains, as the answer does: the start
// is wrong then. The caller must hold t.mu.
func (t *target) confirm(id string, healthy bool) (a Announcement, confirmed, departs bool) {
	if a = t.unconfirmed; a.ID != id || id == "" {
		return a, false, false
	}
	t.unconfirmed = Announcement{}
	if id != t.id {
		return a, true, false
	}
	if healthy || a.Born >= t.startedMs {
		return a, false, false
	}
	t.leaving = true
	t.keepWithdrawal(id, a.Born)
	t.node.owner.setGate(dispatch.GateDraining, true)
	return a, false, true
}

// validate returns an error if the announcement cannot come from a target on
// this VM or does not fit the configuration.
func (t *target) validate(a Announcement) error {
	own, err := netip.ParseAddrPort(t.node.settings.Target)
	if err != nil {
		return err
	}
	addr, err := netip.ParseAddrPort(a.Address)
	switch {
	case err != nil:
		return fmt.Errorf("address %q is not ip:port", a.Address)
	case addr.Addr() != own.Addr():
		return fmt.Errorf("address %s is not on this VM", a.Address)
	case a.ID == "":
		return fmt.Errorf("the target's id is missing")
	case len(a.Version) > maxVersionBytes:
		return fmt.Errorf("the version has %d bytes; state at most %d", len(a.Version), maxVersionBytes)
	case a.Slots < 1 || a.Slots > maxSlots:
		return fmt.Errorf("%d slots are stated; state 1 to %d", a.Slots, maxSlots)
	case a.Service != t.ownService():
		return fmt.Errorf("service %q is not that of this VM, %q", a.Service, t.ownService())
	}
	if table := t.node.configuration.current(); table != nil {
		if _, ok := table.Services[a.Service]; !ok {
			return fmt.Errorf("service %q is not configured", a.Service)
		}
	}
	return nil
}

// recordWithdrawal records that a target is gone or about to go. startedMs is 0 if
// it was not stated. The gate is closed only if the target is the current one. It returns the
// latest time at which the process can have started.
func (t *target) recordWithdrawal(id string, startedMs int64) (latestStartMs int64) {
	t.mu.Lock()
	// The present process may have started after the one that was announced last.
	isCurrent := id == t.id && (startedMs == 0 || startedMs >= t.startedMs)
	if isCurrent {
		t.leaving = true
		t.node.owner.setGate(dispatch.GateDraining, true)
	}
	if id == t.id && !isCurrent { // or its clock was ahead when the target stated its start
		t.unconfirmed = Announcement{ID: id, Born: startedMs, Draining: true}
		t.probeNow()
	}
	latestStartMs = startedMs
	if latestStartMs == 0 && isCurrent && !t.foundByHealth {
		latestStartMs = t.startedMs
	}
	if latestStartMs == 0 {
		latestStartMs = time.Now().UnixMilli()
	}
	t.keepWithdrawal(id, latestStartMs)
	t.mu.Unlock()
	t.node.log.Info("target withdrew", "part", "target", "target", id, "born", startedMs, "current", isCurrent)
	if isCurrent {
		t.publishState()
	}
	return latestStartMs
}
