package membership

import "zinniafall/policy/model"

// Snapshot is an immutable copy of the fleet's membership.
type Snapshot struct {
	// Revision increases with each change.
	Revision uint64
	// Members holds the alive and leaving members, this node included, sorted by
	// address.
	Members []Member
	// ByService holds the alive members that have a target of the service, sorted
	// by address.
	ByService map[model.Service][]Member
}

// Snapshot returns the current membership. The result is cached until the
// membership changes; building it copies all members.
func (v *View) Snapshot() *Snapshot {
	if v.snapshot == nil || v.snapshot.Revision != v.table.revision {
		v.snapshot = v.table.snapshot()
	}
	return v.snapshot
}

func (t *table) snapshot() *Snapshot {
	s := &Snapshot{
		Revision:  t.revision,
		Members:   make([]Member, 0, len(t.sorted)-t.gone),
		ByService: t.preallocateServices(),
	}
	for _, r := range t.sorted {
		if !r.present() {
			continue
		}
		s.Members = append(s.Members, r.Member)
		if r.serves() {
			s.ByService[r.Service] = append(s.ByService[r.Service], r.Member)
		}
	}
	return s
}

// preallocateServices returns an empty list for each service with the capacity
// that it needs. One allocation backs all lists.
func (t *table) preallocateServices() map[model.Service][]Member {
	counts := make(map[model.Service]int)
	total := 0
	for _, r := range t.sorted {
		if r.serves() {
			counts[r.Service]++
			total++
		}
	}
	backing := make([]Member, total)
	lists := make(map[model.Service][]Member, len(counts))
	for service, count := range counts {
		lists[service] = backing[:0:count]
		backing = backing[count:]
	}
	return lists
}

// serves reports whether the member has a target that may get calls.
func (r *record) serves() bool {
	return r.present() && r.Status == Alive && r.Service != ""
}
