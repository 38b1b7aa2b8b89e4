// Package sockets opens TCP connections that notice a silent peer. A VM
// without power or behind a cut sends neither a reset nor an answer, so each
// connection bounds the time for which sent bytes may stay unacknowledged and
// tests idle peers.
package sockets

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// userTimeout bounds the time for which sent bytes stay unacknowledged.
	// It leaves room for three retransmissions of a lost packet.
	userTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a silent peer
	// of a connection that waits within three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// optionUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h.
	optionUserTimeout = 18
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dial opens a connection.
func Dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: control}
	return d.DialContext(ctx, "tcp4", addr)
}

// Listen listens for connections of other nodes; those that it accepts notice
// a silent peer, too.
func Listen(addr string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive, Control: control}
	return c.Listen(context.Background(), "tcp4", addr)
}

func control(_, _ string, raw syscall.RawConn) error {
	var err error
	if e := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optionUserTimeout, int(userTimeout.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

// Refused reports that the peer's port is closed.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Alive reports whether an idle connection is open, as far as is known here.
// Bytes that nobody asked for count as its end.
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
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), one[:])
		alive = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return alive && err == nil
}
