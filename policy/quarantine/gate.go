package quarantine

// SuspectSlot keeps suspects apart at one target. The owner asks it before it gives
// a suspect to its target. A SuspectSlot is not safe for concurrent use.
type SuspectSlot struct {
	inside Fingerprint
	taken  bool
}

// TryAcquire reports whether the suspect may run now, and lets it in. A suspect
// that may not is refused as not run, or waits in the owner's queue.
func (g *SuspectSlot) TryAcquire(f Fingerprint) bool {
	if g.taken {
		return false
	}
	g.inside, g.taken = f, true
	return true
}

// Release records that the suspect is no longer in flight.
func (g *SuspectSlot) Release(f Fingerprint) {
	if g.taken && g.inside == f {
		g.taken = false
	}
}
