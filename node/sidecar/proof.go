package sidecar

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"zinniafall/node/hop"
	"zinniafall/node/peer"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/proof"
	"zinniafall/policy/roster"
	"zinniafall/policy/routing"
	"zinniafall/policy/strictcbor"
)

const (
	// maxNearAsked, maxFarAsked and maxAnyAsked bound the nodes that are asked for a
	// proof in one round: watchers of this node's failure domain, watchers of others, and
	// any nodes.
	maxNearAsked = 2
	maxFarAsked  = 2
	maxAnyAsked  = 1
	// minProofPause is the shortest time between two rounds.
	minProofPause = 100 * time.Millisecond
	// storeProofWait is how long the store may hold back its answer to a node that asks
	// it for a proof.
	storeProofWait = time.Millisecond
	// proofPollInterval is the time between two looks for a proof of a call that waits for it.
	proofPollInterval = 20 * time.Millisecond
	// proofRetryAfter is the Retry-After of a call without a proof: a round takes less.
	proofRetryAfter = 400 * time.Millisecond
)

var (
	callsWithoutProof = metrics.NewCounter(`zinniafall_calls_without_proof_total`)
	statementDecoder  = strictcbor.Decoder(strictcbor.Limits{})
)

// systemBootTime returns CLOCK_BOOTTIME. The monotonic clock of package time stops while
// the VM is suspended, and a proof would stay young.
func systemBootTime() proof.Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every supported kernel has the clock
	}
	return proof.Instant(t.Nano())
}

// proofs keeps the proof that this node's configuration is current, while the settings
// and the configuration call for it; see package proof.
type proofs struct {
	node *Node
	now  func() proof.Instant
	// wanted signals run that a call lacked a proof.
	wanted chan struct{}

	mu      sync.Mutex
	tracker proof.Tracker
	// position is the latest position of the store at which it showed no later
	// configuration than the one in force. Other keys may have changed before it.
	position Position

	// asker is used by run only, and asked, the time of the last call of the store, by
	// the follower of the operators' keys.
	asker *proof.Asker
	asked proof.Instant
	gauge sync.Once
}

func newProofs(n *Node, now func() proof.Instant) *proofs {
	if now == nil {
		now = systemBootTime
	}
	return &proofs{node: n, now: now, wanted: make(chan struct{}, 1), asker: proof.NewAsker(rand.Uint64())}
}

// required reports whether calls with a key need a proof.
func (p *proofs) required() bool {
	return p.node.live.Load().StrictRevocation && p.node.configuration.hasAccounts()
}

// limit returns the age that the proof of a call must not reach.
func (p *proofs) limit() time.Duration {
	return p.node.live.Load().RevocationTime - proof.Margin
}

// maxWatch returns the longest duration of a watch of the operators' keys. For a proof only
// the time at which it was sent counts, and other nodes rely on an answer for as long as a
// configuration may take until it is in force.
func (p *proofs) maxWatch() time.Duration {
	if p.required() {
		return proof.Interval
	}
	short := operatorWatchTimeout
	if t := p.node.live.Load().ApplyTime; t > 0 {
		short = min(short, t/2)
	}
	return p.node.fleet.maxWatch(short, secondWatchTimeout)
}

// advance records the revision in force.
func (p *proofs) advance(revision model.Revision) {
	p.mu.Lock()
	p.tracker.Advance(revision)
	p.mu.Unlock()
	if p.required() {
		p.gauge.Do(func() { p.node.metrics.NewGauge(`zinniafall_proof_age_seconds`, p.ageSeconds) })
		if _, ok := p.age(); !ok {
			notify(p.wanted)
		}
	}
}

func (p *proofs) age() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Age(p.now())
}

// ageSeconds returns the age of the proof for the metrics; it is infinite without one.
func (p *proofs) ageSeconds() float64 {
	age, ok := p.age()
	if !ok {
		return math.Inf(1)
	}
	return age.Seconds()
}

// check refuses a call with a key if no proof is young enough.
func (p *proofs) check(account model.Account) *problem.Error {
	if account == "" || !p.required() {
		return nil
	}
	p.mu.Lock()
	valid := p.tracker.Valid(p.now(), p.limit())
	p.mu.Unlock()
	if valid {
		return nil
	}
	notify(p.wanted)
	callsWithoutProof.Inc()
	return problem.New(problem.NotFresh, model.RunNo, "the node cannot show that the account's key has not been withdrawn").After(proofRetryAfter)
}

