package callkey

import (
	"container/list"

	"zinniafall/policy/model"
)

// answerOverhead is the memory of a retained answer besides its header and
// body, in bytes.
const answerOverhead = 512

// answerStore retains answers in bounded memory. When it is full, it evicts the
// oldest answer of the account with the most bytes.
type answerStore struct {
	maxAnswer    int
	maxTotal     int
	total        int
	byAccount    map[model.Account]*accountAnswers
	lastSequence uint64
}

// accountAnswers lists the claims of one account whose answers are retained,
// oldest first.
type accountAnswers struct {
	bytes  int
	claims *list.List
	// sequence increases in the order in which accounts were added.
	sequence uint64
}

func newAnswerStore(maxAnswer, maxTotal int) answerStore {
	return answerStore{maxAnswer: maxAnswer, maxTotal: maxTotal, byAccount: make(map[model.Account]*accountAnswers)}
}

// size returns the memory that is accounted for the answer, in bytes.
func (a *Answer) size() int {
	n := answerOverhead + len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// keep retains the answer of the claim, unless it exceeds the size limits.
func (s *answerStore) keep(c *claim, answer *Answer) {
	if answer == nil || answer.size() > min(s.maxAnswer, s.maxTotal) {
		return
	}
	h := s.byAccount[c.account]
	if h == nil {
		s.lastSequence++
		h = &accountAnswers{claims: list.New(), sequence: s.lastSequence}
		s.byAccount[c.account] = h
	}
	c.answer = answer
	c.retained = h.claims.PushBack(c)
	h.bytes += answer.size()
	s.total += answer.size()
	for s.total > s.maxTotal {
		s.remove(s.largest().claims.Front().Value.(*claim))
	}
}

// remove drops the retained answer of the claim, if there is one.
func (s *answerStore) remove(c *claim) {
	if c.answer == nil {
		return
	}
	size := c.answer.size()
	h := s.byAccount[c.account]
	h.claims.Remove(c.retained)
	h.bytes -= size
	s.total -= size
	c.answer, c.retained = nil, nil
	if h.claims.Len() == 0 {
		delete(s.byAccount, c.account)
	}
}

// largest returns the account with the most bytes, and among equals the one
// that was added first.
func (s *answerStore) largest() *accountAnswers {
	var most *accountAnswers
	for _, h := range s.byAccount {
		if most == nil || h.bytes > most.bytes || h.bytes == most.bytes && h.sequence < most.sequence {
			most = h
		}
	}
	return most
}
