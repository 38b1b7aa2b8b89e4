package peer

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
	"github.com/samber/oops"

	"zinniafall/policy/model"
)

// Error codes of closed connections and reset streams.
const (
	codeClosed  quic.ApplicationErrorCode = 0
	codeRefused quic.ApplicationErrorCode = 1

	codeCanceled quic.StreamErrorCode = 1
	codeFailed   quic.StreamErrorCode = 2
)

// controlQueueSize is the number of control messages that may wait for one
// node. When the queue is full the oldest message is dropped and counted.
const controlQueueSize = 256

// retireInterval is the time between checks whether a replaced connection is idle.
const retireInterval = 2 * time.Second

var (
	refusedConnections = metrics.NewCounter(`zinniafall_peer_refused_connections_total`)
	droppedControl     = metrics.NewCounter(`zinniafall_peer_control_dropped_total`)
	malformedMessages  = metrics.NewCounter(`zinniafall_peer_malformed_messages_total`)
	controlBytes       = metrics.NewCounter(`zinniafall_peer_control_sent_bytes_total`)
	dials              = metrics.NewCounter(`zinniafall_peer_dials_total`)
)

// errUnreachable reports a connection that could not be opened.
var errUnreachable = errors.New("the node could not be reached")

// link is a connection to another node, open or being dialed.
type link struct {
	transport *Transport
	node      model.NodeAddr
	control   chan []byte

	// ready is closed once conn or err is set.
	ready chan struct{}
	conn  *quic.Conn
	err   error

	// dialer is the node that opened the connection.
	dialer model.NodeAddr
	// active is the number of requests in flight on the connection.
	active atomic.Int64

	closeOnce sync.Once
	closed    chan struct{}
}

func newLink(t *Transport, node, dialer model.NodeAddr, conn *quic.Conn) *link {
	l := &link{
		transport: t, node: node, dialer: dialer, conn: conn,
		control: make(chan []byte, controlQueueSize),
		ready:   make(chan struct{}),
		closed:  make(chan struct{}),
	}
	if conn != nil {
		close(l.ready)
	}
	return l
}

// start runs the goroutines of an open connection.
func (l *link) start() {
	l.transport.goBackground(l.acceptRequests)
	l.transport.goBackground(l.acceptControl)
	l.transport.goBackground(l.sendControl)
	l.transport.goBackground(l.awaitClose)
}

func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		if l.isOpen() {
			_ = l.conn.CloseWithError(codeClosed, "closed")
		}
	})
}

// isOpen reports whether the connection is established and, as far as this end
// has detected, not closed.
func (l *link) isOpen() bool {
	select {
	case <-l.ready:
		return l.conn != nil && l.conn.Context().Err() == nil
	default:
		return false
	}
}

// sameProcess reports whether two connections lead to the same process. Each
// process has a certificate of its own, used for all its connections.
func (l *link) sameProcess(other *link) bool {
	return bytes.Equal(l.certificate(), other.certificate())
}

func (l *link) certificate() []byte {
	return l.conn.ConnectionState().TLS.PeerCertificates[0].Raw
}

// retire closes a replaced connection once a check finds no request in flight
// on it.
func (l *link) retire() {
	ticker := time.NewTicker(retireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.closed:
			return
		case <-ticker.C:
			if l.active.Load() == 0 {
				l.close()
				return
			}
		}
	}
}

// awaitClose removes the link when its connection has ended.
func (l *link) awaitClose() {
	<-l.conn.Context().Done()
	l.transport.remove(l)
	l.close()
}

func (l *link) acceptRequests() {
	for {
		stream, err := l.conn.AcceptStream(l.transport.ctx)
		if err != nil {
			return
		}
		go l.serve(stream)
	}
}

func (l *link) serve(stream *quic.Stream) {
	l.active.Add(1)
	defer l.active.Add(-1)
	s := &Stream{stream: stream}
	if err := readFrame(stream, &s.Request); err != nil {
		malformedMessages.Inc()
		stream.CancelRead(codeFailed)
		stream.CancelWrite(codeFailed)
		return
	}
	l.transport.opts.Handler.ServeRequest(stream.Context(), l.node, s)
	s.finish()
}

func (l *link) acceptControl() {
	for {
		stream, err := l.conn.AcceptUniStream(l.transport.ctx)
		if err != nil {
			return
		}
		l.readControl(stream)
	}
}

// readControl delivers messages until the stream ends. A frame over the size
// limit closes the connection.
func (l *link) readControl(stream *quic.ReceiveStream) {
	for {
		payload, err := readRaw(stream)
		if err != nil {
			if _, oversized := oops.AsOops(err); oversized {
				malformedMessages.Inc()
				l.close()
			}
			return
		}
		l.transport.opts.Handler.HandleControl(l.node, payload)
	}
}

func (l *link) sendControl() {
	var stream *quic.SendStream
	for {
		select {
		case <-l.closed:
			return
		case payload := <-l.control:
			if stream == nil {
				opened, err := l.conn.OpenUniStreamSync(l.conn.Context())
				if err != nil {
					return
				}
				stream = opened
			}
			if err := writeRaw(stream, payload); err != nil {
				return
			}
			controlBytes.Add(lengthBytes + len(payload))
		}
	}
}

// enqueueControl queues a message and drops the oldest one when the queue is full.
func (l *link) enqueueControl(payload []byte) {
	for {
		select {
		case l.control <- payload:
			return
		default:
		}
		select {
		case <-l.control:
			droppedControl.Inc()
		default:
		}
	}
}

// Send queues a control message without blocking. It reports false when the
// limit of connections is reached or the transport is closed.
func (t *Transport) Send(to model.NodeAddr, payload []byte) bool {
	l, err := t.link(to)
	if err != nil {
		return false
	}
	l.enqueueControl(payload)
	return true
}

// link returns the link to a node, dialing the node when there is none.
func (t *Transport) link(to model.NodeAddr) (*link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[to]; l != nil {
		return l, nil
	}
	if t.ctx.Err() != nil {
		return nil, t.ctx.Err()
	}
	if len(t.links) >= t.opts.MaxConnections {
		refusedConnections.Inc()
		return nil, oops.In("peer").Hint("Raise limits.peer_connections in the settings.").
			Errorf("no connection to %s: the limit of %d is reached", to, t.opts.MaxConnections)
	}
	l := newLink(t, to, t.opts.Self, nil)
	t.links[to] = l
	t.goBackground(l.dial)
	return l, nil
}

// dial opens the connection and then starts its goroutines.
func (l *link) dial() {
	t := l.transport
	dials.Inc()
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	conn, err := t.dial(ctx, l.node)
	if err != nil {
		l.err = errors.Join(errUnreachable, err)
		close(l.ready)
		t.remove(l)
		l.close()
		if t.ctx.Err() == nil {
			t.opts.Handler.Unreachable(l.node)
		}
		return
	}
	l.conn = conn
	close(l.ready)
	select {
	case <-l.closed:
		_ = conn.CloseWithError(codeClosed, "closed")
	default:
		l.start()
	}
}
