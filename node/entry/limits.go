package entry

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/time/rate"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/settings"
)

// maxLimitedAccounts bounds the accounts whose rate one entry remembers.
const maxLimitedAccounts = 8192

// accountLimits holds the rates of the accounts that used this entry lately.
type accountLimits struct {
	limiters *lru.Cache[model.Account, *rate.Limiter]
}

func newAccountLimits() accountLimits {
	cache, err := lru.New[model.Account, *rate.Limiter](maxLimitedAccounts)
	if err != nil {
		panic(err)
	}
	return accountLimits{limiters: cache}
}

// admit spends one call of the account's rate.
func (l accountLimits) admit(now time.Time, name model.Account, account settings.Account) *problem.Error {
	if account.RatePerSecond <= 0 {
		return nil
	}
	limiter := l.limiter(name, account.RatePerSecond)
	reservation := limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait == 0 {
		return nil
	}
	reservation.CancelAt(now)
	return problem.New(problem.AccountLimit, model.RunNo, "the account is over its rate").After(wait)
}

func (l accountLimits) limiter(name model.Account, perSecond float64) *rate.Limiter {
	limiter, ok := l.limiters.Get(name)
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))
		l.limiters.Add(name, limiter)
	}
	if limiter.Limit() != rate.Limit(perSecond) {
		limiter.SetLimit(rate.Limit(perSecond))
		limiter.SetBurst(burst(perSecond))
	}
	return limiter
}

// burst allows the calls of a tenth of a second at once.
func burst(perSecond float64) int { return max(int(perSecond/10), 1) }
