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
	malformedFloods          = metrics.NewCounter(`zinniafall_flood_malformed_total`)
	droppedOwnerProbes       = metrics.NewCounter(`zinniafall_probe_dropped_total`)
	targetProbes             = metrics.NewCounter(`zinniafall_target_measuring_requests_total`)
	refusedCallerConnections = metrics.NewCounter(`zinniafall_caller_connections_refused_total`)
)

// callerIdleTimeout closes a caller's idle connection.
const callerIdleTimeout = 2 * time.Minute

// serveHTTP starts the three HTTP servers.
func (s *Server) serveHTTP() {
	s.callers = &http.Server{
		Handler:           http.HandlerFunc(s.serveCaller),
		ReadHeaderTimeout: s.settings.HeaderTimeout(),
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    s.settings.Limits.HeaderBytes,
		Protocols:         cleartextProtocols(),
		ConnContext:       numberConnections(),
	}
	s.targetAPI = &http.Server{Handler: s.targetHandler(), ReadHeaderTimeout: s.settings.HeaderTimeout(), MaxHeaderBytes: s.settings.Limits.HeaderBytes}
	s.operators = &http.Server{Handler: s.operatorHandler(), ReadHeaderTimeout: s.settings.HeaderTimeout(), MaxHeaderBytes: s.settings.Limits.HeaderBytes}
	limited := &limitedListener{Listener: s.listeners.callers, limit: int64(s.settings.Limits.CallerConnections)}
	s.startServing("entry", s.callers, limited)
	s.startServing("target", s.targetAPI, s.listeners.target)
	s.startServing("operators", s.operators, s.listeners.operators)
}

// serveCaller passes a call to the entry. While the node stops, each answer
// asks the caller to close its kept-alive connection: over HTTP/1.1 by the
// header, over HTTP/2 by the GOAWAY frame into which net/http turns it. The end of a stop
// ends the call.
func (s *Server) serveCaller(w http.ResponseWriter, r *http.Request) {
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.callsCtx, cancel)()
	s.entry.ServeHTTP(w, r.WithContext(ctx))
}

// startServing serves connections of the listener until the server is closed.
// The part names the server in the log.
func (s *Server) startServing(part string, server *http.Server, listener net.Listener) {
	s.startGoroutine(func() {
		if err := server.Serve(listener); err != http.ErrServerClosed {
			klog.Errorf("%s: The listener failed: %v.", part, err)
		}
	})
}

// cleartextProtocols returns HTTP/1.1 and HTTP/2, both without TLS.
func cleartextProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// numberConnections gives each caller connection a number of its own.
func numberConnections() func(context.Context, net.Conn) context.Context {
	var last atomic.Uint64
	return func(ctx context.Context, _ net.Conn) context.Context {
		return entry.WithConnection(ctx, last.Add(1))
	}
}

// limitedListener closes connections beyond the limit as soon as they are
// accepted.
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
		refusedCallerConnections.Inc()
		_ = conn.Close()
	}
}

// limitedConn releases its place in the listener's limit when it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	closed   atomic.Bool
}

// Close closes the connection. Only the first call releases its place.
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

// serveMetrics writes the metrics of the process and those of this node.
func (s *Server) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(w, true)
	s.metrics.WritePrometheus(w)
}

// serveReady reports whether callers should use this entry.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := s.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReadyReason returns why callers should not use this entry, or "".
func (s *Server) notReadyReason() string {
	switch {
	case s.stopping.Load():
		return "the node stops"
	case s.revision() == 0:
		return "the node has no configuration yet"
	case s.domainOut():
		return "the failure domain is out of service"
	case !s.freshnessTracker.fresh():
		return "the node has lost contact with the others"
	}
	return ""
}
