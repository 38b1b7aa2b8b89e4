package sidecar

import (
	"sync"
	"time"

	"zinniafall/policy/problem"
	"zinniafall/policy/quarantine"
)

const (
	// crashLimit is the number of targets that a request may crash before it is
	// quarantined.
	crashLimit = 3
	// quarantineDuration is how long a quarantined request is refused after its
	// last crash.
	quarantineDuration = 10 * time.Minute
	// crashWindow is the longest time between a lost connection and the proof
	// that the target's process is gone for both to count as one crash.
	crashWindow = 1500 * time.Millisecond
)

// crashTracker tracks requests that crash targets. A lost connection alone is
// not a crash: it counts only if the target's port closes within crashWindow.
type crashTracker struct {
	node *Node

	mu              sync.Mutex
	quarantineList  *quarantine.List
	lostConnections map[quarantine.Fingerprint]time.Time
	crashCount      uint64
}

func newCrashTracker(n *Node) *crashTracker {
	return &crashTracker{
		node:            n,
		quarantineList:  quarantine.New(quarantine.Options{Duration: quarantineDuration, CrashLimit: crashLimit}),
		lostConnections: make(map[quarantine.Fingerprint]time.Time),
	}
}

// check returns the refusal of a quarantined request, or nil.
func (c *crashTracker) check(f quarantine.Fingerprint) *problem.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.quarantineList.Check(now, f) != quarantine.Quarantined {
		return nil
	}
	return c.quarantineList.Refusal(now, f)
}

// recordLostConnection records a request whose connection to the target was
// lost.
func (c *crashTracker) recordLostConnection(f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for other, at := range c.lostConnections {
		if now.Sub(at) > crashWindow {
			delete(c.lostConnections, other)
		}
	}
	c.lostConnections[f] = now
}

// recordCrash records that the target's process is gone, and creates a notice
// to other nodes of the requests that were lost with it.
func (c *crashTracker) recordCrash() {
	c.mu.Lock()
	now := time.Now()
	var lost []quarantine.Fingerprint
	for f, at := range c.lostConnections {
		if now.Sub(at) <= crashWindow {
			lost = append(lost, f)
		}
	}
	clear(c.lostConnections)
	if len(lost) == 0 {
		c.mu.Unlock()
		return
	}
	c.crashCount++
	c.quarantineList.RecordCrash(now, quarantine.NewCrashID(c.node.process, c.crashCount), lost)
	c.mu.Unlock()
	c.node.log.Warn("requests lost with the target", "part", "target", "requests", len(lost))
}

// recordSuccess clears the crash record of a request that a target answered.
func (c *crashTracker) recordSuccess(f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantineList.RecordSuccess(time.Now(), f)
}

// notices returns the encoded quarantine notices for other nodes.
func (c *crashTracker) notices() [][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out [][]byte
	for _, notice := range c.quarantineList.Notices(time.Now()) {
		if raw, err := notice.Encode(); err == nil {
			out = append(out, raw)
		}
	}
	return out
}

// recordReported records the quarantine notices that another node reported.
func (c *crashTracker) recordReported(notices [][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, raw := range notices {
		notice, err := quarantine.DecodeNotice(raw)
		if err != nil {
			c.node.log.Warn("quarantine notice unreadable", "part", "fleet", "error", err.Error())
			continue
		}
		c.quarantineList.Apply(time.Now(), notice)
	}
}
