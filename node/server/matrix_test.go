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
	"time"

	qt "github.com/frankban/quicktest"
)

// stage is a stage of a call at which faults are injected.
type stage struct {
	name string
	// run sends the main call, injects the fault when the call has reached the
	// stage, and returns the caller's result.
	run func(s *scenario, key string, inject func()) callResult
}

// atPoint returns a stage function that injects the fault at a place in the
// target's handler.
func atPoint(p handlerPoint) func(*scenario, string, func()) callResult {
	return func(s *scenario, key string, inject func()) callResult {
		g := newGate()
		s.gates[p] = g
		return s.runUntilGate(g, inject, func() callResult { return s.sendMainCall(s.nodes[1], key, strings.NewReader(testBody), nil) })
	}
}

// runUntilGate makes a call, injects the fault when the call has reached the
// gate, and then opens the gate. A call that ends before it reaches the gate
// gets the fault afterwards.
func (s *scenario) runUntilGate(g *gate, inject func(), call func() callResult) callResult {
	answer := make(chan callResult, 1)
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

// stages are the columns of the matrix, in the order of a call.
var stages = []stage{
	{"accept", func(s *scenario, key string, inject func()) callResult {
		inject()
		return s.sendMainCall(s.nodes[1], key, strings.NewReader(testBody), nil)
	}},
	{"choose", func(s *scenario, key string, inject func()) callResult {
		g := newGate()
		body := &gatedReader{Reader: strings.NewReader(testBody), gate: g}
		return s.runUntilGate(g, inject, func() callResult { return s.sendMainCall(s.nodes[1], key, body, nil) })
	}},
	{"to the owner", func(s *scenario, key string, inject func()) callResult {
		release := s.network.holdPackets()
		s.t.Cleanup(release)
		answer := make(chan callResult, 1)
		go func() { answer <- s.sendMainCall(s.nodes[1], key, strings.NewReader(testBody), nil) }()
		s.eventually(func() bool { return s.nodes[1].entry.CallsInFlight() > 0 || len(answer) > 0 })
		done := make(chan struct{})
		go func() {
			defer close(done)
			inject()
		}()
		release()
		<-done
		return <-answer
	}},
	{"admit", func(s *scenario, key string, inject func()) callResult {
		release := s.occupy(s.slots * len(s.nodes))
		answer := make(chan callResult, 1)
		go func() { answer <- s.sendMainCall(s.nodes[1], key, strings.NewReader(testBody), nil) }()
		inject()
		release()
		return <-answer
	}},
	{"queue", func(s *scenario, key string, inject func()) callResult {
		release := s.occupy(s.slots * len(s.nodes))
		answer := make(chan callResult, 1)
		go func() { answer <- s.sendMainCall(s.nodes[1], key, strings.NewReader(testBody), nil) }()
		s.eventually(func() bool { return s.queued() > 0 || len(answer) > 0 })
		inject()
		release()
		return <-answer
	}},
	{"to the target", atPoint(pointArrived)},
	{"running", atPoint(pointRunning)},
	{"answer header", atPoint(pointHeader)},
	{"answer body", atPoint(pointBody)},
	{"to the caller", func(s *scenario, key string, inject func()) callResult {
		client := &http.Client{Transport: &pausingTransport{inject: inject}}
		return s.sendMainCall(s.nodes[1], key, strings.NewReader(testBody), client)
	}},
	{"record", func(s *scenario, key string, inject func()) callResult {
		first := s.sendMainCall(s.nodes[1], key, strings.NewReader(testBody), nil)
		inject()
		if key == "" {
			return first
		}
		retried := s.sendMainCall(s.nodes[2], key, strings.NewReader(testBody), nil)
		if retried.err == nil && retried.status == http.StatusOK {
			return retried
		}
		return first
	}},
	{"planned stop", func(s *scenario, key string, inject func()) callResult {
		g := newGate()
		s.gates[pointRunning] = g
		stopped := make(chan struct{})
		answer := s.runUntilGate(g, func() {
			owner := s.lastRunner()
			go func() {
				defer close(stopped)
				owner.Stop(context.Background())
			}()
			s.eventually(owner.stopping.Load)
			inject()
		}, func() callResult { return s.sendMainCall(s.nodes[1], key, strings.NewReader(testBody), nil) })
		if s.runCount(mainPath) > 0 {
			<-stopped
		}
		return answer
	}},
}

// queued returns the number of calls queued at owners.
func (s *scenario) queued() int {
	waiting := 0
	for _, c := range s.nodes {
		waiting += int(c.owner.Load().Queued)
	}
	return waiting
}

// occupy starts calls that hold the given number of slots until release is
// called, and waits until half of them run. A call that is refused before that is
// made again: on a busy machine the owners' limits fall below the slots.
func (s *scenario) occupy(slots int) (release func()) {
	open, occupied := make(chan struct{}), make(chan struct{})
	var calls sync.WaitGroup
	s.mu.Lock()
	s.occupied = open
	s.mu.Unlock()
	for i := range slots {
		calls.Add(1)
		go func() {
			defer calls.Done()
			for {
				result := s.nodes[i%len(s.nodes)].call(callRequest{method: http.MethodPost, path: fmt.Sprintf("%s%d", occupyPath, i)})
				if result.run != "no" {
					return
				}
				select {
				case <-occupied:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
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
	close(occupied)
	return sync.OnceFunc(func() {
		close(open)
		calls.Wait()
	})
}

// pausingTransport injects the fault while the caller reads an answer.
type pausingTransport struct{ inject func() }

// RoundTrip returns an answer whose body injects the fault while it is read.
func (p *pausingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		response.Body = &pausingBody{ReadCloser: response.Body, inject: sync.OnceFunc(p.inject)}
	}
	return response, err
}

// pausingBody is the body of such an answer.
type pausingBody struct {
	io.ReadCloser
	inject func()
	read   int
}

// Read injects the fault before the second read.
func (b *pausingBody) Read(p []byte) (int, error) {
	if b.read > 0 {
		b.inject()
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), 4<<10)])
	b.read += n
	return n, err
}

// runMatrixCase injects the faults at a stage of a call and checks every
// guarantee.
func runMatrixCase(t *testing.T, at stage, keyed bool, faults ...fault) {
	s := newScenario(t)
	key := ""
	if keyed {
		key = s.nodes[1].requestKey(t)
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
	s.checkResults(answers)
	s.checkRevisions()
	s.awaitServing(s.runningNodes()...)
}

// runningNodes returns the nodes that are neither stopping nor stopped.
func (s *scenario) runningNodes() []*testNode {
	var runningNodes []*testNode
	for _, c := range s.nodes {
		if c.ctx.Err() == nil && !c.stopping.Load() {
			runningNodes = append(runningNodes, c)
		}
	}
	return runningNodes
}

// checkRevisions waits until the running nodes apply the same configuration.
func (s *scenario) checkRevisions() {
	s.t.Helper()
	s.eventually(func() bool {
		running := s.runningNodes()
		for _, c := range running {
			if c.Revision() != running[0].Revision() {
				return false
			}
		}
		return true
	})
}

// matrixSeed seeds the choice of pairs of faults.
const matrixSeed = 20261203

// pairsPerStage is the number of pairs of faults drawn for each stage.
const pairsPerStage = 4

// TestFaultMatrix injects each fault at each stage.
func TestFaultMatrix(t *testing.T) {
	for _, at := range stages {
		for _, f := range faults {
			if f.exclusion(at.name) != "" {
				continue
			}
			t.Run(at.name+"/"+f.name, func(t *testing.T) {
				t.Parallel()
				runMatrixCase(t, at, true, f)
			})
		}
	}
}

// TestFaultPairs injects random pairs of faults, with and without a request
// key.
func TestFaultPairs(t *testing.T) {
	random := rand.New(rand.NewPCG(matrixSeed, 0))
	for _, at := range stages {
		for range pairsPerStage {
			first, second := faults[random.IntN(len(faults))], faults[random.IntN(len(faults))]
			if first.exclusion(at.name) != "" || second.exclusion(at.name) != "" {
				continue
			}
			keyed := random.IntN(2) == 0
			t.Run(at.name+"/"+first.name+" and "+second.name, func(t *testing.T) {
				t.Parallel()
				runMatrixCase(t, at, keyed, first, second)
			})
		}
	}
}

// TestFaultTwice injects each fault twice while the call runs.
func TestFaultTwice(t *testing.T) {
	for _, f := range faults {
		at := stages[6]
		if f.exclusion(at.name) != "" {
			continue
		}
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			runMatrixCase(t, at, false, f, f)
		})
	}
}

