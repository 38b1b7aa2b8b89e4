package routing

import (
	"errors"
	"fmt"

	"zinniafall/policy/accountkey"
	"zinniafall/policy/model"
)

// Account is a client account.
type Account struct {
	Name model.Account
	// Priority takes the place of the priority of the routes; 0 is the highest.
	Priority int
	// Rate limits the requests in a second, over all nodes, and Burst how many may come
	// at once beyond it. A Rate of 0 means no limit.
	Rate  float64
	Burst float64
}

// AccountKeys is an account with the hashes of its keys.
type AccountKeys struct {
	Account
	Keys []accountkey.Sum
}

// accounts holds the accounts of one configuration.
type accounts struct {
	byName map[model.Account]*Account
	byKey  map[accountkey.Sum]keyHolder
}

// keyHolder is the account that a key names, with the hash of the key.
type keyHolder struct {
	sum     accountkey.Sum
	account *Account
}

// ErrSharedKey reports a key that two accounts state.
var ErrSharedKey = errors.New("another account states one of its keys, which names neither; issue a key of its own")

// WithAccounts returns the table with accounts: a key is needed on every route that does
// not allow anonymous requests, even if there are no usable accounts. A key that two accounts state
// names none of them. The receiver is not modified.
func (t *Table) WithAccounts(list []AccountKeys) *Table {
	a := &accounts{byName: make(map[model.Account]*Account, len(list)), byKey: make(map[accountkey.Sum]keyHolder, len(list))}
	next := *t
	next.Problems = t.Problems[:len(t.Problems):len(t.Problems)]
	for i := range list {
		account := list[i].Account
		if a.byName[account.Name] != nil {
			next.Problems = append(next.Problems, fmt.Errorf("account %q: stated twice; the first counts", account.Name))
			continue
		}
		a.byName[account.Name] = &account
		shared := false
		for _, sum := range list[i].Keys {
			holder, taken := a.byKey[sum]
			if taken && holder.account != &account {
				shared = true
				a.byKey[sum] = keyHolder{sum: sum}
				continue
			}
			a.byKey[sum] = keyHolder{sum, &account}
		}
		if shared {
			next.Problems = append(next.Problems, fmt.Errorf("account %q: %w", account.Name, ErrSharedKey))
		}
	}
	next.accounts = a
	return &next
}

// HasAccounts reports whether callers authenticate.
func (t *Table) HasAccounts() bool { return t.accounts != nil }

// Accounts returns the number of accounts.
func (t *Table) Accounts() int {
	if t.accounts == nil {
		return 0
	}
	return len(t.accounts.byName)
}

// Account returns the account of a name. It reports false if there is none.
func (t *Table) Account(name model.Account) (Account, bool) {
	if t.accounts == nil || t.accounts.byName[name] == nil {
		return Account{}, false
	}
	return *t.accounts.byName[name], true
}

// AccountOfKey returns the account that a key names. It reports false if there is none.
func (t *Table) AccountOfKey(key string) (Account, bool) {
	if t.accounts == nil || !accountkey.IsUsable(key) {
		return Account{}, false
	}
	sum := accountkey.SumOf(key)
	holder, ok := t.accounts.byKey[sum]
	if !ok || !holder.sum.Equal(sum) || holder.account == nil {
		return Account{}, false
	}
	return *holder.account, true
}

// KeySet is the keys of all accounts in one configuration. It does not keep the table in memory.
type KeySet struct{ accounts *accounts }

// Keys returns the keys of all accounts.
func (t *Table) Keys() KeySet { return KeySet{t.accounts} }

// KeepsKeys reports whether each key that names the account in an earlier configuration still
// names it.
func (t *Table) KeepsKeys(account model.Account, earlier KeySet) bool {
	if t.accounts == nil || earlier.accounts == nil || t.accounts.byName[account] == nil {
		return false
	}
	for sum, holder := range earlier.accounts.byKey {
		if holder.account == nil || holder.account.Name != account {
			continue
		}
		if now := t.accounts.byKey[sum]; now.account == nil || now.account.Name != account {
			return false
		}
	}
	return true
}

// HasQuotas reports whether an account has a rate.
func (t *Table) HasQuotas() bool {
	if t.accounts == nil {
		return false
	}
	for _, a := range t.accounts.byName {
		if a.Rate > 0 {
			return true
		}
	}
	return false
}
