package proof

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"zinniafall/policy/model"
)

const (
	revocationTime = 5 * time.Second
	limit          = revocationTime - Margin
	// repeatTime is how long the operators take to write again what the store lost.
	repeatTime = 2 * time.Second
)

// fleetModel has the operators, the store, nodes whose clocks differ, and messages that may
// arrive late.
type fleetModel struct {
	now time.Duration
	// acked is when the store acknowledged each revision, including those that it lost.
	acked  map[model.Revision]time.Duration
	newest model.Revision
	shown  model.Revision
	era    uint64
	// mark is the era that the store has marked, and earlierMark the one before.
	mark, earlierMark uint64
	repeatAt          time.Duration // 0 if the store has lost nothing
	nodes             []*modelNode
	messages          []message
}

type modelNode struct {
	tracker Tracker
	// offset is the difference between the node's clock and the others'.
	offset  time.Duration
	process int
	// Messages wait while the node is paused, and are lost while it is cut off.
	pausedUntil, cutUntil time.Duration
}

// message is delivered to a process of a node, if that still runs.
type message struct {
	at      time.Duration
	to      *modelNode
	process int
	apply   func(n *modelNode)
}

func (f *fleetModel) clock(n *modelNode) Instant { return Instant(f.now + n.offset) }

func (f *fleetModel) write() {
	f.newest++
	f.shown = f.newest
	f.acked[f.newest] = f.now
}

// returnFromCopy lets the store return from a copy that lacks up to some revisions.
func (f *fleetModel) returnFromCopy(lost int) {
	if f.shown = f.newest - min(model.Revision(lost), f.newest-1); f.shown < f.newest {
		f.repeatAt = f.now + repeatTime
	}
	f.era++
	f.mark = f.earlierMark // or the mark as it is, if it is older than the copy
}

// askMark reads the mark of the store for a node.
func (f *fleetModel) askMark(n *modelNode, there, back time.Duration) {
	f.send(n, there, func(n *modelNode) {
		mark := Mark{Read: true, ReadIn: f.era, Found: true, Era: f.mark}
		f.send(n, back, func(n *modelNode) { n.tracker.MarkRead(mark) })
	})
}

// markEra marks the present era for a node that may.
func (f *fleetModel) markEra(n *modelNode) {
	if era, ok := n.tracker.Unmarked(); ok && era == f.era {
		f.earlierMark, f.mark = f.mark, era
	}
}

func (f *fleetModel) send(to *modelNode, delay time.Duration, apply func(n *modelNode)) {
	f.messages = append(f.messages, message{f.now + delay, to, to.process, apply})
}

// askStore sends a question to the store, which answers it after a delay; the answer takes
// another one. The node puts a later configuration in force.
func (f *fleetModel) askStore(n *modelNode, there, back time.Duration) {
	asked := f.clock(n)
	f.send(n, there, func(n *modelNode) {
		shown, era := f.shown, f.era
		f.send(n, back, func(n *modelNode) {
			if shown > n.tracker.Revision() {
				n.tracker.Advance(shown)
			}
			n.tracker.Answered(f.clock(n), asked, era, true)
		})
	})
}

// askNode is the same with another node, and the configuration comes later.
func (f *fleetModel) askNode(n, other *modelNode, there, back time.Duration) {
	asked := f.clock(n)
	f.send(other, there, func(other *modelNode) {
		s := other.tracker.Statement(f.clock(other))
		f.send(n, back, func(n *modelNode) { n.tracker.Stated(asked, s) })
		f.send(n, 2*back, func(n *modelNode) {
			if s.Revision > n.tracker.Revision() {
				n.tracker.Advance(s.Revision)
			}
		})
	})
}

// pass lets time pass and delivers what is due to the nodes that are not paused.
func (f *fleetModel) pass(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now = min(f.now+50*time.Millisecond, end)
		if f.repeatAt > 0 && f.now >= f.repeatAt {
			f.shown, f.repeatAt = f.newest, 0
		}
		due := f.messages
		f.messages = nil
		for _, m := range due {
			switch {
			case m.process != m.to.process || m.at <= f.now && m.to.cutUntil > f.now:
			case m.at > f.now || m.to.pausedUntil > f.now:
				f.messages = append(f.messages, m)
			default:
				m.apply(m.to)
			}
		}
	}
}