var updatePages = flag.Bool("update", false, "regenerate docs/faults.md")

// faultsPage is the page that is generated from the tables.
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

// reportedFaults are faults that operators of similar systems reported.
var reportedFaults = []struct{ fault, here, tests, mutation string }{
	{
		"a second copy of an answer arrives late on a connection that is in use again; the next caller gets it",
		"sidecar: a response that names another request is skipped, and its connection not reused. Product: a connection with unread bytes is not reused (net/http), and answers between nodes are frames of their own request",
		"node/upstream TestLateResponseIsSkipped; the step 'copy late' of the soak; 'out-of-order answers' above",
		"responses of other requests are not recognized: TestLateResponseIsSkipped fails",
	},
	{
		"a planned stop under load cuts off requests that were just accepted",
		"sidecar and product: a stop waits for calls in progress and closes idle connections only then",
		"node/sidecar TestStopWaitsForCallsInProgress, soak seed 17; node/server TestGracefulStopCompletesCallsInFlight",
		"the stop does not wait: TestStopWaitsForCallsInProgress fails",
	},
	{
		"after a restart a server that had left, or a key that had been withdrawn, is in use again",
		"it could: a restarted node used a target that said in its answers that it leaves, a withdrawal without a start time did not hold for a target found by its health, and an instance that had left came back after its lease. Keys end with the process that issued them",
		"node/sidecar TestRestartedNodeDoesNotUseATargetThatSaidItLeaves, TestWithdrawalOfATargetFoundByItsHealthHolds, TestAnnouncementInProgressDoesNotUndoAWithdrawal; policy/admission TestInstanceThatLeftIsNotUsedAgain; node/server TestKeyOfStoppedIssuerDoesNotRun, TestAcknowledgedDepartureHoldsAfterARestart",
		"answers that state it are not read, withdrawals are forgotten, or the instance that left is not kept: the tests named fail",
	},
	{
		"an acknowledgement is given before what makes it outlive its process is done, and is lost with the process",
		"it could: a departure was acknowledged after 0.4 s although the store did not have it (sidecar), or was kept in memory only (product). It is acknowledged when the store has it",
		"node/sidecar TestDepartureIsNotAcknowledgedBeforeItIsStored, TestUnhealthyTargetWaitsForDepartures; platform TestDepartureIsStoredAgainAfterReturnFromCopy; node/server TestAcknowledgedDepartureHoldsAfterARestart",
		"the answer does not wait for the store: the tests named fail",
	},
	{
		"one malformed message or unexpected error takes a process down",
		"it could: heads without an end took the memory, and a panic over one message of a caller, a node or the operators ended the sidecar's process",
		"node/upstream TestHeadWithoutEndIsGivenUp, FuzzResponse; node/front TestPanicEndsOneConnection; node/sidecar TestPanicOverAMessageOfAnotherNodeEndsItsConnection, TestPanicOfTheDecoderRejectsTheDocument; the soak's check of memory",
		"without the bounds, or without each recover: the tests named fail or end their process",
	},
	{
		"around a hand-over between two processes both act, and orders go out twice",
		"no: a target's owner is the node on its VM, whose ports only one process can have, and no decision depends on a lease in the store",
		"node/platform TestExpiredLeaseOfPausedHolder; platform TestNoLeaseOfAnEarlierEraIsUsed; the soak's TWICE check over stops, kills and pauses",
		"",
	},
	{
		"after an answer is lost, work that ran is run again, or the caller is told that it did not run",
		"sidecar and product: a call that may have been sent is unknown and, unless it is idempotent, not sent again",
		"node/sidecar TestNonIdempotentCallIsNotRetriedAfterAConnectionReset; 'cut-off answer' above; the soak's TWICE and REFUSED checks",
		"a lost answer counts as not run: TestNonIdempotentCallIsNotRetriedAfterAConnectionReset fails",
	},
}

