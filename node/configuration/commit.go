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

// cleanupTimeout bounds the deletion of unused parts after a commit.
const cleanupTimeout = 2 * time.Second

// Commit commits an operator's change as the next configuration and applies it
// on this node. The store's compare-and-swap orders concurrent commits. When the
// context ends before the commit is complete, the result is
// config.ResultUnavailable or config.ResultUnknown.
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

// Plan returns the outcome that a change would have on the configuration in the
// store, or on the one in force here when the store does not answer or returns
// an older one.
func (a *Applier) Plan(ctx context.Context, change config.Change, placement config.Placement) (config.Outcome, error) {
	current, _, err := a.readCurrent(ctx)
	if err != nil || current.Revision() < a.Current().Revision {
		if current, err = a.InForce(); err != nil {
			return config.Outcome{}, err
		}
	}
	_, outcome := config.Decide(current, change, placement)
	return outcome, nil
}

// runner performs the actions of one commit.
type runner struct {
	applier *Applier
	commit  *config.Commit
	// head is the latest value of the head that was read or swapped in, by a request that was
	// sent at askedAt.
	head    []byte
	askedAt time.Time
	// contents are the written parts by key.
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

// read reads the head and its document, after a backoff from the second attempt
// on. A failed read has changed nothing in the store.
func (r *runner) read(ctx context.Context, action config.ReadHead) config.CommitAction {
	if action.Attempt > 0 && !sleep(ctx, r.applier.backoff(min(action.Attempt, 3))) {
		return r.commit.Failed(action, config.FailedWithoutEffect)
	}
	askedAt := time.Now()
	current, raw, err := r.applier.readCurrent(ctx)
	if err != nil {
		klog.V(1).Infof("configuration: reading before a commit: %v", err)
		return r.commit.Failed(action, config.FailedWithoutEffect)
	}
	r.head, r.askedAt = raw, askedAt
	return r.commit.Read(current)
}

// write writes the new parts and deletes unused ones at the same time. Only a
// failed write fails the action; the commit learns which deletions succeeded.
func (r *runner) write(ctx context.Context, action config.WriteParts) config.CommitAction {
	var deleted []string
	var deleting sync.WaitGroup
	deleting.Go(func() { deleted = r.applier.deleteParts(ctx, action.Deletes) })
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(storeConcurrency)
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

// swap makes the new head the store's, provided that it has not changed since it
// was read; index 0 means that the store had none.
func (r *runner) swap(ctx context.Context, action config.SwapHead) config.CommitAction {
	var swapped bool
	var err error
	askedAt := time.Now()
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
		r.head, r.askedAt = action.Value, askedAt
	}
	return r.commit.Swapped(swapped)
}

// finish applies an accepted change and deletes unused parts. If the follower
// rejects the head with the written parts, the configuration is read from the
// store. The answer to the commit shows the store's head like the answer to a read.
// The deletion also runs when ctx has ended, for up to cleanupTimeout.
func (r *runner) finish(ctx context.Context, done config.Finished) {
	if done.Result == config.ResultAccepted && r.head != nil {
		contents := make([][]byte, 0, len(r.contents))
		for _, data := range r.contents {
			contents = append(contents, data)
		}
		if r.applier.apply(r.head, contents) != nil {
			_, _ = r.applier.readStore(ctx)
		}
		r.confirm()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	r.applier.deleteParts(ctx, done.Deletes)
}

// confirm reports the head that the store showed last, if it is in force here. It may be later
// than the change, which then was accepted before.
func (r *runner) confirm() {
	head, err := config.DecodeHead(r.head)
	if err != nil || r.applier.Current().Revision < head.Revision {
		return
	}
	r.applier.options.OnPoll(Poll{Reachable: true, Confirmed: head.Revision, StartedAt: r.askedAt})
}

// failureOf classifies a failed write by whether it may have taken effect.
func failureOf(err error) config.Failure {
	if platform.IsOutcomeUnknown(err) {
		return config.FailedUnknown
	}
	return config.FailedWithoutEffect
}

// deleteParts deletes parts, a few at a time, and returns the keys of those that
// the store confirmed as deleted. The first failure cancels the other deletions.
func (a *Applier) deleteParts(ctx context.Context, keys []string) []string {
	confirmed := make([]bool, len(keys))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(storeConcurrency)
	for i, key := range keys {
		group.Go(func() error {
			err := a.options.Store.Delete(ctx, key)
			confirmed[i] = err == nil
			return err
		})
	}
	if err := group.Wait(); err != nil {
		klog.V(1).Infof("configuration: deleting unused parts: %v", err)
	}
	var deleted []string
	for i, key := range keys {
		if confirmed[i] {
			deleted = append(deleted, key)
		}
	}
	return deleted
}

// readCurrent reads the head and its document from the store. Parts that the
// follower holds are not read again. The second result is the encoded head. When
// the store has no head, it is nil, only Index is set and the error is nil.
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
	current := config.Current{Head: head, Index: entry.Index, Document: doc}
	if snapshot := a.Current(); snapshot.Revision == head.Revision {
		current.Snapshot = snapshot
	}
	return current, entry.Value, err
}
