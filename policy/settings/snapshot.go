// Package settings defines the dynamic configuration in the form that calls
// are decided on: a Snapshot is complete, checked and never changed after it
// was built, so that readers need no lock.
package settings

import (
	"crypto/sha256"
	"time"

	"zinniafall/policy/model"
)

// KeyHash is the SHA-256 of an account's key; the key itself is never kept.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which an account's key is configured.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Snapshot is one accepted configuration.
type Snapshot struct {
	Revision model.Revision
	Domains  map[model.Domain]Domain
	Services map[model.Service]Service
	Accounts map[model.Account]Account
	// AccountByKey finds the account that proved itself with a key.
	AccountByKey map[KeyHash]model.Account
}

// Domain is a configured failure domain.
type Domain struct {
	Region model.Region
	// Out is true while operators keep the domain out of service.
	Out bool
}

// Service is a configured service.
type Service struct {
	// IdempotentMethods are the HTTP methods that may run more than once.
	IdempotentMethods []string
	// NonIdempotentPaths are path prefixes that run at most once whatever
	// their method.
	NonIdempotentPaths []string
	// Timeout bounds a call that names no deadline.
	Timeout time.Duration
	// MeasureRate is the budget of health and load requests that reach one
	// target, in requests a second.
	MeasureRate float64
}

// Account is a configured client account.
type Account struct {
	// Weight is the account's share of contended slots; at least 1.
	Weight int
	// RatePerSecond bounds the calls admitted at one entry; 0 sets no bound.
	RatePerSecond float64
	// Concurrency bounds the account's calls in flight at one target; 0 sets
	// no bound.
	Concurrency int
}
