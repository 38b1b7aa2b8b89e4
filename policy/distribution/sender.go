package distribution

import (
	"slices"

	"zinniafall/policy/model"
)

const (
	// maxBytesInFlight bounds the updates that a node sends at the same time. Transfers
	// and calls share its link; a few transfers that end soon make more nodes senders
	// than many that end late.
	maxBytesInFlight = 128 << 10
	// maxAlternatives bounds the nodes that are named to one that is turned away.
	maxAlternatives = 4
)

// Sender decides which transfers of the configuration in force a node makes at the same
// time, and names other nodes to those that it turns away. It is not safe for concurrent
// use.
type Sender struct {
	inFlight int
	revision model.Revision
	// served are the latest nodes that received the revision.
	served []model.NodeAddr
}

// Begin reports whether to send updates of the given size now; Finished must follow
// then. Updates larger than the bound are sent alone.
func (s *Sender) Begin(bytes int) bool {
	if s.inFlight > 0 && s.inFlight+bytes > maxBytesInFlight {
		return false
	}
	s.inFlight += bytes
	return true
}

// Finished records the end of a transfer. complete reports whether the other node
// received all of it.
func (s *Sender) Finished(bytes int, revision model.Revision, to model.NodeAddr, complete bool) {
	s.inFlight -= bytes
	if !complete || to == "" || revision < s.revision {
		return
	}
	if revision > s.revision {
		s.revision, s.served = revision, nil
	}
	s.served = append(s.served, to)
	if len(s.served) > maxAlternatives {
		s.served = slices.Clone(s.served[1:])
	}
}

// Alternatives returns nodes that have received the revision from this one.
func (s *Sender) Alternatives(revision model.Revision) []model.NodeAddr {
	if revision != s.revision {
		return nil
	}
	return slices.Clone(s.served)
}
