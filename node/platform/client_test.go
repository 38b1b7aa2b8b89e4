package platform

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/standin/store"
)

// withClient runs the test in virtual time with a client of a stand-in store.
func withClient(t *testing.T, test func(ctx context.Context, s *store.Store, c *Client)) {
	synctest.Test(t, func(t *testing.T) {
		s := store.New()
		defer s.Close()
		test(t.Context(), s, New(Options{URL: s.URL(), Transport: s.Transport(), Seed: 1}))
	})
}

func TestKeyValues(t *testing.T) {
	withClient(t, func(ctx context.Context, s *store.Store, c *Client) {
		absent, err := c.Get(ctx, "a/b c")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, absent.Found, qt.IsFalse)
		for _, want := range []bool{true, false} {
			created, err := c.Create(ctx, "a/b c", []byte("one"))
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, created, qt.Equals, want)
		}
		one, err := c.Get(ctx, "a/b c")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(one.Value), qt.Equals, "one")
		for _, want := range []bool{true, false} {
			swapped, err := c.CompareAndSwap(ctx, "a/b c", []byte("two"), one.Index)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, swapped, qt.Equals, want)
		}
		_, err = c.Create(ctx, "large", make([]byte, MaxValue+1))
		var refused *Error
		qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
		qt.Assert(t, refused.Kind, qt.Equals, Refused)
		qt.Assert(t, c.Delete(ctx, "a/b c"), qt.IsNil)
		gone, err := c.Get(ctx, "a/b c")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, gone.Found, qt.IsFalse)
	})
}

func TestWatch(t *testing.T) {
	withClient(t, func(ctx context.Context, s *store.Store, c *Client) {
		first, err := c.Get(ctx, "k")
		qt.Assert(t, err, qt.IsNil)
		began := time.Now()
		same, err := c.Watch(ctx, "k", first.Index)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, same.Index, qt.Equals, first.Index)
		qt.Assert(t, time.Since(began), qt.Equals, defaultWatchTimeout)
		go func() { _, _ = c.Create(ctx, "k", []byte("v")) }()
		changed, err := c.Watch(ctx, "k", same.Index)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(changed.Value), qt.Equals, "v")
		qt.Assert(t, s.Counts().Watches, qt.Equals, 2)
	})
}

func TestLostResponseIsOutcomeUnknownAndNotRetried(t *testing.T) {
	withClient(t, func(ctx context.Context, s *store.Store, c *Client) {
		s.DropResponses(1)
		_, err := c.Create(ctx, "k", []byte("v"))
		qt.Assert(t, IsOutcomeUnknown(err), qt.IsTrue)
		qt.Assert(t, s.Counts().Writes, qt.Equals, 1)
		read, err := c.Get(ctx, "k")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(read.Value), qt.Equals, "v")
	})
}

func TestReadRetriesAreRateLimited(t *testing.T) {
	withClient(t, func(ctx context.Context, s *store.Store, c *Client) {
		s.SetDown(true)
		time.AfterFunc(60*time.Millisecond, func() { s.SetDown(false) })
		_, err := c.Get(ctx, "k")
		qt.Assert(t, err, qt.IsNil)
		s.SetDown(true)
		before := s.Counts().Reads
		began := time.Now()
		for range 40 {
			_, err := c.Get(ctx, "k")
			qt.Assert(t, IsUnavailable(err), qt.IsTrue)
		}
		retries := float64(s.Counts().Reads - before - 40)
		limit := defaultRetryRate*time.Since(began).Seconds() + retryBurst
		qt.Assert(t, retries <= limit, qt.IsTrue, qt.Commentf("%v retries, limit %v", retries, limit))
	})
}

func TestSlowStoreTimesOut(t *testing.T) {
	withClient(t, func(ctx context.Context, s *store.Store, c *Client) {
		s.SetDelay(time.Minute)
		_, err := c.Get(ctx, "k")
		qt.Assert(t, IsUnavailable(err), qt.IsTrue)
		_, err = c.CompareAndSwap(ctx, "k", nil, 1)
		qt.Assert(t, IsOutcomeUnknown(err), qt.IsTrue)
	})
}

