package storeera

import (
	"slices"
	"time"

	"zinniafall/policy/model"
)

// evacuationSettleTime is how long the store of a new era must answer before an
// evacuation ends that it does not show. Operators write again what was lost within about
// a second.
const evacuationSettleTime = 5 * time.Second

// Statement is what a node tells others about the failure domains out of service.
type Statement struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Domains are all that are out of service.
	Domains []model.Domain `cbor:"2,keyasint,omitempty"`
	Era     uint64         `cbor:"3,keyasint,omitempty"`
	// Carried are those of Domains that are in force from an earlier era.
	Carried []model.Domain `cbor:"4,keyasint,omitempty"`
	// Settled is set once evacuations of earlier eras no longer count.
	Settled bool `cbor:"5,keyasint,omitempty"`
}

// Position returns the position of the store to which the statement refers.
func (s Statement) Position() Position { return Position{s.Era, s.Revision} }

// Contains reports whether a failure domain is out of service.
func (s Statement) Contains(domain model.Domain) bool { return slices.Contains(s.Domains, domain) }

// Evacuations holds the failure domains out of service. It is not safe for concurrent use.
type Evacuations struct {
	at Position
	// listed are those that the store shows, carried those that were in force at the
	// end of the earlier era and that the store of this one has not shown.
	listed, carried []model.Domain
	// resolved are the domains about which the store of this era has said something.
	resolved []model.Domain
	settled  bool
	answered answerSpan
	restored int
}

// Statement returns the failure domains out of service.
func (e *Evacuations) Statement() Statement {
	return Statement{
		Revision: e.at.Revision, Era: e.at.Era, Domains: slices.Concat(e.listed, e.carried),
		Carried: slices.Clone(e.carried), Settled: e.settled,
	}
}

// Restored returns how many evacuations were in force from an earlier era until the
// operators wrote them again.
func (e *Evacuations) Restored() int { return e.restored }

// Listed applies a list of all evacuations in the store, which was asked for at a time.
func (e *Evacuations) Listed(asked time.Time, at Position, domains []model.Domain) {
	if at.Before(e.at) {
		return
	}
	e.advance(at)
	e.listed = slices.Clone(domains)
	e.resolve(domains)
	e.recordAnswer(asked)
}

// Changed applies changes in the store up to a position, of which there may be none. They
// were asked for at a time.
func (e *Evacuations) Changed(asked time.Time, at Position, changes []Change) {
	if at.Before(e.at) {
		return
	}
	e.advance(at)
	for _, c := range changes {
		e.listed = without(e.listed, []model.Domain{c.Domain})
		if !c.Ended {
			e.listed = append(e.listed, c.Domain)
		}
		e.resolve([]model.Domain{c.Domain})
	}
	e.recordAnswer(asked)
}

// Change is the begin or the end of an evacuation in the store.
type Change struct {
	Domain model.Domain
	Ended  bool
}

// ApplyStatement applies the statement of another node.
func (e *Evacuations) ApplyStatement(s Statement) {
	at := s.Position()
	if at.Era < e.at.Era {
		return
	}
	newer := e.at.Before(at)
	if newer {
		e.advance(at)
	}
	switch {
	case s.Settled:
		e.settled, e.carried = true, nil
	case !e.settled:
		e.carried = append(e.carried, without(without(s.Carried, e.carried), e.resolved)...)
	}
	if newer {
		e.listed = without(s.Domains, s.Carried)
		e.resolve(e.listed)
	}
}

// advance moves to a position, which may begin an era.
func (e *Evacuations) advance(at Position) {
	if at.Era > e.at.Era {
		e.carried = slices.Concat(e.listed, e.carried)
		e.listed, e.resolved, e.settled, e.answered = nil, nil, false, answerSpan{}
	}
	e.at = at
}

// resolve drops domains from carried, since the store of this era has stated them.
func (e *Evacuations) resolve(domains []model.Domain) {
	before := len(e.carried)
	e.carried = without(e.carried, domains)
	e.restored += before - len(e.carried)
	e.resolved = append(e.resolved, without(domains, e.resolved)...)
}

// recordAnswer records an answer of the store in the era of e.at.
func (e *Evacuations) recordAnswer(asked time.Time) {
	e.answered.add(asked)
	if e.answered.total >= evacuationSettleTime {
		e.settled, e.carried = true, nil
	}
}

// without returns the domains that are not among others.
func without(domains, others []model.Domain) []model.Domain {
	var out []model.Domain
	for _, d := range domains {
		if !slices.Contains(others, d) {
			out = append(out, d)
		}
	}
	return out
}
