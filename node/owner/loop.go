package owner

import (
	"time"

	"zinniafall/policy/admission"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// event is an input of the event loop. apply returns the decisions on queued
// calls that result from it.
type event interface {
	apply(l *eventLoop, now time.Time) []admission.Release
}

// offerEvent asks for a slot.
type offerEvent struct {
	call  admission.Call
	reply chan admission.Release
}

func (e *offerEvent) apply(l *eventLoop, now time.Time) []admission.Release {
	decision := l.decisions.Offer(now, e.call)
	switch decision.Verdict {
	case admission.Start:
		e.reply <- admission.Release{Ticket: e.call.Ticket}
	case admission.Wait:
		l.waiting[e.call.Ticket] = e.reply
	default:
		e.reply <- admission.Release{Ticket: e.call.Ticket, Refusal: decision.Refusal}
	}
	return nil
}

// finishEvent releases a slot.
type finishEvent struct {
	ticket  admission.Ticket
	outcome admission.Outcome
}

func (e *finishEvent) apply(l *eventLoop, now time.Time) []admission.Release {
	l.finished++
	return l.decisions.Finish(now, e.ticket, e.outcome)
}

// abandonEvent withdraws a call that may still be queued.
type abandonEvent struct {
	ticket    admission.Ticket
	withdrawn chan struct{}
}

func (e *abandonEvent) apply(l *eventLoop, now time.Time) []admission.Release {
	releases := l.decisions.Abandon(now, e.ticket)
	delete(l.waiting, e.ticket)
	close(e.withdrawn)
	return releases
}

// announceEvent passes on an announcement of the target.
type announceEvent struct{ announcement admission.Announcement }

func (e *announceEvent) apply(l *eventLoop, now time.Time) []admission.Release {
	return l.decisions.Announce(now, e.announcement)
}

// changeEvent changes state that admission depends on.
type changeEvent struct {
	change func(*admission.Owner, time.Time) []admission.Release
}

func (e *changeEvent) apply(l *eventLoop, now time.Time) []admission.Release {
	return e.change(l.decisions, now)
}

// measureEvent asks whether a health or load request may be sent to the
// target.
type measureEvent struct{ reply chan bool }

func (e *measureEvent) apply(l *eventLoop, now time.Time) []admission.Release {
	e.reply <- l.decisions.AllowMeasure(now)
	return nil
}

// eventLoop is the state that only the goroutine of the event loop uses.
type eventLoop struct {
	owner     *Owner
	decisions *admission.Owner
	// waiting holds the reply channels of the queued calls. Each is buffered and
	// receives at most one release, so a send never blocks the event loop.
	waiting map[admission.Ticket]chan admission.Release
	// state is the last state that was passed to OnStateChange.
	state model.TargetState
	// finished is the number of calls that finished since the last publication.
	finished int
}

// run processes events and due ticks until the owner stops.
func (l *eventLoop) run() {
	defer close(l.owner.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var releases []admission.Release
		select {
		case <-l.owner.stop:
			l.refuseWaiting()
			return
		case e := <-l.owner.events:
			releases = e.apply(l, time.Now())
		case <-timer.C:
			releases = l.decisions.Tick(time.Now())
		}
		now := time.Now()
		l.release(releases)
		l.publish(now)
		l.resetTimer(timer, now)
	}
}

// release sends the decisions to the queued calls that they concern.
func (l *eventLoop) release(releases []admission.Release) {
	for _, r := range releases {
		if reply, ok := l.waiting[r.Ticket]; ok {
			delete(l.waiting, r.Ticket)
			reply <- r
		}
	}
}

// publish stores the current report for other goroutines and calls
// OnStateChange if the state of the target changed.
func (l *eventLoop) publish(now time.Time) {
	report := l.decisions.Report(now)
	report.Process = l.owner.opts.Process
	l.owner.mu.Lock()
	report.Sequence = l.owner.report.Sequence
	l.owner.report = report
	l.owner.completed = l.decisions.LastCompleted()
	l.owner.pendingFinishes -= l.finished
	l.finished = 0
	l.owner.mu.Unlock()
	if report.State != l.state {
		l.state = report.State
		if l.owner.opts.OnStateChange != nil {
			l.owner.opts.OnStateChange(report.State)
		}
	}
}

// minTick keeps the event loop from spinning when a tick stays due.
const minTick = time.Millisecond

// resetTimer sets the timer to the time of the next tick.
func (l *eventLoop) resetTimer(timer *time.Timer, now time.Time) {
	next := l.decisions.NextTick(now)
	if next.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(max(next.Sub(now), minTick))
}

// refuseWaiting refuses all queued calls because the node has stopped.
func (l *eventLoop) refuseWaiting() {
	for ticket, reply := range l.waiting {
		reply <- admission.Release{Ticket: ticket, Refusal: problem.New(problem.Draining, model.RunNo, "the node has stopped")}
	}
}
