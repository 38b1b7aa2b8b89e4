package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// countedStore counts the calls of a store.
type countedStore struct{ Store }

func (s countedStore) List(ctx context.Context, prefix string) ([]Item, Position, error) {
	items, at, err := s.Store.List(ctx, prefix)
	countStoreCall("list", err)
	return items, at, err
}

func (s countedStore) Watch(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Item, Position, error) {
	items, at, err := s.Store.Watch(ctx, prefix, after, wait)
	countStoreCall("watch", err)
	return items, at, err
}

func (s countedStore) Grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	lease, err := s.Store.Grant(ctx, ttl)
	countStoreCall("grant", err)
	return lease, err
}

func (s countedStore) Renew(ctx context.Context, lease Lease) (bool, error) {
	held, err := s.Store.Renew(ctx, lease)
	countStoreCall("renew", err)
	return held, err
}

func (s countedStore) Write(ctx context.Context, key string, value []byte, lease Lease) (bool, error) {
	held, err := s.Store.Write(ctx, key, value, lease)
	countStoreCall("write", err)
	return held, err
}

func (s countedStore) End(ctx context.Context, lease Lease) error {
	err := s.Store.End(ctx, lease)
	countStoreCall("end", err)
	return err
}

func (s countedStore) Get(ctx context.Context, key string) (Item, bool, error) {
	item, found, err := s.Store.Get(ctx, key)
	countStoreCall("get", err)
	return item, found, err
}

func (s countedStore) Swap(ctx context.Context, expect []Expectation, writes []KeyValue) (bool, error) {
	swapped, err := s.Store.Swap(ctx, expect, writes)
	countStoreCall("swap", err)
	return swapped, err
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
