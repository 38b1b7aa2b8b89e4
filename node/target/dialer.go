package target

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// maxSpares is the number of connections kept open ahead of use.
	maxSpares = 2
	// maxSpareAge is the age after which a spare connection is not used.
	maxSpareAge = 4 * time.Second
	// dialTimeout bounds dialing one connection.
	dialTimeout = time.Second
)

// spare is a connection that was opened ahead of use.
type spare struct {
	conn   net.Conn
	opened time.Time
}

// usable reports whether the connection is young enough and still open, with no
// bytes to read. It peeks at the socket without consuming bytes.
func (s spare) usable(now time.Time) bool {
	if now.Sub(s.opened) > maxSpareAge {
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

// dialer keeps the latency of dialing out of calls: it returns connections that
// were opened ahead of use and opens their replacements in the background.
type dialer struct {
	address string
	spares  chan spare
	wake    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
}

func newDialer(address string) *dialer {
	ctx, cancel := context.WithCancel(context.Background())
	d := &dialer{
		address: address, ctx: ctx, cancel: cancel,
		spares: make(chan spare, maxSpares),
		wake:   make(chan struct{}, 1),
	}
	d.tasks.Add(1)
	go d.run()
	return d
}

// dial returns a usable spare connection, or opens a new one.
func (d *dialer) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	defer d.notify()
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

func (d *dialer) notify() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run fills up the spare connections and then again after each notify, until the
// dialer is closed.
func (d *dialer) run() {
	defer d.tasks.Done()
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
	for len(d.spares) < maxSpares && d.ctx.Err() == nil {
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
	d.tasks.Wait()
	for {
		select {
		case s := <-d.spares:
			_ = s.conn.Close()
		default:
			return
		}
	}
}
