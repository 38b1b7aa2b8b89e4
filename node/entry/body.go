package entry

import (
	"errors"
	"io"
	"net/http"

	"zinniafall/node/callbody"
	"zinniafall/node/peer"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

// maxInlineBody is the length in bytes up to which a body is sent in the same
// message as the request head.
const maxInlineBody = 64 << 10

// readBody reads the caller's body into the request if it is short enough to
// be inline; otherwise the returned body streams its rest. limit is the maximum length
// in bytes.
func readBody(r *http.Request, request *peer.Request, limit int64) (*callbody.Body, *problem.Error) {
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
		return callbody.New(head, nil), nil
	}
	request.Length = r.ContentLength
	return callbody.New(head, reader), nil
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