// TestNoProofOutlivesAWithdrawal replays random writes, delays, pauses, restarts and returns
// of the store from a copy. It guards against a node that uses a configuration later than
// the revocation time after a newer one was acknowledged: because a clock differs, an
// answer is late, the node was cut off, paused or restarted on an old copy, or the store
// forgot the newer configuration.
func TestNoProofOutlivesAWithdrawal(t *testing.T) {
	proofs := 0
	rapid.Check(t, func(t *rapid.T) {
		f := &fleetModel{now: time.Hour, acked: map[model.Revision]time.Duration{}, era: rapid.Uint64Range(0, firstEra).Draw(t, "first era")}
		f.mark, f.earlierMark = f.era, f.era
		f.write()
		for i := range 4 {
			f.nodes = append(f.nodes, &modelNode{offset: time.Duration(i) * 17 * time.Minute})
		}
		node := func() *modelNode { return f.nodes[rapid.IntRange(0, 3).Draw(t, "node")] }
		ms := func(most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, "ms")) * time.Millisecond
		}
		actions := []func(){
			f.write,
			func() { f.returnFromCopy(rapid.IntRange(0, 3).Draw(t, "lost")) },
			func() { node().pausedUntil = f.now + ms(9000) },
			func() { node().cutUntil = f.now + ms(9000) },
			func() { // all nodes are cut off at some time after a change
				f.write()
				f.pass(ms(4000))
				for _, n := range f.nodes {
					n.cutUntil = f.now + revocationTime + repeatTime
				}
			},
			func() {
				n := node()
				*n = modelNode{offset: n.offset, process: n.process + 1}
			},
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if i := rapid.IntRange(0, 12).Draw(t, "action"); i < len(actions) {
				actions[i]()
			}
			for _, n := range f.nodes {
				if rapid.Bool().Draw(t, "mark") {
					f.askMark(n, ms(900), ms(900))
				}
				if rapid.Bool().Draw(t, "marks") {
					f.markEra(n)
				}
				if rapid.Bool().Draw(t, "store") {
					f.askStore(n, ms(900), ms(3000))
				} else {
					f.askNode(n, node(), ms(900), ms(3000))
				}
			}
			f.pass(ms(1500))
			for i, n := range f.nodes {
				if n.pausedUntil > f.now || !n.tracker.Valid(f.clock(n), limit) {
					continue
				}
				proofs++
				later, ok := f.acked[n.tracker.Revision()+1]
				if ok && f.now-later >= revocationTime {
					t.Fatalf("node %d uses revision %d, which was replaced %s ago", i, n.tracker.Revision(), f.now-later)
				}
			}
		}
	})
	qt.Assert(t, proofs > 100, qt.IsTrue, qt.Commentf("%d proofs: the replay shows nothing", proofs))
}

// TestFirstReturnFromCopyIsNoticedByItsMark guards against a process that starts after the first
// return of a store that counts from 0 and takes that era for the first one, and against a first
// start that waits although the store is new.
func TestFirstReturnFromCopyIsNoticedByItsMark(t *testing.T) {
	for _, test := range []struct {
		name   string
		mark   Mark
		proven bool
	}{
		{"not read", Mark{}, false},
		{"none, read in the era before", Mark{Read: true, ReadIn: 0}, false},
		{"none", Mark{Read: true, ReadIn: 1}, true},
		{"none, but an entry of an earlier process", Mark{Read: true, ReadIn: 1, Preceded: true}, false},
		{"the same era, and an entry", Mark{Read: true, ReadIn: 1, Found: true, Era: 1, Preceded: true}, true},
		{"the era before", Mark{Read: true, ReadIn: 1, Found: true, Era: 0}, false},
		{"the same era", Mark{Read: true, ReadIn: 1, Found: true, Era: 1}, true},
	} {
		for _, markFirst := range []bool{true, false} {
			var tracker Tracker
			tracker.Advance(4)
			if markFirst {
				tracker.MarkRead(test.mark)
			}
			tracker.Answered(Instant(time.Second), 0, 1, true)
			if !markFirst {
				tracker.MarkRead(test.mark)
			}
			_, proven := tracker.Age(Instant(time.Second))
			qt.Assert(t, proven, qt.Equals, test.proven, qt.Commentf("%s, before the answer: %v", test.name, markFirst))
		}
	}
}

