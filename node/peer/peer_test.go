package peer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"zinniafall/node/trust"
	"zinniafall/policy/model"
	"zinniafall/policy/problem"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testSecret = trust.Secret(bytes.Repeat([]byte{7}, trust.MinSecretBytes))

// echo is a handler that answers each request with its body and records
// control messages.
type echo struct {
	control     chan string
	unreachable chan model.NodeAddr
	truncate    bool
}

func newEcho() *echo {
	return &echo{control: make(chan string, 16), unreachable: make(chan model.NodeAddr, 16)}
}

func (e *echo) ServeRequest(_ context.Context, _ model.NodeAddr, s *Stream) {
	body := s.Request.Body
	if !s.Request.Inline {
		_ = s.Answer(&Answer{Admitted: true})
		streamed, err := io.ReadAll(s)
		if err != nil {
			s.Fail()
			return
		}
		body = streamed
	}
	_ = s.Answer(&Answer{Run: model.RunYes, Status: 200, Length: int64(len(body))})
	if e.truncate {
		_, _ = s.Write(body[:len(body)/2])
		s.Fail()
		return
	}
	_, _ = s.Write(body)
}

func (e *echo) HandleControl(_ model.NodeAddr, payload []byte) { e.control <- string(payload) }
func (e *echo) Unreachable(node model.NodeAddr)                { e.unreachable <- node }

func freePort(t testing.TB) model.NodeAddr {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	return model.NodeAddr(conn.LocalAddr().String())
}

func startTransport(t testing.TB, addr model.NodeAddr, handler Handler, secrets ...trust.Secret) *Transport {
	identity, err := trust.NewIdentity(addr, secrets)
	qt.Assert(t, err, qt.IsNil)
	transport, err := Listen(Options{Self: addr, Listen: string(addr), Identity: identity, Handler: handler})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(transport.Close)
	return transport
}

// startPair starts two nodes and returns the transport of the first and the
// address of the second.
func startPair(t testing.TB, handler Handler) (*Transport, model.NodeAddr) {
	a, b := freePort(t), freePort(t)
	startTransport(t, b, handler, testSecret)
	return startTransport(t, a, newEcho(), testSecret), b
}

func TestRequestAndAnswer(t *testing.T) {
	large := bytes.Repeat([]byte("x"), 1<<20)
	cases := []struct {
		name   string
		inline bool
		body   []byte
	}{
		{"inline", true, []byte("small")},
		{"streamed", false, large},
	}
	transport, to := startPair(t, newEcho())
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := &Request{Kind: KindCall, Inline: c.inline, Length: int64(len(c.body))}
			if c.inline {
				request.Body = c.body
			}
			x, err := transport.Open(context.Background(), to, request)
			qt.Assert(t, err, qt.IsNil)
			defer x.Close()
			answer, err := x.Receive()
			qt.Assert(t, err, qt.IsNil)
			if answer.Admitted {
				go func() { _ = x.SendBody(bytes.NewReader(c.body)) }()
				answer, err = x.Receive()
				qt.Assert(t, err, qt.IsNil)
			}
			got, err := io.ReadAll(x)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, bytes.Equal(got, c.body), qt.IsTrue)
			qt.Assert(t, answer.Run, qt.Equals, model.RunYes)
		})
	}
}

// A message that is too long for a frame has not run anywhere.
func TestRequestTooLongForAFrameIsNotSent(t *testing.T) {
	transport, to := startPair(t, newEcho())
	_, err := transport.Open(context.Background(), to, &Request{Kind: KindCall, Inline: true, Body: make([]byte, maxHeadBytes+1)})
	qt.Assert(t, errors.Is(err, ErrNotSent), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, errors.Is(err, ErrOutcomeUnknown), qt.IsFalse)
}

func TestTruncatedAnswerIsAnError(t *testing.T) {
	handler := newEcho()
	handler.truncate = true
	transport, to := startPair(t, handler)
	x, err := transport.Open(context.Background(), to, &Request{Kind: KindCall, Inline: true, Body: []byte("whole body")})
	qt.Assert(t, err, qt.IsNil)
	defer x.Close()
	_, err = x.Receive()
	if err == nil {
		_, err = io.ReadAll(x)
	}
	qt.Assert(t, err, qt.IsNotNil)
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	transport, to := startPair(t, newEcho())
	x, err := transport.Open(context.Background(), to, &Request{Kind: KindCall, Length: -1})
	qt.Assert(t, err, qt.IsNil)
	defer x.Close()
	_, err = x.Receive()
	qt.Assert(t, err, qt.IsNil)
	broken := io.MultiReader(bytes.NewReader([]byte("part")), failingReader{})
	qt.Assert(t, x.SendBody(broken), qt.IsNotNil)
	_, err = x.Receive()
	qt.Assert(t, errors.Is(err, ErrOutcomeUnknown), qt.IsTrue)
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func TestUnreachableNodeReturnsErrNotSent(t *testing.T) {
	handler := newEcho()
	transport := startTransport(t, freePort(t), handler, testSecret)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := transport.Open(ctx, freePort(t), &Request{Kind: KindCall, Inline: true})
	qt.Assert(t, errors.Is(err, ErrNotSent), qt.IsTrue)
	<-handler.unreachable
}

func TestUnknownSecretIsRefused(t *testing.T) {
	other := trust.Secret(bytes.Repeat([]byte{9}, trust.MinSecretBytes))
	cases := []struct {
		name    string
		secrets []trust.Secret
		reached bool
	}{
		{"unknown secret", []trust.Secret{other}, false},
		{"both secrets during rotation", []trust.Secret{testSecret, other}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			to := freePort(t)
			startTransport(t, to, newEcho(), c.secrets...)
			transport := startTransport(t, freePort(t), newEcho(), testSecret)
			x, err := transport.Open(context.Background(), to, &Request{Kind: KindProbe, Inline: true})
			if err == nil {
				_, err = x.Receive()
				x.Close()
			}
			qt.Assert(t, err == nil, qt.Equals, c.reached)
		})
	}
}

