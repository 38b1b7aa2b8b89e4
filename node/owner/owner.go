// Package owner is the duty that decides which calls run at the target beside
// this node. One goroutine holds the admission decisions and takes events from
// a bounded ring. An offer that finds the ring full is refused as not run and
// counted; every other event waits for room, so that none is lost.
package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"zinniafall/policy/admission"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/settings"
)

// ringLength is the number of events that wait for the duty.
const ringLength = 1024

// ringRetryAfter is the advice to a call that found the ring full.
const ringRetryAfter = 50 * time.Millisecond

var ringFull = metrics.NewCounter(`zinniafall_owner_ring_full_total`)

// Options configure an Owner.
type Options struct {
	// Admission tunes the decisions.
	Admission admission.Options
	// Process is the identity that reports carry.
	Process model.ProcessID
	// Revision returns the configuration that the node applies.
	Revision func() model.Revision
	// Accounts looks up weights and limits.
	Accounts func(model.Account) settings.Account
	// OnStateChange is told on the duty's goroutine when the target's state changes.
	OnStateChange func(model.TargetState)
}

// Owner admits calls to the target.
type Owner struct {
	opts   Options
	ring   chan event
	stop   chan struct{}
	done   chan struct{}
	ticket atomic.Uint64

	mu     sync.Mutex
	report model.Report
	// completed is the time of the target's last completion.
	completed time.Time
	// ending counts the calls that have ended and that the duty has not
	// counted out yet.
	ending int
}

// Start runs the duty until Stop.
func Start(opts Options) *Owner {
	o := &Owner{opts: opts, ring: make(chan event, ringLength), stop: make(chan struct{}), done: make(chan struct{})}
	d := &duty{owner: o, decisions: admission.New(opts.Admission), waiting: make(map[admission.Ticket]chan admission.Release)}
	d.decisions.SetAccounts(opts.Accounts)
	d.publish(time.Now())
	go d.run()
	return o
}

// Stop ends the duty. Calls that still wait are refused as not run.
func (o *Owner) Stop() {
	close(o.stop)
	<-o.done
}

// Report returns the next statement about the target. Each one that is handed
// out has a sequence of its own, so that an entry can tell from the steps how
// many others are told.
func (o *Owner) Report() model.Report {
	o.mu.Lock()
	o.report.Sequence++
	report := o.report
	ending, completed := o.ending, o.completed
	o.mu.Unlock()
	report.InFlight -= uint16(min(ending, int(report.InFlight)))
	if !completed.IsZero() {
		report.ServiceTime = admission.DecayServiceTime(report.ServiceTime, time.Since(completed))
	}
	report.Revision = o.opts.Revision()
	return report
}

// Load returns the present figures of the target for this node's own use.
func (o *Owner) Load() model.Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.report
}

// Slot is a call that holds a slot until Finish.
type Slot struct {
	owner  *Owner
	ticket admission.Ticket
}

// Finish gives the slot back. A report that is made from now on does not count
// the call any more.
func (r *Slot) Finish(outcome admission.Outcome) {
	r.owner.mu.Lock()
	r.owner.ending++
	r.owner.mu.Unlock()
	r.owner.send(&finishEvent{ticket: r.ticket, outcome: outcome})
}

// AdmitRequest is what a call needs to be admitted.
type AdmitRequest struct {
	Account  model.Account
	Deadline time.Time
	Isolated bool
}

// Admit waits until the call may start. The problem says that the call did
// not run.
func (o *Owner) Admit(ctx context.Context, ask AdmitRequest) (*Slot, *problem.Error) {
	ticket := admission.Ticket(o.ticket.Add(1))
	offer := &offerEvent{
		call:  admission.Call{Ticket: ticket, Account: ask.Account, Deadline: ask.Deadline, Isolated: ask.Isolated},
		reply: make(chan admission.Release, 1),
	}
	select {
	case o.ring <- offer:
	default:
		ringFull.Inc()
		return nil, problem.New(problem.Overloaded, model.RunNo, "the owner has too many events to handle").After(ringRetryAfter)
	}
	running := &Slot{owner: o, ticket: ticket}
	select {
	case release := <-offer.reply:
		return admitted(running, release)
	case <-ctx.Done():
		return nil, o.abandon(running, offer)
	case <-o.done:
		return nil, problem.New(problem.Draining, model.RunNo, "the node has stopped")
	}
}

func admitted(running *Slot, release admission.Release) (*Slot, *problem.Error) {
	if release.Refusal != nil {
		return nil, release.Refusal
	}
	return running, nil
}

// abandon withdraws an offer whose caller left. When the call was released at
// the same moment its slot is given back unused.
func (o *Owner) abandon(running *Slot, offer *offerEvent) *problem.Error {
	withdrawn := make(chan struct{})
	o.send(&abandonEvent{ticket: running.ticket, withdrawn: withdrawn})
	select {
	case <-withdrawn:
	case <-o.done:
	}
	select {
	case release := <-offer.reply:
		if release.Refusal == nil {
			running.Finish(admission.Outcome{Result: admission.Abandoned})
		}
	default:
	}
	return problem.New(problem.Canceled, model.RunNo, "the caller closed the request while it waited")
}

// Announce takes in an announcement or renewal of the target.
func (o *Owner) Announce(a admission.Announcement) { o.send(&announceEvent{announcement: a}) }

// Drain records that the target leaves.
func (o *Owner) Drain() { o.send(&changeEvent{change: (*admission.Owner).Drain}) }

// Gone records that the target withdrew or died.
func (o *Owner) Gone() { o.send(&changeEvent{change: (*admission.Owner).Gone}) }

// SetStopping records that the node stops.
func (o *Owner) SetStopping() { o.send(&changeEvent{change: (*admission.Owner).SetStopping}) }

// SetDomainOut records whether the failure domain is out of service.
func (o *Owner) SetDomainOut(out bool) {
	o.send(&changeEvent{change: func(a *admission.Owner, now time.Time) []admission.Release { return a.SetDomainOut(now, out) }})
}

// SetFresh records whether the node's view is recent enough to decide on.
func (o *Owner) SetFresh(fresh bool) {
	o.send(&changeEvent{change: func(a *admission.Owner, now time.Time) []admission.Release { return a.SetFresh(now, fresh) }})
}

// SetMeasureRate sets the budget of measuring requests a second.
func (o *Owner) SetMeasureRate(perSecond float64) {
	o.send(&changeEvent{change: func(a *admission.Owner, _ time.Time) []admission.Release {
		a.SetMeasureRate(perSecond)
		return nil
	}})
}

// AllowMeasure spends one measuring request from the target's budget.
func (o *Owner) AllowMeasure() bool {
	reply := make(chan bool, 1)
	o.send(&measureEvent{reply: reply})
	select {
	case allowed := <-reply:
		return allowed
	case <-o.done:
		return false
	}
}

// send waits for room in the ring.
func (o *Owner) send(e event) {
	select {
	case o.ring <- e:
	case <-o.done:
	}
}
