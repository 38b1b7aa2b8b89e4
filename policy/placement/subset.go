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
	// idleAfter is the time without calls after which a service no longer
	// counts towards MaxPeers.
	idleAfter = 10 * time.Minute
	// minSubset is the size below which MaxPeers does not shrink a subset.
	minSubset = 2
	// ownDomainStride is the inverse of the share of a subset that is taken
	// from the entry's own failure domain.
	ownDomainStride = 2
	// otherRegionStride is the inverse of the share of a subset that is taken
	// from other regions.
	otherRegionStride = 8
)

// rendezvousHash returns the rendezvous hash of this entry and a node. It
// depends on nothing else, so that a member that leaves does not displace
// others.
func (p *Placer) rendezvousHash(node model.NodeAddr) uint64 {
	text := string(p.options.Self) + "|" + string(node)
	return xxhash.Sum64String(text)
}

// hashConnection combines a connection identifier with the hash of a target.
func hashConnection(connection, hash uint64) uint64 {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:8], connection)
	binary.LittleEndian.PutUint64(raw[8:], hash)
	return xxhash.Sum64(raw[:])
}

// rank orders the targets so that each prefix is a subset. It interleaves the
// entry's own failure domain, the rest of its region and other regions by their
// shares, each ordered by rendezvous hash.
func (p *Placer) rank(targets map[model.NodeAddr]*target) []*target {
	var ownDomain, ownRegion, otherRegion []*target
	for _, t := range targets {
		switch {
		case t.ownDomain:
			ownDomain = append(ownDomain, t)
		case t.otherRegion:
			otherRegion = append(otherRegion, t)
		default:
			ownRegion = append(ownRegion, t)
		}
	}
	sortByHash(ownDomain)
	sortByHash(ownRegion)
	sortByHash(otherRegion)
	ranked := make([]*target, 0, len(targets))
	for place := 0; len(ranked) < len(targets); place++ {
		var from *[]*target
		switch {
		case place%otherRegionStride == otherRegionStride-1:
			from = firstNonEmpty(&otherRegion, &ownRegion, &ownDomain)
		case place%ownDomainStride == 0:
			from = firstNonEmpty(&ownDomain, &ownRegion, &otherRegion)
		default:
			from = firstNonEmpty(&ownRegion, &ownDomain, &otherRegion)
		}
		ranked = append(ranked, (*from)[0])
		*from = (*from)[1:]
	}
	return ranked
}

func sortByHash(targets []*target) {
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

// resize sets the subset of each service to the size that its demand needs,
// within MaxPeers.
func (p *Placer) resize(at time.Duration) {
	inUse := 0
	for _, svc := range p.order {
		svc.inUse = svc.inUse && at-svc.lastUsed < idleAfter
		if svc.inUse {
			inUse++
		}
	}
	size := p.options.SubsetSize
	for inUse > 0 && size > minSubset && p.peersWithSize(size) > p.options.MaxPeers {
		size--
	}
	for _, svc := range p.order {
		svc.setMembers(min(size, svc.demand.size))
	}
}

// peersWithSize counts the peers needed if subsets were limited to the size.
func (p *Placer) peersWithSize(size int) int {
	peers := 0
	for _, svc := range p.order {
		if svc.inUse {
			peers += min(size, svc.demand.size, len(svc.ranked))
		}
	}
	return peers
}

// setMembers takes the subset from the front of the ranking.
func (s *service) setMembers(size int) {
	members := s.ranked[:min(size, len(s.ranked))]
	if slices.Equal(s.members, members) {
		return
	}
	s.members = slices.Clone(members)
	s.local = s.local[:0]
	s.ownRegion = s.ownRegion[:0]
	s.otherRegion = s.otherRegion[:0]
	for _, t := range s.members {
		switch {
		case t.ownDomain:
			s.local = append(s.local, t)
		case t.otherRegion:
			s.otherRegion = append(s.otherRegion, t)
		default:
			s.ownRegion = append(s.ownRegion, t)
		}
	}
}

// markUsed records a use of the service. It resizes the subsets when the
// service was idle or its demand changed.
func (p *Placer) markUsed(svc *service, at time.Duration) {
	svc.lastUsed = at
	changed := svc.demand.update(at, p.options.MinSubset, p.options.SubsetSize)
	if svc.inUse && !changed {
		return
	}
	svc.inUse = true
	p.resize(at)
}

// Peers returns the nodes that this entry may send calls to: the subsets of the
// services in use.
func (p *Placer) Peers() []model.NodeAddr {
	var peers []model.NodeAddr
	for _, svc := range p.order {
		if !svc.inUse {
			continue
		}
		for _, t := range svc.members {
			peers = append(peers, t.Node)
		}
	}
	return peers
}
