package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"slices"

	"github.com/cespare/xxhash/v2"

	"zinniafall/policy/model"
)

// fingerprintSize is the length of a Fingerprint and of a CrashID in bytes.
const fingerprintSize = 16

// Fingerprint identifies equal requests.
type Fingerprint [fingerprintSize]byte

// CrashID identifies one crash of one target.
type CrashID [fingerprintSize]byte

// ErrInvalidFingerprint is returned for text that is not a fingerprint.
var ErrInvalidFingerprint = errors.New("a fingerprint is 32 hexadecimal digits; copy it from `zinniafall quarantine list`")

// FingerprintOf returns the fingerprint of a request. Body is the request's
// body, or a digest or prefix of it that every node derives in the same way.
func FingerprintOf(account model.Account, service model.Service, method, path string, body []byte) Fingerprint {
	const typicalHeadSize = 256
	head := make([]byte, 0, typicalHeadSize)
	for _, part := range [...]string{string(account), string(service), method, path} {
		head = binary.AppendUvarint(head, uint64(len(part)))
		head = append(head, part...)
	}
	h := sha256.New()
	h.Write(head)
	h.Write(body)
	return Fingerprint(h.Sum(nil)[:fingerprintSize])
}

// String returns the fingerprint as 32 hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the output of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != fingerprintSize {
		return f, ErrInvalidFingerprint
	}
	copy(f[:], raw)
	return f, nil
}

// NewCrashID returns the id of the crash that ended an epoch of an owner's
// target. The owner begins a new epoch each time its target's process is
// replaced. A node that loses an owner together with its target uses the epoch
// of the owner's last report, so that all reports of one crash have the same
// id.
func NewCrashID(owner model.ProcessID, epoch uint64) CrashID {
	sum := sha256.Sum256(binary.BigEndian.AppendUint64(owner[:], epoch))
	return CrashID(sum[:fingerprintSize])
}

// RankOwners orders the owners for a request by rendezvous hashing, best first.
// All nodes with the same members compute the same order, and a member that
// leaves moves only its own requests. A suspect goes to the first owner. A
// non-idempotent request may be restricted to the first two, so that concurrent
// copies of it reach no third target.
func RankOwners(f Fingerprint, owners []model.ProcessID) []model.ProcessID {
	ranked := slices.Clone(owners)
	weights := make(map[model.ProcessID]uint64, len(owners))
	var buffer [2 * fingerprintSize]byte
	copy(buffer[:], f[:])
	for _, o := range owners {
		copy(buffer[fingerprintSize:], o[:])
		weights[o] = xxhash.Sum64(buffer[:])
	}
	slices.SortFunc(ranked, func(a, b model.ProcessID) int {
		switch wa, wb := weights[a], weights[b]; {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return slices.Compare(a[:], b[:])
	})
	return ranked
}
