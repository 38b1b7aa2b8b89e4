package world

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// HeartbeatInterval is heartbeat_ms of the settings.
	HeartbeatInterval = 1500 * time.Millisecond
	slots             = 12
	// queue is how many requests wait for a slot; more are refused (queue of the site).
	queue = 24
	// coldFactor is how many times as long work takes at a cold instance (cold_x of the site).
	coldFactor = 2
)

// Arrival is a request that reached an instance.
type Arrival struct {
	ID, Instance, Method, URI, Body string
	At                              time.Time
	Misdirected                     bool // answered with 421
	Ran                             bool
	// Bad is set if the answer was a failure, or slow by the instance's version, EndedAt when
	// it was given.
	Bad     bool
	EndedAt time.Time
}

// Instance is a stand-in of one start of an application instance.
type Instance struct {
	Node *Node
	ID   string
	Born time.Time
	Work time.Duration // of each request, if WorkOf does not say otherwise
	// WorkOf returns the work of a request of a method. It may be nil.
	WorkOf func(method string) time.Duration
	// Late returns how late the heartbeat with a sequence number arrives; nil means that
	// all arrive at once.
	Late func(seq int64) time.Duration
	// Version is what it states of its software; empty means v1.
	Version string
	// Answer returns how a request is answered and how many times as long its work takes,
	// given the number of requests in progress with it. It may be nil.
	Answer func(r *http.Request, running int) (status, factor int)
	// ColdRequests is the number of requests in a second above which the instance crashes while
	// it is cold; 0 means that it bears any number.
	ColdRequests int
	// ColdFor is how long it is cold after its start; 0 for one that starts before the traffic.
	ColdFor time.Duration

	server *http.Server
	ctx    context.Context
	cancel context.CancelFunc
	free   chan struct{}

	mu       sync.Mutex
	seq      int64
	beating  bool
	draining bool
	gone     bool // it has deregistered: its health is not good any more
	// coldUntil is the end of the present or last time for which it is cold, coldTime how long
	// that lasts in all.
	coldUntil time.Time
	coldTime  time.Duration
	crashed   bool
	arrivals  []Arrival
	waiting   int // requests that wait for a slot
}

// StartInstance starts an instance beside a node.
func StartInstance(n *Node, id string, work time.Duration, late func(seq int64) time.Duration) (*Instance, error) {
	return StartAs(&Instance{Node: n, ID: id, Work: work, Late: late})
}

// StartAs starts an instance whose exported fields are set.
func StartAs(i *Instance) (*Instance, error) {
	n := i.Node
	l, err := net.Listen("tcp", n.App())
	if err != nil {
		return nil, err
	}
	i.Born, i.free, i.beating = time.Now(), make(chan struct{}, slots), true
	i.coldUntil, i.coldTime = i.Born.Add(i.ColdFor), i.ColdFor
	i.ctx, i.cancel = context.WithCancel(context.Background())
	i.server = &http.Server{Handler: i, IdleTimeout: 10 * time.Second}
	go func() { _ = i.server.Serve(l) }()
	go i.beat()
	n.World.Log("instance %s started beside %s, born %d, cold for %s", i.ID, n.Name, i.Born.UnixMilli(), i.ColdFor)
	return i, nil
}

// Stop ends the instance.
func (i *Instance) Stop() {
	i.cancel()
	_ = i.server.Close()
	i.Node.World.Log("instance %s has ended", i.ID)
}

// Arrivals returns the requests that have reached the instance.
func (i *Instance) Arrivals() []Arrival {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]Arrival(nil), i.arrivals...)
}

// beat sends heartbeats until the instance leaves or ends.
func (i *Instance) beat() {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		i.mu.Lock()
		if !i.beating {
			i.mu.Unlock()
			return
		}
		i.seq++
		seq := i.seq
		body := i.heartbeat(seq)
		i.mu.Unlock()
		late := time.Duration(0)
		if i.Late != nil {
			late = i.Late(seq)
		}
		go i.deliver(seq, body, late)
		select {
		case <-ticker.C:
		case <-i.ctx.Done():
			return
		}
	}
}

func (i *Instance) heartbeat(seq int64) []byte {
	lifecycle := "ready"
	if i.draining {
		lifecycle = "draining"
	}
	raw, _ := json.Marshal(map[string]any{
		"address": i.Node.App(), "born": i.Born.UnixMilli(),
		"info":   map[string]any{"service": i.Node.Service, "version": cmp.Or(i.Version, "v1"), "zone": i.Node.Zone, "capacity": slots},
		"status": map[string]any{"lifecycle": lifecycle, "seq": seq, "warmup_left_ms": max(time.Until(i.coldUntil).Milliseconds(), 0)},
	})
	return raw
}

// deliver brings a heartbeat to the node's control address, late if the network holds it up.
func (i *Instance) deliver(seq int64, body []byte, late time.Duration) {
	if late > 0 {
		i.Node.World.Log("instance %s sends heartbeat %d, which the network delays by %s", i.ID, seq, late)
		time.Sleep(late)
	}
	status, err := i.post("/v1/Instances.Heartbeat/"+i.ID, body, time.Second)
	if late > 0 || err != nil {
		i.Node.World.Log("heartbeat %d of %s reached %s: status %d, error %v", seq, i.ID, i.Node.Name, status, err)
	}
}

