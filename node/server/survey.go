package server

import (
	"slices"
	"sync"

	"zinniafall/policy/model"
)

// surveys remembers which survey asks for which revision, so that operators
// who wait for one revision share one survey.
type surveys struct {
	mu       sync.Mutex
	revision model.Revision
	number   uint64
}

// inForce tells which members apply the revision or a higher one, and which
// were not heard to. Before the revision is acknowledged no node counts, since
// one that is cut off may still go by an older one. The first question for a
// revision starts a survey.
func (s *Server) inForce(revision model.Revision) (in, missing []model.NodeAddr) {
	s.surveys.mu.Lock()
	if s.surveys.number == 0 || s.surveys.revision != revision {
		s.surveys.number = s.overlay.Survey(revision)
		s.surveys.revision = revision
	}
	number := s.surveys.number
	s.surveys.mu.Unlock()
	result := s.overlay.SurveyResult(number)
	if !s.judge.acknowledged(revision) {
		return nil, slices.Concat(result.InForce, result.Silent)
	}
	return result.InForce, result.Silent
}
