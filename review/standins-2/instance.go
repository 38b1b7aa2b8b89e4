package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that an instance ran.
type run struct {
	at                    time.Time
	id, method, uri, host string
	body                  string
	instance, service     string
	caller                string
}

const (
	// warmUp is warmup_s and coldFactor how much longer work takes meanwhile.
	warmUp     = 3 * time.Second
	coldFactor = 2
	// maxWaiting is how many requests wait for a slot.
	maxWaiting = 24
)

// instance is an application instance beside a node.
type instance struct {
	m       *machine
	id      string
	service string
	born    int64
	slots   int
	work    time.Duration
	record  *record

	mu       sync.Mutex
	server   *http.Server
	running  int
	seq      int64
	runs     []run
	others   int // requests for other instances
	stopBeat chan struct{}
	leaving  bool
	// clock is how far the machine's time of day is ahead.
	clock   time.Duration
	started time.Time
	slot    chan struct{}
	waiting int
	// spoilEach makes the instance spoil the status line of each such answer; 0 means none.
	spoilEach int
	// beaten receives a value after each heartbeat that was acknowledged.
	beaten chan struct{}
}

func newInstance(m *machine, id, service string, work time.Duration, rec *record) *instance {
	return &instance{m: m, id: id, service: service, born: time.Now().UnixMilli(), slots: 12, slot: make(chan struct{}, 12), work: work, record: rec, stopBeat: make(chan struct{}), beaten: make(chan struct{}, 1)}
}

// start serves requests and begins to send heartbeats.
func (i *instance) start() error {
	i.mu.Lock()
	i.started = time.Now()
	i.mu.Unlock()
	i.born = time.Now().Add(i.clock).UnixMilli()
	l, err := net.Listen("tcp", i.m.app)
	if err != nil {
		return err
	}
	i.server = &http.Server{Handler: http.HandlerFunc(i.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = i.server.Serve(l) }()
	go i.beat()
	i.record.add("instance %s of %s starts at %s, beside %s, born %d", i.id, i.service, i.m.app, i.m.name, i.born)
	return nil
}

// crash ends the instance without a word.
func (i *instance) crash() {
	close(i.stopBeat)
	_ = i.server.Close()
	i.record.add("instance %s of %s has ended", i.id, i.service)
}

// coldLeft returns how much longer the instance is cold.
func (i *instance) coldLeft() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return max(time.Until(i.started.Add(warmUp)), 0)
}

// lifecycle returns the state that the instance reports.
func (i *instance) lifecycle() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.leaving {
		return "draining"
	}
	return "ready"
}

// drain reports that the instance leaves until that is acknowledged, or for 5 s. It returns the
// time of the acknowledgement, or zero.
func (i *instance) drain() time.Time {
	i.mu.Lock()
	i.leaving = true
	i.mu.Unlock()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		seq := i.nextSeq()
		i.mu.Lock()
		i.seq = seq
		i.mu.Unlock()
		status := i.post(i.message(seq))
		i.record.add("heartbeat of %s, draining, seq %d: %d", i.id, seq, status)
		if status == 200 {
			return time.Now()
		}
	}
	return time.Time{}
}

// message returns the body of a heartbeat.
func (i *instance) message(seq int64) []byte {
	raw, _ := json.Marshal(map[string]any{
		"address": i.m.app, "born": i.born,
		"info":   map[string]any{"service": i.service, "version": "v1", "zone": i.m.zone, "capacity": i.slots},
		"status": map[string]any{"lifecycle": i.lifecycle(), "seq": seq, "warmup_left_ms": i.coldLeft().Milliseconds()},
	})
	return raw
}

// post sends a heartbeat and returns the status of the answer, or 0.
func (i *instance) post(raw []byte) int {
	client := http.Client{Timeout: time.Second}
	r, err := client.Post("http://"+i.m.control+"/v1/Instances.Heartbeat/"+i.id, "application/json", bytes.NewReader(raw))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode
}

