// Package overlay drives a node's membership view.
package overlay

import (
	"zinniafall/policy/membership"
	"zinniafall/policy/model"
)

// Transport carries packets to other nodes.
type Transport interface {
	// Send queues a packet without blocking; false says that it was dropped.
	Send(to model.NodeAddr, payload []byte) bool
	// Keep names the nodes to hold long-lived connections with.
	Keep(nodes []model.NodeAddr)
}

// Options of a Duty; a zero value means the default.
type Options struct {
	Self      membership.Member
	Contacts  []model.NodeAddr
	Transport Transport
	// OnFlood is called from the duty's goroutine for each flooded message.
	OnFlood func(membership.Delivered)
	// OnChange is called from the duty's goroutine after each change.
	OnChange func(*membership.Snapshot)
	// OnPause is called when the process finds that it was paused.
	OnPause func()
	View    membership.Options
}

// Duty owns a membership view.
type Duty struct{}

// Start joins the fleet and runs until Stop.
func Start(Options) *Duty { return &Duty{} }

// Deliver hands an inbound packet in.
func (d *Duty) Deliver(from model.NodeAddr, payload []byte) {}

// Unreachable notes that the transport could not reach a node.
func (d *Duty) Unreachable(node model.NodeAddr) {}

// Flood sends a message to every node.
func (d *Duty) Flood(topic membership.Topic, payload []byte, urgent bool) {}

// UpdateSelf changes the node's own record.
func (d *Duty) UpdateSelf(change func(*membership.Member)) {}

// Leave marks the node as leaving.
func (d *Duty) Leave() {}

// Snapshot returns the latest picture.
func (d *Duty) Snapshot() *membership.Snapshot { return nil }

// CaughtUp reports whether the view was compared with a neighbour's.
func (d *Duty) CaughtUp() bool { return false }

// Stop announces the departure and ends the goroutine.
func (d *Duty) Stop() {}
