package server

import (
	"context"
	"io"

	"zinniafall/node/execute"
	"zinniafall/node/peer"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// ServeRequest answers what another node asks.
func (s *Server) ServeRequest(ctx context.Context, from model.NodeAddr, stream *peer.Stream) {
	select {
	case <-s.started:
	case <-ctx.Done():
		return
	}
	s.served.Add(1)
	defer s.served.Add(-1)
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

func (s *Server) serveOwned(ctx context.Context, from model.NodeAddr, stream *peer.Stream) {
	job := execute.Job{From: from, Request: &stream.Request, Body: stream}
	job.Admitted = func() error { return stream.Answer(&peer.Answer{Admitted: true}) }
	s.sendReply(stream, s.executor.Execute(ctx, job))
}

// sendReply passes an answer on. An answer that breaks off resets the stream.
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

// Unreachable is told of a node that could not be connected.
func (s *Server) Unreachable(node model.NodeAddr) {
	if s.isStarted() {
		s.overlay.Unreachable(node)
	}
}

// isStarted reports whether all parts stand.
func (s *Server) isStarted() bool {
	select {
	case <-s.started:
		return true
	default:
		return false
	}
}
