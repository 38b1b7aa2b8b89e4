package callkey

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/strictcbor"
)

const (
	// keyVersion is the first field of an encoded key.
	keyVersion = 1
	// macSize is the length in bytes of the truncated HMAC-SHA-256.
	macSize = 16
	// maxText is the longest text that Parse looks at, in bytes.
	maxText = 1024
	// minFleetSecret is the shortest fleet secret, in bytes.
	minFleetSecret = 16
	// keyPurpose separates the secret of request keys from other uses of the
	// fleet's secret.
	keyPurpose = "zinniafall request key v1"
)

// ErrShortSecret reports a fleet secret that is too short to derive from.
var ErrShortSecret = errors.New("the fleet secret has fewer than 16 bytes; set a longer one in the settings")

// Secret authenticates keys. It is derived from the fleet's secret.
type Secret [sha256.Size]byte

// NewSecret derives the secret of request keys from the fleet's secret, which
// has at least 16 bytes.
func NewSecret(fleet []byte) (Secret, error) {
	var s Secret
	if len(fleet) < minFleetSecret {
		return s, ErrShortSecret
	}
	raw, err := hkdf.Key(sha256.New, fleet, nil, keyPurpose, len(s))
	if err != nil {
		return s, err
	}
	copy(s[:], raw)
	return s, nil
}

// ParsedKey is an authenticated key.
type ParsedKey struct {
	// Node is the address of the issuer, to which the call is carried.
	Node model.NodeAddr
	// Process is the only process that may start a call under the key.
	Process model.ProcessID
	// Serial numbers the keys of one process from 1.
	Serial uint64
	// Issued is the time of issue on the issuer's own clock, counted from
	// the issuer's start.
	Issued time.Duration
	// Account is the only client account that may use the key.
	Account model.Account
}

// body is the encoded form of a key before its MAC.
type body struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	Node    string
	Process []byte
	Serial  uint64
	Issued  uint64 // milliseconds
	Account string
}

var (
	textEncoding = base64.RawURLEncoding.Strict()
	decoding     = strictcbor.Decoder(strictcbor.Limits{Nesting: 4, Elements: 16, Pairs: 16})
)

// sign returns the text form of a key.
func sign(p ParsedKey, secret Secret) (string, error) {
	raw, err := cbor.Marshal(body{
		Version: keyVersion,
		Node:    string(p.Node),
		Process: p.Process[:],
		Serial:  p.Serial,
		Issued:  uint64(p.Issued / time.Millisecond),
		Account: string(p.Account),
	})
	if err != nil {
		return "", err
	}
	return textEncoding.EncodeToString(append(raw, mac(raw, secret)...)), nil
}

func mac(raw []byte, secret Secret) []byte {
	h := hmac.New(sha256.New, secret[:])
	h.Write(raw)
	return h.Sum(nil)[:macSize]
}

// Parse authenticates a key. Any node can do it, to find the issuer that the
// call is carried to. Text that no issuer can have written is refused as not
// run; text whose MAC does not fit is refused with an unknown outcome, since
// the key may have been signed with a secret that is no longer accepted.
func Parse(text string, secrets []Secret) (ParsedKey, *problem.Error) {
	if len(text) > maxText {
		return ParsedKey{}, malformed()
	}
	signed, err := textEncoding.DecodeString(text)
	if err != nil || len(signed) <= macSize {
		return ParsedKey{}, malformed()
	}
	raw, sum := signed[:len(signed)-macSize], signed[len(signed)-macSize:]
	parsed, ok := decode(raw)
	if !ok {
		return ParsedKey{}, malformed()
	}
	for _, s := range secrets {
		if hmac.Equal(mac(raw, s), sum) {
			return parsed, nil
		}
	}
	return ParsedKey{}, unsigned()
}

func decode(raw []byte) (ParsedKey, bool) {
	var b body
	if err := decoding.Unmarshal(raw, &b); err != nil {
		return ParsedKey{}, false
	}
	p := ParsedKey{
		Node:    model.NodeAddr(b.Node),
		Serial:  b.Serial,
		Issued:  time.Duration(b.Issued) * time.Millisecond,
		Account: model.Account(b.Account),
	}
	valid := b.Version == keyVersion && len(b.Process) == len(p.Process) && b.Serial > 0 && b.Issued <= maxIssued
	copy(p.Process[:], b.Process)
	return p, valid
}

// maxIssued is the largest time of issue, in milliseconds; a hundred years.
const maxIssued = 100 * 366 * 24 * 3600 * 1000
