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

func (r *Runner) publishStatus() {
	before := r.Status()
	now := Status{
		Joined:     r.view.Joined(),
		CaughtUp:   r.view.CaughtUp(),
		Superseded: r.view.Superseded(),
		Self:       r.view.Self(),
	}
	if now == before {
		return
	}
	r.status.Store(&now)
	if now.Joined && !before.Joined {
		klog.Infof("overlay: %s has joined", now.Self.Node)
	}
	if now.Superseded && !before.Superseded {
		klog.Errorf("overlay: another process has the address %s; this one must stop", now.Self.Node)
		if r.options.OnSuperseded != nil {
			r.options.OnSuperseded()
		}
	}
}

func (r *Runner) publishSnapshot(now time.Time) {
	before := r.Snapshot()
	if now.Sub(r.lastPublished) < changeInterval+time.Duration(len(before.Members))*changeIntervalPerMember {
		return
	}
	snapshot := r.view.Snapshot()
	if snapshot == before {
		return
	}
	r.lastPublished = now
	r.snapshot.Store(snapshot)
	r.logChange(before, snapshot)
	if r.options.OnChange != nil {
		r.options.OnChange(snapshot)
	}
}

func (r *Runner) logChange(before, after *membership.Snapshot) {
	if len(before.Members) != len(after.Members) {
		klog.Infof("overlay: %d members, %d before", len(after.Members), len(before.Members))
	}
}
