// Package overlay runs a node's membership view: one goroutine owns the View,
// takes packets and requests from bounded rings, ticks it every 100 ms and
// hands what it decides to the transport.
//
// The ring of inbound packets drops its oldest when it is full, because
// heartbeats and records come again. The ring of requests drops floods when it
// is full, which are best effort, and makes the callers of all else wait.
package overlay

import (
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"zinniafall/policy/membership"
	"zinniafall/policy/model"
)

const (
	// tickInterval is the time between two ticks of the View.
	tickInterval = 100 * time.Millisecond
	// changeInterval is the least time between two calls of OnChange in a small
	// fleet; memberInterval is added for each member, because a picture copies
	// all of them.
	changeInterval = 200 * time.Millisecond
	memberInterval = 150 * time.Microsecond
	// packetRing is the number of inbound packets that may wait.
	packetRing = 1024
	// requestRing is the number of requests that may wait.
	requestRing = 256
)

// Transport carries packets to other nodes. Its methods are called from the
// duty's goroutine.
type Transport interface {
	// Send queues a packet without blocking; false says that it was dropped.
	Send(to model.NodeAddr, payload []byte) bool
	// KeepConnections names the nodes to hold long-lived connections with, each time
	// they change.
	KeepConnections(nodes []model.NodeAddr)
}

// Options of a Duty. The functions may be nil; they are called from the
// duty's goroutine and must not block. Of the Duty's methods they may call
// Snapshot, Standing, SetRevision, Flood and FloodBorn, which do not wait.
type Options struct {
	// Self is the node's own record.
	Self membership.Member
	// Contacts are the nodes to join through; none makes this node the first.
	Contacts []model.NodeAddr
	// Transport carries the packets.
	Transport Transport
	// OnFlood takes each flooded message, exactly once.
	OnFlood func(membership.Message)
	// OnChange takes a new picture of the fleet: at most five times a second in
	// a small fleet, at most twice a second with 2,200 members.
	OnChange func(*membership.Snapshot)
	// OnPause is told that the process was paused. What it knew before is to
	// be doubted until Standing().CaughtUp.
	OnPause func()
	// OnSuperseded is told once that a later process has this node's address.
	// The node must stop.
	OnSuperseded func()
	// View holds the settings of the View.
	View membership.Options
}

// Status is the node's own place in the fleet.
type Status struct {
	// Joined and CaughtUp are those of the View.
	Joined   bool
	CaughtUp bool
	// Superseded is true once a later process has the node's address.
	Superseded bool
	// Self is the own record with its present incarnation.
	Self membership.Member
}

// packet is an inbound packet, or with no payload the news that a node could
// not be reached.
type packet struct {
	from    model.NodeAddr
	payload []byte
}

// request is a call that the duty's goroutine makes on the View.
type request struct {
	run  func(now time.Time) []membership.Outgoing
	done chan struct{}
}

// Runner owns a membership view.
type Runner struct {
	options  Options
	view     *membership.View
	packets  chan packet
	requests chan request
	stop     chan struct{}
	stopped  chan struct{}
	stopping atomic.Bool
	revision atomic.Uint64
	snapshot atomic.Pointer[membership.Snapshot]
	standing atomic.Pointer[Status]
	kept     []model.NodeAddr
	changed  time.Time
}

