// Package calltoken makes the token by which a target proves, when it calls
// another service in turn, for which client account it works. The token also
// carries how deep the call is nested and how many attempts its calls may
// take, so that neither grows along a chain. It is authenticated by a key
// derived from the fleet's secret and expires with its call.
package calltoken

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/strictcbor"
)

const (
	// MaxDepth is the number of calls that may be nested in each other.
	MaxDepth = 24
	// clockTolerance is how long after its expiry a token is accepted, since
	// the VMs' clocks differ.
	clockTolerance = time.Minute
	// keyInfo separates this key from others derived from the secret.
	keyInfo = "zinniafall call token v1"
	// maxTokenBytes bounds the text of a token.
	maxTokenBytes = 512
)

// decoder reads tokens.
var decoder = strictcbor.Decoder(strictcbor.Limits{Nesting: 4, Pairs: 16})

// Token is what a call passes to the calls nested in it.
type Token struct {
	Account model.Account `cbor:"1,keyasint"`
	// Depth of the call that the token was given to; the first call has 1.
	Depth int `cbor:"2,keyasint"`
	// Allowance is the number of attempts that the nested calls share.
	Allowance int `cbor:"3,keyasint"`
	// Expires is the end of the call, in milliseconds since 1970.
	Expires int64 `cbor:"4,keyasint"`
}

// Signer signs and checks tokens.
type Signer struct{ keys [][]byte }

// NewSigner derives the keys. The first secret signs, all are accepted.
func NewSigner(secrets [][]byte) (*Signer, error) {
	s := new(Signer)
	for _, secret := range secrets {
		key, err := hkdf.Key(sha256.New, secret, nil, keyInfo, sha256.Size)
		if err != nil {
			return nil, err
		}
		s.keys = append(s.keys, key)
	}
	return s, nil
}

// Sign returns the token as header text.
func (s *Signer) Sign(t Token) string {
	raw, err := cbor.Marshal(t)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(append(raw, mac(s.keys[0], raw)...))
}

// Verify checks header text. The problem says that the call did not run.
func (s *Signer) Verify(now time.Time, text string) (Token, *problem.Error) {
	var t Token
	if len(text) > maxTokenBytes {
		return t, refuse("the call token is too long")
	}
	sealed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(sealed) < sha256.Size {
		return t, refuse("the call token is malformed")
	}
	raw, sum := sealed[:len(sealed)-sha256.Size], sealed[len(sealed)-sha256.Size:]
	if !s.authentic(raw, sum) {
		return t, refuse("the call token is not of this fleet")
	}
	if err := decoder.Unmarshal(raw, &t); err != nil {
		return t, refuse("the call token is malformed")
	}
	if now.Add(-clockTolerance).UnixMilli() > t.Expires {
		return t, refuse("the call token has expired")
	}
	if t.Depth >= MaxDepth {
		return t, problem.New(problem.BadRequest, model.RunNo, "calls are nested more than 24 deep")
	}
	return t, nil
}

func (s *Signer) authentic(raw, sum []byte) bool {
	for _, key := range s.keys {
		if hmac.Equal(mac(key, raw), sum) {
			return true
		}
	}
	return false
}

func mac(key, raw []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write(raw)
	return h.Sum(nil)
}

func refuse(detail string) *problem.Error {
	return problem.New(problem.Unauthenticated, model.RunNo, detail)
}
