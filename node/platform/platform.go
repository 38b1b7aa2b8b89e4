// Package platform is the client of the platform's key-value service.
//
// Failed reads are retried with exponential backoff and jitter, under a rate
// limit that all calls of one client share, so that an outage causes no retry
// storm. A write is retried only if no byte of it can have reached the service.
// Otherwise the error's kind is OutcomeUnknown: the write may have taken effect,
// or may still do so, and the caller must read the key back to find out.
package platform

import (
	"context"
	"time"
)

// MaxValue is the maximum size of a value in bytes.
const MaxValue = 1 << 20

// Entry is a key with the value and index that were read.
type Entry struct {
	// Key without a leading slash.
	Key string
	// Value is nil when the key is absent.
	Value []byte
	// Index of the key's last change, for CompareAndSwap and Watch.
	Index uint64
	// Found is false when the key is absent.
	Found bool
}

// Store is the key-value part of the service. Each error is an *Error.
type Store interface {
	// Get reads a key; an absent key is not an error.
	Get(ctx context.Context, key string) (Entry, error)
	// Watch reads a key as soon as its index has passed the given one, or at the
	// client's watch timeout.
	Watch(ctx context.Context, key string, index uint64) (Entry, error)
	// Create writes a key if it is absent, and reports whether it was written.
	Create(ctx context.Context, key string, value []byte) (bool, error)
	// CompareAndSwap writes a key if its last change has the index, and reports
	// whether it was written.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
	// Delete removes a key; an absent key is not an error.
	Delete(ctx context.Context, key string) error
}

// Leases is the part of the service that grants leases. A holder that was paused
// may not know that its lease has expired, so a lease alone protects nothing:
// writes that rely on it must use CompareAndSwap.
type Leases interface {
	// Grant creates a lease; its keys are deleted when it expires.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its time to live, and reports whether it was still
	// valid.
	Renew(ctx context.Context, id LeaseID) (bool, error)
	// End deletes the lease and its keys.
	End(ctx context.Context, id LeaseID) error
	// Acquire writes a key under a lease. It reports false when another lease holds
	// the key or this one has expired.
	Acquire(ctx context.Context, key string, value []byte, id LeaseID) (bool, error)
}

// LeaseID identifies a lease.
type LeaseID string
