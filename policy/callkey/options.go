package callkey

import (
	"time"

	"zinniafall/policy/model"
)

// Options configures an Issuer. A zero field means the default.
type Options struct {
	// Process is the identity of the issuing process. Required.
	Process model.ProcessID
	// Node is the peer address at which other nodes reach the issuer.
	// Required.
	Node model.NodeAddr
	// Secrets authenticate the keys. The first one signs and all verify, so
	// that two are accepted during a rotation. Required.
	Secrets []Secret
	// TTL is the time for which a key may be used after it was issued.
	// Default 10 minutes.
	TTL time.Duration
	// MaxClaims limits the claims in memory. Default 32,768.
	MaxClaims int
	// MaxAnswerBytes limits the size of one retained answer. Default 64 KiB.
	MaxAnswerBytes int
	// MaxTotalBytes limits the size of all retained answers together. Default
	// 8 MiB.
	MaxTotalBytes int
}

const (
	defaultTTL            = 10 * time.Minute
	defaultMaxClaims      = 32768
	defaultMaxAnswerBytes = 64 << 10
	defaultMaxTotalBytes  = 8 << 20
	// maxBatch is the largest number of keys that one Issue returns.
	maxBatch = 256
	// buckets is the number of expiry buckets that one TTL is divided into.
	buckets = 16
)

func (o Options) withDefaults() Options {
	if o.TTL <= 0 {
		o.TTL = defaultTTL
	}
	if o.MaxClaims <= 0 {
		o.MaxClaims = defaultMaxClaims
	}
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if o.MaxTotalBytes <= 0 {
		o.MaxTotalBytes = defaultMaxTotalBytes
	}
	return o
}
