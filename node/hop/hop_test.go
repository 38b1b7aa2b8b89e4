package hop

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/peer"
	"zinniafall/node/sockets"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

type handlerFunc func(context.Context, *Stream)

func (f handlerFunc) ServeRequest(ctx context.Context, _ string, s *Stream) { f(ctx, s) }

func serve(t *testing.T, f handlerFunc) (*Client, model.NodeAddr) {
	l, err := sockets.Listen("127.0.0.1:0", sockets.SilentPeerTimeout)
	qt.Assert(t, err, qt.IsNil)
	s := NewServer(f)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	c := NewClient()
	t.Cleanup(func() {
		c.Close()
		_ = l.Close()
		s.Close()
		<-done
	})
	return c, model.NodeAddr(l.Addr().String())
}

func TestConnectionIsReusedAfterCompleteExchange(t *testing.T) {
	remoteAddrs := map[string]bool{}
	c, node := serve(t, func(_ context.Context, s *Stream) {
		remoteAddrs[s.conn.RemoteAddr().String()] = true
		_ = s.Answer(&peer.Answer{Run: model.RunYes, Status: 200, Inline: true, Body: s.Request.Body})
	})
	for range 3 {
		x, err := c.Open(t.Context(), node, &peer.Request{Kind: peer.KindCall, Inline: true, Body: []byte("b")})
		qt.Assert(t, err, qt.IsNil)
		answer, err := x.Receive()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(answer.Body), qt.Equals, "b")
		x.Close()
	}
	qt.Assert(t, remoteAddrs, qt.HasLen, 1)
}

func TestRefusedCallReusesConnectionWithoutSendingBody(t *testing.T) {
	remoteAddrs := map[string]bool{}
	c, node := serve(t, func(_ context.Context, s *Stream) {
		remoteAddrs[s.conn.RemoteAddr().String()] = true
		_ = s.Answer(&peer.Answer{Run: model.RunNo, Problem: problem.New(problem.Overloaded, model.RunNo, "busy")})
	})
	for range 3 {
		x, err := c.Open(t.Context(), node, &peer.Request{Kind: peer.KindCall, Length: 5})
		qt.Assert(t, err, qt.IsNil)
		answer, err := x.Receive()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, answer.Problem.Kind, qt.Equals, problem.Overloaded)
		x.Close()
	}
	qt.Assert(t, remoteAddrs, qt.HasLen, 1)
}

func TestBodyIsSentAfterAdmission(t *testing.T) {
	body := strings.Repeat("0123456789", 50_000)
	c, node := serve(t, func(_ context.Context, s *Stream) {
		_ = s.Answer(&peer.Answer{Admitted: true})
		got, err := io.ReadAll(s)
		if err != nil {
			s.Fail()
			return
		}
		_ = s.Answer(&peer.Answer{Run: model.RunYes, Status: 200})
		_ = s.SendBody(bytes.NewReader(got))
	})
	x, err := c.Open(t.Context(), node, &peer.Request{Kind: peer.KindCall, Length: int64(len(body))})
	qt.Assert(t, err, qt.IsNil)
	defer x.Close()
	answer, err := x.Receive()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, answer.Admitted, qt.IsTrue)
	qt.Assert(t, x.SendBody(strings.NewReader(body)), qt.IsNil)
	_, err = x.Receive()
	qt.Assert(t, err, qt.IsNil)
	got, err := io.ReadAll(x)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got) == body, qt.IsTrue)
}

func TestCancelReachesTheOwner(t *testing.T) {
	canceled := make(chan struct{})
	c, node := serve(t, func(ctx context.Context, s *Stream) {
		<-ctx.Done()
		close(canceled)
		s.Fail()
	})
	ctx, cancel := context.WithCancel(t.Context())
	x, err := c.Open(ctx, node, &peer.Request{Kind: peer.KindCall, Inline: true})
	qt.Assert(t, err, qt.IsNil)
	cancel()
	_, err = x.Receive()
	qt.Assert(t, errors.Is(err, peer.ErrOutcomeUnknown), qt.IsTrue)
	<-canceled
}

func TestPartialAnswerIsAnError(t *testing.T) {
	c, node := serve(t, func(_ context.Context, s *Stream) {
		_ = s.Answer(&peer.Answer{Run: model.RunYes, Status: 200})
		_ = s.SendBody(io.MultiReader(strings.NewReader("half"), failingReader{}))
		s.Fail()
	})
	x, err := c.Open(t.Context(), node, &peer.Request{Kind: peer.KindCall, Inline: true})
	qt.Assert(t, err, qt.IsNil)
	defer x.Close()
	_, err = x.Receive()
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadAll(x)
	qt.Assert(t, err, qt.IsNotNil)
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("cut off") }

