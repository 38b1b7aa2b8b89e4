package owner

import (
	"time"

	"zinniafall/policy/admission"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// event is one input of the duty. It returns the queued calls whose wait ends.
type event interface {
	apply(d *duty, now time.Time) []admission.Release
}

// offerEvent asks for a slot.
type offerEvent struct {
	call  admission.Call
	reply chan admission.Release
}

func (e *offerEvent) apply(d *duty, now time.Time) []admission.Release {
	decision := d.decisions.Offer(now, e.call)
	switch decision.Verdict {
	case admission.Start:
		e.reply <- admission.Release{Ticket: e.call.Ticket}
	case admission.Wait:
		d.waiting[e.call.Ticket] = e.reply
	default:
		e.reply <- admission.Release{Ticket: e.call.Ticket, Refusal: decision.Refusal}
	}
	return nil
}

// finishEvent gives a slot back.
type finishEvent struct {
	ticket  admission.Ticket
	outcome admission.Outcome
}

func (e *finishEvent) apply(d *duty, now time.Time) []admission.Release {
	d.ended++
	return d.decisions.Finish(now, e.ticket, e.outcome)
}

// abandonEvent withdraws a call that may still wait.
type abandonEvent struct {
	ticket    admission.Ticket
	withdrawn chan struct{}
}

func (e *abandonEvent) apply(d *duty, now time.Time) []admission.Release {
	releases := d.decisions.Abandon(now, e.ticket)
	delete(d.waiting, e.ticket)
	close(e.withdrawn)
	return releases
}

// announceEvent carries an announcement of the target.
type announceEvent struct{ announcement admission.Announcement }

func (e *announceEvent) apply(d *duty, now time.Time) []admission.Release {
	return d.decisions.Announce(now, e.announcement)
}

// changeEvent changes what the decisions depend on.
type changeEvent struct {
	change func(*admission.Owner, time.Time) []admission.Release
}

func (e *changeEvent) apply(d *duty, now time.Time) []admission.Release {
	return e.change(d.decisions, now)
}

// measureEvent asks for one measuring request.
type measureEvent struct{ reply chan bool }

func (e *measureEvent) apply(d *duty, now time.Time) []admission.Release {
	e.reply <- d.decisions.AllowMeasure(now)
	return nil
}

// duty is the goroutine's own state.
type duty struct {
	owner     *Owner
	decisions *admission.Owner
	waiting   map[admission.Ticket]chan admission.Release
	state     model.TargetState
	// ended counts the finished calls since the last publication.
	ended int
}

func (d *duty) run() {
	defer close(d.owner.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var releases []admission.Release
		select {
		case <-d.owner.stop:
			d.refuseWaiting()
			return
		case e := <-d.owner.ring:
			releases = e.apply(d, time.Now())
		case <-timer.C:
			releases = d.decisions.Tick(time.Now())
		}
		now := time.Now()
		d.release(releases)
		d.publish(now)
		d.arm(timer, now)
	}
}

func (d *duty) release(releases []admission.Release) {
	for _, r := range releases {
		if reply, ok := d.waiting[r.Ticket]; ok {
			delete(d.waiting, r.Ticket)
			reply <- r
		}
	}
}

// publish makes the report visible and tells of a changed state.
func (d *duty) publish(now time.Time) {
	report := d.decisions.Report(now)
	report.Process = d.owner.opts.Process
	d.owner.mu.Lock()
	report.Sequence = d.owner.report.Sequence
	d.owner.report = report
	d.owner.completed = d.decisions.LastCompleted()
	d.owner.ending -= d.ended
	d.ended = 0
	d.owner.mu.Unlock()
	if report.State != d.state {
		d.state = report.State
		if d.owner.opts.OnStateChange != nil {
			d.owner.opts.OnStateChange(report.State)
		}
	}
}

// minTick keeps the duty from spinning on a tick that stays due.
const minTick = time.Millisecond

func (d *duty) arm(timer *time.Timer, now time.Time) {
	next := d.decisions.NextTick(now)
	if next.IsZero() {
		timer.Stop()
		return
	}
	timer.Reset(max(next.Sub(now), minTick))
}

func (d *duty) refuseWaiting() {
	for ticket, reply := range d.waiting {
		reply <- admission.Release{Ticket: ticket, Refusal: problem.New(problem.Draining, model.RunNo, "the node has stopped")}
	}
}
