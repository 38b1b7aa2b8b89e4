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

// Configurator is the part of configuration.Applier that the API uses.
type Configurator interface {
	Current() *settings.Snapshot
	InForce() (config.Current, error)
	History() []config.HistoryEntry
	Plan(ctx context.Context, change config.Change, placement config.Placement) (config.Outcome, error)
	Commit(ctx context.Context, change config.Change, placement config.Placement) config.Outcome
}

// Node provides the other parts of the node that the API exposes.
type Node interface {
	// Status describes the node and the members that it knows of.
	Status() Status
	// InForce returns the live members, including this node, that have reported
	// a revision or a higher one as in force, and those that have not.
	InForce(revision model.Revision) (in, missing []model.NodeAddr)
	// Placement returns the failure domains in which each service has targets.
	Placement() config.Placement
	// MayCommit reports whether the node may commit changes. It may not while it
	// is cut off from more than half of the failure domains.
	MayCommit() bool
	// Quarantined returns the requests in quarantine.
	Quarantined() []Quarantined
	// LiftQuarantine ends the quarantine of a request and reports whether there
	// was one.
	LiftQuarantine(id string) bool
}

// Options configure a Server. A zero field means its default.
type Options struct {
	Configuration Configurator
	Node          Node
	// Operators are the operators with access. Without any, all requests are
	// refused.
	Operators []Operator
	// CommitTimeout bounds the commit of a change; the default is 10 s.
	CommitTimeout time.Duration
	// InForceTimeout bounds the wait until a change is in force; the default
	// is 7 s.
	InForceTimeout time.Duration
	// Metrics is the set that the metrics are registered in; the default is a
	// new set.
	Metrics *metrics.Set
}

const (
	defaultCommitTimeout  = 10 * time.Second
	defaultInForceTimeout = 7 * time.Second
	// inForceInterval is the time between two checks whether a revision is in
	// force on all members.
	inForceInterval = 20 * time.Millisecond
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = config.MaxDocumentBytes
)

// Server is the HTTP handler of the operators' API.
type Server struct {
	options Options
	mux     *http.ServeMux
	refused *metrics.Counter
}

// New returns a Server.
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
		writeError(w, http.StatusNotFound, &Error{Kind: NotFound, Detail: "no such call: " + r.Method + " " + r.URL.Path, Remedy: "Use the `zinniafall` command of the node's version"})
	})
	return s
}

// author is the context key of the authenticated operator's name.
type author struct{}

// ServeHTTP handles a request that is authenticated by an operator's token and
// refuses any other.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, ok := s.authenticate(r)
	if !ok {
		s.refused.Inc()
		klog.V(1).Infof("operatorapi: refused a request without a valid token from %s", r.RemoteAddr)
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeError(w, http.StatusUnauthorized, &Error{Kind: Unauthenticated, Detail: "missing or unknown operator's token", Remedy: "Give the file with your token in --token-file; its hash must be in the node's settings"})
		return
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	s.mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), author{}, name)))
}

// writeError writes an error response.
func writeError(w http.ResponseWriter, status int, err *Error) { writeJSON(w, status, err) }

// writeJSON writes a response with a JSON value as its body.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		klog.V(1).Infof("operatorapi: writing a response: %v", err)
	}
}

func (s *Server) history(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, History{Changes: s.options.Configuration.History()})
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	status := s.options.Node.Status()
	status.Revision = s.options.Configuration.Current().Revision
	status.MayCommit = s.options.Node.MayCommit()
	writeJSON(w, http.StatusOK, status)
}

func (s *Server) quarantine(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, QuarantineList{Requests: s.options.Node.Quarantined()})
}

func (s *Server) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !s.options.Node.LiftQuarantine(id) {
		writeError(w, http.StatusNotFound, &Error{Kind: NotFound, Detail: "no quarantined request " + id, Remedy: "Copy the id from `zinniafall quarantine list`; it may have expired"})
		return
	}
	klog.Infof("operatorapi: %s lifted the quarantine of %s", r.Context().Value(author{}), id)
	writeJSON(w, http.StatusOK, QuarantineList{Requests: s.options.Node.Quarantined()})
}
