package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
)

// pair starts an entry beside a target of one service and two owners of
// another.
func pair(t *testing.T) (entry, one, two *testNode) {
	store := newMemoryStore()
	store.configure(t, 1, "front", "back")
	entry = startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	one = startNode(t, store, "a", "back", newTestTarget(t, "t1"))
	two = startNode(t, store, "b", "back", newTestTarget(t, "t2"))
	one.ready()
	two.ready()
	entry.knows("back", 2)
	return entry, one, two
}

func TestCallGoesThroughTheOwner(t *testing.T) {
	entry, one, two := pair(t)
	for _, path := range []string{"/safe/x?q=1", "/unsafe/x"} {
		a := entry.call(http.MethodPost, "back", path)
		qt.Assert(t, a.status, qt.Equals, 200)
	}
	ran := append(one.target.requests(), two.target.requests()...)
	qt.Assert(t, ran, qt.HasLen, 2)
	for _, r := range ran {
		qt.Assert(t, r.Header.Get("X-Origin"), qt.Equals, "front")
		left, err := strconv.Atoi(r.Header.Get("X-Deadline"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, left > 0 && left <= 15000, qt.IsTrue)
	}
}

func TestNearTargetsComeFirst(t *testing.T) {
	entry, one, two := pair(t)
	for range 20 {
		qt.Assert(t, entry.call(http.MethodGet, "back", "/safe/x").body, qt.Equals, "from t1")
	}
	qt.Assert(t, one.target.requests(), qt.HasLen, 20)
	qt.Assert(t, two.target.requests(), qt.HasLen, 0)
}

func TestNonIdempotentCallIsNotRepeatedAfterALostAnswer(t *testing.T) {
	entry, one, two := pair(t)
	one.target.onRequest(reset)
	two.target.onRequest(reset)
	a := entry.call(http.MethodPost, "back", "/unsafe/x")
	qt.Assert(t, a.status, qt.Equals, http.StatusBadGateway)
	qt.Assert(t, len(one.target.requests())+len(two.target.requests()), qt.Equals, 1)
}

func TestIdempotentCallIsRepeatedElsewhere(t *testing.T) {
	for name, handle := range map[string]http.HandlerFunc{"lost": reset, "failed": fail, "shed": shed} {
		t.Run(name, func(t *testing.T) {
			entry, one, two := pair(t)
			one.target.onRequest(handle)
			a := entry.call(http.MethodGet, "back", "/safe/x")
			qt.Assert(t, a.body, qt.Equals, "from t2", qt.Commentf("%+v", a))
			qt.Assert(t, one.target.requests(), qt.HasLen, 1)
			qt.Assert(t, two.target.requests(), qt.HasLen, 1)
		})
	}
}

func TestTargetsOwnFailureIsPassedOn(t *testing.T) {
	entry, one, two := pair(t)
	one.target.onRequest(fail)
	two.target.onRequest(fail)
	for _, path := range []string{"/unsafe/x", "/safe/x"} {
		a := entry.call(http.MethodPost, "back", path)
		qt.Assert(t, a.status, qt.Equals, 500)
		qt.Assert(t, a.header.Get("X-Mark"), qt.Not(qt.Equals), "")
	}
	qt.Assert(t, len(one.target.requests())+len(two.target.requests()), qt.Equals, 3)
}

func TestRouteBoundsTheTargetsThatARequestReaches(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front", "back") // two attempts
	entry := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	var targets []*testTarget
	for i := range 4 {
		target := newTestTarget(t, fmt.Sprintf("t%d", i+1))
		target.onRequest(fail)
		targets = append(targets, target)
		startNode(t, store, "a", "back", target).ready()
	}
	entry.knows("back", len(targets))
	a := entry.call(http.MethodGet, "back", "/safe/x")
	qt.Assert(t, a.status, qt.Equals, 500)
	reached := 0
	for _, target := range targets {
		reached += len(target.requests())
	}
	qt.Assert(t, reached, qt.Equals, 2)
}

func TestShedCallIsRefusedAsNotRun(t *testing.T) {
	entry, one, two := pair(t)
	one.target.onRequest(shed)
	two.target.onRequest(shed)
	a := entry.call(http.MethodPost, "back", "/unsafe/x")
	qt.Assert(t, a.status, qt.Equals, http.StatusServiceUnavailable)
	wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, wait > 0 && wait < 5, qt.IsTrue)
	qt.Assert(t, a.header.Get("X-Mark"), qt.Equals, "")
}

