package routing

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/accountkey"
	"zinniafall/policy/model"
)

// TestKeyThatTwoAccountsStateNamesNone guards against serving one account for the requests
// of another, whichever of them comes first, and against a lost account beside it.
func TestKeyThatTwoAccountsStateNamesNone(t *testing.T) {
	keys := func(list ...string) (sums []accountkey.Sum) {
		for _, key := range list {
			sums = append(sums, accountkey.SumOf(key))
		}
		return sums
	}
	plain, err := NewTable(1, nil, nil, Limits{})
	qt.Assert(t, err, qt.IsNil)
	table := plain.WithAccounts([]AccountKeys{
		{Account{Name: "a", Priority: 2, Rate: 5, Burst: 7}, keys("k1", "k1", "shared")},
		{Account{Name: "b"}, keys("shared", "k2")},
		{Account{Name: "c"}, keys("shared")},
		{Account{Name: "a"}, keys("k3")},
	})
	for key, want := range map[string]model.Account{"k1": "a", "k2": "b", "shared": "", "k3": "", "k4": "", "": ""} {
		account, ok := table.AccountOfKey(key)
		qt.Check(t, account.Name, qt.Equals, want, qt.Commentf("%q", key))
		qt.Check(t, ok, qt.Equals, want != "")
	}
	a, ok := table.Account("a")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, a, qt.Equals, Account{Name: "a", Priority: 2, Rate: 5, Burst: 7})
	qt.Assert(t, table.Problems, qt.HasLen, 3)
	qt.Assert(t, table.HasAccounts(), qt.IsTrue)
	qt.Assert(t, table.Accounts(), qt.Equals, 3)
	qt.Assert(t, plain.HasAccounts(), qt.IsFalse)
	qt.Assert(t, plain.Problems, qt.HasLen, 0)
}

// TestKeepsKeys guards against a call that starts after the key that it came with was withdrawn,
// or was given to another account: which of its account's keys that is, is not known.
func TestKeepsKeys(t *testing.T) {
	table := func(keys map[model.Account][]string) *Table {
		plain, err := NewTable(1, nil, nil, Limits{})
		qt.Assert(t, err, qt.IsNil)
		var list []AccountKeys
		for name, texts := range keys {
			account := AccountKeys{Account: Account{Name: name}}
			for _, text := range texts {
				account.Keys = append(account.Keys, accountkey.SumOf(text))
			}
			list = append(list, account)
		}
		return plain.WithAccounts(list)
	}
	before := table(map[model.Account][]string{"a": {"k1", "k2"}, "b": {"k3"}})
	for _, test := range []struct {
		name  string
		after map[model.Account][]string
		kept  bool
	}{
		{"unchanged", map[model.Account][]string{"a": {"k1", "k2"}, "b": {"k3"}}, true},
		{"key added, other account gone", map[model.Account][]string{"a": {"k1", "k2", "k4"}}, true},
		{"key withdrawn", map[model.Account][]string{"a": {"k1"}, "b": {"k3"}}, false},
		{"key of another account", map[model.Account][]string{"a": {"k1"}, "b": {"k2", "k3"}}, false},
		{"key of two accounts", map[model.Account][]string{"a": {"k1", "k2"}, "b": {"k2"}}, false},
		{"account gone", map[model.Account][]string{"b": {"k3"}}, false},
	} {
		qt.Check(t, table(test.after).KeepsKeys("a", before.Keys()), qt.Equals, test.kept, qt.Commentf("%s", test.name))
	}
	plain, err := NewTable(1, nil, nil, Limits{})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, plain.KeepsKeys("a", before.Keys()), qt.IsFalse)
	qt.Check(t, before.KeepsKeys("a", plain.Keys()), qt.IsFalse)
}
