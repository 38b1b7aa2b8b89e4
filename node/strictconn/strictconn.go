// Package strictconn passes the responses of a server on only as far as they are responses by
// the grammar of HTTP/1.1 (RFC 9112) and the status codes and field names of RFC 9110. The
// parser of net/http is lenient: it takes a status of 000, or a field whose name holds a
// control character, and ignores the length that such a field may have stated.
//
// A Conn checks what it reads line by line, and hands it to the parser, without the chunk
// extensions and trailers, which concern only this connection. At the first byte that does
// not follow the grammar, and for bytes that follow no request, its reads fail: the parser
// never sees the end of such a response.
//
// Where RFC 9112 lets a recipient be lenient, a Conn is so only if neither the framing nor the
// content can differ for another recipient: docs/targets.md lists what is tolerated.
package strictconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"zinniafall/node/sockets"
)

// Limits bounds the heads of responses, the trailers of chunked bodies and the size lines of
// chunks.
type Limits struct {
	// Bytes is the greatest length in bytes, line ends included.
	Bytes int
	// Lines is the greatest number of lines.
	Lines int
}

// ErrTooLong reports a head, a trailer or a chunk size that does not end within the limits.
var ErrTooLong = errors.New("the header or the trailer of the response exceeds the limits")

// ErrUnasked reports bytes that arrived while no response was expected.
var ErrUnasked = errors.New("the server sent bytes that follow no request")

// ErrReset reports a response without a length whose connection was reset.
var ErrReset = errors.New("the connection was reset before the end of the response")

// Reason says which part of the grammar a response breaks.
type Reason string

// The reasons.
const (
	StatusLine       Reason = "status_line"
	StatusCode       Reason = "status_code"
	Upgrade          Reason = "upgrade"
	LineEnd          Reason = "line_end"
	FieldName        Reason = "field_name"
	FieldValue       Reason = "field_value"
	FoldedLine       Reason = "folded_line"
	ContentLength    Reason = "content_length"
	TransferEncoding Reason = "transfer_encoding"
	UnexpectedBody   Reason = "unexpected_body"
	Chunk            Reason = "chunk"
)

// descriptions complete "the server's response is not HTTP/1.1: ".
var descriptions = map[Reason]string{
	StatusLine:       "its status line is not a version, a code and a reason phrase",
	StatusCode:       "its status code is not from 100 to 599",
	Upgrade:          "it switches to a protocol that was not asked for",
	LineEnd:          "a line does not end with CR LF",
	FieldName:        "a field has no name, or one with a character that is not allowed",
	FieldValue:       "a field value holds a control character",
	FoldedLine:       "a field value goes on in another line",
	ContentLength:    "Content-Length is not one number",
	TransferEncoding: "Transfer-Encoding is not chunked alone, or stands beside Content-Length or HTTP/1.0",
	UnexpectedBody:   "it states a body that its status code does not allow",
	Chunk:            "the size or the end of a chunk is malformed",
}

// MalformedError reports a response that does not follow the grammar. It holds none of the
// response's bytes.
type MalformedError struct{ Reason Reason }

// Error returns the reason in words.
func (e *MalformedError) Error() string {
	return "the server's response is not HTTP/1.1: " + descriptions[e.Reason]
}

// state is the part of a response that is read next.
type state uint8

const (
	stateStatusLine state = iota
	stateFields
	stateBodyOfLength
	stateBodyUntilClose
	stateChunkSize
	stateChunkData
	stateChunkEnd
	stateTrailers
)

// Conn is a connection to a server on which requests are sent one at a time. One goroutine
// may read while others write and call Expect.
type Conn struct {
	net.Conn
	server string
	limits Limits
	reader *bufio.Reader

	state     state
	interim   bool // an interim response has been read, the final one not
	head      head
	remaining int64 // bytes of the body or chunk
	bytes     int   // bytes of the head, trailer or chunk size that is read
	lines     int
	line      []byte
	checked   []byte // the part of line that has been checked and not been read
	err       error  // ends all further reads

	mu       sync.Mutex
	expected bool
	method   string
}

// New returns a connection that checks the responses that arrive on conn. server names the
// kind of server in metrics.
func New(conn net.Conn, server string, limits Limits) *Conn {
	return &Conn{Conn: conn, server: server, limits: limits, reader: bufio.NewReader(conn)}
}

// Expect makes the next bytes count as the response to a request of the method. It must be
// called before the request is written, and again to read another response to it.
func (c *Conn) Expect(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expected, c.method = true, method
}

// Buffered returns the number of bytes that have arrived after the response that was read
// last. The goroutine that reads may call it after the end of a response.
func (c *Conn) Buffered() int { return c.reader.Buffered() }

// Read reads bytes of responses: all that have arrived and fit, up to the end of a response.
// It waits only for the first byte, or the line that it belongs to.
func (c *Conn) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) && (n == 0 || c.hasArrived()) {
		switch {
		case len(c.checked) > 0:
			copied := copy(p[n:], c.checked)
			c.checked = c.checked[copied:]
			n += copied
		case c.err != nil:
			return n, c.err
		case c.state == stateBodyOfLength || c.state == stateChunkData:
			copied, err := c.readCounted(p[n:])
			if n += copied; err != nil {
				return n, err
			}
		case c.state == stateBodyUntilClose:
			copied, err := c.readUntilClose(p[n:])
			return n + copied, err
		default:
			if c.err = c.readLine(); c.err != nil {
				c.count(c.err)
			}
		}
	}
	return n, nil
}

