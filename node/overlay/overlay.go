// Package overlay runs a node's membership view. One goroutine owns the
// membership.View: it takes packets and requests from bounded queues, ticks the
// view every 100 ms and passes outgoing packets to the transport.
//
// When the queue of inbound packets is full, the oldest packet is dropped,
// because heartbeats and records are sent repeatedly. When the queue of
// requests is full, floods are dropped, because they are best effort, and the
// callers of other requests wait.
package overlay

import (
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"zinniafall/policy/membership"
	"zinniafall/policy/model"
)

const (
	// tickInterval is the time between two ticks of the view.
	tickInterval = 100 * time.Millisecond
	// changeInterval plus changeIntervalPerMember for each member is the minimum
	// time between two calls of OnChange. It grows with the fleet because a
	// snapshot copies all members.
	changeInterval          = 200 * time.Millisecond
	changeIntervalPerMember = 150 * time.Microsecond
	// packetQueueSize is the capacity of the queue of inbound packets.
	packetQueueSize = 1024
	// requestQueueSize is the capacity of the queue of requests.
	requestQueueSize = 256
)

// Transport sends packets to other nodes. Its methods are called on the runner's
// goroutine.
type Transport interface {
	// Send queues a packet without blocking and reports whether it was queued
	// rather than dropped.
	Send(to model.NodeAddr, payload []byte) bool
	// KeepConnections sets the nodes to hold long-lived connections to. It is
	// called each time the set changes.
	KeepConnections(nodes []model.NodeAddr)
}

// Options configure a Runner. The functions may be nil. They are called on the
// runner's goroutine and must not block; of the Runner's methods they may call
// only those that do not wait: Snapshot, Status, SetRevision, Flood and
// FloodCreatedAt.
type Options struct {
	// Self is the node's own record.
	Self membership.Member
	// Contacts are the nodes to join through. Without any, this node starts a
	// fleet.
	Contacts []model.NodeAddr
	// Transport sends the packets.
	Transport Transport
	// OnFlood is called with each flooded message, exactly once.
	OnFlood func(membership.Message)
	// OnChange is called with each new snapshot of the fleet: at most five times
	// a second in a small fleet, at most twice a second with 2,200 members.
	OnChange func(*membership.Snapshot)
	// OnPause is called after the process was paused. Earlier information about
	// other nodes may be outdated until Status().CaughtUp.
	OnPause func()
	// OnSuperseded is called once when a later process has this node's address.
	// The node must stop.
	OnSuperseded func()
	// View holds the options of the membership view.
	View membership.Options
}

// Status is the node's own state in the fleet.
type Status struct {
	// Joined and CaughtUp are as in membership.View.
	Joined   bool
	CaughtUp bool
	// Superseded is set once a later process has the node's address.
	Superseded bool
	// Self is the node's own record with its current incarnation.
	Self membership.Member
}

// packet is an inbound packet or, without a payload, a report that a node could
// not be reached.
type packet struct {
	from    model.NodeAddr
	payload []byte
}

// request is a call on the view, made by the runner's goroutine.
type request struct {
	run  func(now time.Time) []membership.Outgoing
	done chan struct{}
}

// Runner runs a membership view on one goroutine.
type Runner struct {
	options       Options
	view          *membership.View
	packets       chan packet
	requests      chan request
	stop          chan struct{}
	stopped       chan struct{}
	stopping      atomic.Bool
	revision      atomic.Uint64
	snapshot      atomic.Pointer[membership.Snapshot]
	status        atomic.Pointer[Status]
	connected     []model.NodeAddr
	lastPublished time.Time
}

// Start starts a Runner, which joins the fleet and runs until Stop.
func Start(options Options) *Runner {
	r := &Runner{
		options:  options,
		view:     membership.New(options.Self, options.View),
		packets:  make(chan packet, packetQueueSize),
		requests: make(chan request, requestQueueSize),
		stop:     make(chan struct{}),
		stopped:  make(chan struct{}),
	}
	r.snapshot.Store(r.view.Snapshot())
	r.status.Store(&Status{Self: options.Self})
	go r.run()
	return r
}

// Deliver queues an inbound packet and retains the payload. When the queue is
// full the oldest packet is dropped and counted.
func (r *Runner) Deliver(from model.NodeAddr, payload []byte) {
	r.enqueue(packet{from: from, payload: payload})
}

// Unreachable reports that the transport could not reach a node.
func (r *Runner) Unreachable(node model.NodeAddr) { r.enqueue(packet{from: node}) }

func (r *Runner) enqueue(p packet) {
	for {
		select {
		case r.packets <- p:
			return
		default:
		}
		select {
		case <-r.packets:
			packetsDropped.Inc()
		default:
		}
	}
}

// Flood sends a message of at most membership.MaxFlood bytes, created now, to
// all other nodes. It does not block; when the queue of requests is full the
// message is dropped and counted.
func (r *Runner) Flood(topic membership.Topic, payload []byte, urgent bool) {
	r.FloodCreatedAt(time.Now(), topic, payload, urgent)
}

