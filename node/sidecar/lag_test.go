package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"zinniafall/node/hop"
	"zinniafall/node/peer"
	"zinniafall/node/sockets"
	"zinniafall/policy/distribution"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/routing"
)

// newLargeDocument returns a configuration as newDocument does, with further routes until it
// has the given size.
func newLargeDocument(t testing.TB, revision model.Revision, bytes int, service model.Service) []byte {
	var d testDocument
	qt.Assert(t, json.Unmarshal(newDocument(t, revision, service), &d), qt.IsNil)
	one, err := json.Marshal(d.Routes[0])
	qt.Assert(t, err, qt.IsNil)
	for i := range bytes/len(one) + 1 {
		d.Routes = append(d.Routes, routing.Route{
			Name: fmt.Sprint("extra-", i), Host: "extra", Prefix: fmt.Sprintf("/%d/", i), Backends: d.Routes[0].Backends,
			Idempotent: true, Timeout: 20 * time.Second, Objective: 10 * time.Second, MaxAttempts: 2,
		})
	}
	raw, err := json.Marshal(d)
	qt.Assert(t, err, qt.IsNil)
	return raw
}

// TestConfigurationOverOneMebibyteIsInForceOnAllNodes guards against a limit on what other
// nodes send that does not hold for what the store sends.
func TestConfigurationOverOneMebibyteIsInForceOnAllNodes(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	var nodes []*testNode
	for i := range 4 { // two of them watch the store
		nodes = append(nodes, startNode(t, store, "a", "front", newTestTarget(t, fmt.Sprint("t", i))))
	}
	for _, n := range nodes {
		n.waitForTargets("front", 4)
	}
	store.put("ops/config", newLargeDocument(t, 2, 5<<18, "front"), false)
	for _, n := range nodes {
		eventually(t, "revision 2 is in force", func() bool { return n.configuration.revision() == 2 })
	}
}

// unchangingStore is a store whose watches show no changes.
type unchangingStore struct{ Store }

func (s unchangingStore) Watch(ctx context.Context, _ string, after Position, wait time.Duration) ([]Item, Position, error) {
	sleep(ctx, wait)
	return nil, after, ctx.Err()
}

// unusableHolder is a node whose configuration is not usable, in whole or as an update.
type unusableHolder struct {
	revision model.Revision
	asked    *atomic.Int32
}

func (h unusableHolder) ServeRequest(_ context.Context, _ string, stream *hop.Stream) {
	if stream.Request.Kind != peer.KindConfiguration {
		_ = stream.Answer(&peer.Answer{Run: model.RunNo, Problem: problem.New(problem.BadRequest, model.RunNo, "not served")})
		return
	}
	h.asked.Add(1)
	body, _ := cbor.Marshal([]distribution.Update{{Base: distribution.Sum(stream.Request.Base), Revision: h.revision, Sum: 1, Data: []byte("damaged")}})
	_ = stream.Answer(&peer.Answer{Run: model.RunNo, Status: 200, Length: int64(len(body)), Updates: true})
	if stream.SendBody(bytes.NewReader(body)) != nil {
		stream.Fail()
	}
}

// serveHolder starts a node that serves requests with the handler and returns its address.
func serveHolder(t testing.TB, handler hop.Handler) model.NodeAddr {
	listener, err := sockets.Listen(freeAddr(), sockets.SilentPeerTimeout)
	qt.Assert(t, err, qt.IsNil)
	server := hop.NewServer(handler)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close(); _ = listener.Close() })
	return model.NodeAddr(listener.Addr().String())
}

