package membership

import "zinniafall/policy/model"

// Snapshot is an immutable picture of the fleet.
type Snapshot struct {
	// Revision rises with each change of the picture.
	Revision uint64
	// Members holds the members that are alive or leaving, sorted by address,
	// the own node included.
	Members []Member
	// ByService holds the alive members that have a target of the service,
	// sorted by address.
	ByService map[model.Service][]Member
}

// Snapshot returns the present picture. It is built when something changed
// since the last call, which copies all members.
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
		ByService: t.emptyServices(),
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

// emptyServices returns a list with the needed room for each service, all
// within one allocation.
func (t *table) emptyServices() map[model.Service][]Member {
	counts := make(map[model.Service]int)
	total := 0
	for _, r := range t.sorted {
		if r.serves() {
			counts[r.Service]++
			total++
		}
	}
	room := make([]Member, total)
	lists := make(map[model.Service][]Member, len(counts))
	for service, count := range counts {
		lists[service] = room[:0:count]
		room = room[count:]
	}
	return lists
}

// serves reports whether the member has a target that calls may go to.
func (r *record) serves() bool {
	return r.present() && r.Status == Alive && r.Service != ""
}
