package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"zinniafall/policy/model"
)

var benchmarkSizes = []int{14, 100, 500, 1000, 2200}

func bytesOut(s Stats) uint64 { return s.BytesOut }

// measureTraffic runs the network until done or for d. It returns the bytes per
// second sent by the average node, and by the busiest node in any ten-second
// window.
func (n *network) measureTraffic(d time.Duration, done func() bool) (average, busiest float64, took time.Duration) {
	const window = 10 * time.Second
	live := n.live()
	start := n.stats(bytesOut)
	for took < d {
		before := make([]uint64, len(live))
		for i, f := range live {
			before[i] = f.view.Stats().BytesOut
		}
		took += n.run(window, nil)
		for i, f := range live {
			busiest = max(busiest, float64(f.view.Stats().BytesOut-before[i])/window.Seconds())
		}
		if done != nil && done() {
			break
		}
	}
	average = float64(n.stats(bytesOut)-start) / float64(len(live)) / took.Seconds()
	return average, busiest, took
}

// BenchmarkIdle reports the traffic and CPU time of a fleet without membership
// changes, with no beacons and with ten per second.
func BenchmarkIdle(b *testing.B) {
	for _, beacons := range []int{0, 10} {
		for _, size := range benchmarkSizes {
			b.Run(fmt.Sprintf("nodes=%d/beacons=%d", size, beacons), func(b *testing.B) {
				for b.Loop() {
					n := convergedFleet(1, size)
					n.run(5*time.Second, nil)
					handled, began := n.delivered, time.Now()
					bytes := n.stats(bytesOut)
					for i := range 20 * beacons {
						n.send(address(i%size), n.nodes[address(i%size)].view.Flood(n.now, TopicBeacon, make([]byte, 40), true))
						n.run(time.Second/time.Duration(beacons), nil)
					}
					if beacons == 0 {
						n.run(20*time.Second, nil)
					}
					perNode := float64(size) * 20
					b.ReportMetric(float64(n.stats(bytesOut)-bytes)/perNode, "bytes/node-s")
					b.ReportMetric(float64(time.Since(began).Nanoseconds())/perNode, "ns/node-s")
					b.ReportMetric(float64(n.delivered-handled)/perNode, "packets/node-s")
				}
			})
		}
	}
}

// BenchmarkStorm reports how long views take to converge after many changes at
// once.
func BenchmarkStorm(b *testing.B) {
	changes := []struct {
		name string
		make func(n *network, size int)
	}{
		{"one-crash", func(n *network, size int) { n.nodes[address(3)].dead = true }},
		{"tenth-lost", func(n *network, size int) {
			for i := 0; i < size; i += 10 {
				n.nodes[address(i)].dead = true
			}
		}},
		{"tenth-replaced", func(n *network, size int) {
			for i := 0; i < size; i += 10 {
				n.start(i, 2, address(1), address(2), address(3), address(4))
			}
		}},
		{"third-cut-off-and-healed", func(n *network, size int) {
			side := func(a model.NodeAddr) bool { return key(a)%3 == 0 }
			n.cut = func(from, to model.NodeAddr) bool { return side(from) != side(to) }
			n.run(time.Minute, nil)
			b.Logf("%d nodes: declared dead at node 0: %d", size, n.nodes[address(0)].view.table.dead)
			n.cut = nil
		}},
	}
	for _, s := range changes {
		for _, size := range benchmarkSizes {
			b.Run(fmt.Sprintf("%s/nodes=%d", s.name, size), func(b *testing.B) {
				for b.Loop() {
					n := convergedFleet(1, size)
					n.run(5*time.Second, nil)
					s.make(n, size)
					average, busiest, took := n.measureTraffic(5*time.Minute, n.converged)
					b.ReportMetric(took.Seconds(), "s-to-agree")
					b.ReportMetric(average, "bytes/node-s")
					b.ReportMetric(busiest, "busiest-bytes/s")
					b.ReportMetric(float64(n.stats(deadDeclared)), "verdicts")
				}
			})
		}
	}
}

// BenchmarkMemory reports the heap used by one view per member.
func BenchmarkMemory(b *testing.B) {
	const size = 2200
	heapNow := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heapNow()
		v := New(member(0, 1), Options{})
		now := time.Now()
		for i := range size {
			v.table.apply(now, member(i, 1))
		}
		s := v.Snapshot()
		b.ReportMetric(float64(heapNow()-before)/size, "bytes/member")
		runtime.KeepAlive(s)
		runtime.KeepAlive(v)
	}
}

// BenchmarkPacket reports the cost of one tick, or of receiving one packet of a
// kind, in a view of 2,200 members.
func BenchmarkPacket(b *testing.B) {
	changed := member(9, 1)
	kinds := map[string]func(i int) *packet{
		"tick":      func(int) *packet { return nil },
		"heartbeat": func(int) *packet { return &packet{Echo: 1, EchoDelay: 1} },
		"flood": func(i int) *packet {
			m := flood{Origin: address(9), Incarnation: 1, Sequence: uint64(i), Topic: TopicBeacon, Urgent: true, Payload: make([]byte, 40)}
			return &packet{Floods: []flood{m}}
		},
		"record": func(i int) *packet {
			changed.Version = uint32(i)
			return &packet{Updates: []Member{changed}}
		},
	}
	for name, kind := range kinds {
		b.Run(name, func(b *testing.B) {
			now := time.Now()
			v := largeView(now)
			for i := 0; b.Loop(); i++ {
				now = now.Add(tickInterval)
				p := kind(i)
				if p == nil {
					v.Tick(now)
					continue
				}
				p.Incarnation, p.Sent = 1, uint64(i+1000)
				if _, err := v.Receive(now, v.neighbors[0], p.encode()); err != nil {
					b.Fatal(err)
				}
				v.TakeFloods()
			}
		})
	}
}

// BenchmarkSnapshot reports the cost of a snapshot after one change.
func BenchmarkSnapshot(b *testing.B) {
	v := largeView(time.Now())
	for b.Loop() {
		v.table.revision++
		v.Snapshot()
	}
}

func largeView(now time.Time) *View {
	v := New(member(0, 1), Options{})
	v.Join(now, nil)
	for i := range 2200 {
		v.table.apply(now, member(i, 1))
	}
	v.refreshNeighbors(now)
	return v
}
