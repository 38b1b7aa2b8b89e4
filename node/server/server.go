// Package server assembles a node from its parts: the entry for callers, the
// handler of requests and control messages of other nodes, the target beside
// the node, the dynamic configuration and the operators' API. It starts and
// stops them in an order that cuts off no call in flight.
package server

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/oops"
	"k8s.io/klog/v2"

	"zinniafall/node/entry"
	"zinniafall/node/execute"
	"zinniafall/node/overlay"
	"zinniafall/node/owner"
	"zinniafall/node/peer"
	"zinniafall/node/static"
	"zinniafall/node/trace"
	"zinniafall/node/trust"
	"zinniafall/policy/callkey"
	"zinniafall/policy/calltoken"
	"zinniafall/policy/freshness"
	"zinniafall/policy/membership"
	"zinniafall/policy/model"
	"zinniafall/policy/placement"
)

// Server is a running node.
type Server struct {
	settings    *static.Settings
	self        model.NodeAddr
	process     model.ProcessID
	incarnation model.Incarnation

	transport        *peer.Transport
	overlay          *overlay.Runner
	owner            *owner.Owner
	executor         *execute.Executor
	entry            *entry.Entry
	suspects         *suspects
	tracer           *trace.Tracer
	tokens           *calltoken.Signer
	configuration    *configurationManager
	freshnessTracker *freshnessTracker
	control          *controlChannel
	target           *announcedTarget
	// unchecked signals departuresLoop that the store could not be asked for the departure of
	// the target.
	unchecked chan struct{}

	metrics   *metrics.Set
	callers   *http.Server
	targetAPI *http.Server
	operators *http.Server
	listeners listeners

	// started is closed when all parts have started. Until then requests of
	// other nodes wait and their control messages are dropped.
	started  chan struct{}
	stopping atomic.Bool
	// stopEnd is the time at which a stop ends at the latest, if there is one.
	stopEnd atomic.Pointer[time.Time]
	// callsCtx ends when a stop gives up the calls in progress, which are answered then.
	callsCtx context.Context
	endCalls context.CancelFunc
	// peerRequests is the number of requests of other nodes in progress.
	peerRequests   atomic.Int64
	ctx            context.Context
	cancel         context.CancelFunc
	killOnce       sync.Once
	goroutines     sync.WaitGroup
	revisionSurvey revisionSurvey
	// membersMu guards servicesWithTargets and previousMembers.
	membersMu           sync.Mutex
	servicesWithTargets map[model.Service]struct{}
	previousMembers     map[model.NodeAddr]struct{}
}

// listeners are the TCP listeners of a node.
type listeners struct {
	callers, target, operators net.Listener
}

// Start starts a node. It returns once the node listens; the node accepts
// calls once it has a configuration.
func Start(settings *static.Settings) (*Server, error) {
	s := &Server{settings: settings, servicesWithTargets: make(map[model.Service]struct{}), target: newAnnouncedTarget(), metrics: metrics.NewSet(), started: make(chan struct{}), unchecked: make(chan struct{}, 1)}
	if _, err := rand.Read(s.process[:]); err != nil {
		return nil, oops.In("node").Wrap(err)
	}
	s.incarnation = model.Incarnation(time.Now().UnixNano())
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.callsCtx, s.endCalls = context.WithCancel(context.Background())
	err := s.listen()
	if err == nil {
		err = s.assemble()
	}
	if err != nil {
		s.abandonStart()
		return nil, err
	}
	s.run()
	klog.Infof("node: %s serves callers on %s.", s.self, s.CallerAddr())
	return s, nil
}

// listen opens the TCP listeners.
func (s *Server) listen() error {
	for _, l := range []struct {
		listener *net.Listener
		address  string
		setting  string
	}{
		{&s.listeners.callers, s.settings.Callers.Listen, "callers.listen"},
		{&s.listeners.target, s.settings.Target.Listen, "target.listen"},
		{&s.listeners.operators, s.settings.Operators.Listen, "operators.listen"},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return oops.In("node").Hint("Set " + l.setting + " to a free address of this VM.").Wrap(err)
		}
		*l.listener = listener
	}
	return nil
}

