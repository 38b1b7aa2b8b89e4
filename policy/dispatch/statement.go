package dispatch

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// MaxStatedLimit is the highest limit that a target may state, in requests per
// second. A higher one counts as unreadable.
const MaxStatedLimit = 1e6

// Unlimited is the limit of an answer that states none.
var Unlimited = math.Inf(1)

// Statement is what one answer of the target states about itself.
type Statement struct {
	// Limit is the number of requests per second that the target takes from all
	// nodes together, or Unlimited.
	Limit float64
	// SentAt is the time at which the request of the answer was sent.
	SentAt time.Time
}

// ParseLimit parses the values of the header field with which a target states a
// limit. No value means Unlimited. It returns false unless there is at most one
// value, a decimal number from 0 to MaxStatedLimit.
func ParseLimit(values []string) (limit float64, ok bool) {
	switch len(values) {
	case 0:
		return Unlimited, true
	case 1:
	default:
		return 0, false
	}
	text := strings.TrimSpace(values[0])
	if strings.Trim(text, "0123456789.") != "" { // ParseFloat also takes signs, exponents and names
		return 0, false
	}
	limit, err := strconv.ParseFloat(text, 64)
	return limit, err == nil && limit <= MaxStatedLimit
}

// statedLimit is the limit in force. Answers overtake each other, and a header does
// not say when it was made: between the sending of its request and its arrival. A
// lower limit is therefore in force from its arrival on, and a higher one, or none,
// only if its request was sent after the arrival of the last answer that stated the
// lower one.
type statedLimit struct {
	limit float64
	// confirmedAt is the arrival of the last answer that stated this limit or a
	// lower one.
	confirmedAt time.Time
}

// record applies a statement that arrives now, and reports whether the limit
// changed.
func (s *statedLimit) record(now time.Time, st Statement) bool {
	before := s.limit
	if st.Limit <= s.limit || st.SentAt.After(s.confirmedAt) {
		s.limit, s.confirmedAt = st.Limit, now
	}
	return s.limit != before
}

// StatedLimit returns the limit in force, in requests per second, or Unlimited.
func (o *Owner) StatedLimit() float64 { return o.stated.limit }

// ForgetStatements drops what a former process of the target has stated.
func (o *Owner) ForgetStatements() { o.stated = statedLimit{limit: Unlimited} }
