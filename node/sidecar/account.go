package sidecar

import (
	"time"

	"zinniafall/node/front"
	"zinniafall/policy/accountkey"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// authorizationField carries the key of an account. No other process gets it.
const authorizationField = "Authorization"

// authenticate sets the caller's account from the key that it sent. Without accounts in
// the configuration it accepts every caller.
func (c *call) authenticate(r *front.Request) *problem.Error {
	c.account = ""
	if !c.table.HasAccounts() {
		return nil
	}
	key, ok := accountkey.FromFields(r.Header[authorizationField])
	if !ok {
		if c.route.AllowAnonymous {
			return nil
		}
		return problem.New(problem.Unauthenticated, model.RunNo, "the request has no key in one "+authorizationField+" field")
	}
	account, ok := c.table.AccountOfKey(key)
	if !ok {
		if retryAfter, behind := c.node.configuration.behind(time.Now()); behind {
			return problem.New(problem.ConfigurationLag, model.RunNo, "no account has the key, but other nodes have a newer configuration").After(retryAfter)
		}
		return problem.New(problem.Unauthenticated, model.RunNo, "no account has the key")
	}
	c.account = account.Name
	return nil
}

// priority returns the priority of the caller's account or, without one, of the route.
func (c *call) priority() int {
	if account, ok := c.table.Account(c.account); ok {
		return account.Priority
	}
	return c.route.Priority
}
