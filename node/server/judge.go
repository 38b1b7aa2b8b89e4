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

// beaconDecoder reads beacons of other nodes.
var beaconDecoder = strictcbor.Decoder(strictcbor.Limits{Pairs: 16})

// judge shares the decision whether this node's view is recent enough.
type judge struct {
	// wake tells the control duty that the standing may have changed.
	wake chan struct{}

	mu    sync.Mutex
	judge *freshness.Tracker
	// clock tells the time; tests age the evidence with it.
	clock func() time.Time
}

func newJudge(opts freshness.Options) *judge {
	return &judge{judge: freshness.New(opts), wake: make(chan struct{}, 1), clock: time.Now}
}

// poke makes the control duty look again.
func (j *judge) poke() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// fresh reports whether this node may give its target new work.
func (j *judge) fresh() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.judge.Status(j.clock()).Fresh
}

// beacon takes in a watcher's beacon.
func (j *judge) beacon(message membership.Message) (freshness.Beacon, bool) {
	var b freshness.Beacon
	if err := beaconDecoder.Unmarshal(message.Payload, &b); err != nil {
		malformedFloods.Inc()
		return b, false
	}
	j.mu.Lock()
	j.judge.RecordBeacon(j.clock(), b, message.CreatedAt)
	j.mu.Unlock()
	j.poke()
	return b, true
}

// due returns the beacon to flood now, if this node is a watcher and one is
// due.
func (j *judge) due() ([]byte, bool) {
	j.mu.Lock()
	b, ok := j.judge.Beacon(j.clock())
	j.mu.Unlock()
	if !ok {
		return nil, false
	}
	payload, err := cbor.Marshal(b)
	return payload, err == nil
}

func (j *judge) confirmed(age time.Duration, revision model.Revision) {
	j.mu.Lock()
	j.judge.RecordConfirmation(j.clock(), age, revision)
	j.mu.Unlock()
	j.poke()
}

// acknowledged reports whether enough failure domains know the revision, so
// that no node that does not apply it can stay fresh.
func (j *judge) acknowledged(revision model.Revision) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.judge.Acknowledged(j.clock(), revision)
}

func (j *judge) applied(revision model.Revision, domains []model.Domain) {
	j.mu.Lock()
	j.judge.SetDomains(j.clock(), domains)
	j.judge.RecordApplied(j.clock(), revision)
	j.mu.Unlock()
	j.poke()
}

func (j *judge) mayCommit() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.judge.MayCommit(j.clock())
}
