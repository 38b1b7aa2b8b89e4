package upstream

import (
	"bufio"
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxHeadBytes is the limit on the length of a response head, and of the
	// trailers of a chunked body, in bytes. Each connection has a buffer of this
	// size.
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

// awaitHead waits until the buffer holds a whole response head.
func (c *conn) awaitHead() error {
	scanned, lines, lineStart := 0, 0, 0
	for {
		if _, err := c.reader.Peek(scanned + 1); errors.Is(err, bufio.ErrBufferFull) {
			return fmt.Errorf("%w: %d bytes without an end", ErrOversizedHead, scanned)
		} else if err != nil {
			return err
		}
		buffered, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return err
		}
		for ; scanned < len(buffered); scanned++ {
			if buffered[scanned] != '\n' {
				continue
			}
			line := buffered[lineStart:scanned]
			if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
				return nil
			}
			if lines++; lines > maxHeadLines {
				return fmt.Errorf("%w: over %d lines", ErrOversizedHead, maxHeadLines)
			}
			lineStart = scanned + 1
		}
	}
}
