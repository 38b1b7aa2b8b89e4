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
	// maxAnnouncement bounds the body of an announcement, in bytes.
	maxAnnouncement = 4 << 10
	// maxSlots bounds the slots that a target may announce.
	maxSlots = 10_000
	// minConnections leaves room for connections opened ahead.
	minConnections = 4
	// defaultConnections is the limit of a target that announces none.
	defaultConnections = 260
	// maxLease bounds the life of an announcement.
	maxLease = 5 * time.Minute
)

// Announcement is the body with which a target makes itself known.
type Announcement struct {
	// Service that the target belongs to.
	Service model.Service `json:"service"`
	// Address "ip:port" for calls.
	Address string `json:"address"`
	// Instance names the target's process; a new one is a restart.
	Instance string `json:"instance"`
	// Slots is the number of calls that the target runs at once.
	Slots int `json:"slots"`
	// Connections is the most connections that it takes; default 260.
	Connections int `json:"connections"`
	// Cold says that the target has just started.
	Cold bool `json:"cold"`
	// HealthPath and LoadPath are the measuring endpoints; may be empty.
	HealthPath string `json:"health_path"`
	LoadPath   string `json:"load_path"`
	// LeaseMs is the time for which the announcement holds, in milliseconds.
	LeaseMs int `json:"lease_ms"`
}

// check returns what is wrong with an announcement, nil when nothing is.
func (a *Announcement) check() error {
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

// targetHolder knows the target that is announced now.
type targetHolder struct {
	mu       sync.Mutex
	runner   *target.Runner
	announce Announcement
	shared   model.TargetState
}

func newTargetHolder() *targetHolder { return &targetHolder{} }

func (h *targetHolder) current() (*target.Runner, model.Service) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runner, h.announce.Service
}

// service returns the service of the announced target.
func (h *targetHolder) service() model.Service {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.announce.Service
}

// fill writes what members know of the target into the node's record.
func (h *targetHolder) fill(m *membership.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m.Target = h.shared
	m.Service = h.announce.Service
	m.Slots = uint16(h.announce.Slots)
}

// changeShared notes the state that members know and reports whether it is new.
func (h *targetHolder) changeShared(state model.TargetState) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := h.shared != state
	h.shared = state
	return changed
}

// set takes in a checked announcement. A changed address gets a new runner.
func (h *targetHolder) set(a Announcement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runner == nil || h.announce.Address != a.Address || h.announce.Connections != a.Connections {
		if h.runner != nil {
			h.runner.Close()
		}
		h.runner = target.NewRunner(a.Address, a.Connections)
	}
	if h.announce.Service != a.Service || h.announce.Slots != a.Slots {
		h.shared = model.TargetAbsent
	}
	h.announce = a
}

func (h *targetHolder) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runner != nil {
		h.runner.Close()
	}
}

// targetHandler serves the interface for targets.
func (s *Server) targetHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/target", s.serveAnnounce)
	mux.HandleFunc("POST /v1/target/drain", s.serveDrain)
	mux.HandleFunc("DELETE /v1/target", s.serveWithdraw)
	return mux
}

func (s *Server) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxAnnouncement))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&a)
	if err == nil {
		err = a.check()
	}
	if err != nil {
		refusal := problem.New(problem.BadRequest, model.RunNo, "the announcement is refused: "+err.Error())
		http.Error(w, refusal.Error(), refusal.Status())
		return
	}
	s.target.set(a)
	s.followMeasureRate()
	s.owner.Announce(admission.Announcement{
		Instance: a.Instance, Slots: a.Slots, Connections: a.Connections, Cold: a.Cold,
		Lease: time.Duration(a.LeaseMs) * time.Millisecond,
	})
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveDrain(w http.ResponseWriter, _ *http.Request) {
	klog.Info("target: The target drains.")
	s.owner.Drain()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveWithdraw(w http.ResponseWriter, _ *http.Request) {
	klog.Info("target: The target withdrew.")
	s.owner.Gone()
	w.WriteHeader(http.StatusNoContent)
}

const (
	// measurePause is the time between looks at the target.
	measurePause = time.Second
	// measureTimeout bounds one measuring request.
	measureTimeout = 500 * time.Millisecond
)

// measureDuty asks the target's health endpoint within its budget. It is the
// only place from which measuring requests leave. A refused connection proves
// that the target's process is gone; other failures prove nothing, since the
// endpoint lags and misleads.
func (s *Server) measureDuty() {
	ticker := time.NewTicker(measurePause)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			s.measure()
		}
	}
}

func (s *Server) measure() {
	s.target.mu.Lock()
	runner, path := s.target.runner, s.target.announce.HealthPath
	absent := s.target.shared == model.TargetAbsent
	s.target.mu.Unlock()
	if runner == nil || path == "" || absent || !s.owner.AllowMeasure() {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, measureTimeout)
	defer cancel()
	request, err := http.NewRequest(http.MethodGet, path, nil)
	if err != nil {
		return
	}
	measuringRequests.Inc()
	result := runner.Run(ctx, request)
	if result.Response != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(result.Response.Body, maxAnnouncement))
		_ = result.Response.Body.Close()
	}
	if errors.Is(result.Err, syscall.ECONNREFUSED) {
		klog.Warning("target: The target's process is gone.")
		s.owner.Gone()
	}
}
