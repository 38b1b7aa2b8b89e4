// Package events writes the structured log: one JSON object a line, on
// standard output. Lines go through a bounded ring, so that a reader that
// stalls never delays a call; when the ring is full, lines are dropped and
// counted, and a later line tells how many.
package events

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
)

const (
	// ringLength is the number of lines that may wait for the writer: about
	// two seconds of a busy node.
	ringLength = 1024
	// batchBytes bounds what is written at once.
	batchBytes = 32 << 10
)

// Log is a structured log.
type Log struct {
	*slog.Logger
	ring    chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	close   chan struct{}
}

// New returns a log that writes to w.
func New(w io.Writer, node string) *Log {
	l := &Log{ring: make(chan []byte, ringLength), done: make(chan struct{}), close: make(chan struct{})}
	handler := slog.NewJSONHandler(l, &slog.HandlerOptions{Level: slog.LevelInfo})
	l.Logger = slog.New(handler).With("node", node)
	go l.run(w)
	return l
}

// Write takes one line. It never blocks and never fails.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.ring <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close writes what waits and ends the log.
func (l *Log) Close() {
	l.once.Do(func() { close(l.close) })
	<-l.done
}

func (l *Log) run(w io.Writer) {
	defer close(l.done)
	told := int64(0)
	for {
		select {
		case line := <-l.ring:
			_, _ = w.Write(l.batch(line))
		case <-l.close:
			l.flush(w)
			return
		}
		if dropped := l.dropped.Load(); dropped != told {
			l.Warn("log lines dropped", "part", "log", "count", dropped-told)
			told = dropped
		}
	}
}

// batch appends the lines that wait.
func (l *Log) batch(line []byte) []byte {
	for len(line) < batchBytes {
		select {
		case next := <-l.ring:
			line = append(line, next...)
		default:
			return line
		}
	}
	return line
}

func (l *Log) flush(w io.Writer) {
	for {
		select {
		case line := <-l.ring:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}
