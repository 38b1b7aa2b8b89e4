// Package settings defines the dynamic configuration in the form that is used
// to decide calls. A Snapshot is complete, validated and never modified after
// it was built, so that readers need no lock.
package settings

import (
	"crypto/sha256"
	"time"

	"zinniafall/policy/model"
)

// KeyHash is the SHA-256 of an account key; the key itself is never stored.
type KeyHash [sha256.Size]byte

// HashKey returns the hash that the configuration holds for an account key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Snapshot is one accepted configuration.
type Snapshot struct {
	Revision model.Revision
	Domains  map[model.Domain]Domain
	Services map[model.Service]Service
	Accounts map[model.Account]Account
	// AccountByKey maps the hash of a key to the account that the key
	// authenticates.
	AccountByKey map[KeyHash]model.Account
}

// Domain is the configuration of a failure domain.
type Domain struct {
	Region model.Region
	// Out reports whether operators have taken the domain out of service.
	Out bool
}

// Service is the configuration of a service.
type Service struct {
	// IdempotentMethods are the HTTP methods whose calls may run more than
	// once.
	IdempotentMethods []string
	// NonIdempotentPaths are path prefixes whose calls run at most once,
	// whatever their method.
	NonIdempotentPaths []string
	// Timeout limits a call that has no deadline of its own.
	Timeout time.Duration
	// MeasureRate limits the health and load requests to one target, in
	// requests per second.
	MeasureRate float64
}

// Account is the configuration of a client account.
type Account struct {
	// Weight is the account's share of contended slots; at least 1.
	Weight int
	// RatePerSecond limits the calls admitted at one entry; 0 means no limit.
	RatePerSecond float64
	// Concurrency limits the account's calls in flight at one target; 0 means
	// no limit.
	Concurrency int
}
