package server

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// step is a stage of a call at which faults are injected.
type step struct {
	name string
	// run makes the followed call, injects the fault when the call has reached
	// the stage, and returns what the caller was told.
	run func(s *scene, key string, inject func()) got
}

// atPoint runs a call that is stopped at a place in the target's handler.
func atPoint(p point) func(*scene, string, func()) got {
	return func(s *scene, key string, inject func()) got {
		g := newGate()
		s.gates[p] = g
		return s.stopped(g, inject, func() got { return s.pay(s.cells[1], key, strings.NewReader(testBody), nil) })
	}
}

// stopped makes a call that stops at the gate, injects the fault there and
// lets the call go on.
func (s *scene) stopped(g *gate, inject func(), call func() got) got {
	answer := make(chan got, 1)
	go func() { answer <- call() }()
	select {
	case <-g.arrived:
	case early := <-answer:
		inject()
		return early
	}
	inject()
	close(g.open)
	return <-answer
}

var steps = []step{
	{"accept", func(s *scene, key string, inject func()) got {
		inject()
		return s.pay(s.cells[1], key, strings.NewReader(testBody), nil)
	}},
	{"choose", func(s *scene, key string, inject func()) got {
		g := newGate()
		body := &slowReader{Reader: strings.NewReader(testBody), gate: g}
		return s.stopped(g, inject, func() got { return s.pay(s.cells[1], key, body, nil) })
	}},
	{"to the owner", func(s *scene, key string, inject func()) got {
		release := s.links.hold()
		s.t.Cleanup(release)
		answer := make(chan got, 1)
		go func() { answer <- s.pay(s.cells[1], key, strings.NewReader(testBody), nil) }()
		s.eventually(func() bool { return s.cells[1].entry.CallsInFlight() > 0 || len(answer) > 0 })
		done := make(chan struct{})
		go func() {
			defer close(done)
			inject()
		}()
		release()
		<-done
		return <-answer
	}},
	{"admit", func(s *scene, key string, inject func()) got {
		release := s.occupy(s.slots * len(s.cells))
		answer := make(chan got, 1)
		go func() { answer <- s.pay(s.cells[1], key, strings.NewReader(testBody), nil) }()
		inject()
		release()
		return <-answer
	}},
	{"queue", func(s *scene, key string, inject func()) got {
		release := s.occupy(s.slots * len(s.cells))
		answer := make(chan got, 1)
		go func() { answer <- s.pay(s.cells[1], key, strings.NewReader(testBody), nil) }()
		s.eventually(func() bool { return s.queued() > 0 || len(answer) > 0 })
		inject()
		release()
		return <-answer
	}},
	{"to the target", atPoint(pointArrived)},
	{"running", atPoint(pointRunning)},
	{"answer header", atPoint(pointHeader)},
	{"answer body", atPoint(pointBody)},
	{"to the caller", func(s *scene, key string, inject func()) got {
		client := &http.Client{Transport: &pausingTransport{inject: inject}}
		return s.pay(s.cells[1], key, strings.NewReader(testBody), client)
	}},
	{"record", func(s *scene, key string, inject func()) got {
		first := s.pay(s.cells[1], key, strings.NewReader(testBody), nil)
		inject()
		if key == "" {
			return first
		}
		again := s.pay(s.cells[2], key, strings.NewReader(testBody), nil)
		if again.err == nil && again.status == http.StatusOK {
			return again
		}
		return first
	}},
	{"planned stop", func(s *scene, key string, inject func()) got {
		g := newGate()
		s.gates[pointRunning] = g
		stopped := make(chan struct{})
		answer := s.stopped(g, func() {
			owner := s.runner()
			go func() {
				defer close(stopped)
				owner.Stop(context.Background())
			}()
			s.eventually(owner.stopping.Load)
			inject()
		}, func() got { return s.pay(s.cells[1], key, strings.NewReader(testBody), nil) })
		if s.count(mainPath) > 0 {
			<-stopped
		}
		return answer
	}},
}

// queued returns the calls that wait at owners.
func (s *scene) queued() int {
	waiting := 0
	for _, c := range s.cells {
		waiting += int(c.owner.Load().Queued)
	}
	return waiting
}

// occupy fills slots with calls that end on release.
func (s *scene) occupy(slots int) (release func()) {
	open := make(chan struct{})
	var calls sync.WaitGroup
	s.mu.Lock()
	s.occupied = open
	s.mu.Unlock()
	for i := range slots {
		calls.Add(1)
		go func() {
			defer calls.Done()
			s.cells[i%len(s.cells)].call(ask{method: http.MethodPost, path: fmt.Sprintf("%s%d", occupyPath, i)})
		}()
	}
	s.eventually(func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		running := 0
		for _, n := range s.inFlight {
			running += n
		}
		return running >= slots/2
	})
	return sync.OnceFunc(func() {
		close(open)
		calls.Wait()
	})
}

// pausingTransport injects the fault when half of the answer was read.
type pausingTransport struct{ inject func() }

