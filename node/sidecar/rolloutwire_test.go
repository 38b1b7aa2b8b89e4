package sidecar

import (
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"zinniafall/node/peer"
	"zinniafall/policy/dispatch"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/rollout"
	"zinniafall/policy/roster"
)

// allGates stands for any gate of the dispatcher.
const allGates dispatch.Gate = 0xff

// Nodes without rollouts must send the same bytes as those of earlier releases.
func TestMessagesWithoutRolloutsAreUnchanged(t *testing.T) {
	record := roster.Record{Node: "a:1", Domain: "d", Region: "r", Service: "s", Slots: 3, Sequence: 2}
	raw, err := cbor.Marshal(greeting{From: record, Revision: 7})
	qt.Assert(t, err, qt.IsNil)
	var fields, recordFields map[int]cbor.RawMessage
	qt.Assert(t, cbor.Unmarshal(raw, &fields), qt.IsNil)
	qt.Assert(t, slices.Sorted(maps.Keys(fields)), qt.DeepEquals, []int{1, 2, 3, 4})
	qt.Assert(t, cbor.Unmarshal(fields[1], &recordFields), qt.IsNil)
	qt.Assert(t, slices.Sorted(maps.Keys(recordFields)), qt.DeepEquals, []int{1, 2, 3, 4, 5, 6, 7, 8})
	text, err := json.Marshal(record)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Contains(string(text), "version"), qt.IsFalse)
}

// A node without rollouts answers a poll as earlier releases do, and unreadable messages of
// other releases neither end the process nor change its decisions.
func TestPollsAndMalformedMessagesOfOtherReleases(t *testing.T) {
	f := newRolloutFleet(t, 1)
	plain := startNode(t, f.store, "d9", "shop", newTestTarget(t, "plain"))
	n := f.old[0]
	ask := func(to *testNode, body []byte) (*peer.Answer, error) {
		x, err := n.client.Open(t.Context(), to.self, &peer.Request{Kind: peer.KindRollout, Inline: true, Service: "shop", Body: body, From: n.self})
		qt.Assert(t, err, qt.IsNil)
		defer x.Close()
		return x.Receive()
	}
	answer, err := ask(plain, []byte{0xa0})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.Problem.Detail, qt.Equals, "the kind of request is not known")
	for _, malformed := range [][]byte{nil, {0xff}, {0xa1, 0x01, 0x41, 0xff}, {0xa1, 0x01, 0xa1, 0x01, 0x61, 'x'}} {
		answer, err = ask(n, malformed)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, answer.Problem != nil, qt.IsTrue, qt.Commentf("%x", malformed))
	}
	for _, malformed := range []string{"01", "8141ff", "81a0", "a0", "81a10161" + "78"} {
		raw, err := hex.DecodeString(malformed)
		qt.Assert(t, err, qt.IsNil)
		g := n.fleet.greeting()
		g.Rollouts = raw
		payload, err := cbor.Marshal(g)
		qt.Assert(t, err, qt.IsNil)
		_, ok := n.fleet.applyGreeting(payload)
		qt.Check(t, ok, qt.IsTrue)
	}
	known, _ := n.rollouts.state("shop")
	qt.Assert(t, known.Phase, qt.Equals, rollout.Phase(""))
	qt.Assert(t, n.owner.gateClosed(allGates), qt.IsFalse)
}

