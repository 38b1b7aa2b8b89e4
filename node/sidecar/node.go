// Package sidecar is the node on a platform whose targets are reachable from
// their own VM only and whose one lasting thing is a key-value store.
//
// The node beside a target is its owner: it alone sends to the target, hears
// its announcements and decides on its slots, so that draining, cold starts,
// evacuations and replaced targets need no agreement between nodes. The node
// that a caller connected to is the entry: it finds the route, chooses an
// owner and sends the call again where that is safe. Nodes meet in the store
// and keep in touch directly.
package sidecar

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/oops"

	"zinniafall/node/events"
	"zinniafall/node/front"
	"zinniafall/node/hop"
	"zinniafall/node/sockets"
	"zinniafall/policy/dispatch"
	"zinniafall/policy/model"
	"zinniafall/policy/routing"
)

const (
	// leaveTime is how long a stopping node serves on: callers learn by two
	// failed questions for readiness, a second apart, that it leaves.
	leaveTime = 2300 * time.Millisecond
	// stopMargin is what remains of the grace at the latest end of a stop.
	stopMargin = 500 * time.Millisecond
	// drainPoll is the pause between looks at what still runs.
	drainPoll = 20 * time.Millisecond
	// reservedDescriptors are kept for everything but callers' connections.
	reservedDescriptors = 1200
	// minCallers is the least number of callers' connections.
	minCallers = 256
	// controlTimeout bounds a question of the platform or the target.
	controlTimeout = 2 * time.Second
	// memoryShare is the part of the VM's memory from which on the collector
	// works harder.
	memoryShare = 0.5
	// defaultHeaderBytes, defaultBodyBytes, defaultHeaderTime and
	// defaultIdleTime bound callers until a configuration does.
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 1 << 20
	defaultHeaderTime  = 5 * time.Second
	defaultIdleTime    = 30 * time.Second
)

// Options configure a Node.
type Options struct {
	Settings Settings
	// Advertised is the address at which other nodes reach this one, when it is
	// not the one that it listens on.
	Advertised string
	Dialect    Dialect
	Store      Store
	Operators  Operators
	// Control answers the target's announcements and the platform's questions
	// for readiness, in the platform's terms.
	Control func(*Node) (announcements, readiness http.Handler)
	// Log receives the structured log.
	Log io.Writer
}

// Node is one node.
type Node struct {
	// settings are those of the start; live holds what a reload may change.
	settings  Settings
	live      atomic.Pointer[Settings]
	dialect   Dialect
	store     Store
	operators Operators
	log       *events.Log
	self      model.NodeAddr
	process   model.ProcessID

	configuration *configuration
	fleet         *fleet
	owner         *owner
	target        *target
	entry         *entry
	quarantine    *crashes
	front         *front.Server
	client        *hop.Client
	server        *hop.Server
	metrics       *metrics.Set

	ctx       context.Context
	cancel    context.CancelFunc
	duties    sync.WaitGroup
	dutyMu    sync.Mutex
	ended     bool
	listeners []net.Listener
	servers   []*http.Server
	stopping  atomic.Bool
	// calls under way, of callers and of other nodes.
	calls atomic.Int64
	// stopEnd is when a stop ends at the latest.
	stopEnd atomic.Pointer[time.Time]
}

// Start brings a node up.
func Start(opts Options) (*Node, error) {
	s := opts.Settings
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryShare))
	}
	n := &Node{
		settings: s, dialect: opts.Dialect, store: measuredStore{opts.Store}, operators: opts.Operators,
		log: events.New(opts.Log, s.Name), self: model.NodeAddr(cmp.Or(opts.Advertised, s.Peers)), client: hop.NewClient(), metrics: metrics.NewSet(),
	}
	n.live.Store(&s)
	if _, err := rand.Read(n.process[:]); err != nil {
		return nil, oops.In("node").Wrap(err)
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.configuration = newConfiguration(n)
	n.quarantine = newCrashes(n)
	n.owner = newOwner(n)
	n.entry = newEntry(n)
	n.fleet = newFleet(n)
	n.target = newTarget(n)
	n.server = hop.NewServer(n)
	n.front = front.New(front.Options{
		Handle: n.serveCaller, Reject: n.reject, Limits: n.limits,
		MaxConnections: max(s.Descriptors-reservedDescriptors, minCallers),
	})
	n.gauges()
	if err := n.listen(opts); err != nil {
		n.Kill()
		return nil, err
	}
	n.run()
	n.log.Info("node started", "part", "node", "process", n.process.String(), "peers", n.self, "domain", s.Domain, "service", s.Service)
	return n, nil
}

// listen opens the sockets and serves them.
func (n *Node) listen(opts Options) error {
	announcements, readiness := opts.Control(n)
	for _, l := range []struct {
		name, address string
		serve         func(net.Listener) error
	}{
		{"peers", n.settings.Peers, n.server.Serve},
		{"announcements", n.settings.Announcements, n.httpServer(announcements)},
		{"readiness", n.settings.Readiness, n.httpServer(readiness)},
		{"metrics", n.settings.Metrics, n.httpServer(http.HandlerFunc(n.serveMetrics))},
		{"callers", n.settings.Callers, n.front.Serve},
	} {
		if l.address == "" {
			continue
		}
		listener, err := sockets.Listen(l.address)
		if err != nil {
			return oops.In("node").Hint("Set the address of " + l.name + " to a free one of this VM.").Wrap(err)
		}
		n.listeners = append(n.listeners, listener)
		n.goDuty(func() {
			err := l.serve(listener)
			if n.ctx.Err() == nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
				n.log.Error("listener failed", "part", l.name, "error", err.Error())
			}
		})
	}
	return nil
}

