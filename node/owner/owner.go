// Package owner decides which calls run at the target of this node. One
// goroutine holds the admission state and processes events from a bounded
// queue. An offer that finds the queue full is refused as not run and
// counted; every other event waits for room, so that none is lost.
package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"zinniafall/policy/admission"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/settings"
	"zinniafall/policy/statedlimit"
)

// eventQueueLength is the capacity of the event queue.
const eventQueueLength = 1024

// queueFullRetryAfter is the retry delay suggested to a call that found the
// event queue full.
const queueFullRetryAfter = 50 * time.Millisecond

var queueFullTotal = metrics.NewCounter(`zinniafall_owner_ring_full_total`)

// Options configures an Owner.
type Options struct {
	// Admission configures the admission decisions.
	Admission admission.Options
	// Process identifies this process in reports.
	Process model.ProcessID
	// Revision returns the revision of the applied configuration.
	Revision func() model.Revision
	// Accounts returns the weight and the limits of an account.
	Accounts func(model.Account) settings.Account
	// OnStateChange is called on the goroutine of the event loop when the state
	// of the target changes.
	OnStateChange func(model.TargetState)
}

// Owner admits calls to the target. It is safe for concurrent use.
type Owner struct {
	opts   Options
	events chan event
	stop   chan struct{}
	done   chan struct{}
	// ticket is the last ticket that was assigned.
	ticket atomic.Uint64

	mu sync.Mutex
	// report is the last report that the event loop published. Its sequence
	// number is that of the last report returned by Report.
	report model.Report
	// completed is the time of the last completed call.
	completed time.Time
	// pendingFinishes is the number of finished calls whose event has not been
	// processed yet.
	pendingFinishes int
}

// Start starts the event loop, which runs until Stop.
func Start(opts Options) *Owner {
	o := &Owner{opts: opts, events: make(chan event, eventQueueLength), stop: make(chan struct{}), done: make(chan struct{})}
	l := &eventLoop{owner: o, decisions: admission.New(opts.Admission), waiting: make(map[admission.Ticket]chan admission.Release)}
	l.decisions.SetAccounts(opts.Accounts)
	l.publish(time.Now())
	go l.run()
	return o
}

// Stop stops the event loop and returns when it has ended. Queued calls are
// refused as not run. It may be called only once.
func (o *Owner) Stop() {
	close(o.stop)
	<-o.done
}

// Report returns a report of the target to send to an entry. Each report has
// its own sequence number, so that an entry can infer from the gaps how many
// reports go to other entries. InFlight already excludes the calls in
// pendingFinishes, and the service time is decayed to now.
func (o *Owner) Report() model.Report {
	o.mu.Lock()
	o.report.Sequence++
	report := o.report
	pending, completed := o.pendingFinishes, o.completed
	o.mu.Unlock()
	report.InFlight -= uint16(min(pending, int(report.InFlight)))
	if !completed.IsZero() {
		report.ServiceTime = admission.DecayServiceTime(report.ServiceTime, time.Since(completed))
	}
	report.Revision = o.opts.Revision()
	return report
}

// Load returns the current report of the target for use inside this node. It
// uses up no sequence number.
func (o *Owner) Load() model.Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.report
}

// Slot is a slot at the target that an admitted call holds until Finish.
type Slot struct {
	owner  *Owner
	ticket admission.Ticket
}

// Finish releases the slot. Reports made from now on exclude the call.
func (s *Slot) Finish(outcome admission.Outcome) {
	s.owner.mu.Lock()
	s.owner.pendingFinishes++
	s.owner.mu.Unlock()
	s.owner.send(&finishEvent{ticket: s.ticket, outcome: outcome})
}

// Statement is what an answer states about the target.
type Statement struct {
	// Limit is the stated limit, in requests per second, or statedlimit.Unlimited.
	Limit float64
	// HasLimit is false if the limit could not be read.
	HasLimit bool
	// SentAt is when the request was sent.
	SentAt time.Time
	// Leaving is true if the target states that it leaves.
	Leaving bool
}

// RecordAnswer records what the answer to the call states about the target.
func (s *Slot) RecordAnswer(st Statement) {
	s.owner.send(&changeEvent{change: func(a *admission.Owner, now time.Time) []admission.Release {
		before := a.StatedLimit()
		var releases []admission.Release
		if st.HasLimit {
			releases = a.RecordLimit(now, s.ticket, statedlimit.Statement{Limit: st.Limit, SentAt: st.SentAt})
		}
		if after := a.StatedLimit(); after != before {
			logLimit(after)
		}
		if st.Leaving {
			releases = append(releases, a.RecordLeaving(now, s.ticket)...)
		}
		return releases
	}})
}

