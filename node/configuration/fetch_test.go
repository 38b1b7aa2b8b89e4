package configuration

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/platform"
	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

// slowPeers fetches configurations from the nodes of a fleet over a slow link: each bundle
// takes the given time.
type slowPeers struct {
	*fleet
	took time.Duration
}

func (p slowPeers) FetchConfiguration(ctx context.Context, node model.NodeAddr, have model.Revision) ([]byte, error) {
	select {
	case <-time.After(p.took):
		return p.fleet.FetchConfiguration(ctx, node, have)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// TestSlowTransferOfABundleIsCompleted requires that a node whose link needs 3 s for a bundle
// gets the configuration from a node while the store is away.
func TestSlowTransferOfABundleIsCompleted(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.startSample(1)
		f.store.SetDown(true)
		slow := New(Options{
			Store:   platform.New(platform.Options{URL: f.store.URL(), Transport: f.store.Transport(), Seed: 9}),
			Peers:   slowPeers{f, 3 * time.Second},
			Seed:    9,
			OnApply: func(*settings.Snapshot) {},
			OnPoll:  func(Poll) {},
		})
		f.group.Go(func() { _ = slow.Run(f.ctx) })
		synctest.Wait()
		for range 60 {
			slow.ObserveRevision(1, "node-0")
			f.advance(time.Second)
		}
		qt.Assert(t, slow.Current().Revision, qt.Equals, model.Revision(1))
	})
}