// RoundTrip returns an answer whose body injects the fault on its way.
func (p *pausingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		response.Body = &pausingBody{ReadCloser: response.Body, inject: sync.OnceFunc(p.inject)}
	}
	return response, err
}

type pausingBody struct {
	io.ReadCloser
	inject func()
	read   int
}

// Read injects the fault after the first bytes.
func (b *pausingBody) Read(p []byte) (int, error) {
	if b.read > 0 {
		b.inject()
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), 4<<10)])
	b.read += n
	return n, err
}

// runCell plays one stage with some faults and checks every promise.
func runCell(t *testing.T, at step, keyed bool, faults ...fault) {
	s := newScene(t)
	key := ""
	if keyed {
		key = s.cells[1].requestKey(t)
	}
	var ends []func()
	answer := at.run(s, key, func() {
		for _, f := range faults {
			ends = append(ends, f.inject(s))
		}
	})
	answers := s.resend(key, answer)
	for _, end := range ends {
		if end != nil {
			end()
		}
	}
	s.check(answers)
	s.checkRevisions()
	s.serves(s.living()...)
}

// living lists the nodes that neither stop nor were killed.
func (s *scene) living() []*cell {
	var living []*cell
	for _, c := range s.cells {
		if c.ctx.Err() == nil && !c.stopping.Load() {
			living = append(living, c)
		}
	}
	return living
}

// checkRevisions waits until the living nodes apply one configuration.
func (s *scene) checkRevisions() {
	s.t.Helper()
	s.eventually(func() bool {
		living := s.living()
		for _, c := range living {
			if c.Revision() != living[0].Revision() {
				return false
			}
		}
		return true
	})
}

// matrixSeed picks the pairs of faults.
const matrixSeed = 20261203

// pairsPerStep is the number of pairs of faults that each stage is given.
const pairsPerStep = 4

func TestFaultMatrix(t *testing.T) {
	for _, at := range steps {
		for _, f := range faults {
			if f.cannot(at.name) != "" {
				continue
			}
			t.Run(at.name+"/"+f.name, func(t *testing.T) {
				t.Parallel()
				runCell(t, at, true, f)
			})
		}
	}
}

func TestFaultPairs(t *testing.T) {
	random := rand.New(rand.NewPCG(matrixSeed, 0))
	for _, at := range steps {
		for range pairsPerStep {
			first, second := faults[random.IntN(len(faults))], faults[random.IntN(len(faults))]
			if first.cannot(at.name) != "" || second.cannot(at.name) != "" {
				continue
			}
			keyed := random.IntN(2) == 0
			t.Run(at.name+"/"+first.name+" and "+second.name, func(t *testing.T) {
				t.Parallel()
				runCell(t, at, keyed, first, second)
			})
		}
	}
}

func TestFaultTwice(t *testing.T) {
	for _, f := range faults {
		at := steps[6]
		if f.cannot(at.name) != "" {
			continue
		}
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			runCell(t, at, false, f, f)
		})
	}
}

var updatePages = flag.Bool("update", false, "write docs/faults.md anew")

// faultsPage is the page that is written from the table.
const faultsPage = "../../docs/faults.md"

func TestFaultsPageIsCurrent(t *testing.T) {
	var page bytes.Buffer
	writeFaultsPage(&page)
	if *updatePages {
		qt.Assert(t, os.WriteFile(faultsPage, page.Bytes(), 0o644), qt.IsNil)
	}
	written, err := os.ReadFile(faultsPage)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(written) == page.String(), qt.IsTrue,
		qt.Commentf("run `go test ./node/server -run FaultsPage -update`"))
}

func writeFaultsPage(w io.Writer) {
	_, _ = fmt.Fprint(w, "# Faults\n\nWritten by the fault matrix in `node/server`; each row is a fault that the test injects\nat each stage of a call, with the rule that keeps the promises. After each cell the\ntest checks that the call ran at most once, that `not run` was true, that an\nanswer was whole and the caller's own, that no target had more calls than slots,\nthat no revision fell back, and that service goes on.\n\n")
	_, _ = fmt.Fprintf(w, "| fault | how it is brought about | rule that keeps the promises | stages |\n| --- | --- | --- | --- |\n")
	for _, f := range faults {
		stages := make([]string, 0, len(steps))
		for _, at := range steps {
			if f.cannot(at.name) == "" {
				stages = append(stages, at.name)
			}
		}
		text := "all"
		if len(stages) < len(steps) {
			text = strings.Join(stages, ", ")
		}
		_, _ = fmt.Fprintf(w, "| %s | %s | %s | %s |\n", f.name, f.how, f.rule, text)
	}
	_, _ = fmt.Fprint(w, "\n## Cells that cannot meet\n\n")
	for _, f := range faults {
		for _, at := range steps {
			if reason := f.cannot(at.name); reason != "" {
				_, _ = fmt.Fprintf(w, "- %s, %s: %s\n", f.name, at.name, reason)
			}
		}
	}
}