// Start joins the fleet and runs until Stop.
func Start(options Options) *Runner {
	d := &Runner{
		options:  options,
		view:     membership.New(options.Self, options.View),
		packets:  make(chan packet, packetRing),
		requests: make(chan request, requestRing),
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	d.snapshot.Store(d.view.Snapshot())
	d.standing.Store(&Status{Self: options.Self})
	go d.run()
	return d
}

// Deliver hands an inbound packet in and keeps the payload. When the ring is
// full the oldest packet is dropped.
func (d *Runner) Deliver(from model.NodeAddr, payload []byte) {
	d.push(packet{from: from, payload: payload})
}

// Unreachable notes that the transport could not reach a node.
func (d *Runner) Unreachable(node model.NodeAddr) { d.push(packet{from: node}) }

func (d *Runner) push(p packet) {
	for {
		select {
		case d.packets <- p:
			return
		default:
		}
		select {
		case <-d.packets:
			packetsDropped.Inc()
		default:
		}
	}
}

// Flood sends a message of at most membership.MaxFlood bytes, whose content
// was decided just now, to every other node. It does not wait; when too many
// requests wait already the message is dropped and counted.
func (d *Runner) Flood(topic membership.Topic, payload []byte, urgent bool) {
	d.FloodCreatedAt(time.Now(), topic, payload, urgent)
}

// FloodCreatedAt is Flood for a message whose content was decided at the time
// born. Receivers date it by that time.
func (d *Runner) FloodCreatedAt(born time.Time, topic membership.Topic, payload []byte, urgent bool) {
	run := func(now time.Time) []membership.Outgoing {
		return d.view.FloodCreatedAt(now, born, topic, payload, urgent)
	}
	select {
	case d.requests <- request{run: run, done: make(chan struct{})}:
	default:
		floodsDropped.Inc()
	}
}

// UpdateSelf changes the node's own record and returns when it is sent.
func (d *Runner) UpdateSelf(change func(*membership.Member)) {
	d.request(func(now time.Time) []membership.Outgoing { return d.view.UpdateSelf(now, change) })
}

// SetRevision tells which configuration the node applies, for surveys. It
// takes effect with the next tick.
func (d *Runner) SetRevision(revision model.Revision) {
	d.revision.Store(uint64(revision))
}

// Survey asks all nodes to answer as soon as they apply the revision.
func (d *Runner) Survey(revision model.Revision) uint64 {
	var id uint64
	d.request(func(now time.Time) []membership.Outgoing {
		var out []membership.Outgoing
		id, out = d.view.Survey(now, revision)
		return out
	})
	return id
}

// SurveyResult returns what a survey found so far; it is empty when the survey
// is unknown or has expired.
func (d *Runner) SurveyResult(id uint64) membership.SurveyResult {
	var result membership.SurveyResult
	d.request(func(time.Time) []membership.Outgoing {
		result, _ = d.view.SurveyResult(id)
		return nil
	})
	return result
}

// Leave marks the node as leaving: it gets nothing new and stays in the
// overlay until Stop.
func (d *Runner) Leave() {
	d.request(d.view.Leave)
}

// Snapshot returns the latest picture of the fleet.
func (d *Runner) Snapshot() *membership.Snapshot { return d.snapshot.Load() }

// Status returns the node's own place in the fleet.
func (d *Runner) Status() Status { return *d.standing.Load() }

// CaughtUp reports whether, since the start or the last pause, another node
// has compared its view with this one.
func (d *Runner) CaughtUp() bool { return d.Status().CaughtUp }

// Stop announces the departure and ends the goroutine. The transport must
// still carry the last packets. A second call waits for the first.
func (d *Runner) Stop() {
	if d.stopping.CompareAndSwap(false, true) {
		close(d.stop)
	}
	<-d.stopped
}

// request runs a call on the duty's goroutine and waits for it; after Stop it
// does nothing.
func (d *Runner) request(run func(now time.Time) []membership.Outgoing) {
	r := request{run: run, done: make(chan struct{})}
	select {
	case d.requests <- r:
	case <-d.stopped:
		return
	}
	select {
	case <-r.done:
	case <-d.stopped:
	}
}

func (d *Runner) run() {
	defer close(d.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	klog.Infof("overlay: %s joins through %d contacts", d.options.Self.Node, len(d.options.Contacts))
	d.act(d.view.Join(time.Now(), d.options.Contacts))
	for {
		select {
		case <-d.stop:
			d.send(d.view.Depart(time.Now()))
			klog.Infof("overlay: %s has left", d.options.Self.Node)
			return
		case p := <-d.packets:
			d.receive(p)
		case r := <-d.requests:
			d.act(r.run(time.Now()))
			close(r.done)
		case <-ticker.C:
			d.act(d.view.SetRevision(time.Now(), model.Revision(d.revision.Load())))
			d.act(d.view.Tick(time.Now()))
			d.publish()
		}
	}
}

func (d *Runner) receive(p packet) {
	if p.payload == nil {
		d.act(d.view.Unreachable(time.Now(), p.from))
		return
	}
	packetsIn.Inc()
	bytesIn.Add(len(p.payload))
	out, err := d.view.Receive(time.Now(), p.from, p.payload)
	if err != nil {
		packetsRefused.Inc()
		klog.V(1).Infof("overlay: refused a packet from %s: %v", p.from, err)
		return
	}
	d.act(out)
}

// act sends packets and hands flooded messages out.
func (d *Runner) act(out []membership.Outgoing) {
	d.send(out)
	for _, flood := range d.view.TakeFloods() {
		floodsIn.Inc()
		if d.options.OnFlood != nil {
			d.options.OnFlood(flood)
		}
	}
}

func (d *Runner) send(out []membership.Outgoing) {
	for _, p := range out {
		if !d.options.Transport.Send(p.To, p.Payload) {
			sendsDropped.Inc()
			continue
		}
		packetsOut.Inc()
		bytesOut.Add(len(p.Payload))
	}
}
