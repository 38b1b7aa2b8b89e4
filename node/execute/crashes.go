package execute

import (
	"sync"

	"zinniafall/policy/quarantine"
)

// Suspect is a call in flight, seen as a possible cause of a crash.
type Suspect struct {
	fingerprint quarantine.Fingerprint
	epoch       uint64
}

// Crashes notices when the target dies and which calls were in flight then.
// Several calls lose their connections in one crash; only the first of them
// reports it.
type Crashes struct {
	report    func(sequence uint64, inFlight []quarantine.Fingerprint) []byte
	completed func(quarantine.Fingerprint)

	mu       sync.Mutex
	epoch    uint64
	inFlight map[*Suspect]struct{}
	// notice of the last crash, in encoded form.
	notice []byte
}

// NewCrashes returns a tracker. The function report is called once for each
// crash and returns the encoded notice of it; completed is called for each
// call that ended well.
func NewCrashes(report func(uint64, []quarantine.Fingerprint) []byte, completed func(quarantine.Fingerprint)) *Crashes {
	return &Crashes{report: report, completed: completed, inFlight: make(map[*Suspect]struct{})}
}

// Started notes a call that is about to reach the target.
func (c *Crashes) Started(fingerprint quarantine.Fingerprint) *Suspect {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &Suspect{fingerprint: fingerprint, epoch: c.epoch}
	c.inFlight[s] = struct{}{}
	return s
}

// Crashed notes that the call's connection died without an answer. It returns
// the notice of the crash, which rides on the answer, so that the entry knows
// of it before its caller can send the request again.
func (c *Crashes) Crashed(s *Suspect) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.epoch != c.epoch {
		return c.notice
	}
	c.epoch++
	fingerprints := make([]quarantine.Fingerprint, 0, len(c.inFlight))
	for other := range c.inFlight {
		fingerprints = append(fingerprints, other.fingerprint)
	}
	c.notice = c.report(c.epoch, fingerprints)
	return c.notice
}

// Ended notes the end of a call. A nil suspect never reached the target.
func (c *Crashes) Ended(s *Suspect, well bool) {
	if s == nil {
		return
	}
	c.mu.Lock()
	delete(c.inFlight, s)
	c.mu.Unlock()
	if well {
		c.completed(s.fingerprint)
	}
}
