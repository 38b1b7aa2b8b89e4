// Package overlay drives a node's membership view.
package overlay

import (
	"sync"
	"sync/atomic"
	"time"

	"zinniafall/policy/membership"
	"zinniafall/policy/model"
)

type Transport interface {
	Send(to model.NodeAddr, payload []byte) bool
	Keep(nodes []model.NodeAddr)
}

type Options struct {
	Self      membership.Member
	Contacts  []model.NodeAddr
	Transport Transport
	OnFlood   func(membership.Delivered)
	OnChange  func(*membership.Snapshot)
	OnPause   func()
	View      membership.Options
}

type Duty struct {
	mu   sync.Mutex
	opts Options
	v    *membership.View
	snap atomic.Pointer[membership.Snapshot]
	stop chan struct{}
	in   chan func(time.Time) []membership.Outgoing
	done chan struct{}
}

func Start(o Options) *Duty {
	d := &Duty{opts: o, v: membership.New(o.Self, o.View), stop: make(chan struct{}), done: make(chan struct{}), in: make(chan func(time.Time) []membership.Outgoing, 1024)}
	d.snap.Store(d.v.Snapshot())
	go d.run()
	return d
}
func (d *Duty) run() {
	defer close(d.done)
	d.send(d.v.Join(time.Now(), d.opts.Contacts))
	tk := time.NewTicker(50 * time.Millisecond)
	defer tk.Stop()
	for {
		select {
		case <-d.stop:
			return
		case f := <-d.in:
			d.send(f(time.Now()))
		case <-tk.C:
			d.send(d.v.Tick(time.Now()))
		}
		for _, f := range d.v.TakeFloods() {
			d.opts.OnFlood(f)
		}
		s := d.v.Snapshot()
		if s.Revision != d.snap.Load().Revision {
			d.snap.Store(s)
			d.opts.Transport.Keep(d.v.Neighbors())
			d.opts.OnChange(s)
		}
	}
}
func (d *Duty) send(o []membership.Outgoing) {
	for _, x := range o {
		d.opts.Transport.Send(x.To, x.Payload)
	}
}
func (d *Duty) do(f func(time.Time) []membership.Outgoing) {
	select {
	case d.in <- f:
	case <-d.done:
	}
}
func (d *Duty) Deliver(from model.NodeAddr, payload []byte) {
	d.do(func(n time.Time) []membership.Outgoing { o, _ := d.v.Receive(n, from, payload); return o })
}
func (d *Duty) Unreachable(node model.NodeAddr) {
	d.do(func(n time.Time) []membership.Outgoing { return d.v.Unreachable(n, node) })
}
func (d *Duty) Flood(topic membership.Topic, payload []byte, urgent bool) {
	d.do(func(n time.Time) []membership.Outgoing { return d.v.Flood(n, topic, payload, urgent) })
}
func (d *Duty) UpdateSelf(change func(*membership.Member)) {
	d.do(func(n time.Time) []membership.Outgoing { return d.v.UpdateSelf(n, change) })
}
func (d *Duty) Leave()                         { d.do(d.v.Leave) }
func (d *Duty) Snapshot() *membership.Snapshot { return d.snap.Load() }
func (d *Duty) CaughtUp() bool                 { return false }
func (d *Duty) Stop()                          { close(d.stop); <-d.done }

// SetRevision tells which configuration the node applies.
func (d *Duty) SetRevision(revision model.Revision) {
	d.do(func(n time.Time) []membership.Outgoing { return d.v.SetRevision(n, revision) })
}

// Survey asks all nodes to answer as soon as they apply the revision.
func (d *Duty) Survey(revision model.Revision) uint64 {
	reply := make(chan uint64, 1)
	d.do(func(n time.Time) []membership.Outgoing {
		id, out := d.v.Survey(n, revision)
		reply <- id
		return out
	})
	select {
	case id := <-reply:
		return id
	case <-d.done:
		return 0
	}
}

// SurveyResult returns what a survey found so far.
func (d *Duty) SurveyResult(number uint64) membership.SurveyResult {
	reply := make(chan membership.SurveyResult, 1)
	d.do(func(time.Time) []membership.Outgoing {
		result, _ := d.v.SurveyResult(number)
		reply <- result
		return nil
	})
	select {
	case result := <-reply:
		return result
	case <-d.done:
		return membership.SurveyResult{}
	}
}
