package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"zinniafall/policy/model"
)

const (
	// batchInterval is how long records and floods that are not urgent wait
	// for others to share a packet with.
	batchInterval = 200 * time.Millisecond
	// sweepInterval is the time between two clean-ups of old state.
	sweepInterval = 10 * time.Second
	// linkLife is how long a node that is no neighbor is remembered.
	linkLife = 30 * time.Second
	// maxLinks bounds the nodes remembered beside the neighbors.
	maxLinks = 1024
	// aloneAfter is how long a joining node waits for an answer before it
	// takes itself for the first.
	aloneAfter = 3 * time.Second
)

// Outgoing is a packet for another node. The transport may lose it.
type Outgoing struct {
	To      model.NodeAddr
	Payload []byte
}

// Stats counts what a View did since it was made.
type Stats struct {
	PacketsOut    uint64
	BytesOut      uint64
	StalePackets  uint64
	DroppedFloods uint64
	DeadDeclared  uint64
	Refutations   uint64
	Heals         uint64
	QueuedRecords int
}

// View is one node's picture of the fleet.
type View struct {
	options Options
	self    Member
	table   *table
	random  *rand.Rand
	pacer   pacer
	clock   clock
	stats   Stats

	links        map[model.NodeAddr]*link
	neighbors    []model.NodeAddr
	ringRevision uint64
	votes        map[model.NodeAddr]*ballot
	snapshot     *Snapshot

	contacts      []model.NodeAddr
	joinStarted   time.Time
	joined        bool
	superseded    bool
	caughtUp      bool
	caughtUpSince uint64
	lastCall      time.Time
	pause         time.Duration

	nextJoin  time.Time
	nextFlush time.Time
	nextSync  time.Time
	nextProbe time.Time
	nextSweep time.Time

	heal    heal
	floods  floods
	surveys surveys

	out []Outgoing
}

// New returns a view that knows only the node itself.
func New(self Member, options Options) *View {
	options = options.withDefaults()
	records := newTable()
	records.apply(time.Time{}, self)
	return &View{
		options: options,
		self:    self,
		table:   records,
		random:  rand.New(rand.NewPCG(options.Seed, key(self.Node))),
		links:   make(map[model.NodeAddr]*link),
		votes:   make(map[model.NodeAddr]*ballot),
		floods:  newFloods(),
		surveys: newSurveys(),
	}
}

// begin starts each call from outside.
func (v *View) begin(now time.Time) {
	if v.clock.start.IsZero() {
		v.start(now)
	}
	v.observeTime(now)
}

func (v *View) start(now time.Time) {
	v.clock.start = now
	v.lastCall = now
	v.pacer = newPacer(v.options.BytesPerSecond, now)
	v.nextSync = now.Add(jitter(v.random, v.options.SyncInterval))
	v.nextProbe = now.Add(jitter(v.random, v.options.ProbeInterval))
	v.nextSweep = now.Add(jitter(v.random, sweepInterval))
}

// finish ends each call from outside and returns what is to be sent.
func (v *View) finish() []Outgoing {
	out := v.out
	v.out = nil
	return out
}

// Self returns the node's own record.
func (v *View) Self() Member { return v.self }

// Stats returns the counters.
func (v *View) Stats() Stats {
	s := v.stats
	for _, l := range v.links {
		s.QueuedRecords += len(l.outbox.queue)
	}
	return s
}

// Neighbors returns the nodes to keep connections with.
func (v *View) Neighbors() []model.NodeAddr { return slices.Clone(v.neighbors) }

// Joined reports whether a contact has compared its view with this one, or no
// contact answered for a few seconds.
func (v *View) Joined() bool { return v.joined }

// CaughtUp reports whether, since the start or the last pause, another node
// has compared its view with this one and found almost nothing missing.
func (v *View) CaughtUp() bool { return v.caughtUp }

// Superseded reports whether a later process has taken this node's address.
// The node must stop.
func (v *View) Superseded() bool { return v.superseded }

// Tick does what is due. Call it every 100 ms.
func (v *View) Tick(now time.Time) []Outgoing {
	v.begin(now)
	v.pacer.refill(now)
	v.refreshNeighbors(now)
	v.heartbeat(now)
	v.detect(now)
	v.refreshNeighbors(now)
	v.retryJoin(now)
	v.syncIfDue(now)
	v.probeIfDue(now)
	v.refreshIfDue(now)
	v.sweepIfDue(now)
	if !now.Before(v.nextFlush) {
		v.nextFlush = now.Add(batchInterval)
		v.flushFloods(now)
		v.flushAnswers(now)
		v.flushRecords(now)
	}
	return v.finish()
}

// UpdateSelf changes the node's own record and tells the fleet. The address,
// process, incarnation and version are the View's to change.
func (v *View) UpdateSelf(now time.Time, change func(*Member)) []Outgoing {
	v.begin(now)
	changed := v.self
	change(&changed)
	changed.Node, changed.Process = v.self.Node, v.self.Process
	changed.Incarnation, changed.Version = v.self.Incarnation, v.self.Version
	if changed != v.self {
		v.self = changed
		v.publishSelf(now)
	}
	return v.finish()
}

// Leave marks the node as leaving: it gets nothing new and still takes part
// in the overlay while it finishes what runs.
func (v *View) Leave(now time.Time) []Outgoing {
	return v.UpdateSelf(now, func(m *Member) { m.Status = Leaving })
}

// Depart announces that the node's process ends now.
func (v *View) Depart(now time.Time) []Outgoing {
	return v.UpdateSelf(now, func(m *Member) { m.Status, m.Left = Gone, true })
}

// publishSelf gives the own record a new version and sends it to the
// neighbors at once.
func (v *View) publishSelf(now time.Time) {
	v.self.Version++
	v.table.apply(now, v.self)
	v.enqueue(now, v.self.Node, "")
	v.flushRecords(now)
}

// onSelf takes in a record of the own address that another node holds.
func (v *View) onSelf(now time.Time, m Member) {
	if compare(&m, &v.self) <= 0 || v.self.Left {
		return
	}
	if m.Process != v.self.Process {
		v.onOtherProcess(now, m)
		return
	}
	v.stats.Refutations++
	v.self.Version = max(v.self.Version, m.Version)
	v.publishSelf(now)
}

// onOtherProcess meets another process at the own address. Before it has
// joined, a process whose clock ran behind raises its incarnation; later the
// other process must be a replacement.
func (v *View) onOtherProcess(now time.Time, m Member) {
	if v.joined {
		v.superseded = true
		return
	}
	v.self.Incarnation = m.Incarnation + 1
	v.publishSelf(now)
}

func (v *View) sweepIfDue(now time.Time) {
	if now.Before(v.nextSweep) {
		return
	}
	v.nextSweep = now.Add(sweepInterval)
	for _, r := range v.table.expire(now.Add(-v.options.TombstoneTTL)) {
		v.floods.forget(r.Node)
	}
	for node, l := range v.links {
		if !l.neighbor && now.Sub(l.heard) > linkLife {
			delete(v.links, node)
		}
	}
	v.surveys.sweep(now)
}
