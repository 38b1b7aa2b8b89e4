package sidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniafall/node/peer"
	"zinniafall/policy/distribution"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/strictcbor"
)

// maxTransferBytes is the size of the longest transfer: a configuration that does not
// compress, with its fields.
const maxTransferBytes = distribution.MaxDocumentBytes + 64<<10

var updatesDecoder = strictcbor.Decoder(strictcbor.Limits{})

// pull fetches newer configurations from other nodes until the context ends.
// distribution.Puller decides when and from which node.
func (c *configuration) pull(ctx context.Context) {
	for ctx.Err() == nil {
		have, now := c.revision(), time.Now()
		neighbors, watches := c.node.fleet.domainSize()
		c.mu.Lock()
		from, wait := c.puller.Next(now, have)
		readStore, storeWait := c.puller.TakeStore(now, have, neighbors, watches)
		c.mu.Unlock()
		if readStore {
			c.node.goBackground(func() {
				c.readStore(ctx)
				have := c.revision()
				c.mu.Lock()
				c.puller.FinishedStore(time.Now(), have)
				c.mu.Unlock()
				notify(c.reports)
			})
		}
		if from == "" {
			if storeWait > 0 && (wait == 0 || storeWait < wait) {
				wait = storeWait
			}
			c.awaitReport(ctx, wait)
			continue
		}
		c.node.goBackground(func() {
			outcome, alternatives := c.fetch(ctx, from)
			have := c.revision()
			c.mu.Lock()
			c.puller.Finished(time.Now(), from, outcome, alternatives, have)
			c.mu.Unlock()
			notify(c.reports)
		})
	}
}

// awaitReport waits for a report or the end of a transfer, or for the given time if it is
// not 0.
func (c *configuration) awaitReport(ctx context.Context, wait time.Duration) {
	var expired <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-c.reports:
	case <-expired:
	case <-ctx.Done():
	}
}

// transfer is a configuration as another node sent it.
type transfer struct {
	body    []byte
	updates bool
	// revision is the revision in force at the other node, or 0 if that is unknown.
	revision model.Revision
	// alternatives are set if the node was busy.
	busy         bool
	alternatives []model.NodeAddr
}

// fetch requests the configuration of another node and applies it if it is newer.
// Failures are only logged.
func (c *configuration) fetch(ctx context.Context, from model.NodeAddr) (distribution.Outcome, []model.NodeAddr) {
	began := time.Now()
	c.sending.Lock()
	base := c.archive.Document()
	c.sending.Unlock()
	if c.needsWhole.Swap(false) {
		base = nil
	}
	t, err := c.download(ctx, from, base)
	configurationBytesReceived.Add(len(t.body))
	if t.busy {
		configurationTransfersBusy.Inc()
		return distribution.Busy, c.alternativesLike(from, t.alternatives)
	}
	failed := func(outcome distribution.Outcome, err error) (distribution.Outcome, []model.NodeAddr) {
		configurationTransfersFailed.Inc()
		configurationBytesDiscarded.Add(len(t.body))
		c.node.log.Info("configuration not fetched", "part", "configuration", "from", from, "error", err.Error(),
			"revision_reported", c.newestReported(), "bytes", len(t.body), "ms", time.Since(began).Milliseconds())
		return outcome, nil
	}
	if err != nil {
		return failed(distribution.Failed, err)
	}
	document, updates := t.body, []distribution.Update(nil)
	if t.updates {
		err = updatesDecoder.Unmarshal(t.body, &updates)
	}
	// Another source may have been faster.
	outdated := t.updates && (len(updates) == 0 || updates[len(updates)-1].Revision <= c.revision())
	if err == nil && t.updates && !outdated {
		document, _, err = distribution.Apply(base, updates)
		c.needsWhole.Store(err != nil)
	}
	if err != nil {
		return failed(distribution.Unusable, err)
	}
	configurationTransfersComplete.Inc()
	if outdated {
		if len(updates) == 0 && t.revision > c.revision() {
			err = c.applyIfNewer(base, nil, t.revision, string(from))
		}
	} else {
		err = c.applyIfNewer(document, updates, revisionOf(updates), string(from))
	}
	if err != nil {
		return distribution.Unusable, nil
	}
	return distribution.Received, nil
}

// readStore reads the operators' keys from the store, because other nodes do not send a newer
// configuration that they have.
func (c *configuration) readStore(ctx context.Context) {
	c.storeReads.Lock()
	defer c.storeReads.Unlock()
	reported := c.newestReported()
	if c.revision() >= reported {
		return
	}
	configurationStoreReads.Inc()
	c.node.log.Info("configuration read from the store", "part", "configuration", "revision_reported", reported, "revision_in_force", c.revision())
	if !c.node.proofs.listStore(ctx) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreadable {
		c.puller.Reject(reported)
	}
}

// revisionOf returns the revision to which updates lead, or 0 without any.
func revisionOf(updates []distribution.Update) model.Revision {
	if len(updates) == 0 {
		return 0
	}
	return updates[len(updates)-1].Revision
}

// alternativesLike returns the alternatives that are, like the busy node, in this node's
// failure domain or outside it. It leaves out this node.
func (c *configuration) alternativesLike(busy model.NodeAddr, alternatives []model.NodeAddr) []model.NodeAddr {
	near := c.node.fleet.inOwnDomain(busy)
	return slices.DeleteFunc(alternatives, func(node model.NodeAddr) bool {
		return node == c.node.self || c.node.fleet.inOwnDomain(node) != near
	})
}

