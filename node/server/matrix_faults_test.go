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

// fault is one thing that goes wrong.
type fault struct {
	name string
	// how it is brought about, and the rule that keeps the promises.
	how, rule string
	// not names the stages at which the fault cannot meet a call, and why.
	not map[string]string
	// inject brings the fault about and returns what ends it, or nil.
	inject func(s *scene) (end func())
}

func (f fault) cannot(stage string) string { return f.not[stage] }

// The reasons for which a fault cannot meet a call at a stage.
const (
	afterTarget = "the target has already given its whole answer"
)

// atTarget lists the stages that come after the target's own work.
var atTarget = map[string]string{"to the caller": afterTarget, "record": afterTarget}

// once runs the given end a single time.
func once(end func()) func() { return sync.OnceFunc(end) }

// shake replaces the behavior of the victim's target until the end.
func shake(behavior http.HandlerFunc) func(*scene) func() {
	return func(s *scene) func() {
		victim := s.runner()
		s.behave(victim, behavior)
		return once(func() { s.behave(victim, nil) })
	}
}

func answerOf(r *http.Request) string {
	body := testBody
	if r.Method == http.MethodGet {
		body = ""
	}
	return wholeAnswer(r.URL.Path, body)
}

// lose kills the victim's target; its process does not come back.
func lose(s *scene) func() {
	victim := s.runner()
	_ = victim.target.Listener.Close()
	victim.target.CloseClientConnections()
	return nil
}

// change commits a change through a node that lives.
func (s *scene) change(c config.Change) config.Outcome {
	living := s.living()
	if len(living) == 0 {
		return config.Outcome{}
	}
	s.mu.Lock()
	s.changes++
	c.ID = fmt.Sprintf("fault-%d", s.changes)
	s.mu.Unlock()
	c.Base = living[0].Revision()
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	return living[0].Commit(ctx, c)
}

// changeTimeout bounds a commit while the store has a fault.
const changeTimeout = 2 * time.Second

// weigh changes an account's template, which every node has to apply.
func (s *scene) weigh(weight int) config.Outcome {
	return s.change(config.Change{Set: &config.Document{Templates: map[string]config.Template{
		"account": {Kind: config.KindAccount, Body: map[string]any{"weight": weight}},
	}}})
}

// pauseLength is the time by which a paused node's evidence has aged.
const pauseLength = 10 * time.Second

