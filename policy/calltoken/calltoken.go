// Package calltoken provides the token that a call passes to its target. With
// it the target proves, when it calls another service, for which client account
// it does so. The token also contains the nesting depth of the call and the
// number of attempts that nested calls may use, so that both stay limited along
// a chain of calls. It is authenticated by a key derived from the fleet's
// secret and expires with its call.
package calltoken

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
	// MaxDepth is the maximum depth of nested calls.
	MaxDepth = 24
	// clockTolerance is the time for which a token is accepted after its
	// expiry, since the clocks of the VMs differ.
	clockTolerance = time.Minute
	// keyInfo is the HKDF info that separates this key from others derived
	// from the fleet's secret.
	keyInfo = "zinniafall call token v1"
	// maxTokenBytes limits the length of a token in text form.
	maxTokenBytes = 512
)

var decoder = strictcbor.Decoder(strictcbor.Limits{Nesting: 4, Pairs: 16})

// Token holds the properties that a call passes on to its nested calls.
type Token struct {
	// Account is the client account of the first call.
	Account model.Account `cbor:"1,keyasint"`
	// Depth is the nesting depth of the call that the token was issued for; a
	// first call has depth 1.
	Depth int `cbor:"2,keyasint"`
	// Allowance is the number of further attempts that the nested calls share.
	Allowance int `cbor:"3,keyasint"`
	// Expires is the end of the call, in Unix milliseconds.
	Expires int64 `cbor:"4,keyasint"`
}

// Signer signs and verifies tokens.
type Signer struct{ keys [][]byte }

// errNoSecret reports a signer that could sign nothing.
var errNoSecret = errors.New("there is no secret to sign call tokens with; state at least one")

// NewSigner returns a signer whose keys are derived from the secrets, of which there
// must be one at least. The first one signs, and tokens of all are accepted.
func NewSigner(secrets [][]byte) (*Signer, error) {
	if len(secrets) == 0 {
		return nil, errNoSecret
	}
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

// Sign returns the signed token in the text form for a header.
func (s *Signer) Sign(t Token) string {
	raw, err := cbor.Marshal(t)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(append(raw, mac(s.keys[0], raw)...))
}

// Verify decodes a token from its text form and checks its signature, expiry
// and depth. The problem states that the call did not run.
func (s *Signer) Verify(now time.Time, text string) (Token, *problem.Error) {
	var t Token
	if len(text) > maxTokenBytes {
		return t, refuse("the call token is too long")
	}
	signed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(signed) < sha256.Size {
		return t, refuse("the call token is malformed")
	}
	raw, sum := signed[:len(signed)-sha256.Size], signed[len(signed)-sha256.Size:]
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

// authentic reports whether one of the keys produced the signature.
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
