// Package sockets opens TCP connections that detect an unresponsive peer. A VM that
// has lost power or is cut off by a network partition sends neither a reset nor an
// acknowledgment. Each connection therefore limits how long sent bytes may stay
// unacknowledged, and probes idle peers with TCP keep-alive.
package sockets

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// SilentPeerTimeout is the usual maximum time for which sent bytes may stay
	// unacknowledged. It allows three retransmissions of a lost packet.
	SilentPeerTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an unresponsive
	// peer of an idle connection within three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of linux/tcp.h.
	tcpUserTimeout = 18
	// tcpCloseWait is the state TCP_CLOSE_WAIT of linux/tcp.h: the peer has ended its
	// direction of the connection, and nothing has failed since.
	tcpCloseWait = 8
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dial opens a connection to the address.
func Dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: func(_, _ string, raw syscall.RawConn) error {
		return setUserTimeout(raw, SilentPeerTimeout)
	}}
	return d.DialContext(ctx, "tcp4", addr)
}

// Listen listens on the address. The connections that it accepts detect an
// unresponsive peer, too: see SetSilentPeerTimeout for the timeout.
func Listen(addr string, silentPeer time.Duration) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: func(_, _ string, raw syscall.RawConn) error {
		return setUserTimeout(raw, silentPeer)
	}}
	return c.Listen(context.Background(), "tcp4", addr)
}

// SetSilentPeerTimeout sets the maximum time for which bytes sent on the connection
// may stay unacknowledged. The kernel also counts the time for which a live peer
// does not read, so a long body needs as much as its reader may pause. It does
// nothing for a connection that is not a TCP connection.
func SetSilentPeerTimeout(conn net.Conn, timeout time.Duration) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return // the connection is closed
	}
	_ = setUserTimeout(raw, timeout) // fails only on a closed connection
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var err error
	if e := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

// Refused reports whether err means that the peer refused the connection.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Alive reports whether an idle connection is still open, as far as this side can
// tell. Unexpected bytes count as a closed connection; Alive consumes one of them.
func Alive(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), buf[:])
		alive = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return alive && err == nil
}

// ClosedInOrder reports whether a connection that has been read to its end was closed by its
// peer in order. A reset ends the reads in the same way once a write has been told of it:
// the kernel reports the reset once. It returns true for a connection that is not a TCP
// connection.
func ClosedInOrder(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	inOrder := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		inOrder = err == nil && info.State == tcpCloseWait
	})
	return err == nil && inOrder
}
