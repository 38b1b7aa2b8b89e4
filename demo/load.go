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
	// heavyFactor is the call rate of the heavy account relative to any other
	// account.
	heavyFactor = 4
	// callTimeout is the deadline that callers set for a call.
	callTimeout = 2 * time.Second
	// maxResends is the maximum number of resends of a keyed call.
	maxResends = 3
	// writeFraction is the fraction of calls that are not idempotent.
	writeFraction = 0.2
	// keyedFraction is the fraction of writes that carry a request key.
	keyedFraction = 0.5
)

// The range of recorded latencies, in microseconds.
const (
	minLatencyUs  = 1
	maxLatencyUs  = 60_000_000
	latencyDigits = 3
)

// kind is the kind of a call. Lookups are idempotent, writes are not; a keyed
// write carries a request key.
type kind int

const (
	lookup kind = iota
	plainWrite
	keyedWrite
)

// callRecord is what a caller was told about one call.
type callRecord struct {
	id       string
	kind     kind
	runState string
	// problem is the problem kind of a failed call; empty on success.
	problem string
	due     time.Time
	latency time.Duration
	failed  bool
}

// account holds the call rate and the metrics of one client account.
type account struct {
	name  string
	key   string
	rate  float64
	heavy bool

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	failed  int64
}

// observe records the outcome of one call.
func (a *account) observe(latency time.Duration, failed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	recordLatency(a.latency, latency)
	if failed {
		a.failed++
	}
}

// generator is an open-loop load generator: it sends calls without waiting for
// earlier responses and measures each latency from the time at which the call
// was due.
type generator struct {
	fleet    *fleet
	accounts []*account
	client   *http.Client
	calls    sync.WaitGroup

	total, failed, notRun, unknown, wrongAnswers atomic.Int64

	// measureFrom is the end of the warm-up: only calls due from then on are part
	// of the metrics.
	measureFrom time.Time

	mu           sync.Mutex
	records      []callRecord
	addedLatency *hdrhistogram.Histogram
	// sendDelay is the time from a call's due time to its sending.
	sendDelay *hdrhistogram.Histogram
	failures  map[string]int
}

// newGenerator returns a generator that offers the given share of the fleet's
// capacity. The first account is the heavy one, which sends heavyFactor times as
// many calls as each of the others.
func newGenerator(f *fleet, share float64) *generator {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, MaxConnsPerHost: 512}
	g := &generator{
		fleet: f, client: &http.Client{Transport: transport},
		addedLatency: newHistogram(),
		sendDelay:    newHistogram(),
		failures:     make(map[string]int),
	}
	rates := accountRates(f.spec.totalCapacity()*share, len(f.spec.accounts))
	for i, name := range f.spec.accounts {
		g.accounts = append(g.accounts, &account{
			name: name, key: accountKey(name), rate: rates[i], heavy: i == 0, latency: newHistogram(),
		})
	}
	return g
}

// accountRates divides a total rate among the accounts: the first is the heavy
// one, the others get equal rates.
func accountRates(total float64, accounts int) []float64 {
	rate := total / float64(accounts-1+heavyFactor)
	rates := make([]float64, accounts)
	for i := range rates {
		rates[i] = rate
	}
	rates[0] = rate * heavyFactor
	return rates
}

// run offers calls until ctx is done and waits for their responses.
func (g *generator) run(ctx context.Context) {
	var arrivals sync.WaitGroup
	for i, a := range g.accounts {
		arrivals.Add(1)
		go func() {
			defer arrivals.Done()
			g.generate(ctx, a, rand.New(rand.NewPCG(uint64(i), 7)))
		}()
	}
	arrivals.Wait()
	g.calls.Wait()
	g.client.CloseIdleConnections()
}

// generate sends the calls of one account as a Poisson process.
func (g *generator) generate(ctx context.Context, a *account, random *rand.Rand) {
	due := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		due = due.Add(time.Duration(random.ExpFloat64() / a.rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		c := &call{generator: g, account: a, due: due, id: a.name + "-" + strconv.Itoa(n)}
		c.randomize(random)
		g.calls.Add(1)
		go func() {
			defer g.calls.Done()
			c.run()
		}()
	}
}

// newHistogram returns an empty histogram of latencies.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyUs, maxLatencyUs, latencyDigits)
}

// recordLatency adds a latency to the histogram, clamped to its range.
func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	_ = h.RecordValue(min(max(latency.Microseconds(), minLatencyUs), maxLatencyUs))
}

// percentile returns a percentile (0 to 100) in milliseconds.
func percentile(h *hdrhistogram.Histogram, p float64) float64 {
	return float64(h.ValueAtQuantile(p)) / 1000
}
