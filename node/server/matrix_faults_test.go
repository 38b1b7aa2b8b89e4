package server

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"zinniafall/policy/config"
	"zinniafall/policy/model"
)

// fault is a fault that the matrix injects.
type fault struct {
	name string
	// how describes the injection, and rule what upholds the guarantees.
	how, rule string
	// excluded maps the names of the stages at which the fault cannot affect a
	// call to the reason.
	excluded map[string]string
	// inject injects the fault and returns a function that ends it, or nil.
	inject func(s *scenario) (end func())
}

// exclusion returns why the fault cannot affect a call at the stage, or "".
func (f fault) exclusion(stage string) string { return f.excluded[stage] }

// The reasons for excluded stages.
const (
	targetHasAnswered = "the target has already given its whole answer"
)

// afterTargetStages excludes the stages after the target has answered.
var afterTargetStages = map[string]string{"to the caller": targetHasAnswered, "record": targetHasAnswered}

// endOnce returns a function that ends a fault the first time it is called.
func endOnce(end func()) func() { return sync.OnceFunc(end) }

// withBehavior injects a behavior of the target until the fault ends.
func withBehavior(behavior http.HandlerFunc) func(*scenario) func() {
	return func(s *scenario) func() {
		affected := s.lastRunner()
		s.setBehavior(affected, behavior)
		return endOnce(func() { s.setBehavior(affected, nil) })
	}
}

// expectedAnswerTo returns the correct answer to a request of a scenario.
func expectedAnswerTo(r *http.Request) string {
	body := testBody
	if r.Method == http.MethodGet {
		body = ""
	}
	return expectedAnswer(r.URL.Path, body)
}

// crashTarget closes the sockets of the target for good.
func crashTarget(s *scenario) func() {
	affected := s.lastRunner()
	_ = affected.target.Listener.Close()
	affected.target.CloseClientConnections()
	return nil
}

// commitChange commits a change through a running node.
func (s *scenario) commitChange(c config.Change) config.Outcome {
	running := s.runningNodes()
	if len(running) == 0 {
		return config.Outcome{}
	}
	s.mu.Lock()
	s.changes++
	c.ID = fmt.Sprintf("fault-%d", s.changes)
	s.mu.Unlock()
	c.Base = running[0].Revision()
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	return running[0].Commit(ctx, c)
}

// changeTimeout bounds a commit while the store has a fault.
const changeTimeout = 2 * time.Second

// setAccountWeight changes the template of accounts, which every node has to
// apply.
func (s *scenario) setAccountWeight(weight int) config.Outcome {
	return s.commitChange(config.Change{Set: &config.Document{Templates: map[string]config.Template{
		"account": {Kind: config.KindAccount, Body: map[string]any{"weight": weight}},
	}}})
}

// pauseLength is by how much the evidence of a paused node ages.
const pauseLength = 10 * time.Second

