package server

import (
	"slices"
	"sync"

	"zinniafall/policy/model"
)

// revisionSurvey is the latest survey and the revision that it asks for.
// Operators who wait for the same revision share one survey.
type revisionSurvey struct {
	mu       sync.Mutex
	revision model.Revision
	number   uint64
}

// inForce returns the members that apply the revision or a higher one, and
// those that have not confirmed it. The first call for a revision starts a
// survey. Until the revision is acknowledged no member counts as applying it,
// since a node that is cut off may still apply an older one.
func (s *Server) inForce(revision model.Revision) (in, missing []model.NodeAddr) {
	s.revisionSurvey.mu.Lock()
	if s.revisionSurvey.number == 0 || s.revisionSurvey.revision != revision {
		s.revisionSurvey.number = s.overlay.Survey(revision)
		s.revisionSurvey.revision = revision
	}
	number := s.revisionSurvey.number
	s.revisionSurvey.mu.Unlock()
	result := s.overlay.SurveyResult(number)
	if !s.freshnessTracker.acknowledged(revision) {
		return nil, slices.Concat(result.InForce, result.Silent)
	}
	return result.InForce, result.Silent
}
