// Package configuration keeps a node at the latest accepted configuration.
//
// Two loops obtain configurations. The watch loop runs on a few nodes of each
// failure domain, selected by membership, and waits at the store for changes of
// the head. The fetch loop learns of higher revisions from other nodes, which
// include theirs in every message. It fetches what is missing from a node that
// has it, or from the store when no node provides it. Both loops pass their
// results to one config.Follower, which applies only complete and valid
// configurations, in increasing order.
//
// Commits of operators also run here, on the node that the operator called.
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

// Peers calls other nodes.
type Peers interface {
	// FetchConfiguration returns the result of Applier.Bundle on another node
	// for the revision that this node has. An empty result means that the
	// other node has no newer configuration.
	FetchConfiguration(ctx context.Context, node model.NodeAddr, have model.Revision) ([]byte, error)
}

// Poll is the outcome of one read of the head by the watch loop, or of a commit.
type Poll struct {
	// Reachable is false when the store did not answer or returned an outdated
	// head.
	Reachable bool
	// Confirmed is a revision in force here, confirmed by the store to be the
	// latest. It is set when Reachable is true.
	Confirmed model.Revision
	// StartedAt is the time at which the read was sent. The store had the
	// revision at some later time.
	StartedAt time.Time
}

// Options configure an Applier. A zero field means its default.
type Options struct {
	// Store is the platform's key-value service; required.
	Store platform.Store
	// Peers calls other nodes; required.
	Peers Peers
	// OnApply is called with each applied configuration, in order, after Current
	// returns it and before the next one is applied. It may be nil.
	OnApply func(*settings.Snapshot)
	// OnPoll is called after each read by the watch loop and each commit that the store has
	// accepted. It may be nil.
	OnPoll func(Poll)
	// FetchTimeout bounds one fetch from a node; the default is 10 s. Peers end one that
	// makes no progress sooner.
	FetchTimeout time.Duration
	// StartDelay is the mean time that a node without a configuration waits for
	// messages of other nodes before it reads the store; the default is 1 s.
	StartDelay time.Duration
	// RetryDelay is the mean delay after the first failure, doubled for each
	// further one in a row up to a factor of 16; the default is 200 ms.
	RetryDelay time.Duration
	// PollInterval is the minimum time between two reads by the watch loop that
	// find no newer head; the default is 200 ms.
	PollInterval time.Duration
	// Metrics is the set that the metrics are registered in; the default is a
	// new set.
	Metrics *metrics.Set
	// Seed is the seed of the jitter.
	Seed uint64
}

const (
	defaultFetchTimeout = 10 * time.Second
	defaultStartDelay   = time.Second
	defaultRetryDelay   = 200 * time.Millisecond
	defaultPollInterval = 200 * time.Millisecond
	// maxBackoff is the maximum factor by which retries are delayed.
	maxBackoff = 16
	// announcementQueueSize is the capacity of the queue of announcements for the
	// fetch loop. When it is full the newest one is dropped and counted: later
	// messages repeat it.
	announcementQueueSize = 64
)

// setDefaults replaces zero fields by their defaults; Store and Peers have none.
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

// announcement is a revision and the node that announced having it.
type announcement struct {
	revision model.Revision
	from     model.NodeAddr
}

// Applier holds the configuration in force and updates it. Its methods are safe
// for concurrent use.
type Applier struct {
	options       Options
	current       atomic.Pointer[settings.Snapshot]
	resolved      atomic.Uint64 // highest revision in force or known to be invalid
	announcements chan announcement
	watching      chan bool
	counters      counters

	applying sync.Mutex // serializes calls of OnApply in order of revision
	mu       sync.Mutex // guards the fields below
	follower *config.Follower
	random   *rand.Rand
}

// counters are the counters that are exported as metrics.
type counters struct {
	applied, invalid, incomplete, stale, queueFull, forbidden, peerFetches, storeFetches *metrics.Counter
}

