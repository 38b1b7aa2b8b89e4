// Package hop carries calls between nodes over plain TCP. It speaks the
// messages of package peer and is meant for networks in which nodes need no
// proof of identity.
//
// A connection carries one exchange at a time and is kept for the next. So a
// lost packet delays one call only, and the kernel closes all connections of a
// process that dies, which tells the other end at once. To cancel an exchange
// is to close its connection. A body that does not travel with its request is
// sent when the owner asks for it, and until then the call cannot have run: a
// non-idempotent call can go elsewhere when its owner dies before that.
package hop

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/oops"

	"zinniafall/node/peer"
	"zinniafall/node/sockets"
	"zinniafall/policy/model"
)

const (
	// dialTimeout bounds the opening of a connection. A node that does not
	// answer by then is cut off or has no power.
	dialTimeout = 400 * time.Millisecond
	// maxIdleTime is how long an idle connection is kept.
	maxIdleTime = 20 * time.Second
	// maxIdlePerNode bounds the idle connections to one node.
	maxIdlePerNode = 16
	// lengthBytes is the size of the length before a piece of a body.
	lengthBytes = 4
	// maxPiece bounds one piece of a body, in bytes.
	maxPiece = 64 << 10
	// bodyEnd is the length that ends a body in pieces.
	bodyEnd = 0
	// writeTimeout bounds the time in which the other node takes a message.
	writeTimeout = 5 * time.Second
)

var (
	dials = metrics.NewCounter(`zinniafall_hop_connections_opened_total`)
	sent  = metrics.NewCounter(`zinniafall_hop_exchanges_total`)
)

// Client opens exchanges with other nodes.
type Client struct {
	mu   sync.Mutex
	idle map[model.NodeAddr][]*line
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{idle: make(map[model.NodeAddr][]*line)} }

// line is one connection as its opener holds it.
type line struct {
	conn   net.Conn
	reader *bufio.Reader
	since  time.Time
}

// Exchange is a request that was sent and whose answer is awaited or read.
type Exchange struct {
	client *Client
	node   model.NodeAddr
	line   *line
	stop   func() bool
	body   io.Reader
	once   sync.Once
	// clean is true once the answer was read to its end.
	clean bool
	// owesBody is true while the request's body or its end has to be sent.
	owesBody bool
}

// Open sends the request. An error that is peer.ErrNotSent proves that the
// other node got nothing of it. The context's end cancels the exchange.
func (c *Client) Open(ctx context.Context, to model.NodeAddr, request *peer.Request) (*Exchange, error) {
	for {
		l, kept := c.take(to)
		if !kept {
			dials.Inc()
			conn, err := sockets.Dial(ctx, string(to), dialTimeout)
			if err != nil {
				return nil, errors.Join(peer.ErrNotSent, err)
			}
			l = &line{conn: conn, reader: bufio.NewReader(conn)}
		}
		x, err := c.start(ctx, to, l, request)
		if err == nil || !kept {
			return x, err
		}
		// A kept connection that fails at the first byte was closed by the
		// other end; the others to that node most likely were, too.
		c.Forget(to)
	}
}

func (c *Client) start(ctx context.Context, to model.NodeAddr, l *line, request *peer.Request) (*Exchange, error) {
	sent.Inc()
	x := &Exchange{client: c, node: to, line: l, owesBody: !request.Inline}
	x.stop = context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := peer.Encode(l.conn, request); err != nil {
		x.Close()
		return nil, errors.Join(peer.ErrOutcomeUnknown, err)
	}
	return x, nil
}

func (c *Client) take(to model.NodeAddr) (*line, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[to]
	for len(list) > 0 {
		l := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[to] = list
		// A request on a connection that the other end has closed would be lost,
		// and whether it ran would not be known.
		if time.Since(l.since) < maxIdleTime && sockets.Alive(l.conn) {
			return l, true
		}
		_ = l.conn.Close()
	}
	return nil, false
}

func (c *Client) give(to model.NodeAddr, l *line) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[to]) >= maxIdlePerNode {
		_ = l.conn.Close()
		return
	}
	l.since = time.Now()
	c.idle[to] = append(c.idle[to], l)
}