func writeReportedFaults(w io.Writer) {
	_, _ = fmt.Fprint(w, "\n## What operators of similar systems reported\n\nEach row says whether it could happen here, what shows that it does not, and which change of\nthe code turns that test red.\n\n| fault | here | tests | mutation |\n| --- | --- | --- | --- |\n")
	for _, f := range reportedFaults {
		_, _ = fmt.Fprintf(w, "| %s | %s | %s | %s |\n", f.fault, f.here, f.tests, f.mutation)
	}
}

func writeFaultsPage(w io.Writer) {
	_, _ = fmt.Fprint(w, "# Faults\n\nGenerated from the fault matrix in `node/server`. Each row is a fault that the test\ninjects at each stage of a call, with the rule that upholds the guarantees. After each\ncase the test checks that the call ran at most once, that `not run` was true, that an\nanswer was complete and the caller's own, that no target had more calls than slots,\nthat no revision went back, and that the fleet goes on serving calls.\n\n")
	_, _ = fmt.Fprintf(w, "| fault | how it is injected | rule that upholds the guarantees | stages |\n| --- | --- | --- | --- |\n")
	for _, f := range faults {
		names := make([]string, 0, len(stages))
		for _, at := range stages {
			if f.exclusion(at.name) == "" {
				names = append(names, at.name)
			}
		}
		text := "all"
		if len(names) < len(stages) {
			text = strings.Join(names, ", ")
		}
		_, _ = fmt.Fprintf(w, "| %s | %s | %s | %s |\n", f.name, f.how, f.rule, text)
	}
	writeReportedFaults(w)
	_, _ = fmt.Fprint(w, "\n## Excluded combinations\n\n")
	for _, f := range faults {
		for _, at := range stages {
			if reason := f.exclusion(at.name); reason != "" {
				_, _ = fmt.Fprintf(w, "- %s, %s: %s\n", f.name, at.name, reason)
			}
		}
	}
}
