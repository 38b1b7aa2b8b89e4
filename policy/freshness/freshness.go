// Package freshness decides whether a node may admit new work.
package freshness

import (
	"time"

	"zinniafall/policy/membership"
	"zinniafall/policy/model"
)

// Beacon is what a watcher of the store floods.
type Beacon struct {
	// Domain of the watcher.
	Domain model.Domain `cbor:"1,keyasint"`
	// Watcher is the node that made the beacon.
	Watcher model.NodeAddr `cbor:"2,keyasint"`
	// Head is the highest revision that the watcher knows of.
	Head model.Revision `cbor:"3,keyasint"`
	// Confirmed is true when the store confirmed Head at most the bound ago.
	Confirmed bool `cbor:"4,keyasint,omitempty"`
	// Age is the time since the confirming request was sent to the store.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
}

// Standing is the judgment about the own node.
type Standing struct {
	// Fresh nodes admit new work.
	Fresh bool
	// CutOff is true when too few failure domains and no confirmation of the
	// store were heard within the bound.
	CutOff bool
	// Behind is true when a higher revision is known than the one applied.
	Behind bool
}

// Options of a Judge; a zero value means the default.
type Options struct {
	// Self is the own node and Domain its failure domain.
	Self   model.NodeAddr
	Domain model.Domain
	// Domains are the configured failure domains.
	Domains []model.Domain
	// Bound is the longest age of evidence.
	Bound time.Duration // default 2.5 s
}

// Judge keeps the evidence.
type Judge struct{}

// New returns a judge without evidence.
func New(Options) *Judge { return &Judge{} }

// SetDomains replaces the configured failure domains.
func (j *Judge) SetDomains(now time.Time, domains []model.Domain) {}

// Applied notes the revision that the node applies; it never falls.
func (j *Judge) Applied(now time.Time, revision model.Revision) {}

// Confirmed notes that the store answered the node's own request, sent age
// ago, with this head revision.
func (j *Judge) Confirmed(now time.Time, age time.Duration, revision model.Revision) {}

// Failed notes that the node's own request to the store failed or timed out.
func (j *Judge) Failed(now time.Time) {}

// Heard takes a beacon in; age is the Delivered.Age of its flood.
func (j *Judge) Heard(now time.Time, b Beacon, age time.Duration) {}

// Standing judges the own node.
func (j *Judge) Standing(now time.Time) Standing { return Standing{Fresh: true} }

// MayCommit reports whether more than half of the failure domains are heard.
func (j *Judge) MayCommit(now time.Time) bool { return true }

// Acknowledged reports whether watchers in more than half of the failure
// domains know the revision.
func (j *Judge) Acknowledged(revision model.Revision) bool { return true }

// Beacon returns the beacon to flood now, if one is due at a watcher.
func (j *Judge) Beacon(now time.Time) (Beacon, bool) { return Beacon{}, false }

// NextChange returns when Standing or Beacon can change without an event.
func (j *Judge) NextChange(now time.Time) time.Time { return now.Add(100 * time.Millisecond) }

// Watchers returns the nodes of a domain that watch the store.
func Watchers(members []membership.Member, domain model.Domain, n int) []model.NodeAddr {
	var w []model.NodeAddr
	for _, m := range members {
		if m.Domain == domain && len(w) < n {
			w = append(w, m.Node)
		}
	}
	return w
}
