// Package hop forwards calls between nodes over plain TCP. It uses the
// messages of package peer and is meant for networks in which nodes do not
// have to prove their identity.
//
// A connection serves one exchange at a time and is then reused. A lost
// packet therefore delays only one call, and when a process dies, the kernel
// closes all its connections, which notifies the other end at once. Closing
// the connection cancels the exchange. A body that is not inline is sent only
// after the owner has admitted the call. Until then the call cannot have run,
// so even a non-idempotent call can fail over to another target if its owner
// dies before that.
package hop

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/oops"

	"zinniafall/node/peer"
	"zinniafall/node/sockets"
	"zinniafall/policy/model"
)

const (
	// dialTimeout limits the time to open a connection. A node that does not
	// answer by then is cut off from the network or without power.
	dialTimeout = 400 * time.Millisecond
	// maxIdleTime is how long an idle connection is kept.
	maxIdleTime = 20 * time.Second
	// maxIdlePerNode limits the idle connections to one node.
	maxIdlePerNode = 16
	// chunkHeaderSize is the size in bytes of the length that precedes each
	// chunk of a body.
	chunkHeaderSize = 4
	// maxChunk is the maximum length in bytes of a chunk that is received, and
	// sentChunk that of one that is sent.
	maxChunk  = 64 << 10
	sentChunk = 32 << 10
	// endOfBody is the chunk length that marks the end of a body.
	endOfBody = 0
	// writeTimeout limits the time for the other node to accept one message.
	writeTimeout = 5 * time.Second
	// bodyTimeout limits the time for the other node to accept one chunk of a
	// body, which it passes on at the pace of its caller. It is longer than the
	// time after which an entry gives up on a caller that does not read.
	bodyTimeout = 15 * time.Second
)

var (
	dials     = metrics.NewCounter(`zinniafall_hop_connections_opened_total`)
	exchanges = metrics.NewCounter(`zinniafall_hop_exchanges_total`)
)

// Client opens exchanges with other nodes. It is safe for concurrent use.
type Client struct {
	mu     sync.Mutex
	idle   map[model.NodeAddr][]*clientConn
	closed bool
}

// NewClient returns a client without open connections.
func NewClient() *Client { return &Client{idle: make(map[model.NodeAddr][]*clientConn)} }

// clientConn is a connection to another node, as seen by the client.
type clientConn struct {
	conn      net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	// patient reports whether the silent peer timeout of the connection is that
	// of a long body.
	patient bool
}

// Exchange is a request that was sent and its answer.
type Exchange struct {
	client     *Client
	node       model.NodeAddr
	clientConn *clientConn
	stop       func() bool
	body       io.Reader
	once       sync.Once
	// complete is true once the answer was read to its end.
	complete bool
	// requestBody is a bodyState.
	requestBody atomic.Int32
}

// bodyState tells how much of the body of a request has been sent.
type bodyState = int32

const (
	bodySent    bodyState = iota // the whole body, or the request has none
	bodyPending                  // nothing; its end has to be sent before the next request
	bodyPartial                  // a part, whether or not the rest is on its way
)

// Open sends the request. Every error wraps peer.ErrNotSent: a request is one
// frame, and the other node acts on a whole frame only, of which the failed write
// has not sent the end. The end of the context cancels the exchange. Open returns
// once the request is written; Receive reads the answers.
func (c *Client) Open(ctx context.Context, to model.NodeAddr, request *peer.Request) (*Exchange, error) {
	for {
		cc, reused := c.takeIdle(to)
		if !reused {
			dials.Inc()
			conn, err := sockets.Dial(ctx, string(to), dialTimeout)
			if err != nil {
				return nil, errors.Join(peer.ErrNotSent, err)
			}
			cc = &clientConn{conn: conn, reader: bufio.NewReader(conn)}
		}
		x, err := c.send(ctx, to, cc, request)
		if err == nil || !reused {
			return x, err
		}
		// A reused connection whose first write fails was closed by the other
		// end; the other idle connections to that node most likely were too.
		c.CloseIdleTo(to)
	}
}

