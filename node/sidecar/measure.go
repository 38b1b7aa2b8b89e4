package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// countedStore counts the calls of a store.
type countedStore struct{ store Store }

func (s countedStore) List(ctx context.Context, prefix string) ([]Item, uint64, error) {
	items, revision, err := s.store.List(ctx, prefix)
	countStoreCall("list", err)
	return items, revision, err
}

func (s countedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error) {
	items, revision, err := s.store.Watch(ctx, prefix, after, wait)
	countStoreCall("watch", err)
	return items, revision, err
}

func (s countedStore) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	lease, err := s.store.Grant(ctx, ttl)
	countStoreCall("grant", err)
	return lease, err
}

func (s countedStore) Renew(ctx context.Context, lease Lease) (bool, error) {
	held, err := s.store.Renew(ctx, lease)
	countStoreCall("renew", err)
	return held, err
}

func (s countedStore) Write(ctx context.Context, key string, value []byte, lease Lease) (bool, error) {
	held, err := s.store.Write(ctx, key, value, lease)
	countStoreCall("write", err)
	return held, err
}

func (s countedStore) End(ctx context.Context, lease Lease) error {
	err := s.store.End(ctx, lease)
	countStoreCall("end", err)
	return err
}

func countStoreCall(call string, err error) {
	result := "ok"
	switch {
	case errors.Is(err, ErrHistoryLost):
		result = "history_lost"
	case err != nil:
		result = "failed"
	}
	metrics.GetOrCreateCounter(`zinniafall_store_calls_total{call="` + call + `",result="` + result + `"}`).Inc()
}
