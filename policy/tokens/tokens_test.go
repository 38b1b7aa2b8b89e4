package tokens

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestBucket(t *testing.T) {
	start := time.Unix(1_000, 0)
	b := Empty(start)
	qt.Assert(t, b.WaitFor(1, 2), qt.Equals, 500*time.Millisecond)
	b.Refill(start.Add(2*time.Second), 2, 3)
	qt.Assert(t, b.WaitFor(3, 2), qt.Equals, time.Duration(0)) // 4 tokens, of which 3 fit
	qt.Assert(t, b.WaitFor(4, 2), qt.Equals, 500*time.Millisecond)
	b.Take()
	b.Refill(start, 2, 3) // time that goes back adds nothing
	qt.Assert(t, b.WaitFor(3, 1), qt.Equals, time.Second)
	qt.Assert(t, b.WaitFor(3, 0), qt.Equals, MaxWait)
	qt.Assert(t, b.WaitFor(3, 1e-9), qt.Equals, MaxWait)
	for range 5 {
		b.Take()
	}
	qt.Assert(t, b.WaitFor(1, 1), qt.Equals, 4*time.Second)
}
