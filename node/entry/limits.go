package entry

import (
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/settings"
)

// limit spends one call of the account's rate.
func (e *Entry) limit(snapshot *settings.Snapshot, account model.Account) *problem.Error {
	rate := snapshot.Accounts[account].RatePerSecond
	e.mu.Lock()
	allowed, wait := e.limits.Allow(time.Now(), account, rate)
	e.mu.Unlock()
	if allowed {
		return nil
	}
	return problem.New(problem.AccountLimit, model.RunNo, "the account is over its rate").After(wait)
}