// provenAt returns the latest time at which the configuration in force was known to be
// current, or 0 if there is none.
func (p *proofs) provenAt() proof.Instant {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	age, ok := p.tracker.Age(now)
	if !ok {
		return 0
	}
	return now.Add(-age)
}

// checkReplaced refuses a call with a key whose configuration was replaced while it waited,
// once the proof that it arrived with is too old: the present proof is that of the
// configuration that may have withdrawn the key. It does not refuse the call if the present
// configuration has all keys that the account had when the call arrived.
func (p *proofs) checkReplaced(r *peer.Request, arrival arrival) *problem.Error {
	if r.Account == "" || !p.required() || !p.replaced(r.Revision) || p.now().Sub(arrival.provenAt) < p.limit() {
		return nil
	}
	if arrival.revision == r.Revision && p.node.configuration.current().KeepsKeys(r.Account, arrival.keys) {
		return nil
	}
	return problem.New(problem.ConfigurationLag, model.RunNo, "the configuration was replaced while the call waited")
}

// arrival is what a node knows of its configuration when a call arrives.
type arrival struct {
	// provenAt is the latest time at which the configuration was known to be current.
	provenAt proof.Instant
	revision model.Revision
	keys     routing.KeySet
}

// arrival returns what is known now. Without a configuration it has no keys.
func (p *proofs) arrival() arrival {
	a := arrival{provenAt: p.provenAt()}
	if table := p.node.configuration.current(); table != nil {
		a.revision, a.keys = table.Revision, table.Keys()
	}
	return a
}

// replaced reports whether the configuration of a revision has been replaced. A proof does
// not hold for it then.
func (p *proofs) replaced(revision model.Revision) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Revision() != revision
}

// storeAsked records that the follower of the operators' keys is about to call the store.
func (p *proofs) storeAsked() { p.asked = p.now() }

// storeAnswered records an answer of the store that has been applied.
func (p *proofs) storeAnswered(asked proof.Instant, at Position) {
	// The store may have returned from a copy of which other nodes know that it is old.
	_, behind := p.node.configuration.behind(time.Now())
	current := !behind && !p.node.configuration.storeShowsLater()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Answered(p.now(), asked, at.Era, current)
	if current && p.position.Before(at) {
		p.position = at
	}
}

// run renews the proof until the context ends.
func (p *proofs) run(ctx context.Context) {
	for hadProof := true; ctx.Err() == nil; {
		if p.required() {
			if age, ok := p.age(); !ok || age > proof.Enough || !p.node.followsOperators() {
				p.renew(ctx)
			}
			hadProof = p.logChange(hadProof)
		}
		p.markEra(ctx)
		if p.required() {
			sleep(ctx, minProofPause)
		}
		p.awaitNext(ctx)
	}
}

// awaitNext waits until the next renewal is due or a call lacks a proof.
func (p *proofs) awaitNext(ctx context.Context) {
	pause := proof.Interval - minProofPause
	timer := time.NewTimer(pause - rand.N(pause/4))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.wanted:
	case <-ctx.Done():
	}
}

// logChange logs when calls with a key are refused for want of a proof, and when they no
// longer are. It returns whether there is a proof.
func (p *proofs) logChange(had bool) bool {
	age, ok := p.age()
	has := ok && age < p.limit()
	switch {
	case had && !has:
		p.node.log.Warn("proof of currency lost", "part", "configuration", "revision", p.node.configuration.revision(), "proven", ok, "age_ms", age.Milliseconds(),
			"effect", "calls with a key are refused")
	case has && !had:
		p.node.log.Info("proof of currency regained", "part", "configuration", "revision", p.node.configuration.revision(), "age_ms", age.Milliseconds())
	}
	return has
}

// renew asks for a proof until one is young enough or all that may be asked in one round
// have been.
func (p *proofs) renew(ctx context.Context) {
	near, far, all := p.node.fleet.proofSources()
	if p.askNodes(ctx, near, maxNearAsked) || p.askNodes(ctx, far(), maxFarAsked) || p.askNodes(ctx, all, maxAnyAsked) {
		return
	}
	if ctx.Err() == nil && p.asker.TakeStore(p.now()) {
		// Another node may have a proof before a large answer has arrived.
		p.node.goBackground(func() { p.askStore(ctx) })
	}
}