// hasArrived reports whether the next bytes of the response can be read without waiting.
func (c *Conn) hasArrived() bool {
	switch {
	case len(c.checked) > 0:
		return true
	case c.err != nil, c.state == stateStatusLine, c.reader.Buffered() == 0:
		return false
	case c.state == stateBodyOfLength, c.state == stateChunkData, c.state == stateBodyUntilClose:
		return true
	}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	return bytes.IndexByte(buffered, '\n') >= 0
}

// count counts an error that is the server's fault.
func (c *Conn) count(err error) {
	var malformed *MalformedError
	reason := ""
	switch {
	case errors.As(err, &malformed):
		reason = string(malformed.Reason)
	case errors.Is(err, ErrTooLong):
		reason = "too_long"
	case errors.Is(err, ErrUnasked):
		reason = "unasked"
	case errors.Is(err, ErrReset):
		reason = "reset"
	default:
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`zinniafall_responses_refused_total{server=%q,reason=%q}`, c.server, reason)).Inc()
}

// readCounted reads a body, or the data of a chunk, of which the length is known.
func (c *Conn) readCounted(p []byte) (int, error) {
	n, err := c.reader.Read(p[:min(int64(len(p)), c.remaining)])
	c.remaining -= int64(n)
	if c.remaining > 0 {
		return n, unexpectedEOF(err)
	}
	if c.state == stateChunkData {
		c.begin(stateChunkEnd)
	} else {
		c.endResponse()
	}
	return n, nil
}

// readUntilClose reads a body that ends with its connection. A reset ends it, too, as far as
// a read shows, if a write of the request was told of the reset: the kernel reports it once.
func (c *Conn) readUntilClose(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	if err == io.EOF && !sockets.ClosedInOrder(c.Conn) {
		err = ErrReset
	}
	if err != nil {
		c.err = err
		c.count(err)
	}
	return n, err
}

// readLine reads and checks the next line.
func (c *Conn) readLine() error {
	if c.state == stateStatusLine && c.bytes == 0 {
		if err := c.awaitResponse(); err != nil {
			return err
		}
	}
	c.line = c.line[:0]
	for {
		part, err := c.reader.ReadSlice('\n')
		if c.bytes += len(part); c.bytes > c.limits.Bytes {
			return ErrTooLong
		}
		c.line = append(c.line, part...)
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return unexpectedEOF(err)
		}
	}
	if c.lines++; c.lines > c.limits.Lines {
		return ErrTooLong
	}
	if len(c.line) < 2 || c.line[len(c.line)-2] != '\r' {
		return &MalformedError{LineEnd}
	}
	if reason := c.checkLine(c.line[:len(c.line)-2]); reason != "" {
		c.checked = nil
		return &MalformedError{reason}
	}
	return nil
}

// awaitResponse waits for the first byte of a response. It returns io.EOF if the connection
// was closed where a response may end.
func (c *Conn) awaitResponse() error {
	if _, err := c.reader.Peek(1); err != nil {
		if c.interim {
			return unexpectedEOF(err)
		}
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expected {
		return ErrUnasked
	}
	c.head = head{method: c.method}
	return nil
}

// checkLine checks a line without its end and moves on to what follows it. It returns what
// is wrong with it.
func (c *Conn) checkLine(line []byte) Reason {
	c.checked = c.line
	switch c.state {
	case stateStatusLine:
		c.state = stateFields
		return c.head.parseStatusLine(line)
	case stateFields:
		if len(line) > 0 {
			return c.head.parseField(line)
		}
		return c.endHead()
	case stateChunkSize:
		digits, size, ok := parseChunkSize(line)
		if !ok {
			return Chunk
		}
		c.checked = append(c.line[:digits], "\r\n"...)
		if c.remaining = size; size == 0 {
			c.begin(stateTrailers)
		} else {
			c.begin(stateChunkData)
		}
	case stateChunkEnd:
		if len(line) > 0 {
			return Chunk
		}
		c.begin(stateChunkSize)
	case stateTrailers:
		if len(line) > 0 {
			c.checked = nil
			_, _, reason := splitField(line)
			return reason
		}
		c.endResponse()
	}
	return ""
}

// endHead moves on to the body.
func (c *Conn) endHead() Reason {
	body, length, reason := c.head.framing()
	if reason != "" {
		return reason
	}
	c.remaining = length
	switch {
	case c.head.isInterim():
		c.interim = true
		c.begin(stateStatusLine)
	case body == bodyNone, body == bodyOfLength && length == 0:
		c.endResponse()
	case body == bodyOfLength:
		c.begin(stateBodyOfLength)
	case body == bodyChunked:
		c.begin(stateChunkSize)
	default:
		c.begin(stateBodyUntilClose)
	}
	return ""
}

// begin moves on to a part, to which the limits apply anew.
func (c *Conn) begin(s state) { c.state, c.bytes, c.lines = s, 0, 0 }

// endResponse ends the response: further bytes follow no request.
func (c *Conn) endResponse() {
	c.interim = false
	c.begin(stateStatusLine)
	c.mu.Lock()
	c.expected = false
	c.mu.Unlock()
}

// unexpectedEOF replaces io.EOF, which only the end of a response may be.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
