package sidecar

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
	"zinniafall/policy/rollout"
)

// rolloutTime is the duration of the orders.
const rolloutTime = 6 * time.Second

// rolloutFleet is a service with owners of v1 in three failure domains, to which owners of v2
// are added.
type rolloutFleet struct {
	t        testing.TB
	store    *rolloutStore
	old, new []*testNode
	started  sync.Map // nodes by address
	links    sync.Map // likewise
	stopLoad context.CancelFunc
	load     sync.WaitGroup
	// calls counts the calls that ended, and lost those without a success.
	calls, lost atomic.Int64
	lostSafe    atomic.Int64 // of lost, those that are idempotent
	lastLost    atomic.Value
	// beforeDrain holds the requests at the new targets when the drain began.
	beforeDrain map[model.NodeAddr]int
}

// A target that stops at the moment of completion must have no call running, queued or in
// transit, and no caller may lose a call during a rollout.
func TestGoodVersionCompletesWithoutLoss(t *testing.T) {
	f := newRolloutFleet(t, 3)
	var running atomic.Int64
	for _, n := range f.old {
		n.target.onRequest(func(w http.ResponseWriter, r *http.Request) {
			running.Add(1)
			defer running.Add(-1)
			work(w, r)
		})
	}
	atCompletion := int64(-1)
	f.store.onStatus = func(status string) {
		if status == string(rollout.Completed) {
			atCompletion = running.Load()
			for _, n := range f.old {
				closeTarget(n.target.server)
			}
		}
	}
	f.startLoad(120)
	f.store.order("v2", rolloutTime)
	f.addNew("v2", work)
	f.waitForStatus(rollout.Completed)
	time.Sleep(time.Second)
	f.endLoad()
	last := f.store.lastWritten()
	t.Logf("%d calls, completed after %d ms", f.calls.Load(), last.ElapsedMs)
	qt.Check(t, last.ElapsedMs < rolloutTime.Milliseconds(), qt.IsTrue)
	qt.Check(t, atCompletion, qt.Equals, int64(0))
	qt.Check(t, f.lost.Load(), qt.Equals, int64(0), qt.Commentf("%v", f.lastLost.Load()))
}

// A bad version is closed everywhere before it exceeds the exposure limit, and the callers'
// requests go on at the old one.
func TestBadVersionIsRolledBack(t *testing.T) {
	f := newRolloutFleet(t, 3)
	f.startLoad(120)
	f.store.order("v2", rolloutTime)
	f.addNew("v2", failCall)
	f.waitForStatus(rollout.RolledBack)
	n := reached(f.new)
	time.Sleep(time.Second)
	qt.Check(t, reached(f.new), qt.Equals, n)
	t.Logf("%d of %d calls reached the bad version, %s", n, f.calls.Load(), f.store.lastWritten().Reason)
	f.checkGrants()
	qt.Check(t, n <= 50+int(f.calls.Load())/10, qt.IsTrue)
	// An idempotent call is repeated at the stable version, not at another bad target.
	qt.Check(t, f.lostSafe.Load(), qt.Equals, int64(0))
}

// The controller dies before or after a write: the next one continues from the store, and
// grants nothing twice.
func TestControllerDies(t *testing.T) {
	for name, what := range map[string]writeFault{"before its write": writeLost, "after its write": writeUnanswered} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newRolloutFleet(t, 3)
			var killed atomic.Pointer[testNode]
			var started atomic.Bool
			f.store.fault = func(ctx context.Context, node string, s rollout.State) writeFault {
				if !started.Load() || s.Phase != rollout.Canary || !killed.CompareAndSwap(nil, f.nodeAt(node)) {
					return writeWorks
				}
				go killed.Load().Kill()
				<-ctx.Done()
				return what
			}
			f.startLoad(90)
			f.store.order("v2", 2*rolloutTime)
			f.addNew("v2", failHalf)
			started.Store(true)
			f.waitForStatus(rollout.RolledBack)
			qt.Check(t, killed.Load(), qt.IsNotNil)
			f.checkGrants()
		})
	}
}

// heldList is a store whose lists of the operators' keys are held back.
type heldList struct {
	nodeStore
	released chan struct{}
}

func (s heldList) List(ctx context.Context, prefix string) ([]Item, Position, error) {
	if prefix == (testOperators{}).Prefix() {
		select {
		case <-s.released:
		case <-ctx.Done():
		}
	}
	return s.nodeStore.List(ctx, prefix)
}

