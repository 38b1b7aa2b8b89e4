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

// payFingerprint identifies the payment of these tests.
func payFingerprint(method, body string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(testAccount, testService, method, mainPath, []byte(body))
}

// hear tells one node alone of crashes of the request, the first to the last.
func (c *cell) hear(t testing.TB, f quarantine.Fingerprint, first, last uint64) {
	for epoch := first; epoch <= last; epoch++ {
		crash := quarantine.NewCrashID(model.ProcessID{9}, epoch)
		raw, err := quarantine.Notice{Crash: crash, Affected: []quarantine.Fingerprint{f}}.Encode()
		qt.Check(t, err, qt.IsNil)
		c.suspects.Heard(raw)
	}
}

// counted is a handler that counts its calls.
func counted(runs *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		echo(w, r)
	}
}

func TestQuarantineOfKeyedCallIsJudgedAfterItsClaim(t *testing.T) {
	var runs atomic.Int64
	f := newTestFleet(t)
	for range 2 {
		f.add("a", counted(&runs))
	}
	f.ready()
	for i, through := range f.cells {
		paid, fresh := f.cells[0].requestKey(t), f.cells[0].requestKey(t)
		pay := func(key string) got {
			return through.call(ask{method: "POST", path: mainPath, body: "fee", key: key})
		}
		qt.Assert(t, pay(paid).status, qt.Equals, http.StatusOK)
		before := runs.Load()
		for _, c := range f.cells {
			c.hear(t, payFingerprint("POST", "fee"), uint64(2*i), uint64(2*i+1))
		}
		again, refused := pay(paid), pay(fresh)
		qt.Assert(t, again.body, qt.Equals, "POST /pay fee")
		qt.Assert(t, again.run, qt.Equals, "yes")
		qt.Assert(t, refused.kind, qt.Equals, string(problem.Quarantined))
		qt.Assert(t, refused.run, qt.Equals, "no")
		qt.Assert(t, refused.retryAfter > 3000, qt.IsTrue, qt.Commentf("%d s", refused.retryAfter))
		qt.Assert(t, runs.Load(), qt.Equals, before)
		for _, c := range f.cells {
			c.suspects.lift(payFingerprint("POST", "fee"))
		}
		qt.Assert(t, pay(fresh).run, qt.Equals, "yes")
	}
}

func TestOwnerJudgesByItsOwnList(t *testing.T) {
	var runs atomic.Int64
	f := newTestFleet(t)
	owner, other := f.add("a", counted(&runs)), f.add("b", nil)
	f.ready()
	owner.hear(t, payFingerprint("POST", ""), 1, 1)
	qt.Assert(t, other.call(ask{method: "POST", path: mainPath}).status, qt.Equals, http.StatusOK)
	owner.hear(t, payFingerprint("POST", ""), 2, 3)
	x, err := other.transport.Open(context.Background(), owner.Node(), &peer.Request{
		Kind: peer.KindCall, Service: testService, Account: testAccount, Method: "POST", URI: mainPath,
		Inline: true, Timeout: testWait, Fingerprint: payFingerprint("POST", ""),
	})
	qt.Assert(t, err, qt.IsNil)
	defer x.Close()
	answer, err := x.Receive()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.Problem, qt.IsNotNil)
	qt.Assert(t, answer.Problem.Kind, qt.Equals, problem.Quarantined)
	qt.Assert(t, runs.Load(), qt.Equals, int64(1))
}

func TestStrikesRideInTheCall(t *testing.T) {
	var runs atomic.Int64
	f := newTestFleet(t)
	owner, entry := f.add("a", counted(&runs)), f.add("b", nil)
	f.ready()
	entry.hear(t, payFingerprint("POST", ""), 1, 1)
	g := entry.call(ask{method: "POST", path: mainPath})
	qt.Assert(t, g.status, qt.Equals, http.StatusOK)
	for _, c := range []*cell{owner, entry} {
		f.eventually(func() bool { return len(c.suspects.entries()) == 0 })
	}
	entry.hear(t, payFingerprint("POST", ""), 1, 1)
	qt.Assert(t, entry.suspects.entries(), qt.HasLen, 0)
}

func TestQuarantineIsCheckedBeforeEachAttempt(t *testing.T) {
	var runs atomic.Int64
	f := newTestFleet(t)
	for range 3 {
		f.add("a", func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			f.cells[0].hear(t, payFingerprint("GET", ""), 1, 2)
			hangUp(w, r)
		})
	}
	f.ready()
	g := f.cells[0].call(ask{method: "GET", path: mainPath})
	qt.Assert(t, g.kind, qt.Equals, string(problem.Quarantined))
	qt.Assert(t, g.run, qt.Equals, "unknown")
	qt.Assert(t, runs.Load(), qt.Equals, int64(1))
}

