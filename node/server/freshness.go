package server

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniafall/policy/freshness"
	"zinniafall/policy/membership"
	"zinniafall/policy/model"
	"zinniafall/policy/strictcbor"
)

// beaconDecoder decodes the beacons of other nodes.
var beaconDecoder = strictcbor.Decoder(strictcbor.Limits{Pairs: 16})

// freshnessTracker guards a freshness.Tracker, which decides whether this
// node's view is recent enough, for concurrent use.
type freshnessTracker struct {
	// wake wakes the control loop when the status may have changed.
	wake chan struct{}

	mu               sync.Mutex
	freshnessTracker *freshness.Tracker
	// clock returns the current time; tests replace it to age the evidence.
	clock func() time.Time
}

func newFreshnessTracker(opts freshness.Options) *freshnessTracker {
	return &freshnessTracker{freshnessTracker: freshness.New(opts), wake: make(chan struct{}, 1), clock: time.Now}
}

// notify wakes the control loop without blocking.
func (t *freshnessTracker) notify() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// fresh reports whether this node may start calls at its target.
func (t *freshnessTracker) fresh() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freshnessTracker.Status(t.clock()).Fresh
}

// recordBeacon records a watcher's beacon and returns it; false says that it
// is malformed.
func (t *freshnessTracker) recordBeacon(message membership.Message) (freshness.Beacon, bool) {
	var b freshness.Beacon
	if err := beaconDecoder.Unmarshal(message.Payload, &b); err != nil {
		malformedFloods.Inc()
		return b, false
	}
	t.mu.Lock()
	t.freshnessTracker.RecordBeacon(t.clock(), b, message.CreatedAt)
	t.mu.Unlock()
	t.notify()
	return b, true
}

// dueBeacon returns the encoded beacon to flood now. It returns false when
// none is due. Only watchers call it.
func (t *freshnessTracker) dueBeacon() ([]byte, bool) {
	t.mu.Lock()
	b, ok := t.freshnessTracker.Beacon(t.clock())
	t.mu.Unlock()
	if !ok {
		return nil, false
	}
	payload, err := cbor.Marshal(b)
	return payload, err == nil
}

// recordConfirmation records that the store answered a request with the
// revision; age is the time since the request was sent.
func (t *freshnessTracker) recordConfirmation(age time.Duration, revision model.Revision) {
	t.mu.Lock()
	t.freshnessTracker.RecordConfirmation(t.clock(), age, revision)
	t.mu.Unlock()
	t.notify()
}

// acknowledged reports whether nodes of enough failure domains have the
// revision, so that no node that does not apply it can stay fresh.
func (t *freshnessTracker) acknowledged(revision model.Revision) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freshnessTracker.Acknowledged(t.clock(), revision)
}

// recordApplied records the configuration that this node applies and the
// failure domains that it names.
func (t *freshnessTracker) recordApplied(revision model.Revision, domains []model.Domain) {
	t.mu.Lock()
	t.freshnessTracker.SetDomains(t.clock(), domains)
	t.freshnessTracker.RecordApplied(t.clock(), revision)
	t.mu.Unlock()
	t.notify()
}

// mayCommit reports whether enough failure domains were heard from lately to
// commit a change.
func (t *freshnessTracker) mayCommit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freshnessTracker.MayCommit(t.clock())
}
