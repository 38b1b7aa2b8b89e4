package sidecar

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniafall/node/peer"
	"zinniafall/policy/model"
	"zinniafall/policy/rollout"
	"zinniafall/policy/storeera"
)

// greeted returns the states for a greeting, encoded, or nil.
func (r *rollouts) greeted() cbor.RawMessage {
	if !r.enabled {
		return nil
	}
	now := time.Now()
	var states []rollout.State
	r.mu.Lock()
	for _, s := range r.services {
		ordered := s.order != nil && !s.removed
		heard := s.order == nil && now.Sub(s.knownAt) < finalStateTime
		if s.known.Phase == "" || s.known.Phase.Final() && !ordered && !heard {
			continue
		}
		state := s.known
		if len(state.Grants) > maxGreetedGrants {
			state.Grants = nil
		}
		if state.Phase == rollout.Canary && len(state.Grants) == 0 && len(s.known.Grants) > 0 {
			continue // without its grants it would close the canaries to entries
		}
		states = append(states, state)
	}
	r.mu.Unlock()
	if len(states) == 0 {
		return nil
	}
	slices.SortFunc(states, func(a, b rollout.State) int {
		running := func(s rollout.State) int {
			if s.Phase.Final() {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(running(a), running(b)), cmp.Compare(a.Service, b.Service))
	})
	raw := make([]cbor.RawMessage, 0, len(states))
	for _, state := range states[:min(len(states), maxGreetedRollouts)] {
		encoded, err := rollout.EncodeMessage(state)
		if err == nil {
			raw = append(raw, encoded)
		}
	}
	encoded, err := cbor.Marshal(raw)
	if err != nil {
		return nil
	}
	return encoded
}

// applyGreeted applies the states of a greeting. What cannot be read is ignored, since the
// greeting may be of another release.
func (r *rollouts) applyGreeted(encoded cbor.RawMessage) {
	var raw []cbor.RawMessage
	if !r.enabled || len(encoded) == 0 || cbor.Unmarshal(encoded, &raw) != nil {
		return
	}
	for _, message := range raw[:min(len(raw), maxGreetedRollouts)] {
		state, err := rollout.DecodeStateMessage(message)
		if err != nil {
			continue
		}
		// Only a state in expand is sent without its grants. Any other lets a node continue
		// the rollout as controller, also if the store has lost the state.
		source := stateComplete
		if state.Phase == rollout.Expand && len(state.Grants) == 0 {
			source = stateGreeted
		}
		r.learn(state, time.Now(), source)
	}
}

// rolloutPoll is what a controller sends to an owner or another controller.
type rolloutPoll struct {
	// State is the encoded state, without the grants of other nodes unless Complete is
	// set. It is missing before the first state.
	State cbor.RawMessage `cbor:"1,keyasint,omitempty"`
	// ElapsedMs is the time since the order.
	ElapsedMs int64 `cbor:"2,keyasint,omitempty"`
	Complete  bool  `cbor:"3,keyasint,omitempty"`
	// Controls is set if the sender acts as the service's controller and reaches the
	// store.
	Controls bool `cbor:"4,keyasint,omitempty"`
}

// rolloutReport is the answer of an owner or controller.
type rolloutReport struct {
	// Evidence is missing if the node has no target of the service.
	Evidence cbor.RawMessage `cbor:"1,keyasint,omitempty"`
	// State is a state that is newer than that of the poll. It lacks grants, unless it
	// has a phase without them.
	State cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	// ElapsedMs is how long ago the node saw the order of the polled state, 0 if it follows
	// another one. A controller that started after the order learns from it how much time
	// is left.
	ElapsedMs int64 `cbor:"3,keyasint,omitempty"`
}

var errNoReport = errors.New("the node cannot report on rollouts; run the same release on all nodes")

// beganBefore records that another node has known the order for a time. The caller must hold
// rollouts.mu.
func (s *serviceRollout) beganBefore(now time.Time, elapsedMs int64) {
	started := now.Add(-time.Duration(elapsedMs) * time.Millisecond)
	if s.order != nil && s.answers(s.order) && started.Before(s.startedAt) {
		s.startedAt = started
	}
}

// learnElapsed applies what another node reported of the time since an order.
func (r *rollouts) learnElapsed(service model.Service, order storeera.Position, elapsedMs int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[service]; s != nil && s.order != nil && s.order.At == order {
		s.beganBefore(time.Now(), elapsedMs)
	}
}

// serve answers the poll of a controller.
func (r *rollouts) serve(stream streamWriter, request *peer.Request) {
	if !r.enabled {
		rejectKind(stream)
		return
	}
	report, ok := r.answer(request.From, request.Service, request.Body)
	if !ok {
		rejectKind(stream)
		return
	}
	body, err := cbor.Marshal(report)
	if err != nil || stream.Answer(&peer.Answer{Run: model.RunNo, Status: 200, Inline: true, Body: body}) != nil {
		stream.Fail()
	}
}

// answer applies a poll and returns the report. ok is false if the poll cannot be read.
func (r *rollouts) answer(from model.NodeAddr, service model.Service, payload []byte) (report rolloutReport, ok bool) {
	var poll rolloutPoll
	if cbor.Unmarshal(payload, &poll) != nil {
		return report, false
	}
	now := time.Now()
	var polled rollout.State
	if len(poll.State) > 0 {
		var err error
		if polled, err = rollout.DecodeStateMessage(poll.State); err != nil || polled.Service != service {
			return report, false
		}
		source := stateOfPoll
		if poll.Complete {
			source = stateComplete
		}
		r.learn(polled, now, source)
	}
	r.mu.Lock()
	if s := r.services[service]; s != nil {
		if poll.Controls && from != r.node.self {
			s.polledAt, s.polledBy = now, from
			s.beganBefore(now, poll.ElapsedMs)
		}
		if s.order != nil && s.order.At == polled.Position() {
			report.ElapsedMs = now.Sub(s.startedAt).Milliseconds()
		}
	}
	r.mu.Unlock()
	known, _ := r.state(service)
	evidence, applied, isOwner := r.node.owner.evidence(service)
	if isOwner {
		report.Evidence, _ = rollout.EncodeMessage(evidence)
		if known.Phase == "" || applied.Phase != "" && rollout.Newer(applied, known) {
			known = applied
		}
		if evidence.Closed && evidence.InFlight > 0 {
			r.node.target.probeNow() // the answer shows when an abandoned call has ended
		}
	}
	if known.Phase != "" && (polled.Phase == "" || rollout.Newer(known, polled)) {
		report.State, _ = rollout.EncodeMessage(known)
	}
	return report, true
}