// FloodCreatedAt is Flood for a message created at an earlier time, from which
// receivers compute its age.
func (r *Runner) FloodCreatedAt(createdAt time.Time, topic membership.Topic, payload []byte, urgent bool) {
	run := func(now time.Time) []membership.Outgoing {
		return r.view.FloodCreatedAt(now, createdAt, topic, payload, urgent)
	}
	select {
	case r.requests <- request{run: run, done: make(chan struct{})}:
	default:
		floodsDropped.Inc()
	}
}

// UpdateSelf changes the node's own record and returns once the change has been
// handed to the transport.
func (r *Runner) UpdateSelf(change func(*membership.Member)) {
	r.request(func(now time.Time) []membership.Outgoing { return r.view.UpdateSelf(now, change) })
}

// SetRevision sets the revision that the node reports in surveys as in force
// here. It takes effect with the next tick.
func (r *Runner) SetRevision(revision model.Revision) {
	r.revision.Store(uint64(revision))
}

// Survey asks all nodes to report once the revision is in force there, and
// returns the survey's ID for SurveyResult.
func (r *Runner) Survey(revision model.Revision) uint64 {
	var id uint64
	r.request(func(now time.Time) []membership.Outgoing {
		var out []membership.Outgoing
		id, out = r.view.Survey(now, revision)
		return out
	})
	return id
}

// SurveyResult returns the reports of a survey so far. It is empty when the
// survey is unknown or has expired.
func (r *Runner) SurveyResult(id uint64) membership.SurveyResult {
	var result membership.SurveyResult
	r.request(func(time.Time) []membership.Outgoing {
		result, _ = r.view.SurveyResult(id)
		return nil
	})
	return result
}

// Leave marks the node as leaving: it gets no new calls and stays in the overlay
// until Stop.
func (r *Runner) Leave() {
	r.request(r.view.Leave)
}

// Snapshot returns the latest snapshot of the fleet.
func (r *Runner) Snapshot() *membership.Snapshot { return r.snapshot.Load() }

// Status returns the node's own state in the fleet.
func (r *Runner) Status() Status { return *r.status.Load() }

// CaughtUp reports whether another node has compared its view with this one
// since the start or the last pause.
func (r *Runner) CaughtUp() bool { return r.Status().CaughtUp }

// Stop announces that the node leaves and ends the goroutine. The transport must
// still send the last packets. Further calls wait for the first one.
func (r *Runner) Stop() {
	if r.stopping.CompareAndSwap(false, true) {
		close(r.stop)
	}
	<-r.stopped
}

// request runs a call on the runner's goroutine and waits for it. After Stop it
// does nothing.
func (r *Runner) request(run func(now time.Time) []membership.Outgoing) {
	req := request{run: run, done: make(chan struct{})}
	select {
	case r.requests <- req:
	case <-r.stopped:
		return
	}
	select {
	case <-req.done:
	case <-r.stopped:
	}
}

func (r *Runner) run() {
	defer close(r.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	klog.Infof("overlay: %s joins through %d contacts", r.options.Self.Node, len(r.options.Contacts))
	r.process(r.view.Join(time.Now(), r.options.Contacts))
	for {
		select {
		case <-r.stop:
			r.send(r.view.Depart(time.Now()))
			klog.Infof("overlay: %s has left", r.options.Self.Node)
			return
		case p := <-r.packets:
			r.receive(p)
		case req := <-r.requests:
			r.process(req.run(time.Now()))
			close(req.done)
		case <-ticker.C:
			r.process(r.view.SetRevision(time.Now(), model.Revision(r.revision.Load())))
			r.process(r.view.Tick(time.Now()))
			r.publish()
		}
	}
}

func (r *Runner) receive(p packet) {
	if p.payload == nil {
		r.process(r.view.Unreachable(time.Now(), p.from))
		return
	}
	packetsReceived.Inc()
	bytesReceived.Add(len(p.payload))
	out, err := r.view.Receive(time.Now(), p.from, p.payload)
	if err != nil {
		packetsRefused.Inc()
		klog.V(1).Infof("overlay: refused a packet from %s: %v", p.from, err)
		return
	}
	r.process(out)
}

// process sends packets and passes flooded messages to OnFlood.
func (r *Runner) process(out []membership.Outgoing) {
	r.send(out)
	for _, flood := range r.view.TakeFloods() {
		floodsDelivered.Inc()
		if r.options.OnFlood != nil {
			r.options.OnFlood(flood)
		}
	}
}

func (r *Runner) send(out []membership.Outgoing) {
	for _, p := range out {
		if !r.options.Transport.Send(p.To, p.Payload) {
			sendsDropped.Inc()
			continue
		}
		packetsSent.Inc()
		bytesSent.Add(len(p.Payload))
	}
}
