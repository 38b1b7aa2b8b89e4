package server

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
)

// depart sends a message of the target to its node that it leaves, and returns the status.
func (c *testNode) depart(t *testing.T, method, path string) int {
	request, err := http.NewRequest(method, "http://"+c.TargetAddr()+path, nil)
	qt.Assert(t, err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	qt.Assert(t, err, qt.IsNil)
	_ = response.Body.Close()
	return response.StatusCode
}

// TestAcknowledgedDepartureHoldsAfterARestart guards against a target that has left and is used
// again, because its node was killed and an announcement from before is late.
func TestAcknowledgedDepartureHoldsAfterARestart(t *testing.T) {
	for path, method := range map[string]string{"/v1/target/drain": http.MethodPost, "/v1/target": http.MethodDelete} {
		for _, away := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s with the store away %v", method, away), func(t *testing.T) {
				t.Parallel()
				f := newTestFleet(t)
				f.add("a", echo)
				old := f.add("b", echo)
				f.ready()
				f.store.SetDown(true)
				qt.Assert(t, old.depart(t, method, path), qt.Equals, http.StatusServiceUnavailable)
				qt.Assert(t, f.tryAnnounce(old, "one"), qt.IsNil)
				qt.Assert(t, old.owner.Load().State, qt.Not(qt.Equals), model.TargetWarm)
				f.store.SetDown(false)
				f.eventually(func() bool { return old.depart(t, method, path) == http.StatusNoContent })
				old.Kill()

				f.store.SetDown(away) // when the node starts again
				next := f.restart(old)
				qt.Assert(t, f.tryAnnounce(next, "one"), qt.IsNil)
				f.store.SetDown(false)
				// Without the store the target is used until the store answers.
				want := map[bool]model.TargetState{false: model.TargetAbsent, true: model.TargetDraining}[away]
				state := func() model.TargetState {
					next.owner.AllowProbe() // waits until the announcements are processed
					return next.owner.Load().State
				}
				f.eventually(func() bool { return state() == want })
				qt.Assert(t, f.tryAnnounce(next, "one"), qt.IsNil)
				qt.Assert(t, state(), qt.Equals, want)
				qt.Assert(t, f.tryAnnounce(next, "two"), qt.IsNil)
				f.eventually(func() bool { s := state(); return s == model.TargetCold || s == model.TargetWarm })
			})
		}
	}
}
