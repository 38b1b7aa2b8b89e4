// Package target is a stand-in for a target. It serves HTTP on loopback with a
// fixed number of slots, a cold start in which it bears only a few calls at a
// time and collapses under more, a delay for each new connection, a limit of
// connections, and health and load endpoints whose figures lag. Faults are
// switched on while it runs. It counts what the promises are checked with: the
// runs of each call, calls beyond what a cold target bears, and measuring
// requests.
package target

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// CallHeader names a call, so that its runs can be counted.
const CallHeader = "Demo-Call"

// ElapsedHeader tells in an answer how long the call was at the target, in
// microseconds.
const ElapsedHeader = "Demo-Elapsed-Us"

// The paths that do not count as calls.
const (
	HealthPath = "/health"
	LoadPath   = "/load"
)

const (
	// connectDelay is the time to open a connection.
	connectDelay = time.Millisecond
	// loadLag is the age of the figures that the load endpoint gives.
	loadLag = 500 * time.Millisecond
	// coldStep is the number of completions by which a cold target bears one
	// more call at a time.
	coldStep = 4
	// coldCollapse multiplies the service time of a cold target under more
	// calls than it bears.
	coldCollapse = 20
	// startTime is the time that a new process takes to listen, in which it
	// announces itself.
	startTime = 20 * time.Millisecond
	// failFastDelay is the time that a failing target takes to answer.
	failFastDelay = 200 * time.Microsecond
)

// Options configure a stand-in.
type Options struct {
	// Service that the target belongs to.
	Service string
	// Slots is the number of calls run at once; default 12.
	Slots int
	// Connections is the limit of open connections; default 260.
	Connections int
	// ServiceTime is the mean time of a call; default 5 ms.
	ServiceTime time.Duration
	// Cold starts the target cold.
	Cold bool
	// Seed of the service times.
	Seed uint64
}

func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = 12
	}
	if o.Connections == 0 {
		o.Connections = 260
	}
	if o.ServiceTime == 0 {
		o.ServiceTime = 5 * time.Millisecond
	}
	return o
}

// Counts are what a stand-in saw.
type Counts struct {
	Calls, ColdOverload, SlotOverload, Probes, RefusedConnections int
	// LastCallStart is when the latest call started.
	LastCallStart time.Time
}

// Target is a running stand-in.
type Target struct {
	opts     Options
	listener net.Listener
	server   *http.Server
	slots    chan struct{}
	// restarted tells KeepAnnounced of a new process.
	restarted chan struct{}

	mu          sync.Mutex
	random      *rand.Rand
	instance    int
	counts      Counts
	runs        map[string]int
	inFlight    int
	connections int
	cold        bool
	coldDone    int
	slowdown    float64
	failing     bool
	reported    int
	reportedAt  time.Time
}

// Start serves on a loopback address; port 0 picks one.
func Start(addr string, opts Options) (*Target, error) {
	opts = opts.withDefaults()
	t := &Target{
		opts: opts, slots: make(chan struct{}, opts.Slots), restarted: make(chan struct{}, 1),
		random: rand.New(rand.NewPCG(opts.Seed, 1)),
		runs:   make(map[string]int), cold: opts.Cold, slowdown: 1,
	}
	if err := t.listen(addr); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Target) listen(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	t.listener = listener
	t.server = &http.Server{Handler: t.handler(), ConnState: t.connState, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.server.Serve(&slowListener{Listener: listener, target: t}) }()
	return nil
}

// Addr returns the address that calls go to.
func (t *Target) Addr() string { return t.listener.Addr().String() }

// Close stops the target at once and cuts what runs.
func (t *Target) Close() { _ = t.server.Close() }

// Restart crashes the target and starts a cold one at the same address, which
// announces itself before it takes calls.
func (t *Target) Restart() error {
	addr := t.Addr()
	t.Close()
	t.awaitIdle()
	t.mu.Lock()
	t.instance++
	t.cold = true
	t.coldDone = 0
	t.mu.Unlock()
	select {
	case t.restarted <- struct{}{}:
	default:
	}
	time.Sleep(startTime)
	return t.listen(addr)
}

