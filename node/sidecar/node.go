// Package sidecar implements the node for a platform on which a target is
// reachable from its own VM only and a key-value store is the only persistent
// storage.
//
// The node beside a target is its owner: it alone sends requests to the target,
// receives its announcements and decides on its slots. Draining, cold starts,
// evacuations and replaced targets therefore need no agreement between nodes.
// The node that a caller is connected to is the entry: it finds the route,
// chooses an owner and retries the call where that is safe. Nodes discover each
// other in the store and exchange state directly.
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
	"zinniafall/node/upstream"
	"zinniafall/policy/dispatch"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/proof"
	"zinniafall/policy/routing"
)

const (
	// readinessDrainTime is how long a stopping node continues to serve:
	// callers notice the stop by two failed readiness checks, a second apart.
	readinessDrainTime = 2300 * time.Millisecond
	// stopMargin is the part of the grace period that is left when a stop ends
	// at the latest.
	stopMargin = 500 * time.Millisecond
	// lastAnswersTime bounds how long a stop waits for callers to read the answers that
	// are left when it accepts no connection any more, and lastAnswersMargin how far that
	// may go beyond the latest end of the stop.
	lastAnswersTime   = 250 * time.Millisecond
	lastAnswersMargin = 50 * time.Millisecond
	// drainPollInterval is the time between checks for calls in progress.
	drainPollInterval = 20 * time.Millisecond
	// reservedDescriptors is the number of descriptors kept for everything
	// other than callers' connections.
	reservedDescriptors = 1200
	// minCallerConnections is the lowest limit on callers' connections.
	minCallerConnections = 256
	// controlTimeout bounds a request of the platform or the target.
	controlTimeout = 2 * time.Second
	// maxControlHeaderBytes limits the header of such a request.
	maxControlHeaderBytes = 16 << 10
	// memoryFraction is the part of the VM's memory above which the garbage
	// collector runs more often.
	memoryFraction = 0.5
	// defaultHeaderBytes, defaultBodyBytes, defaultHeaderTime and
	// defaultIdleTime limit callers until a configuration is in force.
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 1 << 20
	defaultHeaderTime  = 5 * time.Second
	defaultIdleTime    = 30 * time.Second
)

// Options configures a Node.
type Options struct {
	Settings Settings
	// AdvertisedAddr is the address at which other nodes reach this one, if it
	// differs from the listen address.
	AdvertisedAddr string
	Dialect        Dialect
	Store          Store
	OperatorKeys   OperatorKeys
	// Release identifies the build in the log and the metrics.
	Release string
	// ControlHandlers returns the handlers of the target's announcements and of
	// the platform's readiness checks, in the platform's formats.
	ControlHandlers func(*Node) (announcements, readiness http.Handler)
	// ReadSettings returns the present settings for RefreshSettings. If it is nil, they only
	// change by Reload.
	ReadSettings func() (Settings, error)
	// Log receives the structured log.
	Log io.Writer
	// BootTime is the clock of proofs of currency and quotas; nil means CLOCK_BOOTTIME.
	BootTime func() proof.Instant
}

// Node is a running node.
type Node struct {
	// settings are those at the start; live holds the settings after a reload.
	settings     Settings
	live         atomic.Pointer[Settings]
	readSettings func() (Settings, error)
	refreshing   sync.Mutex // held while the settings are read and applied
	dialect      Dialect
	store        Store
	operatorKeys OperatorKeys
	log          *events.Log
	self         model.NodeAddr
	process      model.ProcessID

	configuration *configuration
	fleet         *fleet
	owner         *owner
	target        *target
	entry         *entry
	rollouts      *rollouts
	crashes       *crashTracker
	proofs        *proofs
	quotas        *quotas
	accounts      *accountCounters
	front         *front.Server
	client        *hop.Client
	server        *hop.Server
	metrics       *metrics.Set
	// bodies is the memory for bodies that calls of this node's target wait for.
	bodies *upstream.Buffers
	// healthRequests counts the health requests to the target.
	healthRequests *metrics.Counter

	ctx          context.Context
	cancel       context.CancelFunc
	background   sync.WaitGroup
	backgroundMu sync.Mutex
	stopped      bool
	listeners    []net.Listener
	servers      []*http.Server
	stopping     atomic.Bool
	// calls counts the calls in progress, of callers and of other nodes.
	calls atomic.Int64
	// stopEnd is the time at which a stop ends at the latest.
	stopEnd atomic.Pointer[time.Time]
	// callsCtx ends when a stop gives up the calls in progress, which are answered then.
	callsCtx context.Context
	endCalls context.CancelFunc
	// callers is the listener for callers, if there is one.
	callers net.Listener
}

