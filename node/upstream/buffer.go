package upstream

import (
	"io"
	"slices"
	"sync/atomic"
)

const (
	// MaxSmallBody is the length in bytes up to which a response body that is read
	// whole is returned as Response.Body.
	MaxSmallBody = 128 << 10
	// maxUnreservedBody is the length in bytes up to which a response body is read
	// without taking memory from the Buffers.
	maxUnreservedBody = 16 << 10
	// maxBufferedBody is the length in bytes up to which a body is read whole if
	// the memory for buffers allows it. Longer bodies are streamed.
	maxBufferedBody = 1 << 20
)

// Buffers is the memory for response bodies longer than maxUnreservedBody. A body that
// is read whole frees the target at once, and a broken one is noticed while the
// request can still be sent elsewhere; once the memory is used up, further bodies
// are streamed at the pace of their readers. It may be shared by several pools.
type Buffers struct{ free atomic.Int64 }

// NewBuffers returns the memory for up to size bytes.
func NewBuffers(size int64) *Buffers {
	b := new(Buffers)
	b.free.Store(size)
	return b
}

// Reserve reserves n bytes and reports whether they were free.
func (b *Buffers) Reserve(n int64) bool {
	if b.free.Add(-n) >= 0 {
		return true
	}
	b.free.Add(n)
	return false
}

// Release frees n reserved bytes.
func (b *Buffers) Release(n int64) { b.free.Add(n) }

// readSmall reads a body of up to maxUnreservedBody bytes. If the body is longer, whole
// is false and head holds what was read of it. length is the stated length, or -1.
func readSmall(body io.Reader, length int64) (head []byte, whole bool, err error) {
	switch {
	case length > maxUnreservedBody:
		return nil, false, nil
	case length >= 0:
		head = make([]byte, length)
		n, _, err := fill(body, head)
		if err == nil && n < len(head) {
			err = io.ErrUnexpectedEOF
		}
		return head, true, err
	}
	head, err = io.ReadAll(io.LimitReader(body, maxUnreservedBody+1))
	return head, len(head) <= maxUnreservedBody, err
}

// readLarge reads on after head while the memory lasts and the body stays within
// maxBufferedBody. It returns what it has read, and whether that is the whole body.
// length is the stated length, or -1.
func (b *Buffers) readLarge(head []byte, body io.Reader, length int64) (read *chunks, whole bool, err error) {
	read = &chunks{buffers: b, parts: [][]byte{head}}
	if length > maxBufferedBody {
		return read, false, nil
	}
	for total := int64(len(head)); total < maxBufferedBody; {
		size := int64(MaxSmallBody)
		if length >= 0 {
			size = min(size, length-total)
		}
		if !b.Reserve(size) {
			return read, false, nil
		}
		part := make([]byte, size)
		n, ended, err := fill(body, part)
		read.parts, read.reserved = append(read.parts, part[:n]), append(read.reserved, size)
		total += int64(n)
		if err == nil && ended && total < length {
			err = io.ErrUnexpectedEOF
		}
		switch {
		case err != nil:
			read.close()
			return nil, false, err
		case ended || total == length:
			return read, true, nil
		}
	}
	return read, false, nil
}

// fill reads until p is full or the body ends.
func fill(body io.Reader, p []byte) (n int, ended bool, err error) {
	for n < len(p) {
		m, err := body.Read(p[n:])
		n += m
		switch err {
		case nil:
		case io.EOF:
			return n, true, nil
		default:
			return n, false, err
		}
	}
	return n, false, nil
}

// chunks is the part of a body that is held in memory. Reading frees it.
type chunks struct {
	buffers *Buffers
	// parts begins with the head, which is not reserved; reserved holds the
	// reserved bytes of each further part.
	parts    [][]byte
	reserved []int64
	headDone bool
}

func (c *chunks) Read(p []byte) (int, error) {
	for len(c.parts) > 0 && len(c.parts[0]) == 0 {
		c.drop()
	}
	if len(c.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.parts[0])
	c.parts[0] = c.parts[0][n:]
	return n, nil
}

// drop frees the first part.
func (c *chunks) drop() {
	c.parts[0] = nil // the slice that follows keeps the array, and with it the part
	c.parts = c.parts[1:]
	if !c.headDone {
		c.headDone = true
		return
	}
	c.buffers.Release(c.reserved[0])
	c.reserved = c.reserved[1:]
}

// size returns the number of unread bytes.
func (c *chunks) size() int {
	n := 0
	for _, part := range c.parts {
		n += len(part)
	}
	return n
}

// join returns the unread bytes in one slice, and frees all parts.
func (c *chunks) join() []byte {
	whole := slices.Concat(c.parts...)
	c.close()
	return whole
}

// close frees all parts.
func (c *chunks) close() {
	for len(c.parts) > 0 {
		c.drop()
	}
}
