package entry

import (
	"time"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/settings"
)

// checkRate counts the call against the account's rate limit and refuses it
// if the limit is exceeded.
func (e *Entry) checkRate(snapshot *settings.Snapshot, account model.Account) *problem.Error {
	rate := snapshot.Accounts[account].RatePerSecond
	e.mu.Lock()
	allowed, wait := e.accountLimiter.Allow(time.Now(), account, rate)
	e.mu.Unlock()
	if allowed {
		return nil
	}
	return problem.New(problem.AccountLimit, model.RunNo, "the account is over its rate").After(wait)
}
