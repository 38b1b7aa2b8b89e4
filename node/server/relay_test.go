package server

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// maxPacket is the size in bytes of the largest UDP packet.
const maxPacket = 64 << 10

// network is the network between the nodes of a test. Each node is reached
// through a relay, which drops the packets of isolated nodes.
type network struct {
	mu       sync.Mutex
	isolated map[string]bool
	// held, when not nil, delays all packets until it is closed.
	held chan struct{}
}

func newNetwork() *network { return &network{isolated: make(map[string]bool)} }

// setIsolated isolates the node with the given UDP address of its own, or
// reconnects it.
func (n *network) setIsolated(socket string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[socket] = isolated
}

// holdPackets delays all packets until release is called.
func (n *network) holdPackets() (release func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	held := make(chan struct{})
	n.held = held
	return sync.OnceFunc(func() {
		n.mu.Lock()
		n.held = nil
		n.mu.Unlock()
		close(held)
	})
}

// allow waits until packets are not held and reports whether a packet may pass
// between the sockets.
func (n *network) allow(a, b string) bool {
	n.mu.Lock()
	held := n.held
	n.mu.Unlock()
	if held != nil {
		<-held
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.isolated[a] && !n.isolated[b]
}

// relay forwards packets to the socket of one node and back.
type relay struct {
	network *network
	conn    *net.UDPConn
	// node is the socket of the node. Packets that arrive before it is set are
	// dropped.
	node atomic.Pointer[net.UDPAddr]

	mu sync.Mutex
	// flows holds a socket for each sender.
	flows      map[string]*net.UDPConn
	closed     bool
	forwarders sync.WaitGroup
}

// startRelay starts a relay on a free port.
func startRelay(t testing.TB, n *network) *relay {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	r := &relay{network: n, conn: conn, flows: make(map[string]*net.UDPConn)}
	r.forwarders.Add(1)
	go r.forward()
	t.Cleanup(r.close)
	return r
}

// setNode sets the socket of the node.
func (r *relay) setNode(t testing.TB, socket string) {
	addr, err := net.ResolveUDPAddr("udp", socket)
	qt.Assert(t, err, qt.IsNil)
	r.node.Store(addr)
}

func (r *relay) close() {
	r.mu.Lock()
	r.closed = true
	for _, flow := range r.flows {
		_ = flow.Close()
	}
	r.mu.Unlock()
	_ = r.conn.Close()
	r.forwarders.Wait()
}

// forward passes packets on to the node.
func (r *relay) forward() {
	defer r.forwarders.Done()
	buffer := make([]byte, maxPacket)
	for {
		n, from, err := r.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if flow := r.flow(from); flow != nil && r.network.allow(from.String(), r.node.Load().String()) {
			_, _ = flow.Write(buffer[:n])
		}
	}
}

// flow returns the socket that represents a sender towards the node, nil
// when there is none.
func (r *relay) flow(from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	target := r.node.Load()
	if flow := r.flows[from.String()]; flow != nil || r.closed || target == nil {
		return flow
	}
	flow, err := net.DialUDP("udp", nil, target)
	if err != nil {
		return nil
	}
	r.flows[from.String()] = flow
	r.forwarders.Add(1)
	go r.forwardReplies(flow, from)
	return flow
}

// forwardReplies passes the node's packets back to one sender.
func (r *relay) forwardReplies(flow *net.UDPConn, to *net.UDPAddr) {
	defer r.forwarders.Done()
	buffer := make([]byte, maxPacket)
	for {
		n, err := flow.Read(buffer)
		if err != nil {
			return
		}
		if r.network.allow(to.String(), r.node.Load().String()) {
			_, _ = r.conn.WriteToUDP(buffer[:n], to)
		}
	}
}
