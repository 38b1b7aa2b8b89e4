// Package events writes the node's structured log, one JSON object per line,
// which goes to standard output. Lines pass through a bounded queue, so that a
// stalled reader of the log never delays a call. Lines that arrive while the queue
// is full are dropped and counted, and a later line reports how many.
package events

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
)

const (
	// queueLength is the number of lines that may wait for the writer. It
	// covers about two seconds of a busy node.
	queueLength = 1024
	// batchBytes is the size from which a batch takes no further line.
	batchBytes = 32 << 10
)

// Log is a structured log. Logging never blocks on the writer.
type Log struct {
	*slog.Logger
	queue      chan []byte
	dropped    atomic.Int64
	writerDone chan struct{}
	closeOnce  sync.Once
	closing    chan struct{}
}

// New returns a log that writes to w from a goroutine of its own and adds the
// node's name to each line. Close ends the goroutine.
func New(w io.Writer, node string) *Log {
	l := &Log{queue: make(chan []byte, queueLength), writerDone: make(chan struct{}), closing: make(chan struct{})}
	handler := slog.NewJSONHandler(l, &slog.HandlerOptions{Level: slog.LevelInfo})
	l.Logger = slog.New(handler).With("node", node)
	go l.run(w)
	return l
}

// Write queues one line, or drops it when the queue is full. It never blocks
// and never fails.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the log was created.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close writes the queued lines and stops the writer goroutine. It may be
// called more than once.
func (l *Log) Close() {
	l.closeOnce.Do(func() { close(l.closing) })
	<-l.writerDone
}

// run writes queued lines until the log is closed.
func (l *Log) run(w io.Writer) {
	defer close(l.writerDone)
	reported := int64(0)
	for {
		select {
		case line := <-l.queue:
			_, _ = w.Write(l.batch(line))
		case <-l.closing:
			l.flush(w)
			return
		}
		if dropped := l.dropped.Load(); dropped != reported {
			l.Warn("log lines dropped", "part", "log", "count", dropped-reported)
			reported = dropped
		}
	}
}

// batch appends queued lines to line, so that they are written in one call.
func (l *Log) batch(line []byte) []byte {
	for len(line) < batchBytes {
		select {
		case next := <-l.queue:
			line = append(line, next...)
		default:
			return line
		}
	}
	return line
}

// flush writes all queued lines.
func (l *Log) flush(w io.Writer) {
	for {
		select {
		case line := <-l.queue:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}
