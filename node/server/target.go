package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"zinniafall/node/target"
	"zinniafall/policy/admission"
	"zinniafall/policy/membership"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

const (
	// maxTargetBodyBytes bounds the body of an announcement, and what is read of
	// a health response, in bytes.
	maxTargetBodyBytes = 4 << 10
	// maxSlots bounds the slots that a target may announce.
	maxSlots = 10_000
	// minConnections is the lowest limit that a target may announce. It leaves
	// room for connections that are opened ahead of need.
	minConnections = 4
	// defaultConnections is the connection limit of a target that announces
	// none.
	defaultConnections = 260
	// maxLease bounds the lease of an announcement.
	maxLease = 5 * time.Minute
)

// Announcement is the body of the request by which a target announces itself.
type Announcement struct {
	// Service is the service that the target belongs to.
	Service model.Service `json:"service"`
	// Address is where the target accepts calls, as "ip:port".
	Address string `json:"address"`
	// Instance identifies the process of the target; a new value means that
	// the target has restarted.
	Instance string `json:"instance"`
	// Slots is the number of calls that the target runs concurrently.
	Slots int `json:"slots"`
	// Connections is the most connections that the target accepts; the default
	// is 260.
	Connections int `json:"connections"`
	// Cold is true when the target has just started.
	Cold bool `json:"cold"`
	// HealthPath and LoadPath are the paths of the target's probe endpoints.
	// They may be empty.
	HealthPath string `json:"health_path"`
	LoadPath   string `json:"load_path"`
	// LeaseMs is how long the announcement is valid, in milliseconds.
	LeaseMs int `json:"lease_ms"`
}

// validate sets the default of Connections and returns the first problem of
// the announcement, if any.
func (a *Announcement) validate() error {
	if a.Connections == 0 {
		a.Connections = defaultConnections
	}
	lease := time.Duration(a.LeaseMs) * time.Millisecond
	switch {
	case a.Service == "":
		return errors.New("service is missing; name the service of the target")
	case a.Instance == "":
		return errors.New("instance is missing; send a value that is new for each process")
	case a.Slots < 1 || a.Slots > maxSlots:
		return fmt.Errorf("slots is %d; send a number from 1 to %d", a.Slots, maxSlots)
	case a.Connections < minConnections:
		return fmt.Errorf("connections is %d; send at least %d", a.Connections, minConnections)
	case lease <= 0 || lease > maxLease:
		return fmt.Errorf("lease_ms is %d; send a number from 1 to %d", a.LeaseMs, maxLease.Milliseconds())
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return fmt.Errorf("address %q is not ip:port", a.Address)
	}
	return nil
}

// announcedTarget holds the target that is currently announced.
type announcedTarget struct {
	mu           sync.Mutex
	runner       *target.Runner
	announcement Announcement
	// published is the state that members have of the target.
	published model.TargetState
}

func newAnnouncedTarget() *announcedTarget { return &announcedTarget{} }

// current returns the runner, nil when there is none, and the service of the
// target.
func (t *announcedTarget) current() (*target.Runner, model.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runner, t.announcement.Service
}

// service returns the service of the announced target.
func (t *announcedTarget) service() model.Service {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.announcement.Service
}

// instance returns the process of the announced target, or "" if there is none.
func (t *announcedTarget) instance() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.announcement.Instance
}

// fillMember writes the published state of the target into the node's member
// record.
func (t *announcedTarget) fillMember(m *membership.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m.Target = t.published
	m.Service = t.announcement.Service
	m.Slots = uint16(t.announcement.Slots)
}

// setPublished sets the state that members have of the target and reports
// whether it changed.
func (t *announcedTarget) setPublished(state model.TargetState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.published != state
	t.published = state
	return changed
}

// update replaces the announcement by a valid one. A change of address or
// connection limit gets a new runner, and a change of service or slots resets
// the published state, so that the next state is published again.
func (t *announcedTarget) update(a Announcement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runner == nil || t.announcement.Address != a.Address || t.announcement.Connections != a.Connections {
		if t.runner != nil {
			t.runner.Close()
		}
		t.runner = target.NewRunner(a.Address, a.Connections)
	}
	if t.announcement.Service != a.Service || t.announcement.Slots != a.Slots {
		t.published = model.TargetAbsent
	}
	t.announcement = a
}

// close closes the runner, if there is one.
func (t *announcedTarget) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runner != nil {
		t.runner.Close()
	}
}

// targetHandler serves the API for targets.
func (s *Server) targetHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/target", s.serveAnnounce)
	mux.HandleFunc("POST /v1/target/drain", s.serveDrain)
	mux.HandleFunc("DELETE /v1/target", s.serveWithdraw)
	return mux
}

// serveAnnounce records a valid announcement and passes it to the owner.
func (s *Server) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxTargetBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&a)
	if err == nil {
		err = a.validate()
	}
	if err != nil {
		refusal := problem.New(problem.BadRequest, model.RunNo, "the announcement is refused: "+err.Error())
		http.Error(w, refusal.Error(), refusal.Status())
		return
	}
	if a.Instance != s.target.instance() {
		s.checkDeparture(r.Context(), a.Instance)
	}
	s.target.update(a)
	s.updateTargetProbeRate()
	s.owner.Announce(admission.Announcement{
		Instance: a.Instance, Slots: a.Slots, Connections: a.Connections, Cold: a.Cold,
		Lease: time.Duration(a.LeaseMs) * time.Millisecond,
	})
	w.WriteHeader(http.StatusNoContent)
}

// serveDrain stops new calls to the target; calls in progress complete.
func (s *Server) serveDrain(w http.ResponseWriter, r *http.Request) {
	klog.Info("target: The target announced that it drains.")
	s.owner.Drain()
	s.acknowledgeDeparture(w, r)
}

// serveWithdraw reports to the owner that the target is gone.
func (s *Server) serveWithdraw(w http.ResponseWriter, r *http.Request) {
	klog.Info("target: The target withdrew.")
	s.owner.Withdraw()
	s.acknowledgeDeparture(w, r)
}

const (
	// targetProbeInterval is the time between two probes of the target.
	targetProbeInterval = time.Second
	// targetProbeTimeout bounds one probe.
	targetProbeTimeout = 500 * time.Millisecond
)

// targetProbeLoop probes the target's health endpoint within the probe rate of
// its service. No other code sends probes to the target. A refused connection
// proves that the target's process is gone; other failures prove nothing,
// since the status that the endpoint reports may be outdated or wrong.
func (s *Server) targetProbeLoop() {
	ticker := time.NewTicker(targetProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.probeTarget()
		}
	}
}

// probeTarget sends one health probe, unless the target is absent, has no
// health path or the probe rate forbids it. If the target refuses the
// connection, it is recorded as gone; the response itself is ignored.
func (s *Server) probeTarget() {
	s.target.mu.Lock()
	runner, path := s.target.runner, s.target.announcement.HealthPath
	absent := s.target.published == model.TargetAbsent
	s.target.mu.Unlock()
	if runner == nil || path == "" || absent || !s.owner.AllowProbe() {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, targetProbeTimeout)
	defer cancel()
	request, err := http.NewRequest(http.MethodGet, path, nil)
	if err != nil {
		return
	}
	targetProbes.Inc()
	result := runner.Run(ctx, request)
	if result.Response != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(result.Response.Body, maxTargetBodyBytes))
		_ = result.Response.Body.Close()
	}
	if errors.Is(result.Err, syscall.ECONNREFUSED) {
		klog.Warning("target: The target refused a connection; its process is gone.")
		s.owner.Gone()
	}
}