func (n *Node) httpServer(handler http.Handler) func(net.Listener) error {
	server := &http.Server{Handler: handler, ReadTimeout: controlTimeout, WriteTimeout: controlTimeout, IdleTimeout: defaultIdleTime}
	n.servers = append(n.servers, server)
	return server.Serve
}

// run starts the duties.
func (n *Node) run() {
	operators := &follower{
		store: n.store, log: n.log, name: "operators", prefix: n.operators.Prefix(), settle: settleTime, wait: operatorWait,
		needed: n.followsOperators, turn: n.fleet.turn, retryPause: n.fleet.retryPause, after: n.fleet.follower.listed, listed: make(chan struct{}), all: n.configuration.listed, change: n.configuration.watched,
	}
	n.goDuty(func() { operators.run(n.ctx) })
	n.goDuty(func() { n.fleet.follower.run(n.ctx) })
	n.goDuty(func() { n.fleet.register(n.ctx) })
	n.goDuty(func() { n.fleet.converse(n.ctx) })
	n.goDuty(func() { n.target.watch(n.ctx) })
}

// followsOperators reports whether this node reads the operators' keys itself. A
// node without a configuration cannot serve, and does not wait for the watchers.
func (n *Node) followsOperators() bool {
	return n.configuration.current() == nil || n.fleet.follows()
}

// goDuty runs a goroutine that the end of the node waits for.
func (n *Node) goDuty(duty func()) {
	n.dutyMu.Lock()
	defer n.dutyMu.Unlock()
	if n.ended {
		return
	}
	n.duties.Add(1)
	go func() {
		defer n.duties.Done()
		duty()
	}()
}

// serveCaller counts a caller's request while it is carried.
func (n *Node) serveCaller(ctx context.Context, r *front.Request) *front.Response {
	n.calls.Add(1)
	defer n.calls.Add(-1)
	return n.handle(ctx, r)
}

// limits returns what callers may send.
func (n *Node) limits() front.Limits {
	table := n.configuration.current()
	l := routing.Limits{}
	if table != nil {
		l = table.Limits
	}
	return front.Limits{
		HeaderBytes: orDefault(l.HeaderBytes, defaultHeaderBytes), BodyBytes: orDefault(l.BodyBytes, defaultBodyBytes),
		HeaderTimeout: orDefault(l.HeaderTimeout, defaultHeaderTime), IdleTimeout: orDefault(l.IdleTimeout, defaultIdleTime),
	}
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// configurationChanged makes the parts follow a new table.
func (n *Node) configurationChanged(*routing.Table) {
	n.target.configurationChanged()
	n.fleet.place()
	n.fleet.spread()
}

// evacuationChanged makes the parts follow the failure domains out of service.
func (n *Node) evacuationChanged(evac evacuation) {
	n.owner.gate(dispatch.GateDomainOut, evac.out(n.settings.Domain))
	n.target.tell()
	n.fleet.place()
	n.fleet.spread()
}

// Announce takes an announcement of the target beside this node.
func (n *Node) Announce(a Announcement) error { return n.target.announce(a) }

// Withdraw takes the word of a target that it leaves at once; born is 0 when
// it was not stated.
func (n *Node) Withdraw(id string, born int64) { n.target.withdraw(id, born) }

// Ready returns why callers should not use this node, or nothing.
func (n *Node) Ready() string {
	switch {
	case n.stopping.Load():
		return "the node stops"
	case n.configuration.current() == nil:
		return "the node has no configuration yet"
	case n.fleet.alone():
		return "the node knows no other node yet"
	}
	return ""
}

// Log returns the node's structured log.
func (n *Node) Log() *events.Log { return n.log }

// Stop ends the node without cutting off a call, as far as the grace allows.
func (n *Node) Stop(ctx context.Context) {
	n.log.Info("node stopping", "part", "node", "calls", n.calls.Load())
	began := time.Now()
	end := began.Add(max(n.live.Load().Grace-stopMargin, leaveTime))
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	n.stopEnd.Store(&end)
	n.stopping.Store(true)
	n.owner.gate(dispatch.GateStopping, true)
	n.target.tell()
	n.front.DisableKeepAlives()
	sleep(ctx, leaveTime)
	n.await(ctx, func() bool { return n.calls.Load()+int64(n.owner.report().InFlight) == 0 })
	// A request may have begun since the last look.
	n.front.CloseIdle()
	n.await(ctx, func() bool { return !n.front.Busy() && n.calls.Load()+int64(n.owner.report().InFlight) == 0 })
	n.log.Info("node stopped", "part", "node", "calls_cut_off", n.calls.Load(), "seconds", time.Since(began).Seconds())
	n.Kill()
}

// await waits until the condition holds.
func (n *Node) await(ctx context.Context, holds func() bool) {
	for ctx.Err() == nil && !holds() {
		sleep(ctx, drainPoll)
	}
}

// Kill ends the node at once.
func (n *Node) Kill() {
	n.cancel()
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for _, s := range n.servers {
		_ = s.Close()
	}
	n.server.Close()
	n.client.Close()
	n.dutyMu.Lock()
	n.ended = true
	n.dutyMu.Unlock()
	n.duties.Wait()
	n.owner.stop()
	n.target.close()
	n.log.Close()
}

// Reload takes changed settings. The bounds and the target's service apply at
// once; addresses are those of the start.
func (n *Node) Reload(s Settings) {
	before := n.live.Swap(&s)
	if *before == s {
		return
	}
	n.entry.forgetBudgets()
	moved := s.Callers != n.settings.Callers || s.Peers != n.settings.Peers || s.Target != n.settings.Target || s.Store != n.settings.Store
	n.log.Info("settings reloaded", "part", "node", "service", s.Service, "grace_ms", s.Grace.Milliseconds(), "addresses_wait_for_restart", moved)
}