// faults are the rows of the matrix.
var faults = []fault{
	{name: "straggler", how: "the target answers late but within the deadline", rule: "only idempotent calls are hedged (policy/retry)", excluded: afterTargetStages,
		inject: withBehavior(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(w, expectedAnswerTo(r))
		})},
	{name: "drain", how: "the target announces to its node that it drains", rule: "no new call starts, calls in progress complete (policy/admission)",
		inject: func(s *scenario) func() {
			affected := s.lastRunner()
			affected.owner.Drain()
			return nil
		}},
	{name: "fail fast", how: "the target answers 500 at once", rule: "a failing target is put on probation and ranked as busy (policy/admission, policy/placement)", excluded: afterTargetStages,
		inject: withBehavior(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "failing", http.StatusInternalServerError) })},
	{name: "warm target turns cold", how: "a new process announces itself at the target's address", rule: "the limit falls at once to that of a cold target (policy/admission)",
		inject: func(s *scenario) func() {
			affected := s.lastRunner()
			_ = s.tryAnnounce(affected, "two")
			return nil
		}},
	{name: "target crash", how: "the target's sockets are closed", rule: "a call that may have run is not retried (policy/retry)", inject: crashTarget},
	{name: "poison request", how: "the request closes the sockets of each target that runs it", rule: "a suspect runs isolated at one owner; two crashes quarantine it (policy/quarantine)", excluded: afterTargetStages,
		inject: func(s *scenario) func() {
			for _, c := range s.nodes {
				s.setBehavior(c, func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path != mainPath {
						_, _ = io.WriteString(w, expectedAnswerTo(r))
						return
					}
					_ = c.target.Listener.Close()
					c.target.CloseClientConnections()
				})
			}
			return nil
		}},
	{name: "late answer", how: "the target answers after the deadline", rule: "an answer belongs to the stream of its own request (node/peer)", excluded: afterTargetStages,
		inject: withBehavior(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-time.After(2 * time.Second):
			}
			_, _ = io.WriteString(w, expectedAnswerTo(r))
		})},
	{name: "out-of-order answers", how: "a later call is answered before an earlier one", rule: "an answer belongs to the stream of its own request (node/peer)",
		inject: func(s *scenario) func() {
			for i, c := range s.runningNodes() {
				path := fmt.Sprintf("/overtake/%d", i)
				g := c.call(callRequest{method: http.MethodGet, path: path})
				if g.err == nil && g.status == http.StatusOK && g.body != expectedAnswer(path, "") && !strings.HasPrefix(g.body, expectedAnswer(path, testBody)) {
					s.t.Errorf("the call %s received the answer to another call", path)
				}
			}
			return nil
		}},
	{name: "cut-off answer", how: "the target closes the connection halfway through its answer", rule: "a reset is an error at each hop and aborts the caller's connection (node/execute, node/entry)", excluded: afterTargetStages,
		inject: withBehavior(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, expectedAnswerTo(r)[:answerBytes/2])
			panic(http.ErrAbortHandler)
		})},
	{name: "store down", how: "the store's stand-in closes its connections", rule: "no call needs the store (policy/callkey, policy/freshness)",
		inject: func(s *scenario) func() { s.store.SetDown(true); return endOnce(func() { s.store.SetDown(false) }) }},
	{name: "store slow", how: "each answer of the store takes a second", rule: "no call needs the store (policy/callkey, policy/freshness)",
		inject: func(s *scenario) func() {
			s.store.SetDelay(time.Second)
			return endOnce(func() { s.store.SetDelay(0) })
		}},
	{name: "answer lost after the write", how: "the store's answer to a commit is cut off after the commit took effect", rule: "the outcome is read back by the change's identifier (policy/config)",
		inject: func(s *scenario) func() {
			s.store.DropResponses(1)
			s.setAccountWeight(2)
			return func() { s.store.DropResponses(0) }
		}},
	{name: "expired lease with a paused holder", how: "not injected", rule: "no decision depends on a lease in the store", excluded: atAllStages("no node holds a lease in the store, so none can expire"),
		inject: func(*scenario) func() { return nil }},
	{name: "racing operators", how: "two changes of one template are committed concurrently", rule: "compare-and-swap of a single head; the loser gets a conflict (policy/config)",
		inject: func(s *scenario) func() {
			var races sync.WaitGroup
			for weight := range 2 {
				races.Add(1)
				go func() {
					defer races.Done()
					s.setAccountWeight(3 + weight)
				}()
			}
			races.Wait()
			return nil
		}},
	{name: "node paused", how: "the owner's evidence of freshness ages by ten seconds", rule: "freshness is checked again right before the first byte is sent (policy/freshness, node/server)",
		inject: func(s *scenario) func() {
			s.lastRunner().freshnessTracker.advanceClock(pauseLength)
			return nil
		}},
	{name: "node killed", how: "the owner is killed without a graceful stop", rule: "a call that may have run is not retried; the authority for a key ends with its process (policy/callkey)",
		inject: func(s *scenario) func() { s.lastRunner().Kill(); return nil }},
	{name: "partition", how: "all packets to and from the owner are dropped", rule: "an isolated node starts no calls (policy/freshness)",
		inject: func(s *scenario) func() {
			affected := s.lastRunner()
			s.network.setIsolated(affected.socket, true)
			return endOnce(func() { s.network.setIsolated(affected.socket, false) })
		}},
	{name: "failure domain out", how: "operators take the owner's failure domain out of service", rule: "enforced at the entry and again at the owner (policy/admission, node/server)",
		inject: func(s *scenario) func() {
			affected := s.lastRunner()
			domain := affected.settings.Node.FailureDomain
			s.commitChange(config.Change{DomainsOut: map[model.Domain]bool{domain: true}})
			return nil
		}},
	{name: "configuration changing", how: "operators change a template", rule: "complete snapshots, applied in increasing order of revision (policy/config, node/configuration)",
		inject: func(s *scenario) func() { s.setAccountWeight(5); return nil }},
}

// atAllStages excludes all stages for one reason.
func atAllStages(reason string) map[string]string {
	not := make(map[string]string, len(stageNames))
	for _, name := range stageNames {
		not[name] = reason
	}
	return not
}

// stageNames lists the names of the stages in the order of the table of
// stages, which repeats them.
var stageNames = []string{
	"accept", "choose", "to the owner", "admit", "queue", "to the target", "running",
	"answer header", "answer body", "to the caller", "record", "planned stop",
}
