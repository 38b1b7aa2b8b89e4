package overlay

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"zinniafall/policy/membership"
)

// publish makes what a tick changed visible outside the goroutine.
func (d *Runner) publish() {
	d.publishStanding()
	if pause := d.view.TakePause(); pause > 0 {
		pauses.Inc()
		klog.Warningf("overlay: the process was paused for %v", pause.Round(time.Millisecond))
		if d.options.OnPause != nil {
			d.options.OnPause()
		}
	}
	if neighbors := d.view.Neighbors(); !slices.Equal(neighbors, d.kept) {
		d.kept = neighbors
		d.options.Transport.KeepConnections(neighbors)
	}
	d.publishSnapshot(time.Now())
}

func (d *Runner) publishStanding() {
	before := d.Status()
	now := Status{
		Joined:     d.view.Joined(),
		CaughtUp:   d.view.CaughtUp(),
		Superseded: d.view.Superseded(),
		Self:       d.view.Self(),
	}
	if now == before {
		return
	}
	d.standing.Store(&now)
	if now.Joined && !before.Joined {
		klog.Infof("overlay: %s has joined", now.Self.Node)
	}
	if now.Superseded && !before.Superseded {
		klog.Errorf("overlay: another process has the address %s; this one must stop", now.Self.Node)
		if d.options.OnSuperseded != nil {
			d.options.OnSuperseded()
		}
	}
}

func (d *Runner) publishSnapshot(now time.Time) {
	before := d.Snapshot()
	if now.Sub(d.changed) < changeInterval+time.Duration(len(before.Members))*memberInterval {
		return
	}
	snapshot := d.view.Snapshot()
	if snapshot == before {
		return
	}
	d.changed = now
	d.snapshot.Store(snapshot)
	d.logChange(before, snapshot)
	if d.options.OnChange != nil {
		d.options.OnChange(snapshot)
	}
}

func (d *Runner) logChange(before, after *membership.Snapshot) {
	if len(before.Members) != len(after.Members) {
		klog.Infof("overlay: %d members, %d before", len(after.Members), len(before.Members))
	}
}
