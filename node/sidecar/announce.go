package sidecar

import (
	"fmt"
	"net/netip"
	"time"

	"zinniafall/policy/dispatch"
	"zinniafall/policy/model"
)

const (
	// unhealthyAge is the age up to which a health answer casts doubt on an
	// announcement, and doubtTime how long the doubt lasts: announcements come
	// every second or two, and late ones together.
	unhealthyAge = time.Second
	doubtTime    = time.Second
	// maxWithdrawn bounds the withdrawals that are remembered.
	maxWithdrawn = 64
	// maxSlots bounds what a target may state.
	maxSlots = 10_000
)

// Announcement is what a target says of itself.
type Announcement struct {
	ID      string
	Address string
	Service model.Service
	Slots   int
	// Draining is true when the target is about to leave.
	Draining bool
	// ColdLeft is how long the target stays cold.
	ColdLeft time.Duration
	// Sequence rises with each announcement of one process.
	Sequence int64
	// Born is the start of the target's process, in Unix milliseconds.
	Born int64
}

// withdrawal is the word of a target that it leaves at once.
type withdrawal struct {
	// born is the start of its process, or the latest that it can be when it
	// was not stated, in Unix milliseconds.
	born int64
}

// unhealthyReport is the last health answer of a target that says it is not ready.
type unhealthyReport struct {
	id string
	at time.Time
}

// announce takes an announcement. It returns why it was not taken.
func (t *target) announce(a Announcement) error {
	if err := t.check(a); err != nil {
		t.node.log.Warn("announcement rejected", "part", "target", "target", a.ID, "error", err.Error())
		return err
	}
	t.mu.Lock()
	if t.old(a) {
		born, sequence := t.born, t.sequence
		t.mu.Unlock()
		t.node.log.Info("old announcement ignored", "part", "target", "target", a.ID, "born", a.Born, "sequence", a.Sequence,
			"newest_born", born, "newest_sequence", sequence)
		return nil
	}
	fresh := a.ID != t.id || a.Born != t.born
	a.Draining = a.Draining || t.leaves(a, fresh)
	known := t.id == a.ID && t.found
	restarted := t.id != "" && fresh && !known
	wasLeaving := t.left
	t.found = false
	t.id, t.born, t.sequence = a.ID, a.Born, a.Sequence
	t.service, t.slots = a.Service, a.Slots
	t.left = a.Draining
	if t.addr != a.Address {
		t.addr = a.Address
		t.connect()
	} else if restarted {
		t.connect()
	}
	t.mu.Unlock()
	if fresh || wasLeaving != a.Draining {
		t.node.log.Info("target announced", "part", "target", "target", a.ID, "service", a.Service, "slots", a.Slots,
			"draining", a.Draining, "cold_left_ms", a.ColdLeft.Milliseconds(), "born", a.Born, "sequence", a.Sequence, "known_before", known)
	}
	t.follow(a.ColdLeft, a.Draining)
	return nil
}

// leaves reports whether a target that announces itself as ready has said
// otherwise. A node that has just started does not know what its predecessor
// was told, and the announcement may be late: when the target's own health says
// that it is not ready, only a later announcement is believed.
func (t *target) leaves(a Announcement, fresh bool) bool {
	if w, ok := t.withdrawn[a.ID]; ok && a.Born <= w.born {
		return true
	}
	now := time.Now()
	switch {
	case fresh && t.unhealthy.id == a.ID && now.Sub(t.unhealthy.at) < unhealthyAge:
		t.doubted = now
	case fresh:
		t.doubted = time.Time{}
	}
	if t.doubted.IsZero() {
		return false
	}
	if now.Sub(t.doubted) < doubtTime {
		return true
	}
	t.doubted = time.Time{}
	return false
}

// old reports an announcement that was overtaken by a later one or by a later
// target at the address.
func (t *target) old(a Announcement) bool {
	switch {
	case a.ID == t.id && t.found:
		return a.Born < t.born
	case a.Born == t.born && a.ID == t.id:
		return a.Sequence <= t.sequence
	case t.found:
		return a.Born <= t.born
	}
	return a.Born < t.born
}

func (t *target) check(a Announcement) error {
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
	case a.Slots < 1 || a.Slots > maxSlots:
		return fmt.Errorf("%d slots are stated; state 1 to %d", a.Slots, maxSlots)
	}
	if table := t.node.configuration.current(); table != nil {
		if _, ok := table.Services[a.Service]; !ok {
			return fmt.Errorf("service %q is not configured", a.Service)
		}
	}
	return nil
}

// withdraw takes the word of a target that it is gone or about to go.
func (t *target) withdraw(id string, born int64) {
	t.mu.Lock()
	mine := id == t.id && (born == 0 || t.born == 0 || born == t.born)
	if mine {
		t.left = true
	}
	until := born
	if until == 0 && mine {
		until = t.born
	}
	if until == 0 {
		until = time.Now().UnixMilli()
	}
	if len(t.withdrawn) >= maxWithdrawn {
		clear(t.withdrawn)
	}
	t.withdrawn[id] = withdrawal{born: until}
	t.mu.Unlock()
	t.node.log.Info("target withdrew", "part", "target", "target", id, "born", born, "current", mine)
	if mine {
		t.node.owner.gate(dispatch.GateDraining, true)
		t.tell()
	}
}
