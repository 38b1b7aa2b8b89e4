package events

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	w := blockedWriter{make(chan struct{})}
	l := New(w, "n")
	for range 3 * queueLength {
		l.Info("line")
	}
	qt.Assert(t, l.Dropped() > 0, qt.IsTrue)
	close(w.release)
	l.Close()
}

func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "n1")
	l.Info("start", "part", "node")
	l.Close()
	qt.Assert(t, strings.Contains(out.String(), `"node":"n1"`), qt.IsTrue)
}
