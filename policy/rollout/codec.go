package rollout

import (
	"encoding/json"
	"errors"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"

	"zinniafall/policy/model"
	"zinniafall/policy/strictcbor"
)

// Limits on what a state or a report from elsewhere may contain, far above what occurs. A
// service of 600 instances on each side has at most 600 grants.
const (
	maxNameBytes  = 256
	maxReason     = 1024
	maxVersions   = 16
	maxGrants     = 4096
	maxRoutes     = 128
	maxStateBytes = 1 << 20
)

// ErrInvalid reports a state or a report that cannot come from a node of this release.
var ErrInvalid = errors.New("invalid rollout message; run the same release on all nodes")

var decoder = strictcbor.Decoder(strictcbor.Limits{Nesting: 6, Elements: maxGrants, Pairs: 64})

// validName reports whether a text is short enough and readable.
func validName[T ~string](name T) bool {
	return len(name) <= maxNameBytes && utf8.ValidString(string(name))
}

// Validate returns ErrInvalid if the state has no service, version, or known phase, or
// exceeds the limits on sizes.
func (s State) Validate() error {
	ok := s.Service != "" && s.Version != "" && validName(s.Service) && validName(s.Version) &&
		s.Phase.valid() && (!s.Draft || s.Phase == RolledBack) && s.ElapsedMs >= 0 && s.DurationMs >= 0 && len(s.Stable) <= maxVersions &&
		len(s.Replaced) <= maxVersions && len(s.Grants) <= maxGrants &&
		len(s.Limits) <= maxRoutes &&
		len(s.Reason) <= maxReason && utf8.ValidString(s.Reason)
	for _, v := range s.Stable {
		ok = ok && validName(v) && v != s.Version
	}
	for _, r := range s.Replaced {
		ok = ok && validName(r.Version)
	}
	for _, l := range s.Limits {
		ok = ok && validName(l.Route) && l.Ms >= 0
	}
	for _, g := range s.Grants {
		ok = ok && g.Node != "" && validName(g.Node) && g.Process != (model.ProcessID{})
	}
	if !ok {
		return ErrInvalid
	}
	return nil
}

// Validate returns ErrInvalid if the report names no owner, has impossible counts, or exceeds
// the limits on sizes.
func (e Evidence) Validate() error {
	ok := e.Node != "" && validName(e.Node) && validName(e.Version) && validName(e.Domain) &&
		e.InFlight >= 0 && e.Queued >= 0 && e.Slots >= 0 && len(e.Routes) <= maxRoutes &&
		e.State <= model.TargetFailing && (e.Phase == "" || e.Phase.valid())
	for _, r := range e.Routes {
		ok = ok && validName(r.Route) && r.Failures <= r.Answers
	}
	for _, l := range e.Loads {
		ok = ok && l.Bad <= l.Answers
	}
	if !ok {
		return ErrInvalid
	}
	return nil
}

// Encode returns the state for the store.
func (s State) Encode() ([]byte, error) { return json.Marshal(s) }

// DecodeState reads a state from the store.
func DecodeState(raw []byte) (State, error) {
	var s State
	if len(raw) > maxStateBytes {
		return s, ErrInvalid
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		return State{}, errors.Join(ErrInvalid, err)
	}
	if err := s.Validate(); err != nil {
		return State{}, err
	}
	return s, nil
}

// DecodeStateMessage reads a state that another node sent in CBOR.
func DecodeStateMessage(raw []byte) (State, error) {
	return decodeMessage[State](raw)
}

// DecodeEvidence reads a report that an owner sent in CBOR.
func DecodeEvidence(raw []byte) (Evidence, error) {
	return decodeMessage[Evidence](raw)
}

func decodeMessage[T interface{ Validate() error }](raw []byte) (T, error) {
	var none, message T
	if len(raw) > maxStateBytes {
		return none, ErrInvalid
	}
	if err := decoder.Unmarshal(raw, &message); err != nil {
		return none, errors.Join(ErrInvalid, err)
	}
	if err := message.Validate(); err != nil {
		return none, err
	}
	return message, nil
}

// EncodeMessage returns a State or Evidence in CBOR for another node.
func EncodeMessage[T State | Evidence](message T) ([]byte, error) { return cbor.Marshal(message) }
