package server

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/entry"
	"zinniafall/node/execute"
)

const (
	// mainPath is the path of the main call, whose outcome a scenario checks.
	mainPath = "/pay"
	// occupyPath is the prefix of the paths of calls that fill slots.
	occupyPath = "/occupy/"
	// mainTimeoutMs is the timeout of the main call.
	mainTimeoutMs = "1500"
	// answerBytes is the length of every answer of a scenario's targets.
	answerBytes = 200 << 10
	// bodyBytes is the length of the main call's body, short enough for a
	// request key.
	bodyBytes = 8 << 10
)

// gate blocks one goroutine of a scenario until the fault has been injected.
type gate struct {
	arrived chan struct{}
	open    chan struct{}
	once    sync.Once
}

func newGate() *gate { return &gate{arrived: make(chan struct{}), open: make(chan struct{})} }

// wait blocks the first goroutine that calls it until the gate opens; later
// ones pass.
func (g *gate) wait() {
	first := false
	g.once.Do(func() { first = true; close(g.arrived) })
	if first {
		<-g.open
	}
}

// handlerPoint is a place in the target's handler.
type handlerPoint int

const (
	pointArrived handlerPoint = iota
	pointRunning
	pointHeader
	pointBody
)

// scenario is a fleet with one main call and a record of what its targets ran.
type scenario struct {
	*testFleet
	// gates holds the gate of each handler point at which the main call is
	// paused.
	gates map[handlerPoint]*gate

	mu sync.Mutex
	// runs counts the runs of each path.
	runs map[string]int
	// lastRun is when each node's target last began a call.
	lastRun  map[*testNode]time.Time
	behavior map[*testNode]http.HandlerFunc
	// occupied, when not nil, blocks calls of occupyPath at their targets
	// until it is closed.
	occupied    chan struct{}
	inFlight    map[*testNode]int
	maxInFlight map[*testNode]int
}

// newScenario starts a fleet of three nodes with targets, each in a failure
// domain of its own.
func newScenario(t testing.TB) *scenario {
	s := &scenario{
		testFleet: newTestFleet(t), gates: make(map[handlerPoint]*gate),
		runs: make(map[string]int), lastRun: make(map[*testNode]time.Time),
		behavior: make(map[*testNode]http.HandlerFunc), inFlight: make(map[*testNode]int), maxInFlight: make(map[*testNode]int),
	}
	for i, domain := range []string{"a", "b", "c"} {
		s.add(domain, func(w http.ResponseWriter, r *http.Request) { s.serve(s.nodes[i], w, r) })
	}
	s.ready()
	return s
}

// setBehavior replaces what a target does with calls; nil restores the usual
// behavior.
func (s *scenario) setBehavior(c *testNode, handler http.HandlerFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior[c] = handler
}

// serve is the handler of every target of a scenario.
func (s *scenario) serve(c *testNode, w http.ResponseWriter, r *http.Request) {
	s.recordStart(c, r.URL.Path)
	defer s.recordEnd(c)
	s.pauseAt(pointArrived, r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.pauseAt(pointRunning, r)
	s.mu.Lock()
	behavior, occupied := s.behavior[c], s.occupied
	s.mu.Unlock()
	if occupied != nil && strings.HasPrefix(r.URL.Path, occupyPath) {
		<-occupied
	}
	if behavior != nil {
		behavior(w, r)
		return
	}
	answer := expectedAnswer(r.URL.Path, string(body))
	_, _ = io.WriteString(w, answer[:1])
	_ = http.NewResponseController(w).Flush()
	s.pauseAt(pointHeader, r)
	_, _ = io.WriteString(w, answer[1:len(answer)/2])
	_ = http.NewResponseController(w).Flush()
	s.pauseAt(pointBody, r)
	_, _ = io.WriteString(w, answer[len(answer)/2:])
}

// recordStart records that a target began a call.
func (s *scenario) recordStart(c *testNode, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[path]++
	s.lastRun[c] = time.Now()
	s.inFlight[c]++
	s.maxInFlight[c] = max(s.maxInFlight[c], s.inFlight[c])
}

// recordEnd records that a target ended a call.
func (s *scenario) recordEnd(c *testNode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[c]--
}

// pauseAt blocks the main call at the point if it has a gate.
func (s *scenario) pauseAt(p handlerPoint, r *http.Request) {
	if g := s.gates[p]; g != nil && r.URL.Path == mainPath {
		g.wait()
	}
}

// runCount returns how many times a path was run.
func (s *scenario) runCount(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[path]
}

// lastRunner returns the node whose target last began a call, or the first
// node when none has. Faults of the owner are injected there.
func (s *scenario) lastRunner() *testNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.nodes[0]
	for c, at := range s.lastRun {
		if at.After(s.lastRun[found]) {
			found = c
		}
	}
	return found
}