// An owner that has its configuration from other nodes must not open its target before it has
// read the orders: TestControllerDies found targets of a new version with requests that nobody
// had granted.
func TestOwnerThatHasNotReadTheOrdersIsClosed(t *testing.T) {
	f := newRolloutFleet(t, 3)
	peers, target, released := freeAddr(), newTestTarget(t, "v2-0"), make(chan struct{})
	f.store.fault = func(context.Context, string, rollout.State) writeFault {
		select {
		case <-released:
			return writeWorks
		default:
			return writeLost // no node hears of the rollout by its state
		}
	}
	f.startLoad(90)
	f.store.order("v2", 2*rolloutTime)
	n := startNodeWith(t, heldList{nodeStore{f.store, peers}, released}, "d0", "shop", target, peers, func(o *Options) {
		o.Settings.Rollouts, o.Settings.ExposureRatio, o.Settings.ExposureSlack, o.Settings.RollbackTime = true, 0.1, 50, 5*time.Second
	})
	f.new = append(f.new, n)
	f.announce(n, "v2")
	time.Sleep(unknownVersionTime / 4)
	close(released)
	eventually(t, "the target gets what was granted", func() bool { return len(target.requests()) > 0 })
	f.endLoad()
	f.checkGrants()
}

// Several controllers die together, as when the instances of another version end: the first
// one that is left must take over in time for a good version to complete.
func TestControllersDieTogether(t *testing.T) {
	f := newRolloutFleet(t, 6)
	var died atomic.Bool
	f.store.fault = func(_ context.Context, _ string, s rollout.State) writeFault {
		if s.Phase != rollout.Expand || died.Swap(true) {
			return writeWorks
		}
		for _, node := range f.old[0].rollouts.controllers("shop")[:3] {
			go f.nodeAt(string(node)).Kill()
		}
		return writeUnanswered
	}
	f.startLoad(60)
	f.store.order("v2", rolloutTime)
	f.addNew("v2", work)
	f.waitForStatus(rollout.Completed)
}

// Writes that are lost, executed without an answer, or executed late neither stop a rollout nor
// undo a later state.
func TestWritesAreAnsweredLateOrNever(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 3)
	var writes atomic.Int32
	f.store.fault = func(context.Context, string, rollout.State) writeFault {
		return []writeFault{writeWorks, writeUnanswered, writeLate, writeLost}[writes.Add(1)%4]
	}
	f.startLoad(90)
	f.store.order("v2", 2*rolloutTime)
	f.addNew("v2", work)
	f.waitForStatus(rollout.Completed)
	time.Sleep(1500 * time.Millisecond)
	f.endLoad()
	qt.Check(t, f.store.status(), qt.Equals, string(rollout.Completed))
	qt.Check(t, f.lost.Load(), qt.Equals, int64(0), qt.Commentf("%v", f.lastLost.Load()))
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for i, s := range f.store.written[1:] {
		qt.Check(t, rollout.Newer(s, f.store.written[i]), qt.IsTrue, qt.Commentf("step %d after %d", s.Step, f.store.written[i].Step))
	}
}

// A version that is found bad while the store is down is closed by polls; the status follows
// when the store is back.
func TestStoreIsDownDuringABadVersion(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 3)
	f.addNew("v2", resetConnection)
	wentDown := false
	f.store.onStatus = func(string) {
		if !wentDown && len(f.store.written[len(f.store.written)-1].Grants) > 0 {
			f.store.down, wentDown = true, true
		}
	}
	f.store.order("v2", 2*rolloutTime)
	f.startLoad(120)
	eventually(t, "new owners are closed", func() bool {
		for _, n := range f.new {
			if known, _ := n.rollouts.state("shop"); known.Phase != rollout.RolledBack {
				return false
			}
		}
		return true
	})
	time.Sleep(100 * time.Millisecond)
	n := reached(f.new)
	time.Sleep(time.Second)
	qt.Check(t, reached(f.new), qt.Equals, n)
	qt.Check(t, f.store.status(), qt.Equals, string(rollout.Canary))
	f.store.setDown(false)
	f.waitForStatus(rollout.RolledBack)
	f.checkGrants()
}

// A store that turns the controller away must not stop the rollout.
func TestStoreTurnsTheControllerAway(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 3)
	f.store.fault = func(_ context.Context, node string, s rollout.State) writeFault {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		if f.store.refused == "" && s.Granted > 0 {
			f.store.refused = node
		}
		return writeWorks
	}
	f.startLoad(90)
	f.store.order("v2", 2*rolloutTime)
	f.addNew("v2", work)
	f.waitForStatus(rollout.Completed)
	f.endLoad()
	qt.Check(t, f.store.refused, qt.Not(qt.Equals), "")
	qt.Check(t, f.lost.Load(), qt.Equals, int64(0), qt.Commentf("%v", f.lastLost.Load()))
}

// A failure domain that the controller cannot reach must not keep the rollout from completing.
func TestFailureDomainIsCutOff(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 3)
	f.startLoad(60)
	f.store.order("v2", 2*rolloutTime)
	f.addNew("v2", work)
	eventually(t, "grants", func() bool { return f.store.lastWritten().Granted > 0 })
	acts := slices.IndexFunc(f.old, func(n *testNode) bool { return n.acts("shop") || f.new[slices.Index(f.old, n)].acts("shop") })
	out := (acts + 1) % len(f.old)
	for _, n := range []*testNode{f.old[out], f.new[out]} {
		link, _ := f.links.Load(string(n.self))
		link.(*testLink).cut()
	}
	f.waitForStatus(rollout.Completed)
}

