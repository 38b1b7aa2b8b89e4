// Package peer transports calls and control messages between nodes over QUIC.
//
// Two nodes share one connection, whichever of them opened it. A call is a
// bidirectional stream. One direction has a request frame and the rest of the
// body, the other an answer frame and the answer's body. The end of the stream
// ends each direction, so a reset stream is never taken for a complete message.
//
// Each end sends control messages over one unidirectional stream of the
// connection, from a bounded queue that drops the oldest message when full.
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
	// idleTimeout closes a connection on which nothing is received. The
	// connection to a node that membership reports as gone is closed sooner.
	idleTimeout = 12 * time.Second
	// keepAlive is the idle time after which a keep-alive packet is sent.
	keepAlive = 5 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// maxStreams bounds the calls that one node may have in flight here.
	maxStreams = 1024
	// receiveWindow is the flow-control window of one stream in bytes.
	receiveWindow = 256 << 10
	// connectionWindow is the flow-control window of one connection in bytes.
	connectionWindow = 1 << 20
)

// Handler handles requests and messages from other nodes.
type Handler interface {
	// ServeRequest answers a request. Each call runs on its own goroutine.
	ServeRequest(ctx context.Context, from model.NodeAddr, stream *Stream)
	// HandleControl handles a control message. It must not block.
	HandleControl(from model.NodeAddr, payload []byte)
	// Unreachable is called when a node could not be connected.
	Unreachable(node model.NodeAddr)
}

// Options configure a Transport.
type Options struct {
	// Self is the address of this node as known to other nodes.
	Self model.NodeAddr
	// Listen is the UDP address to listen on.
	Listen string
	// Identity authenticates this node and verifies others.
	Identity *trust.Identity
	// Handler handles requests and messages from other nodes.
	Handler Handler
	// MaxConnections bounds the open connections; the default is 512.
	MaxConnections int
}

// defaultMaxConnections limits the memory of all connections to about 23 MB.
const defaultMaxConnections = 512

// Transport manages the connections to other nodes.
type Transport struct {
	opts       Options
	udp        *net.UDPConn
	quic       *quic.Transport
	listener   *quic.Listener
	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup

	mu    sync.Mutex
	links map[model.NodeAddr]*link
}

// Listen opens a transport and accepts connections. It returns an error that
// names the address when that is in use or not an address of this VM.
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
	t.goBackground(t.accept)
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

// Connections returns the number of connections that are open or being dialed.
func (t *Transport) Connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.links)
}

// Close closes all connections and waits for the transport's goroutines.
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
	t.background.Wait()
}

// Disconnect closes the connection to a node, which fails the calls on it. The
// next call to the node dials a new one.
func (t *Transport) Disconnect(node model.NodeAddr) {
	t.mu.Lock()
	l := t.links[node]
	delete(t.links, node)
	t.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// goBackground runs a task on a goroutine that Close waits for.
func (t *Transport) goBackground(task func()) {
	t.background.Add(1)
	go func() {
		defer t.background.Done()
		task()
	}()
}

// accept accepts the connections that other nodes open.
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
		t.addAccepted(node, conn)
	}
}

// addAccepted serves a connection that another node opened. New requests use
// it unless the current connection to that node is preferred.
func (t *Transport) addAccepted(node model.NodeAddr, conn *quic.Conn) {
	l := newLink(t, node, node, conn)
	t.mu.Lock()
	current := t.links[node]
	full := current == nil && len(t.links) >= t.opts.MaxConnections
	keepCurrent := current != nil && t.prefersCurrent(current, l)
	if !full && !keepCurrent {
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
	case keepCurrent:
		t.goBackground(l.retire)
	case current != nil && current.isOpen() && !current.sameProcess(l):
		current.close()
	case current != nil:
		t.goBackground(current.retire)
	}
}

// prefersCurrent reports whether the current connection to a node is used rather
// than a new one. Both ends must decide alike: of two connections to the same
// process, they use the one that the node with the lower address opened.
func (t *Transport) prefersCurrent(current, accepted *link) bool {
	lowerAddressDialed := current.dialer < accepted.dialer
	select {
	case <-current.ready:
		return current.isOpen() && lowerAddressDialed && current.sameProcess(accepted)
	default:
		return lowerAddressDialed
	}
}

// remove deletes a closed link, unless another one has replaced it.
func (t *Transport) remove(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[l.node] == l {
		delete(t.links, l.node)
	}
}
