package sidecar

import (
	"sync"
	"time"

	"zinniafall/policy/problem"
	"zinniafall/policy/quarantine"
)

const (
	// convictingCrashes is the number of targets that a request may crash.
	convictingCrashes = 3
	// quarantineTerm is how long a convicted request is refused after its last
	// crash.
	quarantineTerm = 10 * time.Minute
	// crashTime is the longest time between the loss of a connection and the
	// proof that the target's process is gone, for the two to be one event.
	crashTime = 1500 * time.Millisecond
)

// crashes knows the requests that crash targets. A lost connection alone is no
// crash: it counts when the target's port closes at the same time.
type crashes struct {
	node *Node

	mu    sync.Mutex
	list  *quarantine.List
	lostf map[quarantine.Fingerprint]time.Time
	count uint64
}

func newCrashes(n *Node) *crashes {
	return &crashes{
		node:  n,
		list:  quarantine.New(quarantine.Options{Duration: quarantineTerm, CrashLimit: convictingCrashes}),
		lostf: make(map[quarantine.Fingerprint]time.Time),
	}
}

// check returns the refusal of a quarantined request, or nil.
func (c *crashes) check(f quarantine.Fingerprint) *problem.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.list.Check(now, f) != quarantine.Quarantined {
		return nil
	}
	return c.list.Refusal(now, f)
}

// lost notes a call whose connection died.
func (c *crashes) lost(f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for other, at := range c.lostf {
		if now.Sub(at) > crashTime {
			delete(c.lostf, other)
		}
	}
	c.lostf[f] = now
}

// crashed notes that the target's process is gone and tells the fleet which
// requests went with it.
func (c *crashes) crashed() {
	c.mu.Lock()
	now := time.Now()
	var struck []quarantine.Fingerprint
	for f, at := range c.lostf {
		if now.Sub(at) <= crashTime {
			struck = append(struck, f)
		}
	}
	clear(c.lostf)
	if len(struck) == 0 {
		c.mu.Unlock()
		return
	}
	c.count++
	c.list.RecordCrash(now, quarantine.NewCrashID(c.node.process, c.count), struck)
	c.mu.Unlock()
	c.node.log.Warn("requests lost with the target", "part", "target", "requests", len(struck))
}

// completed clears a request that a target answered.
func (c *crashes) completed(f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list.RecordSuccess(time.Now(), f)
}

// notices returns what other nodes need to know.
func (c *crashes) notices() [][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out [][]byte
	for _, notice := range c.list.Notices(time.Now()) {
		if raw, err := notice.Encode(); err == nil {
			out = append(out, raw)
		}
	}
	return out
}

// heard takes in what another node knows.
func (c *crashes) heard(notices [][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, raw := range notices {
		notice, err := quarantine.DecodeNotice(raw)
		if err != nil {
			c.node.log.Warn("quarantine notice unreadable", "part", "fleet", "error", err.Error())
			continue
		}
		c.list.Apply(time.Now(), notice)
	}
}
