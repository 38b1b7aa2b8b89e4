package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"golang.org/x/time/rate"
)

// Options set up a Client; a zero field means the default.
type Options struct {
	// URL of the service, such as "http://192.0.2.7:8500"; required.
	URL string
	// Transport carries the calls; the default is a pool of 8 connections.
	Transport http.RoundTripper
	// Timeout of one try of a call; the default is 2 s.
	Timeout time.Duration
	// WatchTimeout is the longest that the service holds a watch; the default is
	// 1 s. A watch that comes back unchanged shows that the service answers.
	WatchTimeout time.Duration
	// Attempts bounds the tries of one call; the default is 3.
	Attempts int
	// RetryDelay is the mean wait before the second try, doubled for each
	// further one; the default is 100 ms.
	RetryDelay time.Duration
	// RetryRate bounds the retries of all calls together, in retries a
	// second; the default is 2, with a burst of 4.
	RetryRate float64
	// Seed of the jitter.
	Seed uint64
}

const (
	defaultTimeout    = 2 * time.Second
	defaultWatchTime  = time.Second
	defaultAttempts   = 3
	defaultRetryDelay = 100 * time.Millisecond
	defaultRetryRate  = 2
	retryBurst        = 4
	maxConnections    = 8
	// maxAnswer bounds an answer: a value in base64 and its envelope.
	maxAnswer = 2 * MaxValue
)

func (o *Options) setDefaults() {
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: maxConnections}
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.WatchTimeout == 0 {
		o.WatchTimeout = defaultWatchTime
	}
	if o.Attempts == 0 {
		o.Attempts = defaultAttempts
	}
	if o.RetryDelay == 0 {
		o.RetryDelay = defaultRetryDelay
	}
	if o.RetryRate == 0 {
		o.RetryRate = defaultRetryRate
	}
}

// Client speaks to the service over HTTP. It implements Store and Leases and
// is safe for concurrent use.
type Client struct {
	options Options
	base    *sling.Sling
	retries *rate.Limiter

	mu     sync.Mutex
	random *rand.Rand
}

var (
	_ Store  = (*Client)(nil)
	_ Leases = (*Client)(nil)
)

// New returns a client; it makes no call.
func New(options Options) *Client {
	options.setDefaults()
	base := sling.New().
		Doer(boundedDoer{&http.Client{Transport: options.Transport}}).
		Base(strings.TrimSuffix(options.URL, "/") + "/")
	return &Client{
		options: options,
		base:    base,
		retries: rate.NewLimiter(rate.Limit(options.RetryRate), retryBurst),
		random:  rand.New(rand.NewPCG(options.Seed, 0)),
	}
}

// boundedDoer bounds the size of an answer.
type boundedDoer struct{ client *http.Client }

// Do sends the request.
func (d boundedDoer) Do(r *http.Request) (*http.Response, error) {
	response, err := d.client.Do(r)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, maxAnswer)
	return response, nil
}

// call is one operation on the service.
type call struct {
	op    string
	key   string
	write bool
	// timeout of one try.
	timeout time.Duration
	// request builds the call anew for each try.
	request func() *sling.Sling
	// answer receives the decoded body of a success.
	answer any
	// absent allows the status 404.
	absent bool
}

// do makes the call, with retries as the package comment says.
func (c *Client) do(ctx context.Context, call call) (*http.Response, error) {
	for attempt := 1; ; attempt++ {
		response, err := c.try(ctx, call)
		if err == nil {
			return response, nil
		}
		failed := &Error{Kind: kindOf(err, call.write), Op: call.op, Key: call.key, Err: err}
		if failed.Kind != Unavailable || attempt >= c.options.Attempts {
			return nil, failed
		}
		if c.pause(ctx, attempt) != nil {
			return nil, failed
		}
	}
}

func (c *Client) try(ctx context.Context, call call) (*http.Response, error) {
	if ctx.Err() != nil {
		return nil, notStarted(ctx)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, call.timeout, fmt.Errorf("no answer within %v", call.timeout))
	defer cancel()
	built := call.request()
	request, err := built.Request()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotStarted, err)
	}
	response, err := built.Do(request.WithContext(ctx), call.answer, nil)
	if err != nil {
		return nil, err
	}
	absent := call.absent && response.StatusCode == http.StatusNotFound
	if response.StatusCode != http.StatusOK && !absent {
		return nil, statusError(response.StatusCode)
	}
	return response, nil
}

// pause waits before the next try, for a time that doubles with each one.
func (c *Client) pause(ctx context.Context, attempt int) error {
	if err := c.retries.Wait(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	factor := 0.5 + c.random.Float64()
	c.mu.Unlock()
	delay := time.Duration(factor * float64(c.options.RetryDelay<<(attempt-1)))
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
