package callkey

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

var start = time.Date(2030, 5, 1, 8, 0, 0, 0, time.UTC)

func secret(t testing.TB, fleet string) Secret {
	s, err := NewSecret([]byte(fleet))
	qt.Assert(t, err, qt.IsNil)
	return s
}

func testOptions(t testing.TB) Options {
	return Options{
		Process: model.ProcessID{1},
		Node:    "10.0.0.7:7001",
		Secrets: []Secret{secret(t, "a fleet secret of today")},
		TTL:     time.Minute,
	}
}

// issueOne returns a new key for the account "town".
func issueOne(t testing.TB, i *Issuer, now time.Time) string {
	keys, err := i.Issue(now, "town", 1)
	qt.Assert(t, err == nil, qt.IsTrue)
	return keys[0]
}

func testRequest(key string) Request {
	return Request{Key: key, Account: "town", Fingerprint: [32]byte{7}}
}

func testAnswer(body string) *Answer {
	return &Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte(body)}
}

// outcome holds the comparable parts of a Claim for test tables.
type outcome struct {
	verdict Verdict
	kind    problem.Kind
	run     model.Run
}

func outcomeOf(c Claim) outcome {
	o := outcome{verdict: c.Verdict}
	if c.Refusal != nil {
		o.kind, o.run = c.Refusal.Kind, c.Refusal.Run
	}
	return o
}

func refused(kind problem.Kind, run model.Run) outcome { return outcome{Refuse, kind, run} }

func TestClaimOfResend(t *testing.T) {
	targetFailed := problem.New(problem.TargetFailed, model.RunYes, "connection reset")
	tests := []struct {
		name  string
		end   func(i *Issuer, serial uint64)
		after time.Duration
		with  func(r *Request)
		want  outcome
	}{
		{name: "still running", want: outcome{verdict: Wait}},
		{name: "answered", end: func(i *Issuer, s uint64) { i.Complete(start, s, testAnswer("paid")) }, want: outcome{verdict: Replay}},
		{name: "no answer to retain", end: func(i *Issuer, s uint64) { i.Complete(start, s, nil) }, want: refused(problem.AnswerNotRetained, model.RunYes)},
		{name: "answer too large", end: func(i *Issuer, s uint64) { i.Complete(start, s, &Answer{Body: make([]byte, 1<<20)}) }, want: refused(problem.AnswerNotRetained, model.RunYes)},
		{name: "outcome unknown", end: func(i *Issuer, s uint64) { i.MarkUnknown(start, s, targetFailed) }, want: refused(problem.TargetFailed, model.RunUnknown)},
		{name: "outcome unknown, then released", end: func(i *Issuer, s uint64) { i.MarkUnknown(start, s, targetFailed); i.Release(start, s) }, want: refused(problem.TargetFailed, model.RunUnknown)},
		{name: "outcome unknown, then answered", end: func(i *Issuer, s uint64) {
			i.MarkUnknown(start, s, targetFailed)
			i.Complete(start, s, testAnswer("paid"))
		}, want: outcome{verdict: Replay}},
		{name: "answered, then marked unknown and released", end: func(i *Issuer, s uint64) {
			i.Complete(start, s, testAnswer("paid"))
			i.MarkUnknown(start, s, targetFailed)
			i.Release(start, s)
		}, want: outcome{verdict: Replay}},
		{name: "released", end: func(i *Issuer, s uint64) { i.Release(start, s) }, want: outcome{verdict: Start}},
		{name: "released, issuer closed", end: func(i *Issuer, s uint64) { i.Release(start, s); i.Close() }, want: refused(problem.Draining, model.RunNo)},
		{name: "answered, issuer closed", end: func(i *Issuer, s uint64) { i.Complete(start, s, testAnswer("paid")); i.Close() }, want: outcome{verdict: Replay}},
		{name: "at the end of its time to live", after: time.Minute, want: refused(problem.KeyExpired, model.RunUnknown)},
		{name: "expired and dropped, clock set back", end: func(i *Issuer, _ uint64) { i.Expire(start.Add(time.Hour)) }, want: refused(problem.KeyExpired, model.RunUnknown)},
		{name: "other fingerprint", with: func(r *Request) { r.Fingerprint = [32]byte{8} }, want: refused(problem.KeyMismatch, model.RunUnknown)},
		{name: "other account", with: func(r *Request) { r.Account = "rival" }, want: refused(problem.KeyMismatch, model.RunNo)},
		{name: "not a key", with: func(r *Request) { r.Key = "my-key" }, want: refused(problem.KeyInvalid, model.RunNo)},
		{name: "truncated key", with: func(r *Request) { r.Key = r.Key[:len(r.Key)-4] }, want: refused(problem.KeyInvalid, model.RunNo)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			i := NewIssuer(testOptions(t))
			r := testRequest(issueOne(t, i, start))
			first := i.Claim(start, r)
			qt.Assert(t, first.Verdict, qt.Equals, Start)
			waiting := i.Claim(start, r).Done
			if tt.end != nil {
				tt.end(i, first.Serial)
				select {
				case <-waiting:
				default:
					t.Fatal("the waiting request was not woken")
				}
			}
			if tt.with != nil {
				tt.with(&r)
			}
			second := i.Claim(start.Add(tt.after), r)
			qt.Assert(t, outcomeOf(second), qt.Equals, tt.want)
			if second.Verdict == Replay {
				qt.Assert(t, string(second.Answer.Body), qt.Equals, "paid")
			}
		})
	}
}

