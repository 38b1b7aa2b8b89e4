package configuration

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"zinniafall/node/platform"
	"zinniafall/policy/config"
)

// cleanupTime bounds the deletion of unused parts after a commit.
const cleanupTime = 2 * time.Second

// Commit makes an operator's change the next configuration, in the order that
// the store's compare-and-swap decides, and applies it here. The context bounds
// the whole; when it ends early, the result is config.ResultUnavailable or
// config.ResultUnknown.
func (a *Applier) Commit(ctx context.Context, change config.Change, placement config.Placement) config.Outcome {
	options := config.CommitOptions{Change: change, MinRevision: a.Current().Revision, Placement: placement}
	_, _ = rand.Read(options.Nonce[:])
	r := &runner{applier: a, commit: config.NewCommit(options), contents: make(map[string][]byte)}
	action := r.commit.Start()
	for {
		if done, ok := action.(config.Finished); ok {
			r.finish(ctx, done)
			return done.Outcome
		}
		action = r.do(ctx, action)
	}
}

// Plan says what a change would do to the configuration in the store, or to
// the one in force here while the store does not answer.
func (a *Applier) Plan(ctx context.Context, change config.Change, placement config.Placement) (config.Outcome, error) {
	now, _, err := a.readCurrent(ctx)
	if err != nil || now.Revision() < a.Current().Revision {
		if now, err = a.InForce(); err != nil {
			return config.Outcome{}, err
		}
	}
	_, outcome := config.Decide(now, change, placement)
	return outcome, nil
}

// runner performs the actions of one commit.
type runner struct {
	applier *Applier
	commit  *config.Commit
	// head is the last value that was swapped in or read.
	head []byte
	// contents are the parts that were written.
	contents map[string][]byte
}

// do performs an action and returns the next one.
func (r *runner) do(ctx context.Context, action config.CommitAction) config.CommitAction {
	switch a := action.(type) {
	case config.ReadHead:
		return r.read(ctx, a)
	case config.WriteParts:
		return r.write(ctx, a)
	case config.SwapHead:
		return r.swap(ctx, a)
	default:
		return config.Finished{Outcome: config.Outcome{Result: config.ResultUnknown}}
	}
}

func (r *runner) read(ctx context.Context, action config.ReadHead) config.CommitAction {
	if action.Attempt > 0 && !pause(ctx, r.applier.backoff(min(action.Attempt, 3))) {
		return r.commit.Failed(action, config.FailedWithoutEffect)
	}
	now, raw, err := r.applier.readCurrent(ctx)
	if err != nil {
		klog.V(1).Infof("configuration: reading before a commit: %v", err)
		return r.commit.Failed(action, config.FailedWithoutEffect)
	}
	r.head = raw
	return r.commit.Read(now)
}

func (r *runner) write(ctx context.Context, action config.WriteParts) config.CommitAction {
	var deleted []string
	var deleting sync.WaitGroup
	deleting.Go(func() { deleted = r.applier.deleteParts(ctx, action.Deletes) })
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(storeReads)
	for _, put := range action.Puts {
		r.contents[put.Key] = put.Value
		group.Go(func() error {
			_, err := r.applier.options.Store.Create(groupCtx, put.Key, put.Value)
			return err
		})
	}
	err := group.Wait()
	deleting.Wait()
	if err != nil {
		return r.commit.Failed(action, failureOf(err))
	}
	return r.commit.Written(deleted)
}

func (r *runner) swap(ctx context.Context, action config.SwapHead) config.CommitAction {
	var swapped bool
	var err error
	if action.Index == 0 {
		swapped, err = r.applier.options.Store.Create(ctx, config.HeadKey, action.Value)
	} else {
		swapped, err = r.applier.options.Store.CompareAndSwap(ctx, config.HeadKey, action.Value, action.Index)
	}
	if err != nil {
		klog.Infof("configuration: committing: %v", err)
		return r.commit.Failed(action, failureOf(err))
	}
	if swapped {
		r.head = action.Value
	}
	return r.commit.Swapped(swapped)
}

// finish applies what was accepted and deletes parts that nothing uses.
func (r *runner) finish(ctx context.Context, done config.Finished) {
	if done.Result == config.ResultAccepted && r.head != nil {
		contents := make([][]byte, 0, len(r.contents))
		for _, data := range r.contents {
			contents = append(contents, data)
		}
		if r.applier.take(r.head, contents) != nil {
			_, _ = r.applier.readStore(ctx)
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTime)
	defer cancel()
	r.applier.deleteParts(ctx, done.Deletes)
}

// failureOf says what is known of a write that failed.
func failureOf(err error) config.Failure {
	if platform.IsOutcomeUnknown(err) {
		return config.FailedUnknown
	}
	return config.FailedWithoutEffect
}

// deleteParts deletes parts, a few at once, as far as the store answers, and
// returns those that are gone.
func (a *Applier) deleteParts(ctx context.Context, keys []string) []string {
	gone := make([]bool, len(keys))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(storeReads)
	for i, key := range keys {
		group.Go(func() error {
			err := a.options.Store.Delete(ctx, key)
			gone[i] = err == nil
			return err
		})
	}
	if err := group.Wait(); err != nil {
		klog.V(1).Infof("configuration: deleting unused parts: %v", err)
	}
	var deleted []string
	for i, key := range keys {
		if gone[i] {
			deleted = append(deleted, key)
		}
	}
	return deleted
}

// readCurrent reads the head and its document from the store, taking from
// memory the parts that are held here.
func (a *Applier) readCurrent(ctx context.Context) (config.Current, []byte, error) {
	entry, err := a.options.Store.Get(ctx, config.HeadKey)
	if err != nil || !entry.Found {
		return config.Current{Index: entry.Index}, nil, oops.In("configuration").Wrapf(err, "reading the head")
	}
	head, err := config.DecodeHead(entry.Value)
	if err != nil {
		return config.Current{}, nil, err
	}
	held := make(map[config.Sum][]byte, len(head.Parts))
	var missing []config.Part
	a.mu.Lock()
	for _, part := range head.Parts {
		held[part.Sum] = a.follower.Content(part.Sum)
		if held[part.Sum] == nil {
			missing = append(missing, part)
		}
	}
	a.mu.Unlock()
	contents, err := a.readParts(ctx, missing)
	if err != nil {
		return config.Current{}, nil, oops.In("configuration").With("revision", head.Revision).Wrapf(err, "reading the parts of a head")
	}
	for i, part := range missing {
		held[part.Sum] = contents[i]
	}
	doc, err := config.Assemble(head, held)
	now := config.Current{Head: head, Index: entry.Index, Document: doc}
	if snapshot := a.Current(); snapshot.Revision == head.Revision {
		now.Snapshot = snapshot
	}
	return now, entry.Value, err
}
