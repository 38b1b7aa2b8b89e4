package events

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

type stalled struct{ release chan struct{} }

func (s stalled) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestStalledReaderNeverBlocksTheLog(t *testing.T) {
	w := stalled{make(chan struct{})}
	l := New(w, "n")
	for range 3 * ringLength {
		l.Info("line")
	}
	qt.Assert(t, l.Dropped() > 0, qt.IsTrue)
	close(w.release)
	l.Close()
}

func TestLinesAreWrittenAtClose(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "n1")
	l.Info("start", "part", "node")
	l.Close()
	qt.Assert(t, strings.Contains(out.String(), `"node":"n1"`), qt.IsTrue)
}