// A node that starts while the store is away gets the states from greetings, and an owner of a
// version that was rolled back stays closed. An order that cannot be read changes nothing.
func TestStatesArriveWithGreetings(t *testing.T) {
	f := newRolloutFleet(t, 2)
	state := rollout.State{Service: "shop", Version: "v1", Stable: []string{"v0"}, Era: 1, Revision: 9, Phase: rollout.RolledBack, Step: 4}
	f.old[0].rollouts.learn(state, time.Now(), stateComplete)
	eventually(t, "the other node knows the state", func() bool {
		known, _ := f.old[1].rollouts.state("shop")
		return known.Phase == rollout.RolledBack
	})
	eventually(t, "the owner is closed", func() bool { return f.old[1].owner.gateClosed(allGates) })
	// Any node may have to go on as controller when the store has lost the state.
	canary := rollout.State{Service: "other", Version: "v1", Era: 1, Revision: 9, Phase: rollout.Canary, Step: 1, Grants: []rollout.Grant{{Node: "a:1", Process: f.old[0].process, Starts: 4}}}
	f.old[0].rollouts.learn(canary, time.Now(), stateComplete)
	eventually(t, "the other node can continue the rollout", func() bool {
		_, whole := f.old[1].rollouts.state("other")
		return whole.Phase == rollout.Canary && len(whole.Grants) == 1
	})
	f.store.put("ops/rollout/shop", []byte("{"), false)
	f.store.put("ops/rollout/other", []byte("{"), false)
	eventually(t, "the orders are logged", func() bool {
		count := 0
		for _, line := range f.old[0].log.lines("rollout") {
			if line["msg"] == "rollout order not readable" {
				count++
			}
		}
		return count == 2
	})
}

// Calls that hold a slot while their body travels have their starts reserved: others must not
// use them up, and a refused one gives its start back. After a rollback none of them goes to
// the target.
func TestStartsAreReserved(t *testing.T) {
	f := newRolloutFleet(t, 1)
	n := f.old[0]
	apply := func(step, starts uint64) {
		n.rollouts.learn(rollout.State{
			Service: "shop", Version: "v1", Era: 1, Revision: 9, Phase: rollout.Canary, Step: step,
			Grants: []rollout.Grant{{Node: n.self, Process: n.process, Starts: starts}},
		}, time.Now(), stateComplete)
	}
	apply(1, 2)
	admit := func() (bool, dispatch.Ticket) {
		end := time.Now().Add(time.Minute)
		ticket, p := n.owner.admit(t.Context(), dispatch.Call{Class: "safe", Deadline: end, Objective: end})
		return p == nil, ticket
	}
	recheck := func(ticket dispatch.Ticket) *problem.Error {
		a := attempt{node: n.Node, job: job{request: &peer.Request{Service: "shop", Class: "safe"}}, ticket: ticket, deadline: time.Now().Add(time.Minute)}
		return a.begin(t.Context())
	}
	ok, first := admit()
	qt.Assert(t, ok, qt.IsTrue)
	ok, second := admit()
	qt.Assert(t, ok, qt.IsTrue)
	ok, _ = admit()
	qt.Assert(t, ok, qt.IsFalse)
	n.owner.finish(second, false) // it never went to the target
	ok, third := admit()
	qt.Assert(t, ok, qt.IsTrue)
	for _, ticket := range []dispatch.Ticket{first, third} {
		qt.Assert(t, recheck(ticket) == nil, qt.IsTrue)
		n.owner.finish(ticket, true)
	}
	ok, _ = admit()
	qt.Assert(t, ok, qt.IsFalse)
	apply(2, 3)
	ok, fourth := admit()
	qt.Assert(t, ok, qt.IsTrue)
	state := rollout.State{Service: "shop", Version: "v1", Era: 1, Revision: 9, Phase: rollout.RolledBack, Step: 3}
	n.rollouts.learn(state, time.Now(), stateComplete)
	p := recheck(fourth)
	qt.Assert(t, p == nil, qt.IsFalse)
	qt.Assert(t, p.Run, qt.Equals, model.RunNo)
}

// A target that slows down with its machine must not look like a bad version, whichever of the
// paces at the begin and at the end of the call shows it.
func TestTimesAreDividedByThePace(t *testing.T) {
	f := newRolloutFleet(t, 1)
	o := f.old[0].owner
	o.endCall(begunCall{start: rollout.Start{Route: "x"}, pace: 5}, 100*time.Millisecond, 1, false)
	o.endCall(begunCall{start: rollout.Start{Route: "x"}, pace: 1}, 100*time.Millisecond, 5, false)
	o.endCall(begunCall{start: rollout.Start{Route: "x", Cold: true}, pace: 1}, 100*time.Millisecond, 1, false)
	e, _, ok := o.evidence("shop")
	qt.Assert(t, ok, qt.IsTrue)
	route := e.Routes[slices.IndexFunc(e.Routes, func(r rollout.RouteEvidence) bool { return r.Route == "x" })]
	qt.Assert(t, route.Answers, qt.Equals, uint64(3))
	qt.Assert(t, route.Times.Total(), qt.Equals, uint64(2))
	qt.Assert(t, route.Times.Quantile(1) <= 23*time.Millisecond, qt.IsTrue, qt.Commentf("%s", route.Times.Quantile(1)))
}