// send sends the request on the connection and returns the exchange.
func (c *Client) send(ctx context.Context, to model.NodeAddr, cc *clientConn, request *peer.Request) (*Exchange, error) {
	exchanges.Inc()
	x := &Exchange{client: c, node: to, clientConn: cc}
	if !request.Inline {
		x.requestBody.Store(bodyPending)
	}
	x.stop = context.AfterFunc(ctx, func() { _ = cc.conn.Close() })
	if cc.patient {
		cc.patient = false
		sockets.SetSilentPeerTimeout(cc.conn, sockets.SilentPeerTimeout)
	}
	_ = cc.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := peer.Encode(cc.conn, request); err != nil {
		x.Close()
		return nil, errors.Join(peer.ErrNotSent, err)
	}
	return x, nil
}

// takeIdle returns an idle connection to the node, if there is one that is
// still open at the other end.
func (c *Client) takeIdle(to model.NodeAddr) (*clientConn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[to]
	for len(list) > 0 {
		cc := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[to] = list
		// A request sent on a connection that the other end has closed would
		// be lost, and its outcome would be unknown.
		if time.Since(cc.idleSince) < maxIdleTime && sockets.Alive(cc.conn) {
			return cc, true
		}
		_ = cc.conn.Close()
	}
	return nil, false
}

// putIdle keeps the connection for the next exchange, or closes it if enough
// connections to the node are idle or the client is closed.
func (c *Client) putIdle(to model.NodeAddr, cc *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[to]) >= maxIdlePerNode {
		_ = cc.conn.Close()
		return
	}
	cc.idleSince = time.Now()
	c.idle[to] = append(c.idle[to], cc)
}

// CloseIdleTo closes the idle connections to a node.
func (c *Client) CloseIdleTo(node model.NodeAddr) {
	c.mu.Lock()
	list := c.idle[node]
	delete(c.idle, node)
	c.mu.Unlock()
	for _, cc := range list {
		_ = cc.conn.Close()
	}
}

// CloseExpired closes connections that were idle for longer than maxIdleTime.
// Call it about once a second.
func (c *Client) CloseExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for node, list := range c.idle {
		remaining := list[:0]
		for _, cc := range list {
			if time.Since(cc.idleSince) < maxIdleTime {
				remaining = append(remaining, cc)
				continue
			}
			_ = cc.conn.Close()
		}
		c.idle[node] = remaining
		if len(remaining) == 0 {
			delete(c.idle, node)
		}
	}
}

// Close closes all idle connections; those in use close when their exchange ends.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for node, list := range c.idle {
		for _, cc := range list {
			_ = cc.conn.Close()
		}
		delete(c.idle, node)
	}
}

// Receive waits for the next answer, interim or final. Every error wraps
// peer.ErrOutcomeUnknown.
func (x *Exchange) Receive() (*peer.Answer, error) {
	answer := new(peer.Answer)
	if err := peer.Decode(x.clientConn.reader, answer); err != nil {
		return nil, errors.Join(peer.ErrOutcomeUnknown, err)
	}
	if !answer.Admitted {
		x.body = &chunkReader{reader: x.clientConn.reader}
		x.complete = answer.Inline || answer.Problem != nil
	}
	return answer, nil
}

// SendBody sends a body that is not inline. It may run beside Receive: after an answer that
// precedes the end of the body, Close ends both.
func (x *Exchange) SendBody(body io.Reader) error {
	x.requestBody.Store(bodyPartial)
	long, err := writeChunks(x.clientConn.conn, body)
	if err != nil {
		return err
	}
	x.clientConn.patient = long
	x.requestBody.Store(bodySent)
	return nil
}

// Cancel fails the calls of Receive, Read and SendBody that are in progress. Close must still
// be called.
func (x *Exchange) Cancel() { _ = x.clientConn.conn.Close() }

