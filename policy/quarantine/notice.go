package quarantine

import (
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniafall/policy/strictcbor"
)

// Notice tells other nodes of a crash or of the clearing of a request. Applying
// notices twice or in another order leads to the same state.
type Notice struct {
	// Crash is the crash at which the requests in Affected were in flight.
	Crash CrashID `cbor:"1,keyasint"`
	// Affected holds the requests for which the crash is recorded.
	Affected []Fingerprint `cbor:"2,keyasint,omitempty"`
	// Age is the time from the crash or clearing to the notice. A node that
	// forwards a notice after a delay adds the delay.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// Cleared is the request that is cleared of the crashes in ClearedCrashes.
	Cleared Fingerprint `cbor:"4,keyasint,omitempty"`
	// ClearedCrashes holds the crashes that no longer count against Cleared.
	ClearedCrashes []CrashID `cbor:"5,keyasint,omitempty"`
}

const (
	// maxAffected limits the requests in one notice; no target has more
	// connections.
	maxAffected = 512
	// maxNoticeBytes limits the size of an encoded notice.
	maxNoticeBytes = 16 << 10
)

// ErrInvalidNotice is returned for bytes that are not a notice or that exceed
// its limits.
var ErrInvalidNotice = errors.New("not a quarantine notice; check that all nodes run the same version")

var decoding = strictcbor.Decoder(strictcbor.Limits{Nesting: 4, Elements: maxAffected, Pairs: 16})

// Encode returns the notice as CBOR.
func (n Notice) Encode() ([]byte, error) { return cbor.Marshal(n) }

// DecodeNotice decodes the output of Encode. It rejects a notice that exceeds
// the limits.
func DecodeNotice(raw []byte) (Notice, error) {
	var n Notice
	if len(raw) > maxNoticeBytes || decoding.Unmarshal(raw, &n) != nil {
		return Notice{}, ErrInvalidNotice
	}
	if n.Age < 0 || len(n.ClearedCrashes) > maxCrashes {
		return Notice{}, ErrInvalidNotice
	}
	return n, nil
}

// RecordCrash records that a target crashed while the given requests were in
// flight there, and returns the notice for all other nodes. A report of the
// same crash by another node adds its requests.
func (l *List) RecordCrash(now time.Time, crash CrashID, inFlight []Fingerprint) Notice {
	affected := slices.Clone(inFlight)
	slices.SortFunc(affected, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	n := Notice{Crash: crash, Affected: slices.Compact(affected)}
	if len(n.Affected) > maxAffected {
		n.Affected = n.Affected[:maxAffected]
	}
	l.Apply(now, n)
	return n
}

// Apply applies a notice of another node. It reports whether the notice changed
// anything, so that only new information is forwarded.
func (l *List) Apply(now time.Time, n Notice) bool {
	at := now.Add(-n.Age)
	if now.Sub(at) >= l.opts.Retention {
		return false
	}
	changed := false
	for _, f := range n.Affected {
		changed = l.record(now, f, record{crash: n.Crash, at: at}) || changed
	}
	for _, c := range n.ClearedCrashes {
		changed = l.record(now, n.Cleared, record{crash: c, at: at, cleared: true}) || changed
	}
	return changed
}

// RecordSuccess records that a request completed successfully. If it was not
// clear, it clears the request and returns the notice for the other nodes and
// true.
func (l *List) RecordSuccess(now time.Time, f Fingerprint) (Notice, bool) {
	if l.Check(now, f) == Clear {
		return Notice{}, false
	}
	return l.Lift(now, f), true
}

// Lift clears a request of all its recorded crashes, for example on an
// operator's request, and returns the notice for the other nodes. Later crashes
// count again.
func (l *List) Lift(now time.Time, f Fingerprint) Notice {
	n := Notice{Cleared: f}
	if r := l.find(f); r != nil {
		for _, s := range r.crashes {
			n.ClearedCrashes = append(n.ClearedCrashes, s.crash)
		}
	}
	l.Apply(now, n)
	return n
}
