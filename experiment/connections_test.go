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

// idleHandler rejects calls and ignores control messages.
type idleHandler struct{}

func (idleHandler) ServeRequest(_ context.Context, _ model.NodeAddr, s *peer.Stream) { s.Fail() }
func (idleHandler) HandleControl(model.NodeAddr, []byte)                             {}
func (idleHandler) Unreachable(model.NodeAddr)                                       {}

func listen(b *testing.B) *peer.Transport {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	addr := conn.LocalAddr().String()
	_ = conn.Close()
	secret := trust.Secret(bytes.Repeat([]byte{7}, trust.MinSecretBytes))
	identity, err := trust.NewIdentity(model.NodeAddr(addr), []trust.Secret{secret})
	qt.Assert(b, err, qt.IsNil)
	transport, err := peer.Listen(peer.Options{Self: model.NodeAddr(addr), Listen: addr, Identity: identity, Handler: idleHandler{}})
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(transport.Close)
	return transport
}

// memoryInUse returns the memory in use by heap and stacks, in bytes, after a
// garbage collection.
func memoryInUse() float64 {
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

// idleTime is how long the open connections stay idle during the measurement.
const idleTime = 5 * time.Second

// BenchmarkConnections opens connections from one transport to others in the same
// process. For each connection it reports the memory of both ends and their
// processor time, while opening and while idle. Run it with -benchtime 1x.
func BenchmarkConnections(b *testing.B) {
	for _, n := range []int{25, 50, 100, 200, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			hub := listen(b)
			peers := make([]*peer.Transport, n)
			for i := range peers {
				peers[i] = listen(b)
			}
			memoryBefore, cpuBefore := memoryInUse(), cpuTime()
			for _, p := range peers {
				hub.Send(model.NodeAddr(p.Addr()), []byte("hello"))
			}
			for _, p := range peers {
				for p.Connections() == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			cpuOpened := cpuTime()
			time.Sleep(idleTime)
			cpuIdled := cpuTime()
			b.ReportMetric((memoryInUse()-memoryBefore)/float64(n)/1024, "KB/connection")
			b.ReportMetric((cpuOpened-cpuBefore).Seconds()*1000/float64(n), "cpu-ms/dial")
			b.ReportMetric(float64((cpuIdled-cpuOpened).Microseconds())/idleTime.Seconds()/float64(n), "idle-cpu-us/s")
		})
	}
}
