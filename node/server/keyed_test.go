package server

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"zinniafall/node/peer"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/quarantine"
)

// payFingerprint returns the fingerprint of a call of mainPath.
func payFingerprint(method, body string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(testAccount, testService, method, mainPath, []byte(body))
}

// recordCrashes records crashes of the request, numbered from first to last,
// at this node alone.
func (c *testNode) recordCrashes(t testing.TB, f quarantine.Fingerprint, first, last uint64) {
	for epoch := first; epoch <= last; epoch++ {
		crash := quarantine.NewCrashID(model.ProcessID{9}, epoch)
		raw, err := quarantine.Notice{Crash: crash, Affected: []quarantine.Fingerprint{f}}.Encode()
		qt.Check(t, err, qt.IsNil)
		c.suspects.RecordNotice(raw)
	}
}

// countingEcho is echo and counts its calls.
func countingEcho(runs *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		echo(w, r)
	}
}

// TestKeyedCallChecksQuarantineAfterClaim checks that a retry under the key of
// a call that ran gets its stored answer although the request is quarantined
// by now, while a new key is refused until the quarantine is lifted.
func TestKeyedCallChecksQuarantineAfterClaim(t *testing.T) {
	var runs atomic.Int64
	f := newTestFleet(t)
	for range 2 {
		f.add("a", countingEcho(&runs))
	}
	f.ready()
	for i, entry := range f.nodes {
		paid, fresh := f.nodes[0].requestKey(t), f.nodes[0].requestKey(t)
		pay := func(key string) callResult {
			return entry.call(callRequest{method: "POST", path: mainPath, body: "fee", key: key})
		}
		qt.Assert(t, pay(paid).status, qt.Equals, http.StatusOK)
		before := runs.Load()
		for _, c := range f.nodes {
			c.recordCrashes(t, payFingerprint("POST", "fee"), uint64(2*i), uint64(2*i+1))
		}
		retried, refused := pay(paid), pay(fresh)
		qt.Assert(t, retried.body, qt.Equals, "POST /pay fee")
		qt.Assert(t, retried.run, qt.Equals, "yes")
		qt.Assert(t, refused.kind, qt.Equals, string(problem.Quarantined))
		qt.Assert(t, refused.run, qt.Equals, "no")
		qt.Assert(t, refused.retryAfter > 3000, qt.IsTrue, qt.Commentf("%d s", refused.retryAfter))
		qt.Assert(t, runs.Load(), qt.Equals, before)
		for _, c := range f.nodes {
			c.suspects.lift(payFingerprint("POST", "fee"))
		}
		qt.Assert(t, pay(fresh).run, qt.Equals, "yes")
	}
}

// TestOwnerChecksItsOwnQuarantineList sends calls through an entry that has no
// notices: the owner must refuse the request that is quarantined on its own
// list.
func TestOwnerChecksItsOwnQuarantineList(t *testing.T) {
	var runs atomic.Int64
	f := newTestFleet(t)
	owner, other := f.add("a", countingEcho(&runs)), f.add("b", nil)
	f.ready()
	owner.recordCrashes(t, payFingerprint("POST", ""), 1, 1)
	qt.Assert(t, other.call(callRequest{method: "POST", path: mainPath}).status, qt.Equals, http.StatusOK)
	owner.recordCrashes(t, payFingerprint("POST", ""), 2, 3)
	exchange, err := other.transport.Open(context.Background(), owner.Node(), &peer.Request{
		Kind: peer.KindCall, Service: testService, Account: testAccount, Method: "POST", URI: mainPath,
		Inline: true, Timeout: testWait, Fingerprint: payFingerprint("POST", ""),
	})
	qt.Assert(t, err, qt.IsNil)
	defer exchange.Close()
	answer, err := exchange.Receive()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.Problem, qt.IsNotNil)
	qt.Assert(t, answer.Problem.Kind, qt.Equals, problem.Quarantined)
	qt.Assert(t, runs.Load(), qt.Equals, int64(1))
}