// abandonStart releases what a failed start has opened. assemble itself stops the
// parts that it has started.
func (s *Server) abandonStart() {
	s.listeners.close()
	if s.tracer != nil {
		_ = s.tracer.Close(s.ctx) // no span was made yet
	}
	s.cancel()
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.target, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// assemble creates the parts of the node and connects them. The owner starts a
// goroutine, so it comes after every step that can fail except for the peer
// transport; when that fails, assemble stops the owner.
func (s *Server) assemble() error {
	secrets := s.settings.Secrets()
	identity, err := trust.NewIdentity(s.settings.Peers.Advertise, secrets)
	if err != nil {
		return err
	}
	s.self = s.settings.Peers.Advertise
	if s.tracer, err = trace.New(s.ctx, trace.Options{URL: s.settings.Trace.URL, Sample: s.settings.Trace.Sample, Node: string(s.self)}); err != nil {
		return oops.In("trace").Hint("Correct trace.url.").Wrap(err)
	}
	raw := make([][]byte, 0, len(secrets))
	for _, secret := range secrets {
		raw = append(raw, secret)
	}
	if s.tokens, err = calltoken.NewSigner(raw); err != nil {
		return oops.In("node").Wrap(err)
	}
	keys, err := keySecrets(raw)
	if err != nil {
		return oops.In("node").Wrap(err)
	}
	s.suspects = newSuspects(s.process, s.floodNotice)
	s.freshnessTracker = newFreshnessTracker(freshness.Options{
		Self: s.self, Domain: s.settings.Node.FailureDomain, Seed: uint64(s.incarnation),
	})
	s.configuration = newConfigurationManager(s)
	s.owner = owner.Start(owner.Options{
		Process: s.process, Revision: s.revision, Accounts: s.account, OnStateChange: s.onTargetState,
	})
	s.executor = execute.New(execute.Options{
		Owner: s.owner, Node: s, Tracer: s.tracer,
		CrashTracker: execute.NewCrashTracker(s.suspects.recordCrash, s.suspects.recordSuccess),
		Suspects:     s.suspects,
	})
	s.transport, err = peer.Listen(peer.Options{
		Self: s.self, Listen: s.settings.Peers.Listen, Identity: identity, Handler: s,
		MaxConnections: s.settings.Limits.PeerConnections,
	})
	if err != nil {
		s.owner.Stop()
		return err
	}
	s.control = &controlChannel{transport: s.transport, onNewNeighbor: s.sendQuarantineNotices}
	s.entry = entry.New(s.entryOptions(keys))
	return nil
}

func (s *Server) entryOptions(keys []callkey.Secret) entry.Options {
	return entry.Options{
		Self: s.self, Process: s.process, Peers: s.transport, Executor: s.executor, Tracer: s.tracer,
		Snapshot: s.configuration.current, Behind: s.configuration.behind, OnNewerRevision: s.configuration.recordRevision, Suspects: s.suspects, IsMember: s.isMember, Bindings: s.configuration.store,
		Tokens: s.tokens, KeySecrets: keys, StopEnd: s.currentStopEnd,
		Limits: entry.Limits{BodyBytes: s.settings.Limits.BodyBytes, Calls: s.settings.Limits.Calls},
		Placement: placement.Options{
			Policy: placement.Policy(s.settings.Placement.Policy), Self: s.self,
			Domain: s.settings.Node.FailureDomain, Region: s.settings.Node.Region,
			Seed: uint64(s.incarnation), MaxPeers: s.settings.Limits.PeerConnections / 2,
		},
	}
}

// keySecrets derives the secrets that sign request keys.
func keySecrets(secrets [][]byte) ([]callkey.Secret, error) {
	keys := make([]callkey.Secret, 0, len(secrets))
	for _, secret := range secrets {
		key, err := callkey.NewSecret(secret)
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// run starts the loops and the HTTP servers.
func (s *Server) run() {
	s.overlay = overlay.Start(overlay.Options{
		Self: membership.Member{
			Node: s.self, Operators: s.listeners.operators.Addr().String(),
			Process: s.process, Incarnation: s.incarnation,
			Domain: s.settings.Node.FailureDomain, Region: s.settings.Node.Region,
		},
		Contacts: s.initialContacts(), Transport: s.control,
		OnFlood: s.onFlood, OnChange: s.onMembersChange, OnPause: s.freshnessTracker.notify, OnSuperseded: s.onSuperseded,
	})
	s.configuration.start()
	s.startGoroutine(s.controlLoop)
	s.startGoroutine(s.ownerProbeLoop)
	s.startGoroutine(s.contactsLoop)
	s.startGoroutine(s.targetProbeLoop)
	s.startGoroutine(s.departuresLoop)
	s.serveHTTP()
	close(s.started)
}

// startGoroutine runs the function on a goroutine for which kill waits.
func (s *Server) startGoroutine(run func()) {
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		run()
	}()
}

// CallerAddr returns the address that callers use.
func (s *Server) CallerAddr() string { return s.listeners.callers.Addr().String() }

// TargetAddr returns the address at which the target announces itself.
func (s *Server) TargetAddr() string { return s.listeners.target.Addr().String() }

// OperatorAddr returns the address of the operators' API.
func (s *Server) OperatorAddr() string { return s.listeners.operators.Addr().String() }

// Node returns the address by which other nodes reach this one.
func (s *Server) Node() model.NodeAddr { return s.self }
