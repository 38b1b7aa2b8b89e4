// Package distribution decides how a configuration spreads from the nodes that have
// it to the nodes that lack it.
//
// A few nodes read it from the store; the others learn of it from greetings, calls and
// answers, and fetch it from a node that has it. Three decisions keep a large
// configuration from filling the links that calls share with it. What is sent is the
// difference to the configuration that the receiver has (Archive). A node sends a few
// transfers at a time and turns others away, naming nodes that it has just served, so
// that the number of senders grows with the number of nodes that have the configuration
// (Sender). A node fetches from one node at a time, or from two if the first one is slow,
// prefers its own failure domain, and goes to another node after a failure (Puller). A
// transfer that makes progress is not given up.
package distribution

import (
	"math/rand/v2"
	"slices"
	"time"

	"zinniafall/policy/model"
)

const (
	// StallTimeout is the time without progress after which a transfer is given up.
	StallTimeout = time.Second
	// MaxTransferTime limits a transfer that makes progress.
	MaxTransferTime = 10 * time.Second

	// reportTTL is how long a node relies on a report that was not repeated. Nodes
	// that have a revision report it about once a second.
	reportTTL = 5 * time.Second
	// minRetryAfter is the shortest Retry-After of a node that lacks the newest
	// configuration.
	minRetryAfter = 150 * time.Millisecond
	// MaxCallWait bounds how long a call waits for a configuration that other nodes
	// have, and callWaitDivisor that part of the caller's remaining time.
	MaxCallWait     = 400 * time.Millisecond
	callWaitDivisor = 3
	// maxHolders bounds the nodes that are known to have a newer configuration.
	maxHolders = 16
	// maxFetches bounds the transfers to one node at the same time, and slowTransfer is
	// the duration of one after which the next may begin.
	maxFetches   = 2
	slowTransfer = time.Second
	// minBusyDelay and maxBusyDelay are the times until a node that was busy is asked
	// again, and minFailureDelay and maxFailureDelay the same for one at which a
	// transfer failed.
	minBusyDelay    = 50 * time.Millisecond
	maxBusyDelay    = 400 * time.Millisecond
	minFailureDelay = 200 * time.Millisecond
	maxFailureDelay = 2 * time.Second
	// maxUnusable is the number of configurations in a row that were not usable after which
	// no other node is asked for that revision for a while: the update and the whole
	// configuration. minUnusableDelay and maxUnusableDelay bound that time.
	maxUnusable      = 2
	minUnusableDelay = 5 * time.Second
	maxUnusableDelay = 30 * time.Second
	// MaxReportDelay is the time after the acknowledgement of a configuration in which
	// other nodes are told of it: those that watch the store read and decode it first.
	MaxReportDelay = time.Second
	// maxReported bounds the revisions whose first report is remembered.
	maxReported = 16
	// otherDomainDelay is how long a node leaves the transfer to the nodes of its own
	// failure domain that are known to have the configuration: bytes between failure
	// domains are expensive.
	otherDomainDelay = 500 * time.Millisecond
)

// Outcome is how a transfer ended.
type Outcome uint8

// The outcomes of a transfer.
const (
	// Received: the node sent what it has.
	Received Outcome = iota
	// Busy: the node makes other transfers now.
	Busy
	// Failed: the node could not be reached, or the transfer broke off.
	Failed
	// Unusable: the node sent something that does not lead to a valid configuration.
	Unusable
)

// holder is a node that reported a newer configuration.
type holder struct {
	node       model.NodeAddr
	near       bool
	revision   model.Revision
	lastReport time.Time
	// notBefore is when the node may be asked again.
	notBefore time.Time
	// busy and failures count the transfers that it refused, or that failed, in a row.
	busy, failures int
}

// Puller decides when and from which node a node fetches a newer configuration. It
// is not safe for concurrent use.
type Puller struct {
	rng     *rand.Rand
	holders []*holder
	// active holds the start of each transfer in progress.
	active map[model.NodeAddr]time.Time
	// newest is the newest revision that was reported, firstReport and lastReport
	// the times of its first and its last report.
	newest                  model.Revision
	firstReport, lastReport time.Time
	// latest is the revision of the last report above the one in force then.
	latest   model.Revision
	latestAt time.Time
	// reported holds the first reports of revisions above the one in force, oldest first.
	reported []firstReport
	// unusable counts the transfers in a row that were not usable, and unusableUntil is
	// until when no node is asked because of that.
	unusable      int
	unusableUntil time.Time
	// rejected is the newest revision that the store itself showed and that is not valid
	// here. It is not fetched.
	rejected model.Revision
	store    storeReads
	// confirmedAt is the latest time at which the store is known to have shown no later
	// configuration than the one in force.
	confirmedAt time.Time
}