// TestCrashRecordsTravelWithTheCall lets only the entry have a crash of the
// request. The call carries it to the owner, where its success clears the
// request on all nodes, and the same crash must not make it a suspect again.
func TestCrashRecordsTravelWithTheCall(t *testing.T) {
	var runs atomic.Int64
	f := newTestFleet(t)
	owner, entry := f.add("a", countingEcho(&runs)), f.add("b", nil)
	f.ready()
	entry.recordCrashes(t, payFingerprint("POST", ""), 1, 1)
	g := entry.call(callRequest{method: "POST", path: mainPath})
	qt.Assert(t, g.status, qt.Equals, http.StatusOK)
	for _, c := range []*testNode{owner, entry} {
		f.eventually(func() bool { return len(c.suspects.entries()) == 0 })
	}
	entry.recordCrashes(t, payFingerprint("POST", ""), 1, 1)
	qt.Assert(t, entry.suspects.entries(), qt.HasLen, 0)
}

// TestQuarantineIsCheckedBeforeEachAttempt quarantines a request during its
// first attempt: the entry must not retry it at another target.
func TestQuarantineIsCheckedBeforeEachAttempt(t *testing.T) {
	var runs atomic.Int64
	f := newTestFleet(t)
	for range 3 {
		f.add("a", func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			f.nodes[0].recordCrashes(t, payFingerprint("GET", ""), 1, 2)
			hangUp(w, r)
		})
	}
	f.ready()
	g := f.nodes[0].call(callRequest{method: "GET", path: mainPath})
	qt.Assert(t, g.kind, qt.Equals, string(problem.Quarantined))
	qt.Assert(t, g.run, qt.Equals, "unknown")
	qt.Assert(t, runs.Load(), qt.Equals, int64(1))
}

// TestCallSuspectedWhileQueuedDoesNotRun records crashes of a request that
// waits for a slot: the owner must check it again before it runs.
func TestCallSuspectedWhileQueuedDoesNotRun(t *testing.T) {
	for _, c := range []struct {
		crashes uint64
		kind    problem.Kind
	}{{1, problem.Overloaded}, {2, problem.Quarantined}} {
		t.Run(string(c.kind), func(t *testing.T) {
			var runs atomic.Int64
			var occupied atomic.Pointer[chan struct{}]
			f := newTestFleet(t)
			f.slots = 1
			node := f.add("a", func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != mainPath {
					<-*occupied.Load()
					return
				}
				countingEcho(&runs)(w, r)
			})
			f.ready()
			answer, first := make(chan callResult, 1), make(chan callResult, 1)
			// The owner refuses a call at once when it expects too long a
			// wait, so the setup is repeated until the call is queued.
			f.eventually(func() bool {
				gate := make(chan struct{})
				occupied.Store(&gate)
				go func() { first <- node.call(callRequest{method: "POST", path: "/first"}) }()
				f.eventually(func() bool { return node.owner.Load().InFlight == 1 || len(first) == 1 })
				go func() { answer <- node.call(callRequest{method: "POST", path: mainPath}) }()
				f.eventually(func() bool { return node.owner.Load().Queued == 1 || len(answer) == 1 })
				if len(answer) == 0 {
					return true
				}
				close(gate)
				<-first
				<-answer
				runs.Store(0)
				return false
			})
			node.recordCrashes(t, payFingerprint("POST", ""), 1, c.crashes)
			close(*occupied.Load())
			g := <-answer
			<-first
			qt.Assert(t, g.kind, qt.Equals, string(c.kind))
			qt.Assert(t, g.run, qt.Equals, "no")
			qt.Assert(t, runs.Load(), qt.Equals, int64(0))
		})
	}
}

