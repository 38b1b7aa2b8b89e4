package configuration

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"zinniafall/node/platform"
	"zinniafall/policy/config"
	"zinniafall/policy/model"
)

const (
	// maxSources is the number of nodes that the fetch duty remembers as
	// having something newer.
	maxSources = 4
	// peerRounds is the number of tries that nodes are asked before the store
	// is: a store shared by the fleet is the scarcer one.
	peerRounds = 2
	// storeReads is the number of parts that are read from the store at once.
	storeReads = 4
)

// errNothingNewer reports a node that has no newer configuration.
var errNothingNewer = errors.New("the node has nothing newer")

// fetchDuty fetches configurations that other nodes are heard to have. A node
// that hears of none for a while after its start asks the store.
func (a *Applier) fetchDuty(ctx context.Context) error {
	start := time.NewTimer(a.jitter(a.options.StartDelay))
	defer start.Stop()
	var sources []model.NodeAddr
	failures := 0
	for ctx.Err() == nil {
		if a.Behind() {
			sources = a.drain(sources)
			if a.fetch(ctx, sources, failures) == nil {
				failures = 0
				continue
			}
			failures++
			a.failed()
			a.await(ctx, a.backoff(failures), &sources)
			continue
		}
		failures = 0
		select {
		case <-ctx.Done():
		case h := <-a.ring:
			sources = a.hear(sources, h)
		case <-start.C:
			start.Reset(a.atStart(ctx))
		}
	}
	return ctx.Err()
}

// atStart reads the store when there is no configuration yet, and returns the
// wait before it is due again.
func (a *Applier) atStart(ctx context.Context) time.Duration {
	const rarely = time.Hour
	if a.Current().Revision > 0 {
		return rarely
	}
	if _, err := a.readStore(ctx); err != nil {
		klog.V(1).Infof("configuration: none yet: %v", err)
	}
	return a.jitter(maxBackoff * a.options.RetryDelay)
}

// hear notes a revision and the node that has it, the latest first.
func (a *Applier) hear(sources []model.NodeAddr, h heard) []model.NodeAddr {
	a.mu.Lock()
	a.follower.ObserveRevision(h.revision)
	a.mu.Unlock()
	sources = slices.DeleteFunc(sources, func(n model.NodeAddr) bool { return n == h.from })
	sources = slices.Insert(sources, 0, h.from)
	return sources[:min(len(sources), maxSources)]
}

// drain takes what else is in the ring.
func (a *Applier) drain(sources []model.NodeAddr) []model.NodeAddr {
	for {
		select {
		case h := <-a.ring:
			sources = a.hear(sources, h)
		default:
			return sources
		}
	}
}

// await waits for the time to retry, or, after a shorter time, for a node that
// was not asked yet.
func (a *Applier) await(ctx context.Context, wait time.Duration, sources *[]model.NodeAddr) {
	if !pause(ctx, min(wait, a.jitter(a.options.RetryDelay))) {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case h := <-a.ring:
			asked := slices.Contains(*sources, h.from)
			*sources = a.hear(*sources, h)
			if !asked {
				return
			}
		}
	}
}

func (a *Applier) failed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.follower.FetchFailed()
}

// fetch asks the nodes heard of in turn and, after some rounds, the store.
func (a *Applier) fetch(ctx context.Context, sources []model.NodeAddr, failures int) error {
	err := errNothingNewer
	for _, node := range sources {
		if err = a.fetchFrom(ctx, node); err == nil {
			return nil
		}
		klog.V(1).Infof("configuration: no newer one from %s: %v", node, err)
	}
	if failures < peerRounds && len(sources) > 0 {
		return err
	}
	step, err := a.readStore(ctx)
	if err == nil && step != config.HeadNewer {
		return errNothingNewer
	}
	return err
}

// fetchFrom takes over another node's configuration.
func (a *Applier) fetchFrom(ctx context.Context, node model.NodeAddr) error {
	ctx, cancel := context.WithTimeout(ctx, a.options.FetchTimeout)
	defer cancel()
	before := a.Current().Revision
	a.counters.peerFetches.Inc()
	raw, err := a.options.Peers.FetchConfiguration(ctx, node, before)
	if err != nil {
		return oops.In("configuration").With("node", node).Wrapf(err, "fetching from a node")
	}
	if len(raw) == 0 {
		return errNothingNewer
	}
	bundle, err := config.DecodeBundle(raw)
	if err != nil {
		return err
	}
	if err := a.take(bundle.Head, bundle.Parts); err != nil {
		return err
	}
	if a.Current().Revision == before {
		return errNothingNewer
	}
	return nil
}

// readStore reads the head from the store and applies it when it is newer.
func (a *Applier) readStore(ctx context.Context) (config.HeadStatus, error) {
	a.counters.storeFetches.Inc()
	entry, err := a.options.Store.Get(ctx, config.HeadKey)
	if err != nil {
		return config.HeadStale, err
	}
	return a.takeEntry(ctx, entry)
}

// takeEntry follows the head as it was read from the store.
func (a *Applier) takeEntry(ctx context.Context, entry platform.Entry) (config.HeadStatus, error) {
	if !entry.Found {
		if a.Current().Revision > 0 {
			return config.HeadStale, nil
		}
		return config.HeadCurrent, nil
	}
	a.mu.Lock()
	step, missing, err := a.follower.Inspect(entry.Value)
	a.mu.Unlock()
	if err != nil {
		a.countRefusal(err)
		return step, err
	}
	if step != config.HeadNewer {
		return step, nil
	}
	contents, err := a.readParts(ctx, missing)
	if err != nil {
		return step, err
	}
	return step, a.take(entry.Value, contents)
}

// readParts reads parts from the store, a few at once. A missing one gives no
// bytes, which the follower refuses.
func (a *Applier) readParts(ctx context.Context, parts []config.Part) ([][]byte, error) {
	contents := make([][]byte, len(parts))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(storeReads)
	for i, part := range parts {
		group.Go(func() error {
			entry, err := a.options.Store.Get(ctx, part.Key())
			contents[i] = entry.Value
			return err
		})
	}
	return contents, group.Wait()
}
