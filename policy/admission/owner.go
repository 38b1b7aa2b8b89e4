// Package admission decides which calls an owner gives to its target.
package admission

import (
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

// Owner decides on the calls to one target. It is not safe for concurrent use.
type Owner struct {
	options  Options
	accounts func(model.Account) settings.Account
}

// New returns an owner whose target has not announced itself.
func New(options Options) *Owner {
	return &Owner{options: options.withDefaults()}
}

// Announce records a first announcement or a renewal.
func (o *Owner) Announce(now time.Time, a Announcement) []Release { return nil }

// Drain records that the target leaves: nothing new starts.
func (o *Owner) Drain(now time.Time) []Release { return nil }

// Gone records that the target withdrew or died.
func (o *Owner) Gone(now time.Time) []Release { return nil }

// SetDomainOut records whether the failure domain is out of service.
func (o *Owner) SetDomainOut(now time.Time, out bool) []Release { return nil }

// SetStopping records that the node stops: nothing new starts.
func (o *Owner) SetStopping(now time.Time) []Release { return nil }

// SetFresh records whether the node's view is recent enough to decide on.
func (o *Owner) SetFresh(now time.Time, fresh bool) []Release { return nil }

// SetAccounts sets the lookup of weights and concurrency limits.
func (o *Owner) SetAccounts(lookup func(model.Account) settings.Account) { o.accounts = lookup }

// SetMeasureRate sets the budget of measuring requests a second.
func (o *Owner) SetMeasureRate(perSecond float64) {}

// Offer asks to run a call.
func (o *Owner) Offer(now time.Time, c Call) Decision { return Decision{Verdict: Start} }

// Finish records the end of a call that was in flight.
func (o *Owner) Finish(now time.Time, t Ticket, outcome Outcome) []Release { return nil }

// Abandon records that the caller left.
func (o *Owner) Abandon(now time.Time, t Ticket) []Release { return nil }

// Tick does the work that is due.
func (o *Owner) Tick(now time.Time) []Release { return nil }

// NextTick returns the time of the next Tick that has work to do.
func (o *Owner) NextTick(now time.Time) time.Time { return now.Add(time.Second) }

// Report states the target's load.
func (o *Owner) Report(now time.Time) model.Report { return model.Report{State: o.State()} }

// AllowMeasure spends one measuring request from the budget.
func (o *Owner) AllowMeasure(now time.Time) bool { return false }

// InFlight returns the tickets of the calls at the target.
func (o *Owner) InFlight() []Ticket { return nil }

// State returns the target's state.
func (o *Owner) State() model.TargetState { return model.TargetAbsent }