func TestUnknownRouteAndMissingTargets(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front", "back")
	n := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
	n.knows("front", 1)
	qt.Assert(t, n.call(http.MethodGet, "back", "/other/x").status, qt.Equals, http.StatusNotFound)
	// The service is configured, but no target of it is known.
	qt.Assert(t, n.call(http.MethodGet, "back", "/safe/x").status, qt.Equals, http.StatusServiceUnavailable)
}

func TestRequestWithoutAnIDIsRejected(t *testing.T) {
	entry, one, _ := pair(t)
	r, err := http.NewRequest(http.MethodGet, "http://"+entry.settings.Callers+"/safe/x", nil)
	qt.Assert(t, err, qt.IsNil)
	r.Host = "back"
	response, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusBadRequest)
	qt.Assert(t, one.target.requests(), qt.HasLen, 0)
}

func TestNodeWithoutConfigurationRefuses(t *testing.T) {
	n := startNode(t, newMemoryStore(), "a", "front", newTestTarget(t, "t0"))
	qt.Assert(t, n.NotReadyReason(), qt.Not(qt.Equals), "")
	qt.Assert(t, n.call(http.MethodGet, "back", "/safe/x").status, qt.Equals, http.StatusServiceUnavailable)
}

func TestCancelReachesTheTarget(t *testing.T) {
	entry, one, _ := pair(t)
	begun, ended := make(chan struct{}), make(chan struct{})
	one.target.onRequest(func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-begun
		cancel()
	}()
	_, err := entry.try(ctx, http.MethodGet, "back", "/safe/x")
	qt.Assert(t, err, qt.IsNotNil)
	<-ended
}

func TestOwnerThatDiesBeforeItHasASlotLosesNothing(t *testing.T) {
	entry, one, two := pair(t)
	one.Kill()
	for range 5 {
		a := entry.call(http.MethodPost, "back", "/unsafe/x")
		qt.Assert(t, a.body, qt.Equals, "from t2")
	}
	qt.Assert(t, two.target.requests(), qt.HasLen, 5)
}

func TestReplacedTargetIsNotMistaken(t *testing.T) {
	entry, one, two := pair(t)
	one.target.mu.Lock()
	one.target.id = "t9" // another process at the same address
	one.target.mu.Unlock()
	a := entry.call(http.MethodPost, "back", "/unsafe/x")
	qt.Assert(t, a.status, qt.Equals, 200)
	until(t, "the owner knows the new target", func() bool {
		id, _, _ := one.Node.target.identity()
		return id == "t9"
	})
	qt.Assert(t, len(one.target.requests())+len(two.target.requests()), qt.Equals, 1)
}

func TestStopLetsCallsEndAndRefusesLateOnes(t *testing.T) {
	entry, one, _ := pair(t)
	begun, release := make(chan struct{}), make(chan struct{})
	one.target.onRequest(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		_, _ = w.Write([]byte("whole"))
	})
	result := make(chan answer, 1)
	go func() {
		a, err := entry.try(t.Context(), http.MethodPost, "back", "/unsafe/x")
		if err == nil {
			result <- a
		}
		close(result)
	}()
	<-begun
	stopped := make(chan struct{})
	go func() {
		entry.Stop(t.Context())
		close(stopped)
	}()
	until(t, "the node is not ready any more", func() bool { return entry.NotReadyReason() != "" })
	close(release)
	qt.Assert(t, (<-result).body, qt.Equals, "whole")
	<-stopped
}

func TestReloadedServiceIsNamedAsTheOrigin(t *testing.T) {
	entry, one, _ := pair(t)
	s := entry.settings
	s.Service = "renamed"
	entry.Reload(s)
	qt.Assert(t, entry.call(http.MethodGet, "back", "/safe/x").status, qt.Equals, 200)
	qt.Assert(t, one.target.requests()[0].Header.Get("X-Origin"), qt.Equals, "renamed")
}

// From the id of a failed request its log tells the outcome, the owners that
// were asked, and what the owner's decision rested on.
func TestFailedRequestCanBeTracedByItsID(t *testing.T) {
	entry, one, two := pair(t)
	one.target.onRequest(reset)
	two.target.onRequest(reset)
	qt.Assert(t, entry.call(http.MethodPost, "back", "/unsafe/x").status, qt.Equals, http.StatusBadGateway)
	var outcome map[string]any
	until(t, "the entry has logged the request", func() bool {
		for _, line := range entry.logged.lines("entry") {
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
	until(t, "the owner has logged its part", func() bool {
		for _, n := range []*testNode{one, two} {
			for _, line := range n.logged.lines("owner") {
				if line["request"] == outcome["request"] && line["pace_age_ms"] != nil && line["in_flight"] != nil {
					return true
				}
			}
		}
		return false
	})
}
