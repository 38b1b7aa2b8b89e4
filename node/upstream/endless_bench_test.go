package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// BenchmarkAnswersWithoutEnd runs honest calls, one after the other, beside 200 calls at
// a time whose answers do not end, in the head or in the body. It reports the heap at its
// highest and the 99th percentile of the honest calls.
func BenchmarkAnswersWithoutEnd(b *testing.B) {
	const endless = 200
	for _, c := range []struct{ name, begin string }{
		{"none", ""},
		{"head", "HTTP/1.1 200 OK\r\nX-Long: "},
		{"body", "HTTP/1.1 200 OK\r\nX-Mark: m\r\n\r\n"},
	} {
		b.Run(c.name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(b, err, qt.IsNil)
			defer func() { _ = l.Close() }()
			go serveEndless(l, c.begin)
			p := NewPool(l.Addr().String(), testFields, 0, NewBuffers(8<<20))
			defer p.Close()
			ctx, cancel := context.WithCancel(b.Context())
			var callers sync.WaitGroup
			if c.begin != "" {
				for range endless {
					callers.Go(func() { callEndless(ctx, p) })
				}
			}
			var times []time.Duration
			var highest uint64
			for b.Loop() {
				started := time.Now()
				result := p.Do(ctx, newRequest("honest"))
				qt.Assert(b, result.Err, qt.IsNil)
				times = append(times, time.Since(started))
				var memory runtime.MemStats
				if len(times)%256 == 0 {
					runtime.ReadMemStats(&memory)
					highest = max(highest, memory.HeapAlloc)
				}
			}
			cancel()
			callers.Wait()
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
			b.ReportMetric(float64(highest)/(1<<20), "heap-MB")
		})
	}
}

// serveEndless answers honest requests whole, and others without end.
func serveEndless(l net.Listener, begin string) {
	block := strings.Repeat("x", 16<<10)
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			for {
				id, ok := readRequest(r)
				if !ok {
					return
				}
				if id == "honest" {
					writeResponse(conn, id, "body")
					continue
				}
				_, err := io.WriteString(conn, begin)
				for err == nil {
					time.Sleep(10 * time.Millisecond)
					_, err = io.WriteString(conn, block)
				}
				return
			}
		}()
	}
}

// retryPause is the pause after an answer that was given up.
const retryPause = 100 * time.Millisecond

// callEndless calls again and again, and reads 8 MB of each answer that has a body.
func callEndless(ctx context.Context, p *Pool) {
	for ctx.Err() == nil {
		if result := p.Do(ctx, newRequest("endless")); result.Response != nil && result.Response.Stream != nil {
			_, _ = io.CopyN(io.Discard, result.Response.Stream, 8<<20)
			_ = result.Response.Stream.Close()
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
		}
	}
}