// askNodes asks up to n of the nodes and reports whether one had a proof that is young
// enough.
func (p *proofs) askNodes(ctx context.Context, nodes []model.NodeAddr, n int) bool {
	for _, node := range p.asker.Pick(p.now(), nodes, n) {
		if p.askNode(ctx, node) {
			p.asker.Succeeded(node)
			return true
		}
		p.asker.Failed(p.now(), node)
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// askNode asks a node for its proof and reports whether it is young enough. If it is for a
// later configuration, that has to arrive first.
func (p *proofs) askNode(ctx context.Context, node model.NodeAddr) bool {
	ctx, cancel := context.WithTimeout(ctx, proof.Timeout)
	defer cancel()
	asked := p.now()
	exchange, err := p.node.client.Open(ctx, node, &peer.Request{Kind: peer.KindProof, Revision: p.node.configuration.revision(), Inline: true, From: p.node.self})
	if err != nil {
		return false
	}
	defer exchange.Close()
	answer, err := exchange.Receive()
	var s proof.Statement
	if err != nil || answer.Problem != nil || statementDecoder.Unmarshal(answer.Body, &s) != nil {
		return false
	}
	p.node.fleet.recordAlive(node)
	p.node.store.LearnEra(s.Era)
	p.node.configuration.recordReported(s.Revision, node)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.tracker.Stated(asked, s) {
		return false
	}
	if at := (Position{Era: s.Era, Revision: s.Position}); p.position.Before(at) && s.Revision <= p.tracker.Revision() {
		p.position = at
	}
	return p.now().Sub(asked)+s.Age <= proof.Enough
}

// askStore asks the store itself: whether the configuration has changed since the last
// position that is known or, without one, for all of the operators' keys. Changes of other
// keys since that position are not all that this node lacks, so they are left out. The answer
// may hold a configuration, so that only its progress is limited, by the store's client.
func (p *proofs) askStore(ctx context.Context) {
	reads := &p.node.configuration.storeReads
	if !reads.TryLock() {
		return // what is being read is a proof too
	}
	defer reads.Unlock()
	p.mu.Lock()
	position := p.position
	p.mu.Unlock()
	if position == (Position{}) {
		p.listStore(ctx)
		return
	}
	askedAt, asked := time.Now(), p.now()
	items, at, err := p.node.store.Watch(ctx, p.node.operatorKeys.Prefix(), position, storeProofWait)
	if err == nil {
		p.node.configuration.applyWritten(askedAt, items, at)
		p.storeAnswered(asked, at)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(err, ErrHistoryLost) && p.position == position {
		p.position = Position{}
	}
}

// listStore reads and applies the operators' configuration and evacuations. It returns
// whether the store answered.
func (p *proofs) listStore(ctx context.Context) bool {
	askedAt, asked := time.Now(), p.now()
	items, at, err := p.node.store.List(ctx, p.node.operatorKeys.Prefix())
	if err != nil {
		return false
	}
	p.node.configuration.listed(askedAt, items, at)
	p.storeAnswered(asked, at)
	return true
}

// serve answers another node that asks for this node's proof.
func (p *proofs) serve(stream *hop.Stream) {
	p.node.configuration.recordReported(stream.Request.Revision, stream.Request.From)
	p.mu.Lock()
	s := p.tracker.Statement(p.now())
	s.Era, s.Position = p.position.Era, p.position.Revision
	p.mu.Unlock()
	body, err := cbor.Marshal(s)
	if err != nil || stream.Answer(&peer.Answer{Run: model.RunNo, Status: 200, Inline: true, Body: body}) != nil {
		stream.Fail()
	}
}

// proofSources returns the nodes that may be asked for a proof: the watchers of this
// node's failure domain, those of the others, which are only computed if they are needed,
// and all.
func (f *fleet) proofSources() (near []model.NodeAddr, far func() []model.NodeAddr, all []model.NodeAddr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	records := f.roster.Records()
	for _, r := range records {
		all = append(all, r.Node)
	}
	return f.watchers.Watchers(), func() []model.NodeAddr { return roster.WatchersElsewhere(records, f.self.Domain) }, all
}
