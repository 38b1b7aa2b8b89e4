package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"zinniafall/policy/model"
)

const (
	// batchInterval is the time between two flushes of queued records, floods and
	// survey answers, which share packets.
	batchInterval = 200 * time.Millisecond
	// sweepInterval is the time between two removals of expired state.
	sweepInterval = 10 * time.Second
	// linkTTL is how long the state of a silent node that is no neighbor is kept.
	linkTTL = 30 * time.Second
	// maxLinks limits the nodes whose state is kept; neighbors may exceed it.
	maxLinks = 1024
	// joinTimeout is how long a joining node waits for an answer before it takes
	// itself for the first of its fleet.
	joinTimeout = 3 * time.Second
)

// Outgoing is a packet to be sent to another node. The transport may drop it.
type Outgoing struct {
	To      model.NodeAddr
	Payload []byte
}

// Stats holds the counters of a View.
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

// View is one node's view of the fleet. It is driven by its caller: it opens no
// connections, starts no goroutines and is not safe for concurrent use.
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
	suspicions   map[model.NodeAddr]*suspicion
	snapshot     *Snapshot

	contacts      []model.NodeAddr
	joinStarted   time.Time
	joined        bool
	superseded    bool
	caughtUp      bool
	caughtUpSince uint64
	lastBegin     time.Time // when begin was last called
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

// New returns a view that contains only the node itself.
func New(self Member, options Options) *View {
	options = options.withDefaults()
	table := newTable()
	table.apply(time.Time{}, self)
	return &View{
		options:    options,
		self:       self,
		table:      table,
		random:     rand.New(rand.NewPCG(options.Seed, key(self.Node))),
		links:      make(map[model.NodeAddr]*link),
		suspicions: make(map[model.NodeAddr]*suspicion),
		floods:     newFloods(),
		surveys:    newSurveys(),
	}
}

// begin is called first in each exported method that takes the time.
func (v *View) begin(now time.Time) {
	if v.clock.start.IsZero() {
		v.start(now)
	}
	v.detectPause(now)
}

// start sets the start of the clock and schedules the first periodic tasks with
// jitter. The first call of begin runs it.
func (v *View) start(now time.Time) {
	v.clock.start = now
	v.lastBegin = now
	v.pacer = newPacer(v.options.BytesPerSecond, now)
	v.nextSync = now.Add(jitter(v.random, v.options.SyncInterval))
	v.nextProbe = now.Add(jitter(v.random, v.options.ProbeInterval))
	v.nextSweep = now.Add(jitter(v.random, sweepInterval))
}

// finish returns the packets to send and clears the list.
func (v *View) finish() []Outgoing {
	out := v.out
	v.out = nil
	return out
}

// Self returns the node's own record.
func (v *View) Self() Member { return v.self }

// Stats returns the current counters.
func (v *View) Stats() Stats {
	s := v.stats
	for _, l := range v.links {
		s.QueuedRecords += len(l.outbox.queue)
	}
	return s
}

// Neighbors returns the nodes to keep connections with.
func (v *View) Neighbors() []model.NodeAddr { return slices.Clone(v.neighbors) }

// Joined reports whether another node has compared its view with this one and
// found almost nothing missing, or no contact answered within joinTimeout.
func (v *View) Joined() bool { return v.joined }

// CaughtUp reports whether, since the start or the last pause of the process,
// another node has compared its view with this one and found almost nothing
// missing.
func (v *View) CaughtUp() bool { return v.caughtUp }

// Superseded reports whether a later process has taken this node's address. The
// node must then stop.
func (v *View) Superseded() bool { return v.superseded }

// Tick runs the periodic work. Call it every 100 ms.
func (v *View) Tick(now time.Time) []Outgoing {
	v.begin(now)
	v.pacer.refill(now)
	v.refreshNeighbors(now)
	v.heartbeat(now)
	v.detectFailures(now)
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

// UpdateSelf changes the node's own record and sends it to the fleet. Changes of
// the address, process, incarnation and version are discarded; the View manages
// these.
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

// Leave marks the node as leaving: it gets no new calls and stays in the overlay
// while it finishes the running ones.
func (v *View) Leave(now time.Time) []Outgoing {
	return v.UpdateSelf(now, func(m *Member) { m.Status = Leaving })
}

// Depart announces that the node's process is about to exit.
func (v *View) Depart(now time.Time) []Outgoing {
	return v.UpdateSelf(now, func(m *Member) { m.Status, m.Left = Gone, true })
}

// publishSelf gives the node's own record a new version and sends it to the
// neighbors at once.
func (v *View) publishSelf(now time.Time) {
	v.self.Version++
	v.table.apply(now, v.self)
	v.enqueue(now, v.self.Node, "")
	v.flushRecords(now)
}

// handleOwnRecord processes a record of this node's address received from another
// node. A record of this process that overrides its own, as when it was declared
// dead, is refuted by a higher version.
func (v *View) handleOwnRecord(now time.Time, m Member) {
	if compare(&m, &v.self) <= 0 || v.self.Left {
		return
	}
	if m.Process != v.self.Process {
		v.handleOtherProcess(now, m)
		return
	}
	v.stats.Refutations++
	v.self.Version = max(v.self.Version, m.Version)
	v.publishSelf(now)
}

// handleOtherProcess handles a later record of another process at this node's
// address. A joined node is superseded by that process. A node that has not
// joined yet is the later one, with a clock that was behind when it chose its
// incarnation, and raises it.
func (v *View) handleOtherProcess(now time.Time, m Member) {
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
		if !l.neighbor && now.Sub(l.lastReceived) > linkTTL {
			delete(v.links, node)
		}
	}
	v.surveys.sweep(now)
}
