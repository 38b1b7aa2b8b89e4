// Package distribution decides how a configuration spreads from the nodes that have
// it to the nodes that lack it.
package distribution

import (
	"time"

	"zinniafall/policy/model"
)

// TransferTimeout limits one transfer of a configuration.
const TransferTimeout = time.Second

// Fetch is a transfer that a Puller has decided to make.
type Fetch struct {
	From model.NodeAddr
}

// Puller decides when and from which node a node fetches a newer configuration. It
// is not safe for concurrent use.
type Puller struct {
	active bool
}

// NewPuller returns a Puller that knows of no configuration.
func NewPuller() *Puller { return &Puller{} }

// Report records that another node has a revision. have is the revision in force. ok
// reports whether to make the fetch now; Finished must follow it. A report during a
// fetch is dropped.
func (p *Puller) Report(from model.NodeAddr, revision, have model.Revision) (f Fetch, ok bool) {
	if revision <= have || from == "" || p.active {
		return Fetch{}, false
	}
	p.active = true
	return Fetch{From: from}, true
}

// Finished records the end of the fetch.
func (p *Puller) Finished() { p.active = false }
