package platform

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/dghubble/sling"
)

// indexHeader holds the index of the key, also when the key is absent.
const indexHeader = "X-Consul-Index"

// pair is the service's JSON encoding of an entry; Value is base64.
type pair struct {
	Value       []byte
	ModifyIndex uint64
}

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	return c.read(ctx, call{op: "get", key: key, timeout: c.options.Timeout}, "")
}

// Watch reads a key once it changes. It makes a single attempt: the task that
// watches has its own delay between attempts and must see each failure.
func (c *Client) Watch(ctx context.Context, key string, index uint64) (Entry, error) {
	wait := c.options.WatchTimeout
	query := fmt.Sprintf("?index=%d&wait=%s", index, url.QueryEscape(wait.String()))
	return c.read(ctx, call{op: "watch", key: key, timeout: wait + c.options.Timeout}, query)
}

func (c *Client) read(ctx context.Context, read call, query string) (Entry, error) {
	var pairs []pair
	read.result = &pairs
	read.allowNotFound = true
	read.request = func() *sling.Sling { return c.base.New().Get(path(read.key) + query) }
	send := c.do
	if query != "" {
		send = c.attemptOnce
	}
	response, err := send(ctx, read)
	if err != nil {
		return Entry{}, err
	}
	entry := Entry{Key: read.key}
	if len(pairs) == 1 && response.StatusCode == http.StatusOK {
		entry.Found, entry.Value, entry.Index = true, pairs[0].Value, pairs[0].ModifyIndex
		return entry, nil
	}
	entry.Index, _ = strconv.ParseUint(response.Header.Get(indexHeader), 10, 64)
	return entry, nil
}

// attemptOnce makes a single attempt of the call, without retries.
func (c *Client) attemptOnce(ctx context.Context, read call) (*http.Response, error) {
	response, err := c.attempt(ctx, read)
	if err != nil {
		return nil, &Error{Kind: kindOf(err, false), Op: read.op, Key: read.key, Err: err}
	}
	return response, nil
}

// Create writes a key that is absent.
func (c *Client) Create(ctx context.Context, key string, value []byte) (bool, error) {
	return c.put(ctx, "create", key, value, "?cas=0")
}

// CompareAndSwap writes a key whose last change has the index.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	return c.put(ctx, "cas", key, value, fmt.Sprintf("?cas=%d", index))
}

// Delete removes a key.
func (c *Client) Delete(ctx context.Context, key string) error {
	var done bool
	_, err := c.do(ctx, call{
		op: "delete", key: key, write: true, timeout: c.options.Timeout, result: &done,
		request: func() *sling.Sling { return c.base.New().Delete(path(key)) },
	})
	return err
}

func (c *Client) put(ctx context.Context, op, key string, value []byte, query string) (bool, error) {
	var written bool
	_, err := c.do(ctx, call{
		op: op, key: key, write: true, timeout: c.options.Timeout, result: &written,
		request: func() *sling.Sling { return c.base.New().Put(path(key) + query).Body(bytes.NewReader(value)) },
	})
	return written, err
}

// path returns the service's path of a key, relative to the base.
func path(key string) string { return "v1/kv/" + (&url.URL{Path: key}).EscapedPath() }

// leaseRequest is the request body that creates a lease.
type leaseRequest struct {
	TTL       string
	Behavior  string
	LockDelay string
}

// leaseResponse holds the ID of a new lease.
type leaseResponse struct{ ID LeaseID }

// Grant creates a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var response leaseResponse
	request := leaseRequest{TTL: ttl.String(), Behavior: "delete", LockDelay: "0s"}
	_, err := c.do(ctx, call{
		op: "grant", write: true, timeout: c.options.Timeout, result: &response,
		request: func() *sling.Sling { return c.base.New().Put("v1/session/create").BodyJSON(request) },
	})
	return response.ID, err
}

// Renew extends a lease by its time to live. To repeat it is safe, so it is not
// marked as a write and is retried after a lost answer.
func (c *Client) Renew(ctx context.Context, id LeaseID) (bool, error) {
	response, err := c.do(ctx, call{
		op: "renew", key: string(id), timeout: c.options.Timeout, allowNotFound: true,
		request: func() *sling.Sling { return c.base.New().Put("v1/session/renew/" + url.PathEscape(string(id))) },
	})
	if err != nil {
		return false, err
	}
	return response.StatusCode == http.StatusOK, nil
}

// End deletes a lease and its keys. To repeat it is safe; see Renew.
func (c *Client) End(ctx context.Context, id LeaseID) error {
	_, err := c.do(ctx, call{
		op: "end", key: string(id), timeout: c.options.Timeout,
		request: func() *sling.Sling { return c.base.New().Put("v1/session/destroy/" + url.PathEscape(string(id))) },
	})
	return err
}

// Acquire writes a key under a lease.
func (c *Client) Acquire(ctx context.Context, key string, value []byte, id LeaseID) (bool, error) {
	return c.put(ctx, "acquire", key, value, "?acquire="+url.QueryEscape(string(id)))
}