// firstReport is when a revision was reported first.
type firstReport struct {
	revision model.Revision
	at       time.Time
}

// NewPuller returns a Puller that knows of no configuration.
func NewPuller(seed uint64) *Puller {
	return &Puller{rng: rand.New(rand.NewPCG(seed, 0)), active: make(map[model.NodeAddr]time.Time)}
}

// Report records that another node has a revision. near reports whether it is in this
// node's failure domain, and have is the revision in force here. It returns whether this is
// the first report of a revision that is newer than all before.
func (p *Puller) Report(now time.Time, from model.NodeAddr, near bool, revision, have model.Revision) (first bool) {
	if revision <= have || from == "" {
		return false
	}
	if first = revision > p.newest; first {
		p.newest, p.firstReport = revision, now
	}
	if revision == p.newest {
		p.lastReport = now
	}
	p.latest, p.latestAt = revision, now
	p.recordFirst(now, revision, have)
	p.holders = slices.DeleteFunc(p.holders, func(h *holder) bool {
		return h.revision <= have || now.Sub(h.lastReport) >= reportTTL
	})
	i := slices.IndexFunc(p.holders, func(h *holder) bool { return h.node == from })
	if i < 0 {
		if len(p.holders) >= maxHolders {
			p.evict(near)
		}
		if len(p.holders) >= maxHolders {
			return first
		}
		p.holders = append(p.holders, &holder{node: from, near: near})
		i = len(p.holders) - 1
	}
	h := p.holders[i]
	h.revision, h.lastReport = max(h.revision, revision), now
	return first
}

// evict makes room for a holder: the one in another failure domain that was reported
// longest ago, or any if the new one is near.
func (p *Puller) evict(near bool) {
	oldest := -1
	for i, h := range p.holders {
		if h.near && !near {
			continue
		}
		if oldest < 0 || p.holders[oldest].near && !h.near || p.holders[oldest].near == h.near && h.lastReport.Before(p.holders[oldest].lastReport) {
			oldest = i
		}
	}
	if oldest >= 0 {
		p.holders = slices.Delete(p.holders, oldest, oldest+1)
	}
}

// Next returns the node to fetch from now; Finished must follow then. If there is none,
// wait is the time after which to ask again, or 0 if only a report or the end of a
// transfer can change that.
func (p *Puller) Next(now time.Time, have model.Revision) (from model.NodeAddr, wait time.Duration) {
	earliest := now
	for _, start := range p.active {
		if slow := start.Add(slowTransfer); slow.After(earliest) {
			earliest = slow
		}
	}
	if len(p.active) >= maxFetches {
		return "", 0
	}
	if p.unusableUntil.After(earliest) {
		earliest = p.unusableUntil
	}
	usable := p.usable(now, have)
	anyNear := slices.ContainsFunc(usable, func(h *holder) bool { return h.near })
	var best []*holder
	for _, h := range usable {
		at := h.notBefore
		if earliest.After(at) {
			at = earliest
		}
		if far := p.firstReport.Add(otherDomainDelay); !h.near && anyNear && far.After(at) {
			at = far
		}
		if d := at.Sub(now); d > 0 {
			if wait == 0 || d < wait {
				wait = d
			}
			continue
		}
		switch {
		case len(best) == 0 || better(h, best[0]):
			best = append(best[:0], h)
		case !better(best[0], h):
			best = append(best, h)
		}
	}
	if len(best) == 0 {
		return "", wait
	}
	from = best[p.rng.IntN(len(best))].node
	p.active[from] = now
	return from, 0
}

// usable returns the holders that have a newer configuration, by reports that count, and
// from which none is fetched now.
func (p *Puller) usable(now time.Time, have model.Revision) []*holder {
	var usable []*holder
	for _, h := range p.holders {
		_, fetching := p.active[h.node]
		if !fetching && h.revision > max(have, p.rejected) && now.Sub(h.lastReport) < reportTTL {
			usable = append(usable, h)
		}
	}
	return usable
}