func TestKeyOfAnotherProcess(t *testing.T) {
	i := NewIssuer(testOptions(t))
	r := testRequest(issueOne(t, i, start))
	opts := testOptions(t)
	opts.Process = model.ProcessID{2}
	replacement := NewIssuer(opts)
	issueOne(t, replacement, start)
	qt.Assert(t, outcomeOf(replacement.Claim(start, r)), qt.Equals, refused(problem.KeyIssuerGone, model.RunUnknown))
	qt.Assert(t, outcomeOf(NewIssuer(testOptions(t)).Claim(start, r)), qt.Equals, refused(problem.KeyInvalid, model.RunNo))
}

func TestSecretRotation(t *testing.T) {
	old, next := secret(t, "a fleet secret of today"), secret(t, "the next fleet secret")
	key := issueOne(t, NewIssuer(testOptions(t)), start)
	for _, accepted := range [][]Secret{{old}, {next, old}} {
		p, refusal := Parse(key, accepted)
		qt.Assert(t, refusal == nil, qt.IsTrue)
		qt.Assert(t, p, qt.Equals, ParsedKey{Node: "10.0.0.7:7001", Process: model.ProcessID{1}, Serial: 1, Account: "town"})
	}
	_, refusal := Parse(key, []Secret{next})
	qt.Assert(t, refusal.Kind, qt.Equals, problem.KeyInvalid)
	qt.Assert(t, refusal.Run, qt.Equals, model.RunUnknown)
	_, err := NewSecret([]byte("short"))
	qt.Assert(t, err, qt.Equals, ErrShortSecret)
}

// A delayed Release or Complete of an earlier run must not end a newer run
// under the same key.
func TestStaleEndAfterRelease(t *testing.T) {
	i := NewIssuer(testOptions(t))
	r := testRequest(issueOne(t, i, start))
	first := i.Claim(start, r)
	i.Release(start, first.Serial)
	second := i.Claim(start, r)
	qt.Assert(t, second.Verdict, qt.Equals, Start)
	i.Release(start, first.Serial)
	i.Complete(start, first.Serial, testAnswer("stale"))
	qt.Assert(t, i.Claim(start, r).Verdict, qt.Equals, Wait)
	qt.Assert(t, i.starts, qt.HasLen, 1)
	qt.Assert(t, i.answers.total, qt.Equals, 0)
}

