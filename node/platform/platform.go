// Package platform is the client of the platform's key-value service.
//
// A read that fails is tried again, paced by a limit that all calls of one
// client share and spread by jitter, so that an outage draws no storm. A write
// is tried again only while no byte of it can have reached the service. Once
// it may have, the error's kind is OutcomeUnknown: the write may have taken
// effect, or may yet, and the caller resolves that by reading back.
package platform

import (
	"context"
	"time"
)

// MaxValue is the size in bytes of the largest value that the service keeps.
const MaxValue = 1 << 20

// Entry is one key as it was read.
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

// Store is the key-value service as the rest of the node uses it. Each error
// is an *Error.
type Store interface {
	// Get reads a key; an absent key is no error.
	Get(ctx context.Context, key string) (Entry, error)
	// Watch reads a key as soon as it has changed past the index, or at the
	// end of the client's watch time.
	Watch(ctx context.Context, key string, index uint64) (Entry, error)
	// Create writes a key that is absent; false when it is present.
	Create(ctx context.Context, key string, value []byte) (bool, error)
	// CompareAndSwap writes a key whose last change has the index; false when
	// another change came first.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error)
	// Delete removes a key; an absent key is no error.
	Delete(ctx context.Context, key string) error
}

// Leases is the part of the service that grants keys for a time. A holder that
// was paused may believe in a lease that has lapsed, so that a lease protects
// nothing by itself: what is written under it must go through CompareAndSwap.
type Leases interface {
	// Grant starts a lease; its keys are deleted when it lapses.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its time to live; false when it has lapsed.
	Renew(ctx context.Context, id LeaseID) (bool, error)
	// End deletes the lease and its keys.
	End(ctx context.Context, id LeaseID) error
	// Acquire writes a key under a lease; false when another lease holds the
	// key or this one has lapsed.
	Acquire(ctx context.Context, key string, value []byte, id LeaseID) (bool, error)
}

// LeaseID names a lease.
type LeaseID string