// Read reads the body of the final answer. It returns io.EOF only at the end
// of the body that the other node marked.
func (x *Exchange) Read(p []byte) (int, error) {
	if x.complete {
		return 0, io.EOF
	}
	n, err := x.body.Read(p)
	if err == io.EOF {
		x.complete = true
	}
	return n, err
}

// Close ends the exchange. If the answer was not read to its end, the
// connection is closed, which cancels the exchange at the other node.
func (x *Exchange) Close() {
	x.once.Do(func() {
		if x.stop() && x.complete && x.finishBody() {
			x.client.putIdle(x.node, x.clientConn)
			return
		}
		_ = x.clientConn.conn.Close()
	})
}

// finishBody sends the end of a body that the owner did not request, and
// reports whether the connection can be reused.
func (x *Exchange) finishBody() bool {
	switch x.requestBody.Load() {
	case bodyPending:
		return writeChunk(x.clientConn.conn, make([]byte, chunkHeaderSize)) == nil
	case bodyPartial:
		return false
	}
	return true
}

// chunkReader reads a body that is sent in chunks.
type chunkReader struct {
	reader    io.Reader
	remaining uint32
	ended     bool
}

// Read returns io.EOF only at the end marker. If the connection ends before
// it, the error is io.ErrUnexpectedEOF.
func (r *chunkReader) Read(b []byte) (int, error) {
	if r.ended {
		return 0, io.EOF
	}
	if r.remaining == 0 {
		var length [chunkHeaderSize]byte
		if _, err := io.ReadFull(r.reader, length[:]); err != nil {
			return 0, unexpectedEOF(err)
		}
		r.remaining = binary.BigEndian.Uint32(length[:])
		switch {
		case r.remaining == endOfBody:
			r.ended = true
			return 0, io.EOF
		case r.remaining > maxChunk:
			return 0, oops.In("hop").Hint("Check that all nodes run the same release.").
				Errorf("a chunk of %d bytes is over the limit of %d", r.remaining, maxChunk)
		}
	}
	n, err := r.reader.Read(b[:min(len(b), int(r.remaining))])
	r.remaining -= uint32(n)
	return n, unexpectedEOF(err)
}

// unexpectedEOF replaces io.EOF in the middle of a body by
// io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// chunkFrames holds the buffers in which chunks are sent.
var chunkFrames = sync.Pool{New: func() any { return new([chunkHeaderSize + sentChunk]byte) }}

// writeChunks sends a body and its end marker. If reading the body fails, the
// end marker is not sent, so that a partial body cannot be mistaken for a
// complete one. For a body of several chunks, it raises the silent peer timeout of
// the connection to bodyTimeout, so that the other node may pause, and reports
// long: the timeout must stay until the bytes in the socket's buffer have been
// read, which the next exchange shows.
func writeChunks(conn net.Conn, body io.Reader) (long bool, err error) {
	buffer := chunkFrames.Get().(*[chunkHeaderSize + sentChunk]byte)
	defer chunkFrames.Put(buffer)
	frame := buffer[:]
	for chunks := 0; ; chunks++ {
		n, err := body.Read(frame[chunkHeaderSize:])
		if n > 0 {
			if chunks == 1 {
				long = true
				sockets.SetSilentPeerTimeout(conn, bodyTimeout)
			}
			if werr := writeChunk(conn, frame[:chunkHeaderSize+n]); werr != nil {
				return long, werr
			}
		}
		if err == io.EOF {
			return long, writeChunk(conn, frame[:chunkHeaderSize])
		}
		if err != nil {
			return long, err
		}
	}
}

// writeChunk sets the length in the header of the frame and sends it.
func writeChunk(conn net.Conn, frame []byte) error {
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-chunkHeaderSize))
	_ = conn.SetWriteDeadline(time.Now().Add(bodyTimeout))
	_, err := conn.Write(frame)
	return err
}