func (i *Instance) post(path string, body []byte, limit time.Duration) (int, error) {
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+i.Node.Control()+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// Deregister says that the instance leaves, as instances do that never report "draining". It
// returns when that was acknowledged.
func (i *Instance) Deregister() (acknowledged time.Time, err error) {
	i.mu.Lock()
	i.beating, i.gone = false, true
	i.mu.Unlock()
	raw, _ := json.Marshal(map[string]any{"born": i.Born.UnixMilli()})
	status, err := i.post("/v1/Instances.Deregister/"+i.ID, raw, time.Second)
	if err != nil || status/100 != 2 {
		return time.Time{}, fmt.Errorf("the deregistration was not acknowledged: status %d, %v", status, err)
	}
	now := time.Now()
	i.Node.World.Log("instance %s deregistered; %s acknowledged it with %d", i.ID, i.Node.Name, status)
	return now, nil
}

func (i *Instance) leaving() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.gone || i.draining
}

// ServeHTTP answers health questions and runs requests.
func (i *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Zinniafall-Instance-Load", fmt.Sprintf("%d,%d,%d,100", len(i.free), i.queued(), slots))
	if r.URL.Path == "/health" {
		h.Set("X-Zinniafall-Served-By", i.ID)
		h.Set("X-Zinniafall-Warmup-Ms", strconv.FormatInt(i.warmUpLeft().Milliseconds(), 10))
		if i.leaving() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := Arrival{ID: r.Header.Get("X-Zinniafall-Request-Id"), Instance: i.ID, Method: r.Method, URI: r.URL.RequestURI(), Body: string(body), At: time.Now()}
	h.Set("X-Zinniafall-Request-Id", a.ID)
	if target := r.Header.Get("X-Zinniafall-Target-Instance"); target != "" && target != i.ID {
		a.Misdirected = true
		i.add(a)
		h.Set("X-Zinniafall-Served-By", i.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n := i.add(a)
	if i.overrun() {
		panic(http.ErrAbortHandler)
	}
	if !i.enter(r.Context()) {
		h.Set("X-Zinniafall-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-i.free }()
	i.begun(n - 1)
	work := i.Work
	if i.WorkOf != nil {
		work = i.WorkOf(r.Method)
	}
	if i.warmUpLeft() > 0 {
		work *= coldFactor
	}
	status := http.StatusOK
	if i.Answer != nil {
		var factor int
		status, factor = i.Answer(r, len(i.free))
		work *= time.Duration(factor)
		i.answered(n-1, status, factor)
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-i.ctx.Done():
		panic(http.ErrAbortHandler)
	}
	text := fmt.Sprintf("%s %s %d", i.ID, a.ID, n)
	h.Set("X-Zinniafall-Upstream-Signature", fmt.Sprintf("%s.%d", i.ID, n))
	h.Set("Content-Length", strconv.Itoa(len(text)))
	if i.leaving() {
		h.Set("Connection", "close")
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
	i.ended(n - 1)
}

// enter takes a slot, after others that wait for one. It reports whether it has.
func (i *Instance) enter(ctx context.Context) bool {
	select {
	case i.free <- struct{}{}:
		return true
	default:
	}
	i.mu.Lock()
	if i.waiting >= queue {
		i.mu.Unlock()
		return false
	}
	i.waiting++
	i.mu.Unlock()
	defer func() {
		i.mu.Lock()
		i.waiting--
		i.mu.Unlock()
	}()
	select {
	case i.free <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	case <-i.ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

func (i *Instance) queued() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.waiting
}

// begun records that a request has begun to run.
func (i *Instance) begun(n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.arrivals[n].Ran = true
}

// answered records how a request is answered.
func (i *Instance) answered(n, status, factor int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.arrivals[n].Bad = status != http.StatusOK || factor > 1
}

// ended records when a request was answered.
func (i *Instance) ended(n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.arrivals[n].EndedAt = time.Now()
}

// TurnCold makes the instance cold for a while.
func (i *Instance) TurnCold(d time.Duration) {
	i.mu.Lock()
	i.coldUntil, i.coldTime = time.Now().Add(d), d
	i.mu.Unlock()
	i.Node.World.Log("instance %s has become cold for %s", i.ID, d)
}

func (i *Instance) warmUpLeft() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return max(time.Until(i.coldUntil), 0)
}

// Crashed reports whether the instance has crashed.
func (i *Instance) Crashed() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.crashed
}

// overrun crashes the instance if it is cold and has got too many requests within a second.
// It reports whether the instance has crashed.
func (i *Instance) overrun() bool {
	i.mu.Lock()
	now, recent := time.Now(), 0
	for k := len(i.arrivals) - 1; k >= 0 && now.Sub(i.arrivals[k].At) < time.Second; k-- {
		if i.arrivals[k].At.After(i.coldUntil.Add(-i.coldTime)) {
			recent++
		}
	}
	over := !i.crashed && i.ColdRequests > 0 && now.Before(i.coldUntil) && recent > i.ColdRequests
	i.crashed = i.crashed || over
	crashed := i.crashed
	i.mu.Unlock()
	if over {
		i.Node.World.Log("instance %s crashes: %d requests in a second while it is cold", i.ID, recent)
		i.Stop()
	}
	return crashed
}

func (i *Instance) add(a Arrival) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.arrivals = append(i.arrivals, a)
	return len(i.arrivals)
}
