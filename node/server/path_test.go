package server

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/entry"
	"zinniafall/node/execute"
	"zinniafall/node/peer"
	"zinniafall/policy/config"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// echo answers with the method, path and body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
}

// hangUp reads the request and closes the connection without an answer.
func hangUp(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	panic(http.ErrAbortHandler)
}

// http2Client returns a client for HTTP/2 without TLS.
func http2Client() *http.Client {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: p}}
}

func TestCallReachesItsTarget(t *testing.T) {
	f := newTestFleet(t)
	owner := f.add("a", echo)
	other := f.add("b", nil)
	f.ready()
	large := strings.Repeat("y", 300<<10)
	clients := []struct {
		name   string
		client *http.Client
	}{{"http/1.1", http.DefaultClient}, {"http/2", http2Client()}}
	for _, c := range clients {
		for _, node := range []*testNode{owner, other} {
			for _, body := range []string{"", "small", large} {
				g := node.call(callRequest{method: "POST", path: "/p", body: body, client: c.client})
				qt.Assert(t, g.err, qt.IsNil)
				qt.Assert(t, g.run, qt.Equals, "yes")
				qt.Assert(t, g.body == "POST /p "+body, qt.IsTrue)
			}
		}
	}
}

func TestRefusedCallsDoNotRun(t *testing.T) {
	var runs atomic.Int64
	f := newTestFleet(t)
	node := f.add("a", func(w http.ResponseWriter, r *http.Request) { runs.Add(1); echo(w, r) })
	f.ready()
	cases := []struct {
		name   string
		header http.Header
		status int
		kind   string
	}{
		{"wrong key", http.Header{entry.HeaderAccountKey: {"wrong"}}, 401, "unauthenticated"},
		{"bad timeout", http.Header{execute.HeaderTimeout: {"soon"}}, 400, "bad-request"},
		{"forged call token", http.Header{execute.HeaderCall: {"AAAA"}}, 401, "unauthenticated"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := node.call(callRequest{method: "GET", path: "/", header: c.header})
			qt.Assert(t, g.status, qt.Equals, c.status)
			qt.Assert(t, g.kind, qt.Equals, c.kind)
			qt.Assert(t, g.run, qt.Equals, "no")
		})
	}
	qt.Assert(t, runs.Load(), qt.Equals, int64(0))
}

// TestTruncatedAnswerIsReportedAsError guards against passing on a truncated
// answer as a complete one, for each way in which a target can delimit its
// answer.
func TestTruncatedAnswerIsReportedAsError(t *testing.T) {
	t.Parallel()
	whole := strings.Repeat("z", 200<<10)
	cases := []struct {
		name  string
		serve http.HandlerFunc
	}{
		{"long body with length", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
			_, _ = io.WriteString(w, whole[:100<<10])
			panic(http.ErrAbortHandler)
		}},
		{"short body with length", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "12345")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}},
		{"chunked body", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, whole)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}},
		{"body delimited by close", func(w http.ResponseWriter, _ *http.Request) {
			conn, buffer, _ := http.NewResponseController(w).Hijack()
			_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
			_ = buffer.Flush()
			_ = conn.Close()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			owner := f.add("a", c.serve)
			other := f.add("b", nil)
			f.ready()
			for _, node := range []*testNode{owner, other} {
				for _, client := range []*http.Client{http.DefaultClient, http2Client()} {
					g := node.call(callRequest{method: "POST", path: "/", client: client})
					qt.Assert(t, g.err != nil || g.status >= 500, qt.IsTrue, qt.Commentf("%+v", g))
				}
			}
		})
	}
}

func TestNonIdempotentCallIsSentOnce(t *testing.T) {
	t.Parallel()
	cases := []struct {
		method  string
		header  http.Header
		maxRuns int64
	}{
		{"POST", nil, 1},
		{"DELETE", nil, 1},
		{"POST", http.Header{"Idempotency-Key": {"k"}}, 1},
		{"GET", nil, 2},
	}
	for _, c := range cases {
		t.Run(c.method, func(t *testing.T) {
			var runs atomic.Int64
			f := newTestFleet(t)
			for range 3 {
				f.add("a", func(w http.ResponseWriter, r *http.Request) { runs.Add(1); hangUp(w, r) })
			}
			f.ready()
			g := f.nodes[0].call(callRequest{method: c.method, path: "/", header: c.header})
			qt.Assert(t, g.run, qt.Equals, "unknown")
			qt.Assert(t, runs.Load() >= 1 && runs.Load() <= c.maxRuns, qt.IsTrue, qt.Commentf("%d runs", runs.Load()))
		})
	}
}

