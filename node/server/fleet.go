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

// onMembersChange updates the parts of the node that depend on the members.
func (s *Server) onMembersChange(snapshot *membership.Snapshot) {
	s.disconnectDeparted(snapshot)
	s.entry.SetEntries(len(snapshot.Members))
	s.updateTargets(snapshot)
	s.configuration.onMembersChange(snapshot)
}

// updateTargets gives the entry the targets of every service that may get
// calls, according to the members and the configuration.
func (s *Server) updateTargets(snapshot *membership.Snapshot) {
	s.membersMu.Lock()
	defer s.membersMu.Unlock()
	configuration := s.configuration.current()
	next := make(map[model.Service]struct{}, len(snapshot.ByService))
	for service, members := range snapshot.ByService {
		targets := make([]placement.Target, 0, len(members))
		for _, m := range members {
			if m.Status != membership.Alive || !acceptsCalls(m.Target) || configuration.Domains[m.Domain].Out {
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
	for service := range s.servicesWithTargets {
		if _, ok := next[service]; !ok {
			s.entry.SetTargets(service, nil)
		}
	}
	s.servicesWithTargets = next
}

// acceptsCalls reports whether a target in the state accepts new calls.
func acceptsCalls(state model.TargetState) bool {
	return state != model.TargetAbsent && state != model.TargetDraining
}

// disconnectDeparted closes the connections to nodes that are no longer
// members, which fails the calls that would otherwise wait for their answers.
func (s *Server) disconnectDeparted(snapshot *membership.Snapshot) {
	s.membersMu.Lock()
	defer s.membersMu.Unlock()
	current := make(map[model.NodeAddr]struct{}, len(snapshot.Members))
	for _, m := range snapshot.Members {
		current[m.Node] = struct{}{}
	}
	for node := range s.previousMembers {
		if _, ok := current[node]; !ok {
			s.transport.Disconnect(node)
		}
	}
	s.previousMembers = current
}

// isMember reports whether the process at the address is a member.
func (s *Server) isMember(node model.NodeAddr, process model.ProcessID) bool {
	for _, m := range s.overlay.Snapshot().Members {
		if m.Node == node {
			return m.Process == process
		}
	}
	return false
}

// floodNotice floods a notice of a crash, a cleared suspect or a lifted
// quarantine.
func (s *Server) floodNotice(notice quarantine.Notice) {
	payload, err := notice.Encode()
	if err != nil {
		klog.Errorf("quarantine: A notice could not be encoded: %v.", err)
		return
	}
	s.overlay.Flood(membership.TopicQuarantine, payload, true)
}

// onFlood handles a message that another node flooded.
func (s *Server) onFlood(message membership.Message) {
	switch message.Topic {
	case membership.TopicQuarantine:
		s.suspects.RecordNotice(message.Payload)
	case membership.TopicBeacon:
		if b, ok := s.freshnessTracker.recordBeacon(message); ok {
			s.configuration.fetchFromNeighbor(b.Head)
		}
	default:
		malformedFloods.Inc()
	}
}

// ownerProbeInterval is the time between two checks for owners to probe.
const ownerProbeInterval = 100 * time.Millisecond

// ownerProbeTimeout bounds one probe.
const ownerProbeTimeout = time.Second

// maxOwnerProbes bounds the concurrent probes. Further ones are dropped, since
// a report that late is worthless.
const maxOwnerProbes = 32

// ownerProbeLoop probes owners for their load reports when placement asks for
// it.
func (s *Server) ownerProbeLoop() {
	ticker := time.NewTicker(ownerProbeInterval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxOwnerProbes)
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
					s.probeOwner(node)
				}()
			default:
				droppedOwnerProbes.Inc()
			}
		}
	}
}

// probeOwner requests one owner's load report and records it.
func (s *Server) probeOwner(node model.NodeAddr) {
	if node == s.self {
		s.entry.RecordReport(node, s.owner.Report())
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, ownerProbeTimeout)
	defer cancel()
	exchange, err := s.transport.Open(ctx, node, &peer.Request{Kind: peer.KindProbe, Revision: s.revision()})
	if err != nil {
		return
	}
	defer exchange.Close()
	answer, err := exchange.Receive()
	if err != nil || answer.Report == nil {
		return
	}
	s.entry.RecordReport(node, *answer.Report)
	if answer.Report.Revision > s.revision() {
		s.configuration.recordRevision(answer.Report.Revision, node)
	}
}
