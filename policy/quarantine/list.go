package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// Options configure a List. A zero value means the default.
type Options struct {
	// Duration is how long a convicted request is refused after its last strike.
	// Default 1 hour.
	Duration time.Duration
	// Retention is how long a strike is kept. Default 24 hours, at least Term.
	Retention time.Duration
	// CrashLimit is the number of crashes that convict a request. Default 2.
	CrashLimit int
	// MaxSuspects bounds the requests with one strike. Default 4,096.
	MaxSuspects int
	// MaxQuarantined bounds the requests with two strikes. Default 1,024.
	MaxQuarantined int
}

const (
	defaultTerm           = time.Hour
	defaultMemory         = 24 * time.Hour
	defaultMaxSuspects    = 4096
	defaultMaxQuarantined = 1024
	// defaultStrikes is the number of targets that one request may cost.
	defaultStrikes = 2
	// maxStrikes bounds the strikes kept of one request.
	maxStrikes = 8
)

func (o Options) withDefaults() Options {
	if o.Duration <= 0 {
		o.Duration = defaultTerm
	}
	if o.Retention <= 0 {
		o.Retention = defaultMemory
	}
	o.Retention = max(o.Retention, o.Duration)
	if o.CrashLimit <= 0 {
		o.CrashLimit = defaultStrikes
	}
	if o.MaxSuspects <= 0 {
		o.MaxSuspects = defaultMaxSuspects
	}
	if o.MaxQuarantined <= 0 {
		o.MaxQuarantined = defaultMaxQuarantined
	}
	return o
}

// Status is how a request may run now.
type Status uint8

// The standings of a request.
const (
	// Clear requests run as any other.
	Clear Status = iota
	// Suspect requests run isolated.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

// String returns the standing in lower case.
func (s Status) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Quarantined:
		return "quarantined"
	default:
		return "clear"
	}
}

// strike records that a request was in flight at a crash.
type strike struct {
	crash   CrashID
	at      time.Time
	cleared bool
}

// record is what is known of one request.
type record struct {
	strikes []strike
}

// List is what one node knows of the requests that were in flight at crashes.
// It is not safe for concurrent use.
type List struct {
	opts        Options
	suspects    *simplelru.LRU[Fingerprint, *record]
	quarantined *simplelru.LRU[Fingerprint, *record]
}

// New returns an empty list.
func New(opts Options) *List {
	opts = opts.withDefaults()
	return &List{
		opts:        opts,
		suspects:    newLRU(opts.MaxSuspects),
		quarantined: newLRU(opts.MaxQuarantined),
	}
}

func newLRU(size int) *simplelru.LRU[Fingerprint, *record] {
	lru, err := simplelru.NewLRU[Fingerprint, *record](size, nil)
	if err != nil {
		panic(err)
	}
	return lru
}

// Check returns how a request may run now.
func (l *List) Check(now time.Time, f Fingerprint) Status {
	r := l.find(f)
	if r == nil {
		return Clear
	}
	count, last := l.count(now, r)
	switch {
	case count >= l.opts.CrashLimit && now.Sub(last) < l.opts.Duration:
		return Quarantined
	case count > 0:
		return Suspect
	}
	return Clear
}

// Refusal is the problem with which a quarantined request is answered. It says
// that this sending was not run, so a keyed request must be claimed first: an
// earlier sending under its key may have run.
func (l *List) Refusal(now time.Time, f Fingerprint) *problem.Error {
	e := problem.New(problem.Quarantined, model.RunNo, "request "+f.String()+" was in flight at the crash of "+strconv.Itoa(l.opts.CrashLimit)+" targets")
	if r := l.find(f); r != nil {
		_, last := l.count(now, r)
		e.After(max(l.opts.Duration-now.Sub(last), 0))
	}
	return e
}

func (l *List) find(f Fingerprint) *record {
	if r, ok := l.quarantined.Get(f); ok {
		return r
	}
	r, _ := l.suspects.Get(f)
	return r
}

// count returns the number of strikes that stand and the time of the last.
func (l *List) count(now time.Time, r *record) (int, time.Time) {
	count := 0
	var last time.Time
	for _, s := range r.strikes {
		if s.cleared || now.Sub(s.at) >= l.opts.Retention {
			continue
		}
		count++
		if s.at.After(last) {
			last = s.at
		}
	}
	return count, last
}

// strike records one strike of a crash. Of a crash that is known it keeps
// what is known. It reports whether anything changed.
func (l *List) strike(now time.Time, f Fingerprint, s strike) bool {
	r := l.find(f)
	if r == nil {
		r = &record{}
	}
	known := slices.IndexFunc(r.strikes, func(k strike) bool { return k.crash == s.crash })
	switch {
	case known < 0:
		r.strikes = append(r.strikes, s)
		r.trim()
	case s.cleared && !r.strikes[known].cleared:
		r.strikes[known].cleared = true
	default:
		return false
	}
	l.store(now, f, r)
	return true
}

// trim drops the oldest strikes over the limit.
func (r *record) trim() {
	if len(r.strikes) <= maxStrikes {
		return
	}
	slices.SortFunc(r.strikes, func(a, b strike) int { return a.at.Compare(b.at) })
	r.strikes = slices.Delete(r.strikes, 0, len(r.strikes)-maxStrikes)
}

// store files the record where its strikes belong, so that a crash with many
// suspects never evicts a quarantined request.
func (l *List) store(now time.Time, f Fingerprint, r *record) {
	if count, _ := l.count(now, r); count >= l.opts.CrashLimit {
		l.suspects.Remove(f)
		l.quarantined.Add(f, r)
		return
	}
	l.quarantined.Remove(f)
	l.suspects.Add(f, r)
}