// beat sends a heartbeat every 1.5 s.
func (i *instance) beat() {
	for {
		i.mu.Lock()
		i.seq++
		seq := i.seq
		i.mu.Unlock()
		status := i.post(i.message(seq))
		i.record.add("heartbeat of %s (%s), seq %d: %d", i.id, i.service, seq, status)
		if status == 200 {
			select {
			case i.beaten <- struct{}{}:
			default:
			}
		}
		select {
		case <-i.stopBeat:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (i *instance) load() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", i.running, i.waiting, i.slots)
}

// serve answers requests as PROTOCOL.md says.
func (i *instance) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Zinniafall-Instance-Load", i.load())
	if r.URL.Path == "/health" && r.Header.Get("X-Zinniafall-Request-Id") == "" {
		w.Header().Set("X-Zinniafall-Served-By", i.id)
		if left := i.coldLeft(); left > 0 {
			w.Header().Set("X-Zinniafall-Warmup-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		}
		if i.lifecycle() == "draining" {
			w.WriteHeader(503)
			return
		}
		w.WriteHeader(200)
		return
	}
	id := r.Header.Get("X-Zinniafall-Request-Id")
	if id == "" {
		w.Header().Set("X-Zinniafall-Not-Executed", "1")
		w.WriteHeader(400)
		return
	}
	w.Header().Set("X-Zinniafall-Request-Id", id)
	if named := r.Header.Get("X-Zinniafall-Target-Instance"); named != "" && named != i.id {
		i.mu.Lock()
		i.others++
		i.mu.Unlock()
		i.record.add("instance %s of %s answers 421 to request %s, which names %s", i.id, i.service, id, named)
		w.Header().Set("X-Zinniafall-Served-By", i.id)
		w.WriteHeader(421)
		return
	}
	arrived := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !i.takeSlot(r) {
		w.Header().Set("X-Zinniafall-Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	defer func() { <-i.slot }()
	i.mu.Lock()
	i.running++
	i.runs = append(i.runs, run{time.Now(), id, r.Method, r.RequestURI, r.Host, string(body), i.id, i.service, r.Header.Get("X-Zinniafall-Caller-Service")})
	i.mu.Unlock()
	i.record.add("instance %s of %s runs request %s: %s %s%s", i.id, i.service, id, r.Method, r.Host, r.RequestURI)
	work, inTime := i.work, true
	if i.coldLeft() > 0 {
		work *= coldFactor
	}
	if left := time.Until(arrived.Add(deadlineOf(r))); left < work {
		work, inTime = max(left, 0), false
	}
	time.Sleep(work)
	i.mu.Lock()
	i.running--
	spoil := i.spoilEach > 0 && len(i.runs)%i.spoilEach == 0
	i.mu.Unlock()
	if spoil {
		i.sendSpoiled(w, id)
		return
	}
	if i.lifecycle() == "draining" {
		w.Header().Set("Connection", "close")
	}
	if !inTime {
		w.Header().Set("X-Zinniafall-Upstream-Signature", "sig."+i.id)
		w.WriteHeader(504)
		return
	}
	w.Header().Set("X-Zinniafall-Upstream-Signature", "sig."+i.id)
	w.Header().Set("X-Zinniafall-Served-By", i.id)
	w.Header().Set("Keep-Alive", "timeout=10")
	_, _ = fmt.Fprintf(w, "%s of %s ran %s\n", i.id, i.service, id)
}

// allRuns returns what the instance has run.
func (i *instance) allRuns() []run {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]run(nil), i.runs...)
}

// nextSeq returns the sequence number of the next heartbeat.
func (i *instance) nextSeq() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.seq + 1
}

// takeSlot waits for a slot, in a short queue and up to the deadline of the request.
func (i *instance) takeSlot(r *http.Request) bool {
	select {
	case i.slot <- struct{}{}:
		return true
	default:
	}
	i.mu.Lock()
	full := i.waiting >= maxWaiting
	if !full {
		i.waiting++
	}
	i.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		i.mu.Lock()
		i.waiting--
		i.mu.Unlock()
	}()
	select {
	case i.slot <- struct{}{}:
		return true
	case <-time.After(deadlineOf(r)):
	case <-r.Context().Done():
	}
	return false
}

// deadlineOf returns the time that a request states for its answer.
func deadlineOf(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("X-Zinniafall-Deadline-Ms"))
	if err != nil {
		ms = 30_000
	}
	return time.Duration(ms) * time.Millisecond
}

// sendSpoiled sends an answer whose status is none, and closes the connection.
func (i *instance) sendSpoiled(w http.ResponseWriter, id string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	line := "HTTP/1.1 020 OK"
	i.record.add("instance %s spoils its answer to request %s: %q", i.id, id, line)
	_, _ = fmt.Fprintf(conn, "%s\r\nX-Zinniafall-Request-Id: %s\r\nX-Zinniafall-Upstream-Signature: sig.%s\r\nContent-Length: 3\r\n\r\nran", line, id, i.id)
	_ = conn.Close()
}
