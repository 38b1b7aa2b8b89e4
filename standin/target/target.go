// Package target simulates a target. It serves HTTP on loopback with a fixed
// number of concurrency slots, a delay for each new connection, a connection
// limit, and health and load endpoints; the load that it reports is out of date.
// After a cold start it handles only a few calls at a time and becomes much
// slower under more.
//
// Faults can be injected while it runs. It counts what the checks of the system's
// guarantees need: the runs of each call, calls beyond the capacity of a cold
// target, and probes.
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

// CallHeader carries the ID of a call, so that its runs can be counted.
const CallHeader = "Demo-Call"

// ElapsedHeader carries, in a response, how long the call spent at the target, in
// microseconds.
const ElapsedHeader = "Demo-Elapsed-Us"

// The header fields with which the target states its limit and that it leaves.
const (
	LimitHeader   = "Zinniafall-Target-Limit"
	LeavingHeader = "Zinniafall-Target-Leaving"
)

// ExchangeHeader names the exchange in a request; the target repeats it in its answer.
const ExchangeHeader = "Zinniafall-Exchange"

// The paths of the probes, which are not counted as calls.
const (
	HealthPath = "/health"
	LoadPath   = "/load"
)

const (
	// connectDelay is the simulated time to open a connection.
	connectDelay = time.Millisecond
	// maxLoadAge is how old the load may be that the load endpoint reports.
	maxLoadAge = 500 * time.Millisecond
	// warmUpStep is the number of completed calls after which a cold target can
	// handle one more call at a time.
	warmUpStep = 4
	// coldOverloadFactor is the factor by which the service time grows when a cold
	// target runs more calls than it can handle.
	coldOverloadFactor = 20
	// startupDelay is how long a new process takes until it listens; it announces
	// itself during that time.
	startupDelay = 20 * time.Millisecond
	// failFastDelay is how long a failing target takes to respond.
	failFastDelay = 200 * time.Microsecond
)

// Options configure a simulated target.
type Options struct {
	// Service is the name of the service that the target belongs to.
	Service string
	// Slots is the number of calls that run concurrently; default 12.
	Slots int
	// Connections is the maximum number of open connections; default 260.
	Connections int
	// ServiceTime is the mean duration of a call; default 5 ms.
	ServiceTime time.Duration
	// Cold makes the target start cold.
	Cold bool
	// Limit is the number of requests per second that the target states in its
	// answers; it states none if Limit is 0.
	Limit float64
	// Seed seeds the random service times.
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

// Counts are the counters of a simulated target.
type Counts struct {
	Calls, ColdOverload, SlotOverload, Probes, RefusedConnections int
	// LastCallStart is when the most recent call started.
	LastCallStart time.Time
}

// Target is a running simulated target.
type Target struct {
	opts     Options
	listener net.Listener
	server   *http.Server
	slots    chan struct{}
	// restarted signals to KeepAnnounced that a new process has started.
	restarted chan struct{}

	mu               sync.Mutex
	random           *rand.Rand
	instance         int
	counts           Counts
	runs             map[string]int
	inFlight         int
	connections      int
	cold             bool
	coldCompleted    int
	slowdownFactor   float64
	limit            string
	leaving          bool
	failing          bool
	reportedInFlight int
	reportedLoadAt   time.Time
}

// Start starts a target that serves on a loopback address; port 0 picks a free
// port.
func Start(addr string, opts Options) (*Target, error) {
	opts = opts.withDefaults()
	t := &Target{
		opts: opts, slots: make(chan struct{}, opts.Slots), restarted: make(chan struct{}, 1),
		random: rand.New(rand.NewPCG(opts.Seed, 1)),
		runs:   make(map[string]int), cold: opts.Cold, slowdownFactor: 1,
	}
	if opts.Limit > 0 {
		t.limit = strconv.FormatFloat(opts.Limit, 'f', -1, 64)
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
	t.server = &http.Server{Handler: t.handler(), ConnState: t.countConnections, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.server.Serve(&limitedListener{Listener: listener, target: t}) }()
	return nil
}

// Addr returns the address on which the target serves calls.
func (t *Target) Addr() string { return t.listener.Addr().String() }

// Close stops the target at once and closes the connections of running calls.
func (t *Target) Close() { _ = t.server.Close() }

// Restart crashes the target and starts a cold one at the same address, which
// announces itself before it accepts connections.
func (t *Target) Restart() error {
	addr := t.Addr()
	t.Close()
	t.awaitIdle()
	t.mu.Lock()
	t.instance++
	t.cold = true
	t.coldCompleted = 0
	t.mu.Unlock()
	select {
	case t.restarted <- struct{}{}:
	default:
	}
	time.Sleep(startupDelay)
	return t.listen(addr)
}

// awaitIdle waits until the calls that Close interrupted have returned.
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

// Instance returns the ID of the target's current process.
func (t *Target) Instance() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%s-%d", t.opts.Service, t.instance)
}

// TurnCold makes the target cold without any notification to its node.
func (t *Target) TurnCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cold = true
	t.coldCompleted = 0
}

