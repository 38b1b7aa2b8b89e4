package retry

import (
	"math"
	"time"

	"zinniafall/policy/model"
)

const (
	// accountPart is the part of the retries that one account may use: of those that the
	// budget has left and those that are funded within accountMemory. An entry's budget
	// often holds a single token, so what it has left alone says little.
	accountPart = 1.0 / 3
	// accountMemory is the time constant with which retries of an account are forgotten,
	// and the time for which a call of an account keeps the budget shared.
	accountMemory = 5 * time.Second
	// minAccountUse is the number of remembered retries from which on an account is kept.
	minAccountUse = 0.05
	// freeRetry is the number of remembered retries below which an account may take any
	// token that is there. The budget of one entry often holds a single token.
	freeRetry = 0.5
	// maxAccounts bounds the accounts whose retries are remembered.
	maxAccounts = 1024
)

// accountUse divides a budget's retries among the accounts that call the service. Calls
// without an account are not limited.
type accountUse struct {
	// made is the number of retries of each account, which decays with accountMemory.
	made    map[model.Account]float64
	decayed time.Time
	// funded is the number of retries that calls funded, which decays likewise.
	funded float64
	// last is the account of the last call, and sharedAt when a call of another account
	// than the one before it last came.
	last     model.Account
	sharedAt time.Time
	lastAt   time.Time
}

// RecordAccountCall records that a call of an account reached a target for the first
// time, which adds the same tokens as RecordSuccess. Rejected calls count, too: when all
// targets of a service turn away a part of the calls, the successes alone would fund the
// fewer retries the more of them are needed. The sum stays within RetryFraction of the
// calls and the burst, whatever the targets answer.
func (b *Budget) RecordAccountCall(now time.Time, account model.Account) {
	b.RecordSuccess(now)
	b.accounts.record(now, account)
	b.accounts.decay(now)
	b.accounts.funded += b.opts.RetryFraction
}

func (u *accountUse) record(now time.Time, account model.Account) {
	if !u.lastAt.IsZero() && account != u.last && now.Sub(u.lastAt) < accountMemory {
		u.sharedAt = now
	}
	u.last, u.lastAt = account, now
}

// shared reports whether calls of several accounts came lately.
func (u *accountUse) shared(now time.Time) bool {
	return !u.sharedAt.IsZero() && now.Sub(u.sharedAt) < accountMemory
}

func (u *accountUse) decay(now time.Time) {
	if elapsed := now.Sub(u.decayed); elapsed > 0 {
		keep := math.Exp(-elapsed.Seconds() / accountMemory.Seconds())
		for account, made := range u.made {
			if u.made[account] = made * keep; made*keep < minAccountUse {
				delete(u.made, account)
			}
		}
		u.funded *= keep
		u.decayed = now
	}
}

// TakeAccountRerun takes the tokens for the retry of a call that ran or may have run: one of
// those that RerunPart limits, and one as TakeAccountRetry does.
func (b *Budget) TakeAccountRerun(now time.Time, account model.Account) (bool, time.Duration) {
	b.reruns.refill(now)
	if b.reruns.tokens < 1 {
		return false, b.reruns.timeToToken()
	}
	allowed, wait := b.TakeAccountRetry(now, account)
	if allowed {
		b.reruns.take(now)
	}
	return allowed, wait
}

// TakeAccountRetry takes one retry token for a call of an account, as TakeRetry does. While
// calls of several accounts come, an account may use at most accountPart of what is left,
// so that the retries of one do not use up those of the others. An account whose last
// retries are forgotten may always take a token that is there.
func (b *Budget) TakeAccountRetry(now time.Time, account model.Account) (bool, time.Duration) {
	u := &b.accounts
	u.record(now, account)
	if account == "" {
		return b.TakeRetry(now)
	}
	u.decay(now)
	b.retries.refill(now)
	made := u.made[account]
	available := b.retries.tokens + u.funded + b.retries.minRefill*accountMemory.Seconds()
	if u.shared(now) && made >= freeRetry && made+1 > accountPart*available {
		return false, b.retries.timeToToken()
	}
	allowed, wait := b.TakeRetry(now)
	if allowed && (made > 0 || len(u.made) < maxAccounts) {
		if u.made == nil {
			u.made = make(map[model.Account]float64)
		}
		u.made[account] = made + 1
	}
	return allowed, wait
}