// Whatever the time of Expire, a key that was used cannot start another call.
func TestExpiredKeyCannotBeReused(t *testing.T) {
	const tick = 500 * time.Millisecond
	for issued := time.Duration(0); issued < 8*time.Second; issued += tick {
		i := NewIssuer(testOptions(t))
		issueOne(t, i, start)
		r := testRequest(issueOne(t, i, start.Add(issued)))
		i.Complete(start, i.Claim(start.Add(issued), r).Serial, testAnswer("paid"))
		for age := time.Duration(0); age < 80*time.Second; age += tick {
			now := start.Add(issued + age)
			i.Expire(now)
			want := outcome{verdict: Replay}
			if age >= time.Minute {
				want = refused(problem.KeyExpired, model.RunUnknown)
			}
			qt.Assert(t, outcomeOf(i.Claim(now, r)), qt.Equals, want, qt.Commentf("age %v", age))
		}
		qt.Assert(t, i.claims.count, qt.Equals, 0)
	}
}

// An account may hold at most as many claims as are free, so one account never
// takes all of them.
func TestAccountCannotFillTheTable(t *testing.T) {
	opts := testOptions(t)
	opts.MaxClaims = 100
	i := NewIssuer(opts)
	started := func(now time.Time, account model.Account) int {
		n := 0
		for {
			keys, err := i.Issue(now, account, 1)
			if err != nil {
				qt.Assert(t, err.Kind, qt.Equals, problem.KeyTableFull)
				return n
			}
			c := i.Claim(now, Request{Key: keys[0], Account: account})
			qt.Assert(t, c.Verdict, qt.Equals, Start)
			n++
		}
	}
	qt.Assert(t, started(start, "heavy"), qt.Equals, 50)
	qt.Assert(t, started(start, "light"), qt.Equals, 25)
	qt.Assert(t, started(start, "heavy"), qt.Equals, 0)
	later := start.Add(time.Hour)
	i.Expire(later)
	qt.Assert(t, started(later, "light"), qt.Equals, 50)
}

// A full answer store evicts the oldest answers of the account with the most
// bytes and keeps those of other accounts.
func TestAnswersAreEvictedFromTheLargestAccount(t *testing.T) {
	opts := testOptions(t)
	opts.MaxTotalBytes = 10 * (1000 + answerOverhead)
	i := NewIssuer(opts)
	ran := func(account model.Account) Request {
		keys, err := i.Issue(start, account, 1)
		qt.Assert(t, err == nil, qt.IsTrue)
		r := Request{Key: keys[0], Account: account}
		i.Complete(start, i.Claim(start, r).Serial, &Answer{Body: bytes.Repeat([]byte{'x'}, 1000)})
		return r
	}
	light := ran("light")
	var heavy []Request
	for range 30 {
		heavy = append(heavy, ran("heavy"))
	}
	qt.Assert(t, i.answers.total <= opts.MaxTotalBytes, qt.IsTrue)
	qt.Assert(t, i.Claim(start, light).Verdict, qt.Equals, Replay)
	qt.Assert(t, outcomeOf(i.Claim(start, heavy[20])), qt.Equals, refused(problem.AnswerNotRetained, model.RunYes))
	qt.Assert(t, i.Claim(start, heavy[21]).Verdict, qt.Equals, Replay)
}

func TestIssueLimits(t *testing.T) {
	i := NewIssuer(testOptions(t))
	for _, n := range []int{-1, 0, maxBatch + 1} {
		_, refusal := i.Issue(start, "town", n)
		qt.Assert(t, refusal.Kind, qt.Equals, problem.BadRequest)
	}
	i.Close()
	_, refusal := i.Issue(start, "town", 1)
	qt.Assert(t, refusal.Kind, qt.Equals, problem.Draining)
}
