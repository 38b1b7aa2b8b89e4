package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"zinniafall/policy/admission"
	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startOwner(slots int) *Owner {
	o := Start(Options{
		Revision: func() model.Revision { return 1 },
		Accounts: func(model.Account) settings.Account { return settings.Account{Weight: 1} },
	})
	o.SetFresh(true)
	o.Announce(admission.Announcement{Instance: "i", Slots: slots, Lease: time.Hour})
	return o
}

func admitRequest() AdmitRequest { return AdmitRequest{Deadline: time.Now().Add(time.Minute)} }

// TestReportExcludesFinishedCall takes a report right after a call finished,
// as an answer does, before the event loop has processed the end of the call.
func TestReportExcludesFinishedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := startOwner(1)
		defer o.Stop()
		slot, refusal := o.Admit(context.Background(), admitRequest())
		qt.Assert(t, refusal == nil, qt.IsTrue)
		synctest.Wait()
		qt.Assert(t, o.Report().InFlight, qt.Equals, uint16(1))
		slot.Finish(admission.Outcome{Result: admission.Completed, ServiceTime: time.Millisecond})
		qt.Assert(t, o.Report().InFlight, qt.Equals, uint16(0))
		synctest.Wait()
		qt.Assert(t, o.Report().InFlight, qt.Equals, uint16(0))
	})
}

func TestReportSequenceIncreasesByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := startOwner(2)
		defer o.Stop()
		first := o.Report().Sequence
		o.SetDomainOut(true)
		synctest.Wait()
		qt.Assert(t, o.Report().Sequence, qt.Equals, first+1)
	})
}

// TestServiceTimeDecaysWithoutCalls leaves a target without calls after a
// slow one.
func TestServiceTimeDecaysWithoutCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := startOwner(2)
		defer o.Stop()
		slot, refusal := o.Admit(context.Background(), admitRequest())
		qt.Assert(t, refusal == nil, qt.IsTrue)
		slot.Finish(admission.Outcome{Result: admission.Completed, ServiceTime: time.Second})
		synctest.Wait()
		slow := o.Report().ServiceTime
		qt.Assert(t, slow > 0, qt.IsTrue)
		time.Sleep(5 * time.Second)
		qt.Assert(t, o.Report().ServiceTime < slow/8, qt.IsTrue)
	})
}

func TestAbandonedWaitReleasesSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := startOwner(1)
		defer o.Stop()
		slot, refusal := o.Admit(context.Background(), admitRequest())
		qt.Assert(t, refusal == nil, qt.IsTrue)
		ctx, cancel := context.WithCancel(context.Background())
		waited := make(chan bool, 1)
		go func() {
			_, refusal := o.Admit(ctx, admitRequest())
			waited <- refusal != nil
		}()
		synctest.Wait()
		cancel()
		slot.Finish(admission.Outcome{Result: admission.Completed, ServiceTime: time.Millisecond})
		refused := <-waited
		synctest.Wait()
		qt.Assert(t, refused, qt.IsTrue)
		qt.Assert(t, o.Load().InFlight, qt.Equals, uint16(0))
	})
}
