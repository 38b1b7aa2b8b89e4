package configuration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"zinniafall/node/platform"
	"zinniafall/policy/config"
	"zinniafall/policy/model"
	"zinniafall/policy/settings"
	"zinniafall/standin/store"
)

const sample = `{
  "templates": {
    "town": {"kind": "account", "body": {"weight": 2}},
    "zone": {"kind": "domain", "body": {"region": "new-england"}},
    "booking": {"kind": "service", "body": {}}
  },
  "accounts": {"lenox": {"template": "town"}, "stow": {"template": "town"}},
  "domains": {"ne-a": {"template": "zone"}, "ne-b": {"template": "zone"}},
  "services": {"permits": {"template": "booking"}}
}`

// A retry waited for the backoff and for RetryDelay besides, up to twice the backoff.
func TestRetryWaitsForItsBackoffOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Options{RetryDelay: 200 * time.Millisecond, Metrics: metrics.NewSet()})
		for _, wait := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, time.Second} {
			began := time.Now()
			var sources []model.NodeAddr
			a.awaitRetry(t.Context(), wait, &sources)
			qt.Assert(t, time.Since(began), qt.Equals, wait)
		}
	})
}

// fleet is a store and nodes that call each other directly.
type fleet struct {
	t     *testing.T
	ctx   context.Context
	store *store.Store

	mu      sync.Mutex
	nodes   map[model.NodeAddr]*Applier
	cutOff  map[model.NodeAddr]bool
	applied map[model.NodeAddr][]model.Revision
	polls   map[model.NodeAddr]Poll
	group   sync.WaitGroup
}

// runFleet runs a test with an empty fleet in virtual time.
func runFleet(t *testing.T, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{
			t: t, ctx: ctx, store: store.New(),
			nodes: make(map[model.NodeAddr]*Applier), cutOff: make(map[model.NodeAddr]bool),
			applied: make(map[model.NodeAddr][]model.Revision), polls: make(map[model.NodeAddr]Poll),
		}
		test(f)
		cancel()
		f.group.Wait()
		f.store.Close()
	})
}

// startNode starts a node. Starting an address a second time restarts the node.
func (f *fleet) startNode(addr model.NodeAddr) *Applier {
	seed := uint64(len(f.nodes) + 1)
	a := New(Options{
		Store:   platform.New(platform.Options{URL: f.store.URL(), Transport: f.store.Transport(), Seed: seed}),
		Peers:   f,
		Seed:    seed,
		OnApply: func(s *settings.Snapshot) { f.flood(addr, s.Revision) },
		OnPoll: func(p Poll) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.polls[addr] = p
		},
	})
	f.mu.Lock()
	f.nodes[addr] = a
	f.applied[addr] = nil
	f.mu.Unlock()
	f.group.Go(func() { _ = a.Run(f.ctx) })
	return a
}

// flood announces a revision to all other nodes, as messages would.
func (f *fleet) flood(from model.NodeAddr, revision model.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applied[from] = append(f.applied[from], revision)
	for addr, a := range f.nodes {
		if addr != from && !f.cutOff[addr] && !f.cutOff[from] {
			a.ObserveRevision(revision, from)
		}
	}
}

func (f *fleet) FetchConfiguration(_ context.Context, node model.NodeAddr, have model.Revision) ([]byte, error) {
	f.mu.Lock()
	a, gone := f.nodes[node], f.cutOff[node]
	f.mu.Unlock()
	if a == nil || gone {
		return nil, fmt.Errorf("node %s is gone", node)
	}
	return a.Bundle(have)
}

// advance lets time pass and checks that every node applied its revisions in
// increasing order.
func (f *fleet) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for addr, revisions := range f.applied {
		for i := 1; i < len(revisions); i++ {
			if revisions[i] <= revisions[i-1] {
				f.t.Fatalf("%s applied %v", addr, revisions)
			}
		}
	}
}

func (f *fleet) poll(addr model.NodeAddr) Poll {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.polls[addr]
}

