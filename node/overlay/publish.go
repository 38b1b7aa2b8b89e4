package overlay

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"zinniafall/policy/membership"
)

// publish makes the changes of a tick visible outside the goroutine and calls
// the callbacks for them.
func (r *Runner) publish() {
	r.publishStatus()
	if pause := r.view.TakePause(); pause > 0 {
		pauses.Inc()
		klog.Warningf("overlay: the process was paused for %v", pause.Round(time.Millisecond))
		if r.options.OnPause != nil {
			r.options.OnPause()
		}
	}
	if neighbors := r.view.Neighbors(); !slices.Equal(neighbors, r.connected) {
		r.connected = neighbors
		r.options.Transport.KeepConnections(neighbors)
	}
	r.publishSnapshot(time.Now())
}

// publishStatus stores a changed status, logs joining and being superseded, and
// calls OnSuperseded.
func (r *Runner) publishStatus() {
	previous := r.Status()
	current := Status{
		Joined:     r.view.Joined(),
		CaughtUp:   r.view.CaughtUp(),
		Superseded: r.view.Superseded(),
		Self:       r.view.Self(),
	}
	if current == previous {
		return
	}
	r.status.Store(&current)
	if current.Joined && !previous.Joined {
		klog.Infof("overlay: %s has joined", current.Self.Node)
	}
	if current.Superseded && !previous.Superseded {
		klog.Errorf("overlay: another process has the address %s; this one must stop", current.Self.Node)
		if r.options.OnSuperseded != nil {
			r.options.OnSuperseded()
		}
	}
}

// publishSnapshot stores a changed snapshot and calls OnChange, unless the
// minimum time since the last call has not passed.
func (r *Runner) publishSnapshot(now time.Time) {
	previous := r.Snapshot()
	if now.Sub(r.lastPublished) < changeInterval+time.Duration(len(previous.Members))*changeIntervalPerMember {
		return
	}
	snapshot := r.view.Snapshot()
	if snapshot == previous {
		return
	}
	r.lastPublished = now
	r.snapshot.Store(snapshot)
	r.logMemberCount(previous, snapshot)
	if r.options.OnChange != nil {
		r.options.OnChange(snapshot)
	}
}

// logMemberCount logs a change in the number of members.
func (r *Runner) logMemberCount(previous, current *membership.Snapshot) {
	if len(previous.Members) != len(current.Members) {
		klog.Infof("overlay: %d members, %d before", len(current.Members), len(previous.Members))
	}
}