// TestProofOfALaterConfigurationCountsOnceItIsInForce guards against a node without any
// proof while changes follow each other faster than its questions.
func TestProofOfALaterConfigurationCountsOnceItIsInForce(t *testing.T) {
	var tracker Tracker
	tracker.Advance(1)
	for revision := model.Revision(2); revision < 32; revision++ { // thirty configurations behind
		qt.Assert(t, tracker.Stated(Instant(time.Duration(revision)*time.Second), Statement{Revision: revision, Proven: true}), qt.IsTrue)
	}
	now := Instant(32 * time.Second)
	qt.Assert(t, tracker.Valid(now, limit), qt.IsFalse)
	tracker.Advance(31)
	age, ok := tracker.Age(now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, age, qt.Equals, time.Second)
	// A statement that cannot be true proves nothing.
	for _, age := range []time.Duration{-time.Hour, math.MaxInt64, math.MinInt64} {
		qt.Assert(t, tracker.Stated(now, Statement{Revision: 31, Proven: true, Age: age}), qt.IsFalse)
	}
	qt.Assert(t, tracker.Stated(now, Statement{Revision: 31}), qt.IsFalse)
}

// TestAskerLeavesOutThoseWithoutProof guards against rounds that wait each time for nodes
// that are gone, and against a store that gets a question per call.
func TestAskerLeavesOutThoseWithoutProof(t *testing.T) {
	a := NewAsker(1)
	candidates := []model.NodeAddr{"a", "b"}
	a.Failed(0, "a")
	qt.Assert(t, a.Pick(0, candidates, 2), qt.DeepEquals, []model.NodeAddr{"b"})
	qt.Assert(t, a.Pick(Instant(failedPause), candidates, 2), qt.HasLen, 2)
	qt.Assert(t, a.TakeStore(0), qt.IsTrue)
	qt.Assert(t, a.TakeStore(Instant(storeInterval-1)), qt.IsFalse)
	qt.Assert(t, a.TakeStore(Instant(storeInterval)), qt.IsTrue)
}

// TestBodyWaitOutlastsARenewal replays an outage of the store that ends a proof while uploads
// travel. Those whose bodies arrive shortly before the next renewal, and have the time, must
// not be lost.
func TestBodyWaitOutlastsARenewal(t *testing.T) {
	const limit, outage = 4400 * time.Millisecond, 5 * time.Second
	var tracker Tracker
	tracker.Advance(1)
	tracker.MarkRead(Mark{Read: true})
	answer := func(at time.Duration) { tracker.Answered(Instant(at), Instant(at), 0, true) }
	for at := time.Duration(0); at < 10*time.Second; at += Interval {
		answer(at)
	}
	lost := 10*time.Second - Interval + limit + 400*time.Millisecond
	renewed := 10*time.Second + outage
	qt.Assert(t, tracker.Valid(Instant(lost), limit), qt.IsFalse)
	answer(renewed)
	qt.Assert(t, tracker.Valid(Instant(renewed), limit), qt.IsTrue)
	for arrived := lost; arrived < renewed; arrived += 10 * time.Millisecond {
		served := arrived+BodyWait(8*time.Second) >= renewed
		qt.Assert(t, served, qt.Equals, renewed-arrived <= 2*Interval, qt.Commentf("%v", arrived))
	}
	for left, want := range map[time.Duration]time.Duration{-time.Second: 0, 300 * time.Millisecond: 100 * time.Millisecond, time.Minute: 2 * Interval} {
		qt.Check(t, BodyWait(left), qt.Equals, want)
	}
}