// startSample starts n nodes and puts the sample in force on them. The first one
// watches the store.
func (f *fleet) startSample(n int) []*Applier {
	var nodes []*Applier
	for i := range n {
		nodes = append(nodes, f.startNode(model.NodeAddr(fmt.Sprint("node-", i))))
	}
	nodes[0].SetWatching(true)
	doc, problems := config.Parse([]byte(sample))
	qt.Assert(f.t, problems, qt.HasLen, 0)
	f.commit(nodes[0], config.Change{ID: "first", Document: doc}, config.ResultAccepted)
	f.advance(5 * time.Second)
	return nodes
}

func (f *fleet) commit(a *Applier, change config.Change, want config.Result) config.Outcome {
	f.t.Helper()
	change.Time = time.Now()
	ctx, cancel := context.WithTimeout(f.ctx, 20*time.Second)
	defer cancel()
	outcome := a.Commit(ctx, change, nil)
	qt.Assert(f.t, outcome.Result, qt.Equals, want, qt.Commentf("%+v", outcome))
	return outcome
}

func (f *fleet) revisions(nodes []*Applier) []model.Revision {
	var all []model.Revision
	for _, a := range nodes {
		all = append(all, a.Current().Revision)
	}
	return all
}

func out(id string, base model.Revision, isOut bool) config.Change {
	return config.Change{ID: id, Base: base, DomainsOut: map[model.Domain]bool{"ne-a": isOut}}
}

func TestCommitReachesAllNodes(t *testing.T) {
	runFleet(t, func(f *fleet) {
		nodes := f.startSample(4)
		qt.Assert(t, f.revisions(nodes), qt.DeepEquals, []model.Revision{1, 1, 1, 1})
		f.commit(nodes[2], out("x", 1, true), config.ResultAccepted)
		// The answer of the store to the commit shows that the revision is its latest.
		qt.Assert(t, f.poll("node-2").Reachable, qt.IsTrue)
		qt.Assert(t, f.poll("node-2").Confirmed, qt.Equals, model.Revision(2))
		f.advance(time.Second)
		qt.Assert(t, f.revisions(nodes), qt.DeepEquals, []model.Revision{2, 2, 2, 2})
		qt.Assert(t, nodes[3].Current().Domains["ne-a"].Out, qt.IsTrue)
		qt.Assert(t, f.poll("node-0").Confirmed, qt.Equals, model.Revision(2))
		qt.Assert(t, nodes[1].History()[0].ChangeID, qt.Equals, "x")
	})
}

func TestWatcherAppliesCommitOfAnotherNode(t *testing.T) {
	runFleet(t, func(f *fleet) {
		nodes := f.startSample(2)
		f.cutOff["node-0"] = true // gets no messages of other nodes, watches the store
		f.commit(nodes[1], out("x", 1, true), config.ResultAccepted)
		f.advance(time.Second)
		qt.Assert(t, f.revisions(nodes), qt.DeepEquals, []model.Revision{2, 2})
		nodes[0].SetWatching(false)
		f.commit(nodes[1], out("y", 2, false), config.ResultAccepted)
		f.advance(time.Minute)
		qt.Assert(t, f.revisions(nodes), qt.DeepEquals, []model.Revision{2, 3})
	})
}

func TestStoreDown(t *testing.T) {
	runFleet(t, func(f *fleet) {
		nodes := f.startSample(2)
		f.store.SetDown(true)
		f.advance(time.Hour)
		qt.Assert(t, f.poll("node-0").Reachable, qt.IsFalse)
		qt.Assert(t, f.revisions(nodes), qt.DeepEquals, []model.Revision{1, 1})
		f.commit(nodes[0], out("x", 1, true), config.ResultUnavailable)
		// A node that joins meanwhile learns of the revision from another node.
		joined := f.startNode("node-2")
		joined.ObserveRevision(1, "node-1")
		f.advance(time.Second)
		qt.Assert(t, joined.Current().Revision, qt.Equals, model.Revision(1))
		f.store.SetDown(false)
		f.advance(10 * time.Second)
		qt.Assert(t, f.poll("node-0").Reachable, qt.IsTrue)
		qt.Assert(t, nodes[0].Current().Domains["ne-a"].Out, qt.IsFalse)
		f.commit(nodes[0], out("x", 1, true), config.ResultAccepted)
	})
}

