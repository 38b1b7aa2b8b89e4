package placement

import (
	"time"

	"zinniafall/policy/model"
)

const (
	// shareRefusalTime is how long the calls of an account are spread over all failure
	// domains after an owner has refused one for its share: several times the service time
	// of a short call, in which the shares at the owners change.
	shareRefusalTime = 500 * time.Millisecond
	// maxShareRefusals bounds the accounts and services whose refusals are remembered.
	maxShareRefusals = 4096
	// SpreadOffers is the number of owners that a call of such an account is offered to
	// without waiting. Half of the nearest owners are likely to refuse it as well.
	SpreadOffers = 6
)

// ShareRefusals remembers which accounts owners have refused because they are beyond their
// fair share. An entry places the short calls of such an account in all failure domains
// alike. It answers a load in which one account sends several times its usual rate in one
// failure domain: its calls would otherwise take the slots there from the other accounts
// while other domains have slots free. Bulk calls stay in the entry's failure domain, since
// the bytes of their bodies are expensive between domains. It is not safe for concurrent
// use.
type ShareRefusals struct {
	at map[shareKey]time.Time
}

type shareKey struct {
	account model.Account
	service model.Service
}

// Record records that an owner of the service refused a call of the account for its share.
func (r *ShareRefusals) Record(now time.Time, service model.Service, account model.Account) {
	if account == "" {
		return
	}
	if r.at == nil {
		r.at = make(map[shareKey]time.Time)
	}
	if len(r.at) >= maxShareRefusals {
		for key, at := range r.at {
			if now.Sub(at) >= shareRefusalTime {
				delete(r.at, key)
			}
		}
	}
	if len(r.at) < maxShareRefusals {
		r.at[shareKey{account, service}] = now
	}
}

// Spread reports whether a call of the account goes to all failure domains alike.
func (r *ShareRefusals) Spread(now time.Time, service model.Service, account model.Account, bulk bool) bool {
	at, ok := r.at[shareKey{account, service}]
	return ok && !bulk && now.Sub(at) < shareRefusalTime
}