func TestKeyedCallRunsOnceThroughAnyNode(t *testing.T) {
	var runs atomic.Int64
	release := make(chan struct{})
	f := newTestFleet(t)
	for _, domain := range []string{"a", "b", "c"} {
		f.add(domain, func(w http.ResponseWriter, r *http.Request) {
			n := runs.Add(1)
			<-release
			_, _ = fmt.Fprintf(w, "receipt %d", n)
		})
	}
	f.ready()
	key := f.nodes[0].requestKey(t)
	answers := make(chan callResult, 6)
	var calls sync.WaitGroup
	for i := range cap(answers) {
		calls.Add(1)
		go func() {
			defer calls.Done()
			answers <- f.nodes[i%3].call(callRequest{method: "POST", path: "/pay", body: "fee", key: key})
		}()
	}
	f.eventually(func() bool { return runs.Load() == 1 })
	close(release)
	calls.Wait()
	close(answers)
	for g := range answers {
		qt.Assert(t, g.body, qt.Equals, "receipt 1")
		qt.Assert(t, g.run, qt.Equals, "yes")
	}
	other := f.nodes[1].call(callRequest{method: "POST", path: "/pay", body: "another fee", key: key})
	qt.Assert(t, other.kind, qt.Equals, "key-mismatch")
	qt.Assert(t, runs.Load(), qt.Equals, int64(1))
}

// TestKeyOfStoppedIssuerDoesNotRun uses a key after the node that issued it
// has stopped: without the issuer no node can tell whether the
// call ran, so none may run it.
func TestKeyOfStoppedIssuerDoesNotRun(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	f := newTestFleet(t)
	f.add("a", func(w http.ResponseWriter, r *http.Request) { runs.Add(1); echo(w, r) })
	issuer := f.add("b", nil)
	f.ready()
	key := issuer.requestKey(t)
	issuer.Stop(canceled())
	g := f.nodes[0].call(callRequest{method: "POST", path: "/pay", key: key})
	qt.Assert(t, g.run, qt.Equals, "unknown")
	qt.Assert(t, runs.Load(), qt.Equals, int64(0))
}

// canceled returns a context that has ended.
func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// TestDomainOutIsEnforcedAtTheOwner sends a call with an old revision to a
// node whose failure domain is out of service, as an entry does that has not
// applied the change yet.
func TestDomainOutIsEnforcedAtTheOwner(t *testing.T) {
	var runs atomic.Int64
	f := newTestFleet(t)
	node := f.add("a", func(w http.ResponseWriter, r *http.Request) { runs.Add(1); echo(w, r) })
	other := f.add("b", nil)
	f.ready()
	f.commit(config.Change{DomainsOut: map[model.Domain]bool{"a": true}, Force: true})
	stale := &peer.Request{
		Kind: peer.KindCall, Service: testService, Account: testAccount, Method: "POST", URI: "/",
		Revision: 1, Inline: true, Timeout: testWait,
	}
	exchange, err := other.transport.Open(context.Background(), node.Node(), stale)
	qt.Assert(t, err, qt.IsNil)
	defer exchange.Close()
	answer, err := exchange.Receive()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.Problem.Kind, qt.Equals, problem.DomainOut)
	qt.Assert(t, answer.Run, qt.Equals, model.RunNo)
	qt.Assert(t, runs.Load(), qt.Equals, int64(0))
	response, err := http.Get("http://" + node.OperatorAddr() + "/readyz")
	qt.Assert(t, err, qt.IsNil)
	_ = response.Body.Close()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
}

