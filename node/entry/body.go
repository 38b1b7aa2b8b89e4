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

// inlineBody is the length in bytes up to which a body travels with the head
// of its request. Only such a body can be sent a second time.
const inlineBody = 64 << 10

// body is the body of one call.
type body struct {
	// rest is nil when the body is inline.
	rest io.Reader
	// spent is set once rest was read from.
	spent bool
}

// takeBody reads the caller's body into the request as far as it is inline.
func takeBody(r *http.Request, request *peer.Request, limit int64) (*body, *problem.Error) {
	if r.ContentLength > limit {
		return nil, tooLarge()
	}
	reader := http.MaxBytesReader(nil, r.Body, limit)
	head, err := io.ReadAll(io.LimitReader(reader, inlineBody+1))
	if err != nil {
		return nil, unreadable(err)
	}
	if len(head) <= inlineBody {
		request.Body, request.Inline = head, true
		return &body{}, nil
	}
	request.Length = r.ContentLength
	return &body{rest: io.MultiReader(bytes.NewReader(head), reader)}, nil
}

func unreadable(err error) *problem.Error {
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return tooLarge()
	}
	return problem.New(problem.BadRequest, model.RunNo, "the body could not be read to its end")
}

func tooLarge() *problem.Error {
	return problem.New(problem.BodyTooLarge, model.RunNo, "the body is over the limit")
}

// take returns the part that is not inline, once.
func (b *body) take() io.Reader {
	b.spent = b.rest != nil
	return b.rest
}

// repeatable reports whether the body can be sent (again).
func (b *body) repeatable() bool { return !b.spent }
