package callkey

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// run is one run of a call under a key, as a target sees it.
type run struct {
	issuer   *Issuer
	serial   uint64
	key      string
	executed bool
	lost     bool
	ended    bool
}

// fleet simulates issuers under faults and records the runs under each key.
type fleet struct {
	t         *rapid.T
	now       time.Time
	secrets   []Secret
	processes byte
	issuers   map[model.ProcessID]*Issuer
	archive   *Archive
	keys      []string
	runs      []*run
}

func newFleet(t *rapid.T, s Secret) *fleet {
	f := &fleet{t: t, now: start, secrets: []Secret{s}, issuers: make(map[model.ProcessID]*Issuer)}
	f.archive = NewArchive(f.secrets, 0)
	f.startProcess()
	return f
}

// startProcess starts an issuer in a new process. All processes have the same
// address.
func (f *fleet) startProcess() {
	f.processes++
	process := model.ProcessID{f.processes}
	f.issuers[process] = NewIssuer(Options{Process: process, Node: "10.0.0.7:7001", Secrets: f.secrets, TTL: time.Minute, MaxClaims: 8, MaxTotalBytes: 1500})
}

func (f *fleet) anyIssuer() *Issuer {
	var ids []model.ProcessID
	for n := byte(1); n <= f.processes; n++ {
		if f.issuers[model.ProcessID{n}] != nil {
			ids = append(ids, model.ProcessID{n})
		}
	}
	if len(ids) == 0 {
		f.t.Skip("no issuer")
	}
	return f.issuers[rapid.SampledFrom(ids).Draw(f.t, "issuer")]
}

// drawRun draws one of the runs that the filter accepts.
func (f *fleet) drawRun(accept func(*run) bool) *run {
	var candidates []*run
	for _, r := range f.runs {
		if accept(r) {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		f.t.Skip("no such run")
	}
	return rapid.SampledFrom(candidates).Draw(f.t, "run")
}

// counts returns the number of executed runs of the key and the number of open
// runs, which may still be executed.
func (f *fleet) counts(key string) (executed, open int) {
	for _, r := range f.runs {
		switch {
		case r.key != key:
		case r.executed:
			executed++
		case !r.ended:
			open++
		}
	}
	return executed, open
}

func (f *fleet) issue() {
	keys, refusal := f.anyIssuer().Issue(f.now, "town", 1)
	if refusal == nil {
		f.keys = append(f.keys, keys...)
	}
}

// send sends a call to its issuer, or to the archive, and checks the decision
// against what ran.
func (f *fleet) send() {
	if len(f.keys) == 0 {
		f.t.Skip("no key")
	}
	key := rapid.SampledFrom(f.keys).Draw(f.t, "key")
	r := Request{Key: key, Account: "town", Fingerprint: [32]byte{byte(rapid.SampledFrom([]int{7, 7, 7, 8}).Draw(f.t, "body"))}}
	issuer := f.issuers[mustParse(f.t, key, f.secrets).Process]
	executed, open := f.counts(key)
	if issuer == nil || rapid.IntRange(0, 3).Draw(f.t, "archive") == 0 {
		f.checkClaim(f.archive.Claim(f.now, r), executed, open)
		return
	}
	c := issuer.Claim(f.now, r)
	f.checkClaim(c, executed, open)
	if c.Verdict != Start {
		return
	}
	if executed+open > 0 {
		f.t.Fatalf("started again: %d executed, %d open", executed, open)
	}
	f.runs = append(f.runs, &run{issuer: issuer, serial: c.Serial, key: key})
}

// checkClaim checks that a decision does not contradict the number of runs.
func (f *fleet) checkClaim(c Claim, executed, open int) {
	switch {
	case c.Verdict == Replay && executed != 1:
		f.t.Fatalf("replayed an answer after %d runs", executed)
	case c.Verdict == Refuse && c.Refusal.Run == model.RunNo && executed+open > 0:
		f.t.Fatalf("reported as not run: %d executed, %d open", executed, open)
	case c.Verdict == Refuse && c.Refusal.Run == model.RunYes && executed != 1:
		f.t.Fatalf("reported as run: %d executed", executed)
	}
}

func mustParse(t *rapid.T, key string, secrets []Secret) ParsedKey {
	p, refusal := Parse(key, secrets)
	if refusal != nil {
		t.Fatalf("parse: %v", refusal)
	}
	return p
}

func inFlight(r *run) bool { return !r.ended && !r.lost }

func (f *fleet) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"issue":      func(*rapid.T) { f.issue() },
		"send":       func(*rapid.T) { f.send() },
		"send again": func(*rapid.T) { f.send() },
		"execute": func(*rapid.T) {
			f.drawRun(func(r *run) bool { return !r.ended && !r.executed }).executed = true
		},
		"complete, also late": func(t *rapid.T) {
			r := f.drawRun(func(r *run) bool { return r.executed && !r.ended })
			r.ended = true
			r.issuer.Complete(f.now, r.serial, rapid.SampledFrom([]*Answer{nil, testAnswer("paid")}).Draw(t, "answer"))
		},
		"release": func(*rapid.T) {
			r := f.drawRun(func(r *run) bool { return inFlight(r) && !r.executed })
			r.ended = true
			r.issuer.Release(f.now, r.serial)
		},
		"lose": func(*rapid.T) {
			r := f.drawRun(inFlight)
			r.lost = true
			r.issuer.MarkUnknown(f.now, r.serial, problem.New(problem.TargetFailed, model.RunUnknown, "reset"))
		},
		"end twice": func(t *rapid.T) {
			r := f.drawRun(func(r *run) bool { return r.ended })
			if rapid.Bool().Draw(t, "release") {
				r.issuer.Release(f.now, r.serial)
				return
			}
			r.issuer.MarkUnknown(f.now, r.serial, problem.New(problem.TargetFailed, model.RunUnknown, "reset"))
		},
		"time passes": func(t *rapid.T) {
			f.now = f.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
		},
		"expire":  func(*rapid.T) { f.anyIssuer().Expire(f.now) },
		"restart": func(*rapid.T) { delete(f.issuers, f.anyIssuer().opts.Process); f.startProcess() },
		"planned stop": func(t *rapid.T) {
			raw, err := f.anyIssuer().Seal(f.now).Encode()
			h, decodeErr := DecodeHandover(raw)
			if err != nil || decodeErr != nil {
				t.Fatalf("handover: %v, %v", err, decodeErr)
			}
			f.archive.AddHandover(f.now, h)
			f.startProcess()
		},
	}
}

func TestAtMostOnceUnderFaults(t *testing.T) {
	s := secret(t, "a fleet secret of today")
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newFleet(t, s).actions()) })
}
