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
	// mainPath is the path of the call that a cell follows.
	mainPath = "/pay"
	// occupyPath begins the paths of calls that fill slots.
	occupyPath = "/occupy/"
	// sceneTimeoutMs is the deadline of the followed call.
	sceneTimeoutMs = "1500"
	// sceneAnswer is the length in bytes of the followed call's answer.
	sceneAnswer = 200 << 10
	// sceneBody is the length in bytes of its body, short enough for a
	// request key.
	sceneBody = 8 << 10
)

// gate stops a party of a scene until the fault was injected.
type gate struct {
	arrived chan struct{}
	open    chan struct{}
	once    sync.Once
}

func newGate() *gate { return &gate{arrived: make(chan struct{}), open: make(chan struct{})} }

// wait is called by the party that is to be stopped. Only the first one is.
func (g *gate) wait() {
	first := false
	g.once.Do(func() { first = true; close(g.arrived) })
	if first {
		<-g.open
	}
}

// point is a place in the target's handler.
type point int

const (
	pointArrived point = iota
	pointRunning
	pointHeader
	pointBody
)

// scene is one fleet with one followed call and what its targets saw.
type scene struct {
	*testFleet
	gates map[point]*gate

	mu       sync.Mutex
	runs     map[string]int
	lastRun  map[*cell]time.Time
	behavior map[*cell]http.HandlerFunc
	// occupied, when not nil, keeps calls of occupyPath at their targets.
	occupied chan struct{}
	inFlight map[*cell]int
	most     map[*cell]int
}

func newScene(t testing.TB) *scene {
	s := &scene{
		testFleet: newTestFleet(t), gates: make(map[point]*gate),
		runs: make(map[string]int), lastRun: make(map[*cell]time.Time),
		behavior: make(map[*cell]http.HandlerFunc), inFlight: make(map[*cell]int), most: make(map[*cell]int),
	}
	for i, domain := range []string{"a", "b", "c"} {
		s.add(domain, func(w http.ResponseWriter, r *http.Request) { s.serve(s.cells[i], w, r) })
	}
	s.ready()
	return s
}

// behave replaces what a target does with calls from now on.
func (s *scene) behave(c *cell, handler http.HandlerFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior[c] = handler
}

// serve is the handler of every target of a scene.
func (s *scene) serve(c *cell, w http.ResponseWriter, r *http.Request) {
	s.begin(c, r.URL.Path)
	defer s.end(c)
	s.stopAt(pointArrived, r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.stopAt(pointRunning, r)
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
	answer := wholeAnswer(r.URL.Path, string(body))
	_, _ = io.WriteString(w, answer[:1])
	_ = http.NewResponseController(w).Flush()
	s.stopAt(pointHeader, r)
	_, _ = io.WriteString(w, answer[1:len(answer)/2])
	_ = http.NewResponseController(w).Flush()
	s.stopAt(pointBody, r)
	_, _ = io.WriteString(w, answer[len(answer)/2:])
}

func (s *scene) begin(c *cell, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[path]++
	s.lastRun[c] = time.Now()
	s.inFlight[c]++
	s.most[c] = max(s.most[c], s.inFlight[c])
}

func (s *scene) end(c *cell) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[c]--
}

func (s *scene) stopAt(p point, r *http.Request) {
	if g := s.gates[p]; g != nil && r.URL.Path == mainPath {
		g.wait()
	}
}

// count returns how often a path was run.
func (s *scene) count(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[path]
}

// runner returns the cell whose target ran the followed call last, or the
// first cell when none has.
func (s *scene) runner() *cell {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.cells[0]
	for c, at := range s.lastRun {
		if at.After(s.lastRun[found]) {
			found = c
		}
	}
	return found
}

// wholeAnswer is the only right answer to a call.
func wholeAnswer(path, body string) string {
	head := fmt.Sprintf("%s %d ", path, len(body))
	return head + strings.Repeat("w", sceneAnswer-len(head))
}

var testBody = strings.Repeat("b", sceneBody)

// pay makes the followed call through a node.
func (s *scene) pay(c *cell, key string, body io.Reader, client *http.Client) got {
	return c.callBody(ask{
		method: http.MethodPost, path: mainPath, key: key, client: client,
		header: http.Header{execute.HeaderTimeout: {sceneTimeoutMs}},
	}, body)
}

// told is what the caller of the followed call was told, answer by answer.
type told struct {
	got
	runs int
}

// resend sends the followed call again under its key through the nodes in turn,
// as a patient caller does, until it is answered.
func (s *scene) resend(key string, first got) []told {
	answers := []told{{first, s.count(mainPath)}}
	for i := 0; key != "" && i < 3 && answers[len(answers)-1].status != http.StatusOK; i++ {
		g := s.pay(s.cells[(i+1)%len(s.cells)], key, strings.NewReader(testBody), nil)
		answers = append(answers, told{g, s.count(mainPath)})
	}
	return answers
}

// check compares what the caller was told with what the targets saw.
func (s *scene) check(answers []told) {
	s.t.Helper()
	qt.Assert(s.t, s.count(mainPath) <= 1, qt.IsTrue, qt.Commentf("the call ran %d times", s.count(mainPath)))
	for _, a := range answers {
		if a.err == nil && a.run == "no" {
			qt.Assert(s.t, a.runs, qt.Equals, 0, qt.Commentf("told not run: %+v", a.kind))
		}
		if a.err == nil && a.status == http.StatusOK {
			qt.Assert(s.t, a.body == wholeAnswer(mainPath, testBody), qt.IsTrue, qt.Commentf("%d bytes", len(a.body)))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, most := range s.most {
		qt.Assert(s.t, most <= s.slots, qt.IsTrue, qt.Commentf("%s ran %d calls at once", c.Node(), most))
	}
}

// serves waits until each of the nodes carries a call again.
func (s *scene) serves(cells ...*cell) {
	s.t.Helper()
	for i, c := range cells {
		path := fmt.Sprintf("/after/%d", i)
		s.eventually(func() bool {
			g := c.call(ask{method: http.MethodGet, path: path})
			return g.err == nil && g.status == http.StatusOK && g.body == wholeAnswer(path, "")
		})
	}
}

// callBody makes a call whose body may come piece by piece.
func (c *cell) callBody(a ask, body io.Reader) got {
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
	return receive(client.Do(request))
}

// slowReader stops in the middle of a body until its gate opens.
type slowReader struct {
	io.Reader
	gate *gate
}

// Read waits at the gate at the end of the body.
func (r *slowReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		r.gate.wait()
	}
	return n, err
}

// skip ages all of the judge's evidence, as a pause of the process does.
func (j *judge) skip(pause time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	before := j.clock
	j.clock = func() time.Time { return before().Add(pause) }
}