// Forget closes the idle connections to a node.
func (c *Client) Forget(node model.NodeAddr) {
	c.mu.Lock()
	list := c.idle[node]
	delete(c.idle, node)
	c.mu.Unlock()
	for _, l := range list {
		_ = l.conn.Close()
	}
}

// CloseIdle closes connections that were idle for too long. Call it about once
// a second.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for node, list := range c.idle {
		kept := list[:0]
		for _, l := range list {
			if time.Since(l.since) < maxIdleTime {
				kept = append(kept, l)
				continue
			}
			_ = l.conn.Close()
		}
		c.idle[node] = kept
		if len(kept) == 0 {
			delete(c.idle, node)
		}
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for node, list := range c.idle {
		for _, l := range list {
			_ = l.conn.Close()
		}
		delete(c.idle, node)
	}
}

// Receive reads the next answer. An error is peer.ErrLost.
func (x *Exchange) Receive() (*peer.Answer, error) {
	answer := new(peer.Answer)
	if err := peer.Decode(x.line.reader, answer); err != nil {
		return nil, errors.Join(peer.ErrOutcomeUnknown, err)
	}
	if !answer.Admitted {
		x.body = &pieces{reader: x.line.reader}
		x.clean = answer.Inline || answer.Problem != nil
	}
	return answer, nil
}

// SendBody sends a body that did not travel with the request.
func (x *Exchange) SendBody(body io.Reader) error {
	x.owesBody = false
	return writePieces(x.line.conn, body)
}

// Read reads the body of the final answer. It returns io.EOF only when the
// other node ended the body.
func (x *Exchange) Read(p []byte) (int, error) {
	if x.clean {
		return 0, io.EOF
	}
	n, err := x.body.Read(p)
	if err == io.EOF {
		x.clean = true
	}
	return n, err
}

// Close ends the exchange. Unless its answer was read to the end, the other
// node sees it canceled.
func (x *Exchange) Close() {
	x.once.Do(func() {
		if x.stop() && x.clean && x.settle() {
			x.client.give(x.node, x.line)
			return
		}
		_ = x.line.conn.Close()
	})
}

// settle sends the end of a body that was not asked for.
func (x *Exchange) settle() bool {
	return !x.owesBody || writePiece(x.line.conn, make([]byte, lengthBytes)) == nil
}

// pieces reads a body that comes in pieces.
type pieces struct {
	reader io.Reader
	left   uint32
	ended  bool
}

func (p *pieces) Read(b []byte) (int, error) {
	if p.ended {
		return 0, io.EOF
	}
	if p.left == 0 {
		var length [lengthBytes]byte
		if _, err := io.ReadFull(p.reader, length[:]); err != nil {
			return 0, unexpected(err)
		}
		p.left = binary.BigEndian.Uint32(length[:])
		switch {
		case p.left == bodyEnd:
			p.ended = true
			return 0, io.EOF
		case p.left > maxPiece:
			return 0, oops.In("hop").Hint("Check that all nodes run the same release.").
				Errorf("a piece of %d bytes is over the limit of %d", p.left, maxPiece)
		}
	}
	n, err := p.reader.Read(b[:min(len(b), int(p.left))])
	p.left -= uint32(n)
	return n, unexpected(err)
}

// unexpected marks an end within a body.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// writePieces sends a body and its end. An error of the body's reader leaves
// the end out, so that a partial body never looks whole.
func writePieces(conn net.Conn, body io.Reader) error {
	frame := make([]byte, lengthBytes+maxPiece)
	for {
		n, err := body.Read(frame[lengthBytes:])
		if n > 0 {
			if werr := writePiece(conn, frame[:lengthBytes+n]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return writePiece(conn, frame[:lengthBytes])
		}
		if err != nil {
			return err
		}
	}
}

// writePiece fills in the length of a piece and sends it.
func writePiece(conn net.Conn, frame []byte) error {
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthBytes))
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := conn.Write(frame)
	return err
}
