package server

import (
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"zinniafall/node/entry"
)

// route is a way to call the same target.
type route struct {
	name string
	url  string
}

// BenchmarkAddedLatency compares the latency and processor time of calls of
// the same target made directly, through its owner, and through another entry
// and its owner. The routes take turns in one run, so that all see the same
// load of the machine.
func BenchmarkAddedLatency(b *testing.B) {
	f := newTestFleet(b)
	owner := f.add("a", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	other := f.add("a", nil)
	f.ready()
	routes := []route{{"straight", owner.target.URL}, {"owner", owner.url}, {"entry", other.url}}
	times := make([]*hdrhistogram.Histogram, len(routes))
	cpu := make([]time.Duration, len(routes))
	for i, w := range routes {
		times[i] = hdrhistogram.New(1, 10_000_000, 3)
		for range 200 {
			get(b, w.url)
		}
	}
	const batch = 50
	for n := 0; b.Loop(); n++ {
		i := n % len(routes)
		before := cpuTime()
		for range batch {
			started := time.Now()
			get(b, routes[i].url)
			_ = times[i].RecordValue(time.Since(started).Microseconds())
		}
		cpu[i] += cpuTime() - before
	}
	for i, w := range routes {
		count := float64(max(times[i].TotalCount(), 1))
		b.ReportMetric(float64(times[i].ValueAtQuantile(50)), w.name+"-p50-us")
		b.ReportMetric(float64(times[i].ValueAtQuantile(99)), w.name+"-p99-us")
		b.ReportMetric(float64(cpu[i].Microseconds())/count, w.name+"-cpu-us/call")
	}
	b.ReportMetric(float64(times[2].ValueAtQuantile(99)-times[0].ValueAtQuantile(99))/1000, "added-p99-ms")
}

// get calls the target over a route and reads the whole answer.
func get(b *testing.B, url string) {
	request, _ := http.NewRequest(http.MethodGet, url+"/", nil)
	request.Header.Set(entry.HeaderAccountKey, testKey)
	request.Header.Set(entry.HeaderService, testService)
	response, err := http.DefaultClient.Do(request)
	qt.Assert(b, err, qt.IsNil)
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	qt.Assert(b, response.StatusCode, qt.Equals, http.StatusOK)
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
