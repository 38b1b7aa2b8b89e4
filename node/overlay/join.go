package overlay

import (
	"time"

	"zinniafall/policy/membership"
	"zinniafall/policy/model"
)

// Join names further contacts to find the fleet through.
func (d *Runner) Join(contacts []model.NodeAddr) {
	d.request(func(now time.Time) []membership.Outgoing { return d.view.Join(now, contacts) })
}