// Start starts a node. If a listener cannot be opened, it ends the node again and
// returns the error.
func Start(opts Options) (*Node, error) {
	s := opts.Settings
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * memoryFraction))
	}
	n := &Node{
		settings: s, dialect: opts.Dialect, store: countedStore{opts.Store}, operatorKeys: opts.OperatorKeys,
		log: events.New(opts.Log, s.Name), self: model.NodeAddr(cmp.Or(opts.AdvertisedAddr, s.Peers)), client: hop.NewClient(), metrics: metrics.NewSet(),
		bodies: upstream.NewBuffers(bodyBuffers), readSettings: opts.ReadSettings,
	}
	n.live.Store(&s)
	if _, err := rand.Read(n.process[:]); err != nil {
		return nil, oops.In("node").Wrap(err)
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.callsCtx, n.endCalls = context.WithCancel(context.Background())
	n.configuration = newConfiguration(n)
	n.proofs = newProofs(n, opts.BootTime)
	n.quotas = newQuotas(n, opts.BootTime)
	n.accounts = newAccountCounters(n.metrics)
	n.crashes = newCrashTracker(n)
	n.rollouts = newRollouts(n)
	n.owner = newOwner(n)
	n.entry = newEntry(n)
	n.fleet = newFleet(n)
	n.target = newTarget(n)
	n.server = hop.NewServer(n)
	n.front = front.New(front.Options{
		Handle: n.serveCaller, Reject: n.rejectMalformed, Refuse: n.refuseStopping, Limits: n.callerLimits, Panicked: n.logPanic,
		MaxConnections: max(s.MaxDescriptors-reservedDescriptors, minCallerConnections),
	})
	n.registerGauges(opts.Release)
	if err := n.listen(opts); err != nil {
		n.Kill()
		return nil, err
	}
	n.startBackground()
	n.log.Info("node started", "part", "node", "release", opts.Release, "process", n.process.String(), "peers", n.self, "domain", s.Domain, "service", s.Service)
	return n, nil
}

// listen opens the listeners and serves them in the background. After an error,
// the listeners opened before it stay open until Kill.
func (n *Node) listen(opts Options) error {
	announcements, readiness := opts.ControlHandlers(n)
	for _, l := range []struct {
		name, address string
		serve         func(net.Listener) error
		silentPeer    time.Duration
	}{
		{"peers", n.settings.Peers, n.server.Serve, sockets.SilentPeerTimeout},
		{"announcements", n.settings.Announcements, n.httpServer(announcements), sockets.SilentPeerTimeout},
		{"readiness", n.settings.Readiness, n.httpServer(readiness), sockets.SilentPeerTimeout},
		{"metrics", n.settings.Metrics, n.httpServer(http.HandlerFunc(n.serveMetrics)), sockets.SilentPeerTimeout},
		// Callers may pause while they read a long answer.
		{"callers", n.settings.Callers, n.front.Serve, front.WriteTimeout},
	} {
		if l.address == "" {
			continue
		}
		listener, err := sockets.Listen(l.address, l.silentPeer)
		if err != nil {
			return oops.In("node").Hint("Set the address of " + l.name + " to one that is free on this VM.").Wrap(err)
		}
		n.listeners = append(n.listeners, listener)
		if l.name == "callers" {
			n.callers = listener
		}
		n.goBackground(func() {
			err := l.serve(listener)
			if n.ctx.Err() == nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
				n.log.Error("listener failed", "part", l.name, "error", err.Error())
			}
		})
	}
	return nil
}

func (n *Node) httpServer(handler http.Handler) func(net.Listener) error {
	server := &http.Server{Handler: handler, ReadTimeout: controlTimeout, WriteTimeout: controlTimeout, IdleTimeout: defaultIdleTime, MaxHeaderBytes: maxControlHeaderBytes}
	n.servers = append(n.servers, server)
	return server.Serve
}

