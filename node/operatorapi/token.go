package operatorapi

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"net/http"
	"strings"
)

// tokenBytes is the number of random bytes in a token.
const tokenBytes = 32

// TokenHash is the SHA-256 of an operator's token.
type TokenHash [sha256.Size]byte

// Operator is an operator with access to the API.
type Operator struct {
	// Name is recorded as the author of changes.
	Name string
	// Token is the hash of the operator's token.
	Token TokenHash
}

// NewToken returns a new random token and its hash.
func NewToken() (token string, hash TokenHash) {
	var raw [tokenBytes]byte
	_, _ = rand.Read(raw[:])
	token = base64.RawURLEncoding.EncodeToString(raw[:])
	return token, HashToken(token)
}

// HashToken returns the hash to put in a node's settings.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// authenticate returns the name of the operator whose token a request has, and
// whether there is one. Hashes are compared in constant time with those of all
// operators, so that the duration reveals nothing about the tokens.
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
