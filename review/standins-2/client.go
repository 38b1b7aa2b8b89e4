package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Int64

// newID returns the id of a new client attempt.
func newID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, requestNumber.Add(1))
}

// result is what a client got.
type result struct {
	id     string
	status int // 0: no complete answer
	body   string
	signed string
	err    error
	took   time.Duration
}

// client sends requests to the outbound address of a machine, each on a connection of its own:
// on a kept one the library may repeat a request.
type client struct {
	m      *machine
	http   *http.Client
	record *record
}

func newClient(m *machine, rec *record) *client {
	return &client{m: m, record: rec, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// send sends one request and records its answer.
func (c *client) send(method, host, path string, body []byte, deadline time.Duration) result {
	r, err := http.NewRequest(method, "http://"+c.m.outbound+path, bytes.NewReader(body))
	if err != nil {
		return result{err: err}
	}
	id := newID()
	r.Host = host
	r.Header.Set("X-Zinniafall-Request-Id", id)
	r.Header.Set("X-Zinniafall-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	began := time.Now()
	c.record.add("client sends request %s to %s: %s %s%s, %d bytes, deadline %d ms", id, c.m.name, method, host, path, len(body), deadline.Milliseconds())
	out := result{id: id}
	timer := time.AfterFunc(deadline+2*time.Second, c.http.CloseIdleConnections)
	defer timer.Stop()
	response, err := c.http.Do(r)
	out.took = time.Since(began)
	if err != nil {
		out.err = err
		c.record.add("request %s: no answer after %.3f s (%v)", id, out.took.Seconds(), err)
		return out
	}
	raw, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	out.took = time.Since(began)
	if err != nil {
		out.err = err
		c.record.add("request %s: status %d, but its answer is not whole (%v)", id, response.StatusCode, err)
		return out
	}
	out.status, out.body, out.signed = response.StatusCode, string(raw), response.Header.Get("X-Zinniafall-Upstream-Signature")
	c.record.add("request %s: %d, signature %q, after %.3f s", id, out.status, out.signed, out.took.Seconds())
	return out
}
