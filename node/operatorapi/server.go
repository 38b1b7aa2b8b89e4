package operatorapi

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"zinniafall/policy/config"
	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

// Configurator is the part of configuration.Applier that operators use.
type Configurator interface {
	Current() *settings.Snapshot
	InForce() (config.Current, error)
	History() []config.HistoryEntry
	Plan(ctx context.Context, change config.Change, placement config.Placement) (config.Outcome, error)
	Commit(ctx context.Context, change config.Change, placement config.Placement) config.Outcome
}

// Node is the rest of the node that operators see.
type Node interface {
	// Status describes the node and its members.
	Status() Status
	// InForce tells which live members apply a revision or a higher one, this
	// node included, and which were not heard to.
	InForce(revision model.Revision) (in, missing []model.NodeAddr)
	// Placement tells in which failure domains services have targets.
	Placement() config.Placement
	// MayCommit is false while the node is cut off from more than half of the
	// failure domains.
	MayCommit() bool
	// Quarantined lists the requests that are refused.
	Quarantined() []Quarantined
	// LiftQuarantine admits a request again; false when there is none.
	LiftQuarantine(id string) bool
}

// Options set up a Server; a zero field means the default.
type Options struct {
	Configuration Configurator
	Node          Node
	// Operators that may call; without any, each call is refused.
	Operators []Operator
	// CommitTimeout bounds the commit of a change; the default is 10 s.
	CommitTimeout time.Duration
	// InForceTimeout bounds the wait until a change is in force; the default
	// is 7 s.
	InForceTimeout time.Duration
	// Metrics receives the counters; the default is a set of its own.
	Metrics *metrics.Set
}

const (
	defaultCommitTimeout  = 10 * time.Second
	defaultInForceTimeout = 7 * time.Second
	// inForceInterval is the time between two looks at where a revision is in
	// force.
	inForceInterval = 20 * time.Millisecond
	// maxBody bounds the body of a call in bytes.
	maxBody = config.MaxDocumentBytes
)

// Server answers operators' calls.
type Server struct {
	options Options
	mux     *http.ServeMux
	refused *metrics.Counter
}

// New returns the handler of the interface.
func New(options Options) *Server {
	if options.CommitTimeout == 0 {
		options.CommitTimeout = defaultCommitTimeout
	}
	if options.InForceTimeout == 0 {
		options.InForceTimeout = defaultInForceTimeout
	}
	if options.Metrics == nil {
		options.Metrics = metrics.NewSet()
	}
	s := &Server{
		options: options, mux: http.NewServeMux(),
		refused: options.Metrics.NewCounter("zinniafall_operator_calls_refused_total"),
	}
	s.mux.HandleFunc("GET /v1/config", s.getConfig)
	s.mux.HandleFunc("GET /v1/config/{kind}", s.list)
	s.mux.HandleFunc("GET /v1/config/{kind}/{name}", s.getEntry)
	s.mux.HandleFunc("POST /v1/plan", s.plan)
	s.mux.HandleFunc("POST /v1/apply", s.apply)
	s.mux.HandleFunc("GET /v1/history", s.history)
	s.mux.HandleFunc("GET /v1/domains", s.domains)
	s.mux.HandleFunc("GET /v1/status", s.status)
	s.mux.HandleFunc("GET /v1/quarantine", s.quarantine)
	s.mux.HandleFunc("DELETE /v1/quarantine/{id}", s.liftQuarantine)
	s.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		fail(w, http.StatusNotFound, &Error{Kind: NotFound, Detail: "no such call: " + r.Method + " " + r.URL.Path, Remedy: "Use the `zinniafall` command of the node's version"})
	})
	return s
}

// author is the context key of the operator's name.
type author struct{}

// ServeHTTP answers a call that proves itself with an operator's token.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, ok := s.authenticate(r)
	if !ok {
		s.refused.Inc()
		klog.V(1).Infof("operatorapi: call without a valid token from %s", r.RemoteAddr)
		w.Header().Set("WWW-Authenticate", "Bearer")
		fail(w, http.StatusUnauthorized, &Error{Kind: Unauthenticated, Detail: "missing or unknown operator's token", Remedy: "Give the file with your token in --token-file; its hash must be in the node's settings"})
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	s.mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), author{}, name)))
}

// fail answers with an error.
func fail(w http.ResponseWriter, status int, err *Error) { reply(w, status, err) }

// reply answers with a JSON value.
func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		klog.V(1).Infof("operatorapi: writing an answer: %v", err)
	}
}

func (s *Server) history(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, History{Changes: s.options.Configuration.History()})
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	status := s.options.Node.Status()
	status.Revision = s.options.Configuration.Current().Revision
	status.MayCommit = s.options.Node.MayCommit()
	reply(w, http.StatusOK, status)
}

func (s *Server) quarantine(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, QuarantineList{Requests: s.options.Node.Quarantined()})
}

func (s *Server) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !s.options.Node.LiftQuarantine(id) {
		fail(w, http.StatusNotFound, &Error{Kind: NotFound, Detail: "no quarantined request " + id, Remedy: "Copy the id from `zinniafall quarantine list`; it may have expired"})
		return
	}
	klog.Infof("operatorapi: %s lifted the quarantine of %s", r.Context().Value(author{}), id)
	reply(w, http.StatusOK, QuarantineList{Requests: s.options.Node.Quarantined()})
}