// startBackground starts the background goroutines.
func (n *Node) startBackground() {
	operators := &follower{
		store: n.store, log: n.log, name: "operators", prefix: n.operatorKeys.Prefix(), watchDelay: operatorWatchDelay, watchTimeout: secondWatchTimeout,
		needed: n.followsOperators, standInDelay: n.fleet.standInDelay, retryDelayLimit: n.fleet.retryDelayLimit, firstWatchDelay: n.fleet.firstWatchDelay, otherListed: n.fleet.follower.listed, listed: make(chan struct{}), maxWatch: n.proofs.maxWatch, onAsk: n.proofs.storeAsked,
		onList: func(asked time.Time, items []Item, at Position) {
			n.operatorsListed(asked, items, at)
			n.proofs.storeAnswered(n.proofs.asked, at)
		},
		onChange: func(asked time.Time, items []Item, at Position) {
			n.operatorsChanged(asked, items, at)
			n.proofs.storeAnswered(n.proofs.asked, at)
		},
		onAnswer: func(answeredAt time.Time, changed bool) {
			n.configuration.recordAnswer(answeredAt)
			if !changed { // otherwise the change spreads first
				n.fleet.greetAfterAnswer()
			}
		},
	}
	n.rollouts.operators = operators
	n.goBackground(func() { operators.run(n.ctx) })
	n.goBackground(func() { n.fleet.follower.run(n.ctx) })
	n.goBackground(func() { n.configuration.pull(n.ctx) })
	n.goBackground(func() { n.followEra(n.ctx) })
	n.goBackground(func() { n.proofs.run(n.ctx) })
	n.goBackground(func() { n.fleet.register(n.ctx) })
	n.goBackground(func() { n.fleet.exchangeLoop(n.ctx) })
	n.goBackground(func() { n.target.watchHealth(n.ctx) })
	n.goBackground(func() { n.target.awaitDepartures(n.ctx) })
	n.goBackground(func() { n.target.storeDepartures(n.ctx) })
}

// operatorsListed applies a list of the operators' keys. Orders of rollouts come first: they
// may close the owner, and applying a configuration may take seconds.
func (n *Node) operatorsListed(asked time.Time, items []Item, at Position) {
	n.rollouts.listed(asked, items, at)
	n.configuration.listed(asked, items, at)
}

// operatorsChanged applies changes of the operators' keys.
func (n *Node) operatorsChanged(asked time.Time, items []Item, at Position) {
	n.rollouts.changed(asked, items, at)
	n.configuration.applyChanges(asked, items, at)
}

// followsOperators reports whether this node reads the operators' keys itself.
// A node without a configuration, or without the orders of rollouts, cannot serve, so it does
// not wait for the watchers.
func (n *Node) followsOperators() bool {
	return n.configuration.current() == nil || n.rollouts.enabled && !n.rollouts.haveOrders() || n.fleet.followsStore()
}

// goBackground runs a goroutine that Kill waits for. It does nothing once Kill has
// begun to wait.
func (n *Node) goBackground(task func()) {
	n.backgroundMu.Lock()
	defer n.backgroundMu.Unlock()
	if n.stopped {
		return
	}
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		task()
	}()
}

// serveCaller counts a caller's request while it is in progress.
func (n *Node) serveCaller(ctx context.Context, r *front.Request) *front.Response {
	n.calls.Add(1)
	defer n.calls.Add(-1)
	return n.handleCallerRequest(ctx, r)
}

