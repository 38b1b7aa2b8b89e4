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

// Handover is what an issuer leaves behind at a planned stop: the record of
// what ran under its keys, not the right to run anything. Any number of nodes
// may hold a copy, and a copy may arrive twice.
type Handover struct {
	// Process is the issuer that stopped.
	Process model.ProcessID `cbor:"1,keyasint"`
	// LastSerial is the serial of the last key that it issued.
	LastSerial uint64 `cbor:"2,keyasint"`
	// SealedAt is the time of the stop on the issuer's clock.
	SealedAt time.Duration `cbor:"3,keyasint"`
	// TTL of the issuer's keys.
	TTL time.Duration `cbor:"4,keyasint"`
	// Records are all claims whose keys have not expired.
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

// Seal closes the issuer and returns its record. Calls that still run are
// recorded with an unknown outcome, so seal after the last call has ended.
// Nothing starts here after Seal, which is why a key without a record is
// known not to have run.
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
		c.state, c.refusal = lost, r.Refusal
	}
	return c
}

const (
	// maxRecords bounds the records of one Handover.
	maxRecords = 1 << 17
	// maxHandover bounds an encoded Handover, in bytes.
	maxHandover = 32 << 20
	// maxArchived bounds the stopped issuers in an Archive.
	maxArchived = 32
)

// ErrInvalidHandover reports bytes that are not a Handover, or one over the limits.
var ErrInvalidHandover = errors.New("not a record of request keys; resends under these keys are answered as unknown")

var handoverDecoding = strictcbor.Decoder(strictcbor.Limits{Elements: maxRecords, Pairs: 1024})

// Encode returns the record as bytes.
func (h Handover) Encode() ([]byte, error) { return cbor.Marshal(h) }

// DecodeHandover reads the form that Encode returns.
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

// Archive answers for issuers that stopped as planned. It starts nothing. It
// is not safe for concurrent use.
type Archive struct {
	secrets  []Secret
	maxBytes int
	bytes    int
	issuers  map[model.ProcessID]*archived
}

// archived is the record of one issuer.
type archived struct {
	handover Handover
	adopted  time.Time
	bytes    int
	claims   map[uint64]*claim
}

// NewArchive returns an archive that keeps at most the given bytes of records;
// 0 means 16 MiB.
func NewArchive(secrets []Secret, maxBytes int) *Archive {
	const defaultMaxBytes = 16 << 20
	if maxBytes <= 0 {
		maxBytes = defaultMaxBytes
	}
	return &Archive{secrets: secrets, maxBytes: maxBytes, issuers: make(map[model.ProcessID]*archived)}
}

// Add keeps a record whole, or not at all: with a part of it missing, a key
// without a record would wrongly be called not run.
func (a *Archive) Add(now time.Time, h Handover) bool {
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
	a.issuers[h.Process] = &archived{handover: h, adopted: now, bytes: size, claims: claims}
	return true
}

// Expire forgets the issuers whose last key is past its time to live.
func (a *Archive) Expire(now time.Time) {
	for process, x := range a.issuers {
		if now.Sub(x.adopted) >= x.handover.TTL {
			a.bytes -= x.bytes
			delete(a.issuers, process)
		}
	}
}

// Claim answers for a stopped issuer. The verdict is Replay or Refuse.
func (a *Archive) Claim(now time.Time, r Request) Claim {
	key, err := Parse(r.Key, a.secrets)
	if err != nil {
		return refuse(err)
	}
	x := a.issuers[key.Process]
	switch {
	case key.Account != r.Account:
		return refuse(otherAccount())
	case x == nil:
		return refuse(IssuerGone(key))
	case x.handover.SealedAt-key.Issued+now.Sub(x.adopted) >= x.handover.TTL:
		return refuse(expired())
	case key.Serial > x.handover.LastSerial:
		return refuse(neverIssued())
	}
	if c := x.claims[key.Serial]; c != nil {
		return c.resent(r)
	}
	return refuse(draining())
}
