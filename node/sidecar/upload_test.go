package sidecar

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/callbody"
	"zinniafall/node/hop"
	"zinniafall/node/peer"
	"zinniafall/policy/dispatch"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/rollout"
)

// Guards against slots that are held while the body of an upload travels. A caller on a slow
// connection sends a part of a body that its entry forwards before it is complete; meanwhile
// the target must have no call in flight. The target gets the whole body then.
func TestUploadHoldsNoSlotWhileItsBodyTravels(t *testing.T) {
	store := newMemoryStore()
	var d testDocument
	qt.Assert(t, json.Unmarshal(newDocument(t, 1, "front", "back"), &d), qt.IsNil)
	for i := range d.Routes {
		d.Routes[i].Bulk = !d.Routes[i].Idempotent
	}
	raw, err := json.Marshal(d)
	qt.Assert(t, err, qt.IsNil)
	store.put("ops/config", raw, false)
	entry := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	owner := startNode(t, store, "a", "back", newTestTarget(t, "t1"))
	var received atomic.Int64
	owner.target.onRequest(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		received.Store(n)
	})
	owner.waitForOwnTarget()
	entry.waitForTargets("back", 1)

	const size, first = 400 << 10, 300 << 10
	caller, err := net.Dial("tcp", entry.settings.Callers)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = caller.Close() }()
	_, err = fmt.Fprintf(caller, "POST /unsafe/x HTTP/1.1\r\nHost: back\r\nX-Id: 1\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", first))
	qt.Assert(t, err, qt.IsNil)
	var report model.Report
	eventually(t, "the owner awaits the body", func() bool {
		report = owner.owner.report()
		return report.Queued == 1
	})
	qt.Assert(t, report.InFlight, qt.Equals, uint16(0))
	_, err = io.WriteString(caller, strings.Repeat("x", size-first))
	qt.Assert(t, err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
	qt.Assert(t, received.Load(), qt.Equals, int64(size))

	// A caller that leaves amid its body gives back what it had reserved.
	left, err := net.Dial("tcp", entry.settings.Callers)
	qt.Assert(t, err, qt.IsNil)
	_, err = fmt.Fprintf(left, "POST /unsafe/x HTTP/1.1\r\nHost: back\r\nX-Id: 2\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", first))
	qt.Assert(t, err, qt.IsNil)
	eventually(t, "the owner awaits the body", func() bool { return owner.owner.report().Queued == 1 })
	qt.Assert(t, left.Close(), qt.IsNil)
	eventually(t, "nothing is awaited", func() bool {
		if !owner.bodies.Reserve(bodyBuffers) {
			return false
		}
		owner.bodies.Release(bodyBuffers)
		return owner.owner.report().Queued == 0
	})
}

// A call whose body is on its way must not depend on a start that another call may use
// meanwhile: its body would be lost. While a rollout limits the starts, it takes its slot first.
func TestUploadTakesItsSlotFirstWhileStartsAreLimited(t *testing.T) {
	n := newRolloutFleet(t, 1).old[0]
	upload := &peer.Request{Service: "shop", Class: "x", Bulk: true, Length: 3}
	qt.Assert(t, n.reserveBody(upload), qt.IsTrue)
	n.bodies.Release(upload.Length)
	n.rollouts.learn(rollout.State{
		Service: "shop", Version: "v1", Era: 1, Revision: 9, Phase: rollout.Canary, Step: 1,
		Grants: []rollout.Grant{{Node: n.self, Process: n.process, Starts: 1}},
	}, time.Now(), stateComplete)
	qt.Assert(t, n.reserveBody(upload), qt.IsFalse)
}

// A call that is refused after its body has arrived must not keep a start reserved: the
// rollout's grant would look used up.
func TestRefusedUploadReservesNoStart(t *testing.T) {
	n := newRolloutFleet(t, 1).old[0]
	end := time.Now().Add(time.Minute)
	call := dispatch.Call{Class: "x", Deadline: end, Objective: end, Bulk: true, AwaitsBody: true}
	ticket, p := n.owner.admit(t.Context(), call)
	qt.Assert(t, p == nil, qt.IsTrue)
	qt.Check(t, n.owner.rollout.pending, qt.HasLen, 0)
	body := job{request: &peer.Request{Service: "shop", Class: "x", Bulk: true, Length: 3}, body: strings.NewReader("abc"), requestBody: func() error {
		n.owner.setGate(dispatch.GateDown, true)
		return nil
	}}
	p = (&attempt{node: n.Node, job: body, ticket: ticket, deadline: end}).receiveBody(t.Context())
	qt.Check(t, p != nil && p.Kind == problem.NoTarget, qt.IsTrue, qt.Commentf("%v", p))
	qt.Check(t, n.owner.rollout.pending, qt.HasLen, 0)
	n.owner.setGate(dispatch.GateDown, false)
	call.AwaitsBody = false
	ticket, p = n.owner.admit(t.Context(), call)
	qt.Assert(t, p == nil, qt.IsTrue)
	qt.Check(t, n.owner.rollout.pending, qt.HasLen, 1)
	n.owner.finish(ticket, false)
	qt.Check(t, n.owner.rollout.pending, qt.HasLen, 0)
}