// An idempotent call that failed at a canary must not be repeated at another one: both may be bad.
func TestFailedCallLeavesTheNewVersion(t *testing.T) {
	f := newRolloutFleet(t, 3)
	n, other := f.old[0], f.old[1].self
	state := rollout.State{Service: "shop", Version: "v1", Stable: []string{"v0"}, Era: 1, Revision: 9, Phase: rollout.Canary, Step: 1}
	qt.Assert(t, n.rollouts.sameVersion("shop", other), qt.HasLen, 0)
	n.rollouts.learn(state, time.Now(), stateComplete)
	eventually(t, "the other canaries are left out", func() bool { return len(n.rollouts.sameVersion("shop", other)) == 2 })
}

// A copy of the store may show an order that a later one replaced. It must not begin again, while
// the operators' repeats count.
func TestCopyShowsAnEarlierOrder(t *testing.T) {
	f := newRolloutFleet(t, 1)
	r := f.old[0].rollouts
	apply := func(era, revision uint64, version string) string {
		value, err := json.Marshal(rollout.Order{Version: version, Duration: time.Minute})
		qt.Assert(t, err, qt.IsNil)
		r.applyOrder(Item{Key: "ops/rollout/shop", Value: value, Revision: revision}, Position{Era: era, Revision: revision + 1})
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.services["shop"].order.Version
	}
	qt.Assert(t, apply(1, 5, "v2"), qt.Equals, "v2")
	qt.Assert(t, apply(1, 8, "v3"), qt.Equals, "v3")
	qt.Assert(t, apply(2, 5, "v2"), qt.Equals, "v3")
	qt.Assert(t, apply(2, 7, "v3"), qt.Equals, "v3")
	qt.Assert(t, apply(2, 9, "v2"), qt.Equals, "v2")
}

// Guards against a controller that started after the order and counts its time from then: it
// expanded too late, and the version was rolled back as too late. Owners report how long they
// have known the order of the polled state, and of no other one.
func TestControllerLearnsTheTimeSinceTheOrder(t *testing.T) {
	f := newRolloutFleet(t, 1)
	n := f.old[0]
	f.store.order("v2", time.Minute)
	view := func() (order *rollout.Order, startedAt time.Time) {
		n.rollouts.mu.Lock()
		defer n.rollouts.mu.Unlock()
		if s := n.rollouts.services["shop"]; s != nil {
			return s.order, s.startedAt
		}
		return nil, startedAt
	}
	eventually(t, "order seen and state written", func() bool {
		order, _ := view()
		return order != nil && f.store.lastWritten().Phase == rollout.Canary
	})
	order, startedAt := view()
	poll := func(s rollout.State) rolloutReport {
		state, err := rollout.EncodeMessage(s)
		qt.Assert(t, err, qt.IsNil)
		body, err := cbor.Marshal(rolloutPoll{State: state})
		qt.Assert(t, err, qt.IsNil)
		report, ok := n.rollouts.answer("other", "shop", body)
		qt.Assert(t, ok, qt.IsTrue)
		return report
	}
	polled := f.store.lastWritten()
	time.Sleep(20 * time.Millisecond)
	qt.Check(t, poll(polled).ElapsedMs >= 20, qt.IsTrue)
	polled.Revision--
	qt.Check(t, poll(polled).ElapsedMs, qt.Equals, int64(0))

	n.rollouts.learnElapsed("shop", order.At, 5_000)
	_, earlier := view()
	qt.Check(t, startedAt.Sub(earlier) > 4*time.Second, qt.IsTrue)
	before := order.At
	before.Revision--
	n.rollouts.learnElapsed("shop", before, 50_000)
	_, same := view()
	qt.Check(t, same, qt.Equals, earlier)
}