func TestStoreDownAtStart(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.startSample(1)
		f.cutOff["node-0"] = true
		f.store.SetDown(true)
		alone := f.startNode("node-1")
		f.advance(time.Minute)
		qt.Assert(t, alone.Current().Revision, qt.Equals, model.Revision(0))
		f.store.SetDown(false)
		f.advance(10 * time.Second)
		qt.Assert(t, alone.Current().Revision, qt.Equals, model.Revision(1))
	})
}

func TestSlowStore(t *testing.T) {
	runFleet(t, func(f *fleet) {
		nodes := f.startSample(2)
		f.store.SetDelay(1500 * time.Millisecond)
		f.commit(nodes[1], out("x", 1, true), config.ResultAccepted)
		f.advance(5 * time.Second)
		qt.Assert(t, f.revisions(nodes), qt.DeepEquals, []model.Revision{2, 2})
		f.store.SetDelay(time.Minute)
		outcome := f.commit(nodes[1], out("y", 2, false), config.ResultUnavailable)
		qt.Assert(t, outcome.Revision <= 2, qt.IsTrue)
	})
}

// In each case one of the first answers to writes is lost.
func TestCommitSurvivesLostWriteAnswers(t *testing.T) {
	for lost := 1; lost <= 4; lost++ {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				nodes := f.startSample(2)
				f.store.DropResponses(lost)
				outcome := f.commit(nodes[1], out("x", 1, true), config.ResultAccepted)
				qt.Assert(t, outcome.Revision, qt.Equals, model.Revision(2))
				qt.Assert(t, outcome.Repeated, qt.IsFalse)
				repeated := f.commit(nodes[0], out("x", 1, true), config.ResultAccepted)
				qt.Assert(t, repeated.Repeated, qt.IsTrue)
				f.advance(time.Second)
				qt.Assert(t, f.revisions(nodes), qt.DeepEquals, []model.Revision{2, 2})
			})
		})
	}
}

func TestConcurrentCommitsAtTwoNodes(t *testing.T) {
	runFleet(t, func(f *fleet) {
		nodes := f.startSample(2)
		f.store.SetDelay(10 * time.Millisecond)
		var outcomes [2]config.Outcome
		var both sync.WaitGroup
		for i, a := range nodes {
			both.Go(func() { outcomes[i] = a.Commit(f.ctx, out(fmt.Sprint("race-", i), 1, i == 0), nil) })
		}
		both.Wait()
		results := map[config.Result]int{outcomes[0].Result: 1}
		results[outcomes[1].Result]++
		// Node 1 sets ne-a in service, which changes nothing unless node 0 has taken
		// it out of service before.
		qt.Assert(t, results[config.ResultAccepted] <= 1, qt.IsTrue)
		qt.Assert(t, results[config.ResultAccepted]+results[config.ResultConflict]+results[config.ResultUnchanged], qt.Equals, 2)
		f.advance(time.Second)
		qt.Assert(t, f.revisions(nodes), qt.DeepEquals, []model.Revision{2, 2})
	})
}

// A store that returns outdated heads must not set a node back to an older
// revision, nor keep a restarted node from reaching the current one.
func TestStaleReads(t *testing.T) {
	runFleet(t, func(f *fleet) {
		nodes := f.startSample(2)
		f.store.SetStaleReads(true)
		f.commit(nodes[0], out("x", 1, true), config.ResultAccepted)
		f.advance(time.Second)
		qt.Assert(t, f.revisions(nodes), qt.DeepEquals, []model.Revision{2, 2})
		qt.Assert(t, f.poll("node-0").Reachable, qt.IsFalse)
		f.commit(nodes[0], out("y", 2, false), config.ResultUnavailable)
		restarted := f.startNode("node-1")
		restarted.ObserveRevision(2, "node-0")
		restarted.SetWatching(true)
		f.advance(10 * time.Second)
		qt.Assert(t, restarted.Current().Revision, qt.Equals, model.Revision(2))
		f.store.SetStaleReads(false)
		f.advance(10 * time.Second)
		qt.Assert(t, f.poll("node-0").Confirmed, qt.Equals, model.Revision(2))
	})
}

