// Package accountkey reads the keys of client accounts from requests and hashes them, so
// that no key is kept in clear text and none is compared byte by byte.
package accountkey

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"strings"
	"unicode"
)

// MaxBytes is the size of the longest key that may name an account.
const MaxBytes = 256

// scheme is the authentication scheme of keys (RFC 6750).
const scheme = "Bearer"

// secret keys the hashes of this process, so that a hash is of no use elsewhere.
var secret = newSecret()

func newSecret() []byte {
	s := make([]byte, sha256.Size)
	_, _ = rand.Read(s) // never fails; see crypto/rand
	return s
}

// Sum is the hash of a key under a random secret of the process.
type Sum [sha256.Size]byte

// SumOf returns the hash of a key.
func SumOf(key string) Sum {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write([]byte(key))
	return Sum(mac.Sum(nil))
}

// Equal reports whether two hashes are equal, in constant time.
func (s Sum) Equal(other Sum) bool { return hmac.Equal(s[:], other[:]) }

// IsUsable reports whether a key may name an account. A request cannot carry one with
// spaces or control characters.
func IsUsable(key string) bool {
	return key != "" && len(key) <= MaxBytes && !strings.ContainsFunc(key, isExcluded)
}

func isExcluded(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }

// FromFields returns the key in the Authorization fields of a request. It reports false if
// there is no field, more than one, another scheme, or no single word after the scheme.
func FromFields(fields []string) (key string, ok bool) {
	if len(fields) != 1 {
		return "", false
	}
	stated, key, found := strings.Cut(fields[0], " ")
	if !found || !strings.EqualFold(stated, scheme) || key == "" || strings.ContainsFunc(key, isExcluded) {
		return "", false
	}
	return key, true
}