func TestGracefulStopCompletesCallsInFlight(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name string
		// pick returns the entry of the call that runs during the stop.
		pick func(owner, other *testNode) *testNode
	}{
		{"call through the stopping node", func(owner, _ *testNode) *testNode { return owner }},
		{"call through another entry", func(_, other *testNode) *testNode { return other }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			started, release := make(chan struct{}, 1), make(chan struct{})
			f := newTestFleet(t)
			owner := f.add("a", func(w http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				<-release
				echo(w, r)
			})
			other := f.add("b", nil)
			f.ready()
			answer := make(chan callResult, 1)
			go func() { answer <- c.pick(owner, other).call(callRequest{method: "POST", path: "/1"}) }()
			<-started
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				owner.Stop(context.Background())
			}()
			f.eventually(func() bool { return owner.owner.Load().State == model.TargetDraining && other.TargetCount() == 0 })
			close(release)
			g := <-answer
			qt.Assert(t, g.err, qt.IsNil)
			qt.Assert(t, g.status, qt.Equals, 200)
			<-stopped
			g = other.call(callRequest{method: "POST", path: "/2"})
			qt.Assert(t, g.run, qt.Equals, "no")
		})
	}
}

// TestStopAnswersCallsThatOutlastIt guards against calls that a stop takes although they may
// outlast it, and against calls that it cuts off without an answer.
func TestStopAnswersCallsThatOutlastIt(t *testing.T) {
	t.Parallel()
	started, release := make(chan struct{}, 1), make(chan struct{})
	defer close(release)
	f := newTestFleet(t)
	var runs atomic.Int64
	owner := f.add("a", func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		started <- struct{}{}
		<-release
	})
	f.ready()
	held := make(chan callResult, 1)
	go func() {
		for {
			if g := owner.call(callRequest{method: "POST", path: "/1"}); g.run != "no" {
				held <- g
				return
			}
			time.Sleep(20 * time.Millisecond) // refused before it began
		}
	}()
	f.eventually(func() bool { return len(started) > 0 })
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second) // less than the service's timeout
		defer cancel()
		owner.Stop(ctx)
	}()
	f.eventually(func() bool { return owner.stopping.Load() })
	late := owner.call(callRequest{method: "POST", path: "/2"})
	qt.Assert(t, late.err, qt.IsNil)
	qt.Assert(t, late.run, qt.Equals, "no")
	g := <-held
	qt.Assert(t, g.err, qt.IsNil)
	qt.Assert(t, g.run, qt.Equals, "unknown")
	<-stopped
	qt.Assert(t, runs.Load(), qt.Equals, int64(1))
}

// TestNestedCallsKeepTheirAccount nests calls up to the depth limit. Each has
// a wrong account key, so it counts only by the call token that it carries.
func TestNestedCallsKeepTheirAccount(t *testing.T) {
	const depth = 24
	var deepest atomic.Int64
	f := newTestFleet(t)
	f.slots = depth
	var nodes []*testNode
	serve := func(w http.ResponseWriter, r *http.Request) {
		level, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/"))
		deepest.Store(max(deepest.Load(), int64(level)))
		next := nodes[level%len(nodes)].call(callRequest{
			method: "GET", path: "/" + strconv.Itoa(level+1),
			header: http.Header{execute.HeaderCall: r.Header[execute.HeaderCall], entry.HeaderAccountKey: {"none"}},
		})
		_, _ = io.WriteString(w, next.kind)
	}
	for range 4 {
		f.add("a", serve)
	}
	nodes = f.nodes
	f.ready()
	g := nodes[0].call(callRequest{method: "GET", path: "/1"})
	qt.Assert(t, g.status, qt.Equals, 200)
	qt.Assert(t, deepest.Load(), qt.Equals, int64(depth))
}

func TestBodyOverTheLimitIsRefused(t *testing.T) {
	f := newTestFleet(t)
	node := f.add("a", echo)
	f.ready()
	huge := bytes.Repeat([]byte("x"), 11<<20)
	g := node.call(callRequest{method: "POST", path: "/", body: string(huge)})
	qt.Assert(t, g.kind, qt.Equals, "body-too-large")
}

func TestPoisonRequestCrashesAtMostTwoTargets(t *testing.T) {
	t.Parallel()
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			var crashes atomic.Int64
			f := newTestFleet(t)
			for i := range 5 {
				f.add("a", func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path != "/poison" {
						echo(w, r)
						return
					}
					crashes.Add(1)
					_ = f.nodes[i].target.Listener.Close()
					f.nodes[i].target.CloseClientConnections()
				})
			}
			f.ready()
			for i := range 10 {
				before := crashes.Load()
				g := f.nodes[i%5].call(callRequest{method: method, path: "/poison"})
				qt.Assert(t, g.status >= 500, qt.IsTrue)
				if crashes.Load() > before {
					f.awaitNotices(int(crashes.Load()))
				}
			}
			qt.Assert(t, crashes.Load() <= 2, qt.IsTrue, qt.Commentf("%d targets crashed", crashes.Load()))
		})
	}
}

