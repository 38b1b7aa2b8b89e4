package overlay

import (
	"time"

	"zinniafall/policy/membership"
	"zinniafall/policy/model"
)

// Join adds contacts through which the node joins the fleet.
func (r *Runner) Join(contacts []model.NodeAddr) {
	r.request(func(now time.Time) []membership.Outgoing { return r.view.Join(now, contacts) })
}
