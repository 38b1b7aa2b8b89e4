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
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
	"zinniafall/policy/routing"
)

// startEntryAndOwners starts an entry beside a target of the service front, and
// two owners of the service back: ownerA in the entry's failure domain, ownerB
// in another.
func startEntryAndOwners(t *testing.T) (entry, ownerA, ownerB *testNode) {
	store := newMemoryStore()
	store.configure(t, 1, "front", "back")
	entry = startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	ownerA = startNode(t, store, "a", "back", newTestTarget(t, "t1"))
	ownerB = startNode(t, store, "b", "back", newTestTarget(t, "t2"))
	ownerA.waitForOwnTarget()
	ownerB.waitForOwnTarget()
	entry.waitForTargets("back", 2)
	return entry, ownerA, ownerB
}

func TestCallIsForwardedByTheOwner(t *testing.T) {
	entry, ownerA, ownerB := startEntryAndOwners(t)
	for _, path := range []string{"/safe/x?q=1", "/unsafe/x"} {
		a := entry.call(http.MethodPost, "back", path)
		qt.Assert(t, a.status, qt.Equals, 200)
	}
	ran := append(ownerA.target.requests(), ownerB.target.requests()...)
	qt.Assert(t, ran, qt.HasLen, 2)
	for _, r := range ran {
		qt.Assert(t, r.Header.Get("X-Origin"), qt.Equals, "front")
		left, err := strconv.Atoi(r.Header.Get("X-Deadline"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, left > 0 && left <= 15000, qt.IsTrue)
	}
}

func TestTargetsOfTheOwnDomainAreChosenFirst(t *testing.T) {
	entry, ownerA, ownerB := startEntryAndOwners(t)
	for range 20 {
		qt.Assert(t, entry.call(http.MethodGet, "back", "/safe/x").body, qt.Equals, "from t1")
	}
	qt.Assert(t, ownerA.target.requests(), qt.HasLen, 20)
	qt.Assert(t, ownerB.target.requests(), qt.HasLen, 0)
}

func TestNonIdempotentCallIsNotRetriedAfterAConnectionReset(t *testing.T) {
	entry, ownerA, ownerB := startEntryAndOwners(t)
	ownerA.target.onRequest(resetConnection)
	ownerB.target.onRequest(resetConnection)
	a := entry.call(http.MethodPost, "back", "/unsafe/x")
	qt.Assert(t, a.status, qt.Equals, http.StatusBadGateway)
	qt.Assert(t, len(ownerA.target.requests())+len(ownerB.target.requests()), qt.Equals, 1)
}

func TestIdempotentCallIsRetriedAtAnotherTarget(t *testing.T) {
	for name, handle := range map[string]http.HandlerFunc{"connection reset": resetConnection, "status 500": failCall, "not executed": shedCall} {
		t.Run(name, func(t *testing.T) {
			entry, ownerA, ownerB := startEntryAndOwners(t)
			ownerA.target.onRequest(handle)
			a := entry.call(http.MethodGet, "back", "/safe/x")
			qt.Assert(t, a.body, qt.Equals, "from t2", qt.Commentf("%+v", a))
			qt.Assert(t, ownerA.target.requests(), qt.HasLen, 1)
			qt.Assert(t, ownerB.target.requests(), qt.HasLen, 1)
		})
	}
}

func TestErrorStatusOfTheTargetIsForwarded(t *testing.T) {
	entry, ownerA, ownerB := startEntryAndOwners(t)
	ownerA.target.onRequest(failCall)
	ownerB.target.onRequest(failCall)
	for _, path := range []string{"/unsafe/x", "/safe/x"} {
		a := entry.call(http.MethodPost, "back", path)
		qt.Assert(t, a.status, qt.Equals, 500)
		qt.Assert(t, a.header.Get("X-Mark"), qt.Not(qt.Equals), "")
	}
	qt.Assert(t, len(ownerA.target.requests())+len(ownerB.target.requests()), qt.Equals, 3)
}

func TestRouteLimitsTheTargetsThatARequestReaches(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front", "back") // allows two attempts
	entry := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	var targets []*testTarget
	for i := range 4 {
		target := newTestTarget(t, fmt.Sprintf("t%d", i+1))
		target.onRequest(failCall)
		targets = append(targets, target)
		startNode(t, store, "a", "back", target).waitForOwnTarget()
	}
	entry.waitForTargets("back", len(targets))
	a := entry.call(http.MethodGet, "back", "/safe/x")
	qt.Assert(t, a.status, qt.Equals, 500)
	reached := 0
	for _, target := range targets {
		reached += len(target.requests())
	}
	qt.Assert(t, reached, qt.Equals, 2)
}

func TestShedCallIsRefusedAsNotRun(t *testing.T) {
	entry, ownerA, ownerB := startEntryAndOwners(t)
	ownerA.target.onRequest(shedCall)
	ownerB.target.onRequest(shedCall)
	a := entry.call(http.MethodPost, "back", "/unsafe/x")
	qt.Assert(t, a.status, qt.Equals, http.StatusServiceUnavailable)
	wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, wait > 0 && wait < 5, qt.IsTrue)
	qt.Assert(t, a.header.Get("X-Mark"), qt.Equals, "")
}

