package statedlimit

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// MaxLimit is the highest limit that a target may state, in requests per second. A
// higher one counts as unreadable.
const MaxLimit = 1e6

// Unlimited is the limit of an answer that states none.
var Unlimited = math.Inf(1)

// Statement is what one answer of the target states about its limit.
type Statement struct {
	// Limit is the number of requests per second that the target takes from all
	// nodes together, or Unlimited.
	Limit float64
	// SentAt is the time at which the request of the answer was sent.
	SentAt time.Time
}

// Parse parses the values of the header field with which a target states a limit. No
// value means Unlimited. It returns false unless there is at most one value, a decimal
// number from 0 to MaxLimit.
func Parse(values []string) (limit float64, ok bool) {
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
	return limit, err == nil && limit <= MaxLimit
}
