// Package configuration keeps a node at the newest accepted configuration.
//
// Two duties bring configurations in. The watch duty, on the few nodes of each
// failure domain that membership picks, waits at the store for the head to
// change. The fetch duty hears of higher revisions from other nodes, whose
// every message carries one, and fetches what is missing from the node that
// has it, or from the store when no node gives it. Both hand what they got to
// one config.Follower, which applies whole and valid configurations in rising
// order only. Commits of operators run here too, on whichever node they asked.
package configuration

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"zinniafall/node/platform"
	"zinniafall/policy/chart"
	"zinniafall/policy/config"
	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

// Peers reaches other nodes.
type Peers interface {
	// FetchConfiguration asks a node for its configuration, as its Bundle
	// method gives it for the revision that this node has. An answer of no
	// bytes means that the node has nothing newer.
	FetchConfiguration(ctx context.Context, node model.NodeAddr, have model.Revision) ([]byte, error)
}

// Poll is the outcome of one read of the head by the watch duty.
type Poll struct {
	// Reachable is false when the store did not answer, or answered from the
	// past.
	Reachable bool
	// Confirmed is the revision that the store has, which is in force here.
	// It is set when Reachable is true.
	Confirmed model.Revision
	// StartedAt is when the read was sent. The store had the revision at some time
	// after it.
	StartedAt time.Time
}

// Options set up an Applier; a zero field means the default.
type Options struct {
	// Store is the platform's key-value service; required.
	Store platform.Store
	// Peers reaches other nodes; required.
	Peers Peers
	// OnApply is called with each configuration, in order, once Current
	// returns it and before the next is applied. It may be nil.
	OnApply func(*settings.Snapshot)
	// OnPoll is called after each read by the watch duty. It may be nil.
	OnPoll func(Poll)
	// FetchTimeout bounds one fetch from a node; the default is 2 s.
	FetchTimeout time.Duration
	// StartDelay is the mean time that a node with no configuration waits to
	// hear from other nodes before it asks the store; the default is 1 s.
	StartDelay time.Duration
	// RetryDelay is the mean wait after the first failure, doubled up to 16
	// times for further ones; the default is 200 ms.
	RetryDelay time.Duration
	// PollInterval is the least time between two reads by the watch duty that
	// bring nothing new; the default is 200 ms.
	PollInterval time.Duration
	// Metrics receives the counters; the default is a set of its own.
	Metrics *metrics.Set
	// Seed of the jitter.
	Seed uint64
}

const (
	defaultFetchTimeout = 2 * time.Second
	defaultStartDelay   = time.Second
	defaultRetryDelay   = 200 * time.Millisecond
	defaultPollInterval = 200 * time.Millisecond
	// maxBackoff bounds the factor by which retries slow down.
	maxBackoff = 16
	// ringSize is the number of revisions heard of that wait for the fetch
	// duty. When the ring is full the newest is dropped and counted: each
	// later message tells it again.
	ringSize = 64
)