func TestUnknownRouteIsNotFoundAndMissingTargetsAreUnavailable(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front", "back")
	n := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	n.waitForTargets("front", 1)
	qt.Assert(t, n.call(http.MethodGet, "back", "/other/x").status, qt.Equals, http.StatusNotFound)
	// The service is configured, but none of its targets is known.
	qt.Assert(t, n.call(http.MethodGet, "back", "/safe/x").status, qt.Equals, http.StatusServiceUnavailable)
}

// A route that this release cannot serve refuses its requests, as not run, both
// at the start and after a change; the other routes are served.
func TestUnsupportedRouteIsRefusedAndTheOthersAreServed(t *testing.T) {
	s := newMemoryStore()
	configure := func(revision model.Revision) {
		raw, err := json.Marshal(testDocument{
			Revision: revision, Services: map[model.Service]routing.Service{"s": {HealthPath: "/health", ColdRate: 100}},
			Routes: []routing.Route{
				{Name: "all", Host: "s", Prefix: "/", Backends: []routing.Backend{{Service: "s", Weight: 1}}, MaxAttempts: 1},
				{Name: "new", Host: "s", Prefix: "/new/", MaxAttempts: 1, Unsupported: "a type of a later release"},
			},
		})
		qt.Assert(t, err, qt.IsNil)
		s.put("ops/config", raw, false)
	}
	configure(1)
	n := startNode(t, s, "d", "s", newTestTarget(t, "t"))
	n.waitForOwnTarget()
	for revision := range model.Revision(2) {
		configure(revision + 1)
		eventually(t, "the revision is in force", func() bool { return n.configuration.revision() == revision+1 })
		refused := n.call(http.MethodGet, "s", "/new/1")
		qt.Assert(t, refused.status, qt.Equals, http.StatusServiceUnavailable)
		qt.Assert(t, refused.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		qt.Assert(t, n.call(http.MethodGet, "s", "/old").status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, n.target.requests(), qt.HasLen, 2)
	response, err := http.Get("http://" + n.settings.Metrics + "/metrics")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	metrics, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Contains(string(metrics), "zinniafall_configuration_parts_not_understood 1\n"), qt.IsTrue)
	reported := slices.DeleteFunc(n.log.lines("configuration"), func(line map[string]any) bool { return line["error"] == nil })
	qt.Assert(t, reported, qt.HasLen, 2, qt.Commentf("%v", reported))
}

func TestRequestWithoutAnIDIsRejected(t *testing.T) {
	entry, ownerA, _ := startEntryAndOwners(t)
	r, err := http.NewRequest(http.MethodGet, "http://"+entry.settings.Callers+"/safe/x", nil)
	qt.Assert(t, err, qt.IsNil)
	r.Host = "back"
	response, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusBadRequest)
	qt.Assert(t, ownerA.target.requests(), qt.HasLen, 0)
}

func TestNodeWithoutConfigurationRefuses(t *testing.T) {
	n := startNode(t, newMemoryStore(), "a", "front", newTestTarget(t, "t0"))
	qt.Assert(t, n.NotReadyReason(), qt.Not(qt.Equals), "")
	qt.Assert(t, n.call(http.MethodGet, "back", "/safe/x").status, qt.Equals, http.StatusServiceUnavailable)
}

