package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// instance is a stand-in of an application instance.
type instance struct {
	id, service, zone, addr, control string
	slots, queue                     int
	work                             time.Duration
	born                             int64
	// coldFor is warmup_s for an instance that starts during traffic, otherwise 0.
	coldFor   time.Duration
	startedAt time.Time
	rec       *recorder

	running, waiting atomic.Int64
	tokens           chan struct{}
	seq              atomic.Int64
	stop             chan struct{}
	server           *http.Server

	mu        sync.Mutex
	lifecycle string
}

func startInstance(i *instance) error {
	l, err := net.Listen("tcp4", i.addr)
	if err != nil {
		return err
	}
	i.tokens, i.stop, i.lifecycle = make(chan struct{}, i.slots), make(chan struct{}), "ready"
	i.startedAt = time.Now()
	i.born = i.startedAt.UnixMilli()
	i.server = &http.Server{Handler: http.HandlerFunc(i.serve)}
	go func() { _ = i.server.Serve(l) }()
	go i.heartbeats()
	return nil
}

// crash ends the instance at once: its connections break and it sends nothing more.
func (i *instance) crash() {
	close(i.stop)
	_ = i.server.Close()
}

func (i *instance) heartbeats() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		i.mu.Lock()
		state := i.lifecycle
		i.mu.Unlock()
		body, _ := json.Marshal(map[string]any{
			"address": i.addr, "born": i.born,
			"info":   map[string]any{"service": i.service, "version": "v1", "zone": i.zone, "capacity": i.slots},
			"status": map[string]any{"lifecycle": state, "seq": i.seq.Add(1), "warmup_left_ms": i.coldLeft().Milliseconds()},
		})
		if r, err := client.Post("http://"+i.control+"/v1/Instances.Heartbeat/"+i.id, "application/json", bytes.NewReader(body)); err == nil {
			_ = r.Body.Close()
		}
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-i.stop:
			return
		}
	}
}

func (i *instance) load() string {
	return fmt.Sprintf("%d,%d,%d,100", i.running.Load(), i.waiting.Load(), i.slots)
}

func (i *instance) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Zinniafall-Served-By", i.id)
	w.Header().Set("X-Zinniafall-Instance-Load", i.load())
	if r.URL.Path == "/health" {
		w.Header().Set("X-Zinniafall-Warmup-Ms", strconv.FormatInt(i.coldLeft().Milliseconds(), 10))
		return
	}
	arrived := time.Now()
	id := r.Header.Get("X-Zinniafall-Request-Id")
	if id == "" {
		w.Header().Set("X-Zinniafall-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Zinniafall-Request-Id", id)
	if expected := r.Header.Get("X-Zinniafall-Target-Instance"); expected != "" && expected != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the connection broke before the request was whole: it has not run
	}
	deadline := arrived.Add(time.Hour)
	if ms, err := strconv.Atoi(r.Header.Get("X-Zinniafall-Deadline-Ms")); err == nil {
		deadline = arrived.Add(time.Duration(ms) * time.Millisecond)
	}
	if !i.take(r, deadline) {
		w.Header().Set("X-Zinniafall-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { i.running.Add(-1); <-i.tokens }()
	sum := sha256.Sum256(body)
	i.rec.run(id, i.id, r.Method, r.RequestURI, len(body), hex.EncodeToString(sum[:]))
	work, late := i.work, false
	if i.coldLeft() > 0 {
		work *= 2 // cold_x
	}
	select {
	case <-time.After(work):
	case <-time.After(time.Until(deadline)):
		late = true
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Zinniafall-Instance-Load", i.load())
	w.Header().Set("X-Zinniafall-Upstream-Signature", hex.EncodeToString(sum[:8]))
	if late {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	_, _ = io.WriteString(w, "stored "+strings.Repeat(".", 200))
}

// coldLeft returns how long the instance stays cold.
func (i *instance) coldLeft() time.Duration { return max(i.coldFor-time.Since(i.startedAt), 0) }

// take waits for a slot. It returns false if the queue is full, the deadline passed in it or the
// caller left.
func (i *instance) take(r *http.Request, deadline time.Time) bool {
	select {
	case i.tokens <- struct{}{}:
		i.running.Add(1)
		return true
	default:
	}
	if i.waiting.Add(1) > int64(i.queue) {
		i.waiting.Add(-1)
		return false
	}
	defer i.waiting.Add(-1)
	select {
	case i.tokens <- struct{}{}:
		i.running.Add(1)
		return true
	case <-time.After(time.Until(deadline)):
		return false
	case <-r.Context().Done():
		return false
	}
}
