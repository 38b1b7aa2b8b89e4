package placement

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniafall/policy/model"
)

const (
	// idleAfter is the time without calls after which a service gives up its
	// share of the peers.
	idleAfter = 10 * time.Minute
	// minSubset is the least that MaxPeers shrinks a subset to.
	minSubset = 2
	// nearShare is the inverse of the share of a subset that is taken from
	// the entry's own failure domain.
	nearShare = 2
	// farShare is the inverse of the share of a subset that is taken from
	// other regions.
	farShare = 8
)

// affinity is the rendezvous hash of this entry and a node. It depends on
// nothing else, so a member that leaves moves no other.
func (p *Placer) affinity(node model.NodeAddr) uint64 {
	text := string(p.options.Self) + "|" + string(node)
	return xxhash.Sum64String(text)
}

// mix hashes a connection together with a target's hash.
func mix(connection, hash uint64) uint64 {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:8], connection)
	binary.LittleEndian.PutUint64(raw[8:], hash)
	return xxhash.Sum64(raw[:])
}

// rank orders the targets so that each prefix is a subset: it interleaves
// own failure domain, own region and other regions by their shares, each in
// the order of affinity.
func (p *Placer) rank(targets map[model.NodeAddr]*target) []*target {
	var near, region, far []*target
	for _, t := range targets {
		switch {
		case t.near:
			near = append(near, t)
		case t.far:
			far = append(far, t)
		default:
			region = append(region, t)
		}
	}
	byAffinity(near)
	byAffinity(region)
	byAffinity(far)
	ranked := make([]*target, 0, len(targets))
	for place := 0; len(ranked) < len(targets); place++ {
		var from *[]*target
		switch {
		case place%farShare == farShare-1:
			from = firstNonEmpty(&far, &region, &near)
		case place%nearShare == 0:
			from = firstNonEmpty(&near, &region, &far)
		default:
			from = firstNonEmpty(&region, &near, &far)
		}
		ranked = append(ranked, (*from)[0])
		*from = (*from)[1:]
	}
	return ranked
}

func byAffinity(targets []*target) {
	slices.SortFunc(targets, func(a, b *target) int {
		if c := cmp.Compare(b.hash, a.hash); c != 0 {
			return c
		}
		return cmp.Compare(a.Node, b.Node)
	})
}

func firstNonEmpty(lists ...*[]*target) *[]*target {
	for _, list := range lists {
		if len(*list) > 0 {
			return list
		}
	}
	return lists[0]
}

// resize gives each service its subset, as large as its demand asks for and
// MaxPeers allows.
func (p *Placer) resize(at time.Duration) {
	inUse := 0
	for _, svc := range p.order {
		svc.used = svc.used && at-svc.lastUsed < idleAfter
		if svc.used {
			inUse++
		}
	}
	size := p.options.SubsetSize
	for inUse > 0 && size > minSubset && p.peersAt(size) > p.options.MaxPeers {
		size--
	}
	for _, svc := range p.order {
		svc.setMembers(min(size, svc.demand.size))
	}
}

// peersAt counts the peers that subsets of one size would need.
func (p *Placer) peersAt(size int) int {
	peers := 0
	for _, svc := range p.order {
		if svc.used {
			peers += min(size, svc.demand.size, len(svc.ranked))
		}
	}
	return peers
}

// setMembers makes the first targets of the ranking the subset.
func (s *service) setMembers(size int) {
	members := s.ranked[:min(size, len(s.ranked))]
	if slices.Equal(s.members, members) {
		return
	}
	s.members = slices.Clone(members)
	s.local = s.local[:0]
	s.region = s.region[:0]
	s.far = s.far[:0]
	for _, t := range s.members {
		switch {
		case t.near:
			s.local = append(s.local, t)
		case t.far:
			s.far = append(s.far, t)
		default:
			s.region = append(s.region, t)
		}
	}
}

// touch marks a service as in use.
func (p *Placer) touch(svc *service, at time.Duration) {
	svc.lastUsed = at
	changed := svc.demand.assess(at, p.options.MinSubset, p.options.SubsetSize)
	if svc.used && !changed {
		return
	}
	svc.used = true
	p.resize(at)
}

// Peers returns the nodes that this entry may send to now: the subsets of
// the services in use.
func (p *Placer) Peers() []model.NodeAddr {
	var peers []model.NodeAddr
	for _, svc := range p.order {
		if !svc.used {
			continue
		}
		for _, t := range svc.members {
			peers = append(peers, t.Node)
		}
	}
	return peers
}
