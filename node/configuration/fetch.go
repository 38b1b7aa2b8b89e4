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
	// maxSources bounds the nodes with a newer configuration that the fetch loop
	// keeps as sources.
	maxSources = 4
	// peerRounds is the number of failed rounds over the source nodes before the
	// store is read as well. The whole fleet shares the store, so its capacity
	// is scarcer than that of nodes.
	peerRounds = 2
	// storeConcurrency bounds the concurrent store calls for parts: reads, writes
	// or deletions.
	storeConcurrency = 4
)

// errNothingNewer reports that a source has no newer configuration.
var errNothingNewer = errors.New("the node has nothing newer")

// fetchLoop fetches configurations that other nodes announce. A node that
// has no configuration and has had none announced reads the store after about
// StartDelay, and then repeatedly until it has one.
func (a *Applier) fetchLoop(ctx context.Context) error {
	readTimer := time.NewTimer(a.jitter(a.options.StartDelay))
	defer readTimer.Stop()
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
			a.recordFailure()
			a.awaitRetry(ctx, a.backoff(failures), &sources)
			continue
		}
		failures = 0
		select {
		case <-ctx.Done():
		case announced := <-a.announcements:
			sources = a.observe(sources, announced)
		case <-readTimer.C:
			readTimer.Reset(a.readIfUnconfigured(ctx))
		}
	}
	return ctx.Err()
}

// readIfUnconfigured reads the store if no configuration is in force yet. It
// returns the delay until it should be called next.
func (a *Applier) readIfUnconfigured(ctx context.Context) time.Duration {
	const recheckInterval = time.Hour
	if a.Current().Revision > 0 {
		return recheckInterval
	}
	if _, err := a.readStore(ctx); err != nil {
		klog.V(1).Infof("configuration: none yet: %v", err)
	}
	return a.jitter(maxBackoff * a.options.RetryDelay)
}

// observe passes an announced revision to the follower and puts its node first
// in the sources, of which it keeps the first maxSources. It may modify the slice.
func (a *Applier) observe(sources []model.NodeAddr, announced announcement) []model.NodeAddr {
	a.mu.Lock()
	a.follower.ObserveRevision(announced.revision)
	a.mu.Unlock()
	sources = slices.DeleteFunc(sources, func(n model.NodeAddr) bool { return n == announced.from })
	sources = slices.Insert(sources, 0, announced.from)
	return sources[:min(len(sources), maxSources)]
}

// drain processes all queued announcements without waiting for more, and returns
// the updated sources.
func (a *Applier) drain(sources []model.NodeAddr) []model.NodeAddr {
	for {
		select {
		case announced := <-a.announcements:
			sources = a.observe(sources, announced)
		default:
			return sources
		}
	}
}

// awaitRetry waits for the given time before the next retry. After about RetryDelay
// of it, an announcement of a node that is not a source yet ends the wait early. It
// updates the sources.
func (a *Applier) awaitRetry(ctx context.Context, wait time.Duration, sources *[]model.NodeAddr) {
	undisturbed := min(wait, a.jitter(a.options.RetryDelay))
	if !sleep(ctx, undisturbed) {
		return
	}
	timer := time.NewTimer(wait - undisturbed)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case announced := <-a.announcements:
			asked := slices.Contains(*sources, announced.from)
			*sources = a.observe(*sources, announced)
			if !asked {
				return
			}
		}
	}
}

// recordFailure tells the follower that a fetch failed.
func (a *Applier) recordFailure() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.follower.FetchFailed()
}

// fetch asks the sources one after the other and, after peerRounds failed rounds
// or without sources, reads the store. The error is nil if one of them had a newer
// configuration.
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
	status, err := a.readStore(ctx)
	if err == nil && status != config.HeadNewer {
		return errNothingNewer
	}
	return err
}

// fetchFrom fetches the configuration of another node and applies it. The error is
// nil only if the revision in force here has changed.
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
	if err := a.apply(bundle.Head, bundle.Parts); err != nil {
		return err
	}
	if a.Current().Revision == before {
		return errNothingNewer
	}
	return nil
}

// readStore reads the head from the store and applies it if it is newer. A failed
// read returns HeadStale with the error.
func (a *Applier) readStore(ctx context.Context) (config.HeadStatus, error) {
	a.counters.storeFetches.Inc()
	entry, err := a.options.Store.Get(ctx, config.HeadKey)
	if err != nil {
		return config.HeadStale, err
	}
	return a.applyEntry(ctx, entry)
}

// applyEntry applies a head read from the store if it is newer, after reading
// its missing parts. A missing head is HeadStale when a configuration is in force
// and HeadCurrent otherwise. HeadNewer with an error means that it was not applied.
func (a *Applier) applyEntry(ctx context.Context, entry platform.Entry) (config.HeadStatus, error) {
	if !entry.Found {
		if a.Current().Revision > 0 {
			return config.HeadStale, nil
		}
		return config.HeadCurrent, nil
	}
	a.mu.Lock()
	status, missing, err := a.follower.Inspect(entry.Value)
	a.mu.Unlock()
	if err != nil {
		a.recordRejection(err)
		return status, err
	}
	if status != config.HeadNewer {
		return status, nil
	}
	contents, err := a.readParts(ctx, missing)
	if err != nil {
		return status, err
	}
	return status, a.apply(entry.Value, contents)
}

// readParts reads parts from the store, a few at a time. A part that is not in
// the store has no content, which the follower rejects. The results are in the
// order of parts; the first failed read cancels the others.
func (a *Applier) readParts(ctx context.Context, parts []config.Part) ([][]byte, error) {
	contents := make([][]byte, len(parts))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(storeConcurrency)
	for i, part := range parts {
		group.Go(func() error {
			entry, err := a.options.Store.Get(ctx, part.Key())
			contents[i] = entry.Value
			return err
		})
	}
	return contents, group.Wait()
}
