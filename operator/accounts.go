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

// accountFlags are the arguments of the commands that create or change an
// account.
type accountFlags struct {
	name       string
	template   string
	parameters map[string]string
	unset      []string
}

func (c *CLI) addAccountCommands() {
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
	set.Flag("unset", "Parameter to reset to its default.").StringsVar(&changed.unset)
	setFlags := addChangeFlags(set)
	set.Action(action(func() error { return c.edit(setFlags, changed.change) }))

	var keyAccount string
	var replace bool
	key := account.Command("key", "Issue a key for an account; it is printed once, and only its hash is stored.")
	key.Arg("name", "Name of the account.").Required().StringVar(&keyAccount)
	key.Flag("replace", "Revoke the account's other keys at once.").BoolVar(&replace)
	keyFlags := addChangeFlagsWithoutID(key) // repeating the command would generate another key
	key.Action(action(func() error { return c.accountKey(keyAccount, replace, keyFlags) }))

	var retireAccount string
	retire := account.Command("retire-keys", "Revoke all keys of an account except the latest.")
	retire.Arg("name", "Name of the account.").Required().StringVar(&retireAccount)
	retireFlags := addChangeFlags(retire)
	retire.Action(action(func() error { return c.retireKeys(retireAccount, retireFlags) }))
}

func (f *accountFlags) create(current *config.Document, change *config.Change) error {
	name := model.Account(f.name)
	if _, exists := current.Accounts[name]; exists {
		return exitErrorf(ExitBadInput, "account %s already exists; change it with `zinniafall account set`", f.name)
	}
	return f.fillChange(config.Account{Template: f.template}, change)
}

func (f *accountFlags) change(current *config.Document, change *config.Change) error {
	account, err := findAccount(current, f.name)
	if err != nil {
		return err
	}
	if f.template != "" {
		account.Template = f.template
	}
	return f.fillChange(account, change)
}

// fillChange adds the account, with the parameters of the flags, to the change.
func (f *accountFlags) fillChange(account config.Account, change *config.Change) error {
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

// parameterValue parses text as JSON. Text that is not JSON is a string.
func parameterValue(text string) any {
	decoder := json.NewDecoder(bytes.NewReader([]byte(text)))
	decoder.UseNumber()
	var value any
	if decoder.Decode(&value) != nil || decoder.More() {
		return text
	}
	return value
}

func findAccount(current *config.Document, name string) (config.Account, error) {
	account, exists := current.Accounts[model.Account(name)]
	if !exists {
		return account, exitErrorf(ExitBadInput, "no account %s; `zinniafall list account` shows the names", name)
	}
	return account, nil
}

func setAccount(change *config.Change, name string, account config.Account) {
	change.Set = &config.Document{Accounts: map[model.Account]config.Account{model.Account(name): account}}
}

// accountKey issues a key, which is printed only once the change is accepted.
func (c *CLI) accountKey(name string, replace bool, flags *changeFlags) error {
	c.issuedKey = rand.Text()
	hash := settings.HashKey(c.issuedKey)
	return c.edit(flags, func(current *config.Document, change *config.Change) error {
		account, err := findAccount(current, name)
		if err != nil {
			return err
		}
		hashes := account.KeyHashes
		if replace {
			hashes = nil
		}
		account.KeyHashes = append(hashes[:len(hashes):len(hashes)], hex.EncodeToString(hash[:]))
		setAccount(change, name, account)
		return nil
	})
}

// retireKeys revokes all keys of an account except the latest.
func (c *CLI) retireKeys(name string, flags *changeFlags) error {
	return c.edit(flags, func(current *config.Document, change *config.Change) error {
		account, err := findAccount(current, name)
		if err != nil {
			return err
		}
		account.KeyHashes = account.KeyHashes[max(0, len(account.KeyHashes)-1):]
		setAccount(change, name, account)
		return nil
	})
}