// TestUnusableConfigurationsOfNodesAreReadFromTheStore guards against a node that asks other
// nodes again and again for what it has found unusable, and never the store, which has it.
func TestUnusableConfigurationsOfNodesAreReadFromTheStore(t *testing.T) {
	store := newMemoryStore()
	store.configure(t, 1, "front")
	n := startNode(t, unchangingStore{store}, "a", "front", newTestTarget(t, "t0"))
	eventually(t, "revision 1 is in force", func() bool { return n.configuration.revision() == 1 })
	store.configure(t, 2, "front")
	var asked atomic.Int32
	holders := []model.NodeAddr{serveHolder(t, unusableHolder{2, &asked}), serveHolder(t, unusableHolder{2, &asked})}
	eventually(t, "revision 2 is in force", func() bool {
		for _, holder := range holders {
			n.configuration.recordReported(2, holder)
		}
		return n.configuration.revision() == 2
	})
	qt.Assert(t, asked.Load() <= 4, qt.IsTrue, qt.Commentf("asked %d times", asked.Load()))
}

// slowStore is a store whose answers with a configuration take a while to arrive.
type slowStore struct {
	Store
	delay time.Duration
}

func (s slowStore) Watch(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Item, Position, error) {
	items, at, err := s.Store.Watch(ctx, prefix, after, wait)
	if len(items) > 0 {
		sleep(ctx, s.delay)
	}
	if err == nil {
		err = ctx.Err()
	}
	return items, at, err
}

// TestProofFromTheStoreAwaitsALargeConfiguration guards against a time limit of the question
// for a proof that is shorter than the transfer of the configuration in its answer: 1.4 MB
// take 1.2 s of a link of 10 Mbit/s. No call with a key was served from then on.
func TestProofFromTheStoreAwaitsALargeConfiguration(t *testing.T) {
	store := newMemoryStore()
	store.configureAccounts(t, 1, map[model.Account][]string{"gold": {testKey}})
	n := startNodeWith(t, slowStore{store, 1200 * time.Millisecond}, "d", "s", newTestTarget(t, "t1"), freeAddr(), func(o *Options) {
		o.Settings.StrictRevocation, o.Settings.RevocationTime = true, 5*time.Second
	})
	eventually(t, "there is a proof", func() bool { _, ok := n.proofs.age(); return ok })
	// A question that is under way, of which there is one at a time, may be older than the change.
	n.configuration.storeReads.Lock()
	store.configureAccounts(t, 2, map[model.Account][]string{"gold": {testKey}})
	n.configuration.storeReads.Unlock()
	n.proofs.askStore(t.Context())
	qt.Assert(t, n.configuration.revision(), qt.Equals, model.Revision(2))
}

// TestOverdueConfigurationServesNoCalls guards against calls that run by a configuration that
// was replaced longer ago than the operators' bound, because entry and owner are behind
// together. The refusal of either of them suffices.
func TestOverdueConfigurationServesNoCalls(t *testing.T) {
	for _, part := range []string{"entry", "owner"} {
		t.Run(part, func(t *testing.T) {
			store := newMemoryStore()
			store.configure(t, 1, "front")
			target := newTestTarget(t, "t1")
			start := func(name string, service model.Service, target *testTarget) *testNode {
				return startNodeWith(t, store, "a", service, target, freeAddr(), func(o *Options) {
					if name == part {
						o.Settings.ApplyTime = 200 * time.Millisecond
					}
				})
			}
			entry, owner := start("entry", "none", newTestTarget(t, "t0")), start("owner", "front", target)
			owner.waitForOwnTarget()
			entry.waitForTargets("front", 1)
			behind := map[string]*testNode{"entry": entry, "owner": owner}[part]
			qt.Assert(t, entry.call(http.MethodGet, "front", "/safe/x").status, qt.Equals, 200)

			store.setDown(true)
			eventually(t, "the configuration is overdue", func() bool {
				behind.configuration.recordReported(2, "127.0.0.1:1") // cannot be reached
				return behind.configuration.checkOverdue(time.Now()) != nil
			})
			ran := len(target.requests())
			refused := entry.call(http.MethodGet, "front", "/safe/x")
			qt.Check(t, refused.status, qt.Equals, http.StatusServiceUnavailable)
			qt.Check(t, refused.header.Get("Retry-After") != "", qt.IsTrue)
			qt.Check(t, target.requests(), qt.HasLen, ran)
		})
	}
}
