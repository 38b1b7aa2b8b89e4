package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net/http"
	"sync"
	"time"

	"zinniafall/node/execute"
	"zinniafall/node/peer"
	"zinniafall/policy/callkey"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// issuer is the part of an entry that hands out request keys and decides on
// the calls sent under them.
type issuer struct {
	mu   sync.Mutex
	keys *callkey.Issuer
}

func newIssuer(opts Options) *issuer {
	return &issuer{keys: callkey.NewIssuer(callkey.Options{Process: opts.Process, Node: opts.Self, Secrets: opts.Keys})}
}

func (i *issuer) issue(now time.Time, account model.Account, n int) ([]string, *problem.Error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.keys.Issue(now, account, n)
}

func (i *issuer) claim(now time.Time, r callkey.Request) callkey.Claim {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.keys.Claim(now, r)
}

func (i *issuer) expire(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.keys.Expire(now)
}

func (i *issuer) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.keys.Close()
}

// settle records how the call under a claim ended.
func (i *issuer) settle(serial uint64, reply *execute.Reply, answer *callkey.Answer) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	failure := reply.Answer.Problem
	switch {
	case failure == nil, failure.Run == model.RunYes:
		i.keys.Complete(now, serial, answer)
	case failure.Run == model.RunNo:
		i.keys.Release(now, serial)
	default:
		i.keys.MarkUnknown(now, serial, failure)
	}
}

// keyed carries a keyed call to the process that issued its key.
func (e *Entry) keyed(ctx context.Context, request *peer.Request) *execute.Reply {
	if !request.Inline {
		return execute.Refuse(longKeyedBody())
	}
	key, refusal := callkey.Parse(request.Key, e.opts.Keys)
	if refusal != nil {
		return execute.Refuse(refusal)
	}
	if key.Process == e.opts.Process {
		return e.ServeKeyed(ctx, request)
	}
	return e.carry(ctx, request, key)
}

// longKeyedBody is unknown, since the same payment may have been sent in a
// shorter encoding before.
func longKeyedBody() *problem.Error {
	return problem.New(problem.BodyTooLarge, model.RunUnknown, "a request under a key has at most 65536 bytes of body")
}

// ServeKeyed decides on a call whose key this process may have issued.
func (e *Entry) ServeKeyed(ctx context.Context, request *peer.Request) *execute.Reply {
	claimed := callkey.Request{Key: request.Key, Account: request.Account, Fingerprint: keyFingerprint(request)}
	for {
		claim := e.issuer.claim(time.Now(), claimed)
		switch claim.Verdict {
		case callkey.Start:
			return e.runClaimed(ctx, request, claim.Serial)
		case callkey.Replay:
			return replay(claim.Answer)
		case callkey.Wait:
			select {
			case <-claim.Done:
			case <-ctx.Done():
				return execute.Refuse(problem.New(problem.DeadlineExceeded, model.RunUnknown, "the request still runs under its key"))
			}
		default:
			return execute.Refuse(claim.Refusal)
		}
	}
}

// runClaimed runs the call under its claim. The call goes on when its caller
// leaves, so that a resend finds the answer.
func (e *Entry) runClaimed(ctx context.Context, request *peer.Request, serial uint64) *execute.Reply {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), request.Timeout+answerGrace)
	defer cancel()
	plain := *request
	plain.Kind, plain.Key = peer.KindCall, ""
	reply := e.place(ctx, &plain, &body{}, 0)
	answer, kept := keep(reply)
	e.issuer.settle(serial, kept, answer)
	return kept
}

// keep reads the whole answer, so that it can be stored and passed on.
func keep(reply *execute.Reply) (*callkey.Answer, *execute.Reply) {
	if reply.Body == nil {
		return nil, reply
	}
	defer reply.Close()
	whole, err := io.ReadAll(io.LimitReader(reply.Body, maxKeyedAnswer+1))
	if err != nil || len(whole) > maxKeyedAnswer {
		return nil, execute.Refuse(problem.New(problem.AnswerCutOff, model.RunYes, "the answer was cut off or is too long to keep"))
	}
	header := make(http.Header)
	peer.AddFields(header, reply.Answer.Header)
	answer := &callkey.Answer{Status: reply.Answer.Status, Header: header, Body: whole}
	return answer, &execute.Reply{Answer: reply.Answer, Body: io.NopCloser(bytes.NewReader(whole))}
}

// maxKeyedAnswer bounds the answer of a keyed call, in bytes.
const maxKeyedAnswer = 4 << 20

// replay passes a stored answer on.
func replay(answer *callkey.Answer) *execute.Reply {
	return &execute.Reply{
		Answer: &peer.Answer{
			Run: model.RunYes, Status: answer.Status,
			Header: peer.FieldsOf(answer.Header), Length: int64(len(answer.Body)),
		},
		Body: io.NopCloser(bytes.NewReader(answer.Body)),
	}
}

// keyFingerprint tells apart the requests that are sent under one key.
func keyFingerprint(request *peer.Request) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{string(request.Service), request.Method, request.URI, string(request.Body)} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = io.WriteString(h, part)
	}
	return [sha256.Size]byte(h.Sum(nil))
}