// The node with the newest configuration fails before another node has fetched
// it, which then has to read it from the store.
func TestSourceFailsBeforeFetch(t *testing.T) {
	runFleet(t, func(f *fleet) {
		nodes := f.startSample(3)
		nodes[0].SetWatching(false)
		f.cutOff["node-2"] = true
		f.commit(nodes[2], out("x", 1, true), config.ResultAccepted)
		nodes[1].ObserveRevision(2, "node-2")
		f.advance(10 * time.Second)
		qt.Assert(t, nodes[1].Current().Revision, qt.Equals, model.Revision(2))
	})
}

// rates are rates of store calls.
type rates struct{ perSecond, perChange float64 }

// measureCalls measures the store calls of a fleet without changes, and the
// additional ones for each change.
func measureCalls(t *testing.T, nodes, watchers int) (r rates) {
	const measured, changes, apart = 20, 8, 3 // seconds, changes, seconds
	runFleet(t, func(f *fleet) {
		all := f.startSample(nodes)
		for _, a := range all[:watchers] {
			a.SetWatching(true)
		}
		f.advance(5 * time.Second)
		count := func(d time.Duration) float64 {
			before := f.store.Counts().Total()
			f.advance(d)
			return float64(f.store.Counts().Total() - before)
		}
		r.perSecond = count(measured*time.Second) / measured
		before := f.store.Counts().Total()
		for i := range changes {
			f.commit(all[nodes-1], out(fmt.Sprint(i), model.Revision(i+1), i%2 == 0), config.ResultAccepted)
			f.advance(apart * time.Second)
		}
		during := float64(f.store.Counts().Total() - before)
		r.perChange = (during - apart*changes*r.perSecond) / changes
		qt.Assert(t, all[nodes/2].Current().Revision, qt.Equals, model.Revision(changes+1))
	})
	return r
}

// The announced source has failed and the store is down. Another node that
// announces the same revision later must be asked, even after the queue was full
// of announcements of the failed node.
func TestSourceFailsWhileStoreIsDown(t *testing.T) {
	runFleet(t, func(f *fleet) {
		nodes := f.startSample(2)
		f.store.SetDown(true)
		f.cutOff["node-9"] = true
		joined := f.startNode("node-2")
		joined.ObserveRevision(1, "node-9")
		f.advance(time.Minute)
		qt.Assert(t, joined.Current().Revision, qt.Equals, model.Revision(0))
		for range 2 * announcementQueueSize {
			joined.ObserveRevision(1, "node-9")
		}
		f.advance(time.Second)
		joined.ObserveRevision(1, "node-1")
		f.advance(5 * time.Second)
		qt.Assert(t, joined.Current().Revision, qt.Equals, nodes[1].Current().Revision)
	})
}

// The number of store calls depends on the number of watchers, not of nodes.
func TestStoreCalls(t *testing.T) {
	at := make(map[[2]int]rates)
	for _, size := range [][2]int{{20, 2}, {200, 2}, {20, 8}} {
		at[size] = measureCalls(t, size[0], size[1])
		t.Logf("%d nodes, %d watchers: %.2f calls a second, %.1f more for a change", size[0], size[1], at[size].perSecond, at[size].perChange)
	}
	few, many := at[[2]int{20, 2}], at[[2]int{200, 2}]
	qt.Assert(t, many.perSecond <= 1.1*few.perSecond, qt.IsTrue)
	qt.Assert(t, many.perChange <= few.perChange+2, qt.IsTrue)
}