var faults = []fault{
	{name: "straggler", how: "the target answers late but within the deadline", rule: "a hedge only for idempotent calls (policy/retry)", not: atTarget,
		inject: shake(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(w, answerOf(r))
		})},
	{name: "drain", how: "the target tells its node that it leaves", rule: "nothing new starts, what runs ends (policy/admission)",
		inject: func(s *scene) func() {
			victim := s.runner()
			victim.owner.Drain()
			return nil
		}},
	{name: "fail fast", how: "the target answers 500 at once", rule: "a failing target is put on probation and looks busy (policy/admission, policy/placement)", not: atTarget,
		inject: shake(func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "failing", http.StatusInternalServerError) })},
	{name: "warm target turns cold", how: "a new process announces itself at the target's address", rule: "back to the trickle at once (policy/admission)",
		inject: func(s *scene) func() {
			victim := s.runner()
			_ = s.tryAnnounce(victim, "two")
			return nil
		}},
	{name: "target crash", how: "the target's sockets are closed", rule: "a call that may have run is not sent again (policy/retry)", inject: lose},
	{name: "poison request", how: "the request closes the sockets of each target that runs it", rule: "a suspect runs isolated at one owner, two crashes quarantine it (policy/quarantine)", not: atTarget,
		inject: func(s *scene) func() {
			for _, c := range s.cells {
				s.behave(c, func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path != mainPath {
						_, _ = io.WriteString(w, answerOf(r))
						return
					}
					_ = c.target.Listener.Close()
					c.target.CloseClientConnections()
				})
			}
			return nil
		}},
	{name: "late answer", how: "the target answers after the deadline", rule: "an answer belongs to the stream of its own request (node/peer)", not: atTarget,
		inject: shake(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-r.Context().Done():
			case <-time.After(2 * time.Second):
			}
			_, _ = io.WriteString(w, answerOf(r))
		})},
	{name: "out-of-order answers", how: "a later call is answered before an earlier one", rule: "an answer belongs to the stream of its own request (node/peer)",
		inject: func(s *scene) func() {
			for i, c := range s.living() {
				path := fmt.Sprintf("/overtake/%d", i)
				g := c.call(ask{method: http.MethodGet, path: path})
				if g.err == nil && g.status == http.StatusOK && g.body != wholeAnswer(path, "") && !strings.HasPrefix(g.body, wholeAnswer(path, testBody)) {
					s.t.Errorf("the call %s received another's answer", path)
				}
			}
			return nil
		}},
	{name: "cut-off answer", how: "the target closes the connection in the middle of its answer", rule: "a reset is an error at each hop and aborts the caller's connection (node/execute, node/entry)", not: atTarget,
		inject: shake(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, answerOf(r)[:sceneAnswer/2])
			panic(http.ErrAbortHandler)
		})},
	{name: "store down", how: "the store's stand-in closes its connections", rule: "no call needs the store (policy/callkey, policy/freshness)",
		inject: func(s *scene) func() { s.store.SetDown(true); return once(func() { s.store.SetDown(false) }) }},
	{name: "store slow", how: "each answer of the store takes a second", rule: "no call needs the store (policy/callkey, policy/freshness)",
		inject: func(s *scene) func() { s.store.SetDelay(time.Second); return once(func() { s.store.SetDelay(0) }) }},
	{name: "answer lost after the write", how: "the store's answer to a commit is cut off after it took effect", rule: "read back by the change's own identifier (policy/config)",
		inject: func(s *scene) func() {
			s.store.DropResponses(1)
			s.weigh(2)
			return func() { s.store.DropResponses(0) }
		}},
	{name: "lapsed lease with a paused holder", how: "not brought about", rule: "no decision rests on a lease of the store", not: everywhere("no node holds a lease of the store, so that none can lapse"),
		inject: func(*scene) func() { return nil }},
	{name: "racing operators", how: "two changes of one template are committed at once", rule: "compare-and-swap on one head; the loser gets a conflict (policy/config)",
		inject: func(s *scene) func() {
			var races sync.WaitGroup
			for weight := range 2 {
				races.Add(1)
				go func() {
					defer races.Done()
					s.weigh(3 + weight)
				}()
			}
			races.Wait()
			return nil
		}},
	{name: "node paused", how: "the owner's evidence of freshness ages by ten seconds", rule: "the clock is read again right before the first byte leaves (policy/freshness, node/server)",
		inject: func(s *scene) func() {
			s.runner().judge.skip(pauseLength)
			return nil
		}},
	{name: "node killed", how: "the owner's process ends at once", rule: "a call that may have run is not sent again; a key's authority dies with its process (policy/callkey)",
		inject: func(s *scene) func() { s.runner().Kill(); return nil }},
	{name: "partition", how: "the packets to and from the owner are dropped", rule: "a node that is cut off stops starting calls (policy/freshness)",
		inject: func(s *scene) func() {
			victim := s.runner()
			s.links.set(victim.socket, true)
			return once(func() { s.links.set(victim.socket, false) })
		}},
	{name: "failure domain out", how: "operators take the owner's failure domain out of service", rule: "enforced at the entry and again at the owner (policy/admission, node/server)",
		inject: func(s *scene) func() {
			victim := s.runner()
			domain := victim.settings.Node.FailureDomain
			s.change(config.Change{DomainsOut: map[model.Domain]bool{domain: true}})
			return nil
		}},
	{name: "configuration changing", how: "operators change a template", rule: "whole snapshots in rising order (policy/config, node/configuration)",
		inject: func(s *scene) func() { s.weigh(5); return nil }},
}

// everywhere gives one reason for all stages.
func everywhere(reason string) map[string]string {
	not := make(map[string]string, len(stageNames))
	for _, name := range stageNames {
		not[name] = reason
	}
	return not
}

// stageNames lists the names of the stages, which the table of stages repeats.
var stageNames = []string{
	"accept", "choose", "to the owner", "admit", "queue", "to the target", "running",
	"answer header", "answer body", "to the caller", "record", "planned stop",
}
