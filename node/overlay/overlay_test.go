package overlay

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"zinniafall/policy/membership"
	"zinniafall/policy/model"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// hub delivers packets between runners without delay.
type hub struct {
	mu      sync.Mutex
	runners map[model.NodeAddr]*Runner
}

func (h *hub) put(node model.NodeAddr, r *Runner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runners[node] = r
}

// port is the transport of one runner.
type port struct {
	hub       *hub
	self      model.NodeAddr
	connected atomic.Int64
}

func (p *port) Send(to model.NodeAddr, payload []byte) bool {
	p.hub.mu.Lock()
	defer p.hub.mu.Unlock()
	r := p.hub.runners[to]
	if r == nil {
		return false
	}
	r.Deliver(p.self, payload)
	return true
}

func (p *port) KeepConnections(nodes []model.NodeAddr) { p.connected.Store(int64(len(nodes))) }

func address(i int) model.NodeAddr { return model.NodeAddr(fmt.Sprintf("127.0.0.1:%d", 7000+i)) }

func self(i int) membership.Member {
	m := membership.Member{Node: address(i), Incarnation: 1, Domain: "ne-a", Service: "permits"}
	m.Process[0] = byte(i)
	return m
}

func (h *hub) start(t *testing.T, i int, change func(*Options)) (*Runner, *port) {
	p := &port{hub: h, self: address(i)}
	options := Options{Self: self(i), Contacts: []model.NodeAddr{address(0)}, Transport: p}
	if change != nil {
		change(&options)
	}
	r := Start(options)
	h.put(address(i), r)
	t.Cleanup(r.Stop)
	return r, p
}

func newHub() *hub { return &hub{runners: make(map[model.NodeAddr]*Runner)} }

func TestRunnersShareAView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHub()
		var flooded [5]atomic.Int64
		var changes atomic.Int64
		var runners []*Runner
		var ports []*port
		for i := range 5 {
			r, p := h.start(t, i, func(o *Options) {
				o.OnFlood = func(m membership.Message) {
					flooded[i].Add(1)
					if i == 4 && m.Topic == membership.TopicConfiguration {
						runners[4].Flood(membership.TopicBeacon, nil, true)
					}
				}
				o.OnChange = func(*membership.Snapshot) { changes.Add(1) }
			})
			runners, ports = append(runners, r), append(ports, p)
		}
		time.Sleep(10 * time.Second)
		for i, r := range runners {
			c.Assert(r.Snapshot().Members, qt.HasLen, 5)
			c.Assert(r.CaughtUp() && r.Status().Joined, qt.IsTrue)
			connected := ports[i].connected.Load()
			c.Assert(connected >= 2 && connected <= 4, qt.IsTrue)
		}
		runners[1].Flood(membership.TopicConfiguration, []byte("revision"), true)
		runners[1].UpdateSelf(func(m *membership.Member) { m.Slots = 12 })
		runners[2].SetRevision(4)
		survey := runners[0].Survey(4)
		time.Sleep(2 * time.Second)
		for i := range runners {
			want := int64(2)
			if i == 1 || i == 4 {
				want = 1
			}
			c.Assert(flooded[i].Load(), qt.Equals, want)
		}
		c.Assert(runners[4].Snapshot().ByService["permits"][1].Slots, qt.Equals, uint16(12))
		c.Assert(runners[0].SurveyResult(survey).InForce, qt.DeepEquals, []model.NodeAddr{address(2)})
		runners[3].Leave()
		time.Sleep(time.Second)
		c.Assert(runners[0].Snapshot().ByService["permits"], qt.HasLen, 4)
		runners[3].Stop()
		time.Sleep(time.Second)
		c.Assert(runners[0].Snapshot().Members, qt.HasLen, 4)
		c.Assert(changes.Load() > 0, qt.IsTrue)
		runners[3].Leave()
	})
}

// A callback blocks the goroutine, which has the same effect as a pause of the
// process.
func TestBlockedGoroutineIsReportedAsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHub()
		var paused atomic.Int64
		a, _ := h.start(t, 0, func(o *Options) { o.Contacts = nil })
		b, _ := h.start(t, 1, func(o *Options) {
			o.OnFlood = func(membership.Message) { time.Sleep(2 * time.Second) }
			o.OnPause = func() { paused.Add(1) }
		})
		time.Sleep(5 * time.Second)
		a.Flood(membership.TopicBeacon, nil, true)
		time.Sleep(3 * time.Second)
		c.Assert(paused.Load(), qt.Equals, int64(1))
		c.Assert(b.CaughtUp(), qt.IsTrue)
	})
}

func TestFullQueueDropsOldestPacket(t *testing.T) {
	c := qt.New(t)
	before := packetsDropped.Get()
	r := &Runner{packets: make(chan packet, 2)}
	for i := range 5 {
		r.Deliver(address(i), []byte{1})
	}
	c.Assert(packetsDropped.Get()-before, qt.Equals, uint64(3))
	c.Assert((<-r.packets).from, qt.Equals, address(3))
	c.Assert((<-r.packets).from, qt.Equals, address(4))
}

func TestMalformedPacketsAreRefusedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		before := packetsRefused.Get()
		r, _ := newHub().start(t, 0, nil)
		r.Deliver(address(1), []byte("GET / HTTP/1.1"))
		r.Deliver(address(1), make([]byte, membership.MaxPacket+1))
		r.Unreachable(address(2))
		time.Sleep(time.Second)
		c.Assert(packetsRefused.Get()-before, qt.Equals, uint64(2))
	})
}

func TestReplacedProcessCallsOnSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		h := newHub()
		a, _ := h.start(t, 0, func(o *Options) { o.Contacts = nil })
		var superseded atomic.Int64
		old, _ := h.start(t, 1, func(o *Options) { o.OnSuperseded = func() { superseded.Add(1) } })
		time.Sleep(5 * time.Second)
		h.start(t, 1, func(o *Options) { o.Self.Incarnation, o.Self.Process[1] = 2, 9 })
		time.Sleep(5 * time.Second)
		h.put(address(1), old)
		time.Sleep(5 * time.Second)
		c.Assert(superseded.Load(), qt.Equals, int64(1))
		c.Assert(a.Snapshot().Members[1].Incarnation, qt.Equals, model.Incarnation(2))
	})
}
