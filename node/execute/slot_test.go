package execute

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/owner"
	"zinniafall/node/peer"
	"zinniafall/policy/admission"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/quarantine"
	"zinniafall/policy/settings"
)

// TestAbandonedCallKeepsSlotUntilCancelGrace cancels a call at a cold target,
// which accepts one call at a time: the next call must wait until the target
// can have noticed.
func TestAbandonedCallKeepsSlotUntilCancelGrace(t *testing.T) {
	cases := []struct {
		name    string
		started bool
		result  admission.Result
		held    uint16
	}{
		{"abandoned at the target", true, admission.Abandoned, 1},
		{"abandoned before it started", false, admission.Abandoned, 0},
		{"completed", true, admission.Completed, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := owner.Start(owner.Options{
					Revision: func() model.Revision { return 1 },
					Accounts: func(model.Account) settings.Account { return settings.Account{Weight: 1} },
				})
				defer o.Stop()
				o.SetFresh(true)
				o.Announce(admission.Announcement{Instance: "i", Slots: 1, Cold: true, Lease: time.Minute})
				slot, refusal := o.Admit(context.Background(), owner.AdmitRequest{Deadline: time.Now().Add(time.Second)})
				qt.Assert(t, refusal == nil, qt.IsTrue)
				tracker := NewCrashTracker(func(uint64, quarantine.Fingerprint) []byte { return nil }, func(quarantine.Fingerprint) {})
				a := &attempt{executor: New(Options{Owner: o, CrashTracker: tracker}), slot: slot, cancel: func() {}}
				if c.started {
					a.started = time.Now()
				}
				a.finish(c.result)
				synctest.Wait()
				qt.Assert(t, o.Load().InFlight, qt.Equals, c.held)
				time.Sleep(cancelGrace)
				synctest.Wait()
				qt.Assert(t, o.Load().InFlight, qt.Equals, uint16(0))
			})
		})
	}
}

// startGate is a node and its list of suspects, of which only the last check refuses calls.
type startGate struct {
	Node
	Suspects
	refusal *problem.Error
}

func (g startGate) CheckStart() *problem.Error                       { return g.refusal }
func (startGate) Check(quarantine.Fingerprint) (_ quarantine.Status) { return }

// Guards against an upload that is lost because its body was asked for, and cannot be sent
// again, although it was known that the call may not start here.
func TestBodyIsRequestedOnlyIfTheCallMayStart(t *testing.T) {
	notFresh := problem.New(problem.NotFresh, model.RunNo, "no contact")
	for _, c := range []struct {
		name      string
		inline    bool
		left      time.Duration
		refusal   *problem.Error
		requested bool
	}{
		{"may start", false, time.Minute, nil, true},
		{"refused", false, time.Minute, notFresh, false},
		{"deadline passed", false, -time.Second, nil, false},
		{"inline", true, time.Minute, notFresh, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			gate, requested := startGate{refusal: c.refusal}, false
			job := Job{Request: &peer.Request{Inline: c.inline}, Admitted: func() error { requested = true; return nil }}
			a := &attempt{executor: New(Options{Node: gate, Suspects: gate}), job: job, deadline: time.Now().Add(c.left)}
			refusal := a.prepare()
			qt.Check(t, requested, qt.Equals, c.requested)
			qt.Check(t, refusal == nil, qt.Equals, c.requested || c.inline)
		})
	}
}
