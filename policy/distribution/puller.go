// Package distribution decides how a configuration spreads from the nodes that have
// it to the nodes that lack it.
package distribution

import (
	"time"

	"zinniafall/policy/model"
)

const (
	// TransferTimeout limits one transfer of a configuration.
	TransferTimeout = time.Second
	// reportTTL is how long a node relies on a report that was not repeated. Nodes
	// that have a revision report it about once a second.
	reportTTL = 5 * time.Second
	// minRetryAfter is the shortest Retry-After of a node that lacks the newest
	// configuration.
	minRetryAfter = 150 * time.Millisecond
)

// Fetch is a transfer that a Puller has decided to make.
type Fetch struct {
	From model.NodeAddr
}

// Puller decides when and from which node a node fetches a newer configuration. It
// is not safe for concurrent use.
type Puller struct {
	active bool
	// newest is the newest revision that was reported, firstReport and lastReport
	// the times of its first and its last report.
	newest                  model.Revision
	firstReport, lastReport time.Time
}

// NewPuller returns a Puller that knows of no configuration.
func NewPuller() *Puller { return &Puller{} }

// Report records that another node has a revision. have is the revision in force. ok
// reports whether to make the fetch now; Finished must follow it. A report during a
// fetch is dropped.
func (p *Puller) Report(now time.Time, from model.NodeAddr, revision, have model.Revision) (f Fetch, ok bool) {
	if revision <= have || from == "" {
		return Fetch{}, false
	}
	if revision > p.newest {
		p.newest, p.firstReport = revision, now
	}
	if revision == p.newest {
		p.lastReport = now
	}
	if p.active {
		return Fetch{}, false
	}
	p.active = true
	return Fetch{From: from}, true
}

// Finished records the end of the fetch.
func (p *Puller) Finished() { p.active = false }

// Newest returns the newest revision that was reported, and when it was reported first.
func (p *Puller) Newest() (model.Revision, time.Time) { return p.newest, p.firstReport }

// Behind reports whether other nodes have a newer revision than the one in force. What
// the configuration in force does not allow, the newer one may.
func (p *Puller) Behind(now time.Time, have model.Revision) bool {
	return p.newest > have && now.Sub(p.lastReport) < reportTTL
}

// RetryAfter returns when a caller should come back whose call needs the newest
// configuration. What delays it is likely to last as long again as it has lasted, and a
// caller that comes back too early uses up one of its attempts.
func (p *Puller) RetryAfter(now time.Time) time.Duration {
	return max(minRetryAfter, now.Sub(p.firstReport)/2)
}