// A caller that stops sending its body must not keep the place of another upload beyond the
// deadline of its call.
func TestStalledUploadGivesUpItsPlaceAtItsDeadline(t *testing.T) {
	n := newRolloutFleet(t, 1).old[0]
	n.waitForOwnTarget()
	ctx, cancel := context.WithCancel(t.Context())
	end := time.Now().Add(time.Minute)
	ticket, p := n.owner.admit(ctx, dispatch.Call{Class: "x", Deadline: end, Objective: end, Bulk: true, AwaitsBody: true})
	qt.Assert(t, p == nil, qt.IsTrue)
	body, caller := io.Pipe()
	ended := make(chan *problem.Error)
	go func() {
		upload := job{request: &peer.Request{Service: "shop", Class: "x", Bulk: true, Length: 3}, body: body, requestBody: func() error { return nil }}
		ended <- (&attempt{node: n.Node, job: upload, ticket: ticket, deadline: end}).receiveBody(ctx)
	}()
	qt.Assert(t, n.owner.report().Queued, qt.Equals, uint16(1))
	cancel()
	eventually(t, "the place of the upload", func() bool { return n.owner.report().Queued == 0 })
	_, err := caller.Write([]byte("abc"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, caller.Close(), qt.IsNil) // the end of the body
	p = <-ended
	qt.Assert(t, p != nil && p.Run == model.RunNo, qt.IsTrue)
}

// Guards against an upload without a body that runs although its entry has left, and has
// reported it as not run: such a call has all of its bytes before the entry sends the end.
func TestUploadRunsOnceItsEntryHasSentTheEndOfItsBody(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "back")
	n := startNode(t, store, "a", "back", newTestTarget(t, "t0"))
	n.waitForOwnTarget()
	left := errors.New("the entry closed the exchange")
	for _, test := range []struct {
		name, sent string
		length     int64
		end        error
		run        model.Run
		small      bool // the route is not one of uploads
	}{
		{"no body, the entry leaves", "", 0, left, model.RunNo, false},
		{"no body", "", 0, io.EOF, model.RunYes, false},
		{"whole body, the entry leaves", "abc", 3, left, model.RunNo, false},
		{"whole body", "abc", 3, io.EOF, model.RunYes, false},
		{"body beyond its length", "abcd", 3, io.EOF, model.RunNo, false},
		{"small, whole body, the entry leaves", "abc", 3, left, model.RunNo, true},
		{"small, body short of its length", "ab", 3, io.EOF, model.RunNo, true},
		{"small, body beyond its length", "abcd", 3, io.EOF, model.RunNo, true},
		{"small, whole body", "abc", 3, io.EOF, model.RunYes, true},
		{"small, chunks", "abc", -1, io.EOF, model.RunYes, true},
		{"small, chunks, the entry leaves", "abc", -1, left, model.RunNo, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := len(n.target.requests())
			r := n.execute(t.Context(), job{
				request: &peer.Request{
					Kind: peer.KindCall, Revision: 1, Service: "back", Class: "unsafe", Bulk: !test.small, ID: test.name,
					Method: http.MethodPost, URI: "/unsafe/x", Host: "back", Length: test.length,
					Timeout: time.Minute, Objective: time.Minute,
				},
				body:        io.MultiReader(strings.NewReader(test.sent), iotest.ErrReader(test.end)),
				requestBody: func() error { return nil },
			})
			qt.Check(t, r.answer.Run, qt.Equals, test.run, qt.Commentf("%v", r.answer.Problem))
			want := before
			if test.run == model.RunYes {
				want++
			}
			qt.Check(t, n.target.requests(), qt.HasLen, want)
		})
	}
}

// upload sends a body in chunks under testKey.
func (n *testNode) upload(path, body string) (answer, error) {
	r, err := http.NewRequestWithContext(n.t.Context(), http.MethodPost, "http://"+n.settings.Callers+path, io.MultiReader(strings.NewReader(body)))
	if err != nil {
		return answer{}, err
	}
	r.Host = "s"
	r.Header = http.Header{"X-Id": {path}, "X-Deadline": {"15000"}, "Authorization": {"Bearer " + testKey}}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, string(text), response.Header}, err
}

