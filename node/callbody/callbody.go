// Package callbody holds the body of a call at its entry. The head of a body is in memory and
// can be sent in any number of attempts. What follows is streamed from the caller and can be
// read once: a body of which that has been read is never opened again, and a reader that
// another attempt has replaced fails. Neither ends in io.EOF, so that the part that is left is
// not taken for a whole body.
package callbody

import (
	"bytes"
	"errors"
	"io"
	"sync"
)

// ErrConsumed reports an attempt with a body of which a part cannot be read again.
var ErrConsumed = errors.New("the body was streamed to an earlier attempt and cannot be sent again")

// ErrReplaced reports a read for an attempt that another one has replaced.
var ErrReplaced = errors.New("the body is read by a later attempt")

// Body is the body of one call. It is safe for concurrent use.
type Body struct {
	head []byte
	rest io.Reader

	mu       sync.Mutex
	current  *reader // the only one that may read rest
	consumed bool    // rest has been read from
}

// New returns a body that consists of head and, if it is not nil, rest.
func New(head []byte, rest io.Reader) *Body { return &Body{head: head, rest: rest} }

// Head returns the part of the body that is in memory.
func (b *Body) Head() []byte { return b.head }

// Streamed reports whether a part of the body is not in memory.
func (b *Body) Streamed() bool { return b.rest != nil }

// Resendable reports whether another attempt can send the whole body.
func (b *Body) Resendable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.consumed
}

// Open returns a reader of the whole body for the next attempt, or ErrConsumed. It replaces
// the reader of an earlier attempt.
func (b *Body) Open() (io.Reader, error) {
	r := &reader{body: b, head: bytes.NewReader(b.head)}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.consumed {
		return nil, ErrConsumed
	}
	b.current = r
	return r, nil
}

// reader reads a body for one attempt.
type reader struct {
	body *Body
	head *bytes.Reader
}

func (r *reader) Read(p []byte) (int, error) {
	if r.head.Len() > 0 {
		return r.head.Read(p)
	}
	if r.body.rest == nil {
		return 0, io.EOF
	}
	if len(p) == 0 {
		return 0, nil
	}
	if err := r.body.consume(r); err != nil {
		return 0, err
	}
	return r.body.rest.Read(p)
}

// consume marks the rest of the body as read by r.
func (b *Body) consume(r *reader) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.current != r {
		return ErrReplaced
	}
	b.consumed = true
	return nil
}
