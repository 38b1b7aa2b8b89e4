package operatorapi

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"net/http"
	"strings"
)

// tokenSize is the number of random bytes of a token.
const tokenSize = 32

// TokenHash is the SHA-256 of an operator's token.
type TokenHash [sha256.Size]byte

// Operator may use the interface.
type Operator struct {
	// Name is recorded as the author of changes.
	Name string
	// Token is the hash of the operator's token.
	Token TokenHash
}

// NewToken draws a token and its hash.
func NewToken() (token string, hash TokenHash) {
	var raw [tokenSize]byte
	_, _ = rand.Read(raw[:])
	token = base64.RawURLEncoding.EncodeToString(raw[:])
	return token, HashToken(token)
}

// HashToken returns the hash to put in a node's settings.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// authenticate finds the operator of a call in a time that does not depend on
// the token.
func (s *Server) authenticate(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	hash := HashToken(token)
	name, found := "", 0
	for _, operator := range s.options.Operators {
		if subtle.ConstantTimeCompare(hash[:], operator.Token[:]) == 1 {
			name, found = operator.Name, 1
		}
	}
	return name, ok && found == 1
}