// better reports whether a holder is preferred to another: a holder in this node's failure
// domain to one outside it, then the one with the newer configuration.
func better(a, b *holder) bool {
	if a.near != b.near {
		return a.near
	}
	return a.revision > b.revision
}

// Finished records the end of a transfer. It must be called after what was received has been
// put in force or rejected; have is the revision in force then. alternatives are the nodes
// that a busy node names because they have received its configuration.
func (p *Puller) Finished(now time.Time, from model.NodeAddr, outcome Outcome, alternatives []model.NodeAddr, have model.Revision) {
	delete(p.active, from)
	switch {
	case outcome == Unusable:
		p.unusable = min(p.unusable+1, maxHolders)
		if excess := p.unusable - maxUnusable; excess >= 0 {
			p.unusableUntil = now.Add(p.jitter(min(minUnusableDelay<<excess, maxUnusableDelay)))
		}
	case outcome == Received:
		p.unusable, p.unusableUntil = 0, time.Time{}
	}
	i := slices.IndexFunc(p.holders, func(h *holder) bool { return h.node == from })
	if i < 0 {
		return
	}
	h := p.holders[i]
	switch {
	case outcome == Busy:
		h.notBefore = now.Add(p.jitter(min(minBusyDelay<<h.busy, maxBusyDelay)))
		h.busy, h.failures = min(h.busy+1, maxHolders), 0
		for _, node := range alternatives {
			p.Report(now, node, h.near, h.revision, have)
		}
	case outcome == Received && have >= h.revision:
		p.holders = slices.Delete(p.holders, i, i+1)
	default:
		// A holder may send a configuration that is not valid here.
		h.notBefore = now.Add(p.jitter(min(minFailureDelay<<h.failures, maxFailureDelay)))
		h.failures, h.busy = min(h.failures+1, maxHolders), 0
	}
}

// jitter varies a delay by a quarter in both directions.
func (p *Puller) jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(p.rng.Int64N(int64(d/2)))
}

// Newest returns the newest revision that was reported, and when it was reported first.
func (p *Puller) Newest() (model.Revision, time.Time) { return p.newest, p.firstReport }

// Behind reports whether other nodes have a newer revision than the one in force. What
// the configuration in force does not allow, the newer one may.
func (p *Puller) Behind(now time.Time, have model.Revision) bool {
	return p.newest > have && now.Sub(p.lastReport) < reportTTL || p.latest > have && now.Sub(p.latestAt) < reportTTL
}

// recordFirst records the first report of a revision.
func (p *Puller) recordFirst(now time.Time, revision, have model.Revision) {
	p.reported = slices.DeleteFunc(p.reported, func(r firstReport) bool { return r.revision <= have })
	known := slices.ContainsFunc(p.reported, func(r firstReport) bool { return r.revision >= revision })
	if !known && len(p.reported) < maxReported {
		p.reported = append(p.reported, firstReport{revision, now})
	}
}

// behindSince returns when a configuration that is newer than the one in force, and that this
// node has not rejected, was reported first. ok is false if there is none, or if no node has
// reported one lately.
func (p *Puller) behindSince(now time.Time, have model.Revision) (since time.Time, ok bool) {
	have = max(have, p.rejected)
	if !p.Behind(now, have) {
		return time.Time{}, false
	}
	for _, r := range p.reported {
		if r.revision > have {
			return r.at, true
		}
	}
	return p.lastReport, true
}

// Reject records that the store itself shows a configuration that is not valid here, of the
// given revision or an earlier one. The last valid one stays in force and is not overdue, and
// the other one is not fetched again.
func (p *Puller) Reject(revision model.Revision) { p.rejected = max(p.rejected, revision) }

// RetryAfter returns when a caller should come back whose call needs the newest
// configuration. What delays it is likely to last as long again as it has lasted, and a
// caller that comes back too early uses up one of its attempts.
func (p *Puller) RetryAfter(now time.Time) time.Duration {
	return max(minRetryAfter, now.Sub(p.firstReport)/2)
}

// CallWait returns how long a call that needs a newer configuration waits for it before it
// is refused, if its caller waits for the given time longer. Right after a change, calls of
// its routes come to nodes to which it is on its way; a caller that is refused must have
// the time to come back.
func CallWait(left time.Duration) time.Duration {
	return max(min(MaxCallWait, left/callWaitDivisor), 0)
}
