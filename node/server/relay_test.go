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

// links is the network between the nodes of a test. Each node is reached
// through a relay that drops the packets of nodes that are cut off.
type links struct {
	mu  sync.Mutex
	cut map[string]bool
	// held, when not nil, keeps packets back until it is closed.
	held chan struct{}
}

func newLinks() *links { return &links{cut: make(map[string]bool)} }

// set cuts a node off by its own socket's address, or joins it again.
func (l *links) set(socket string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[socket] = cut
}

// hold keeps all packets back until release is called.
func (l *links) hold() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := make(chan struct{})
	l.held = held
	return sync.OnceFunc(func() {
		l.mu.Lock()
		l.held = nil
		l.mu.Unlock()
		close(held)
	})
}

// pass waits for the release of held packets and reports whether a packet may
// go between the sockets.
func (l *links) pass(a, b string) bool {
	l.mu.Lock()
	held := l.held
	l.mu.Unlock()
	if held != nil {
		<-held
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.cut[a] && !l.cut[b]
}

// relay forwards packets to one node's socket and back.
type relay struct {
	links *links
	conn  *net.UDPConn
	// target is the node's socket; packets that come before it is known are
	// dropped.
	target atomic.Pointer[net.UDPAddr]

	mu    sync.Mutex
	flows map[string]*net.UDPConn
	ended bool
	wait  sync.WaitGroup
}

func startRelay(t testing.TB, l *links) *relay {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(t, err, qt.IsNil)
	r := &relay{links: l, conn: conn, flows: make(map[string]*net.UDPConn)}
	r.wait.Add(1)
	go r.forward()
	t.Cleanup(r.close)
	return r
}

// serve names the node's socket.
func (r *relay) serve(t testing.TB, socket string) {
	addr, err := net.ResolveUDPAddr("udp", socket)
	qt.Assert(t, err, qt.IsNil)
	r.target.Store(addr)
}

func (r *relay) close() {
	r.mu.Lock()
	r.ended = true
	for _, flow := range r.flows {
		_ = flow.Close()
	}
	r.mu.Unlock()
	_ = r.conn.Close()
	r.wait.Wait()
}

func (r *relay) forward() {
	defer r.wait.Done()
	buffer := make([]byte, maxPacket)
	for {
		n, from, err := r.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if flow := r.flow(from); flow != nil && r.links.pass(from.String(), r.target.Load().String()) {
			_, _ = flow.Write(buffer[:n])
		}
	}
}

// flow returns the socket that stands for one sender.
func (r *relay) flow(from *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	target := r.target.Load()
	if flow := r.flows[from.String()]; flow != nil || r.ended || target == nil {
		return flow
	}
	flow, err := net.DialUDP("udp", nil, target)
	if err != nil {
		return nil
	}
	r.flows[from.String()] = flow
	r.wait.Add(1)
	go r.back(flow, from)
	return flow
}

func (r *relay) back(flow *net.UDPConn, to *net.UDPAddr) {
	defer r.wait.Done()
	buffer := make([]byte, maxPacket)
	for {
		n, err := flow.Read(buffer)
		if err != nil {
			return
		}
		if r.links.pass(to.String(), r.target.Load().String()) {
			_, _ = r.conn.WriteToUDP(buffer[:n], to)
		}
	}
}
