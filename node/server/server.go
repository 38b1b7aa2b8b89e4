// Package server assembles a node from its duties: callers' ingress, requests
// and control messages of other nodes, the target beside it, the dynamic
// configuration and the operators' interface. It starts them in order and stops
// them in order, so that no call in flight is cut off.
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

// Server is one node.
type Server struct {
	settings    *static.Settings
	self        model.NodeAddr
	process     model.ProcessID
	incarnation model.Incarnation

	transport     *peer.Transport
	overlay       *overlay.Runner
	owner         *owner.Owner
	executor      *execute.Executor
	entry         *entry.Entry
	suspects      *suspects
	tracer        *trace.Tracer
	tokens        *calltoken.Signer
	configuration *configurationDuty
	judge         *judge
	control       *controlChannel
	target        *targetHolder

	metrics   *metrics.Set
	callers   *http.Server
	targetAPI *http.Server
	operators *http.Server
	listeners listeners

	// started is closed when all parts stand; what other nodes ask before
	// waits or is dropped.
	started   chan struct{}
	stopping  atomic.Bool
	served    atomic.Int64
	ctx       context.Context
	cancel    context.CancelFunc
	killed    sync.Once
	duties    sync.WaitGroup
	surveys   surveys
	placed    sync.Mutex
	placedFor map[model.Service]struct{}
	members   map[model.NodeAddr]struct{}
}

// listeners are the TCP sockets of a node.
type listeners struct {
	callers, target, operators net.Listener
}

// Start brings a node up. It returns once the node listens; it takes calls
// when it has a configuration.
func Start(settings *static.Settings) (*Server, error) {
	s := &Server{settings: settings, placedFor: make(map[model.Service]struct{}), target: newTargetHolder(), metrics: metrics.NewSet(), started: make(chan struct{})}
	if _, err := rand.Read(s.process[:]); err != nil {
		return nil, oops.In("node").Wrap(err)
	}
	s.incarnation = model.Incarnation(time.Now().UnixNano())
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := s.listen(); err != nil {
		s.listeners.close()
		return nil, err
	}
	if err := s.assemble(); err != nil {
		s.listeners.close()
		return nil, err
	}
	s.run()
	klog.Infof("node: %s serves callers on %s.", s.self, s.CallerAddr())
	return s, nil
}

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

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.target, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// assemble makes the parts, those without goroutines first.
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
	s.judge = newJudge(freshness.Options{
		Self: s.self, Domain: s.settings.Node.FailureDomain, Seed: uint64(s.incarnation),
	})
	s.configuration = newConfigurationDuty(s)
	s.owner = owner.Start(owner.Options{
		Process: s.process, Revision: s.revision, Accounts: s.account, OnState: s.targetState,
	})
	s.executor = execute.New(execute.Options{
		Owner: s.owner, Node: s, Tracer: s.tracer,
		Crashes:  execute.NewCrashes(s.suspects.crashed, s.suspects.completed),
		Suspects: s.suspects,
	})
	s.transport, err = peer.Listen(peer.Options{
		Self: s.self, Listen: s.settings.Peers.Listen, Identity: identity, Handler: s,
		MaxConnections: s.settings.Limits.PeerConnections,
	})
	if err != nil {
		s.owner.Stop()
		return err
	}
	s.control = &controlChannel{transport: s.transport, welcome: s.welcomeNeighbor}
	s.entry = entry.New(s.entryOptions(keys))
	return nil
}

func (s *Server) entryOptions(keys []callkey.Secret) entry.Options {
	return entry.Options{
		Self: s.self, Process: s.process, Peers: s.transport, Executor: s.executor, Tracer: s.tracer,
		Snapshot: s.configuration.current, Behind: s.configuration.hear, Suspects: s.suspects, Present: s.present, Bindings: s.configuration.store,
		Tokens: s.tokens, Keys: keys,
		Limits: entry.Limits{BodyBytes: s.settings.Limits.BodyBytes, Calls: s.settings.Limits.Calls},
		Placement: placement.Options{
			Policy: placement.Policy(s.settings.Placement.Policy), Self: s.self,
			Domain: s.settings.Node.FailureDomain, Region: s.settings.Node.Region,
			Seed: uint64(s.incarnation), MaxPeers: s.settings.Limits.PeerConnections / 2,
		},
	}
}

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

// run starts the goroutines.
func (s *Server) run() {
	s.overlay = overlay.Start(overlay.Options{
		Self: membership.Member{
			Node: s.self, Operators: s.listeners.operators.Addr().String(),
			Process: s.process, Incarnation: s.incarnation,
			Domain: s.settings.Node.FailureDomain, Region: s.settings.Node.Region,
		},
		Contacts: s.firstContacts(), Transport: s.control,
		OnFlood: s.flooded, OnChange: s.membersChanged, OnPause: s.judge.poke, OnSuperseded: s.superseded,
	})
	s.configuration.start()
	s.goDuty(s.controlDuty)
	s.goDuty(s.probeDuty)
	s.goDuty(s.contactsDuty)
	s.goDuty(s.measureDuty)
	s.serveHTTP()
	close(s.started)
}

func (s *Server) goDuty(duty func()) {
	s.duties.Add(1)
	go func() {
		defer s.duties.Done()
		duty()
	}()
}

// CallerAddr returns the address that callers use.
func (s *Server) CallerAddr() string { return s.listeners.callers.Addr().String() }

// TargetAddr returns the address at which the target announces itself.
func (s *Server) TargetAddr() string { return s.listeners.target.Addr().String() }

// OperatorAddr returns the address of the operators' API.
func (s *Server) OperatorAddr() string { return s.listeners.operators.Addr().String() }

// Node returns the address by which other nodes know this one.
func (s *Server) Node() model.NodeAddr { return s.self }
