package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"zinniafall/node/peer"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// maxInlineBody is the length in bytes up to which a body is sent in the same
// message as the request head. Only such a body can be sent more than once.
const maxInlineBody = 64 << 10

// body is the request body of one call.
type body struct {
	// rest is nil when the body is inline.
	rest io.Reader
	// consumed is set once rest has been read from.
	consumed bool
}

// readBody reads the caller's body into the request if it is short enough to
// be inline; otherwise the returned body streams it.
func readBody(r *http.Request, request *peer.Request, limit int64) (*body, *problem.Error) {
	if r.ContentLength > limit {
		return nil, bodyTooLarge()
	}
	reader := http.MaxBytesReader(nil, r.Body, limit)
	head, err := io.ReadAll(io.LimitReader(reader, maxInlineBody+1))
	if err != nil {
		return nil, bodyReadProblem(err)
	}
	if len(head) <= maxInlineBody {
		request.Body, request.Inline = head, true
		return &body{}, nil
	}
	request.Length = r.ContentLength
	return &body{rest: io.MultiReader(bytes.NewReader(head), reader)}, nil
}

// bodyReadProblem returns the problem for a body that could not be read.
func bodyReadProblem(err error) *problem.Error {
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return bodyTooLarge()
	}
	return problem.New(problem.BadRequest, model.RunNo, "the body could not be read to its end")
}

func bodyTooLarge() *problem.Error {
	return problem.New(problem.BodyTooLarge, model.RunNo, "the body is over the limit")
}

// takeRest returns the reader of a body that is not inline, and marks it as
// consumed.
func (b *body) takeRest() io.Reader {
	b.consumed = b.rest != nil
	return b.rest
}

// canResend reports whether the body can be sent in another attempt.
func (b *body) canResend() bool { return !b.consumed }
