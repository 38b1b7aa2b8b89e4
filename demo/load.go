package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"zinniafall/node/entry"
	"zinniafall/node/execute"
	"zinniafall/standin/target"
)

const (
	// baseLoad is the share of capacity that all accounts offer together,
	// without the surplus of the heavy one.
	baseLoad = 0.12
	// heavyFactor multiplies the share of the heavy account.
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
}

// account is the load of one client account.
type account struct {
	name  string
	key   string
	rate  float64
	heavy bool

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
}

// load offers calls at an open loop: arrivals do not wait for answers, and a
// latency counts from the time at which the call was due.
type load struct {
	fleet    *fleet
	accounts []*account
	client   *http.Client
	calls    sync.WaitGroup

	total, failed, notRun, unknown, wrong atomic.Int64

	mu       sync.Mutex
	records  []record
	added    *hdrhistogram.Histogram
	failures map[string]int
}

func newLoad(f *fleet) *load {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, MaxConnsPerHost: 512}
	l := &load{
		fleet: f, client: &http.Client{Transport: transport},
		added:    hdrhistogram.New(minLatency, maxLatency, latencyDigits),
		failures: make(map[string]int),
	}
	capacity := 0.0
	for _, g := range f.plan.groups {
		capacity += f.plan.capacity(g)
	}
	for i, name := range f.plan.accounts {
		rate := capacity * baseLoad / float64(len(f.plan.accounts))
		heavy := i == 0
		if heavy {
			rate *= heavyFactor
		}
		l.accounts = append(l.accounts, &account{
			name: name, key: accountKey(name), rate: rate, heavy: heavy,
			latency: hdrhistogram.New(minLatency, maxLatency, latencyDigits),
		})
	}
	return l
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

// caller makes one call.
type caller struct {
	load    *load
	account *account
	due     time.Time
	id      string
	kind    kind
	service string
	entries []string
}

func (c *caller) draw(random *rand.Rand) {
	g := c.load.fleet.plan.groups[random.IntN(len(c.load.fleet.plan.groups))]
	c.service = g.service
	if random.Float64() < shareOfWrites {
		c.kind = plainWrite
		if random.Float64() < shareOfKeyed {
			c.kind = keyedWrite
		}
	}
	for range resendLimit + 1 {
		c.entries = append(c.entries, c.load.fleet.nodes[random.IntN(len(c.load.fleet.nodes))].url)
	}
}

// answer is what came back.
type answer struct {
	status  int
	run     string
	kind    string
	body    string
	elapsed time.Duration
	err     error
}

func (c *caller) run() {
	key := ""
	if c.kind == keyedWrite {
		key = c.requestKey()
	}
	a := c.send(c.entries[0], key)
	for i := 1; key != "" && a.run == "unknown" && i <= resendLimit; i++ {
		a = c.send(c.entries[i], key)
	}
	c.finish(a)
}

// requestKey asks an entry for a key; without one the call goes without.
func (c *caller) requestKey() string {
	request, _ := http.NewRequest(http.MethodPost, c.entries[0]+entry.KeysPath, nil)
	request.Header.Set(entry.HeaderAccountKey, c.account.key)
	response, err := c.load.client.Do(request)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	var issued struct {
		Keys []string `json:"keys"`
	}
	if json.NewDecoder(response.Body).Decode(&issued) != nil || len(issued.Keys) == 0 {
		return ""
	}
	return issued.Keys[0]
}

func (c *caller) send(base, key string) answer {
	method, body := http.MethodGet, ""
	if c.kind != lookup {
		method, body = http.MethodPost, "body of "+c.id
	}
	request, _ := http.NewRequest(method, base+"/things/"+c.id, strings.NewReader(body))
	request.Header.Set(entry.HeaderAccountKey, c.account.key)
	request.Header.Set(entry.HeaderService, c.service)
	request.Header.Set(execute.HeaderTimeout, strconv.FormatInt(callTimeout.Milliseconds(), 10))
	request.Header.Set(target.CallHeader, c.id)
	if key != "" {
		request.Header.Set(entry.HeaderRequestKey, key)
	}
	response, err := c.load.client.Do(request)
	if err != nil {
		return answer{err: err, run: "unknown", kind: "connection"}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err, run: "unknown", kind: "cut off"}
	}
	elapsed, _ := strconv.ParseInt(response.Header.Get(target.ElapsedHeader), 10, 64)
	a := answer{status: response.StatusCode, run: response.Header.Get(entry.HeaderRun), body: string(text), elapsed: time.Duration(elapsed) * time.Microsecond}
	if a.status != http.StatusOK {
		var p struct {
			Kind string `json:"kind"`
		}
		_ = json.Unmarshal(text, &p)
		a.kind = p.Kind
	}
	return a
}

// finish records what the caller was told.
func (c *caller) finish(a answer) {
	l := c.load
	l.total.Add(1)
	total := time.Since(c.due)
	c.account.mu.Lock()
	_ = c.account.latency.RecordValue(max(total.Microseconds(), minLatency))
	c.account.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, record{id: c.id, kind: c.kind, run: a.run})
	if a.status == http.StatusOK {
		if !strings.HasPrefix(a.body, fmt.Sprintf("%s /things/%s %s", c.service, c.id, c.id)) {
			l.wrong.Add(1)
		}
		_ = l.added.RecordValue(max((total - a.elapsed).Microseconds(), minLatency))
		return
	}
	l.failed.Add(1)
	l.failures[a.kind+"/"+a.run]++
	switch a.run {
	case "no":
		l.notRun.Add(1)
	case "unknown":
		l.unknown.Add(1)
	}
}
