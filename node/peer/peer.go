// Package peer carries calls and control messages between nodes over QUIC.
// One connection joins two nodes, whichever of them opened it. A call is a
// bidirectional stream: a request frame, the rest of the body, and an answer
// frame followed by the answer's body, each ended by the end of the stream, so
// that a stream that was reset never passes for a whole message. Control
// messages go over one unidirectional stream of each connection through a
// bounded ring that drops the oldest message when it is full.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/samber/oops"
	"k8s.io/klog/v2"

	"zinniafall/node/trust"
	"zinniafall/policy/model"
)

const (
	// idleTimeout ends a connection on which nothing was heard. A node that
	// membership calls gone loses its connection sooner.
	idleTimeout = 12 * time.Second
	// keepAlive is the pause after which a connection is tested.
	keepAlive = 5 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// maxStreams bounds the calls that one peer may have open.
	maxStreams = 1024
	// receiveWindow bounds the unread bytes of one stream, in bytes.
	receiveWindow = 256 << 10
	// connectionWindow bounds the unread bytes of one connection, in bytes.
	connectionWindow = 1 << 20
)

// Handler serves what other nodes ask.
type Handler interface {
	// ServeRequest answers one request. It runs on a goroutine of its own.
	ServeRequest(ctx context.Context, from model.NodeAddr, stream *Stream)
	// Control takes one control message. It must not block.
	Control(from model.NodeAddr, payload []byte)
	// Unreachable is told of a node that could not be connected.
	Unreachable(node model.NodeAddr)
}

// Options configure a Transport.
type Options struct {
	// Self is the address by which other nodes know this one.
	Self model.NodeAddr
	// Listen is the UDP address to listen on.
	Listen string
	// Identity authenticates this node.
	Identity *trust.Identity
	// Handler serves the other nodes' requests.
	Handler Handler
	// MaxConnections bounds the connections kept at once; default 512.
	MaxConnections int
}

// defaultMaxConnections keeps the connections within about 23 MB.
const defaultMaxConnections = 512

// Transport holds the connections to other nodes.
type Transport struct {
	opts     Options
	udp      *net.UDPConn
	quic     *quic.Transport
	listener *quic.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	duties   sync.WaitGroup

	mu    sync.Mutex
	links map[model.NodeAddr]*link
}

// Listen opens the transport. The error names an address that is in use or
// not of this VM.
func Listen(opts Options) (*Transport, error) {
	if opts.MaxConnections == 0 {
		opts.MaxConnections = defaultMaxConnections
	}
	addr, err := net.ResolveUDPAddr("udp", opts.Listen)
	if err != nil {
		return nil, oops.In("peer").Hint("Set peers.listen to ip:port.").Wrap(err)
	}
	udp, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, oops.In("peer").Hint("Set peers.listen to a free address of this VM.").Wrap(err)
	}
	transport := &quic.Transport{Conn: udp}
	listener, err := transport.Listen(opts.Identity.ServerConfig(), quicConfig())
	if err != nil {
		_ = udp.Close()
		return nil, oops.In("peer").Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		opts: opts, udp: udp, quic: transport, listener: listener,
		ctx: ctx, cancel: cancel, links: make(map[model.NodeAddr]*link),
	}
	t.goDuty(t.accept)
	return t, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlive,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          4,
		InitialStreamReceiveWindow:     receiveWindow / 4,
		MaxStreamReceiveWindow:         receiveWindow,
		InitialConnectionReceiveWindow: connectionWindow / 4,
		MaxConnectionReceiveWindow:     connectionWindow,
	}
}

// Addr returns the address that the transport listens on.
func (t *Transport) Addr() string { return t.udp.LocalAddr().String() }

// Connections returns the number of connections that are open.
func (t *Transport) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.links)
}

// Close ends all connections and waits for the transport's goroutines.
func (t *Transport) Close() {
	t.cancel()
	_ = t.listener.Close()
	t.mu.Lock()
	for _, l := range t.links {
		l.close()
	}
	t.mu.Unlock()
	_ = t.quic.Close()
	_ = t.udp.Close()
	t.duties.Wait()
}

// Forget closes the connection to a node that is gone, which fails the calls
// on it, and makes the next call dial again.
func (t *Transport) Forget(node model.NodeAddr) {
	t.mu.Lock()
	l := t.links[node]
	delete(t.links, node)
	t.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// goDuty runs a goroutine that Close waits for.
func (t *Transport) goDuty(duty func()) {
	t.duties.Add(1)
	go func() {
		defer t.duties.Done()
		duty()
	}()
}

// accept takes the connections that other nodes open.
func (t *Transport) accept() {
	for {
		conn, err := t.listener.Accept(t.ctx)
		if err != nil {
			return
		}
		node := trust.PeerAddr(conn.ConnectionState().TLS)
		if node == "" {
			_ = conn.CloseWithError(codeRefused, "the certificate names no node")
			continue
		}
		t.adopt(node, conn)
	}
}

// adopt serves a connection that another node opened and, unless the present
// one is to be kept, makes it the one for new requests.
func (t *Transport) adopt(node model.NodeAddr, conn *quic.Conn) {
	l := newLink(t, node, node, conn)
	t.mu.Lock()
	present := t.links[node]
	full := present == nil && len(t.links) >= t.opts.MaxConnections
	keep := present != nil && t.keeps(present, l)
	if !full && !keep {
		t.links[node] = l
	}
	t.mu.Unlock()
	if full {
		klog.Warningf("peer: refused a connection from %s, the limit of %d is reached.", node, t.opts.MaxConnections)
		refusedConnections.Inc()
		l.close()
		return
	}
	l.start()
	switch {
	case keep:
		t.goDuty(l.retire)
	case present != nil && present.open() && !present.sameProcess(l):
		present.close()
	case present != nil:
		t.goDuty(present.retire)
	}
}

// keeps decides which of two connections to one node both ends use: of two
// that lead to the same process, the one that the lower address opened.
func (t *Transport) keeps(present, next *link) bool {
	lowerDialed := present.dialer < next.dialer
	select {
	case <-present.ready:
		return present.open() && lowerDialed && present.sameProcess(next)
	default:
		return lowerDialed
	}
}

// drop removes a link that ended.
func (t *Transport) drop(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[l.node] == l {
		delete(t.links, l.node)
	}
}