func TestDialFailureReportsNotSent(t *testing.T) {
	l, err := sockets.Listen("127.0.0.1:0", sockets.SilentPeerTimeout)
	qt.Assert(t, err, qt.IsNil)
	node := model.NodeAddr(l.Addr().String())
	_ = l.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	_, err = NewClient().Open(ctx, node, &peer.Request{Kind: peer.KindCall, Inline: true})
	qt.Assert(t, errors.Is(err, peer.ErrNotSent), qt.IsTrue)
}

// A call sent on a connection that the other node has already closed would be
// lost with an unknown outcome.
func TestConnectionClosedByPeerIsNotReused(t *testing.T) {
	answer := handlerFunc(func(_ context.Context, s *Stream) {
		_ = s.Answer(&peer.Answer{Run: model.RunYes, Status: 200, Inline: true})
	})
	l, err := sockets.Listen("127.0.0.1:0", sockets.SilentPeerTimeout)
	qt.Assert(t, err, qt.IsNil)
	node := model.NodeAddr(l.Addr().String())
	servers := make(chan *Server, 1)
	servers <- NewServer(answer)
	serving := make(chan struct{})
	go func() {
		defer close(serving)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s := <-servers
			servers <- s
			if s.track(conn) {
				go func() {
					defer s.untrack(conn)
					s.serve(conn)
				}()
			}
		}
	}()
	c := NewClient()
	t.Cleanup(func() {
		c.Close()
		_ = l.Close()
		<-serving
		(<-servers).Close()
	})
	exchange := func() error {
		x, err := c.Open(t.Context(), node, &peer.Request{Kind: peer.KindCall, Inline: true})
		if err != nil {
			return err
		}
		defer x.Close()
		_, err = x.Receive()
		return err
	}
	qt.Assert(t, exchange(), qt.IsNil)
	qt.Assert(t, c.idle[node], qt.HasLen, 1)
	idleConn := c.idle[node][0].conn
	qt.Assert(t, sockets.Alive(idleConn), qt.IsTrue)
	(<-servers).Close() // simulates a restart of the node
	servers <- NewServer(answer)
	for sockets.Alive(idleConn) {
		time.Sleep(time.Millisecond)
	}
	qt.Assert(t, exchange(), qt.IsNil)
}

// The reading goroutine closes the channel of the chunks before the context ends.
// A body that was cut off in between looked complete.
func TestRequestBodyThatIsCutOffIsAnError(t *testing.T) {
	var whole bytes.Buffer
	_, err := writeChunks(bufferConn{Buffer: &whole}, strings.NewReader("whole body"))
	qt.Assert(t, err, qt.IsNil)
	for length := range whole.Len() + 1 {
		stream := &Stream{chunks: make(chan []byte, 1), ctx: t.Context()}
		go readBody(t.Context(), bytes.NewReader(whole.Bytes()[:length]), stream)
		_, err := io.ReadAll(stream)
		if length == whole.Len() {
			qt.Assert(t, err, qt.IsNil)
		} else {
			qt.Assert(t, errors.Is(err, errCanceled), qt.IsTrue, qt.Commentf("%d bytes: %v", length, err))
		}
	}
}

// bufferConn collects what is written to it.
type bufferConn struct {
	net.Conn
	*bytes.Buffer
}

func (c bufferConn) Read(p []byte) (int, error)       { return c.Buffer.Read(p) }
func (c bufferConn) Write(p []byte) (int, error)      { return c.Buffer.Write(p) }
func (c bufferConn) SetWriteDeadline(time.Time) error { return nil }

// Closing the client must also close the connections that are in use at the time.
func TestConnectionInUseIsNotKeptAfterClose(t *testing.T) {
	closed := make(chan struct{})
	c, node := serve(t, func(ctx context.Context, s *Stream) {
		_ = s.Answer(&peer.Answer{Run: model.RunYes, Status: 200, Inline: true})
		go func() {
			<-ctx.Done()
			close(closed)
		}()
	})
	x, err := c.Open(t.Context(), node, &peer.Request{Kind: peer.KindCall, Inline: true})
	qt.Assert(t, err, qt.IsNil)
	_, err = x.Receive()
	qt.Assert(t, err, qt.IsNil)
	c.Close()
	x.Close()
	<-closed
	qt.Assert(t, c.idle, qt.HasLen, 0)
}

// A request that was not written whole cannot have run.
func TestRequestThatIsNotWrittenWholeIsNotSent(t *testing.T) {
	c, node := serve(t, func(_ context.Context, s *Stream) {
		_ = s.Answer(&peer.Answer{Run: model.RunYes, Status: 200, Inline: true})
	})
	tooLong := &peer.Request{Kind: peer.KindCall, Inline: true, Body: make([]byte, 64<<20)}
	_, err := c.Open(t.Context(), node, tooLong)
	qt.Assert(t, errors.Is(err, peer.ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, errors.Is(err, peer.ErrOutcomeUnknown), qt.IsFalse)
}