func TestControlMessagesArriveInOrder(t *testing.T) {
	handler := newEcho()
	transport, to := startPair(t, handler)
	for _, text := range []string{"a", "b", "c"} {
		qt.Assert(t, transport.Send(to, []byte(text)), qt.IsTrue)
	}
	for _, text := range []string{"a", "b", "c"} {
		qt.Assert(t, <-handler.control, qt.Equals, text)
	}
}

func TestSimultaneousDialsShareOneConnection(t *testing.T) {
	a, b := freePort(t), freePort(t)
	ta, tb := startTransport(t, a, newEcho(), testSecret), startTransport(t, b, newEcho(), testSecret)
	var calls sync.WaitGroup
	for _, end := range []struct {
		transport *Transport
		to        model.NodeAddr
	}{{ta, b}, {tb, a}} {
		calls.Add(1)
		go func() {
			defer calls.Done()
			for range 20 {
				x, err := end.transport.Open(context.Background(), end.to, &Request{Kind: KindCall, Inline: true, Body: []byte("x")})
				if err != nil {
					t.Error(err)
					return
				}
				if _, err := x.Receive(); err != nil {
					t.Error(err)
				}
				x.Close()
			}
		}()
	}
	calls.Wait()
	qt.Assert(t, ta.Connections(), qt.Equals, 1)
	qt.Assert(t, tb.Connections(), qt.Equals, 1)
}

func TestReconnectToReplacedProcess(t *testing.T) {
	a, b := freePort(t), freePort(t)
	transport := startTransport(t, a, newEcho(), testSecret)
	probe := func() error {
		x, err := transport.Open(context.Background(), b, &Request{Kind: KindCall, Inline: true})
		if err != nil {
			return err
		}
		defer x.Close()
		_, err = x.Receive()
		return err
	}
	for range 3 {
		identity, err := trust.NewIdentity(b, []trust.Secret{testSecret})
		qt.Assert(t, err, qt.IsNil)
		other, err := Listen(Options{Self: b, Listen: string(b), Identity: identity, Handler: newEcho()})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, probe(), qt.IsNil)
		other.Close()
		qt.Assert(t, probe(), qt.IsNotNil)
		for transport.Connections() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

func FuzzReadFrame(f *testing.F) {
	var whole bytes.Buffer
	_ = writeFrame(&whole, &Request{Kind: KindCall, Header: []Field{{Name: "A", Value: "b"}}})
	f.Add(whole.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_ = readFrame(bytes.NewReader(raw), new(Request))
		_ = readFrame(bytes.NewReader(raw), new(Answer))
	})
}

func TestProblemRoundTrip(t *testing.T) {
	sent := &Answer{Run: model.RunNo, Problem: problem.New(problem.Overloaded, model.RunNo, "full").After(time.Second)}
	var wire bytes.Buffer
	qt.Assert(t, writeFrame(&wire, sent), qt.IsNil)
	got := new(Answer)
	qt.Assert(t, readFrame(&wire, got), qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, sent)
}

// Guards against a status of a faulty target that a node of an earlier release passes on.
func TestAnswerWithoutAStatusHoldsNoResponse(t *testing.T) {
	for status, ok := range map[int]bool{0: false, 20: false, 103: false, 199: false, 200: true, 599: true, 600: false, 999: false} {
		qt.Check(t, (&Answer{Status: status}).CheckResponse() == nil, qt.Equals, ok, qt.Commentf("%d", status))
	}
	qt.Check(t, (&Answer{Problem: problem.New(problem.Draining, model.RunNo, "")}).CheckResponse(), qt.IsNil)
}

// Guards against header fields that callers may send and that end the connection between two
// nodes, with the calls beside them: values in Latin-1, and more fields than 256.
func TestHeaderFieldsOfAnyBytesAndNumber(t *testing.T) {
	request := Request{Kind: KindCall, URI: "/caf\xe9", Header: []Field{{"X-Name", "Sch\xf6n"}}}
	for i := range 6000 {
		request.Header = append(request.Header, Field{fmt.Sprintf("X-%d", i), "v"})
	}
	var frame bytes.Buffer
	qt.Assert(t, Encode(&frame, &request), qt.IsNil)
	var got Request
	qt.Assert(t, Decode(&frame, &got), qt.IsNil)
	qt.Assert(t, got.URI, qt.Equals, request.URI)
	qt.Assert(t, got.Header, qt.DeepEquals, request.Header)
}
