package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// Options configures a List. A zero field means the default.
type Options struct {
	// Duration is the time for which a quarantined request is refused after
	// its last crash. Default 1 hour.
	Duration time.Duration
	// Retention is the time for which a crash is remembered. Default 24 hours,
	// at least Duration.
	Retention time.Duration
	// CrashLimit is the number of crashes after which a request is
	// quarantined. Default 2.
	CrashLimit int
	// MaxSuspects limits the requests with fewer crashes than CrashLimit.
	// Default 4,096.
	MaxSuspects int
	// MaxQuarantined limits the requests with at least CrashLimit crashes.
	// Default 1,024.
	MaxQuarantined int
}

const (
	defaultDuration       = time.Hour
	defaultRetention      = 24 * time.Hour
	defaultMaxSuspects    = 4096
	defaultMaxQuarantined = 1024
	// defaultCrashLimit is the number of targets that one request may crash.
	defaultCrashLimit = 2
	// maxCrashes limits the crash records kept for one request.
	maxCrashes = 8
)

func (o Options) withDefaults() Options {
	if o.Duration <= 0 {
		o.Duration = defaultDuration
	}
	if o.Retention <= 0 {
		o.Retention = defaultRetention
	}
	o.Retention = max(o.Retention, o.Duration)
	if o.CrashLimit <= 0 {
		o.CrashLimit = defaultCrashLimit
	}
	if o.MaxSuspects <= 0 {
		o.MaxSuspects = defaultMaxSuspects
	}
	if o.MaxQuarantined <= 0 {
		o.MaxQuarantined = defaultMaxQuarantined
	}
	return o
}

// Status states how a request may run.
type Status uint8

// The statuses of a request.
const (
	// Clear requests run without restriction.
	Clear Status = iota
	// Suspect requests run isolated.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

// String returns the status in lower case.
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

// record is a crash record: it states that a request was in flight at a crash,
// and whether the request was cleared of it.
type record struct {
	crash   CrashID
	at      time.Time
	cleared bool
}

// requestRecord holds the crash records of one request.
type requestRecord struct {
	crashes []record
}

// List holds one node's records of the requests that were in flight at
// crashes. It is not safe for concurrent use.
type List struct {
	opts        Options
	suspects    *simplelru.LRU[Fingerprint, *requestRecord]
	quarantined *simplelru.LRU[Fingerprint, *requestRecord]
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

func newLRU(size int) *simplelru.LRU[Fingerprint, *requestRecord] {
	lru, err := simplelru.NewLRU[Fingerprint, *requestRecord](size, nil)
	if err != nil {
		panic(err)
	}
	return lru
}

// Check returns the status of a request.
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

// Refusal returns the problem to answer a quarantined request with. It states
// that the request did not run, so a request with a key must be claimed first:
// an earlier request under the key may have run.
func (l *List) Refusal(now time.Time, f Fingerprint) *problem.Error {
	e := problem.New(problem.Quarantined, model.RunNo, "request "+f.String()+" was in flight at the crash of "+strconv.Itoa(l.opts.CrashLimit)+" targets")
	if r := l.find(f); r != nil {
		_, last := l.count(now, r)
		e.After(max(l.opts.Duration-now.Sub(last), 0))
	}
	return e
}

func (l *List) find(f Fingerprint) *requestRecord {
	if r, ok := l.quarantined.Get(f); ok {
		return r
	}
	r, _ := l.suspects.Get(f)
	return r
}

// count returns the number of crashes that count against the request and the
// time of the last one.
func (l *List) count(now time.Time, r *requestRecord) (int, time.Time) {
	count := 0
	var last time.Time
	for _, s := range r.crashes {
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

// record adds a crash record to a request and reports whether anything
// changed. If the crash is already recorded, it can only become cleared.
func (l *List) record(now time.Time, f Fingerprint, s record) bool {
	r := l.find(f)
	if r == nil {
		r = &requestRecord{}
	}
	known := slices.IndexFunc(r.crashes, func(k record) bool { return k.crash == s.crash })
	switch {
	case known < 0:
		r.crashes = append(r.crashes, s)
		r.dropOldest()
	case s.cleared && !r.crashes[known].cleared:
		r.crashes[known].cleared = true
	default:
		return false
	}
	l.store(now, f, r)
	return true
}

// dropOldest drops the oldest crash records over the limit.
func (r *requestRecord) dropOldest() {
	if len(r.crashes) <= maxCrashes {
		return
	}
	slices.SortFunc(r.crashes, func(a, b record) int { return a.at.Compare(b.at) })
	r.crashes = slices.Delete(r.crashes, 0, len(r.crashes)-maxCrashes)
}

// store puts the record into the cache that its number of crashes calls for.
// The caches are separate so that a crash with many suspects never evicts a
// quarantined request.
func (l *List) store(now time.Time, f Fingerprint, r *requestRecord) {
	if count, _ := l.count(now, r); count >= l.opts.CrashLimit {
		l.suspects.Remove(f)
		l.quarantined.Add(f, r)
		return
	}
	l.quarantined.Remove(f)
	l.suspects.Add(f, r)
}
