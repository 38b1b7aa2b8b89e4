package callkey

import (
	"container/list"

	"zinniafall/policy/model"
)

// answerOverhead is what a retained answer takes besides its text, in bytes.
const answerOverhead = 512

// answerStore bounds the memory of retained answers. When it is full, the
// account that holds the most bytes loses its oldest answer.
type answerStore struct {
	maxOne   int
	maxTotal int
	total    int
	holdings map[model.Account]*holding
	opened   uint64
}

// holding lists the retained answers of one account, oldest first.
type holding struct {
	bytes  int
	claims *list.List
	// since orders the holdings by the time when they were opened.
	since uint64
}

func newAnswerStore(maxOne, maxTotal int) answerStore {
	return answerStore{maxOne: maxOne, maxTotal: maxTotal, holdings: make(map[model.Account]*holding)}
}

// size returns the memory that an answer is charged with, in bytes.
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

// keep retains the answer of the claim if the limits allow it.
func (s *answerStore) keep(c *claim, answer *Answer) {
	if answer == nil || answer.size() > min(s.maxOne, s.maxTotal) {
		return
	}
	h := s.holdings[c.account]
	if h == nil {
		s.opened++
		h = &holding{claims: list.New(), since: s.opened}
		s.holdings[c.account] = h
	}
	c.answer = answer
	c.retained = h.claims.PushBack(c)
	h.bytes += answer.size()
	s.total += answer.size()
	for s.total > s.maxTotal {
		s.drop(s.largest().claims.Front().Value.(*claim))
	}
}

// drop forgets the answer of the claim.
func (s *answerStore) drop(c *claim) {
	if c.answer == nil {
		return
	}
	size := c.answer.size()
	h := s.holdings[c.account]
	h.claims.Remove(c.retained)
	h.bytes -= size
	s.total -= size
	c.answer, c.retained = nil, nil
	if h.claims.Len() == 0 {
		delete(s.holdings, c.account)
	}
}

// largest returns the holding with the most bytes, among equals the oldest.
func (s *answerStore) largest() *holding {
	var most *holding
	for _, h := range s.holdings {
		if most == nil || h.bytes > most.bytes || h.bytes == most.bytes && h.since < most.since {
			most = h
		}
	}
	return most
}