// Guards against an upload that runs with a part of its body, or is lost, because its
// configuration was replaced while it waited for its slot: the owner refused it after it had
// asked for the body, which the entry could not send again.
func TestUploadThatOutwaitsItsConfigurationRunsWholeOrNotAtAll(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 22_500)
	for _, test := range []struct {
		name          string
		before, after []string
		status        int
	}{
		{"keys kept", []string{testKey}, []string{testKey}, http.StatusOK},
		{"other key withdrawn", []string{testKey, "other-key"}, []string{testKey}, http.StatusOK},
		{"key withdrawn", []string{testKey}, []string{"other-key"}, http.StatusUnauthorized},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newMemoryStore()
			s.configureAccounts(t, 1, map[model.Account][]string{"gold": test.before})
			target := newTestTarget(t, "t1")
			target.slots = 1
			entry, owner := startStrictNode(t, s, "nobody", newTestTarget(t, "t2")), startStrictNode(t, s, "s", target)
			owner.waitForOwnTarget()
			entry.waitForTargets("s", 1)
			eventually(t, "keys are accepted", func() bool { return entry.keyedStatus() == http.StatusOK })
			release, received := make(chan struct{}), make(chan string, 1)
			target.onRequest(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					<-release
					return
				}
				got, _ := io.ReadAll(r.Body)
				received <- string(got)
			})
			ran := len(target.requests())
			go owner.keyedStatus()
			eventually(t, "the slot is taken", func() bool { return len(target.requests()) == ran+1 })
			answered := make(chan answer, 1)
			go func() {
				a, err := entry.upload("/unsafe/upload", body)
				qt.Check(t, err, qt.IsNil)
				answered <- a
			}()
			eventually(t, "the upload waits", func() bool { return owner.owner.report().Queued == 1 })
			s.configureAccounts(t, 2, map[model.Account][]string{"gold": test.after})
			for _, n := range []*strictNode{entry, owner} {
				eventually(t, "the configuration is replaced", func() bool { return n.configuration.revision() == 2 })
				n.elapsed.Add(int64(10 * time.Second))
				eventually(t, "a new proof", func() bool { age, ok := n.proofs.age(); return ok && age < 2*time.Second })
			}
			close(release)
			a := <-answered
			qt.Assert(t, a.status, qt.Equals, test.status, qt.Commentf("%s", a.body))
			if test.status == http.StatusOK {
				qt.Assert(t, len(<-received), qt.Equals, len(body))
			} else {
				qt.Assert(t, target.requests(), qt.HasLen, ran+1)
			}
		})
	}
}

// Guards against an upload that is lost because its owner lacked a proof for a moment, and
// against one that runs or waits on without one.
func TestUploadAwaitsTheProofThatEndedWhileItsBodyTravelled(t *testing.T) {
	for _, test := range []struct {
		name    string
		renewed bool
		run     model.Run
	}{{"renewed", true, model.RunYes}, {"lost", false, model.RunNo}} {
		t.Run(test.name, func(t *testing.T) {
			_, n := startStrictOwner(t)
			ran := len(n.target.requests())
			r := n.execute(t.Context(), job{
				request: &peer.Request{
					Kind: peer.KindCall, Revision: 1, Service: "s", Account: "gold", Class: "unsafe", ID: test.name,
					Method: http.MethodPost, URI: "/unsafe/x", Host: "s", Length: -1, Timeout: time.Minute, Objective: time.Minute,
				},
				body: strings.NewReader("body"),
				requestBody: func() error {
					n.store.cut.Store(true)
					n.elapsed.Add(int64(time.Minute))
					if test.renewed {
						time.AfterFunc(100*time.Millisecond, func() { n.store.cut.Store(false) })
					}
					return nil
				},
			})
			qt.Check(t, r.answer.Run, qt.Equals, test.run, qt.Commentf("%v", r.answer.Problem))
			qt.Check(t, len(n.target.requests())-ran, qt.Equals, map[bool]int{true: 1}[test.renewed])
		})
	}
}

// refusingOwner asks for the body of each call and refuses it after the first bytes.
type refusingOwner struct{}

func (refusingOwner) ServeRequest(_ context.Context, _ string, stream *hop.Stream) {
	_ = stream.Answer(&peer.Answer{Admitted: true})
	_, _ = stream.Read(make([]byte, 1))
	_ = stream.Answer(&peer.Answer{Run: model.RunNo, Problem: problem.New(problem.Draining, model.RunNo, "the target stopped taking calls")})
}

// Guards against a refusal that reaches its caller only once the whole upload has been sent.
func TestRefusalDoesNotAwaitTheRestOfAnUpload(t *testing.T) {
	client := hop.NewClient()
	defer client.Close()
	exchange, err := client.Open(t.Context(), serveHolder(t, refusingOwner{}), &peer.Request{Kind: peer.KindCall, Length: -1})
	qt.Assert(t, err, qt.IsNil)
	answer, err := exchange.Receive()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.Admitted, qt.IsTrue)
	rest, caller := io.Pipe() // stays open
	defer func() { _ = caller.Close() }()
	answer, err = (&call{body: callbody.New([]byte("head"), rest)}).sendBody(exchange)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.Problem, qt.IsNotNil)
	exchange.Close()
}
