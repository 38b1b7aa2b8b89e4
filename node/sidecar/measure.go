package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// measuredStore counts the calls of a store.
type measuredStore struct{ store Store }

func (m measuredStore) List(ctx context.Context, prefix string) ([]Item, uint64, error) {
	items, revision, err := m.store.List(ctx, prefix)
	countStoreCall("list", err)
	return items, revision, err
}

func (m measuredStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error) {
	items, revision, err := m.store.Watch(ctx, prefix, after, wait)
	countStoreCall("watch", err)
	return items, revision, err
}

func (m measuredStore) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	lease, err := m.store.Grant(ctx, ttl)
	countStoreCall("grant", err)
	return lease, err
}

func (m measuredStore) Renew(ctx context.Context, lease Lease) (bool, error) {
	held, err := m.store.Renew(ctx, lease)
	countStoreCall("renew", err)
	return held, err
}

func (m measuredStore) Write(ctx context.Context, key string, value []byte, lease Lease) (bool, error) {
	held, err := m.store.Write(ctx, key, value, lease)
	countStoreCall("write", err)
	return held, err
}

func (m measuredStore) End(ctx context.Context, lease Lease) error {
	err := m.store.End(ctx, lease)
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
