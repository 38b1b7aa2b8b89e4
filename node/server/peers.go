package server

import (
	"context"
	"io"

	"zinniafall/node/execute"
	"zinniafall/node/peer"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// ServeRequest serves a request of another node. One that arrives before the
// node has started waits.
func (s *Server) ServeRequest(ctx context.Context, from model.NodeAddr, stream *peer.Stream) {
	select {
	case <-s.started:
	case <-ctx.Done():
		return
	}
	s.peerRequests.Add(1)
	defer s.peerRequests.Add(-1)
	switch stream.Request.Kind {
	case peer.KindCall:
		s.serveOwned(ctx, from, stream)
	case peer.KindKeyed:
		s.sendReply(stream, s.entry.ServeKeyed(ctx, &stream.Request))
	case peer.KindProbe:
		report := s.owner.Report()
		_ = stream.Answer(&peer.Answer{Run: model.RunNo, Report: &report})
	case peer.KindConfiguration:
		s.serveConfiguration(stream)
	default:
		s.sendReply(stream, execute.ProblemReply(problem.New(problem.BadRequest, model.RunNo, "the request's kind is not known")))
	}
}

// serveOwned runs a call at this node's target for another node's entry.
func (s *Server) serveOwned(ctx context.Context, from model.NodeAddr, stream *peer.Stream) {
	job := execute.Job{From: from, Request: &stream.Request, Body: stream}
	job.Admitted = func() error { return stream.Answer(&peer.Answer{Admitted: true}) }
	s.sendReply(stream, s.executor.Execute(ctx, job))
}

// sendReply sends an answer. When its body breaks off, the stream is reset, so
// that the peer does not take the answer for a complete one.
func (s *Server) sendReply(stream *peer.Stream, reply *execute.Reply) {
	defer reply.Close()
	if err := stream.Answer(reply.Answer); err != nil {
		stream.Fail()
		return
	}
	if reply.Body == nil {
		return
	}
	if _, err := io.Copy(stream, reply.Body); err != nil {
		stream.Fail()
	}
}

// Unreachable reports to the overlay that no connection to the node could be
// opened.
func (s *Server) Unreachable(node model.NodeAddr) {
	if s.isStarted() {
		s.overlay.Unreachable(node)
	}
}

// isStarted reports whether the node has started all its parts.
func (s *Server) isStarted() bool {
	select {
	case <-s.started:
		return true
	default:
		return false
	}
}