// awaitNotices waits until each node has the given number of crashes of a
// request.
func (f *testFleet) awaitNotices(crashes int) {
	for _, c := range f.nodes {
		f.eventually(func() bool {
			for _, e := range c.suspects.entries() {
				if len(e.Crashes) >= crashes {
					return true
				}
			}
			return false
		})
	}
}

// TestTargetStateConvergesAfterRepeatedRestarts withdraws and announces a
// target in quick succession: the last state must be the one that members
// keep.
func TestTargetStateConvergesAfterRepeatedRestarts(t *testing.T) {
	f := newTestFleet(t)
	owner := f.add("a", echo)
	other := f.add("b", nil)
	f.ready()
	for i := range 100 {
		owner.owner.Gone()
		f.announce(owner, fmt.Sprintf("process-%d", i))
	}
	f.eventually(func() bool { return owner.owner.Load().State != model.TargetAbsent })
	f.eventually(func() bool { return other.TargetCount() == 1 && owner.TargetCount() == 1 })
	f.eventually(func() bool { return other.call(callRequest{method: "GET", path: "/"}).status == http.StatusOK })
}

// TestControlMessagesBeforeStartAreDropped sends control messages to a node
// that has not started all its parts.
func TestControlMessagesBeforeStartAreDropped(t *testing.T) {
	s := &Server{started: make(chan struct{})}
	s.HandleControl("127.0.0.1:1", []byte{byte(tagOverlay), 0})
	s.HandleControl("127.0.0.1:1", append([]byte{byte(tagRevision)}, encodeRevision(2)...))
	s.Unreachable("127.0.0.1:1")
	qt.Assert(t, s.isStarted(), qt.IsFalse)
}

// TestIncompleteBodyIsRefused sends a part of a body and never the rest.
func TestIncompleteBodyIsRefused(t *testing.T) {
	t.Parallel()
	var runs atomic.Int64
	f := newTestFleet(t)
	node := f.add("a", func(w http.ResponseWriter, r *http.Request) { runs.Add(1); echo(w, r) })
	f.ready()
	body, rest := io.Pipe()
	defer func() { _ = rest.Close() }()
	go func() { _, _ = rest.Write([]byte("part")) }()
	g := node.callBody(callRequest{method: "POST", path: "/", header: http.Header{execute.HeaderTimeout: {"50"}}}, body)
	qt.Assert(t, g.err != nil || g.status == http.StatusBadRequest, qt.IsTrue, qt.Commentf("%+v", g))
	qt.Assert(t, runs.Load(), qt.Equals, int64(0))
}

// Guards against the rest of a body that is served as a request: a caller pauses amid an upload
// for longer than the body may take, and then sends on.
func TestRestOfAPausedBodyIsNoRequest(t *testing.T) {
	t.Parallel()
	var inner atomic.Int64
	f := newTestFleet(t)
	node := f.add("a", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/inner" {
			inner.Add(1)
		}
		echo(w, r)
	})
	f.ready()
	const size, first = 100 << 10, 80 << 10
	fields := "Host: " + testService + "\r\n" + entry.HeaderAccountKey + ": " + testKey + "\r\n"
	conn, err := net.Dial("tcp", strings.TrimPrefix(node.url, "http://"))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /up HTTP/1.1\r\n%s%s: 50\r\nContent-Length: %d\r\n\r\n%s", fields, execute.HeaderTimeout, size, strings.Repeat("x", first))
	qt.Assert(t, err, qt.IsNil)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err == nil {
		qt.Check(t, response.StatusCode >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("%d", response.StatusCode))
		_, _ = io.Copy(io.Discard, response.Body)
		_, _ = io.WriteString(conn, "POST /inner HTTP/1.1\r\n"+fields+"Content-Length: 0\r\n\r\n"+strings.Repeat("x", size-first))
		_, _ = io.Copy(io.Discard, reader) // until the node closes the connection
	}
	qt.Check(t, inner.Load(), qt.Equals, int64(0))
}
