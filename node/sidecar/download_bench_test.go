package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// BenchmarkDownloadsToSlowCallers runs 64 downloads of 10 MB at once, through an
// entry and the owner of the target, to callers that read 1 Mbit/s. It reports
// the memory of both nodes, which share the process, and by how much the 99th
// percentile of small calls to the same target grows beside the downloads. Use
// -benchtime 1x.
func BenchmarkDownloadsToSlowCallers(b *testing.B) {
	const (
		downloads    = 64
		length       = 10 << 20
		bytesASecond = 1_000_000 / 8
		smallCalls   = 1000
		callInterval = 4 * time.Millisecond
		samplePeriod = 20 * time.Millisecond
		readsASecond = 20
		megabyte     = 1 << 20
		percentile   = 0.99
	)
	body := bytes.Repeat([]byte("0123456789abcdef"), length/16)
	for range b.N {
		store := newMemoryStore()
		store.configure(b, 1, "front", "back")
		entry := startNode(b, store, "a", "front", newTestTarget(b, "t0"))
		target := newTestTarget(b, "t1")
		target.slots = 2 * downloads
		target.onRequest(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/safe/large" {
				return
			}
			w.Header().Set("Content-Length", strconv.Itoa(length))
			_, _ = w.Write(body)
		})
		owner := startNode(b, store, "a", "back", target)
		owner.waitForOwnTarget()
		entry.waitForTargets("back", 1)

		alone := callLatencies(entry, smallCalls, callInterval)
		runtime.GC()
		var before runtime.MemStats
		runtime.ReadMemStats(&before)

		var peak atomic.Uint64
		done := make(chan struct{})
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(samplePeriod):
				}
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				peak.Store(max(peak.Load(), m.HeapInuse))
			}
		}()
		for range downloads {
			conn, err := net.Dial("tcp", entry.settings.Callers)
			qt.Assert(b, err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
			_, err = fmt.Fprintf(conn, "GET /safe/large HTTP/1.1\r\nHost: back\r\nX-Id: %s\r\nX-Deadline: 90000\r\n\r\n", conn.LocalAddr())
			qt.Assert(b, err, qt.IsNil)
			go func() {
				part := make([]byte, bytesASecond/readsASecond)
				for {
					if _, err := io.ReadFull(conn, part); err != nil {
						return
					}
					time.Sleep(time.Second / readsASecond)
				}
			}()
		}
		eventually(b, "the downloads have begun", func() bool { return len(target.requests()) >= smallCalls+downloads })
		beside := callLatencies(entry, smallCalls, callInterval)
		close(done)
		runtime.GC()
		var during runtime.MemStats
		runtime.ReadMemStats(&during)
		p99 := func(latencies []time.Duration) float64 {
			slices.Sort(latencies)
			return float64(latencies[int(float64(len(latencies))*percentile)].Microseconds()) / 1000
		}
		b.ReportMetric(float64(int64(during.HeapAlloc)-int64(before.HeapAlloc))/megabyte, "live-MB")
		b.ReportMetric(float64(int64(peak.Load())-int64(before.HeapInuse))/megabyte, "peak-MB")
		b.ReportMetric(p99(alone), "p99-alone-ms")
		b.ReportMetric(p99(beside), "p99-beside-ms")
	}
}

// callLatencies makes small calls one after the other on one connection, and
// returns how long each took.
func callLatencies(entry *testNode, calls int, interval time.Duration) []time.Duration {
	conn, err := net.Dial("tcp", entry.settings.Callers)
	qt.Assert(entry.t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var latencies []time.Duration
	for i := range calls {
		began := time.Now()
		_, err := fmt.Fprintf(conn, "GET /safe/small HTTP/1.1\r\nHost: back\r\nX-Id: small-%s-%d\r\nX-Deadline: 15000\r\n\r\n", conn.LocalAddr(), i)
		qt.Assert(entry.t, err, qt.IsNil)
		response, err := http.ReadResponse(reader, nil)
		qt.Assert(entry.t, err, qt.IsNil)
		_, err = io.Copy(io.Discard, response.Body)
		qt.Assert(entry.t, err, qt.IsNil)
		qt.Assert(entry.t, response.StatusCode, qt.Equals, http.StatusOK)
		latencies = append(latencies, time.Since(began))
		time.Sleep(interval)
	}
	return latencies
}
