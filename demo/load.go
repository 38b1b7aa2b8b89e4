package demo

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// heavyFactor is the load of the heavy account in multiples of another's.
	heavyFactor = 4
	// callTimeout is the deadline that callers give.
	callTimeout = 2 * time.Second
	// resendLimit bounds the resends of a keyed call.
	resendLimit = 3
	// shareOfWrites is the share of non-idempotent calls.
	shareOfWrites = 0.2
	// shareOfKeyed is the share of writes that carry a request key.
	shareOfKeyed = 0.5
)

// The range of recorded latencies, in microseconds.
const (
	minLatency    = 1
	maxLatency    = 60_000_000
	latencyDigits = 3
)

// kind is what a call does.
type kind int

const (
	lookup kind = iota
	plainWrite
	keyedWrite
)

// record is what a caller was told about one call.
type record struct {
	id   string
	kind kind
	run  string
	// problem names the kind of the problem; empty when the call succeeded.
	problem string
	due     time.Time
	latency time.Duration
	failed  bool
}

// account is the load of one client account.
type account struct {
	name  string
	key   string
	rate  float64
	heavy bool

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	failed  int64
}

// note records the end of one call.
func (a *account) note(latency time.Duration, failed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	recordLatency(a.latency, latency)
	if failed {
		a.failed++
	}
}

// load offers calls at an open loop: arrivals do not wait for answers, and a
// latency counts from the time at which the call was due.
type load struct {
	fleet    *fleet
	accounts []*account
	client   *http.Client
	calls    sync.WaitGroup

	total, failed, notRun, unknown, wrong atomic.Int64

	// measuredFrom is the due time from which calls count for the figures.
	measuredFrom time.Time

	mu      sync.Mutex
	records []record
	added   *hdrhistogram.Histogram
	// late holds how long after its due time each call was sent.
	late     *hdrhistogram.Histogram
	failures map[string]int
}

// newLoad prepares to offer the given share of the fleet's capacity.
func newLoad(f *fleet, share float64) *load {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, MaxConnsPerHost: 512}
	l := &load{
		fleet: f, client: &http.Client{Transport: transport},
		added:    newHistogram(),
		late:     newHistogram(),
		failures: make(map[string]int),
	}
	rates := accountRates(f.plan.totalCapacity()*share, len(f.plan.accounts))
	for i, name := range f.plan.accounts {
		l.accounts = append(l.accounts, &account{
			name: name, key: accountKey(name), rate: rates[i], heavy: i == 0, latency: newHistogram(),
		})
	}
	return l
}

// accountRates divides a rate among the accounts. The first one is the heavy
// one, the others get equal parts.
func accountRates(total float64, accounts int) []float64 {
	part := total / float64(accounts-1+heavyFactor)
	rates := make([]float64, accounts)
	for i := range rates {
		rates[i] = part
	}
	rates[0] = part * heavyFactor
	return rates
}

// run offers calls until the context ends and waits for their answers.
func (l *load) run(ctx context.Context) {
	var generators sync.WaitGroup
	for i, a := range l.accounts {
		generators.Add(1)
		go func() {
			defer generators.Done()
			l.generate(ctx, a, rand.New(rand.NewPCG(uint64(i), 7)))
		}()
	}
	generators.Wait()
	l.calls.Wait()
	l.client.CloseIdleConnections()
}

// generate draws Poisson arrivals for one account.
func (l *load) generate(ctx context.Context, a *account, random *rand.Rand) {
	due := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		due = due.Add(time.Duration(random.ExpFloat64() / a.rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		c := &caller{load: l, account: a, due: due, id: a.name + "-" + strconv.Itoa(n)}
		c.draw(random)
		l.calls.Add(1)
		go func() {
			defer l.calls.Done()
			c.run()
		}()
	}
}

// newHistogram returns an empty histogram of latencies.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency, maxLatency, latencyDigits)
}

// recordLatency adds a latency to the histogram; what is out of its range
// counts as the nearest bound.
func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	_ = h.RecordValue(min(max(latency.Microseconds(), minLatency), maxLatency))
}

// quantile returns a quantile (0 to 100) in milliseconds.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