// New returns an Applier without a configuration. Run keeps it up to date.
func New(options Options) *Applier {
	options.setDefaults()
	set := options.Metrics
	a := &Applier{
		options:       options,
		announcements: make(chan announcement, announcementQueueSize),
		watching:      make(chan bool, 1),
		random:        rand.New(rand.NewPCG(options.Seed, 0)),
		counters: counters{
			applied:      set.NewCounter("zinniafall_configuration_applied_total"),
			invalid:      set.NewCounter("zinniafall_configuration_invalid_total"),
			incomplete:   set.NewCounter("zinniafall_configuration_incomplete_total"),
			stale:        set.NewCounter("zinniafall_configuration_stale_reads_total"),
			queueFull:    set.NewCounter("zinniafall_configuration_heard_dropped_total"),
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

// forbidden counts and logs an event that the follower's state chart
// forbids.
func (a *Applier) forbidden(err *chart.ForbiddenError) {
	a.counters.forbidden.Inc()
	klog.Errorf("configuration: %v", err)
}

// Current returns the configuration in force. Its revision is 0 when there is
// none.
func (a *Applier) Current() *settings.Snapshot { return a.current.Load() }

// ObserveRevision records the revision in a message from another node. It does
// not block and is cheap enough to be called for each message. A revision is
// recorded repeatedly until it is in force, because each sender is a further
// node to fetch it from.
func (a *Applier) ObserveRevision(revision model.Revision, from model.NodeAddr) {
	if uint64(revision) <= a.resolved.Load() {
		return
	}
	select {
	case a.announcements <- announcement{revision, from}:
	default:
		a.counters.queueFull.Inc()
	}
}

// Behind reports whether there is a revision to fetch: one that was announced and
// is higher than the one in force and than any known to be invalid.
func (a *Applier) Behind() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.follower.Behind()
}

// Bundle returns the encoded configuration for a node that calls
// Peers.FetchConfiguration, or nil when it is not newer than the revision that
// the node has.
func (a *Applier) Bundle(have model.Revision) ([]byte, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.follower.Bundle(have)
}

// History returns the latest accepted changes up to the revision in force, the
// newest first.
func (a *Applier) History() []config.HistoryEntry {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.follower.History()
}

// InForce returns the configuration in force with its head and document, from
// which a change can be planned; Current returns only the compiled snapshot. The
// result is empty when there is none. The caller must not modify it.
func (a *Applier) InForce() (config.Current, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.follower.Current()
}

// SetWatching sets whether this node is one of those that watch the store. It
// does not wait for the watch loop, which takes only the latest value.
func (a *Applier) SetWatching(on bool) {
	for {
		select {
		case a.watching <- on:
			return
		default:
		}
		select {
		case <-a.watching: // superseded by the new value
		default:
		}
	}
}

// Run runs the fetch loop and the watch loop until the context ends, and returns
// the context's error.
func (a *Applier) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return a.fetchLoop(ctx) })
	group.Go(func() error { return a.watchLoop(ctx) })
	return group.Wait()
}

// apply passes a head and its missing parts to the follower and puts the
// resulting configuration in force. A nil error does not mean that one was put
// in force: the follower may have no new one. It calls OnApply without a.mu.
func (a *Applier) apply(head []byte, contents [][]byte) error {
	a.applying.Lock()
	defer a.applying.Unlock()
	a.mu.Lock()
	snapshot, err := a.follower.Apply(head, contents)
	a.resolved.Store(uint64(a.follower.HighestResolved()))
	a.mu.Unlock()
	if err != nil {
		a.recordRejection(err)
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

// recordRejection counts a configuration that the follower rejected, as invalid or
// otherwise as incomplete, and logs it.
func (a *Applier) recordRejection(err error) {
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		a.counters.invalid.Inc()
	} else {
		a.counters.incomplete.Inc()
	}
	klog.Warningf("configuration: rejected; the one in force is kept: %v", err)
}

// jitter returns a random delay from half the mean to one and a half of it. The
// caller must not hold a.mu.
func (a *Applier) jitter(mean time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration((0.5 + a.random.Float64()) * float64(mean))
}

// backoff returns the delay after a number of consecutive failures, with jitter:
// RetryDelay after the first, doubled for each further one up to maxBackoff.
func (a *Applier) backoff(failures int) time.Duration {
	factor := time.Duration(1)
	for range failures - 1 {
		factor = min(2*factor, maxBackoff)
	}
	return a.jitter(a.options.RetryDelay * factor)
}

// sleep waits for a delay and reports whether it passed before the context ended.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
