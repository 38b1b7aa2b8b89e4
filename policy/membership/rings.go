package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"zinniafall/policy/model"
)

// point is a member's position on one ring.
type point struct {
	position uint64
	node     model.NodeAddr
}

func comparePoints(a, b point) int {
	switch {
	case a.position < b.position:
		return -1
	case a.position > b.position:
		return 1
	case a.node < b.node:
		return -1
	case a.node > b.node:
		return 1
	}
	return 0
}

// rings holds the members that are neither gone nor hidden on ringCount hash
// rings.
type rings struct {
	points [ringCount][]point
}

// pointOn returns the node's point on the hash ring with the given index.
func pointOn(ring int, node model.NodeAddr) point {
	var seed [9]byte
	binary.LittleEndian.PutUint64(seed[:], key(node))
	seed[8] = byte(ring)
	return point{position: xxhash.Sum64(seed[:]), node: node}
}

func (r *rings) add(node model.NodeAddr) {
	for i := range r.points {
		p := pointOn(i, node)
		at, found := slices.BinarySearchFunc(r.points[i], p, comparePoints)
		if !found {
			r.points[i] = slices.Insert(r.points[i], at, p)
		}
	}
}

func (r *rings) remove(node model.NodeAddr) {
	for i := range r.points {
		at, found := slices.BinarySearchFunc(r.points[i], pointOn(i, node), comparePoints)
		if found {
			r.points[i] = slices.Delete(r.points[i], at, at+1)
		}
	}
}

// neighbors returns the distinct predecessors and successors of a node on the
// rings. The node itself need not be on them.
func (r *rings) neighbors(node model.NodeAddr) []model.NodeAddr {
	found := make([]model.NodeAddr, 0, 2*ringCount)
	for i, ring := range r.points {
		at, on := slices.BinarySearchFunc(ring, pointOn(i, node), comparePoints)
		if len(ring) == 0 {
			continue
		}
		next := at
		if on {
			next++
		}
		before := ring[(at-1+len(ring))%len(ring)].node
		after := ring[next%len(ring)].node
		for _, n := range [...]model.NodeAddr{before, after} {
			if n != node && !slices.Contains(found, n) {
				found = append(found, n)
			}
		}
	}
	return found
}
