package target

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// spareConnections are opened ahead of their use.
	spareConnections = 2
	// spareAge is the age at which an unused connection is replaced.
	spareAge = 4 * time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
)

// spare is a connection that was opened ahead of its use.
type spare struct {
	conn   net.Conn
	opened time.Time
}

// usable reports whether the target still holds the connection open. It looks
// at the socket without taking bytes from it.
func (s spare) usable(now time.Time) bool {
	if now.Sub(s.opened) > spareAge {
		return false
	}
	tcp, ok := s.conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// dialer keeps the time to open a connection off the path of calls: it hands
// out connections opened ahead and opens the next ones in the background.
type dialer struct {
	address string
	spares  chan spare
	wake    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	duty    sync.WaitGroup
}

func newDialer(address string) *dialer {
	ctx, cancel := context.WithCancel(context.Background())
	d := &dialer{
		address: address, ctx: ctx, cancel: cancel,
		spares: make(chan spare, spareConnections),
		wake:   make(chan struct{}, 1),
	}
	d.duty.Add(1)
	go d.refill()
	return d
}

// dial hands out an open connection, or opens one.
func (d *dialer) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	defer d.poke()
	for {
		select {
		case s := <-d.spares:
			if s.usable(time.Now()) {
				return s.conn, nil
			}
			_ = s.conn.Close()
		default:
			return d.open(ctx)
		}
	}
}

func (d *dialer) open(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return new(net.Dialer).DialContext(ctx, "tcp", d.address)
}

func (d *dialer) poke() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// refill opens connections until the spares are complete, then sleeps.
func (d *dialer) refill() {
	defer d.duty.Done()
	for {
		d.fill()
		select {
		case <-d.ctx.Done():
			return
		case <-d.wake:
		}
	}
}

func (d *dialer) fill() {
	for len(d.spares) < spareConnections && d.ctx.Err() == nil {
		conn, err := d.open(d.ctx)
		if err != nil {
			return
		}
		select {
		case d.spares <- spare{conn: conn, opened: time.Now()}:
		default:
			_ = conn.Close()
			return
		}
	}
}

func (d *dialer) close() {
	d.cancel()
	d.duty.Wait()
	for {
		select {
		case s := <-d.spares:
			_ = s.conn.Close()
		default:
			return
		}
	}
}
