package upstream

import (
	"errors"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxHeadBytes is the limit on the length of a response head, of the trailers of a
	// chunked body and of the size line of a chunk, in bytes.
	maxHeadBytes = 16 << 10
	// maxHeadLines is the limit on the number of lines of a response head: a
	// parsed line takes many times the bytes of a short one.
	maxHeadLines = 256
	// maxInterimResponses is the limit on the number of 1xx responses before the
	// final one.
	maxInterimResponses = 8
)

var oversizedHeads = metrics.NewCounter(`zinniafall_target_oversized_heads_total`)

// ErrOversizedHead reports a response whose head does not end within the limits.
var ErrOversizedHead = errors.New("the head of the target's answer exceeds the limits")
