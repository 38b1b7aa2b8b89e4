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
	// maxText is the longest text that Parse accepts, in bytes.
	maxText = 1024
	// minFleetSecret is the minimum length of the fleet's secret, in bytes.
	minFleetSecret = 16
	// keyPurpose is the HKDF info that separates the secret of request keys
	// from other secrets derived from the fleet's secret.
	keyPurpose = "zinniafall request key v1"
)

// ErrShortSecret is returned for a fleet secret of fewer than 16 bytes.
var ErrShortSecret = errors.New("the fleet secret has fewer than 16 bytes; set a longer one in the settings")

// Secret is the HMAC secret that authenticates keys. It is derived from the
// fleet's secret.
type Secret [sha256.Size]byte

// NewSecret derives the secret of request keys from the fleet's secret, which
// must have at least 16 bytes.
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
	// Node is the address of the issuer, to which the call is forwarded.
	Node model.NodeAddr
	// Process is the only process that may start a call under the key.
	Process model.ProcessID
	// Serial numbers the keys of one process from 1.
	Serial uint64
	// Issued is the time of issue on the issuer's own clock, counted from the
	// issue of its first key.
	Issued time.Duration
	// Account is the only client account that may use the key.
	Account model.Account
}

// keyBody is the part of an encoded key that precedes its MAC.
type keyBody struct {
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
	keyDecoding  = strictcbor.Decoder(strictcbor.Limits{Nesting: 4, Elements: 16, Pairs: 16})
)

// sign returns the text form of a key.
func sign(p ParsedKey, secret Secret) (string, error) {
	raw, err := cbor.Marshal(keyBody{
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

// Parse authenticates a key. Any node can do so to find the issuer to which the
// call is forwarded. Text that no issuer can have produced is refused as not
// run. Text with an invalid MAC is refused with an unknown outcome, since the
// key may have been signed with a secret that is no longer accepted.
func Parse(text string, secrets []Secret) (ParsedKey, *problem.Error) {
	if len(text) > maxText {
		return ParsedKey{}, malformedKey()
	}
	signed, err := textEncoding.DecodeString(text)
	if err != nil || len(signed) <= macSize {
		return ParsedKey{}, malformedKey()
	}
	raw, sum := signed[:len(signed)-macSize], signed[len(signed)-macSize:]
	parsed, ok := decode(raw)
	if !ok {
		return ParsedKey{}, malformedKey()
	}
	for _, s := range secrets {
		if hmac.Equal(mac(raw, s), sum) {
			return parsed, nil
		}
	}
	return ParsedKey{}, unknownSecret()
}

// decode decodes a key without its MAC and reports whether it is well-formed.
func decode(raw []byte) (ParsedKey, bool) {
	var b keyBody
	if err := keyDecoding.Unmarshal(raw, &b); err != nil {
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

// maxIssued is the largest accepted time of issue in milliseconds, a hundred
// years.
const maxIssued = 100 * 366 * 24 * 3600 * 1000
