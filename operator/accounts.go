package operator

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"maps"

	"zinniafall/policy/config"
	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

// accountFlags are the arguments of the commands that make or change an
// account.
type accountFlags struct {
	name       string
	template   string
	parameters map[string]string
	unset      []string
}

func (c *CLI) addAccounts() {
	account := c.App.Command("account", "Create and change client accounts, and issue their keys.")

	created := accountFlags{parameters: make(map[string]string)}
	create := account.Command("create", "Create an account from a template.")
	create.Arg("name", "Name of the account.").Required().StringVar(&created.name)
	create.Flag("template", "Template of kind account.").Short('t').Required().StringVar(&created.template)
	create.Flag("parameter", "Parameter as name=value; the value is JSON or else a string.").Short('p').StringMapVar(&created.parameters)
	createFlags := addChangeFlags(create)
	create.Action(action(func() error { return c.edit(createFlags, created.create) }))

	changed := accountFlags{parameters: make(map[string]string)}
	set := account.Command("set", "Change an account's template or parameters.")
	set.Arg("name", "Name of the account.").Required().StringVar(&changed.name)
	set.Flag("template", "Another template of kind account.").Short('t').StringVar(&changed.template)
	set.Flag("parameter", "Parameter as name=value; the value is JSON or else a string.").Short('p').StringMapVar(&changed.parameters)
	set.Flag("unset", "Parameter to leave to its default.").StringsVar(&changed.unset)
	setFlags := addChangeFlags(set)
	set.Action(action(func() error { return c.edit(setFlags, changed.change) }))

	var keyed string
	var replace bool
	key := account.Command("key", "Issue a key for an account; it is printed once and only its hash is kept.")
	key.Arg("name", "Name of the account.").Required().StringVar(&keyed)
	key.Flag("replace", "Let the account's other keys end at once.").BoolVar(&replace)
	keyFlags := addChangeFlagsWithoutID(key) // a repeat would draw another key
	key.Action(action(func() error { return c.accountKey(keyed, replace, keyFlags) }))

	var retired string
	retire := account.Command("retire-keys", "End all keys of an account but the latest.")
	retire.Arg("name", "Name of the account.").Required().StringVar(&retired)
	retireFlags := addChangeFlags(retire)
	retire.Action(action(func() error { return c.retireKeys(retired, retireFlags) }))
}

func (f *accountFlags) create(now *config.Document, change *config.Change) error {
	name := model.Account(f.name)
	if _, exists := now.Accounts[name]; exists {
		return exit(ExitBadInput, "there is an account %s; change it with `zinniafall account set`", f.name)
	}
	return f.put(config.Account{Template: f.template}, change)
}

func (f *accountFlags) change(now *config.Document, change *config.Change) error {
	account, err := accountOf(now, f.name)
	if err != nil {
		return err
	}
	if f.template != "" {
		account.Template = f.template
	}
	return f.put(account, change)
}

// put fills the change with the account and its parameters.
func (f *accountFlags) put(account config.Account, change *config.Change) error {
	parameters := maps.Clone(account.Parameters)
	if parameters == nil {
		parameters = make(map[string]any)
	}
	for name, text := range f.parameters {
		parameters[name] = parameterValue(text)
	}
	for _, name := range f.unset {
		delete(parameters, name)
	}
	account.Parameters = parameters
	setAccount(change, f.name, account)
	return nil
}

// parameterValue reads a value as JSON, or takes it as a string.
func parameterValue(text string) any {
	decoder := json.NewDecoder(bytes.NewReader([]byte(text)))
	decoder.UseNumber()
	var value any
	if decoder.Decode(&value) != nil || decoder.More() {
		return text
	}
	return value
}

func accountOf(now *config.Document, name string) (config.Account, error) {
	account, exists := now.Accounts[model.Account(name)]
	if !exists {
		return account, exit(ExitBadInput, "no account %s; `zinniafall list account` shows the names", name)
	}
	return account, nil
}

func setAccount(change *config.Change, name string, account config.Account) {
	change.Set = &config.Document{Accounts: map[model.Account]config.Account{model.Account(name): account}}
}

// accountKey issues a key. It is printed only once the system has accepted it.
func (c *CLI) accountKey(name string, replace bool, flags *changeFlags) error {
	c.issued = rand.Text()
	hash := settings.HashKey(c.issued)
	return c.edit(flags, func(now *config.Document, change *config.Change) error {
		account, err := accountOf(now, name)
		if err != nil {
			return err
		}
		kept := account.KeyHashes
		if replace {
			kept = nil
		}
		account.KeyHashes = append(kept[:len(kept):len(kept)], hex.EncodeToString(hash[:]))
		setAccount(change, name, account)
		return nil
	})
}

// retireKeys ends all keys of an account but the latest.
func (c *CLI) retireKeys(name string, flags *changeFlags) error {
	return c.edit(flags, func(now *config.Document, change *config.Change) error {
		account, err := accountOf(now, name)
		if err != nil {
			return err
		}
		account.KeyHashes = account.KeyHashes[max(0, len(account.KeyHashes)-1):]
		setAccount(change, name, account)
		return nil
	})
}
