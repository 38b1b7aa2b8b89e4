package quarantine

import (
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniafall/policy/strictcbor"
)

// Notice tells other nodes of a crash or of a clearing. Applying it twice, or
// in another order than others, leads to the same state.
type Notice struct {
	// Crash that Struck were in flight at.
	Crash CrashID `cbor:"1,keyasint"`
	// Affected are the requests that get a strike.
	Affected []Fingerprint `cbor:"2,keyasint,omitempty"`
	// Age of the crash or clearing when the notice was made. A node that
	// forwards a notice after a wait adds the wait.
	Age time.Duration `cbor:"3,keyasint,omitempty"`
	// Cleared is the request whose strikes of the crashes in Forgiven are
	// cleared.
	Cleared Fingerprint `cbor:"4,keyasint,omitempty"`
	// ClearedCrashes are the crashes whose strikes no longer count.
	ClearedCrashes []CrashID `cbor:"5,keyasint,omitempty"`
}

const (
	// maxStruck bounds the requests in one notice; no target has more
	// connections.
	maxStruck = 512
	// maxNotice bounds an encoded notice, in bytes.
	maxNotice = 16 << 10
)

// ErrInvalidNotice reports bytes that are not a notice.
var ErrInvalidNotice = errors.New("not a quarantine notice; check that all nodes run the same version")

var decoding = strictcbor.Decoder(strictcbor.Limits{Nesting: 4, Elements: maxStruck, Pairs: 16})

// Encode returns the notice as bytes.
func (n Notice) Encode() ([]byte, error) { return cbor.Marshal(n) }

// DecodeNotice reads the form that Encode returns. It refuses what exceeds
// the limits.
func DecodeNotice(raw []byte) (Notice, error) {
	var n Notice
	if len(raw) > maxNotice || decoding.Unmarshal(raw, &n) != nil {
		return Notice{}, ErrInvalidNotice
	}
	if n.Age < 0 || len(n.ClearedCrashes) > maxStrikes {
		return Notice{}, ErrInvalidNotice
	}
	return n, nil
}

// RecordCrash records that a target crashed while the given requests were in
// flight there, and returns the notice for all other nodes. A report of the
// same crash by another node adds to it.
func (l *List) RecordCrash(now time.Time, crash CrashID, inFlight []Fingerprint) Notice {
	struck := slices.Clone(inFlight)
	slices.SortFunc(struck, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
	n := Notice{Crash: crash, Affected: slices.Compact(struck)}
	if len(n.Affected) > maxStruck {
		n.Affected = n.Affected[:maxStruck]
	}
	l.Apply(now, n)
	return n
}

// Apply takes in a notice of another node. It reports whether the notice
// changed anything, so that only news is forwarded.
func (l *List) Apply(now time.Time, n Notice) bool {
	at := now.Add(-n.Age)
	if now.Sub(at) >= l.opts.Retention {
		return false
	}
	changed := false
	for _, f := range n.Affected {
		changed = l.strike(now, f, strike{crash: n.Crash, at: at}) || changed
	}
	for _, c := range n.ClearedCrashes {
		changed = l.strike(now, n.Cleared, strike{crash: c, at: at, cleared: true}) || changed
	}
	return changed
}

// RecordSuccess records that a request completed well. If it was a suspect, it is
// cleared, and the notice tells the other nodes.
func (l *List) RecordSuccess(now time.Time, f Fingerprint) (Notice, bool) {
	if l.Check(now, f) == Clear {
		return Notice{}, false
	}
	return l.Lift(now, f), true
}

// Lift clears a request by an operator's decision. A later crash counts anew.
func (l *List) Lift(now time.Time, f Fingerprint) Notice {
	n := Notice{Cleared: f}
	if r := l.find(f); r != nil {
		for _, s := range r.strikes {
			n.ClearedCrashes = append(n.ClearedCrashes, s.crash)
		}
	}
	l.Apply(now, n)
	return n
}
