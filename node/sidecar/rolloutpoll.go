package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniafall/node/peer"
	"zinniafall/policy/model"
	"zinniafall/policy/rollout"
	"zinniafall/policy/roster"
)

// poll sends the state to the owners of the service and to the other controllers. It returns
// the owners' reports and the owners that did not answer.
func (c *rolloutController) poll(ctx context.Context, elapsed time.Duration, controls bool) ([]rollout.Evidence, []model.NodeAddr) {
	state := c.state()
	evac := c.node.configuration.currentEvacuation()
	owners := c.node.fleet.ownersOf(c.service)
	var others []model.NodeAddr
	controllers := c.node.rollouts.controllers(c.service)
	if controls {
		isOwner := func(node model.NodeAddr) bool {
			return slices.ContainsFunc(owners, func(r roster.Record) bool { return r.Node == node })
		}
		others = slices.DeleteFunc(slices.Clone(controllers), isOwner)
	}
	// The owners that a state opens are told before those that it closes, so that calls
	// always find an open one.
	opened, rest := owners, []roster.Record(nil)
	if state.Phase == rollout.Drain {
		opened, rest = nil, nil
		for _, r := range owners {
			if r.Version == state.Version {
				opened = append(opened, r)
			} else {
				rest = append(rest, r)
			}
		}
	}
	p := pollRound{c: c, ctx: ctx, state: state, elapsed: elapsed, controls: controls, controllers: controllers}
	for _, node := range others {
		p.send(roster.Record{Node: node}, false)
	}
	for _, group := range [][]roster.Record{opened, rest} {
		var sent sync.WaitGroup
		for _, r := range group {
			sent.Add(1)
			go func() {
				defer sent.Done()
				p.ask(r, true)
			}()
		}
		sent.Wait()
	}
	p.background.Wait()
	for i := range p.evidence {
		p.evidence[i].OutOfService = evac.Contains(p.evidence[i].Domain)
	}
	return p.evidence, p.unreachable
}

// state returns the newest state for the owners.
func (c *rolloutController) state() rollout.State {
	_, whole := c.node.rollouts.state(c.service)
	if state := c.control.State(); whole.Phase == "" || !rollout.Newer(whole, state) {
		return state
	}
	return whole
}

// pollRound is one poll of all owners and controllers.
type pollRound struct {
	c           *rolloutController
	ctx         context.Context
	state       rollout.State
	elapsed     time.Duration
	controls    bool
	controllers []model.NodeAddr
	background  sync.WaitGroup

	mu          sync.Mutex
	evidence    []rollout.Evidence
	unreachable []model.NodeAddr
}

// send polls a node in the background of the round.
func (p *pollRound) send(r roster.Record, isOwner bool) {
	p.background.Add(1)
	go func() {
		defer p.background.Done()
		p.ask(r, isOwner)
	}()
}

// ask polls one node.
func (p *pollRound) ask(r roster.Record, isOwner bool) {
	evidence, ok, err := p.exchange(r.Node)
	if !isOwner {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil && err != errNoReport:
		p.unreachable = append(p.unreachable, r.Node)
	case err != nil:
		// A node of an earlier release has no gate. It is never closed, so the rollout does
		// not complete while it has a target.
		p.evidence = append(p.evidence, rollout.Evidence{Node: r.Node, Process: r.Process, Domain: r.Domain, State: r.State, Slots: r.Slots})
	case ok:
		p.evidence = append(p.evidence, evidence)
	}
}

// exchange sends the state to a node and returns its report. ok is false if the node has no
// target of the service.
func (p *pollRound) exchange(node model.NodeAddr) (evidence rollout.Evidence, ok bool, err error) {
	n := p.c.node
	poll := rolloutPoll{ElapsedMs: p.elapsed.Milliseconds(), Controls: p.controls, Complete: slices.Contains(p.controllers, node)}
	if p.state.Phase != "" {
		state := p.state
		if !poll.Complete {
			state = state.For(node)
		}
		if poll.State, err = rollout.EncodeMessage(state); err != nil {
			return evidence, false, err
		}
	}
	body, err := cbor.Marshal(poll)
	if err != nil {
		return evidence, false, err
	}
	report, err := p.request(node, body)
	if err != nil {
		return evidence, false, err
	}
	n.rollouts.learnElapsed(p.c.service, p.state.Position(), report.ElapsedMs)
	if len(report.State) > 0 {
		if state, err := rollout.DecodeStateMessage(report.State); err == nil && state.Service == p.c.service && state.Phase.Final() {
			n.rollouts.learn(state, time.Now(), stateOfPoll)
		}
	}
	if len(report.Evidence) == 0 {
		return evidence, false, nil
	}
	evidence, err = rollout.DecodeEvidence(report.Evidence)
	if err == nil && evidence.Node != node {
		err = rollout.ErrInvalid
	}
	return evidence, err == nil, err
}

// request sends an encoded poll to a node, which may be this one, and returns its report.
func (p *pollRound) request(node model.NodeAddr, body []byte) (report rolloutReport, err error) {
	n := p.c.node
	if node == n.self {
		report, _ = n.rollouts.answer(n.self, p.c.service, body)
		return report, nil
	}
	ctx, cancel := context.WithTimeout(p.ctx, pollTimeout)
	defer cancel()
	x, err := n.client.Open(ctx, node, &peer.Request{Kind: peer.KindRollout, Inline: true, Service: p.c.service, Body: body, From: n.self})
	if err != nil {
		return report, err
	}
	defer x.Close()
	answer, err := x.Receive()
	if err != nil {
		return report, err
	}
	if answer.Problem != nil {
		return report, errNoReport
	}
	return report, cbor.Unmarshal(answer.Body, &report)
}