// acts reports whether the node is the controller of a service.
func (n *testNode) acts(service model.Service) bool {
	n.rollouts.mu.Lock()
	defer n.rollouts.mu.Unlock()
	s := n.rollouts.services[service]
	return s != nil && s.controller != nil && s.controller.actsSince.Load() > 0
}

// A store that returns from a copy with a running state must get the end of the rollout back,
// and no owner of the old version may open again.
func TestStoreReturnsFromAnOlderCopy(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 3)
	f.startLoad(60)
	f.store.order("v2", rolloutTime)
	f.addNew("v2", work)
	f.waitForStatus(rollout.Canary)
	f.store.mu.Lock()
	keys, revision := maps.Clone(f.store.keys), f.store.revision
	delete(keys, "ops/rollout/shop") // not repeated by the operators yet
	f.store.mu.Unlock()
	f.waitForStatus(rollout.Completed)
	n := reached(f.old)
	f.store.returnFrom(keys, revision)
	f.waitForStatus(rollout.Completed)
	time.Sleep(time.Second)
	f.endLoad()
	qt.Check(t, reached(f.old), qt.Equals, n)
	qt.Check(t, f.lost.Load(), qt.Equals, int64(0), qt.Commentf("%v", f.lastLost.Load()))
}

// The grants of an owner's former process are void: until it has one of its own, a restarted
// owner starts nothing.
func TestOwnerRestarts(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 3)
	f.startLoad(90)
	f.store.order("v2", 2*rolloutTime)
	f.addNew("v2", work)
	var canary *testNode
	eventually(t, "a canary with requests", func() bool {
		for _, n := range f.new {
			if len(n.target.requests()) > 3 {
				canary = n
				return true
			}
		}
		return false
	})
	at := slices.Index(f.new, canary)
	canary.Kill()
	before := len(canary.target.requests())
	f.store.fault = func(context.Context, string, rollout.State) writeFault { return writeLost }
	f.new[at] = startNodeWith(t, nodeStore{f.store, string(canary.self)}, canary.settings.Domain, "shop", canary.target, string(canary.self), func(o *Options) {
		s := &o.Settings
		s.Peers, s.Rollouts = canary.settings.Peers, true
	})
	time.Sleep(500 * time.Millisecond) // the version is not known yet
	f.announce(f.new[at], "v2")
	time.Sleep(1500 * time.Millisecond)
	qt.Check(t, len(canary.target.requests()), qt.Equals, before)
	f.store.mu.Lock()
	f.store.fault = nil
	f.store.mu.Unlock()
	f.waitForStatus(rollout.Completed)
	eventually(t, "the restarted owner serves", func() bool { return len(canary.target.requests()) > before })
}

// Owners of a version that another order replaces get nothing more, and the next version
// completes.
func TestSecondOrderForAnotherVersion(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 3)
	f.startLoad(90)
	f.store.order("v2", 2*rolloutTime)
	f.addNew("v2", work)
	eventually(t, "grants", func() bool { return f.store.lastWritten().Granted > 0 })
	f.store.order("v3", 2*rolloutTime)
	replaced := f.new
	f.addNew("v3", work)
	eventually(t, "the state of v3", func() bool { return f.store.lastWritten().Version == "v3" })
	time.Sleep(500 * time.Millisecond)
	n := reached(replaced)
	f.waitForStatus(rollout.Completed)
	f.endLoad()
	qt.Check(t, reached(replaced), qt.Equals, n)
	qt.Check(t, f.store.lastWritten().Version, qt.Equals, "v3")
	qt.Check(t, f.lost.Load(), qt.Equals, int64(0), qt.Commentf("%v", f.lastLost.Load()))
}

// An order for a version without targets ends by its deadline, and the old version serves on.
func TestOrderForAVersionWithoutTargets(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 3)
	f.startLoad(30)
	f.store.order("v9", 3*time.Second)
	f.waitForStatus(rollout.RolledBack)
	f.endLoad()
	qt.Check(t, f.lost.Load(), qt.Equals, int64(0), qt.Commentf("%v", f.lastLost.Load()))
}

// Until a state is written, the targets of the ordered version, and those whose version is not
// known yet, get nothing.
func TestOrderWithoutState(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 2)
	f.store.fault = func(context.Context, string, rollout.State) writeFault { return writeLost }
	f.store.order("v2", rolloutTime)
	f.startLoad(60)
	f.addNew("v2", work)
	unknown := newTestTarget(t, "unknown")
	startNodeWith(t, nodeStore{f.store, "unknown"}, "d0", "shop", unknown, freeAddr(), func(o *Options) { o.Settings.Rollouts = true })
	time.Sleep(unknownVersionTime / 2)
	qt.Check(t, len(unknown.requests()), qt.Equals, 0)
	qt.Check(t, reached(f.new), qt.Equals, 0)
	f.endLoad()
	qt.Check(t, f.lost.Load(), qt.Equals, int64(0), qt.Commentf("%v", f.lastLost.Load()))
}
