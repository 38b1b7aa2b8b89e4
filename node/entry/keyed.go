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

	"zinniafall/node/callbody"
	"zinniafall/node/execute"
	"zinniafall/node/peer"
	"zinniafall/policy/callkey"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// issuer issues request keys and decides on the calls sent under them.
type issuer struct {
	mu   sync.Mutex
	keys *callkey.Issuer
}

func newIssuer(opts Options) *issuer {
	return &issuer{keys: callkey.NewIssuer(callkey.Options{Process: opts.Process, Node: opts.Self, Secrets: opts.KeySecrets})}
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

// recordOutcome records how the call under a claim ended.
func (i *issuer) recordOutcome(serial uint64, reply *execute.Reply, answer *callkey.Answer) {
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

// forwardKeyed forwards a keyed call to the process that issued its key.
func (e *Entry) forwardKeyed(ctx context.Context, request *peer.Request) *execute.Reply {
	if !request.Inline {
		return execute.ProblemReply(keyedBodyTooLarge())
	}
	key, refusal := callkey.Parse(request.Key, e.opts.KeySecrets)
	if refusal != nil {
		return execute.ProblemReply(refusal)
	}
	if key.Process == e.opts.Process {
		return e.ServeKeyed(ctx, request)
	}
	return e.forwardToIssuer(ctx, request, key)
}

// keyedBodyTooLarge returns the problem for a keyed request with a body that
// is too long. The outcome is unknown, because the same operation may have
// been sent in a shorter encoding before.
func keyedBodyTooLarge() *problem.Error {
	return problem.New(problem.BodyTooLarge, model.RunUnknown, "a request under a key has at most 65536 bytes of body")
}

// ServeKeyed serves a call whose key this process may have issued. While
// another call runs under the key, it waits until that ends or ctx does.
func (e *Entry) ServeKeyed(ctx context.Context, request *peer.Request) *execute.Reply {
	claimRequest := callkey.Request{Key: request.Key, Account: request.Account, Fingerprint: keyFingerprint(request)}
	for {
		claim := e.issuer.claim(time.Now(), claimRequest)
		switch claim.Verdict {
		case callkey.Start:
			return e.runClaimed(ctx, request, claim.Serial)
		case callkey.Replay:
			return replayAnswer(claim.Answer)
		case callkey.Wait:
			select {
			case <-claim.Done:
			case <-ctx.Done():
				return execute.ProblemReply(problem.New(problem.DeadlineExceeded, model.RunUnknown, "the request still runs under its key"))
			}
		default:
			return execute.ProblemReply(claim.Refusal)
		}
	}
}

// runClaimed runs the call under its claim. The call continues when its
// caller leaves, so that a resend finds the answer. It returns once the whole
// answer has been read.
func (e *Entry) runClaimed(ctx context.Context, request *peer.Request, serial uint64) *execute.Reply {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), request.Timeout+answerGrace)
	defer cancel()
	unkeyed := *request
	unkeyed.Kind, unkeyed.Key = peer.KindCall, ""
	reply := e.place(ctx, &unkeyed, callbody.New(nil, nil), 0)
	answer, buffered := bufferAnswer(reply)
	e.issuer.recordOutcome(serial, buffered, answer)
	return buffered
}

// bufferAnswer reads the whole answer, so that it can be both stored and
// returned. The returned answer is nil if the reply has no body, or if the body
// was cut off or is longer than maxKeyedAnswer.
func bufferAnswer(reply *execute.Reply) (*callkey.Answer, *execute.Reply) {
	if reply.Body == nil {
		return nil, reply
	}
	defer reply.Close()
	whole, err := io.ReadAll(io.LimitReader(reply.Body, maxKeyedAnswer+1))
	if err != nil || len(whole) > maxKeyedAnswer {
		return nil, execute.ProblemReply(problem.New(problem.AnswerCutOff, model.RunYes, "the answer was cut off or is too long to keep"))
	}
	header := make(http.Header)
	peer.AddFields(header, reply.Answer.Header)
	answer := &callkey.Answer{Status: reply.Answer.Status, Header: header, Body: whole}
	return answer, &execute.Reply{Answer: reply.Answer, Body: io.NopCloser(bytes.NewReader(whole))}
}

// maxKeyedAnswer is the maximum length in bytes of the answer of a keyed
// call.
const maxKeyedAnswer = 4 << 20

// replayAnswer returns a stored answer as a reply.
func replayAnswer(answer *callkey.Answer) *execute.Reply {
	return &execute.Reply{
		Answer: &peer.Answer{
			Run: model.RunYes, Status: answer.Status,
			Header: peer.FieldsOf(answer.Header), Length: int64(len(answer.Body)),
		},
		Body: io.NopCloser(bytes.NewReader(answer.Body)),
	}
}

// keyFingerprint returns a hash that tells apart different requests sent
// under one key.
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
