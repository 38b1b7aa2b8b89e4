package callkey

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/strictcbor"
)

// Handover is the record that an issuer makes at a planned stop of what ran
// under its keys. It does not transfer the right to start calls, so any number
// of nodes may hold a copy, and a copy may arrive twice.
type Handover struct {
	// Process is the issuer that stopped.
	Process model.ProcessID `cbor:"1,keyasint"`
	// LastSerial is the serial of the last key that it issued.
	LastSerial uint64 `cbor:"2,keyasint"`
	// SealedAt is the time of Seal on the issuer's clock.
	SealedAt time.Duration `cbor:"3,keyasint"`
	// TTL is the time to live of the issuer's keys.
	TTL time.Duration `cbor:"4,keyasint"`
	// Records holds all claims whose keys have not expired.
	Records []Record `cbor:"5,keyasint"`
}

// Record is a claim in a Handover.
type Record struct {
	Serial      uint64         `cbor:"1,keyasint"`
	Issued      time.Duration  `cbor:"2,keyasint"`
	Account     model.Account  `cbor:"3,keyasint"`
	Fingerprint [32]byte       `cbor:"4,keyasint"`
	Answer      *Answer        `cbor:"5,keyasint,omitempty"`
	Refusal     *problem.Error `cbor:"6,keyasint,omitempty"`
}

// Seal closes the issuer and returns its record. Calls that are still running
// are recorded with an unknown outcome, so call Seal after the last call has
// ended. Nothing starts after Seal, so a key without a record is known not to
// have run.
func (i *Issuer) Seal(now time.Time) Handover {
	i.Close()
	i.Expire(now)
	h := Handover{Process: i.opts.Process, LastSerial: i.lastSerial, TTL: i.opts.TTL}
	if i.lastSerial > 0 {
		h.SealedAt = now.Sub(i.epoch)
	}
	for _, claims := range i.claims.buckets {
		for _, c := range claims {
			h.Records = append(h.Records, c.record())
		}
	}
	slices.SortFunc(h.Records, func(a, b Record) int { return cmp.Compare(a.Serial, b.Serial) })
	return h
}

func (c *claim) record() Record {
	r := Record{Serial: c.key, Issued: c.issued, Account: c.account, Fingerprint: c.fingerprint, Answer: c.answer, Refusal: c.refusal}
	if c.state == running {
		r.Refusal = problem.New(problem.KeyIssuerGone, model.RunUnknown, "the call ran when its node stopped")
	}
	return r
}

func (r Record) claim() *claim {
	c := &claim{key: r.Serial, issued: r.Issued, account: r.Account, fingerprint: r.Fingerprint, state: completed, answer: r.Answer}
	if r.Refusal != nil {
		c.state, c.refusal = outcomeUnknown, r.Refusal
	}
	return c
}

const (
	// maxRecords limits the records of one Handover.
	maxRecords = 1 << 17
	// maxHandover limits the size of an encoded Handover, in bytes.
	maxHandover = 32 << 20
	// maxArchived limits the stopped issuers in an Archive.
	maxArchived = 32
)

// ErrInvalidHandover is returned for bytes that are not a Handover or that
// exceed its limits.
var ErrInvalidHandover = errors.New("not a record of request keys; resends under these keys are answered as unknown")

var handoverDecoding = strictcbor.Decoder(strictcbor.Limits{Elements: maxRecords, Pairs: 1024})

// Encode returns the handover as CBOR.
func (h Handover) Encode() ([]byte, error) { return cbor.Marshal(h) }

// DecodeHandover decodes the output of Encode.
func DecodeHandover(raw []byte) (Handover, error) {
	var h Handover
	if len(raw) > maxHandover || handoverDecoding.Unmarshal(raw, &h) != nil {
		return Handover{}, ErrInvalidHandover
	}
	if h.TTL <= 0 || h.SealedAt < 0 {
		return Handover{}, ErrInvalidHandover
	}
	return h, nil
}

// Archive decides on resends under the keys of issuers that made a planned
// stop. It never starts a call. It is not safe for concurrent use.
type Archive struct {
	secrets  []Secret
	maxBytes int
	bytes    int
	issuers  map[model.ProcessID]*archivedIssuer
}

// archivedIssuer is the record of one stopped issuer.
type archivedIssuer struct {
	handover Handover
	addedAt  time.Time
	bytes    int
	claims   map[uint64]*claim
}

// NewArchive returns an archive that keeps at most maxBytes of records; 0 means
// 16 MiB.
func NewArchive(secrets []Secret, maxBytes int) *Archive {
	const defaultMaxBytes = 16 << 20
	if maxBytes <= 0 {
		maxBytes = defaultMaxBytes
	}
	return &Archive{secrets: secrets, maxBytes: maxBytes, issuers: make(map[model.ProcessID]*archivedIssuer)}
}

// AddHandover stores a handover completely or not at all, and reports whether it is in
// the archive. If a part were missing, a key without a record would wrongly be
// reported as not run.
func (a *Archive) AddHandover(now time.Time, h Handover) bool {
	a.Expire(now)
	if a.issuers[h.Process] != nil {
		return true
	}
	const recordBytes = 256
	size := 0
	claims := make(map[uint64]*claim, len(h.Records))
	for _, r := range h.Records {
		claims[r.Serial] = r.claim()
		size += recordBytes
		if r.Answer != nil {
			size += r.Answer.size()
		}
	}
	if a.bytes+size > a.maxBytes || len(a.issuers) == maxArchived {
		return false
	}
	a.bytes += size
	h.Records = nil
	a.issuers[h.Process] = &archivedIssuer{handover: h, addedAt: now, bytes: size, claims: claims}
	return true
}

// Expire drops the issuers whose last key is past its time to live.
func (a *Archive) Expire(now time.Time) {
	for process, issuer := range a.issuers {
		if now.Sub(issuer.addedAt) >= issuer.handover.TTL {
			a.bytes -= issuer.bytes
			delete(a.issuers, process)
		}
	}
}

// Claim decides on a request under a key of a stopped issuer. The verdict is
// Replay or Refuse.
func (a *Archive) Claim(now time.Time, r Request) Claim {
	key, err := Parse(r.Key, a.secrets)
	if err != nil {
		return refuse(err)
	}
	issuer := a.issuers[key.Process]
	switch {
	case key.Account != r.Account:
		return refuse(accountMismatch())
	case issuer == nil:
		return refuse(IssuerGone(key))
	case issuer.handover.SealedAt-key.Issued+now.Sub(issuer.addedAt) >= issuer.handover.TTL:
		return refuse(expiredKey())
	case key.Serial > issuer.handover.LastSerial:
		return refuse(neverIssued())
	}
	if c := issuer.claims[key.Serial]; c != nil {
		return c.decideResend(r)
	}
	return refuse(draining())
}
