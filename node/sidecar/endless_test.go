package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	// maxNodeMemory is the memory that a node may use, in bytes.
	maxNodeMemory = 64 << 20
	// endlessCallers is the number of callers of a faulty target at the same time.
	endlessCallers = 160
	// endlessRead is the length in bytes after which a caller of a body without end leaves.
	endlessRead = 4 << 20
	// maxEndlessBytes ends an answer that is meant to be without end, so that a test that
	// fails does not take all memory.
	maxEndlessBytes = 256 << 20
)

// endlessAnswers are answers of which the second part is sent again and again.
var endlessAnswers = map[string][2]string{
	"status line":     {"HTTP/1.1 200 ", "x"},
	"header value":    {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
	"header lines":    {"HTTP/1.1 200 OK\r\n", "a:b\r\n"},
	"interim answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"no line":         {"", "x"},
	"body":            {"HTTP/1.1 200 OK\r\nX-Mark: m\r\nX-Id: same\r\n\r\n", "x"},
	"chunks":          {"HTTP/1.1 200 OK\r\nX-Mark: m\r\nX-Id: same\r\nTransfer-Encoding: chunked\r\n\r\n", "20\r\n" + "0123456789abcdef0123456789abcdef" + "\r\n"},
	"chunk extension": {"HTTP/1.1 200 OK\r\nX-Mark: m\r\nX-Id: same\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"trailers":        {"HTTP/1.1 200 OK\r\nX-Mark: m\r\nX-Id: same\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a:b\r\n"},
}

// answerEndless writes an answer until its connection is closed.
func answerEndless(w http.ResponseWriter, answer [2]string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	block := bytes.Repeat([]byte(answer[1]), 64<<10/len(answer[1]))
	written, err := io.WriteString(conn, answer[0])
	for err == nil && written < maxEndlessBytes {
		var n int
		n, err = conn.Write(block)
		written += n
	}
}

// peakHeap measures the heap until stop is called, which returns its greatest size in bytes.
func peakHeap() (stop func() uint64) {
	var peak uint64
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapInuse+m.StackInuse)
			select {
			case <-done:
				return
			default:
				runtime.Gosched()
			}
		}
	}()
	return func() uint64 {
		close(done)
		<-ended
		return peak
	}
}

// Guards against a faulty target that sends bytes without end, in a head or in a body, to the
// callers of one entry, which read nothing or as fast as they can, and to health requests:
// its node or the entry would keep them until it runs out of memory. Two nodes and the
// target share the process here.
func TestAnswersWithoutEndAreHeldInPartsOnly(t *testing.T) {
	for name, answer := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			store := newMemoryStore()
			store.configure(t, 1, "front", "back")
			entry := startNode(t, store, "a", "front", newTestTarget(t, "t0"))
			faulty := newTestTarget(t, "t1")
			faulty.slots = 2 * endlessCallers
			owner := startNode(t, store, "a", "back", faulty)
			owner.waitForOwnTarget()
			entry.waitForTargets("back", 1)
			faulty.onRequest(func(w http.ResponseWriter, _ *http.Request) { answerEndless(w, answer) })
			runtime.GC()
			stop := peakHeap()
			var callers sync.WaitGroup
			for i := range endlessCallers {
				conn, err := net.Dial("tcp", entry.settings.Callers)
				qt.Assert(t, err, qt.IsNil)
				defer func() { _ = conn.Close() }()
				_, err = fmt.Fprintf(conn, "GET /safe/x HTTP/1.1\r\nHost: back\r\nX-Id: same\r\nX-Deadline: 15000\r\nX-Caller: %d\r\n\r\n", i)
				qt.Assert(t, err, qt.IsNil)
				if i%2 == 0 {
					continue // reads nothing
				}
				callers.Go(func() {
					response, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil {
						return
					}
					if response.StatusCode == http.StatusOK {
						_, err = io.CopyN(io.Discard, response.Body, endlessRead)
						qt.Check(t, err == nil, qt.Equals, name == "body" || name == "chunks")
					}
				})
			}
			callers.Wait()
			peak := stop()
			qt.Check(t, peak < 2*maxNodeMemory, qt.IsTrue, qt.Commentf("%d MB", peak>>20))
		})
	}
}

// Guards against a health answer without end.
func TestHealthAnswersWithoutEndAreHeldInPartsOnly(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "back")
	faulty := newTestTarget(t, "t1")
	owner := startNode(t, store, "a", "back", faulty)
	owner.waitForOwnTarget()
	for _, name := range []string{"header value", "body", "trailers"} {
		answer := endlessAnswers[name]
		var mu sync.Mutex
		asked := 0
		faulty.swapHandler(func(w http.ResponseWriter, _ *http.Request) {
			mu.Lock()
			asked++
			mu.Unlock()
			answerEndless(w, answer)
		})
		runtime.GC()
		stop := peakHeap()
		eventually(t, "health requests during "+name, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return asked > 2
		})
		peak := stop()
		qt.Check(t, peak < maxNodeMemory, qt.IsTrue, qt.Commentf("%s: %d MB", name, peak>>20))
		faulty.swapHandler(faulty.serve)
	}
	owner.waitForOwnTarget()
}