// awaitIdle waits until the calls that Close cut off have ended.
func (t *Target) awaitIdle() {
	for {
		t.mu.Lock()
		idle := t.inFlight == 0
		t.mu.Unlock()
		if idle {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Instance names the present process of the target.
func (t *Target) Instance() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%s-%d", t.opts.Service, t.instance)
}

// TurnCold makes the target cold without a sign to anyone.
func (t *Target) TurnCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cold = true
	t.coldDone = 0
}

// SetSlowdown multiplies the service time; 1 ends it.
func (t *Target) SetSlowdown(factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowdown = factor
}

// SetFailFast makes the target answer each call with an error at once.
func (t *Target) SetFailFast(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failing = on
}

// Counts returns what the target saw.
func (t *Target) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Runs returns how often each call started.
func (t *Target) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make(map[string]int, len(t.runs))
	for call, n := range t.runs {
		runs[call] = n
	}
	return runs
}

func (t *Target) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(HealthPath, t.serveHealth)
	mux.HandleFunc(LoadPath, t.serveLoad)
	mux.HandleFunc("/", t.serveCall)
	return mux
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	t.measured()
	_, _ = io.WriteString(w, "ok\n")
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	t.measured()
	t.mu.Lock()
	if time.Since(t.reportedAt) > loadLag {
		t.reported, t.reportedAt = t.inFlight, time.Now()
	}
	reported := t.reported
	t.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"in_flight":%d}`, reported)
}

func (t *Target) measured() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Probes++
}

// serveCall runs a call and answers with what it was asked.
func (t *Target) serveCall(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	failing, wait := t.begin(r.Header.Get(CallHeader))
	defer t.end()
	if failing {
		time.Sleep(failFastDelay)
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if !t.work(r.Context(), wait) {
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set(ElapsedHeader, strconv.FormatInt(time.Since(started).Microseconds(), 10))
	_, _ = fmt.Fprintf(w, "%s %s %s %s", t.opts.Service, r.URL.Path, r.Header.Get(CallHeader), body)
}

// begin counts a call's start and draws its service time.
func (t *Target) begin(call string) (failing bool, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Calls++
	t.counts.LastCallStart = time.Now()
	if call != "" {
		t.runs[call]++
	}
	t.inFlight++
	if t.inFlight > t.opts.Slots {
		t.counts.SlotOverload++
	}
	factor := t.slowdown
	if t.cold && t.inFlight > t.bears() {
		t.counts.ColdOverload++
		factor *= coldCollapse
	}
	mean := float64(t.opts.ServiceTime) * factor
	return t.failing, time.Duration(t.random.ExpFloat64()*mean*0.5 + mean*0.5)
}

// bears returns the calls that a cold target runs at once.
func (t *Target) bears() int { return 1 + t.coldDone/coldStep }

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	if !t.cold {
		return
	}
	t.coldDone++
	if t.bears() >= t.opts.Slots {
		t.cold = false
	}
}

// work holds a slot for the service time and reports whether it ended well.
func (t *Target) work(ctx context.Context, wait time.Duration) bool {
	select {
	case t.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-t.slots }()
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) connState(_ net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.connections++
	case http.StateClosed, http.StateHijacked:
		t.connections--
	}
}

// slowListener delays each connection and enforces the limit.
type slowListener struct {
	net.Listener
	target *Target
}

// Accept waits for the next connection within the limit.
func (l *slowListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.target.admitConnection() {
			return &slowConn{Conn: conn}, nil
		}
		_ = conn.Close()
	}
}

func (t *Target) admitConnection() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.connections >= t.opts.Connections {
		t.counts.RefusedConnections++
		return false
	}
	return true
}

// slowConn delays the first read of a connection.
type slowConn struct {
	net.Conn
	once sync.Once
}

// Read delays the first bytes by the time to open a connection.
func (c *slowConn) Read(p []byte) (int, error) {
	c.once.Do(func() { time.Sleep(connectDelay) })
	return c.Conn.Read(p)
}