// SetSlowdown sets the factor by which service times are multiplied; 1 is normal
// speed.
func (t *Target) SetSlowdown(factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowdownFactor = factor
}

// SetFailFast sets whether the target responds to every call with an immediate
// error.
func (t *Target) SetFailFast(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failing = on
}

// StateLimit sets the limit that the target states, as it stands in its answers; none
// if it is empty.
func (t *Target) StateLimit(limit string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = limit
}

// StateLeaving makes the target state that it leaves.
func (t *Target) StateLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// addStatements adds what the target states to an answer.
func (t *Target) addStatements(header http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limit != "" {
		header.Set(LimitHeader, t.limit)
	}
	if t.leaving {
		header.Set(LeavingHeader, "1")
	}
}

// Counts returns the current counters.
func (t *Target) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Runs returns how many times each call was started, by call ID.
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
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if exchange := r.Header.Get(ExchangeHeader); exchange != "" {
			w.Header().Set(ExchangeHeader, exchange)
		}
		mux.ServeHTTP(w, r)
	})
}

func (t *Target) serveHealth(w http.ResponseWriter, _ *http.Request) {
	t.countProbe()
	_, _ = io.WriteString(w, "ok\n")
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	t.countProbe()
	t.mu.Lock()
	if time.Since(t.reportedLoadAt) > maxLoadAge {
		t.reportedInFlight, t.reportedLoadAt = t.inFlight, time.Now()
	}
	reportedInFlight := t.reportedInFlight
	t.mu.Unlock()
	_, _ = fmt.Fprintf(w, `{"in_flight":%d}`, reportedInFlight)
}

func (t *Target) countProbe() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Probes++
}

// serveCall runs a call and echoes the request in the response.
func (t *Target) serveCall(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	t.addStatements(w.Header())
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	failing, serviceTime := t.startCall(r.Header.Get(CallHeader))
	defer t.finishCall()
	if failing {
		time.Sleep(failFastDelay)
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	if !t.holdSlot(r.Context(), serviceTime) {
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set(ElapsedHeader, strconv.FormatInt(time.Since(started).Microseconds(), 10))
	_, _ = fmt.Fprintf(w, "%s %s %s %s", t.opts.Service, r.URL.Path, r.Header.Get(CallHeader), body)
}

// startCall counts the start of a call and draws its random service time.
func (t *Target) startCall(call string) (failing bool, serviceTime time.Duration) {
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
	factor := t.slowdownFactor
	if t.cold && t.inFlight > t.coldConcurrency() {
		t.counts.ColdOverload++
		factor *= coldOverloadFactor
	}
	mean := float64(t.opts.ServiceTime) * factor
	return t.failing, time.Duration(t.random.ExpFloat64()*mean*0.5 + mean*0.5)
}

// coldConcurrency returns how many concurrent calls a cold target can handle. The
// caller holds the lock.
func (t *Target) coldConcurrency() int { return 1 + t.coldCompleted/warmUpStep }

// finishCall counts the end of a call and warms a cold target up.
func (t *Target) finishCall() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	if !t.cold {
		return
	}
	t.coldCompleted++
	if t.coldConcurrency() >= t.opts.Slots {
		t.cold = false
	}
}

// holdSlot waits for a slot, holds it for the service time and reports whether
// the call completed before its context was done.
func (t *Target) holdSlot(ctx context.Context, serviceTime time.Duration) bool {
	select {
	case t.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-t.slots }()
	select {
	case <-time.After(serviceTime):
		return true
	case <-ctx.Done():
		return false
	}
}

// countConnections keeps the number of open connections up to date.
func (t *Target) countConnections(_ net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.connections++
	case http.StateClosed, http.StateHijacked:
		t.connections--
	}
}

// limitedListener enforces the connection limit and makes connections slow to
// open.
type limitedListener struct {
	net.Listener
	target *Target
}

// Accept returns the next connection. It closes those beyond the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.target.allowConnection() {
			return &slowConn{Conn: conn}, nil
		}
		_ = conn.Close()
	}
}

// allowConnection reports whether the connection limit allows another connection,
// and counts it as refused if not.
func (t *Target) allowConnection() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.connections >= t.opts.Connections {
		t.counts.RefusedConnections++
		return false
	}
	return true
}

// slowConn simulates a connection that is slow to open.
type slowConn struct {
	net.Conn
	once sync.Once
}

// Read delays the first read by connectDelay.
func (c *slowConn) Read(p []byte) (int, error) {
	c.once.Do(func() { time.Sleep(connectDelay) })
	return c.Conn.Read(p)
}