// callerLimits returns the limits on callers' requests.
func (n *Node) callerLimits() front.Limits {
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

// configurationChanged applies a new routing table.
func (n *Node) configurationChanged(table *routing.Table) {
	n.accounts.retain(func(name model.Account) bool {
		_, ok := table.Account(name)
		return ok
	})
	n.target.configurationChanged()
	n.fleet.updatePlacement()
	n.fleet.pushToChildren()
	n.fleet.greetAfterChange()
}

// evacuationChanged applies a new set of failure domains out of service.
func (n *Node) evacuationChanged(evac evacuation) {
	n.owner.setGate(dispatch.GateDomainOut, evac.Contains(n.settings.Domain))
	n.target.publishState()
	n.fleet.updatePlacement()
	n.fleet.pushToChildren()
}

// Announce handles an announcement of the target beside this node. A nil error acknowledges it.
func (n *Node) Announce(a Announcement) error { return n.target.recordAnnouncement(a) }

// Withdraw handles the message of a target that it leaves at once. startedMs is
// the start of its process in Unix milliseconds, or 0 if it was not stated. A nil error
// acknowledges it.
func (n *Node) Withdraw(id string, startedMs int64) error {
	return n.target.confirmDeparture(id, n.target.recordWithdrawal(id, startedMs))
}

// NotReadyReason returns why callers should not use this node, or "" if it is
// ready.
func (n *Node) NotReadyReason() string {
	switch {
	case n.stopping.Load():
		return "the node stops"
	case n.configuration.current() == nil:
		return "the node has no configuration yet"
	case n.fleet.peersUnknown():
		return "the node knows no other node yet"
	}
	return ""
}

// Log returns the node's structured log.
func (n *Node) Log() *events.Log { return n.log }

// Stop waits for the calls in progress, as far as the grace period allows, and
// then ends the node.
func (n *Node) Stop(ctx context.Context) {
	n.log.Info("node stopping", "part", "node", "calls", n.calls.Load())
	began := time.Now()
	end := began.Add(max(n.live.Load().GracePeriod-stopMargin, readinessDrainTime))
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	n.stopEnd.Store(&end)
	n.stopping.Store(true)
	n.owner.setGate(dispatch.GateStopping, true)
	n.target.publishState()
	n.front.DisableKeepAlives()
	sleep(ctx, readinessDrainTime)
	n.waitUntil(ctx, func() bool { return n.calls.Load()+int64(n.owner.report().InFlight) == 0 })
	// A request may have started since the last check.
	n.front.CloseIdle()
	n.waitUntil(ctx, func() bool { return !n.front.Busy() && n.calls.Load()+int64(n.owner.report().InFlight) == 0 })
	cutOff := n.calls.Load()
	n.endCalls()
	n.front.EndReading()
	if n.callers != nil {
		_ = n.callers.Close()
	}
	lastAnswers, cancelAnswers := context.WithTimeout(context.Background(), min(lastAnswersTime, time.Until(end)+lastAnswersMargin))
	defer cancelAnswers()
	n.waitUntil(lastAnswers, func() bool { return n.front.OpenConnections() == 0 })
	n.log.Info("node stopped", "part", "node", "calls_cut_off", cutOff, "seconds", time.Since(began).Seconds())
	n.Kill()
}

// refuseStopping answers a request that begins when a stop no longer serves any.
func (n *Node) refuseStopping() *front.Response {
	return n.refusalResponse(context.Background(), problem.New(problem.Draining, model.RunNo, "the node stops"), nil)
}

// waitUntil waits until the condition holds or the context ends.
func (n *Node) waitUntil(ctx context.Context, condition func() bool) {
	for ctx.Err() == nil && !condition() {
		sleep(ctx, drainPollInterval)
	}
}

// Kill ends the node at once, without waiting for calls in progress.
func (n *Node) Kill() {
	n.cancel()
	n.endCalls()
	for _, l := range n.listeners {
		_ = l.Close()
	}
	for _, s := range n.servers {
		_ = s.Close()
	}
	n.server.Close()
	n.client.Close()
	n.backgroundMu.Lock()
	n.stopped = true
	n.backgroundMu.Unlock()
	n.background.Wait()
	n.owner.stop()
	n.target.close()
	n.log.Close()
}

// RefreshSettings reads the settings and applies them. After an error, which is logged, those
// before stay in force.
func (n *Node) RefreshSettings() error {
	if n.readSettings == nil {
		return nil
	}
	n.refreshing.Lock()
	defer n.refreshing.Unlock()
	settings, err := n.readSettings()
	if err != nil {
		n.log.Warn("settings rejected", "part", "node", "error", err.Error())
		return err
	}
	n.Reload(settings)
	return nil
}

// Reload applies changed settings. The limits and the target's service take
// effect at once; changed addresses need a restart.
func (n *Node) Reload(s Settings) {
	before := n.live.Swap(&s)
	if *before == s {
		return
	}
	n.entry.resetBudgets()
	addressChanged := s.Callers != n.settings.Callers || s.Peers != n.settings.Peers || s.Target != n.settings.Target || s.Store != n.settings.Store
	n.log.Info("settings reloaded", "part", "node", "service", s.Service, "grace_ms", s.GracePeriod.Milliseconds(), "addresses_wait_for_restart", addressChanged)
}