// A write whose connection is refused, or whose context has ended before it
// starts, had no effect: the error must be Unavailable, not OutcomeUnknown.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	s, err := store.Start("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := s.URL()
	s.Close()
	c := New(Options{URL: address, Attempts: 1})
	_, err = c.Create(t.Context(), "k", nil)
	qt.Assert(t, IsUnavailable(err), qt.IsTrue)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Create(ended, "k", nil)
	qt.Assert(t, IsUnavailable(err), qt.IsTrue)
}

// A holder that was paused may act on its lease after the lease has expired. The
// store must refuse to renew it and must refuse the holder's writes to the key,
// compare-and-swap included.
func TestExpiredLeaseOfPausedHolder(t *testing.T) {
	withClient(t, func(ctx context.Context, s *store.Store, c *Client) {
		paused, err := c.Grant(ctx, 10*time.Second)
		qt.Assert(t, err, qt.IsNil)
		held, err := c.Acquire(ctx, "k", []byte("paused"), paused)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, held, qt.IsTrue)
		before, _ := c.Get(ctx, "k")
		time.Sleep(11 * time.Second)
		next, err := c.Grant(ctx, 10*time.Second)
		qt.Assert(t, err, qt.IsNil)
		held, err = c.Acquire(ctx, "k", []byte("next"), next)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, held, qt.IsTrue)
		renewed, err := c.Renew(ctx, paused)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, renewed, qt.IsFalse)
		held, err = c.Acquire(ctx, "k", []byte("paused"), paused)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, held, qt.IsFalse)
		swapped, err := c.CompareAndSwap(ctx, "k", []byte("paused"), before.Index)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, swapped, qt.IsFalse)
		qt.Assert(t, c.End(ctx, next), qt.IsNil)
	})
}

// Over TCP, also on a reused connection, net/http must not retry a write whose
// response was lost, and an outage must end a pending watch.
func TestFaultsOverTCP(t *testing.T) {
	s, err := store.Start("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer s.Close()
	c := New(Options{URL: s.URL()})
	first, err := c.Create(t.Context(), "k", []byte("1"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, first, qt.IsTrue)
	entry, err := c.Get(t.Context(), "k")
	qt.Assert(t, err, qt.IsNil)
	s.DropResponses(1)
	_, err = c.CompareAndSwap(t.Context(), "k", []byte("2"), entry.Index)
	qt.Assert(t, IsOutcomeUnknown(err), qt.IsTrue)
	qt.Assert(t, s.Counts().Writes, qt.Equals, 2)
	entry, err = c.Get(t.Context(), "k")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(entry.Value), qt.Equals, "2")
	go s.SetDown(true)
	for err == nil {
		_, err = c.Watch(t.Context(), "k", entry.Index)
	}
	qt.Assert(t, IsUnavailable(err), qt.IsTrue)
	_, err = c.CompareAndSwap(t.Context(), "k", []byte("3"), entry.Index)
	qt.Assert(t, IsOutcomeUnknown(err), qt.IsTrue)
}

// The header of a store's response is bounded, as its body is.
func TestStoreResponseHeaderIsBounded(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", 1<<20))
		_, _ = io.WriteString(w, "[]")
	}))
	defer server.Close()
	_, err := New(Options{URL: server.URL, Attempts: 1}).Get(t.Context(), "k")
	qt.Assert(t, err, qt.ErrorMatches, ".*header.*")
}

// TestMalformedResponseIsNone guards against a value that is read from a response which is none
// by the grammar of HTTP/1.1.
func TestMalformedResponseIsNone(t *testing.T) {
	for head, ok := range map[string]bool{"": true, "X A: b\r\n": false, "Content-Length : 9\r\n": false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"\r\n[]")
				_ = conn.Close()
			}
		}))
		_, err := New(Options{URL: server.URL, Attempts: 1}).Get(t.Context(), "k")
		server.Close()
		qt.Check(t, err == nil, qt.Equals, ok, qt.Commentf("%q: %v", head, err))
	}
}
