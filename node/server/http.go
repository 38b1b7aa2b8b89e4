package server

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"zinniafall/node/entry"
)

var (
	malformedFloods   = metrics.NewCounter(`zinniafall_flood_malformed_total`)
	droppedProbes     = metrics.NewCounter(`zinniafall_probe_dropped_total`)
	measuringRequests = metrics.NewCounter(`zinniafall_target_measuring_requests_total`)
	refusedCallers    = metrics.NewCounter(`zinniafall_caller_connections_refused_total`)
)

// callerIdle closes a caller's connection that is not used.
const callerIdle = 2 * time.Minute

// serveHTTP starts the three HTTP servers.
func (s *Server) serveHTTP() {
	s.callers = &http.Server{
		Handler:           http.HandlerFunc(s.serveCaller),
		ReadHeaderTimeout: s.settings.HeaderTimeout(),
		IdleTimeout:       callerIdle,
		MaxHeaderBytes:    s.settings.Limits.HeaderBytes,
		Protocols:         cleartextProtocols(),
		ConnContext:       numberConnections(),
	}
	s.targetAPI = &http.Server{Handler: s.targetHandler(), ReadHeaderTimeout: s.settings.HeaderTimeout()}
	s.operators = &http.Server{Handler: s.operatorHandler(), ReadHeaderTimeout: s.settings.HeaderTimeout()}
	limited := &limitedListener{Listener: s.listeners.callers, limit: int64(s.settings.Limits.CallerConnections)}
	s.goServe("entry", s.callers, limited)
	s.goServe("target", s.targetAPI, s.listeners.target)
	s.goServe("operators", s.operators, s.listeners.operators)
}

// serveCaller hands a call to the entry. While the node stops, each answer asks
// the caller to leave the kept-open connection: HTTP/1.1 by its header, HTTP/2
// by the GOAWAY frame that net/http makes of it.
func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) {
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	s.entry.ServeHTTP(w, r)
}

func (s *Server) goServe(part string, server *http.Server, listener net.Listener) {
	s.goDuty(func() {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			klog.Errorf("%s: The listener failed: %v.", part, err)
		}
	})
}

func cleartextProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// numberConnections gives each caller's connection a number.
func numberConnections() func(context.Context, net.Conn) context.Context {
	var last atomic.Uint64
	return func(ctx context.Context, _ net.Conn) context.Context {
		return entry.WithConnection(ctx, last.Add(1))
	}
}

// limitedListener closes connections beyond the limit at once.
type limitedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		refusedCallers.Inc()
		_ = conn.Close()
	}
}

// limitedConn counts itself out when it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	closed   atomic.Bool
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

// operatorHandler serves health, metrics and the operators' API.
func (s *Server) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.HandleFunc("GET /metrics", s.serveMetrics)
	mux.Handle("/v1/", s.operatorAPI())
	return mux
}

func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
	s.metrics.WritePrometheus(w)
}

// serveReady says whether callers should use this entry.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := s.notReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) notReady() string {
	switch {
	case s.stopping.Load():
		return "the node stops"
	case s.revision() == 0:
		return "the node has no configuration yet"
	case s.domainOut():
		return "the failure domain is out of service"
	case !s.judge.fresh():
		return "the node has lost contact with the others"
	}
	return ""
}
