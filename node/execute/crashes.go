package execute

import (
	"sync"

	"zinniafall/policy/quarantine"
)

// TrackedCall is a call in flight, seen as a possible cause of a crash.
type TrackedCall struct {
	fingerprint quarantine.Fingerprint
	// crash numbers the first lost connection that the call was in flight
	// beside; 0 for none.
	crash uint64
}

// CrashTracker notices which calls the target's death takes along. The system that
// ends a process closes all its connections, so a call whose connection goes
// on was at no crash: only calls that lose their own connection are struck. A
// handler that fails and takes one connection along is thus blamed alone. The
// calls that were in flight together at a loss share the number of one crash,
// so that copies of a request that die in it count once.
type CrashTracker struct {
	report    func(crash uint64, lost quarantine.Fingerprint) []byte
	completed func(quarantine.Fingerprint)

	mu       sync.Mutex
	crashes  uint64
	inFlight map[*TrackedCall]struct{}
}

// NewCrashTracker returns a tracker. The function report is called for each call
// that lost its connection and returns the encoded notice of it; completed is
// called for each call that ended well.
func NewCrashTracker(report func(uint64, quarantine.Fingerprint) []byte, completed func(quarantine.Fingerprint)) *CrashTracker {
	return &CrashTracker{report: report, completed: completed, inFlight: make(map[*TrackedCall]struct{})}
}

// RecordStart notes a call that is about to reach the target.
func (c *CrashTracker) RecordStart(fingerprint quarantine.Fingerprint) *TrackedCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &TrackedCall{fingerprint: fingerprint}
	c.inFlight[s] = struct{}{}
	return s
}

// RecordConnectionLost notes that the call's connection died without an answer. It returns
// the notice of it, which rides on the answer, so that the entry knows of it
// before its caller can send the request again.
func (c *CrashTracker) RecordConnectionLost(s *TrackedCall) []byte {
	c.mu.Lock()
	if s.crash == 0 {
		c.crashes++
		for other := range c.inFlight {
			if other.crash == 0 {
				other.crash = c.crashes
			}
		}
	}
	crash := s.crash
	c.mu.Unlock()
	return c.report(crash, s.fingerprint)
}

// RecordCutOff notes that the call's connection died within its answer. That alone
// is no sign of a crash; it is one when a call beside it was lost.
func (c *CrashTracker) RecordCutOff(s *TrackedCall) {
	c.mu.Lock()
	crash := s.crash
	c.mu.Unlock()
	if crash != 0 {
		c.report(crash, s.fingerprint)
	}
}

// RecordEnd notes the end of a call. A nil suspect never reached the target.
func (c *CrashTracker) RecordEnd(s *TrackedCall, well bool) {
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
