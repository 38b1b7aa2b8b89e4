package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"zinniafall/policy/model"
)

const (
	// surveyTTL is how long a survey is kept at its origin and at each node that
	// forwards answers.
	surveyTTL = 2 * time.Minute
	// surveyRepeatInterval is the time between two floods of one survey's query.
	surveyRepeatInterval = 5 * time.Second
	// maxSurveys limits the open surveys of one node, its own and forwarded ones.
	maxSurveys = 16
	// maxAnswerNodes limits the nodes in one answer.
	maxAnswerNodes = 150
	// surveyQuerySize is the length of a query: survey number and revision.
	surveyQuerySize = 16
)

// SurveyResult is the current result of a survey.
type SurveyResult struct {
	// InForce lists the members that apply the revision or a higher one.
	InForce []model.NodeAddr
	// Silent lists all other members: they have not applied the revision, or their
	// answer has not arrived.
	Silent []model.NodeAddr
}

// surveyID identifies a survey across the fleet.
type surveyID struct {
	origin model.NodeAddr
	number uint64
}

// survey is the state of one survey: a query, flooded to all nodes, that each
// node answers as soon as it applies the configuration revision. Answers return
// to the origin along the path of the query: parent is the node from which the
// last copy came first.
type survey struct {
	id       surveyID
	revision model.Revision
	parent   model.NodeAddr
	expires  time.Time
	repeat   time.Time
	// responders holds the low halves of the keys of the nodes that answered. It is
	// set only at the origin.
	responders map[uint32]struct{}
	pending    []uint32
	// answered is true when this node has queued its own answer.
	answered bool
}

type surveys struct {
	revision model.Revision
	next     uint64
	open     map[surveyID]*survey
}

func newSurveys() surveys { return surveys{open: make(map[surveyID]*survey)} }

func (s *surveys) sweep(now time.Time) {
	for id, open := range s.open {
		if now.After(open.expires) {
			delete(s.open, id)
		}
	}
}

func shortKey(node model.NodeAddr) uint32 { return uint32(key(node)) }

// SetRevision sets the configuration revision that the node applies; surveys
// waiting for it are answered.
func (v *View) SetRevision(now time.Time, revision model.Revision) []Outgoing {
	v.begin(now)
	v.surveys.revision = max(v.surveys.revision, revision)
	return v.finish()
}

// Survey asks all nodes to answer as soon as they apply the revision. SurveyResult
// returns the answers, which are kept for two minutes.
func (v *View) Survey(now time.Time, revision model.Revision) (uint64, []Outgoing) {
	v.begin(now)
	v.pacer.refill(now)
	v.surveys.next++
	id := surveyID{origin: v.self.Node, number: v.surveys.next}
	if len(v.surveys.open) < maxSurveys {
		s := &survey{id: id, revision: revision, expires: now.Add(surveyTTL), responders: make(map[uint32]struct{})}
		v.surveys.open[id] = s
		v.askSurvey(now, s)
	}
	return id.number, v.finish()
}

func (v *View) askSurvey(now time.Time, s *survey) {
	s.repeat = now.Add(surveyRepeatInterval)
	query := make([]byte, 0, surveyQuerySize)
	query = binary.BigEndian.AppendUint64(query, s.id.number)
	query = binary.BigEndian.AppendUint64(query, uint64(s.revision))
	v.flood(now, now, topicSurvey, query, true)
}

// SurveyResult returns the answers received so far. It returns false when the
// survey is unknown or has expired.
func (v *View) SurveyResult(number uint64) (SurveyResult, bool) {
	s := v.surveys.open[surveyID{origin: v.self.Node, number: number}]
	if s == nil {
		return SurveyResult{}, false
	}
	var result SurveyResult
	for _, r := range v.table.sorted {
		if !r.present() {
			continue
		}
		own := r.Node == v.self.Node && v.surveys.revision >= s.revision
		if _, heard := s.responders[shortKey(r.Node)]; heard || own {
			result.InForce = append(result.InForce, r.Node)
			continue
		}
		result.Silent = append(result.Silent, r.Node)
	}
	return result, true
}

// handleSurvey processes a survey query. A repeated query resets the path for
// answers and is answered again, because the first answer may have been lost.
func (v *View) handleSurvey(now time.Time, from model.NodeAddr, m *flood) {
	if len(m.Payload) != surveyQuerySize {
		return
	}
	id := surveyID{origin: m.Origin, number: binary.BigEndian.Uint64(m.Payload)}
	s := v.surveys.open[id]
	if s == nil {
		if len(v.surveys.open) >= maxSurveys {
			return
		}
		s = &survey{id: id, revision: model.Revision(binary.BigEndian.Uint64(m.Payload[8:]))}
		v.surveys.open[id] = s
	}
	s.parent = from
	s.expires = now.Add(surveyTTL)
	s.answered = false
}

// receiveAnswers stores answers at the origin and queues them elsewhere.
func (v *View) receiveAnswers(_ time.Time, _ model.NodeAddr, answers []answer) {
	for _, a := range answers {
		s := v.surveys.open[surveyID{origin: a.Origin, number: a.Survey}]
		if s == nil {
			continue
		}
		if s.responders == nil {
			s.pending = append(s.pending, a.Nodes...)
			continue
		}
		for _, node := range a.Nodes {
			s.responders[node] = struct{}{}
		}
	}
}

// flushAnswers sends the queued answers one hop towards their origin, and
// repeats the node's own queries.
func (v *View) flushAnswers(now time.Time) {
	for _, s := range v.sortedSurveys() {
		if s.responders != nil {
			v.repeatSurvey(now, s)
			continue
		}
		if !s.answered && v.surveys.revision >= s.revision {
			s.answered = true
			s.pending = append(s.pending, shortKey(v.self.Node))
		}
		for len(s.pending) > 0 && v.pacer.allowsBulk() {
			n := min(len(s.pending), maxAnswerNodes)
			a := answer{Origin: s.id.origin, Survey: s.id.number, Nodes: s.pending[:n]}
			v.send(now, s.parent, &packet{Answers: []answer{a}})
			s.pending = s.pending[n:]
		}
	}
}

// sortedSurveys returns the open surveys by origin and number, since the
// iteration order of the map is random.
func (v *View) sortedSurveys() []*survey {
	out := make([]*survey, 0, len(v.surveys.open))
	for _, s := range v.surveys.open {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *survey) int {
		if c := compareAddr(a.id.origin, b.id.origin); c != 0 {
			return c
		}
		return int(a.id.number) - int(b.id.number)
	})
	return out
}

// repeatSurvey floods the query again while answers are missing.
func (v *View) repeatSurvey(now time.Time, s *survey) {
	if now.Before(s.repeat) || now.After(s.expires) {
		return
	}
	if result, ok := v.SurveyResult(s.id.number); ok && len(result.Silent) > 0 {
		v.askSurvey(now, s)
	}
}
