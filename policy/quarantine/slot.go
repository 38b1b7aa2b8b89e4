package quarantine

// SuspectSlot allows at most one suspect to be in flight at a target. The owner
// acquires it before it sends a suspect to its target. It is not safe for
// concurrent use.
type SuspectSlot struct {
	holder Fingerprint
	held   bool
}

// TryAcquire acquires the slot if it is free and reports whether the suspect
// may run now. Otherwise the owner refuses the suspect as not run, or keeps it
// in its queue.
func (s *SuspectSlot) TryAcquire(f Fingerprint) bool {
	if s.held {
		return false
	}
	s.holder, s.held = f, true
	return true
}

// Release frees the slot if the given suspect holds it.
func (s *SuspectSlot) Release(f Fingerprint) {
	if s.held && s.holder == f {
		s.held = false
	}
}