func (o *Options) setDefaults() {
	if o.OnApply == nil {
		o.OnApply = func(*settings.Snapshot) {}
	}
	if o.OnPoll == nil {
		o.OnPoll = func(Poll) {}
	}
	if o.FetchTimeout == 0 {
		o.FetchTimeout = defaultFetchTimeout
	}
	if o.StartDelay == 0 {
		o.StartDelay = defaultStartDelay
	}
	if o.RetryDelay == 0 {
		o.RetryDelay = defaultRetryDelay
	}
	if o.PollInterval == 0 {
		o.PollInterval = defaultPollInterval
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
}

// heard is a revision that a node has.
type heard struct {
	revision model.Revision
	from     model.NodeAddr
}

// Applier holds the configuration in force. Its methods are safe for
// concurrent use.
type Applier struct {
	options  Options
	current  atomic.Pointer[settings.Snapshot]
	settled  atomic.Uint64 // highest revision in force or known to be invalid
	ring     chan heard
	watching chan bool
	counters counters

	applying sync.Mutex // keeps OnApply in order
	mu       sync.Mutex // guards the fields below
	follower *config.Follower
	random   *rand.Rand
}

// counters are what the metrics show.
type counters struct {
	applied, invalid, incomplete, stale, ringFull, forbidden, peerFetches, storeFetches *metrics.Counter
}

// New returns an applier with no configuration; Run makes it work.
func New(options Options) *Applier {
	options.setDefaults()
	set := options.Metrics
	a := &Applier{
		options:  options,
		ring:     make(chan heard, ringSize),
		watching: make(chan bool, 1),
		random:   rand.New(rand.NewPCG(options.Seed, 0)),
		counters: counters{
			applied:      set.NewCounter("zinniafall_configuration_applied_total"),
			invalid:      set.NewCounter("zinniafall_configuration_invalid_total"),
			incomplete:   set.NewCounter("zinniafall_configuration_incomplete_total"),
			stale:        set.NewCounter("zinniafall_configuration_stale_reads_total"),
			ringFull:     set.NewCounter("zinniafall_configuration_heard_dropped_total"),
			forbidden:    set.NewCounter("zinniafall_configuration_forbidden_events_total"),
			peerFetches:  set.NewCounter(`zinniafall_configuration_fetches_total{from="peer"}`),
			storeFetches: set.NewCounter(`zinniafall_configuration_fetches_total{from="store"}`),
		},
	}
	a.follower = config.NewFollower(a.forbidden)
	a.current.Store(a.follower.Snapshot())
	set.NewGauge("zinniafall_configuration_revision", func() float64 { return float64(a.Current().Revision) })
	return a
}

func (a *Applier) forbidden(err *chart.ForbiddenError) {
	a.counters.forbidden.Inc()
	klog.Errorf("configuration: %v", err)
}

// Current is the configuration in force; its revision is 0 when there is none.
func (a *Applier) Current() *settings.Snapshot { return a.current.Load() }

// ObserveRevision takes the revision that a message of another node carried. It does not
// block and is cheap enough for each message. A revision that was heard before
// is taken again until it is in force: the sender is one more node to ask.
func (a *Applier) ObserveRevision(revision model.Revision, from model.NodeAddr) {
	if uint64(revision) <= a.settled.Load() {
		return
	}
	select {
	case a.ring <- heard{revision, from}:
	default:
		a.counters.ringFull.Inc()
	}
}

// Behind reports that a revision was heard of that is not yet in force here.
func (a *Applier) Behind() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.follower.Behind()
}

// Bundle is what to send to a node that asks by FetchConfiguration; nil when
// there is nothing newer than what it has.
func (a *Applier) Bundle(have model.Revision) ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.follower.Bundle(have)
}

// History lists the latest accepted changes up to the one in force, the newest
// first.
func (a *Applier) History() []config.HistoryEntry {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.follower.History()
}

// InForce returns the document in force, for reading.
func (a *Applier) InForce() (config.Current, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.follower.Current()
}

// SetWatching tells whether this node is one of those that watch the store.
func (a *Applier) SetWatching(on bool) {
	for {
		select {
		case a.watching <- on:
			return
		default:
		}
		select {
		case <-a.watching: // replaced by the newer word
		default:
		}
	}
}

// Run does the node's part until the context ends.
func (a *Applier) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return a.fetchDuty(ctx) })
	group.Go(func() error { return a.watchDuty(ctx) })
	return group.Wait()
}

// take hands a head and its missing parts to the follower and puts the result
// in force.
func (a *Applier) take(head []byte, contents [][]byte) error {
	a.applying.Lock()
	defer a.applying.Unlock()
	a.mu.Lock()
	snapshot, err := a.follower.Apply(head, contents)
	a.settled.Store(uint64(a.follower.HighestResolved()))
	a.mu.Unlock()
	if err != nil {
		a.countRefusal(err)
		return err
	}
	if snapshot == nil {
		return nil
	}
	a.current.Store(snapshot)
	a.counters.applied.Inc()
	klog.V(1).Infof("configuration: revision %d is in force", snapshot.Revision)
	a.options.OnApply(snapshot)
	return nil
}

func (a *Applier) countRefusal(err error) {
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		a.counters.invalid.Inc()
	} else {
		a.counters.incomplete.Inc()
	}
	klog.Warningf("configuration: refused; the one in force stays: %v", err)
}

// jitter spreads a mean wait between half and one and a half of it.
func (a *Applier) jitter(mean time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration((0.5 + a.random.Float64()) * float64(mean))
}

// backoff is the wait after a number of failures in a row.
func (a *Applier) backoff(failures int) time.Duration {
	factor := time.Duration(1)
	for range failures - 1 {
		factor = min(2*factor, maxBackoff)
	}
	return a.jitter(a.options.RetryDelay * factor)
}

// pause waits; false when the context ended first.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
