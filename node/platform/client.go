package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"golang.org/x/time/rate"

	"zinniafall/node/strictconn"
)

// Options configures a Client; a zero field selects the default.
type Options struct {
	// URL of the service, such as "http://192.0.2.7:8500"; required.
	URL string
	// Transport sends the calls; the default is a pool of 8 connections.
	Transport http.RoundTripper
	// Timeout of one attempt of a call; the default is 2 s.
	Timeout time.Duration
	// WatchTimeout is the longest time that the service holds a watch; the default
	// is 1 s. A watch that returns unchanged shows that the service responds.
	WatchTimeout time.Duration
	// Attempts is the maximum number of attempts of one call; the default is 3.
	Attempts int
	// RetryDelay is the mean delay before the second attempt, doubled for each
	// further one; the default is 100 ms.
	RetryDelay time.Duration
	// RetryRate limits the retries of all calls together, in retries per second;
	// the default is 2, with a burst of 4.
	RetryRate float64
	// Seed of the random jitter of retry delays.
	Seed uint64
}

const (
	defaultTimeout      = 2 * time.Second
	defaultWatchTimeout = time.Second
	defaultAttempts     = 3
	defaultRetryDelay   = 100 * time.Millisecond
	defaultRetryRate    = 2
	retryBurst          = 4
	maxConnections      = 8
	// maxResponse bounds a response body: a value in base64 and the JSON around it.
	maxResponse = 2 * MaxValue
	// maxResponseHeader bounds a response header, in bytes.
	maxResponseHeader = 16 << 10
)

func (o *Options) setDefaults() {
	if o.Transport == nil {
		o.Transport = strictconn.NewTransport(&http.Transport{
			DialContext: new(net.Dialer).DialContext, MaxConnsPerHost: maxConnections, MaxIdleConnsPerHost: maxConnections,
			MaxResponseHeaderBytes: maxResponseHeader,
		}, "store")
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.WatchTimeout == 0 {
		o.WatchTimeout = defaultWatchTimeout
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

// Client calls the service over HTTP. It implements Store and Leases and
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

// boundedDoer limits the size of response bodies.
type boundedDoer struct{ client *http.Client }

// Do sends the request.
func (d boundedDoer) Do(r *http.Request) (*http.Response, error) {
	response, err := d.client.Do(r)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, maxResponse)
	return response, nil
}

// call is one operation on the service.
type call struct {
	op    string
	key   string
	write bool
	// timeout of one attempt.
	timeout time.Duration
	// request builds a new request for each attempt.
	request func() *sling.Sling
	// result receives the decoded body of a success response.
	result any
	// allowNotFound makes status 404 a success.
	allowNotFound bool
}

// do makes the call and retries it as the package documentation describes.
func (c *Client) do(ctx context.Context, call call) (*http.Response, error) {
	for attempts := 1; ; attempts++ {
		response, err := c.attempt(ctx, call)
		if err == nil {
			return response, nil
		}
		failed := &Error{Kind: kindOf(err, call.write), Op: call.op, Key: call.key, Err: err}
		if failed.Kind != Unavailable || attempts >= c.options.Attempts {
			return nil, failed
		}
		if c.backOff(ctx, attempts) != nil {
			return nil, failed
		}
	}
}

// attempt makes one attempt of the call within its timeout. Status 200 is a
// success, and so is 404 if the call allows it; the body of a 200 is decoded
// into call.result. An error before the request is sent wraps errNotStarted.
func (c *Client) attempt(ctx context.Context, call call) (*http.Response, error) {
	if ctx.Err() != nil {
		return nil, notStarted(ctx)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, call.timeout, fmt.Errorf("no response within %v", call.timeout))
	defer cancel()
	builder := call.request()
	request, err := builder.Request()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotStarted, err)
	}
	response, err := builder.Do(request.WithContext(ctx), call.result, nil)
	if err != nil {
		return nil, err
	}
	notFound := call.allowNotFound && response.StatusCode == http.StatusNotFound
	if response.StatusCode != http.StatusOK && !notFound {
		return nil, statusError(response.StatusCode)
	}
	return response, nil
}

// backOff waits for the shared retry limit and then for a jittered delay that
// doubles with each attempt.
func (c *Client) backOff(ctx context.Context, attempts int) error {
	if err := c.retries.Wait(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	factor := 0.5 + c.random.Float64()
	c.mu.Unlock()
	delay := time.Duration(factor * float64(c.options.RetryDelay<<(attempts-1)))
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
