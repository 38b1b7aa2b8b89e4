package execute

import (
	"sync"

	"zinniafall/policy/quarantine"
)

// TrackedCall is a call in flight, tracked as a possible cause of a crash.
type TrackedCall struct {
	fingerprint quarantine.Fingerprint
	// crash is the number of the first crash during which the call was in
	// flight; 0 if there was none.
	crash uint64
}

// CrashTracker determines which calls were in flight when the target crashed.
// When a process ends, the operating system closes all its connections, so a
// call whose connection stays open was in flight at no crash: only calls that
// lose their own connection are reported. If a handler fails and closes one
// connection, only its call is blamed. Calls that were in flight together at
// a loss share one crash number, so that copies of a request that are lost in
// the same crash count once.
type CrashTracker struct {
	reportCrash     func(crash uint64, lost quarantine.Fingerprint) []byte
	reportCompleted func(quarantine.Fingerprint)

	mu        sync.Mutex
	lastCrash uint64
	inFlight  map[*TrackedCall]struct{}
}

// NewCrashTracker returns a tracker. It calls report for each call that lost
// its connection; report returns the encoded crash notice. It calls completed
// for each call that succeeded.
func NewCrashTracker(report func(uint64, quarantine.Fingerprint) []byte, completed func(quarantine.Fingerprint)) *CrashTracker {
	return &CrashTracker{reportCrash: report, reportCompleted: completed, inFlight: make(map[*TrackedCall]struct{})}
}

// RecordStart records a call that is about to be sent to the target.
func (t *CrashTracker) RecordStart(fingerprint quarantine.Fingerprint) *TrackedCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	call := &TrackedCall{fingerprint: fingerprint}
	t.inFlight[call] = struct{}{}
	return call
}

// RecordConnectionLost records that the connection of the call was lost
// without an answer. It returns the crash notice, which is sent with the
// answer, so that the entry has it before its caller can send the request
// again.
func (t *CrashTracker) RecordConnectionLost(call *TrackedCall) []byte {
	t.mu.Lock()
	if call.crash == 0 {
		t.lastCrash++
		for other := range t.inFlight {
			if other.crash == 0 {
				other.crash = t.lastCrash
			}
		}
	}
	crash := call.crash
	t.mu.Unlock()
	return t.reportCrash(crash, call.fingerprint)
}

// RecordCutOff records that the connection of the call was lost in the middle
// of its answer. That alone does not indicate a crash; it does if another
// call that was in flight at the same time was lost.
func (t *CrashTracker) RecordCutOff(call *TrackedCall) {
	t.mu.Lock()
	crash := call.crash
	t.mu.Unlock()
	if crash != 0 {
		t.reportCrash(crash, call.fingerprint)
	}
}

// RecordEnd records the end of a call. A nil call was never sent to the
// target.
func (t *CrashTracker) RecordEnd(call *TrackedCall, success bool) {
	if call == nil {
		return
	}
	t.mu.Lock()
	delete(t.inFlight, call)
	t.mu.Unlock()
	if success {
		t.reportCompleted(call.fingerprint)
	}
}