var (
	errStalled = fmt.Errorf("nothing arrived for %s", distribution.StallTimeout)
	errTooLong = fmt.Errorf("the transfer took over %s", distribution.MaxTransferTime)
)

// download returns the configuration of another node as updates from base or, with an
// error, the part of it that arrived. The request has an empty body that ends once the
// answer is read, which tells the other node that it may send to others.
func (c *configuration) download(ctx context.Context, from model.NodeAddr, base []byte) (transfer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stalled := time.AfterFunc(distribution.StallTimeout, func() { cancel(errStalled) })
	defer stalled.Stop()
	tooLong := time.AfterFunc(distribution.MaxTransferTime, func() { cancel(errTooLong) })
	defer tooLong.Stop()
	request := &peer.Request{Kind: peer.KindConfiguration, From: c.node.self, Updates: true}
	if base != nil {
		request.Base = uint64(distribution.SumOf(base))
	}
	exchange, err := c.node.client.Open(ctx, from, request)
	if err != nil {
		return transfer{}, errors.Join(err, context.Cause(ctx))
	}
	defer exchange.Close()
	answer, err := exchange.Receive()
	switch {
	case err != nil:
		return transfer{}, errors.Join(err, context.Cause(ctx))
	case answer.Problem != nil && answer.Problem.Kind == problem.Overloaded:
		return transfer{busy: true, alternatives: answer.Alternatives}, nil
	case answer.Problem != nil:
		return transfer{}, answer.Problem
	}
	body := progressReader{exchange, func() { stalled.Reset(distribution.StallTimeout) }}
	raw, err := io.ReadAll(io.LimitReader(body, maxTransferBytes+1))
	if err == nil && len(raw) > maxTransferBytes {
		err = fmt.Errorf("%w: the transfer has over %d bytes", distribution.ErrDocumentTooLarge, maxTransferBytes)
	}
	if err != nil {
		err = errors.Join(err, context.Cause(ctx))
	}
	t := transfer{body: raw, updates: answer.Updates}
	if answer.Report != nil {
		t.revision = answer.Report.Revision
	}
	return t, err
}

// progressReader calls progress whenever bytes were read.
type progressReader struct {
	io.Reader
	progress func()
}

func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.progress()
	}
	return n, err
}

// serve sends this node's configuration to another node: as updates if it asks for them,
// otherwise, to a node of an earlier release, as a document.
func (c *configuration) serve(stream streamWriter, request *peer.Request) {
	answer := &peer.Answer{Run: model.RunNo}
	body, revision, err := c.encodeFor(request)
	switch {
	case err != nil:
		answer.Problem = problem.New(problem.Internal, model.RunNo, err.Error())
	case body == nil:
		answer.Problem = problem.New(problem.ConfigurationLag, model.RunNo, "the node has no configuration yet")
	case !c.beginSending(len(body)):
		answer.Problem = problem.New(problem.Overloaded, model.RunNo, "the node sends its configuration to other nodes")
		c.sending.Lock()
		answer.Alternatives = c.sender.Alternatives(revision)
		c.sending.Unlock()
	default:
		complete := false
		defer func() { c.endSending(len(body), revision, request.From, complete) }()
		answer.Status, answer.Length, answer.Updates = 200, int64(len(body)), request.Updates
		answer.Report = &model.Report{Revision: revision}
		if stream.Answer(answer) != nil || stream.SendBody(bytes.NewReader(body)) != nil {
			stream.Fail()
			return
		}
		if !request.Inline {
			// The kernel may have taken bytes that have not crossed the network. The
			// other node ends its request once it has them; an earlier release does not.
			if _, err := io.Copy(io.Discard, stream); err != nil {
				return
			}
		}
		complete = true
		return
	}
	if stream.Answer(answer) != nil {
		stream.Fail()
	}
}

// encodeFor returns what to send to a node and the revision to which that leads. The
// body is nil if this node has no configuration.
func (c *configuration) encodeFor(request *peer.Request) ([]byte, model.Revision, error) {
	c.sending.Lock()
	defer c.sending.Unlock()
	if !request.Updates || c.archive.Revision() == 0 {
		return c.archive.Document(), c.archive.Revision(), nil
	}
	updates, err := c.archive.UpdatesFrom(distribution.Sum(request.Base))
	if err != nil {
		return nil, 0, err
	}
	body, err := cbor.Marshal(updates)
	return body, c.archive.Revision(), err
}

// documentBytes returns the size of the configuration in force.
func (c *configuration) documentBytes() int {
	c.sending.Lock()
	defer c.sending.Unlock()
	return len(c.archive.Document())
}

func (c *configuration) beginSending(bytes int) bool {
	c.sending.Lock()
	defer c.sending.Unlock()
	ok := c.sender.Begin(bytes)
	if ok {
		configurationBytesSent.Add(bytes)
	}
	return ok
}

func (c *configuration) endSending(bytes int, revision model.Revision, to model.NodeAddr, complete bool) {
	c.sending.Lock()
	defer c.sending.Unlock()
	c.sender.Finished(bytes, revision, to, complete)
}

// streamWriter is the answering side of an exchange between nodes.
type streamWriter interface {
	io.Reader // the body of the request
	Answer(*peer.Answer) error
	SendBody(io.Reader) error
	Fail()
}