// expectedAnswer returns the only correct answer to a call.
func expectedAnswer(path, body string) string {
	head := fmt.Sprintf("%s %d ", path, len(body))
	return head + strings.Repeat("w", answerBytes-len(head))
}

// testBody is the body of the main call.
var testBody = strings.Repeat("b", bodyBytes)

// sendMainCall sends the main call through a node.
func (s *scenario) sendMainCall(c *testNode, key string, body io.Reader, client *http.Client) callResult {
	return c.callBody(callRequest{
		method: http.MethodPost, path: mainPath, key: key, client: client,
		header: http.Header{execute.HeaderTimeout: {mainTimeoutMs}},
	}, body)
}

// observedResult is an answer to the main call and the number of its runs by
// then.
type observedResult struct {
	callResult
	runs int
}

// resend retries the main call under its key, through one node after another,
// until it succeeds or three retries have failed. It returns all results.
func (s *scenario) resend(key string, first callResult) []observedResult {
	answers := []observedResult{{first, s.runCount(mainPath)}}
	for i := 0; key != "" && i < 3 && answers[len(answers)-1].status != http.StatusOK; i++ {
		g := s.sendMainCall(s.nodes[(i+1)%len(s.nodes)], key, strings.NewReader(testBody), nil)
		answers = append(answers, observedResult{g, s.runCount(mainPath)})
	}
	return answers
}

// checkResults compares the results that the caller received with what the
// targets ran.
func (s *scenario) checkResults(answers []observedResult) {
	s.t.Helper()
	qt.Assert(s.t, s.runCount(mainPath) <= 1, qt.IsTrue, qt.Commentf("the call ran %d times", s.runCount(mainPath)))
	for _, a := range answers {
		if a.err == nil && a.run == "no" {
			qt.Assert(s.t, a.runs, qt.Equals, 0, qt.Commentf("reported as not run: %+v", a.kind))
		}
		if a.err == nil && a.status == http.StatusOK {
			qt.Assert(s.t, a.body == expectedAnswer(mainPath, testBody), qt.IsTrue, qt.Commentf("the answer is wrong; it has %d bytes", len(a.body)))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, calls := range s.maxInFlight {
		qt.Assert(s.t, calls <= s.slots, qt.IsTrue, qt.Commentf("%s ran %d calls concurrently", c.Node(), calls))
	}
}

// awaitServing waits until each of the nodes completes a call again.
func (s *scenario) awaitServing(nodes ...*testNode) {
	s.t.Helper()
	for i, c := range nodes {
		path := fmt.Sprintf("/after/%d", i)
		s.eventually(func() bool {
			g := c.call(callRequest{method: http.MethodGet, path: path})
			return g.err == nil && g.status == http.StatusOK && g.body == expectedAnswer(path, "")
		})
	}
}

// callBody sends a request whose body may arrive in pieces.
func (c *testNode) callBody(a callRequest, body io.Reader) callResult {
	request, _ := http.NewRequest(a.method, c.url+a.path, body)
	if reader, ok := body.(*strings.Reader); ok {
		request.ContentLength = int64(reader.Len())
	}
	for name, values := range a.header {
		request.Header[name] = values
	}
	request.Header.Set(entry.HeaderService, testService)
	request.Header.Set(entry.HeaderAccountKey, testKey)
	if a.key != "" {
		request.Header.Set(entry.HeaderRequestKey, a.key)
	}
	client := a.client
	if client == nil {
		client = http.DefaultClient
	}
	return readResult(client.Do(request))
}

// gatedReader blocks at the end of a body until its gate opens.
type gatedReader struct {
	io.Reader
	gate *gate
}

// Read blocks at the gate at the end of the body.
func (r *gatedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		r.gate.wait()
	}
	return n, err
}

// advanceClock ages all evidence of the tracker, as a pause of the process
// does.
func (t *freshnessTracker) advanceClock(pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.clock
	t.clock = func() time.Time { return before().Add(pause) }
}
