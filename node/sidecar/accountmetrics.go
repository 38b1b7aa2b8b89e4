package sidecar

import (
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"zinniafall/policy/model"
)

const (
	// maxNamedAccounts is the number of accounts that have counters of their own.
	maxNamedAccounts = 64
	// otherAccounts labels the counters of the rest.
	otherAccounts = "other"
)

// accountCounters counts requests by account and outcome. The accounts with the most
// requests have counters of their own, from the moment at which they are among these: no
// counter ever falls.
type accountCounters struct {
	set *metrics.Set

	mu     sync.Mutex
	totals map[model.Account]uint64
	named  map[model.Account]map[string]*metrics.Counter
}

func newAccountCounters(set *metrics.Set) *accountCounters {
	return &accountCounters{set: set, totals: make(map[model.Account]uint64), named: make(map[model.Account]map[string]*metrics.Counter)}
}

// count counts a request.
func (a *accountCounters) count(account model.Account, outcome string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.totals[account]++
	counters := a.named[account]
	if counters == nil && a.makeRoom(a.totals[account]) {
		counters = make(map[string]*metrics.Counter)
		a.named[account] = counters
	}
	if counters == nil {
		a.set.GetOrCreateCounter(accountMetric(otherAccounts, outcome)).Inc()
		return
	}
	if counters[outcome] == nil {
		counters[outcome] = a.set.GetOrCreateCounter(accountMetric(string(account), outcome))
	}
	counters[outcome].Inc()
}

// makeRoom reports whether an account with a number of requests may have counters of its
// own. If need be, it removes those of the account with the fewest requests.
func (a *accountCounters) makeRoom(requests uint64) bool {
	if len(a.named) < maxNamedAccounts {
		return true
	}
	var fewest model.Account
	for account := range a.named {
		if fewest == "" || a.totals[account] < a.totals[fewest] {
			fewest = account
		}
	}
	if a.totals[fewest] >= requests {
		return false
	}
	for outcome := range a.named[fewest] {
		a.set.UnregisterMetric(accountMetric(string(fewest), outcome))
	}
	delete(a.named, fewest)
	return true
}

// retain forgets the accounts that the configuration no longer has.
func (a *accountCounters) retain(exists func(model.Account) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for account := range a.totals {
		if exists(account) {
			continue
		}
		delete(a.totals, account)
		for outcome := range a.named[account] {
			a.set.UnregisterMetric(accountMetric(string(account), outcome))
		}
		delete(a.named, account)
	}
}

// accountMetric returns the name of a counter. Characters that a label cannot hold
// unescaped are replaced.
func accountMetric(account, outcome string) string {
	label := strings.Map(func(r rune) rune {
		if r == '"' || r == '\\' || r < ' ' || r > '~' {
			return '_'
		}
		return r
	}, account)
	return `zinniafall_account_requests_total{account="` + label + `",outcome="` + outcome + `"}`
}
