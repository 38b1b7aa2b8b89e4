package distribution

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
)

const (
	// pollPeriod is the longest watch of the store for applyBound, and followPoll the time
	// between checks whether a node has to watch it.
	pollPeriod = applyBound / 2
	followPoll = 100 * time.Millisecond
)

// follow lets a node watch the store while its policy says so, from the time of the call on.
func (n *simNode) follow() {
	f := n.fleet
	switch {
	case !n.watcher.ShouldWatch(f.clock()):
		n.following = false
		f.after(followPoll, n.follow)
	case n.unanswered:
		f.after(followPoll, n.follow)
	case !n.following:
		n.following = true
		f.after(n.watcher.FallbackDelay()+roundTrip, func() {
			if !n.watcher.ShouldWatch(f.clock()) {
				n.follow()
				return
			}
			asked := f.now
			f.read(n, f.stored, func() { n.answered(asked) })
		})
	default:
		longest := n.watcher.MaxWatch(f.clock(), pollPeriod, 2*pollPeriod)
		f.after(time.Duration((0.75+f.rng.Float64()/4)*float64(longest)), func() {
			if !n.unanswered && n.change.revision >= f.stored.revision {
				n.answered(f.now)
				return
			}
			n.follow()
		})
	}
}

// answered records an answer of the store, greets the failure domain and goes on.
func (n *simNode) answered(at time.Duration) {
	n.answeredAt = at
	n.puller.Confirm(start.Add(at), n.change.revision, n.change.revision)
	n.greetOwnDomain()
	n.follow()
}

// hear receives what a greeting says of the store.
func (n *simNode) hear(from *simNode) {
	if from.following && from.answeredAt > 0 {
		at := start.Add(from.answeredAt)
		n.watcher.Refresh(at, from.domain)
		n.puller.Confirm(at, from.change.revision, n.change.revision)
	}
}

// TestUntoldNodesServeNoCallsByAReplacedConfiguration replays failure domains that nothing but
// their own watchers tells of a change, while the store stops answering both of these at some
// time around it, or they die: the store answers all other nodes, which must notice, and have
// the change in force or refuse calls within the bound.
func TestUntoldNodesServeNoCallsByAReplacedConfiguration(t *testing.T) {
	served, refused := 0, 0
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 2))
		f := newFleet(seed, true, 6+rng.IntN(22), 6+rng.IntN(22), 6+rng.IntN(22))
		f.isolated = true
		f.after(0, func() { f.write(change{revision: 1, document: document(20+rng.IntN(800), 90)}) })
		for _, n := range f.nodes {
			f.after(time.Duration(f.rng.Float64()*float64(time.Second)), n.follow)
		}
		var changes []change
		at := 8 * time.Second
		for revision := range model.Revision(1 + rng.IntN(3)) {
			c := change{at: at, revision: revision + 2, document: document(20+rng.IntN(1400), int(revision))}
			changes = append(changes, c)
			f.after(at, func() { f.write(c) })
			at += time.Duration(rng.Int64N(int64(4 * time.Second)))
		}
		lost := map[*simNode]bool{}
		lostAt, dead := 3*time.Second+time.Duration(rng.Int64N(int64(at-2*time.Second))), rng.IntN(2) == 0
		for _, n := range f.nodes {
			if n.watcher.IsWatcher() && n.domain != "0" {
				f.after(lostAt, func() {
					lost[n], n.unanswered, n.stuck = true, true, dead
				})
			}
		}
		var arrive func(n *simNode)
		arrive = func(n *simNode) {
			f.after(time.Duration(f.rng.ExpFloat64()*float64(50*time.Millisecond)), func() { arrive(n) })
			if lost[n] {
				return
			}
			if n.puller.Overdue(f.clock(), n.change.revision, applyBound) {
				refused++
				return
			}
			served++
			for _, c := range changes {
				if n.change.revision < c.revision && f.now > c.at+applyBound {
					t.Fatalf("seed %d: %s serves a call by revision %d, %v after revision %d", seed, n.addr, n.change.revision, f.now-c.at, c.revision)
				}
			}
		}
		for _, n := range f.nodes {
			f.after(5*time.Second, func() { arrive(n) })
		}
		f.run(at + 6*time.Second)
	}
	t.Logf("%d calls served, %d refused", served, refused)
	qt.Check(t, served > refused, qt.IsTrue)
}