func TestCancellationReachesTheTarget(t *testing.T) {
	entry, ownerA, _ := startEntryAndOwners(t)
	started, ended := make(chan struct{}), make(chan struct{})
	ownerA.target.onRequest(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := entry.tryCall(ctx, http.MethodGet, "back", "/safe/x")
	qt.Assert(t, err, qt.IsNotNil)
	<-ended
}

func TestCallsFailOverFromADeadOwner(t *testing.T) {
	entry, ownerA, ownerB := startEntryAndOwners(t)
	ownerA.Kill()
	for range 5 {
		a := entry.call(http.MethodPost, "back", "/unsafe/x")
		qt.Assert(t, a.body, qt.Equals, "from t2")
	}
	qt.Assert(t, ownerB.target.requests(), qt.HasLen, 5)
}

func TestReplacedTargetIsDetected(t *testing.T) {
	entry, ownerA, ownerB := startEntryAndOwners(t)
	ownerA.target.mu.Lock()
	ownerA.target.id = "t9" // another process at the same address
	ownerA.target.mu.Unlock()
	a := entry.call(http.MethodPost, "back", "/unsafe/x")
	qt.Assert(t, a.status, qt.Equals, 200)
	eventually(t, "the owner has the new target", func() bool {
		id, _, _ := ownerA.Node.target.identity()
		return id == "t9"
	})
	qt.Assert(t, len(ownerA.target.requests())+len(ownerB.target.requests()), qt.Equals, 1)
}

// The call outlasts readinessDrainTime, for which a stopping node serves in any case. Both
// the node that a caller is connected to and the owner wait for it.
func TestStopWaitsForCallsInProgress(t *testing.T) {
	for _, stopsEntry := range []bool{true, false} {
		entry, ownerA, _ := startEntryAndOwners(t)
		started, release := make(chan struct{}), make(chan struct{})
		ownerA.target.onRequest(func(w http.ResponseWriter, _ *http.Request) {
			close(started)
			<-release
			_, _ = w.Write([]byte("whole"))
		})
		result := make(chan answer, 1)
		go func() {
			a, err := entry.tryCall(t.Context(), http.MethodPost, "back", "/unsafe/x")
			if err == nil {
				result <- a
			}
			close(result)
		}()
		<-started
		stopping := ownerA
		if stopsEntry {
			stopping = entry
		}
		stopped := make(chan struct{})
		go func() {
			stopping.Stop(t.Context())
			close(stopped)
		}()
		eventually(t, "the node is no longer ready", func() bool { return stopping.NotReadyReason() != "" })
		time.Sleep(readinessDrainTime + 500*time.Millisecond)
		select {
		case <-stopped:
			t.Error("the node stopped while a call was in progress")
		default:
		}
		close(release)
		qt.Assert(t, (<-result).body, qt.Equals, "whole")
		<-stopped
	}
}

func TestReloadChangesTheOriginService(t *testing.T) {
	entry, ownerA, _ := startEntryAndOwners(t)
	s := entry.settings
	s.Service = "renamed"
	entry.Reload(s)
	qt.Assert(t, entry.call(http.MethodGet, "back", "/safe/x").status, qt.Equals, 200)
	qt.Assert(t, ownerA.target.requests()[0].Header.Get("X-Origin"), qt.Equals, "renamed")
}

// The logs allow tracing a failed request by its ID: they contain the outcome,
// the owners that were asked, and the inputs of the owner's decision.
func TestFailedRequestCanBeTracedByItsID(t *testing.T) {
	entry, ownerA, ownerB := startEntryAndOwners(t)
	ownerA.target.onRequest(resetConnection)
	ownerB.target.onRequest(resetConnection)
	qt.Assert(t, entry.call(http.MethodPost, "back", "/unsafe/x").status, qt.Equals, http.StatusBadGateway)
	var outcome map[string]any
	eventually(t, "the entry has logged the request", func() bool {
		for _, line := range entry.log.lines("entry") {
			outcome = line
		}
		return outcome != nil
	})
	qt.Assert(t, outcome["msg"], qt.Equals, "request target-failed")
	qt.Assert(t, outcome["run"], qt.Equals, "unknown")
	qt.Assert(t, outcome["attempts"], qt.HasLen, 1)
	for _, field := range []string{"request", "route", "service", "revision", "configuration_age_ms", "targets_known", "detail"} {
		qt.Assert(t, outcome[field], qt.IsNotNil, qt.Commentf("%s", field))
	}
	eventually(t, "the owner has logged the call", func() bool {
		for _, n := range []*testNode{ownerA, ownerB} {
			for _, line := range n.log.lines("owner") {
				if line["request"] == outcome["request"] && line["pace_age_ms"] != nil && line["in_flight"] != nil {
					return true
				}
			}
		}
		return false
	})
}

// TestNodeThatLacksNewerConfigurationDoesNotAnswer404 guards against the answer 404 of a
// node that knows of a newer configuration, which may have the route.
func TestNodeThatLacksNewerConfigurationDoesNotAnswer404(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	n := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	n.waitForOwnTarget()
	eventually(t, "revision 1 is in force", func() bool { return n.configuration.revision() == 1 })
	qt.Assert(t, n.call(http.MethodGet, "back", "/safe/x").status, qt.Equals, http.StatusNotFound)

	n.configuration.recordReported(2, "127.0.0.1:1") // cannot be reached
	refused := n.call(http.MethodGet, "back", "/safe/x")
	qt.Assert(t, refused.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, refused.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	qt.Assert(t, n.call(http.MethodGet, "front", "/safe/x").status, qt.Equals, http.StatusOK)

	store.configure(t, 2, "front")
	eventually(t, "revision 2 is in force", func() bool { return n.configuration.revision() == 2 })
	qt.Assert(t, n.call(http.MethodGet, "back", "/safe/x").status, qt.Equals, http.StatusNotFound)
}

// TestCallOfNewRouteWaitsForItsConfiguration requires that a call whose route comes with
// a configuration that is on its way is served.
func TestCallOfNewRouteWaitsForItsConfiguration(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	n := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	holder := startNode(t, store, "a", "back", newTestTarget(t, "t1"))
	n.waitForOwnTarget()
	n.waitForTargets("back", 1)
	holder.waitForOwnTarget()
	// The store is away, so that the node can get revision 2 from the holder only.
	store.setDown(true)
	holder.configuration.applyIfNewer(newDocument(t, 2, "front", "back"), nil, 2, "test")
	n.configuration.recordReported(2, holder.self)
	qt.Assert(t, n.call(http.MethodGet, "back", "/safe/x").body, qt.Equals, "from t1")
}

// TestStopAnswersWhatItCannotFinish guards against calls that a stop cuts off without an answer
// at its end, and against requests that are accepted then and get none.
func TestStopAnswersWhatItCannotFinish(t *testing.T) {
	entry, ownerA, _ := startEntryAndOwners(t)
	s := entry.settings
	s.GracePeriod = 4 * time.Second
	entry.Reload(s)
	started, held := make(chan struct{}), make(chan struct{})
	defer close(held)
	ownerA.target.onRequest(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-held
	})
	result := make(chan answer, 1)
	go func() {
		a, err := entry.tryCall(t.Context(), http.MethodPost, "back", "/unsafe/x")
		qt.Check(t, err, qt.IsNil)
		result <- a
	}()
	<-started
	began, stopped := time.Now(), make(chan struct{})
	go func() {
		entry.Stop(t.Context())
		close(stopped)
	}()
	eventually(t, "the node is no longer ready", func() bool { return entry.NotReadyReason() != "" })
	refused, cut := 0, 0
	for running := true; running; {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		a, err := entry.tryCallWith(ctx, http.MethodPost, "back", "/unsafe/y", http.Header{"X-Deadline": {"20000"}})
		cancel()
		switch {
		case err == nil:
			qt.Assert(t, a.status, qt.Equals, http.StatusServiceUnavailable)
			refused++
		case !errors.Is(err, syscall.ECONNREFUSED):
			cut++ // the system resets the connection that is not accepted yet when the listener is closed
			t.Logf("%s after the start of the stop: %v", time.Since(began), err)
		}
		select {
		case <-stopped:
			running = false
		case <-time.After(time.Millisecond):
		}
	}
	qt.Assert(t, (<-result).status, qt.Equals, http.StatusBadGateway)
	qt.Assert(t, refused > 0, qt.IsTrue)
	qt.Assert(t, cut <= 1, qt.IsTrue)
	qt.Assert(t, ownerA.target.requests(), qt.HasLen, 1)
}

// unendingStore does not answer when a lease is ended.
type unendingStore struct{ *memoryStore }

func (unendingStore) End(ctx context.Context, _ Lease) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestStopEndsWithinTheGracePeriod guards against a stop that waits for a silent store until
// the platform kills the process.
func TestStopEndsWithinTheGracePeriod(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	n := startNodeWith(t, unendingStore{store}, "a", "front", newTestTarget(t, "t1"), freeAddr(), func(o *Options) { o.Settings.GracePeriod = readinessDrainTime + 2*stopMargin })
	n.waitForOwnTarget()
	started, held := make(chan struct{}), make(chan struct{})
	defer close(held)
	n.target.onRequest(func(http.ResponseWriter, *http.Request) {
		close(started)
		<-held
	})
	go func() { _, _ = n.tryCall(t.Context(), http.MethodPost, "front", "/unsafe/x") }()
	<-started
	grace, cancel := context.WithTimeout(t.Context(), n.live.Load().GracePeriod)
	defer cancel()
	n.Stop(context.Background())
	qt.Assert(t, grace.Err(), qt.IsNil)
}

// Guards against a call whose header the connection to its owner does not carry: the call fails,
// and those beside it are refused since the owner looks unreachable.
func TestOddHeaderFieldsReachTheTarget(t *testing.T) {
	entry, ownerA, ownerB := startEntryAndOwners(t)
	conn, err := net.Dial("tcp", entry.settings.Callers)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	var fields strings.Builder
	for i := range 300 {
		_, _ = fmt.Fprintf(&fields, "X-%d: v\r\n", i)
	}
	_, err = fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: back\r\nX-Id: 1\r\nX-Name: Sch\xf6n\r\n%sContent-Length: 0\r\n\r\n", fields.String())
	qt.Assert(t, err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
	ran := append(ownerA.target.requests(), ownerB.target.requests()...)
	qt.Assert(t, ran, qt.HasLen, 1)
	qt.Assert(t, ran[0].Header.Get("X-Name"), qt.Equals, "Sch\xf6n")
	qt.Assert(t, ran[0].Header.Get("X-299"), qt.Equals, "v")
}
