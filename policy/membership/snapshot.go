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
		ByService: make(map[model.Service][]Member),
	}
	for _, r := range t.sorted {
		if !r.present() {
			continue
		}
		s.Members = append(s.Members, r.Member)
		if r.Service != "" && r.Status == Alive {
			s.ByService[r.Service] = append(s.ByService[r.Service], r.Member)
		}
	}
	return s
}