// TestKeyedCallSurvivesLossOfIssuerConnection drops the connection between the
// entry and the issuer of the key while the call runs: the entry must fetch
// the answer over a new one instead of running the call again.
func TestKeyedCallSurvivesLossOfIssuerConnection(t *testing.T) {
	var runs atomic.Int64
	open := make(chan struct{})
	f := newTestFleet(t)
	issuer := f.add("a", func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		<-open
		echo(w, r)
	})
	release := sync.OnceFunc(func() { close(open) })
	t.Cleanup(release)
	other := f.add("b", nil)
	f.ready()
	key := issuer.requestKey(t)
	answer := make(chan callResult, 1)
	go func() { answer <- other.call(callRequest{method: "POST", path: mainPath, body: "fee", key: key}) }()
	f.eventually(func() bool { return runs.Load() == 1 })
	other.transport.Disconnect(issuer.Node())
	f.eventually(func() bool { return issuer.peerRequests.Load() > 1 })
	release()
	g := <-answer
	qt.Assert(t, g.kind, qt.Equals, "")
	qt.Assert(t, g.body, qt.Equals, "POST /pay fee")
	qt.Assert(t, runs.Load(), qt.Equals, int64(1))
}

// callerKey returns a key as callers create them, created the given time ago.
func callerKey(t testing.TB, age time.Duration) string {
	id, err := uuid.NewV7()
	qt.Assert(t, err, qt.IsNil)
	ms := uint64(time.Now().Add(-age).UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}

func TestCallerSuppliedKeyRunsOnce(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		age  time.Duration
		// before and after are called before the first and the second sending.
		before, after func(*testFleet)
		// first and second are the expected problem kind and run of each
		// answer.
		first, second string
		runs          int64
	}{
		{"through two nodes", 0, nil, nil, " yes", " yes", 1},
		{"store answer lost", 0, func(f *testFleet) { f.store.DropResponses(1) }, nil, " yes", " yes", 1},
		{"store down", 0, func(f *testFleet) { f.store.SetDown(true) }, nil, "store-unavailable unknown", "store-unavailable unknown", 0},
		{"store down after a run", 0, nil, func(f *testFleet) { f.store.SetDown(true) }, " yes", "store-unavailable unknown", 1},
		{"too old", 20 * time.Minute, nil, nil, "key-expired unknown", "key-expired unknown", 0},
		{"from the future", -20 * time.Minute, nil, nil, "key-invalid unknown", "key-invalid unknown", 0},
		{"write budget exhausted", 0, func(f *testFleet) { f.exhaustBindingBudget(0) }, nil, "claim-budget-spent no", " yes", 1},
		{"write budget exhausted after a run", 0, nil, func(f *testFleet) { f.exhaustBindingBudget(1) }, " yes", " yes", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int64
			f := newTestFleet(t)
			for range 2 {
				f.add("a", func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == mainPath {
						runs.Add(1)
					}
					_, _ = io.WriteString(w, r.Header.Get("Idempotency-Key"))
				})
			}
			f.ready()
			key := callerKey(t, c.age)
			for i, step := range []struct {
				fault   func(*testFleet)
				outcome string
			}{{c.before, c.first}, {c.after, c.second}} {
				if step.fault != nil {
					step.fault(f)
				}
				g := f.nodes[i].call(callRequest{method: "POST", path: mainPath, body: "fee", header: http.Header{"Idempotency-Key": {key}}})
				qt.Assert(t, g.kind+" "+g.run, qt.Equals, step.outcome)
				if g.kind == "" {
					qt.Assert(t, g.body, qt.Equals, key)
				}
			}
			qt.Assert(t, runs.Load(), qt.Equals, c.runs)
		})
	}
}

// exhaustBindingBudget uses up a node's budget of store writes for callers'
// own keys.
func (f *testFleet) exhaustBindingBudget(node int) {
	f.nodes[node].entry.SetEntries(1 << 30)
	for range 100 {
		g := f.nodes[node].call(callRequest{method: "POST", path: "/exhaust", header: http.Header{"Idempotency-Key": {callerKey(f.t, 0)}}})
		if g.kind == "claim-budget-spent" {
			return
		}
		qt.Assert(f.t, g.kind, qt.Equals, "")
	}
	f.t.Fatal("the budget was not exhausted")
}
