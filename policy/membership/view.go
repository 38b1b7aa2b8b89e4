package membership

import (
	"time"

	"zinniafall/policy/model"
)

// Outgoing is a packet for another node. The transport may lose it.
type Outgoing struct {
	To      model.NodeAddr
	Payload []byte
}

// Topic tells the readers of flooded messages apart.
type Topic uint8

// The topics of flooded messages.
const (
	// TopicConfiguration announces a configuration revision.
	TopicConfiguration Topic = iota + 1
	// TopicBeacon carries freshness beacons of the store's watchers.
	TopicBeacon
	// TopicQuarantine announces quarantined requests.
	TopicQuarantine
)

// Delivered is a flooded message for the node.
type Delivered struct {
	// Origin flooded the message; Incarnation is that of its process.
	Origin      model.NodeAddr
	Incarnation model.Incarnation
	// Sequence numbers the floods of one incarnation from 1.
	Sequence uint64
	Topic    Topic
	// Age is at least the time that passed between Flood and Receive. It
	// holds whatever relays were paused; it is UnknownAge when a link on the
	// way had not measured its peer's clock yet.
	Age     time.Duration
	Payload []byte
}

// Snapshot is an immutable picture of the fleet.
type Snapshot struct {
	// Revision rises with each change of the picture.
	Revision uint64
	// Members holds the members that are alive or leaving, sorted by address.
	Members []Member
	// ByService holds the alive members that have a target of the service.
	ByService map[model.Service][]Member
}

// Options are the settings of a View; a zero value means the default.
type Options struct {
	// Seed of the random choices.
	Seed uint64
	// BytesPerSecond paces what the node sends, packet overhead included.
	BytesPerSecond int // default 11,000
}

// View is one node's picture of the fleet.
type View struct {
	self Member
}

// New returns a view that knows only the node itself.
func New(self Member, _ Options) *View { return &View{self: self} }

// Join starts joining through the contacts.
func (v *View) Join(now time.Time, contacts []model.NodeAddr) []Outgoing { return nil }

// Receive takes a packet in.
func (v *View) Receive(now time.Time, from model.NodeAddr, payload []byte) ([]Outgoing, error) {
	return nil, nil
}

// Unreachable notes that the transport could not reach a node.
func (v *View) Unreachable(now time.Time, node model.NodeAddr) []Outgoing { return nil }

// Tick does what is due.
func (v *View) Tick(now time.Time) []Outgoing { return nil }

// UpdateSelf changes the node's own record.
func (v *View) UpdateSelf(now time.Time, change func(*Member)) []Outgoing {
	change(&v.self)
	return nil
}

// Leave marks the node as leaving; it still carries what it runs.
func (v *View) Leave(now time.Time) []Outgoing { return nil }

// Depart announces that the node's process ends now.
func (v *View) Depart(now time.Time) []Outgoing { return nil }

// Flood sends a message to every node.
func (v *View) Flood(now time.Time, topic Topic, payload []byte, urgent bool) []Outgoing { return nil }

// TakeFloods returns the flooded messages that arrived since the last call.
func (v *View) TakeFloods() []Delivered { return nil }

// Snapshot returns the present picture.
func (v *View) Snapshot() *Snapshot { return &Snapshot{Members: []Member{v.self}} }

// Neighbors returns the nodes to keep connections with.
func (v *View) Neighbors() []model.NodeAddr { return nil }

// Self returns the node's own record.
func (v *View) Self() Member { return v.self }

// Joined reports whether the view has been copied from another node.
func (v *View) Joined() bool { return false }

// TakePause returns the longest pause of this process that Tick noticed since
// the last call, 0 for none. What the node knew before is to be doubted until
// CaughtUp.
func (v *View) TakePause() time.Duration { return 0 }

// CaughtUp reports whether, since the start or the last pause, a neighbour
// has compared its view with this one.
func (v *View) CaughtUp() bool { return false }

// Superseded reports whether a later process has taken this node's address.
func (v *View) Superseded() bool { return false }
