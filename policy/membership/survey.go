package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"zinniafall/policy/model"
)

const (
	// surveyLife is how long a survey is answered, at its origin and on the
	// way.
	surveyLife = 2 * time.Minute
	// surveyRepeat is the time between two rounds of one survey.
	surveyRepeat = 5 * time.Second
	// maxSurveys bounds the surveys that one node relays or asks.
	maxSurveys = 16
	// maxAnswerNodes is the number of nodes in one answer.
	maxAnswerNodes = 150
	// surveyQuestion is the length of a question: survey and revision.
	surveyQuestion = 16
)

// SurveyResult is what a survey found so far.
type SurveyResult struct {
	// InForce lists the members that apply the revision or a higher one.
	InForce []model.NodeAddr
	// Silent lists the other members: they have not applied it or were not
	// heard from.
	Silent []model.NodeAddr
}

// surveyID names a survey across the fleet.
type surveyID struct {
	origin model.NodeAddr
	number uint64
}

// survey is one question on its way. Answers go back by the node from which
// the question came first.
type survey struct {
	id       surveyID
	revision model.Revision
	parent   model.NodeAddr
	expires  time.Time
	repeat   time.Time
	// heard holds the nodes whose answers came, by the low half of their key;
	// kept at the origin only.
	heard   map[uint32]struct{}
	pending []uint32
	// answered is true when the own answer was given.
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

// SetRevision tells which configuration the node applies; surveys that wait
// for it are answered.
func (v *View) SetRevision(now time.Time, revision model.Revision) []Outgoing {
	v.begin(now)
	v.surveys.revision = max(v.surveys.revision, revision)
	return v.finish()
}

// Survey asks all nodes to answer as soon as they apply the revision. The
// result is read by SurveyResult and forgotten after two minutes.
func (v *View) Survey(now time.Time, revision model.Revision) (uint64, []Outgoing) {
	v.begin(now)
	v.pacer.refill(now)
	v.surveys.next++
	id := surveyID{origin: v.self.Node, number: v.surveys.next}
	if len(v.surveys.open) < maxSurveys {
		s := &survey{id: id, revision: revision, expires: now.Add(surveyLife), heard: make(map[uint32]struct{})}
		v.surveys.open[id] = s
		v.askSurvey(now, s)
	}
	return id.number, v.finish()
}

func (v *View) askSurvey(now time.Time, s *survey) {
	s.repeat = now.Add(surveyRepeat)
	question := make([]byte, 0, surveyQuestion)
	question = binary.BigEndian.AppendUint64(question, s.id.number)
	question = binary.BigEndian.AppendUint64(question, uint64(s.revision))
	v.flood(now, now, topicSurvey, question, true)
}

// SurveyResult returns what was heard so far; false when the survey is not
// known or has expired.
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
		if _, heard := s.heard[shortKey(r.Node)]; heard || own {
			result.InForce = append(result.InForce, r.Node)
			continue
		}
		result.Silent = append(result.Silent, r.Node)
	}
	return result, true
}

// onSurvey takes a question in. A repeated one gives the way back anew and is
// answered again, because the first answer may have been lost.
func (v *View) onSurvey(now time.Time, from model.NodeAddr, m *flood) {
	if len(m.Payload) != surveyQuestion {
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
	s.expires = now.Add(surveyLife)
	s.answered = false
}

// receiveAnswers keeps answers at the origin and queues them on the way.
func (v *View) receiveAnswers(_ time.Time, _ model.NodeAddr, answers []answer) {
	for _, a := range answers {
		s := v.surveys.open[surveyID{origin: a.Origin, number: a.Survey}]
		if s == nil {
			continue
		}
		if s.heard == nil {
			s.pending = append(s.pending, a.Nodes...)
			continue
		}
		for _, node := range a.Nodes {
			s.heard[node] = struct{}{}
		}
	}
}

// flushAnswers sends the answers of this batch one step back.
func (v *View) flushAnswers(now time.Time) {
	for _, s := range v.sortedSurveys() {
		if s.heard != nil {
			v.repeatSurvey(now, s)
			continue
		}
		if !s.answered && v.surveys.revision >= s.revision {
			s.answered = true
			s.pending = append(s.pending, shortKey(v.self.Node))
		}
		for len(s.pending) > 0 && v.pacer.bulk() {
			n := min(len(s.pending), maxAnswerNodes)
			a := answer{Origin: s.id.origin, Survey: s.id.number, Nodes: s.pending[:n]}
			v.send(now, s.parent, &packet{Answers: []answer{a}})
			s.pending = s.pending[n:]
		}
	}
}

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

// repeatSurvey asks again while members are silent.
func (v *View) repeatSurvey(now time.Time, s *survey) {
	if now.Before(s.repeat) || now.After(s.expires) {
		return
	}
	if result, ok := v.SurveyResult(s.id.number); ok && len(result.Silent) > 0 {
		v.askSurvey(now, s)
	}
}