func TestCallSuspectedInTheQueueDoesNotRun(t *testing.T) {
	for _, c := range []struct {
		strikes uint64
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
				counted(&runs)(w, r)
			})
			f.ready()
			answer, first := make(chan got, 1), make(chan got, 1)
			// The owner refuses at once a call that it expects to wait too
			// long, so that the scene is set anew until the call is queued.
			f.eventually(func() bool {
				gate := make(chan struct{})
				occupied.Store(&gate)
				go func() { first <- node.call(ask{method: "POST", path: "/first"}) }()
				f.eventually(func() bool { return node.owner.Load().InFlight == 1 || len(first) == 1 })
				go func() { answer <- node.call(ask{method: "POST", path: mainPath}) }()
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
			node.hear(t, payFingerprint("POST", ""), 1, c.strikes)
			close(*occupied.Load())
			g := <-answer
			<-first
			qt.Assert(t, g.kind, qt.Equals, string(c.kind))
			qt.Assert(t, g.run, qt.Equals, "no")
			qt.Assert(t, runs.Load(), qt.Equals, int64(0))
		})
	}
}

func TestKeyedCallOutlivesTheConnectionToItsIssuer(t *testing.T) {
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
	answer := make(chan got, 1)
	go func() { answer <- other.call(ask{method: "POST", path: mainPath, body: "fee", key: key}) }()
	f.eventually(func() bool { return runs.Load() == 1 })
	other.transport.Forget(issuer.Node())
	f.eventually(func() bool { return issuer.served.Load() > 1 })
	release()
	g := <-answer
	qt.Assert(t, g.kind, qt.Equals, "")
	qt.Assert(t, g.body, qt.Equals, "POST /pay fee")
	qt.Assert(t, runs.Load(), qt.Equals, int64(1))
}

// ownKey makes a key as callers do, so long ago.
func ownKey(t testing.TB, age time.Duration) string {
	id, err := uuid.NewV7()
	qt.Assert(t, err, qt.IsNil)
	ms := uint64(time.Now().Add(-age).UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}

func TestCallersOwnKeyRunsOnce(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		age  time.Duration
		// before and after happen before each of the two sendings.
		before, after func(*testFleet)
		// first and second are the kinds and runs that the caller is told.
		first, second string
		runs          int64
	}{
		{"through two nodes", 0, nil, nil, " yes", " yes", 1},
		{"lost answer of the store", 0, func(f *testFleet) { f.store.DropResponses(1) }, nil, " yes", " yes", 1},
		{"store down", 0, func(f *testFleet) { f.store.SetDown(true) }, nil, "store-unavailable unknown", "store-unavailable unknown", 0},
		{"store down after a run", 0, nil, func(f *testFleet) { f.store.SetDown(true) }, " yes", "store-unavailable unknown", 1},
		{"too old", 20 * time.Minute, nil, nil, "key-expired unknown", "key-expired unknown", 0},
		{"from the future", -20 * time.Minute, nil, nil, "key-invalid unknown", "key-invalid unknown", 0},
		{"write budget spent", 0, func(f *testFleet) { f.spendBindings(0) }, nil, "claim-budget-spent no", " yes", 1},
		{"write budget spent after a run", 0, nil, func(f *testFleet) { f.spendBindings(1) }, " yes", " yes", 1},
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
			key := ownKey(t, c.age)
			for i, step := range []struct {
				fault func(*testFleet)
				told  string
			}{{c.before, c.first}, {c.after, c.second}} {
				if step.fault != nil {
					step.fault(f)
				}
				g := f.cells[i].call(ask{method: "POST", path: mainPath, body: "fee", header: http.Header{"Idempotency-Key": {key}}})
				qt.Assert(t, g.kind+" "+g.run, qt.Equals, step.told)
				if g.kind == "" {
					qt.Assert(t, g.body, qt.Equals, key)
				}
			}
			qt.Assert(t, runs.Load(), qt.Equals, c.runs)
		})
	}
}

// spendBindings leaves a node no writes for callers' own keys.
func (f *testFleet) spendBindings(node int) {
	f.cells[node].entry.SetEntries(1 << 30)
	for range 100 {
		g := f.cells[node].call(ask{method: "POST", path: "/spend", header: http.Header{"Idempotency-Key": {ownKey(f.t, 0)}}})
		if g.kind == "claim-budget-spent" {
			return
		}
		qt.Assert(f.t, g.kind, qt.Equals, "")
	}
	f.t.Fatal("the budget was not spent")
}
