package proof

import (
	"math/rand/v2"
	"time"

	"zinniafall/policy/model"
)

const (
	// Enough is the age up to which a proof needs no further question: a watcher's own
	// is up to two intervals old, its pause after a change and a slow store add to that.
	Enough = 2*Interval + 500*time.Millisecond
	// Timeout bounds the wait for a node's answer.
	Timeout = 250 * time.Millisecond
	// failedPause is how long a node that had no proof is not asked.
	failedPause = 3 * Interval
	// storeInterval is the shortest time between questions to the store itself.
	storeInterval = time.Second
	// maxFailed bounds the nodes that are remembered as having had no proof.
	maxFailed = 32
)

// Asker decides which nodes a node asks for a proof, so that its work and that of the nodes
// that it asks does not grow with the fleet. It is not safe for concurrent use.
type Asker struct {
	rng *rand.Rand
	// failed is until when a node is not asked.
	failed map[model.NodeAddr]Instant
	// storeAsked is when the store was asked last.
	storeAsked Instant
	askedStore bool
}

// NewAsker returns an Asker. Equal seeds give equal choices.
func NewAsker(seed uint64) *Asker {
	return &Asker{rng: rand.New(rand.NewPCG(seed, 0)), failed: make(map[model.NodeAddr]Instant)}
}

// Pick returns up to n of the candidates in the order in which to ask them. It leaves out
// those that had no proof a moment ago.
func (a *Asker) Pick(now Instant, candidates []model.NodeAddr, n int) []model.NodeAddr {
	var picked []model.NodeAddr
	for _, i := range a.rng.Perm(len(candidates)) {
		if len(picked) == n {
			break
		}
		if until, ok := a.failed[candidates[i]]; !ok || now >= until {
			picked = append(picked, candidates[i])
		}
	}
	return picked
}

// Failed records that a node had no proof, or none that was young enough.
func (a *Asker) Failed(now Instant, node model.NodeAddr) {
	if len(a.failed) >= maxFailed {
		clear(a.failed)
	}
	a.failed[node] = now.Add(failedPause)
}

// Succeeded records that a node had a proof that was young enough.
func (a *Asker) Succeeded(node model.NodeAddr) { delete(a.failed, node) }

// TakeStore reports whether the store itself may be asked now, and counts the question.
func (a *Asker) TakeStore(now Instant) bool {
	if a.askedStore && now.Sub(a.storeAsked) < storeInterval {
		return false
	}
	a.storeAsked, a.askedStore = now, true
	return true
}
