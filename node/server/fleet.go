package server

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"zinniafall/node/peer"
	"zinniafall/policy/membership"
	"zinniafall/policy/model"
	"zinniafall/policy/placement"
	"zinniafall/policy/quarantine"
)

// membersChanged gives the entry the targets that may get work.
func (s *Server) membersChanged(snapshot *membership.Snapshot) {
	s.forgetGone(snapshot)
	s.entry.SetEntries(len(snapshot.Members))
	s.placeTargets(snapshot)
	s.configuration.membersChanged(snapshot)
}

// placeTargets recomputes the targets of every service from membership and
// configuration.
func (s *Server) placeTargets(snapshot *membership.Snapshot) {
	s.placed.Lock()
	defer s.placed.Unlock()
	configuration := s.configuration.current()
	next := make(map[model.Service]struct{}, len(snapshot.ByService))
	for service, members := range snapshot.ByService {
		targets := make([]placement.Target, 0, len(members))
		for _, m := range members {
			if m.Status != membership.Alive || !takesWork(m.Target) || configuration.Domains[m.Domain].Out {
				continue
			}
			targets = append(targets, placement.Target{
				Node: m.Node, Process: m.Process, Domain: m.Domain, Region: m.Region,
				Slots: int(m.Slots), State: m.Target,
			})
		}
		s.entry.SetTargets(service, targets)
		next[service] = struct{}{}
	}
	for service := range s.placedFor {
		if _, ok := next[service]; !ok {
			s.entry.SetTargets(service, nil)
		}
	}
	s.placedFor = next
}

func takesWork(state model.TargetState) bool {
	return state != model.TargetAbsent && state != model.TargetDraining
}

// forgetGone closes connections to processes that were members and are gone,
// which fails the calls that would wait for them.
func (s *Server) forgetGone(snapshot *membership.Snapshot) {
	s.placed.Lock()
	defer s.placed.Unlock()
	present := make(map[model.NodeAddr]struct{}, len(snapshot.Members))
	for _, m := range snapshot.Members {
		present[m.Node] = struct{}{}
	}
	for node := range s.members {
		if _, ok := present[node]; !ok {
			s.transport.Disconnect(node)
		}
	}
	s.members = present
}

// present reports whether the process is a member at the address.
func (s *Server) present(node model.NodeAddr, process model.ProcessID) bool {
	for _, m := range s.overlay.Snapshot().Members {
		if m.Node == node {
			return m.Process == process
		}
	}
	return false
}

// floodNotice tells all nodes of a crash, a cleared suspect or a lift.
func (s *Server) floodNotice(notice quarantine.Notice) {
	payload, err := notice.Encode()
	if err != nil {
		klog.Errorf("quarantine: A notice could not be encoded: %v.", err)
		return
	}
	s.overlay.Flood(membership.TopicQuarantine, payload, true)
}

// flooded takes in what another node flooded.
func (s *Server) flooded(message membership.Message) {
	switch message.Topic {
	case membership.TopicQuarantine:
		s.suspects.Heard(message.Payload)
	case membership.TopicBeacon:
		if b, ok := s.judge.beacon(message); ok {
			s.configuration.behind(b.Head)
		}
	default:
		malformedFloods.Inc()
	}
}

// probePause is the time between looks for owners to probe.
const probePause = 100 * time.Millisecond

// probeTimeout bounds one probe.
const probeTimeout = time.Second

// maxProbes bounds the probes under way; more are dropped, since a report
// that late is worth nothing.
const maxProbes = 32

// probeDuty asks owners for their reports, as placement paces it.
func (s *Server) probeDuty() {
	ticker := time.NewTicker(probePause)
	defer ticker.Stop()
	slots := make(chan struct{}, maxProbes)
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, node := range s.entry.Probes() {
			select {
			case slots <- struct{}{}:
				go func() {
					defer func() { <-slots }()
					s.probe(node)
				}()
			default:
				droppedProbes.Inc()
			}
		}
	}
}

func (s *Server) probe(node model.NodeAddr) {
	if node == s.self {
		s.entry.Heard(node, s.owner.Report())
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, probeTimeout)
	defer cancel()
	x, err := s.transport.Open(ctx, node, &peer.Request{Kind: peer.KindProbe, Revision: s.revision()})
	if err != nil {
		return
	}
	defer x.Close()
	answer, err := x.Receive()
	if err != nil || answer.Report == nil {
		return
	}
	s.entry.Heard(node, *answer.Report)
	if answer.Report.Revision > s.revision() {
		s.configuration.hear(answer.Report.Revision, node)
	}
}