func logLimit(limit float64) {
	if limit == statedlimit.Unlimited {
		klog.Info("target: The target states no limit any more.")
		return
	}
	klog.Infof("target: The target states a limit of %g requests per second.", limit)
}

// AdmitRequest describes a call that asks for a slot.
type AdmitRequest struct {
	Account  model.Account
	Deadline time.Time
	Isolated bool
}

// Admit waits for a slot for the call until the context ends or the owner
// stops. If it returns a problem, the call did not run; otherwise the caller
// must call Finish on the slot.
func (o *Owner) Admit(ctx context.Context, request AdmitRequest) (*Slot, *problem.Error) {
	ticket := admission.Ticket(o.ticket.Add(1))
	offer := &offerEvent{
		call:  admission.Call{Ticket: ticket, Account: request.Account, Deadline: request.Deadline, Isolated: request.Isolated},
		reply: make(chan admission.Release, 1),
	}
	select {
	case o.events <- offer:
	default:
		queueFullTotal.Inc()
		return nil, problem.New(problem.Overloaded, model.RunNo, "the owner has too many events to handle").After(queueFullRetryAfter)
	}
	slot := &Slot{owner: o, ticket: ticket}
	select {
	case release := <-offer.reply:
		return slotOrRefusal(slot, release)
	case <-ctx.Done():
		return nil, o.abandon(ctx, slot, offer)
	case <-o.done:
		return nil, problem.New(problem.Draining, model.RunNo, "the node has stopped")
	}
}

func slotOrRefusal(slot *Slot, release admission.Release) (*Slot, *problem.Error) {
	if release.Refusal != nil {
		return nil, release.Refusal
	}
	return slot, nil
}

// abandon withdraws an offer whose caller left. If the call got its slot at
// the same moment, the slot is released unused. It waits until the event loop
// has processed the withdrawal or has ended, and always returns a problem.
func (o *Owner) abandon(ctx context.Context, slot *Slot, offer *offerEvent) *problem.Error {
	withdrawn := make(chan struct{})
	o.send(&abandonEvent{ticket: slot.ticket, withdrawn: withdrawn})
	select {
	case <-withdrawn:
	case <-o.done:
	}
	select {
	case release := <-offer.reply:
		if release.Refusal == nil {
			slot.Finish(admission.Outcome{Result: admission.Abandoned})
		}
	default:
	}
	return problem.Ended(ctx.Err(), model.RunNo, "the call waited for a slot")
}

// Announce records an announcement of the target or its renewal.
func (o *Owner) Announce(a admission.Announcement) { o.send(&announceEvent{announcement: a}) }

// Drain records that the target is leaving.
func (o *Owner) Drain() { o.send(&changeEvent{change: (*admission.Owner).Drain}) }

// Withdraw records that the target leaves at once and does not come back.
func (o *Owner) Withdraw() { o.send(&changeEvent{change: (*admission.Owner).Withdraw}) }

// Leave records that a process of the target, which may be the present one, has said that it
// leaves.
func (o *Owner) Leave(instance string) {
	o.send(&changeEvent{change: func(a *admission.Owner, now time.Time) []admission.Release { return a.Leave(now, instance) }})
}

// Gone records that the target died.
func (o *Owner) Gone() { o.send(&changeEvent{change: (*admission.Owner).Gone}) }

// SetStopping records that the node is stopping.
func (o *Owner) SetStopping() { o.send(&changeEvent{change: (*admission.Owner).SetStopping}) }

// SetDomainOut records whether the failure domain is out of service.
func (o *Owner) SetDomainOut(out bool) {
	o.send(&changeEvent{change: func(a *admission.Owner, now time.Time) []admission.Release { return a.SetDomainOut(now, out) }})
}

// SetFresh records whether the node's view of the other nodes is recent
// enough to start calls.
func (o *Owner) SetFresh(fresh bool) {
	o.send(&changeEvent{change: func(a *admission.Owner, now time.Time) []admission.Release { return a.SetFresh(now, fresh) }})
}

// SetProbeRate sets the budget of health and load requests per second to
// the target.
func (o *Owner) SetProbeRate(perSecond float64) {
	o.send(&changeEvent{change: func(a *admission.Owner, _ time.Time) []admission.Release {
		a.SetProbeRate(perSecond)
		return nil
	}})
}

// AllowProbe takes one health or load request from the budget and reports
// whether it may be sent. It returns false once the owner has stopped.
func (o *Owner) AllowProbe() bool {
	reply := make(chan bool, 1)
	o.send(&probeEvent{reply: reply})
	select {
	case allowed := <-reply:
		return allowed
	case <-o.done:
		return false
	}
}

// send queues an event and waits for room in the queue. Once the owner has
// stopped, the event may be dropped.
func (o *Owner) send(e event) {
	select {
	case o.events <- e:
	case <-o.done:
	}
}
