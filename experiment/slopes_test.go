package experiment

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/peer"
	"zinniafall/node/trust"
	"zinniafall/policy/model"
)

// idle takes no calls and ignores control messages.
type idle struct{}

func (idle) ServeRequest(_ context.Context, _ model.NodeAddr, s *peer.Stream) { s.Fail() }
func (idle) HandleControl(model.NodeAddr, []byte)                             {}
func (idle) Unreachable(model.NodeAddr)                                       {}

func listen(b *testing.B) *peer.Transport {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	addr := conn.LocalAddr().String()
	_ = conn.Close()
	secret := trust.Secret(bytes.Repeat([]byte{7}, trust.MinSecretBytes))
	identity, err := trust.NewIdentity(model.NodeAddr(addr), []trust.Secret{secret})
	qt.Assert(b, err, qt.IsNil)
	transport, err := peer.Listen(peer.Options{Self: model.NodeAddr(addr), Listen: addr, Identity: identity, Handler: idle{}})
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(transport.Close)
	return transport
}

// memory returns what the heap and the stacks hold, in bytes.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

func cpuTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// idleTime is the time for which open connections are watched.
const idleTime = 5 * time.Second

// BenchmarkConnections opens connections from one node to others of the same
// process and reports memory and processor time of both ends of each: at the
// opening, and idle. Run it with -benchtime 1x.
func BenchmarkConnections(b *testing.B) {
	for _, n := range []int{25, 50, 100, 200, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			hub := listen(b)
			others := make([]*peer.Transport, n)
			for i := range others {
				others[i] = listen(b)
			}
			before, cpu := memory(), cpuTime()
			for _, other := range others {
				hub.Send(model.NodeAddr(other.Addr()), []byte("hello"))
			}
			for _, other := range others {
				for other.Connections() == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			opened := cpuTime()
			time.Sleep(idleTime)
			idled := cpuTime()
			b.ReportMetric((memory()-before)/float64(n)/1024, "KB/connection")
			b.ReportMetric((opened-cpu).Seconds()*1000/float64(n), "cpu-ms/dial")
			b.ReportMetric(float64((idled-opened).Microseconds())/idleTime.Seconds()/float64(n), "idle-cpu-us/s")
		})
	}
}
